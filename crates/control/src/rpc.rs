//! JSON-RPC interface for entries, endpoints and other replicas.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_policy::health::Signal;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::record;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Target;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::Directory;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::Identity;
use hickoryreel_wire::rpc::Refusal;
use hickoryreel_wire::rpc::RenewRequest;
use hickoryreel_wire::rpc::Reply;
use hickoryreel_wire::rpc::method;
use jsonrpsee::RpcModule;
use jsonrpsee::core::RpcResult;

use crate::address::Address;
use crate::core::Failure;
use crate::leases;
use crate::peers;
use crate::run::Control;

/// The JSON-RPC methods of a control replica.
pub fn module(control: Arc<Control>) -> eyre::Result<RpcModule<Arc<Control>>> {
    let mut module = RpcModule::new(control);
    module.register_async_method(method::LEASE_RENEW, |params, control, _| async move {
        let renew: RenewRequest = params.one()?;
        RpcResult::Ok(lease_renew(&control, renew).await)
    })?;
    module.register_async_method(method::RECORD_SUBMIT, |params, control, _| async move {
        let changes: Vec<RecordChange> = params.one()?;
        RpcResult::Ok(record_submit(&control, changes).await)
    })?;
    module.register_method(method::ANNOUNCE, |params, control, _| {
        let announcement: Announcement = params.one()?;
        control.directory.announce(announcement, Instant::now());
        RpcResult::Ok(())
    })?;
    module.register_method(method::CONSENSUS_STEP, |params, control, _| {
        let (sender, payload): (SocketAddr, String) = params.parse()?;
        consensus_step(control, sender, &payload);
        RpcResult::Ok(())
    })?;
    module.register_async_method(method::REPLICA_IDENTITY, |_, control, _| async move {
        RpcResult::Ok(identity(&control).await)
    })?;
    module.register_method(method::DIRECTORY, |params, control, _| {
        let since: u64 = params.one()?;
        let (change, heard) = control.directory.received_since(since, Instant::now());
        RpcResult::Ok(Directory { change, heard })
    })?;
    Ok(module)
}

async fn lease_renew(control: &Arc<Control>, renew: RenewRequest) -> Reply<Grant> {
    let lease_control = Arc::clone(control);
    let (confirmed, directory) = (renew.revision, renew.directory);
    let read = control.core.read_batched(move |view| {
        let holder = &renew.holder;
        if view.machine.has_lapsed(holder) {
            return Err(leases::lapsed_error(holder));
        }
        let config = view.machine.config();
        if confirmed > config.revision {
            let message = format!("revision {confirmed} is newer than {}", config.revision);
            return Err(Error::new(Kind::MalformedRequest, message));
        }
        let digest = lease_control.leases.grant(
            view.term(),
            holder,
            confirmed,
            renew.usage,
            Instant::now(),
        )?;
        Ok((config.revision, (config.revision != confirmed).then(|| config.clone()), digest))
    });
    let result = read.await.map_err(refusal)?;
    let (revision, config, digest) = result.map_err(|error| refusal(error.into()))?;
    control.metrics.renewals.inc();
    let delta = control.directory.delta(directory, Instant::now());
    Ok(Grant {
        length_ms: u64::try_from(control.settings.lease.as_millis()).unwrap_or(u64::MAX),
        revision,
        config,
        directory: delta.change,
        whole: delta.complete,
        changed: delta.changed,
        gone: delta.removed,
        digest,
    })
}

async fn record_submit(
    control: &Control,
    changes: Vec<RecordChange>,
) -> Reply<Vec<record::Outcome>> {
    // Only the controller of the leader settles records, after it has queried the endpoint.
    if changes.iter().any(|change| matches!(change, RecordChange::Settle(_))) {
        let error = Error::new(Kind::NotAllowed, "an entry may not settle records");
        return Err(refusal(error.into()));
    }
    let tested_changes = control.health.is_testing().then(|| changes.clone());
    match control.propose(Action::Records(changes)).await.map_err(refusal)? {
        Outcome::Records(outcomes) => {
            if let Some(changes) = tested_changes {
                observe_health(control, &changes, &outcomes).await;
            }
            Ok(outcomes)
        }
        _ => {
            let error = Error::new(Kind::Internal, "the outcome does not match the command");
            Err(refusal(error.into()))
        }
    }
}

/// Reports opened and closed records to the health tests of their versions.
async fn observe_health(control: &Control, changes: &[RecordChange], outcomes: &[record::Outcome]) {
    let mut closed = Vec::new();
    for (change, outcome) in changes.iter().zip(outcomes) {
        match (change, outcome) {
            (RecordChange::Open(open), record::Outcome::Opened | record::Outcome::Moved) => {
                if let Target::Version(version) = &open.target {
                    control.health.on_request_opened(version);
                }
            }
            // A request that did not run contains no information about its version.
            (RecordChange::Close(close), record::Outcome::Closed) if close.end != End::NotRun => {
                closed.push((close.key.clone(), close.end == End::Unknown));
            }
            _ => {}
        }
    }
    let targets = control.core.read_local(move |view| {
        let targets = closed.into_iter().map(|(key, failed)| {
            let target = view.machine.record_of(&key).map(|record| record.target.clone());
            (target, failed)
        });
        targets.collect::<Vec<_>>()
    });
    for (target, failed) in targets.await.unwrap_or_default() {
        if let Some(Target::Version(version)) = target {
            control.health.observe(&version, Signal::Outcome { failed });
        }
    }
}

fn consensus_step(control: &Control, sender: SocketAddr, payload: &str) {
    let Some(messages) = peers::decode(payload) else {
        slog::warn!(control.log, "cannot decode messages of a replica"; "peer" => %sender);
        return;
    };
    if let Some(message) = messages.first() {
        control.outbox.record_sender(message.from, sender);
    }
    control.core.receive(messages);
}

async fn identity(control: &Control) -> Reply<Identity> {
    let status = control.core.read_local(|view| view.status()).await.map_err(refusal)?;
    let first_members = status.first_members.map(|members| {
        members.iter().map(|member| (member.id.to_string(), member.address.to_string())).collect()
    });
    Ok(Identity { id: status.id.to_string(), empty: status.last_index == 0, first_members })
}

fn refusal(failure: Failure) -> Refusal {
    let address = failure.leader.and_then(|leader| leader.address.parse::<Address>().ok());
    Refusal { error: failure.error, leader: address.map(|address| address.rpc) }
}
