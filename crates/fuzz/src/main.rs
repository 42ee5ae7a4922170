//! `hickoryreel-fuzz`: parses arguments and runs the fuzzing.

use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryreel_fuzz::harness;
use hickoryreel_fuzz::run;

/// Steps of a run on the replicated log, before everything recovers.
const CLUSTER_STEPS: usize = 1_500;

/// Stateful fuzzing of the control state machine, alone and on the replicated log.
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
    /// Number of runs on the replicated log with leases and faults, with the seeds from N on
    #[bpaf(argument("RUNS"), fallback(10))]
    clusters: u64,
    /// Print how often each kind of answer was seen
    #[bpaf(switch)]
    answers: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    // A failing check is reported once, with its shrunk history, instead of at each shrinking step.
    std::panic::set_hook(Box::new(|_| {}));
    if fuzz_machine(&arguments) && fuzz_clusters(&arguments) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn fuzz_machine(arguments: &Arguments) -> bool {
    let seed = arguments.seed;
    match run::run(seed, arguments.cases, arguments.length) {
        Ok(run::Report { cases, steps, checks }) => {
            println!("machine, seed {seed}: {cases} cases, {steps} steps, {checks} checks held");
            if arguments.answers {
                let answers = harness::ANSWERS.lock().unwrap_or_else(|error| error.into_inner());
                for (label, count) in answers.iter() {
                    println!("{count:>9} {label}");
                }
            }
            true
        }
        Err(failure) => {
            println!("machine, seed {seed}: failed: {}", failure.reason);
            println!("shrunk history:");
            for event in &failure.events {
                println!("  Event::{event:?},");
            }
            false
        }
    }
}

fn fuzz_clusters(arguments: &Arguments) -> bool {
    let (seed, count) = (arguments.seed, arguments.clusters);
    match run::run_clusters(seed, count, CLUSTER_STEPS) {
        Ok(reached) => println!(
            "clusters, seed {seed}: {count} runs of {CLUSTER_STEPS} steps, {} commands committed, \
             {} leases granted, {} dispatches, {} withdrawals in force, {} records settled, \
             {} checks held",
            reached.committed,
            reached.grants,
            reached.dispatches,
            reached.in_force,
            reached.settled,
            reached.checks
        ),
        Err((seed, reason)) => {
            println!("clusters, seed {seed}: failed: {reason}");
            return false;
        }
    }
    true
}
