//! Reads of the control state and of the endpoint directory.

use std::time::Instant;

use gotham::hyper::Uri;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Revision;
use hickoryreel_state::record::Bill;
use hickoryreel_wire::admin::Bundle;
use hickoryreel_wire::admin::InForce;
use hickoryreel_wire::admin::Replica;
use hickoryreel_wire::admin::Status;
use hickoryreel_wire::endpoint::Announcement;

use super::HandlerResult;
use crate::core::Failure;
use crate::core::View;

/// Handles `GET /admin/v1/status`.
pub(super) async fn status(state: &mut State) -> HandlerResult {
    Ok(super::respond(read_status(state).await))
}

/// Handles `GET /admin/v1/endpoints`.
pub(super) async fn endpoints(state: &mut State) -> HandlerResult {
    Ok(super::respond(list_endpoints(state)))
}

/// Handles `GET /admin/v1/billing`.
pub(super) async fn billing(state: &mut State) -> HandlerResult {
    Ok(super::respond(read_billing(state).await))
}

/// Handles `GET /admin/v1/in-force/{revision}`.
pub(super) async fn in_force(state: &mut State) -> HandlerResult {
    Ok(super::respond(read_in_force(state).await))
}

async fn read_status(state: &mut State) -> Result<Status, Failure> {
    super::authenticate(state)?;
    super::control(state).core.read(status_of).await
}

fn status_of(view: &View<'_>) -> Status {
    let machine = view.machine;
    let bundles = machine.submissions().iter().map(|(id, submission)| {
        let bundle = Bundle {
            submitted_by: submission.submitted_by.clone(),
            signed_off_by: submission.signed_off_by.clone(),
            stage: submission.stage,
            revert_of: submission.revert_of,
        };
        (*id, bundle)
    });
    let replica_status = view.status();
    let replicas = replica_status.members.iter().map(|member| Replica {
        id: member.id.to_string(),
        address: member.address.to_string(),
        voter: member.voter,
        leads: member.id == replica_status.id,
    });
    Status {
        config: machine.config().clone(),
        bundles: bundles.collect(),
        roll_out: machine.roll_out().cloned(),
        withdrawals: machine.withdrawals().clone(),
        replicas: replicas.collect(),
        term: replica_status.term,
        commit: replica_status.commit_index,
        digest: format!("{:016x}", machine.digest()),
    }
}

fn list_endpoints(state: &mut State) -> Result<Vec<Announcement>, Failure> {
    super::authenticate(state)?;
    Ok(super::control(state).directory.present(Instant::now()))
}

async fn read_billing(state: &mut State) -> Result<Vec<Bill>, Failure> {
    super::authenticate(state)?;
    super::control(state).core.read(|view| view.machine.bills()).await
}

async fn read_in_force(state: &mut State) -> Result<InForce, Failure> {
    super::authenticate(state)?;
    let revision = revision(state)?;
    let control = super::control(state);
    let lease_control = control.clone();
    let read = control.core.read(move |view| {
        let newest = view.machine.config().revision;
        let result = lease_control.leases.in_force(view.term(), revision, Instant::now());
        (newest, result)
    });
    let (newest, result) = read.await?;
    if revision > newest {
        let message = format!("revision {revision} doesn't exist; the newest is {newest}");
        return Err(Error::new(Kind::NotFound, message).into());
    }
    Ok(InForce {
        revision,
        in_force: result.unconfirmed.is_empty() && !result.unknown_leases,
        waiting: result.unconfirmed,
        unknown_leases: result.unknown_leases,
        at_latest_ms: u64::try_from(result.at_latest.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Parses the revision at the end of the path.
fn revision(state: &State) -> Result<Revision, Error> {
    let path = Uri::borrow_from(state).path();
    let text = path.rsplit('/').next().unwrap_or_default();
    text.parse().map_err(|_| {
        Error::new(Kind::MalformedRequest, format!("found {text:?}, expected a revision"))
    })
}
