//! `hickoryreel in-force`.

use bpaf::Bpaf;
use hickoryreel_state::command::Revision;
use hickoryreel_wire::admin::InForce as Answer;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::print;
use crate::ops::wait;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct InForce {
    /// Wait until the revision is in force
    wait: bool,
    /// Revision to look up
    #[bpaf(positional("REVISION"))]
    revision: Revision,
}

pub(super) async fn exec(context: &Context, arguments: &InForce) -> Result<(), Failure> {
    if arguments.wait {
        wait::in_force(context, arguments.revision).await?;
    }
    let answer: Answer = context.admin.get(&format!("in-force/{}", arguments.revision)).await?;
    if context.json {
        return print::json(&answer);
    }
    if answer.in_force {
        println!("in force");
    } else {
        println!("in force in {} ms at the latest", answer.at_latest_ms);
    }
    Ok(())
}
