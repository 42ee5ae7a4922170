//! `hickoryreel submit`.

use std::path::PathBuf;

use bpaf::Bpaf;
use eyre::WrapErr;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::write;
use crate::ops::write::Basis;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Submit {
    #[bpaf(external(write::basis))]
    basis: Basis,
    /// Bundle file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(super) async fn exec(context: &Context, arguments: &Submit) -> eyre::Result<()> {
    let text = std::fs::read_to_string(&arguments.file)
        .wrap_err_with(|| format!("cannot read {}", arguments.file.display()))?;
    write::run(context, &arguments.basis, Change::Submit { text: text.into() }).await
}
