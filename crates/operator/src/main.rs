//! `hickoryreel`: the operator command.

use std::process::ExitCode;

fn main() -> ExitCode {
    hickoryreel_operator::cli::main()
}
