//! The verdict on a version under roll-out.

use hickoryreel_fleet_control::roll_out::Comparison;
use hickoryreel_fleet_control::roll_out::Total;
use yare::parameterized;

fn total(ended: u64, bad: u64, mean_ms: u64) -> Total {
    Total { ended, bad, time_ms: (ended - bad) * mean_ms }
}

/// Guards against a bad version that stays, and against a good one that is withdrawn because of
/// few requests, failures that the old version has as well, or an endpoint that fails in part.
#[parameterized(
    half_fail = { total(8, 4, 100), total(100, 1, 100), true },
    fail_like_the_old_version = { total(50, 7, 60), total(500, 70, 60), false },
    one_endpoint_in_twelve_fails_in_part = { total(60, 3, 100), total(500, 0, 100), false },
    too_few = { total(3, 3, 100), total(100, 0, 100), false },
    eight_times_slower = { total(8, 0, 800), total(100, 0, 100), true },
    slower_by_chance = { total(8, 0, 180), total(100, 0, 100), false },
    slow_without_comparison = { total(8, 0, 900), total(2, 0, 100), false },
)]
fn verdict(new: Total, old: Total, bad: bool) {
    assert_eq!(Comparison { new, old }.verdict().is_some(), bad);
}
