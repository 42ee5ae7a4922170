//! `hickoryreel submit`.

use std::path::PathBuf;

use bpaf::Bpaf;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::file;
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

pub(super) async fn exec(context: &Context, arguments: &Submit) -> Result<(), Failure> {
    let text = file::read(&arguments.file)?;
    file::check(&arguments.file, &text)?;
    write::run(context, &arguments.basis, Change::Submit { text: text.into() }).await
}
