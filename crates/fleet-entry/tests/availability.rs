//! Availability of endpoints according to their answers, in virtual time.

use std::collections::HashSet;
use std::time::Duration;

use hickoryreel_fleet_entry::availability::Admission;
use hickoryreel_fleet_entry::availability::Availability;
use hickoryreel_fleet_entry::availability::Outlook;
use proptest::prelude::*;

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn paused(pauses: &[(u64, u64)]) -> Availability {
    let mut availability = Availability::default();
    for (now, length) in pauses {
        availability.pause(ms(*now), ms(*length));
    }
    availability
}

fn leaving() -> Availability {
    let mut availability = Availability::default();
    availability.leave();
    availability
}

/// Guards against a pause that a shorter one cuts short.
#[test]
fn pause_that_ends_last_holds() {
    let availability =
        paused(&[(1_000, 500), (1_100, 100), (1_200, 400), (1_300, 100), (1_400, 0)]);

    assert!(!availability.is_available(ms(1_599)));
    assert!(availability.is_available(ms(1_600)));
}

/// Guards against an endpoint that gets all waiting requests at the end of its pause.
#[test]
fn requests_return_as_the_endpoint_accepts_them() {
    let mut availability = paused(&[(0, 100)]);
    let now = ms(100);
    let admit_all = |availability: &mut Availability| -> Vec<Admission> {
        std::iter::from_fn(|| availability.is_available(now).then(|| availability.admit()))
            .take(100)
            .collect()
    };

    let first = admit_all(&mut availability);
    assert_eq!(first.len(), 2);
    availability.record_end(first[0], true);
    let second = admit_all(&mut availability);
    assert_eq!(second.len(), 3);
    availability.record_end(first[1], true);
    availability.record_end(second[0], true);
    availability.record_end(second[1], true);

    assert_eq!(admit_all(&mut availability).len(), 100);
}

/// Guards against a request that ends without an acceptance and opens the endpoint to more, or
/// keeps its place forever.
#[test]
fn request_that_is_not_accepted_returns_its_place() {
    let mut availability = paused(&[(0, 100)]);
    let now = ms(100);
    let (first, _second) = (availability.admit(), availability.admit());
    assert!(!availability.is_available(now));

    availability.record_end(first, false);

    assert!(availability.is_available(now));
    availability.admit();
    assert!(!availability.is_available(now));
}

/// Guards against a write by a request that was chosen before a pause, also after its end, and
/// against its answer as a sign that the endpoint accepts requests again.
#[test]
fn pause_revokes_earlier_admissions() {
    let mut availability = Availability::default();
    let earlier = availability.admit();
    availability.pause(ms(0), ms(100));
    let (later, _other) = (availability.admit(), availability.admit());

    availability.record_end(earlier, true);

    assert!(!availability.permits(earlier));
    assert!(availability.permits(later));
    assert!(!availability.is_available(ms(100)));
}

/// Guards against a wait for endpoints that never come back, and against a refusal although one does.
#[test]
fn outlook_is_the_earliest_return() {
    let (long, short) = (paused(&[(0, 900)]), paused(&[(0, 300)]));
    let mut on_trial = paused(&[(0, 50)]);
    on_trial.admit();
    on_trial.admit();
    let available = Availability::default();
    let now = ms(100);

    assert_eq!(Outlook::new([], now), Outlook::Unknown);
    assert_eq!(Outlook::new([leaving(), leaving()], now), Outlook::Leaving);
    assert_eq!(Outlook::new([long, leaving(), short], now), Outlook::Paused(ms(300)));
    assert_eq!(Outlook::new([long, on_trial], now), Outlook::Paused(ms(50)));
    assert_eq!(Outlook::new([long, available], now), Outlook::Unknown);
}

/// Guards against clients that come back before the end of a pause or all together, and against less
/// urgent requests that come back first.
#[test]
fn refused_requests_return_after_the_pause_by_rank() {
    let (outlook, now) = (Outlook::Paused(ms(2_100)), ms(100));
    let delay = |rank, point| outlook.retry_after(now, rank, point).expect("the end is known");
    let hour = Outlook::Paused(Duration::from_secs(3_600));

    assert_eq!(delay(0, 0.0), ms(2_000));
    let delays: HashSet<Duration> =
        (0..100_u32).map(|point| delay(0, f64::from(point) / 100.0)).collect();
    assert_eq!(delays.len(), 100);
    assert!(delay(0, 0.99) < delay(1, 0.0) && delay(1, 0.99) < delay(2, 0.0));
    assert!(delay(2, 0.99) <= ms(3_000));
    assert!(hour.retry_after(now, 2, 0.99).expect("the end is known") <= ms(45_000));
    assert_eq!(Outlook::Leaving.retry_after(now, 0, 0.5), None);
}

const ENDPOINTS: usize = 3;

/// Event at one entry.
#[derive(Clone, Debug)]
enum Event {
    /// A request is chosen for an endpoint if it is available.
    Choose(usize),
    /// The connection of a chosen request is open.
    Write(usize),
    /// A written request ends.
    End(usize, Answer),
    Restart(usize),
    /// Time passes, or the VM is suspended.
    Advance(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Accepted,
    AcceptedLeaving,
    Refused,
    RefusedLeaving,
    Paused(u64),
    Lost,
}

fn answer() -> impl Strategy<Value = Answer> {
    prop_oneof![
        8 => Just(Answer::Accepted),
        1 => Just(Answer::AcceptedLeaving),
        2 => Just(Answer::Refused),
        1 => Just(Answer::RefusedLeaving),
        4 => (0_u64..3_000).prop_map(Answer::Paused),
        1 => Just(Answer::Paused(3_600_000)),
        2 => Just(Answer::Lost),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (0..ENDPOINTS).prop_map(Event::Choose),
        10 => (0_usize..100).prop_map(Event::Write),
        8 => (0_usize..100, answer()).prop_map(|(index, answer)| Event::End(index, answer)),
        1 => (0..ENDPOINTS).prop_map(Event::Restart),
        3 => (0_u64..400).prop_map(Event::Advance),
        1 => Just(Event::Advance(3_000)),
    ]
}

/// A request at one incarnation of an endpoint.
#[derive(Clone, Copy, Debug)]
struct Sent {
    endpoint: usize,
    incarnation: u32,
    admission: Admission,
}

/// What an incarnation of an endpoint knows of the entry.
#[derive(Clone, Debug, Default)]
struct Observer {
    has_left: bool,
    /// End of its pauses.
    paused_until: Duration,
    /// Whether it has accepted a request that arrived after its pauses.
    has_accepted: bool,
    /// Requests since its pauses that it has not answered.
    open: u32,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// Guards against requests that reach an endpoint after it said that it leaves or during its
    /// pause, and against more than two at its end. The oracle sees only what reaches endpoints.
    #[test]
    fn endpoints_get_only_what_they_allow(events in prop::collection::vec(event(), 1..300)) {
        let mut now = Duration::from_secs(1);
        let mut availabilities = [Availability::default(); ENDPOINTS];
        let mut observers: [Observer; ENDPOINTS] = Default::default();
        let mut incarnations = [0_u32; ENDPOINTS];
        let mut chosen: Vec<Sent> = Vec::new();
        let mut written: Vec<(Sent, bool)> = Vec::new();
        for event in events {
            match event {
                Event::Choose(endpoint) => {
                    let availability = &mut availabilities[endpoint];
                    if availability.is_available(now) {
                        let admission = availability.admit();
                        let incarnation = incarnations[endpoint];
                        chosen.push(Sent { endpoint, incarnation, admission });
                    }
                }
                Event::Write(index) if !chosen.is_empty() => {
                    let sent = chosen.swap_remove(index % chosen.len());
                    if incarnations[sent.endpoint] != sent.incarnation {
                        continue;
                    }
                    let availability = &mut availabilities[sent.endpoint];
                    if !availability.permits(sent.admission) {
                        availability.record_end(sent.admission, false);
                        continue;
                    }
                    let observer = &mut observers[sent.endpoint];
                    prop_assert!(!observer.has_left);
                    prop_assert!(now >= observer.paused_until);
                    let since_pause = !observer.paused_until.is_zero();
                    observer.open += u32::from(since_pause);
                    prop_assert!(!since_pause || observer.has_accepted || observer.open <= 2);
                    written.push((sent, since_pause));
                }
                Event::End(index, answer) if !written.is_empty() => {
                    let (sent, since_pause) = written.swap_remove(index % written.len());
                    if incarnations[sent.endpoint] != sent.incarnation {
                        continue;
                    }
                    let availability = &mut availabilities[sent.endpoint];
                    let observer = &mut observers[sent.endpoint];
                    let accepted = matches!(answer, Answer::Accepted | Answer::AcceptedLeaving);
                    if since_pause {
                        observer.open -= 1;
                        observer.has_accepted |= accepted;
                    }
                    if matches!(answer, Answer::AcceptedLeaving | Answer::RefusedLeaving) {
                        observer.has_left = true;
                        availability.leave();
                    }
                    if let Answer::Paused(length) = answer {
                        availability.pause(now, ms(length));
                        if length > 0 && now + ms(length) > observer.paused_until {
                            let paused_until = now + ms(length);
                            let has_left = observer.has_left;
                            *observer = Observer { has_left, paused_until, ..Observer::default() };
                            // Earlier requests do not count at the end of this pause.
                            for (other, since_pause) in &mut written {
                                *since_pause &= other.endpoint != sent.endpoint;
                            }
                        }
                    }
                    availability.record_end(sent.admission, accepted);
                }
                Event::Restart(endpoint) => {
                    incarnations[endpoint] += 1;
                    availabilities[endpoint] = Availability::default();
                    observers[endpoint] = Observer::default();
                }
                Event::Advance(time_ms) => now += ms(time_ms),
                Event::Write(_) | Event::End(..) => {}
            }
        }
    }
}
