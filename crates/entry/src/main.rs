//! `hickoryreel-entry`: parses the arguments and runs an entry.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs an entry of hickoryreel.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments = arguments().run();
    let settings = hickoryreel_entry::settings::load(&arguments.settings)?;
    hickoryreel_entry::run::run(settings)
}
