//! `hickoryreel pause`.

use bpaf::Bpaf;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Pause {
    #[bpaf(external(write::options))]
    options: Options,
    /// Id of the bundle whose roll-out is paused
    #[bpaf(positional("BUNDLE"))]
    bundle: BundleId,
}

pub(super) async fn exec(context: &Context, arguments: &Pause) -> Result<(), Failure> {
    let change = Change::Pause { bundle: arguments.bundle };
    write::run(context, &arguments.options, change).await
}
