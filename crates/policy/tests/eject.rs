//! Tests of outlier ejection.

use std::time::Duration;

use hickoryreel_policy::eject::Availability;
use hickoryreel_policy::eject::Ejection;
use hickoryreel_policy::eject::Outcome;
use hickoryreel_policy::eject::Settings;

const FAST: Outcome = Outcome::Answered { ratio: 1.0 };
const SLOW: Outcome = Outcome::Answered { ratio: 10.0 };

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn after(outcomes: &[Outcome]) -> Ejection {
    let mut ejection = Ejection::default();
    outcomes.iter().for_each(|outcome| ejection.observe(&Settings::default(), *outcome, at(1)));
    ejection
}

fn availability(ejection: &Ejection, now: Duration) -> Availability {
    ejection.availability(&Settings::default(), now)
}

/// Guards against a slow endpoint that stays in service.
#[test]
fn a_slow_endpoint_is_ejected() {
    assert_eq!(availability(&after(&[SLOW; 2]), at(1)), Availability::Available);
    assert_eq!(availability(&after(&[SLOW; 3]), at(1)), Availability::Unavailable);
}

/// Guards against ejection because of single outliers or cancellations by callers.
#[test]
fn outliers_and_cancellations_do_not_eject() {
    let mixed = [FAST, FAST, SLOW, FAST, Outcome::Failed, FAST, Outcome::Failed, FAST];

    assert_eq!(availability(&after(&mixed), at(1)), Availability::Available);
    assert_eq!(availability(&after(&[Outcome::Neutral; 9]), at(1)), Availability::Available);
}

/// Guards against a failing endpoint that stays in service.
#[test]
fn failures_in_a_row_eject() {
    assert_eq!(availability(&after(&[Outcome::Failed; 3]), at(1)), Availability::Unavailable);
}

/// Guards against a slow endpoint that is detected only by the requests that it delays.
#[test]
fn slow_reports_eject() {
    let mut ejection = Ejection::default();

    ejection.on_report(&Settings::default(), 10.0, at(1));
    assert_eq!(availability(&ejection, at(1)), Availability::Available);
    ejection.on_report(&Settings::default(), 10.0, at(1));

    assert_eq!(availability(&ejection, at(1)), Availability::Unavailable);
}

/// Guards against an endpoint that receives full traffic as soon as its ejection ends.
#[test]
fn probes_are_sent_one_at_a_time_until_three_succeed() {
    let mut ejection = after(&[Outcome::Failed; 3]);
    assert_eq!(availability(&ejection, at(3)), Availability::Probe);

    for _ in 0..3 {
        ejection.on_sent(at(3));
        assert_eq!(availability(&ejection, at(3)), Availability::Unavailable);
        ejection.observe(&Settings::default(), FAST, at(4));
    }

    assert_eq!(availability(&ejection, at(4)), Availability::Available);
}

/// Guards against an endpoint that is never probed again because a probe was lost.
#[test]
fn a_lost_probe_permits_another() {
    let mut ejection = after(&[Outcome::Failed; 3]);

    ejection.on_sent(at(3));

    assert_eq!(availability(&ejection, at(12)), Availability::Unavailable);
    assert_eq!(availability(&ejection, at(13)), Availability::Probe);
}

/// Guards against constant probing of an endpoint that remains faulty.
#[test]
fn each_ejection_lasts_longer() {
    let mut ejection = after(&[Outcome::Failed; 3]);

    ejection.on_sent(at(3));
    ejection.observe(&Settings::default(), Outcome::Failed, at(3));

    assert_eq!(availability(&ejection, at(6)), Availability::Unavailable);
    assert_eq!(availability(&ejection, at(7)), Availability::Probe);
}
