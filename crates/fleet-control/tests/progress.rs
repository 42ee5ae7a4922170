//! The time of a roll-out as each replica counts it.

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

/// Guards against a roll-out that misses its time because the time without a leader, in which the
/// log notes no progress, is not counted.
#[test]
fn time_without_a_leader_counts() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track([&roll_out(1_000)].into_iter(), START + Duration::from_secs(9));

    assert_eq!(progress.elapsed_ms(1, START + Duration::from_secs(10)), Some(10_000));
}

/// Guards against a replica that restarts and counts from the beginning, or from the start of its
/// process.
#[test]
fn replica_that_restarted_takes_over_what_the_log_notes() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track([&roll_out(7_000)].into_iter(), START + Duration::from_secs(1));

    assert_eq!(progress.elapsed_ms(1, START + Duration::from_secs(3)), Some(9_000));
}

/// Guards against progress of an ended roll-out that is kept for ever.
#[test]
fn ended_roll_out_is_forgotten() {
    let mut progress = Progress::default();
    progress.track([&roll_out(0)].into_iter(), START);

    progress.track(std::iter::empty(), START);

    assert_eq!(progress.elapsed_ms(1, START), None);
}
