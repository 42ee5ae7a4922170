//! Measures the routing policy in virtual time and prints one JSON line for each scenario and
//! measure.

mod cli;

use std::process::ExitCode;

fn main() -> eyre::Result<ExitCode> {
    let arguments = cli::arguments().run();
    cli::exec(&arguments)
}
