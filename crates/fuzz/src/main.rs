//! `hickoryreel-fuzz`: parses arguments and runs the fuzzing.

use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryreel_fuzz::harness;
use hickoryreel_fuzz::run;

/// Stateful fuzzing of the control state machine.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
struct Arguments {
    /// Seed of the random events; the same seed gives the same cases
    #[bpaf(argument("N"))]
    seed: u64,
    /// Number of cases
    #[bpaf(argument("K"))]
    cases: u32,
    /// Most events in a case
    #[bpaf(argument("EVENTS"), fallback(200))]
    length: usize,
    /// Print how often each kind of answer was seen
    #[bpaf(switch)]
    answers: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    // A failing check is reported once, with its shrunk history, instead of at each shrinking step.
    std::panic::set_hook(Box::new(|_| {}));
    match run::run(arguments.seed, arguments.cases, arguments.length) {
        Ok(run::Report { cases, steps, checks }) => {
            println!("seed {}: {cases} cases, {steps} steps, {checks} checks held", arguments.seed);
            if arguments.answers {
                let answers = harness::ANSWERS.lock().unwrap_or_else(|error| error.into_inner());
                for (label, count) in answers.iter() {
                    println!("{count:>9} {label}");
                }
            }
            ExitCode::SUCCESS
        }
        Err(failure) => {
            println!("seed {}: failed: {}", arguments.seed, failure.reason);
            println!("shrunk history:");
            for event in &failure.events {
                println!("  Event::{event:?},");
            }
            ExitCode::FAILURE
        }
    }
}
