//! Tests of endpoint selection.

use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::name::Version;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::eject::Outcome;
use hickoryreel_policy::pick;
use hickoryreel_policy::pick::Query;
use hickoryreel_policy::pick::Settings;
use hickoryreel_policy::view;
use hickoryreel_policy::view::Endpoint;
use hickoryreel_policy::view::Rates;
use hickoryreel_policy::view::Report;
use hickoryreel_policy::view::View;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

const NOW: Duration = Duration::from_secs(10);
const RUNS: usize = 300;

fn id(index: usize) -> name::Endpoint {
    format!("engine-{index}").into()
}

fn version() -> Version {
    "large/1".into()
}

/// A view of endpoints with the given running requests, all in one region.
fn view(running: &[u32]) -> View {
    let mut view = View::new(&"entry".into(), "khomas".into(), view::Settings::default());
    view.extend((0..running.len()).map(|index| {
        Endpoint::new(id(index), "khomas".into(), "a".into(), Rates::default())
            .with_version(version())
    }));
    for (index, running) in running.iter().enumerate() {
        report(&mut view, index, *running, NOW);
    }
    view
}

fn report(view: &mut View, index: usize, running: u32, now: Duration) {
    let report = Report { running, max_running: 64, ..Report::default() };
    view.on_report(&id(index), report, now, now, &mut Xoshiro256PlusPlus::seed_from_u64(1));
}

/// Counts how often each endpoint is selected for a request of `rank`.
fn picks(view: &View, rank: Rank, prefixes: &[(u64, u32)], tried: &[name::Endpoint]) -> Vec<usize> {
    picks_at(view, rank, prefixes, tried, NOW)
}

fn picks_at(
    view: &View,
    rank: Rank,
    prefixes: &[(u64, u32)],
    tried: &[name::Endpoint],
    now: Duration,
) -> Vec<usize> {
    let version = version();
    let (floor, prompt_tokens, bytes) = (false, 800, 1_000_000);
    let query = Query { version: &version, rank, floor, prompt_tokens, prefixes, bytes, tried };
    let mut random = Xoshiro256PlusPlus::seed_from_u64(7);
    let mut counts = vec![0; view.endpoints().len()];
    for _ in 0..RUNS {
        let picked = pick::pick(view, &Settings::default(), &query, now, &mut random);
        let Some(picked) = picked else { continue };
        let index = view.endpoints().iter().position(|endpoint| endpoint.id == picked.endpoint);
        counts[index.expect("the picked endpoint is in the view")] += 1;
    }
    counts
}

/// Guards against unbalanced load.
#[test]
fn the_less_loaded_of_two_is_preferred() {
    let counts = picks(&view(&[0, 20]), Rank::Normal, &[], &[]);

    assert!(counts[0] > RUNS * 9 / 10, "{counts:?}");
}

/// Guards against new requests at an endpoint that is leaving (G8), and against a retry at the
/// endpoint that failed the request.
#[test]
fn leaving_and_tried_endpoints_receive_nothing() {
    let mut view = view(&[0, 0, 0]);
    view.get_mut(&id(0)).expect("the endpoint is in the view").leaving = true;

    let counts = picks(&view, Rank::Urgent, &[], &[id(1)]);

    assert_eq!(counts, [0, 0, RUNS]);
}

/// Guards against requests beyond the concurrency limit of an endpoint.
#[test]
fn a_full_endpoint_receives_nothing() {
    let counts = picks(&view(&[64, 64]), Rank::Normal, &[], &[]);

    assert_eq!(counts, [0, 0]);
}

/// Guards against prefix affinity that overloads the holder, and against prefixes that are ignored.
#[test]
fn the_prefix_holder_is_preferred_until_it_is_loaded() {
    let prefixes = [(1, 700)];
    let mut idle = view(&[4, 0, 0, 0, 0, 0, 0, 0]);
    idle.on_cache_event(&id(0), 1, true);
    let mut full = view(&[64, 0, 0, 0, 0, 0, 0, 0]);
    full.on_cache_event(&id(0), 1, true);

    assert_eq!(picks(&idle, Rank::Normal, &prefixes, &[])[0], RUNS);
    assert_eq!(picks(&full, Rank::Normal, &prefixes, &[])[0], 0);
}

/// Guards against urgent requests that are delayed or lost as probes of an ejected endpoint.
#[test]
fn urgent_requests_are_not_used_as_probes() {
    let mut view = view(&[0, 0, 0]);
    (0..3).for_each(|_| view.on_progress(&id(0), Outcome::Failed, Duration::from_secs(1)));

    assert_eq!(picks(&view, Rank::Urgent, &[], &[])[0], 0);
    assert!(picks(&view, Rank::Bulk, &[], &[])[0] > 0);
}

/// Guards against requests to unreachable endpoints, also if they are the majority, as on the
/// smaller side of a network partition.
#[test]
fn endpoints_whose_reports_stopped_are_avoided() {
    let mut view = view(&[0, 0, 0]);
    let later = NOW + Duration::from_secs(3);
    report(&mut view, 2, 0, later);

    assert_eq!(picks_at(&view, Rank::Urgent, &[], &[], later), [0, 0, RUNS]);
}

/// Guards against a complete outage when only the load reports are lost.
#[test]
fn lost_reports_of_all_endpoints_do_not_stop_the_service() {
    let counts = picks_at(&view(&[0, 0]), Rank::Urgent, &[], &[], NOW + Duration::from_secs(9));

    assert_eq!(counts.iter().sum::<usize>(), RUNS);
}

/// Guards against a common cause that ejects most endpoints of a version.
#[test]
fn ejection_is_ignored_when_it_hits_most_endpoints() {
    let mut view = view(&[0, 0, 0]);
    for index in 0..2 {
        (0..3).for_each(|_| view.on_progress(&id(index), Outcome::Failed, NOW));
    }

    let counts = picks(&view, Rank::Urgent, &[], &[]);

    assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
}

/// Guards against an entry that spreads its requests over thousands of endpoints.
#[test]
fn large_pools_are_reduced_to_a_subset_that_differs_by_entry() {
    let all = |entry: &str| {
        let mut view = View::new(&entry.into(), "khomas".into(), view::Settings::default());
        view.extend((0..500).map(|index| {
            Endpoint::new(id(index), "khomas".into(), "a".into(), Rates::default())
                .with_version(version())
        }));
        view.serving(&version()).to_vec()
    };

    assert_eq!(all("e0").len(), 64);
    assert_ne!(all("e0"), all("e1"));
}
