//! `hickoryreel roll-out`.

use bpaf::Bpaf;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct RollOut {
    #[bpaf(external(write::options))]
    options: Options,
    /// Advance the running roll-out to this share of traffic instead of starting one; 100
    /// completes it
    #[bpaf(argument("PERCENT"))]
    advance_to: Option<u8>,
    /// Id of the bundle to roll out
    #[bpaf(positional("BUNDLE"))]
    bundle: BundleId,
}

pub(super) async fn exec(context: &Context, arguments: &RollOut) -> Result<(), Failure> {
    let bundle = arguments.bundle;
    let change = match arguments.advance_to {
        Some(percent) => Change::Advance { bundle, percent },
        None => Change::RollOut { bundle },
    };
    write::run(context, &arguments.options, change).await
}
