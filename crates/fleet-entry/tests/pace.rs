//! Pace of endpoints on uneven machines.

use std::time::Duration;

use hickoryreel_fleet_entry::pace::Pace;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);

fn pace(average: u16, latest: u16, age_ms: u64) -> Pace {
    let mut pace = Pace::default();
    pace.observe(latest, NOW - Duration::from_millis(age_ms));
    pace.apply_totals(average, 0, NOW);
    pace
}

/// Guards against a short prompt that is placed by the hardware while a neighbour slows the endpoint
/// down, and against a long one, or one that is placed later, that is placed by the moment.
#[parameterized(
    short_now = { 0, 20, 2.2, 2.5 },
    long_now = { 0, 10_000, 1.0, 1.2 },
    short_later = { 3_000, 20, 1.0, 1.1 },
)]
fn moment_counts_for_as_long_as_it_lasts(age_ms: u64, length_ms: u64, least: f64, most: f64) {
    let expected = pace(100, 250, age_ms).expected(NOW, Duration::from_millis(length_ms));

    assert!((least..=most).contains(&expected), "{expected}");
}

/// Guards against a pace that is believed although it is no plausible figure.
#[parameterized(zero = { 0 }, tiny = { 1 }, huge = { u16::MAX })]
fn implausible_figure_is_ignored(percent: u16) {
    let mut pace = Pace::default();
    pace.observe(percent, NOW);
    pace.apply_totals(percent, percent, NOW);

    assert_eq!(pace, Pace::default());
    assert_eq!(pace.expected(NOW, Duration::ZERO), 1.0);
}

/// Guards against an older figure of the other entries that replaces a newer one of this entry.
#[test]
fn newer_figure_stays() {
    let mut pace = Pace::default();
    pace.observe(250, NOW);
    pace.apply_totals(100, 100, NOW);

    assert!(pace.expected(NOW, Duration::from_millis(1)) > 2.4);
}
