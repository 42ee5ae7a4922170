//! `hickoryreel revert`.

use bpaf::Bpaf;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Basis;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Revert {
    #[bpaf(external(write::basis))]
    basis: Basis,
    /// Bundle whose content comes into force again
    #[bpaf(positional("BUNDLE"))]
    bundle: BundleId,
}

pub(super) async fn exec(context: &Context, arguments: &Revert) -> Result<(), Failure> {
    let change = Change::Revert { bundle: arguments.bundle };
    write::run(context, &arguments.basis, change).await
}
