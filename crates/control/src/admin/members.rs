//! Adding and removing replicas.

use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_wire::admin::AddReplica;
use hickoryreel_wire::admin::RemoveReplica;
use hickoryreel_wire::admin::Replica;
use slog::info;

use super::HandlerResult;
use crate::address::Address;
use crate::bootstrap;
use crate::core::Failure;

/// Handles `POST /admin/v1/replicas/add`.
pub(super) async fn add(state: &mut State) -> HandlerResult {
    Ok(super::respond(add_learner(state).await))
}

/// Handles `POST /admin/v1/replicas/remove`.
pub(super) async fn remove(state: &mut State) -> HandlerResult {
    Ok(super::respond(remove_member(state).await))
}

/// Adds the replica as a learner; a controller promotes it to a voter once it has caught up. If the
/// replica is already a member, returns its current state, so that a resend is harmless.
async fn add_learner(state: &mut State) -> Result<Replica, Failure> {
    let operator = super::authenticate(state)?;
    let control = super::control(state);
    let AddReplica { address } = super::read_body(state).await?;
    let address: Address = address
        .parse()
        .map_err(|cause| Error::new(Kind::MalformedRequest, format!("address: {cause}")))?;
    let members = control.core.read(|view| view.status().members).await?;
    let Some(identity) = bootstrap::fetch_identity(&control, address).await else {
        let message = format!("the replica at {} does not answer", address.rpc);
        return Err(Error::new(Kind::EndpointUnavailable, message).into());
    };
    let id: ReplicaId = identity
        .id
        .parse()
        .map_err(|cause| Error::new(Kind::Internal, format!("id of the replica: {cause}")))?;
    let member = members.get(id);
    if member.is_none() {
        // A log that is not empty is from another cluster or from an earlier membership.
        if !identity.empty {
            let message = format!("the log of the replica at {} is not empty", address.rpc);
            return Err(Error::new(Kind::WrongState, message).into());
        }
        let change = MemberChange::AddLearner { id, address: address.to_string().into() };
        control.core.change_members(change).await?;
        info!(control.log, "replica added"; "operator" => %operator, "replica" => %id);
    }
    let voter = member.is_some_and(|member| member.voter);
    Ok(Replica { id: id.to_string(), address: address.to_string(), voter, leads: false })
}

/// Removes a replica. Removing a replica that is no longer a member succeeds.
async fn remove_member(state: &mut State) -> Result<&'static str, Failure> {
    let operator = super::authenticate(state)?;
    let control = super::control(state);
    let RemoveReplica { id } = super::read_body(state).await?;
    let id: ReplicaId = id
        .parse()
        .map_err(|cause| Error::new(Kind::MalformedRequest, format!("replica: {cause}")))?;
    control.core.change_members(MemberChange::Remove { id }).await?;
    info!(control.log, "replica removed"; "operator" => %operator, "replica" => %id);
    Ok("removed")
}
