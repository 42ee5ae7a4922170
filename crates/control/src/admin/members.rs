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

use super::Handled;
use crate::address::Address;
use crate::core::Failure;
use crate::first_start;

/// Handles `POST /admin/v1/replicas/add`.
pub(super) async fn add(state: &mut State) -> Handled {
    Ok(super::answer(add_learner(state).await))
}

/// Handles `POST /admin/v1/replicas/remove`.
pub(super) async fn remove(state: &mut State) -> Handled {
    Ok(super::answer(remove_member(state).await))
}

/// Adds the replica as a learner; a controller makes it a voter once it is caught up. A replica
/// that is a member already is answered as it stands, so that a resend is harmless.
async fn add_learner(state: &mut State) -> Result<Replica, Failure> {
    let operator = super::operator(state)?;
    let control = super::control(state);
    let AddReplica { address } = super::body(state).await?;
    let address: Address = address
        .parse()
        .map_err(|cause| Error::new(Kind::MalformedRequest, format!("address: {cause}")))?;
    let members = control.core.read(|view| view.standing().members).await?;
    let Some(identity) = first_start::ask(&control, address).await else {
        let message = format!("the replica at {} does not answer", address.rpc);
        return Err(Error::new(Kind::EndpointUnavailable, message).into());
    };
    let id: ReplicaId = identity
        .id
        .parse()
        .map_err(|cause| Error::new(Kind::Internal, format!("id of the replica: {cause}")))?;
    let known = members.get(id);
    if known.is_none() {
        // A log that is not empty belongs to another cluster or to an earlier membership.
        if !identity.empty {
            let message = format!("the replica at {} has a log already", address.rpc);
            return Err(Error::new(Kind::WrongState, message).into());
        }
        let change = MemberChange::AddLearner { id, address: address.to_string().into() };
        control.core.change(change).await?;
        info!(control.log, "replica added"; "operator" => %operator, "replica" => %id);
    }
    let voter = known.is_some_and(|member| member.voter);
    Ok(Replica { id: id.to_string(), address: address.to_string(), voter, leads: false })
}

/// Removes a replica. One that is no member any more is answered as removed.
async fn remove_member(state: &mut State) -> Result<&'static str, Failure> {
    let operator = super::operator(state)?;
    let control = super::control(state);
    let RemoveReplica { id } = super::body(state).await?;
    let id: ReplicaId = id
        .parse()
        .map_err(|cause| Error::new(Kind::MalformedRequest, format!("replica: {cause}")))?;
    control.core.change(MemberChange::Remove { id }).await?;
    info!(control.log, "replica removed"; "operator" => %operator, "replica" => %id);
    Ok("removed")
}
