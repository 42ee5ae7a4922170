//! Runs many cases from a seed.

use std::sync::atomic::Ordering;

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;
use proptest::test_runner::TestError;
use proptest::test_runner::TestRunner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use crate::cluster::Cluster;
use crate::cluster::Reached;
use crate::event::Event;
use crate::harness::CHECKS;
use crate::harness::Reference;
use crate::harness::STEPS;
use crate::harness::Test;
use crate::harness::replay;

/// Most tries to shrink a failing case.
const SHRINK_ITERATIONS: u32 = 20_000;

/// What a run did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Cases run.
    pub cases: u32,
    /// Events applied, in all cases.
    pub steps: u64,
    /// Checks of guarantees made, in all cases that held.
    pub checks: u64,
}

/// A failing case.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The check that failed.
    pub reason: String,
    /// The shrunk events.
    pub events: Vec<Event>,
}

/// Runs `cases` cases of up to `length` events; deterministic for a seed.
pub fn run(seed: u64, cases: u32, length: usize) -> Result<Report, Failure> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: SHRINK_ITERATIONS,
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
            Err(Failure { reason: reason.to_string(), events: reduce(events) })
        }
        Err(TestError::Abort(reason)) => {
            Err(Failure { reason: reason.to_string(), events: Vec::new() })
        }
    }
}

/// Runs the machine on the replicated log for `count` seeds from `seed` on. On a failure the
/// seed of the failing run is returned with the reason.
pub fn run_clusters(seed: u64, count: u64, steps: usize) -> Result<Reached, (u64, String)> {
    let mut total = Reached::default();
    for seed in (0..count).map(|offset| seed.wrapping_add(offset)) {
        let result = std::panic::catch_unwind(|| Cluster::new(seed).run(steps));
        total += result.map_err(|panic| (seed, message(&*panic)))?;
    }
    Ok(total)
}

fn message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("a panic").to_owned()
}

/// Leaves out every event that the failure doesn't need. proptest only deletes events from the
/// back of the list until it meets one that is needed.
fn reduce(mut events: Vec<Event>) -> Vec<Event> {
    let fails = |events: &[Event]| std::panic::catch_unwind(|| replay(events)).is_err();
    let mut length = events.len() + 1;
    while events.len() < length {
        length = events.len();
        for place in (0..length).rev() {
            let mut fewer = events.clone();
            fewer.remove(place);
            if fails(&fewer) {
                events = fewer;
            }
        }
    }
    events
}
