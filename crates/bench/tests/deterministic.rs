//! Checks that runs in virtual time are determined by their seed.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use hickoryreel_bench::fault::Fault;
use hickoryreel_bench::outcome::Outcome;
use hickoryreel_bench::scenario;
use hickoryreel_bench::setup::Setup;
use hickoryreel_bench::setup::WORKSPACE_SHARES;
use hickoryreel_bench::setup::registry;
use hickoryreel_bench::sim;

/// Simulates four seconds of load at 80% of the capacity, in which an engine crashes.
fn run(seed: u64) -> Outcome {
    let setup = Setup::one_model(&registry(), seed, 4);
    let rate = 0.4 * setup.capacity();
    let mut setup = setup.arrivals(Rank::Urgent, rate, &WORKSPACE_SHARES, None).arrivals(
        Rank::Bulk,
        rate,
        &WORKSPACE_SHARES,
        None,
    );
    setup.faults = vec![(Duration::from_secs(2), Fault::Down(vec![0]))];
    sim::run(&setup)
}

/// Guards against results that differ between runs, for example because of hash map order.
#[test]
fn the_same_seed_gives_the_same_records() {
    let (first, second, other) = (run(1), run(1), run(2));

    assert_eq!(format!("{:?}", first.records), format!("{:?}", second.records));
    assert_eq!(first.token_gaps, second.token_gaps);
    assert_ne!(format!("{:?}", first.records), format!("{:?}", other.records));
}

/// Guards against requests that the simulation loses, and against a crash that is not detected.
#[test]
fn every_request_ends_after_a_crash() {
    use hickoryreel_bench::outcome::End;

    let outcome = run(1);

    assert!(outcome.records.len() > 300);
    assert!(outcome.records.iter().all(|record| record.end != End::Open));
    assert!(outcome.first_ejections[0].is_some());
}

/// Guards against scenarios that share a name and cannot be selected alone.
#[test]
fn scenario_names_are_distinct() {
    let names = scenario::names();

    let distinct: std::collections::BTreeSet<_> = names.iter().collect();

    assert_eq!((names.len(), distinct.len()), (26, 26));
}
