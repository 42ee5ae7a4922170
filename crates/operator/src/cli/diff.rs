//! `hickoryreel diff`.

use std::path::PathBuf;

use bpaf::Bpaf;
use hickoryreel_base::bundle::Difference;
use hickoryreel_wire::admin::BundleText;

use crate::cli::Context;
use crate::ops::failure::Failure;
use crate::ops::file;
use crate::ops::print;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Diff {
    /// Bundle file to compare with the active bundle
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(super) async fn exec(context: &Context, arguments: &Diff) -> Result<(), Failure> {
    let text = file::read(&arguments.file)?;
    file::check(&arguments.file, &text)?;
    let request = BundleText { file: arguments.file.display().to_string(), text };
    let differences: Vec<Difference> = context.admin.post("diff", &request).await?;
    if context.json {
        return print::json(&differences);
    }
    let value = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    let rows = differences.iter().map(|difference| {
        vec![difference.path.clone(), value(&difference.old), value(&difference.new)]
    });
    print::table(&["path", "active", "file"], rows);
    Ok(())
}
