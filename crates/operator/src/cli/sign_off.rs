//! `hickoryreel sign-off`.

use bpaf::Bpaf;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct SignOff {
    #[bpaf(external(write::options))]
    options: Options,
    /// Id of the bundle to sign off
    #[bpaf(positional("BUNDLE"))]
    bundle: BundleId,
}

pub(super) async fn exec(context: &Context, arguments: &SignOff) -> Result<(), Failure> {
    let change = Change::SignOff { bundle: arguments.bundle };
    write::run(context, &arguments.options, change).await
}
