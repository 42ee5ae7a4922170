//! Runs in virtual time depend on the seed alone.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use hickoryreel_bench::fault::Fault;
use hickoryreel_bench::outcome::Outcome;
use hickoryreel_bench::scenario;
use hickoryreel_bench::setup::PARTS;
use hickoryreel_bench::setup::Setup;
use hickoryreel_bench::setup::registry;
use hickoryreel_bench::sim;

/// Four seconds of work at 80% of the capacity, in which an engine crashes.
fn run(seed: u64) -> Outcome {
    let setup = Setup::one_model(&registry(), seed, 4);
    let rate = 0.4 * setup.capacity();
    let mut setup =
        setup.arrivals(Rank::Urgent, rate, &PARTS, None).arrivals(Rank::Bulk, rate, &PARTS, None);
    setup.faults = vec![(Duration::from_secs(2), Fault::Down(vec![0]))];
    sim::run(&setup)
}

/// Guards against results that differ between runs, for example by the order of a hash map.
#[test]
fn the_same_seed_gives_the_same_records() {
    let (first, second, other) = (run(1), run(1), run(2));

    assert_eq!(format!("{:?}", first.records), format!("{:?}", second.records));
    assert_eq!(first.gaps, second.gaps);
    assert_ne!(format!("{:?}", first.records), format!("{:?}", other.records));
}

/// Guards against requests that the run loses, and against a crash that goes unnoticed.
#[test]
fn each_request_ends() {
    use hickoryreel_bench::outcome::End;

    let outcome = run(1);

    assert!(outcome.records.len() > 300);
    assert!(outcome.records.iter().all(|record| record.end != End::Open));
    assert!(outcome.ejected[0].is_some());
}

/// Guards against scenario names that the command does not find.
#[test]
fn scenario_names_are_distinct() {
    let names = scenario::names();

    let distinct: std::collections::BTreeSet<_> = names.iter().collect();

    assert_eq!((names.len(), distinct.len()), (26, 26));
}
