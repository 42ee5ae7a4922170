//! `hickoryreel-fuzz`: parses the arguments, runs the fuzzing and prints the result.

use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryreel_fuzz::harness;
use hickoryreel_fuzz::run;

/// Number of steps under faults in a run on the replicated log, before the recovery.
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
    /// Maximum number of events in a case
    #[bpaf(argument("EVENTS"), fallback(200))]
    length: usize,
    /// Number of runs on the replicated log with leases and faults; their seeds count up from N
    #[bpaf(argument("RUNS"), fallback(10))]
    clusters: u64,
    /// Print how often each kind of answer was seen
    #[bpaf(switch)]
    answers: bool,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    // The default hook would print a panic for every shrinking step. A failing check is reported
    // once below, with its shrunk history.
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
            println!("machine, seed {seed}: {cases} cases, {steps} steps, {checks} checks passed");
            if arguments.answers {
                let counts =
                    harness::ANSWER_COUNTS.lock().unwrap_or_else(|error| error.into_inner());
                for (label, count) in counts.iter() {
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
        Ok(coverage) => println!(
            "clusters, seed {seed}: {count} runs of {CLUSTER_STEPS} steps, {} commands committed, \
             {} leases granted, {} dispatches, {} withdrawals in force, {} records settled, \
             {} lost disks replaced, {} checks passed",
            coverage.committed,
            coverage.grants,
            coverage.dispatches,
            coverage.in_force,
            coverage.settled,
            coverage.repairs,
            coverage.checks
        ),
        Err((seed, reason)) => {
            println!("clusters, seed {seed}: failed: {reason}");
            return false;
        }
    }
    true
}
