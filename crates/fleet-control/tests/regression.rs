//! Detection of a new version that is worse than the old one.

use hickoryreel_fleet_control::roll_out::Comparison;
use hickoryreel_fleet_control::roll_out::Total;
use yare::parameterized;

fn total(ended: u64, bad: u64, mean_ms: u64) -> Total {
    Total { ended, bad, time_ms: (ended - bad) * mean_ms }
}

/// Guards against a faulty version that is not detected, and against a good one that is rolled back
/// because of too few requests, failures that the old version has as well, or a single endpoint
/// that fails some of its requests.
#[parameterized(
    half_of_the_requests_fail = { total(8, 4, 100), total(100, 1, 100), true },
    failure_rate_of_the_old_version = { total(50, 7, 60), total(500, 70, 60), false },
    one_of_twelve_endpoints_fails_some_requests = { total(60, 3, 100), total(500, 0, 100), false },
    too_few_requests = { total(3, 3, 100), total(100, 0, 100), false },
    eight_times_slower = { total(8, 0, 800), total(100, 0, 100), true },
    slower_within_the_margin = { total(8, 0, 180), total(100, 0, 100), false },
    too_few_requests_at_the_old_version = { total(8, 0, 900), total(2, 0, 100), false },
)]
fn regression(new: Total, old: Total, expected: bool) {
    assert_eq!(Comparison { new, old }.regression().is_some(), expected);
}
