//! `hickoryreel check`. Runs without a control replica.

use std::path::PathBuf;

use bpaf::Bpaf;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::file;
use crate::ops::print;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Check {
    /// Bundle file to check
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(super) fn exec(context: &Context, arguments: &Check) -> Result<(), Failure> {
    let text = file::read(&arguments.file)?;
    let bundle = file::check(&arguments.file, &text)?;
    let (workspaces, versions) = (bundle.workspaces.len(), bundle.versions.len());
    let services = bundle.services.len();
    if context.json {
        let counts = serde_json::json!({
            "workspaces": workspaces, "versions": versions, "services": services,
        });
        return print::json(&counts);
    }
    println!("ok: {workspaces} workspaces, {versions} versions, {services} services");
    Ok(())
}
