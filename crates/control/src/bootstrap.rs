//! Bootstrap of a new cluster: determines the ids of its initial members.
//!
//! Replica ids are created with the data folders, so they cannot be part of the settings. The first
//! replica in the list of the settings requests the ids of all others and, if every log is empty,
//! starts the cluster. The others start with the member set of a replica that has already started,
//! and only if it contains their own id. A replica that lost its disk has a new id, which is in no
//! such set, so it cannot bootstrap a cluster again and waits until an operator adds it.

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

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Runs until the log of this replica is not empty.
pub async fn run(control: Arc<Control>) {
    let own_address = control.settings.advertise;
    loop {
        let Ok(status) = control.core.read_local(|view| view.status()).await else { return };
        if status.last_index > 0 {
            return;
        }
        let own_id = status.id;
        let identities = fetch_identities(&control, own_address).await;
        if let Some(members) = first_members(&control, own_address, own_id, &identities) {
            info!(control.log, "bootstrapping the cluster"; "replicas" => members.len());
            control.core.bootstrap(members);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn fetch_identities(
    control: &Control,
    own_address: Address,
) -> Vec<(Address, Option<Identity>)> {
    let others = control.settings.replicas.iter().filter(|address| **address != own_address);
    let requests =
        others.map(|address| async move { (*address, fetch_identity(control, *address).await) });
    futures_util::future::join_all(requests).await
}

/// Requests the identity of the replica at `address`. `None` if it does not answer.
pub async fn fetch_identity(control: &Control, address: Address) -> Option<Identity> {
    let settings = &control.settings;
    let key = settings.cluster_key.as_deref();
    let client = client::json_rpc(address.rpc, key, settings.call_timeout).ok()?;
    let reply = client.request::<Reply<Identity>, _>(method::REPLICA_IDENTITY, rpc_params![]).await;
    reply.ok()?.ok()
}

/// Returns the initial members. `None` if another replica has to start first, or if one of the
/// others has not answered or has a log that is not empty.
fn first_members(
    control: &Control,
    own_address: Address,
    own_id: ReplicaId,
    identities: &[(Address, Option<Identity>)],
) -> Option<Members> {
    let started =
        identities.iter().filter_map(|(_, identity)| identity.as_ref()?.first_members.as_deref());
    for members in started {
        let members = parse_members(members);
        if members.as_ref().is_some_and(|members| members.is_voter(own_id)) {
            return members;
        }
    }
    if control.settings.replicas.first() != Some(&own_address) {
        return None;
    }
    let others = identities.iter().map(|(address, identity)| {
        let identity = identity.as_ref().filter(|identity| identity.empty)?;
        Some(member(ReplicaId::from_str(&identity.id).ok()?, address.to_string()))
    });
    let others: Vec<Member> = others.collect::<Option<_>>()?;
    Some(others.into_iter().chain([member(own_id, own_address.to_string())]).collect())
}

fn parse_members(members: &[(String, String)]) -> Option<Members> {
    let members =
        members.iter().map(|(id, address)| Some(member(id.parse().ok()?, address.clone())));
    members.collect()
}

fn member(id: ReplicaId, address: String) -> Member {
    Member { id, address: address.into(), voter: true }
}
