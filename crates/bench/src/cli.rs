//! Arguments and output of `hickoryreel-policy-bench`.

use std::io::Write;
use std::process::ExitCode;

use bpaf::OptionParser;
use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use eyre::WrapErr;
use hickoryreel_bench::scenario;

#[derive(Clone, Debug)]
pub(crate) struct Arguments {
    seed: u64,
    scenario: Option<String>,
}

/// Returns the parser of the arguments.
pub(crate) fn arguments() -> OptionParser<Arguments> {
    let seed = long("seed").help("Seed of all random numbers").argument("N").fallback(1);
    let scenario = long("scenario")
        .help("Scenario to run, such as bulk-flood or registry/bulk-flood; all if absent")
        .argument::<String>("S")
        .optional();
    construct!(Arguments { seed, scenario })
        .to_options()
        .descr("Measures the routing policy in virtual time; exits with 1 if a bound is missed")
}

/// Runs the scenarios and prints their rows. The exit code is a failure if a bound is missed.
pub(crate) fn exec(arguments: &Arguments) -> eyre::Result<ExitCode> {
    let wanted = arguments.scenario.as_deref();
    if let Some(wanted) = wanted {
        let known = scenario::names();
        let is_known = |name: &String| name == wanted || name.ends_with(&format!("/{wanted}"));
        eyre::ensure!(
            known.iter().any(is_known),
            "unknown scenario {wanted:?}, expected one of {}",
            known.join(", ")
        );
    }
    let mut holds = true;
    let mut result = Ok(());
    scenario::run(arguments.seed, wanted, &mut |row| {
        holds &= row.holds;
        if result.is_ok() {
            result = print(&row);
        }
    });
    result?;
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print(row: &hickoryreel_bench::row::Row) -> eyre::Result<()> {
    let line = serde_json::to_string(row).wrap_err("cannot encode a row as JSON")?;
    writeln!(std::io::stdout().lock(), "{line}").wrap_err("cannot write to standard output")
}
