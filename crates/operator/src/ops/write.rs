//! Writes to the configuration.

use bpaf::Bpaf;
use hickoryreel_base::name::Request;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine::Accepted;
use hickoryreel_wire::admin::Status;
use hickoryreel_wire::admin::Write;

use crate::cli::Context;
use crate::ops::print;

/// What a write is based on.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(basis))]
pub struct Basis {
    /// Revision the write is based on; the newest when absent
    #[bpaf(argument("REVISION"))]
    pub based_on: Option<Revision>,
    /// Operator request id; a resend with the same id gets the first answer again
    #[bpaf(argument("ID"))]
    pub request_id: Option<Request>,
}

/// Sends a write and prints the answer.
pub async fn run(context: &Context, basis: &Basis, change: Change) -> eyre::Result<()> {
    let based_on = match basis.based_on {
        Some(revision) => revision,
        None => context.admin.get::<Status>("status").await?.config.revision,
    };
    let request = basis.request_id.clone().unwrap_or_else(fresh_request);
    let write = Write { request, based_on, change };
    let accepted: Accepted = context.admin.post("operations", &write).await?;
    if context.json {
        return print::json(&accepted);
    }
    match accepted.bundle {
        Some(bundle) => println!("bundle {bundle}, revision {}", accepted.revision),
        None => println!("revision {}", accepted.revision),
    }
    Ok(())
}

/// A request id that this process has not used before.
fn fresh_request() -> Request {
    Request::from(format!("cli-{}-{}", unix_millis(), std::process::id()))
}
