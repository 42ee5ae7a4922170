//! Choice of the replica that sends configurations.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_fleet_entry::source::Sources;

const NOW: Duration = Duration::from_secs(100);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// Replicas 1 to 5, of which 4 and 5 are in the entry's region.
fn sources() -> Sources {
    let mut sources = Sources::default();
    for number in 1..=5 {
        let zone = if number > 3 { "near" } else { "far" };
        sources.record_answer(address(number), Some(zone.into()));
    }
    sources
}

fn source(sources: &Sources, entry: &str) -> Option<SocketAddr> {
    sources.source(entry, |zone| zone == "near")
}

/// Guards against a new configuration that each of 295 entries gets from all replicas, or that one
/// replica sends to all of them.
#[test]
fn each_entry_asks_one_replica_of_its_region() {
    let sources = sources();
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for entry in (0..295).map(|number| format!("entry-{number}")) {
        let source = source(&sources, &entry);
        let asked: Vec<SocketAddr> = (1..=5)
            .map(address)
            .filter(|replica| sources.wants_configuration(*replica, source, 7, NOW))
            .collect();

        assert_eq!(asked.len(), 1);
        *counts.entry(asked[0]).or_default() += 1;
    }
    assert_eq!(counts.len(), 2, "{counts:?}");
    assert!(counts.values().all(|count| *count > 100), "{counts:?}");
}

/// Guards against an entry that keeps an old configuration because its source is down or lags.
#[test]
fn other_replicas_are_asked_when_the_source_fails_or_lags() {
    let mut sources = sources();
    sources.record_failure(address(4));
    sources.record_failure(address(5));
    let other = source(&sources, "entry").expect("three replicas answer");
    assert!(other != address(4) && other != address(5));

    sources.record_numbers(8, 7, NOW);
    let late = NOW + Duration::from_millis(200);
    for number in (1..=3).filter(|number| address(*number) != other) {
        assert!(!sources.wants_configuration(address(number), Some(other), 7, NOW));
        assert!(sources.wants_configuration(address(number), Some(other), 7, late));
    }
    sources.record_numbers(8, 8, late);
    assert!(
        (1..=3)
            .filter(|number| sources.wants_configuration(
                address(*number),
                Some(other),
                8,
                late + late
            ))
            .count()
            == 1
    );
}

/// Guards against an entry without a configuration that waits for one replica.
#[test]
fn all_replicas_are_asked_for_the_first_configuration() {
    let sources = sources();
    let source = source(&sources, "entry");

    assert!((1..=5).all(|number| sources.wants_configuration(address(number), source, 0, NOW)));
}
