//! Runs many cases from a seed, and shrinks a failing case.

use std::sync::atomic::Ordering;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::cluster::Cluster;
use crate::cluster::Coverage;
use crate::event::Event;
use crate::harness::CHECKS;
use crate::harness::Reference;
use crate::harness::STEPS;
use crate::harness::Test;
use crate::harness::replay;

/// Limit of proptest's attempts to shrink a failing case.
const MAX_SHRINK_ITERATIONS: u32 = 20_000;

/// Summary of a run in which all checks passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    pub cases: u32,
    /// Number of events applied in all cases.
    pub steps: u64,
    /// Number of checks of guarantees in all cases.
    pub checks: u64,
}

/// A failing case.
#[derive(Clone, Debug)]
pub struct Failure {
    /// Message of the check that failed.
    pub reason: String,
    /// The shrunk events, in order; empty if proptest gave up before a case failed.
    pub events: Vec<Event>,
}

/// Runs `cases` cases of up to `length` events. The same seed gives the same cases.
pub fn run(seed: u64, cases: u32, length: usize) -> Result<Report, Failure> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
        ..Config::default()
    };
    let before = (STEPS.load(Ordering::Relaxed), CHECKS.load(Ordering::Relaxed));
    let mut runner = TestRunner::new(config.clone());
    let strategy = Reference::sequential_strategy(length / 2..=length);
    let result = runner.run(&strategy, |(world, events, seen)| {
        Test::test_sequential(config.clone(), world, events, seen);
        Ok(())
    });
    match result {
        Ok(()) => Ok(Report {
            cases,
            steps: STEPS.load(Ordering::Relaxed) - before.0,
            checks: CHECKS.load(Ordering::Relaxed) - before.1,
        }),
        Err(TestError::Fail(reason, (_, events, _))) => {
            Err(Failure { reason: reason.to_string(), events: remove_unneeded_events(events) })
        }
        Err(TestError::Abort(reason)) => {
            Err(Failure { reason: reason.to_string(), events: Vec::new() })
        }
    }
}

/// Runs the machine on the replicated log once for each of `count` consecutive seeds, beginning
/// with `seed`. A failure returns the seed of the failing run and the reason.
pub fn run_clusters(seed: u64, count: u64, steps: usize) -> Result<Coverage, (u64, String)> {
    let mut total = Coverage::default();
    for seed in (0..count).map(|offset| seed.wrapping_add(offset)) {
        let result = std::panic::catch_unwind(|| Cluster::new(seed).run(steps));
        total += result.map_err(|panic| (seed, panic_message(&*panic)))?;
    }
    Ok(total)
}

fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a message")
        .to_owned()
}

/// Removes every event that isn't needed to reproduce the failure. proptest removes events only
/// from the end of the list and stops at the first one that is needed.
fn remove_unneeded_events(mut events: Vec<Event>) -> Vec<Event> {
    let fails = |events: &[Event]| std::panic::catch_unwind(|| replay(events)).is_err();
    let mut previous_len = events.len() + 1;
    while events.len() < previous_len {
        previous_len = events.len();
        for index in (0..previous_len).rev() {
            let mut candidate = events.clone();
            candidate.remove(index);
            if fails(&candidate) {
                events = candidate;
            }
        }
    }
    events
}
