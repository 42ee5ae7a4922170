//! Writes to the configuration.

use bpaf::Bpaf;
use hickoryreel_base::name::Request;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine::Accepted;
use hickoryreel_wire::admin::Status;
use hickoryreel_wire::admin::WriteRequest;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;
use crate::ops::wait;

/// What a write is based on, and whether to wait for it.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(basis))]
pub struct Basis {
    /// Revision the write is based on; the newest when absent
    #[bpaf(argument("REVISION"))]
    pub based_on: Option<Revision>,
    /// Operator request id; a resend with the same id gets the first answer again
    #[bpaf(argument("ID"))]
    pub request_id: Option<Request>,
    /// Wait until the new revision is in force at every entry
    pub wait: bool,
}

/// Sends a write and prints the answer. If an answer is lost, the same write is sent again with the
/// same operator request id.
pub async fn run(context: &Context, basis: &Basis, change: Change) -> Result<(), Failure> {
    let based_on = match basis.based_on {
        Some(revision) => revision,
        None => context.admin.get::<Status>("status").await?.config.revision,
    };
    let request = basis.request_id.clone().unwrap_or_else(fresh_request);
    let write = WriteRequest { request, based_on, change };
    let accepted: Accepted = context.admin.post("operations", &write).await?;
    if basis.wait {
        wait::in_force(context, accepted.revision).await?;
    }
    if context.json {
        return print::json(&accepted);
    }
    match accepted.bundle {
        Some(bundle) => println!("bundle {bundle}, revision {}", accepted.revision),
        None => println!("revision {}", accepted.revision),
    }
    Ok(())
}

/// A request id that no other call of the command uses: two may start in the same millisecond on
/// different VMs, so time and process id alone are not enough.
fn fresh_request() -> Request {
    let random: u64 = rand::random();
    Request::from(format!("cli-{}-{random:016x}", unix_millis()))
}
