//! Elapsed time of a roll-out as each replica measures it.

use std::time::Duration;

use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet_control::roll_out::Progress;

const START: Duration = Duration::from_secs(100);

fn roll_out(elapsed_ms: u64) -> RollOut {
    RollOut {
        serial: 1,
        service: "service".into(),
        target: "v2".into(),
        length_ms: 24_000,
        phase: Phase::Pending,
        share: 100,
        elapsed_ms,
    }
}

/// Guards against a roll-out that ends late because the time without a leader, during which the
/// elapsed time is not written to the replicated log, is not counted.
#[test]
fn time_without_a_leader_counts() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track([&roll_out(1_000)].into_iter(), START + Duration::from_secs(9));

    assert_eq!(progress.elapsed_ms(1, START + Duration::from_secs(10)), Some(10_000));
}

/// Guards against a restarted replica that measures from zero, or from the start of its process,
/// instead of from the elapsed time in the replicated log.
#[test]
fn restarted_replica_continues_from_the_replicated_log() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track([&roll_out(7_000)].into_iter(), START + Duration::from_secs(1));

    assert_eq!(progress.elapsed_ms(1, START + Duration::from_secs(3)), Some(9_000));
}

/// Guards against timers of ended roll-outs that are never dropped.
#[test]
fn timer_of_an_ended_roll_out_is_dropped() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track(std::iter::empty(), START);

    assert_eq!(progress.elapsed_ms(1, START), None);
}
