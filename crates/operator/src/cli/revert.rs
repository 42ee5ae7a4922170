//! `hickoryreel revert`.

use bpaf::Bpaf;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Revert {
    #[bpaf(external(write::options))]
    options: Options,
    /// Id of the bundle whose content becomes active again
    #[bpaf(positional("BUNDLE"))]
    bundle: BundleId,
}

pub(super) async fn exec(context: &Context, arguments: &Revert) -> Result<(), Failure> {
    let change = Change::Revert { bundle: arguments.bundle };
    write::run(context, &arguments.options, change).await
}
