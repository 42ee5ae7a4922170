//! `hickoryreel submit`.

use std::path::PathBuf;

use bpaf::Bpaf;
use hickoryreel_state::command::Change;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::file;
use crate::ops::write;
use crate::ops::write::Options;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Submit {
    #[bpaf(external(write::options))]
    options: Options,
    /// Bundle file to submit
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(super) async fn exec(context: &Context, arguments: &Submit) -> Result<(), Failure> {
    let text = file::read(&arguments.file)?;
    file::check(&arguments.file, &text)?;
    write::run(context, &arguments.options, Change::Submit { text: text.into() }).await
}
