//! Writes to the configuration.

use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Operation;
use hickoryreel_state::machine::Accepted;
use hickoryreel_state::machine::Outcome;
use hickoryreel_wire::admin::WriteRequest;
use slog::info;

use super::Handled;
use crate::core::Failure;

/// Longest reason of a withdrawal, in bytes.
const MAX_REASON: usize = 1024;

/// Handles `POST /admin/v1/operations`.
pub(super) async fn operations(state: &mut State) -> Handled {
    Ok(super::answer(operate(state).await))
}

async fn operate(state: &mut State) -> Result<Accepted, Failure> {
    let operator = super::operator(state)?;
    let control = super::control(state);
    let write: WriteRequest = super::body(state).await?;
    check(&write)?;
    let operation = Operation {
        operator: operator.clone(),
        request: write.request.clone(),
        based_on: write.based_on,
        change: write.change,
    };
    let outcome = control.propose(Action::Operate(operation)).await?;
    let Outcome::Operation(answer) = outcome else {
        return Err(Error::new(Kind::Internal, "the outcome does not fit the command").into());
    };
    match &answer {
        Ok(accepted) => info!(control.log, "operator write accepted"; "operator" => %operator,
            "request" => %write.request, "revision" => accepted.revision),
        Err(error) => info!(control.log, "operator write refused"; "operator" => %operator,
            "request" => %write.request, "error" => %error),
    }
    Ok(answer?)
}

/// Checks what the state machine takes as given.
fn check(write: &WriteRequest) -> Result<(), Error> {
    let malformed = |message: String| Error::new(Kind::MalformedRequest, message);
    name::check(&write.request).map_err(|cause| malformed(format!("request id: {cause}")))?;
    if let Change::Withdraw { version, reason } = &write.change {
        name::check(version).map_err(|cause| malformed(format!("version: {cause}")))?;
        if reason.len() > MAX_REASON {
            return Err(malformed(format!("the reason is longer than {MAX_REASON} bytes")));
        }
    }
    Ok(())
}
