//! `hickoryreel withdraw`.

use bpaf::Bpaf;
use hickoryreel_base::name::Version;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Withdraw {
    #[bpaf(external(write::options))]
    options: Options,
    /// Reason for the withdrawal; free text, not interpreted
    #[bpaf(argument("TEXT"), fallback(String::new()))]
    reason: String,
    /// Version to withdraw
    #[bpaf(positional("MODEL/LABEL"))]
    version: Version,
}

pub(super) async fn exec(context: &Context, arguments: &Withdraw) -> Result<(), Failure> {
    let change = Change::Withdraw {
        version: arguments.version.clone(),
        reason: arguments.reason.as_str().into(),
    };
    write::run(context, &arguments.options, change).await
}
