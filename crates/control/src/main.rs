//! `hickoryreel-control`: parses arguments and runs a control replica.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Runs a control replica of hickoryreel.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Settings file
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> eyre::Result<()> {
    let arguments = arguments().run();
    let settings = hickoryreel_control::settings::load(&arguments.settings)?;
    hickoryreel_control::run::run(settings)
}
