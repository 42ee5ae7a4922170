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

/// Options that all writes have.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(options))]
pub struct Options {
    /// Revision that the write is based on; default: the current one
    #[bpaf(argument("REVISION"))]
    pub based_on: Option<Revision>,
    /// Operator request id; a repeated write with the same id takes effect once and gets the first
    /// answer again
    #[bpaf(argument("ID"))]
    pub request_id: Option<Request>,
    /// Wait until the new revision is in force at every entry
    pub wait: bool,
}

/// Sends a write and prints the answer. If the answer is lost, the write is retried with the same
/// operator request id, so that it takes effect once.
pub async fn run(context: &Context, options: &Options, change: Change) -> Result<(), Failure> {
    let based_on = match options.based_on {
        Some(revision) => revision,
        None => context.admin.get::<Status>("status").await?.config.revision,
    };
    let request = options.request_id.clone().unwrap_or_else(new_request_id);
    let write = WriteRequest { request, based_on, change };
    let accepted: Accepted = context.admin.post("operations", &write).await?;
    if options.wait {
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

/// Returns a unique request id. It has a random part, because the command may run twice in the same
/// millisecond, also with the same process id on different VMs.
fn new_request_id() -> Request {
    let random: u64 = rand::random();
    Request::from(format!("cli-{}-{random:016x}", unix_millis()))
}
