//! `hickoryreel check`.

use std::path::PathBuf;

use bpaf::Bpaf;
use hickoryreel_base::bundle;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(generate(cli))]
pub(super) struct Check {
    /// Bundle file
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

pub(super) fn exec(arguments: &Check) -> eyre::Result<()> {
    let text = std::fs::read_to_string(&arguments.file)?;
    match bundle::parse(&arguments.file.display().to_string(), &text) {
        Ok(bundle) => {
            println!(
                "ok: {} workspaces, {} versions, {} services",
                bundle.workspaces.len(),
                bundle.versions.len(),
                bundle.services.len()
            );
            Ok(())
        }
        Err(mistakes) => {
            for mistake in &mistakes {
                println!("{mistake}");
            }
            Err(eyre::eyre!("{} mistakes", mistakes.len()))
        }
    }
}
