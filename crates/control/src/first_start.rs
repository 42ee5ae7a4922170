//! The first start of a cluster: agreeing on the ids of its first members.
//!
//! Replica ids are created with the data folders, so the settings can't name them. The replica that
//! is first in the list asks all others for their ids and, if every log is empty, starts the
//! cluster. The others start with the member set of a replica that has started, and only if it
//! names their own id. A replica that lost its disk has a new id, which no such set names, so it
//! never starts a cluster again and waits until an operator adds it.

use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_wire::rpc::Identity;
use hickoryreel_wire::rpc::Reply;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use slog::info;

use crate::address::Address;
use crate::client;
use crate::run::Control;

/// Time between two rounds of questions.
const PERIOD: Duration = Duration::from_millis(200);

/// Works until this replica's log is not empty.
pub async fn run(control: Arc<Control>) {
    let own = control.settings.advertise;
    loop {
        let Ok(standing) = control.core.inspect(|view| view.standing()).await else { return };
        if standing.last > 0 {
            return;
        }
        let own_id = standing.id;
        let identities = ask_all(&control, own).await;
        if let Some(members) = first_members(&control, own, own_id, &identities) {
            info!(control.log, "starting the cluster"; "replicas" => members.len());
            control.core.bootstrap(members);
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn ask_all(control: &Control, own: Address) -> Vec<(Address, Option<Identity>)> {
    let others = control.settings.replicas.iter().filter(|address| **address != own);
    let questions = others.map(|address| async move { (*address, ask(control, *address).await) });
    futures_util::future::join_all(questions).await
}

/// Asks the replica at `address` who it is.
pub async fn ask(control: &Control, address: Address) -> Option<Identity> {
    let settings = &control.settings;
    let key = settings.cluster_key.as_deref();
    let client = client::json_rpc(address.rpc, key, settings.call_timeout).ok()?;
    let reply = client.request::<Reply<Identity>, _>(method::REPLICA_IDENTITY, rpc_params![]).await;
    reply.ok()?.ok()
}

/// The members to start with, if it is this replica's turn.
fn first_members(
    control: &Control,
    own: Address,
    own_id: ReplicaId,
    identities: &[(Address, Option<Identity>)],
) -> Option<Members> {
    let started = identities.iter().filter_map(|(_, one)| one.as_ref()?.first_members.as_deref());
    for members in started {
        let members = parse(members);
        if members.as_ref().is_some_and(|members| members.is_voter(own_id)) {
            return members;
        }
    }
    if control.settings.replicas.first() != Some(&own) {
        return None;
    }
    let others = identities.iter().map(|(address, identity)| {
        let identity = identity.as_ref().filter(|identity| identity.empty)?;
        Some(member(ReplicaId::from_str(&identity.id).ok()?, address.to_string()))
    });
    let others: Vec<Member> = others.collect::<Option<_>>()?;
    Some(others.into_iter().chain([member(own_id, own.to_string())]).collect())
}

fn parse(members: &[(String, String)]) -> Option<Members> {
    let parsed =
        members.iter().map(|(id, address)| Some(member(id.parse().ok()?, address.clone())));
    parsed.collect()
}

fn member(id: ReplicaId, address: String) -> Member {
    Member { id, address: address.into(), voter: true }
}
