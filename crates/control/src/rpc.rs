//! JSON-RPC interface for entries and endpoints.

use std::sync::Arc;
use std::time::Instant;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::record;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::Grant;
use hickoryreel_wire::rpc::Refusal;
use hickoryreel_wire::rpc::Renew;
use hickoryreel_wire::rpc::Reply;
use hickoryreel_wire::rpc::method;
use jsonrpsee::RpcModule;

use crate::run::Control;

/// The JSON-RPC methods of a control replica.
pub fn module(control: Arc<Control>) -> eyre::Result<RpcModule<Arc<Control>>> {
    let mut module = RpcModule::new(control);
    module.register_async_method(method::LEASE_RENEW, |params, control, _| async move {
        let renew: Renew = params.one()?;
        jsonrpsee::core::RpcResult::Ok(lease_renew(&control, renew).await)
    })?;
    module.register_async_method(method::RECORD_SUBMIT, |params, control, _| async move {
        let changes: Vec<RecordChange> = params.one()?;
        jsonrpsee::core::RpcResult::Ok(record_submit(&control, changes).await)
    })?;
    module.register_async_method(method::ANNOUNCE, |params, control, _| async move {
        let announcement: Announcement = params.one()?;
        control.directory.announce(announcement, Instant::now());
        jsonrpsee::core::RpcResult::Ok(())
    })?;
    Ok(module)
}

async fn lease_renew(control: &Control, renew: Renew) -> Reply<Grant> {
    let known = renew.revision;
    let (revision, config) = control
        .core
        .query(move |machine| {
            let config = machine.config();
            (config.revision, (config.revision != known).then(|| config.clone()))
        })
        .await
        .map_err(refusal)?;
    let delta = control.directory.delta(renew.directory, Instant::now());
    Ok(Grant {
        length_ms: u64::try_from(control.settings.lease.as_millis()).unwrap_or(u64::MAX),
        revision,
        config,
        directory: delta.change,
        changed: delta.changed,
        gone: delta.gone,
    })
}

async fn record_submit(
    control: &Control,
    changes: Vec<RecordChange>,
) -> Reply<Vec<record::Outcome>> {
    match control.core.propose(Action::Records(changes)).await.map_err(refusal)? {
        Outcome::Records(outcomes) => Ok(outcomes),
        _ => Err(refusal(Error::new(Kind::Internal, "the outcome does not fit the command"))),
    }
}

fn refusal(error: Error) -> Refusal {
    Refusal { error, leader: None }
}
