//! Requests to endpoints that warm up, over all entries, in virtual time.

use std::time::Duration;

use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::link::ColdDecision;
use hickoryreel_fleet::link::ColdRequest;
use hickoryreel_fleet::load::ADMISSION_VALIDITY;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet_control::cold_admission::ColdAdmission;
use hickoryreel_fleet_control::cold_admission::Limit;
use hickoryreel_fleet_control::cold_admission::WINDOW;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// Longest time that a written request takes to the endpoint here.
const MAX_DELAY_MS: u64 = 450;

fn request(endpoints: &[&str]) -> ColdRequest {
    let endpoints = endpoints.iter().map(|id| EndpointKey::of(id)).collect();
    ColdRequest { service: "drafts".into(), endpoints }
}

fn cold_start(requests_per_s: f64) -> ColdStart {
    ColdStart { requests_per_s, after_start: true }
}

/// A replica that has led for longer than a new leader waits.
fn leader() -> ColdAdmission {
    let mut admission = ColdAdmission::default();
    admission.record_leadership(Some(1), Duration::ZERO);
    admission
}

/// Most arrivals within any second.
fn busiest_second(mut arrivals: Vec<u64>) -> usize {
    arrivals.sort_unstable();
    let within = |(index, begin): (usize, &u64)| {
        arrivals[index..].iter().take_while(|at| **at < begin + 1_000).count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or(0)
}

/// Arrivals in milliseconds at one endpoint to which `entries` want to send all the time, while the
/// leader changes every two seconds and the old one goes on until it learns of it.
fn arrivals(entries: u32, rate: f64, limit: &Limit, seed: u64) -> Vec<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let (mut old, mut new) = (ColdAdmission::default(), leader());
    let mut arrivals = Vec::new();
    for now_ms in 2_000..20_000_u64 {
        let now = Duration::from_millis(now_ms);
        if now_ms % 2_000 == 0 {
            // A quorum confirms a leader only until another one is elected.
            old = std::mem::take(&mut new);
            new.record_leadership(Some(now_ms), now);
        }
        let confirmed_before = now_ms % 2_000 < 100;
        for _ in 0..entries {
            if random.random::<f64>() > 0.01 {
                continue;
            }
            // The old leader was confirmed before the election, and its answer is still on its way.
            let leader = if confirmed_before && random.random() { &mut old } else { &mut new };
            let decided = leader.decide(&request(&["e1"]), cold_start(rate), limit, now);
            if matches!(decided, Some(ColdDecision::Admitted(0))) {
                let validity = ADMISSION_VALIDITY.as_millis() as u64;
                let written = now_ms + random.random_range(0..validity);
                arrivals.push(written + random.random_range(0..MAX_DELAY_MS));
            }
        }
    }
    arrivals
}

/// Guards against entries that together overload an endpoint while it warms up, whatever their
/// number, the delay of their requests and the changes of the leader.
#[parameterized(
    small = { 8, 9.3, 1.5, 5.0 },
    medium = { 70, 9.3, 1.5, 5.0 },
    large = { 300, 9.3, 1.5, 5.0 },
    slow_endpoint = { 300, 2.0, 1.5, 5.0 },
    no_rate = { 70, 0.0, 1.5, 5.0 },
    no_slack = { 70, 40.0, 1.0, 0.0 },
)]
fn requests_of_all_entries_stay_within_the_limit(entries: u32, rate: f64, factor: f64, slack: f64) {
    let limit = Limit { factor, slack };
    for seed in 1..4 {
        let arrivals = arrivals(entries, rate, &limit, seed);

        assert!(!arrivals.is_empty());
        let busiest = busiest_second(arrivals);
        assert!(busiest as f64 <= factor * rate + slack, "seed {seed}: {busiest}");
    }
}

/// Guards against a limit that keeps an endpoint idle: the tolerated rate is used on average.
#[test]
fn tolerated_rate_is_used() {
    let (mut admission, limit) = (leader(), Limit { factor: 1.5, slack: 5.0 });

    let admitted = (2_000..12_000).filter(|now_ms| {
        let now = Duration::from_millis(*now_ms);
        let decided = admission.decide(&request(&["e1"]), cold_start(9.3), &limit, now);
        matches!(decided, Some(ColdDecision::Admitted(_)))
    });

    assert!(admitted.count() >= 80);
}

/// Guards against a request that is refused although another of its endpoints has room, and against a
/// wait that ends before there is room.
#[test]
fn next_endpoint_is_admitted_if_the_first_one_is_full() {
    let (mut admission, limit) = (leader(), Limit { factor: 1.0, slack: 1.0 });
    let both = request(&["e1", "e2"]);
    let mut decide = |now| admission.decide(&both, cold_start(0.0), &limit, now);
    let now = Duration::from_secs(5);

    assert_eq!(decide(now), Some(ColdDecision::Admitted(0)));
    assert_eq!(decide(now), Some(ColdDecision::Admitted(1)));
    assert_eq!(decide(now), Some(ColdDecision::Wait(WINDOW)));
    assert_eq!(decide(now + WINDOW), Some(ColdDecision::Admitted(0)));
}

/// Guards against a replica that admits requests without leading, and against a new leader that
/// admits them while those of its predecessor still arrive.
#[test]
fn only_an_established_leader_admits_requests() {
    let mut admission = ColdAdmission::default();
    let limit = Limit { factor: 1.0, slack: 3.0 };
    let now = Duration::from_secs(5);
    let decide = |admission: &mut ColdAdmission, now| {
        admission.decide(&request(&["e1"]), cold_start(5.0), &limit, now)
    };

    assert_eq!(decide(&mut admission, now), None);
    admission.record_leadership(Some(3), now);
    let half = WINDOW / 2;
    assert_eq!(decide(&mut admission, now + half), Some(ColdDecision::Wait(WINDOW - half)));
    assert_eq!(decide(&mut admission, now + WINDOW), Some(ColdDecision::Admitted(0)));
    admission.record_leadership(Some(4), now + WINDOW);
    assert!(matches!(decide(&mut admission, now + WINDOW), Some(ColdDecision::Wait(_))));
    admission.record_leadership(None, now + WINDOW);
    assert_eq!(decide(&mut admission, now + 3 * WINDOW), None);
}

/// Guards against an endpoint that never gets a request because it tolerates less than one in the time
/// for which admissions are counted, and against one where even that exceeds the limit.
#[parameterized(
    slow = { 0.1, 1.5, 5.0, 1 },
    slow_without_slack = { 0.9, 1.5, 0.0, 1 },
    not_even_one = { 0.1, 1.5, 0.0, 0 },
    nothing_tolerated = { 0.0, 1.5, 0.0, 0 },
)]
fn slow_endpoint_is_admitted_one_request(rate: f64, factor: f64, slack: f64, expected: usize) {
    let (mut admission, limit) = (leader(), Limit { factor, slack });
    let now = Duration::from_secs(5);

    let decided =
        (0..3).map(|_| admission.decide(&request(&["e1"]), cold_start(rate), &limit, now));
    let admitted = decided.filter(|decision| matches!(decision, Some(ColdDecision::Admitted(_))));

    assert_eq!(admitted.count(), expected);
}
