//! Tests of the sequential health test of a new version.

use std::time::Duration;

use hickoryreel_policy::health;
use hickoryreel_policy::health::Cause;
use hickoryreel_policy::health::Settings;
use hickoryreel_policy::health::Signal;
use hickoryreel_policy::health::Test;
use hickoryreel_policy::health::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

const NOW: Duration = Duration::from_secs(1);
/// Shares of bad ratings, failures and rejected answers of a healthy version.
const HEALTHY_SHARES: [f64; 3] = [0.04, 0.01, 0.10];

fn signals(random: &mut Xoshiro256PlusPlus, bad_shares: [f64; 3], slowness: f64) -> [Signal; 4] {
    [
        Signal::Rating { good: !random.random_bool(bad_shares[0]) },
        Signal::Outcome { failed: random.random_bool(bad_shares[1]) },
        Signal::Check { accepted: !random.random_bool(bad_shares[2]) },
        Signal::Latency { ratio: random.random_range(0.6..1.4) * slowness },
    ]
}

fn with_baseline(random: &mut Xoshiro256PlusPlus) -> Test {
    let mut test = Test::new(Settings::default());
    for _ in 0..1_500 {
        signals(random, HEALTHY_SHARES, 1.0)
            .into_iter()
            .for_each(|signal| test.observe_baseline(signal));
    }
    test
}

/// Returns the number of answers until the version is found to be bad, and the cause.
fn withdrawn(seed: u64, bad_shares: [f64; 3], slowness: f64, answers: u32) -> Option<(u32, Cause)> {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut test = with_baseline(&mut random);
    (0..answers).find_map(|answer| {
        let signals = signals(&mut random, bad_shares, slowness);
        signals.into_iter().find_map(|signal| match test.observe(signal, NOW) {
            Verdict::Bad(cause) => Some((answer, cause)),
            _ => None,
        })
    })
}

/// Guards against false positives: healthy versions that are withdrawn by chance.
#[test]
fn healthy_versions_are_kept() {
    let withdrawn =
        (0..100).filter(|seed| withdrawn(*seed, HEALTHY_SHARES, 1.0, 2_000).is_some()).count();

    assert!(withdrawn <= 1, "{withdrawn} of 100 healthy versions were withdrawn");
}

/// Guards against slow detection of a bad version, for each signal by itself.
#[test]
fn each_signal_detects_a_bad_version() {
    let cases = [
        ([0.6, 0.01, 0.10], 1.0, Cause::Ratings, 25),
        ([0.04, 0.30, 0.10], 1.0, Cause::Errors, 50),
        ([0.04, 0.01, 0.55], 1.0, Cause::Checks, 60),
        ([0.04, 0.01, 0.10], 3.0, Cause::Latency, 20),
    ];
    for (bad_shares, slowness, cause, max_answers) in cases {
        let found: Vec<_> =
            (0..40).map(|seed| withdrawn(seed, bad_shares, slowness, 500)).collect();
        let in_time = found.iter().flatten().filter(|(answer, _)| *answer <= max_answers).count();
        let with_cause = found.iter().flatten().filter(|(_, found)| *found == cause).count();
        assert!(in_time >= 36, "{cause:?}: {in_time} of 40 within {max_answers} answers");
        assert!(with_cause >= 36, "{cause:?}: {with_cause} of 40 for the right cause");
    }
}

/// Guards against a long healthy time that delays the detection of a later fault.
#[test]
fn a_long_healthy_time_does_not_delay_detection() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut test = with_baseline(&mut random);
    for _ in 0..5_000 {
        test.observe(Signal::Outcome { failed: false }, NOW);
    }

    let needed = (1..50).find(|_| {
        matches!(test.observe(Signal::Outcome { failed: true }, NOW), Verdict::Bad(Cause::Errors))
    });

    assert!(needed.is_some_and(|needed| needed <= 5), "{needed:?} failures in a row");
}

/// Guards against exposure to a suspicious version while ratings are pending, and against a pause
/// that never ends.
#[test]
fn a_suspicion_pauses_and_then_slows() {
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut test = with_baseline(&mut random);

    let verdicts: Vec<Verdict> =
        (0..3).map(|_| test.observe(Signal::Rating { good: false }, NOW)).collect();

    assert!(verdicts.contains(&Verdict::Hold), "{verdicts:?}");
    assert_eq!(test.verdict(NOW + Duration::from_secs(13)), Verdict::Slow);
    (0..40).for_each(|_| {
        test.observe(Signal::Rating { good: true }, NOW);
    });
    assert_eq!(test.verdict(NOW), Verdict::Undecided);
}

/// Guards against a step that continues after its exposure budget without evidence of health.
#[test]
fn the_exposure_budget_holds_a_step() {
    let mut test = Test::new(Settings { exposure_budget: 5, ..Settings::default() });

    (0..5).for_each(|_| test.on_served());

    assert_eq!(test.verdict(NOW), Verdict::Hold);
    test.next_step();
    assert_eq!(test.verdict(NOW), Verdict::Undecided);
}

/// Guards against steps that expose many requests before the first ratings arrive.
#[test]
fn high_traffic_reduces_the_share_of_a_step() {
    let delay = Duration::from_secs(5);
    let paced_share =
        |traffic| health::paced_share(&Settings::default(), 0.05, 0.05, traffic, delay);

    assert_eq!(paced_share(10.0), 0.05);
    assert!((paced_share(100.0) * 100.0 * 5.0 - 12.0).abs() < 1e-9);
}
