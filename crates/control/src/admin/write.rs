//! Writes of operators to the configuration.

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

use super::HandlerResult;
use crate::core::Failure;

/// Maximum length of the reason of a withdrawal.
const MAX_REASON_BYTES: usize = 1024;

/// Handles `POST /admin/v1/operations`.
pub(super) async fn operations(state: &mut State) -> HandlerResult {
    Ok(super::respond(operate(state).await))
}

async fn operate(state: &mut State) -> Result<Accepted, Failure> {
    let operator = super::authenticate(state)?;
    let control = super::control(state);
    let write: WriteRequest = super::read_body(state).await?;
    check(&write)?;
    let operation = Operation {
        operator: operator.clone(),
        request: write.request.clone(),
        based_on: write.based_on,
        change: write.change,
    };
    let outcome = control.propose(Action::Operate(operation)).await?;
    let Outcome::Operation(answer) = outcome else {
        return Err(Error::new(Kind::Internal, "the outcome does not match the command").into());
    };
    match &answer {
        Ok(accepted) => info!(control.log, "operator write accepted"; "operator" => %operator,
            "request" => %write.request, "revision" => accepted.revision),
        Err(error) => info!(control.log, "operator write refused"; "operator" => %operator,
            "request" => %write.request, "error" => %error),
    }
    Ok(answer?)
}

/// Checks the input that the state machine does not validate itself.
fn check(write: &WriteRequest) -> Result<(), Error> {
    let malformed = |message: String| Error::new(Kind::MalformedRequest, message);
    name::check(&write.request).map_err(|cause| malformed(format!("request id: {cause}")))?;
    if let Change::Withdraw { version, reason } = &write.change {
        name::check(version).map_err(|cause| malformed(format!("version: {cause}")))?;
        if reason.len() > MAX_REASON_BYTES {
            return Err(malformed(format!("the reason is longer than {MAX_REASON_BYTES} bytes")));
        }
    }
    Ok(())
}
