//! Requests that stay in their regions and out of evacuated zones while endpoints fail and the rules
//! change.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;
#[path = "common/harness.rs"]
mod harness;

use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::call;
use harness::header;
use harness::learn_configuration;
use harness::serve_with_state;
use harness::serve_without_configuration;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::task::LocalSet;
use yare::parameterized;

/// Time within which a request that no endpoint may serve is refused. Its deadline is 19 s, and a
/// request waits up to 1.8 s for an endpoint that is expected.
const PROMPT_REFUSAL: Duration = Duration::from_millis(1_500);

/// Time after which the rules change while a request waits for an endpoint.
const CHANGE_DELAY: Duration = Duration::from_millis(200);

/// Time that an endpoint takes to fail, so that the rules change before.
const FAILURE_DELAY: Duration = Duration::from_millis(500);

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nid: {id}\r\ncontent-length: 0\r\n\r\n";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const PAUSED: &str =
    "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\npause: 400\r\ncontent-length: 0\r\n\r\n";
const BEGIN: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const END: &str = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const REST: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

async fn endpoint(script: &[Action]) -> Endpoint {
    Endpoint::start(vec![script.to_vec()]).await
}

async fn good() -> Endpoint {
    endpoint(&[Action::Write(GOOD)]).await
}

/// Rules of a configuration: regions of all routes and of the workspace.
fn restricted(number: u64, route: &[&str], workspace: &[&str]) -> Configuration {
    let names = |names: &[&str]| names.iter().map(|name| (*name).into()).collect();
    let mut configuration = configuration(number);
    for restricted in &mut configuration.routes {
        restricted.allowed_regions = names(route);
    }
    for restricted in configuration.workspaces.iter_mut().flatten() {
        restricted.allowed_regions = names(workspace);
    }
    configuration
}

fn learn(entry: &Entry, configuration: Configuration) {
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    entry.state_changed.notify_waiters();
}

fn evacuate(entry: &Entry, revision: u64, zones: &[&str]) {
    let number = entry.view.borrow().number();
    let evacuated = zones.iter().map(|zone| (*zone).into()).collect();
    let confirmed = Confirmed {
        number,
        revision,
        roll_outs: Some(RollOuts::default()),
        versions: None,
        evacuated: Some(evacuated),
        configuration: None,
        former_keys: Vec::new(),
    };
    entry.view.borrow_mut().confirm(boot_time(), confirmed);
    entry.state_changed.notify_waiters();
}

/// Calls an entry, and changes its state while the request is handled.
async fn call_and_change(served: &TestEntry, prefix: &str, change: impl FnOnce()) -> String {
    let changed = async {
        tokio::time::sleep(CHANGE_DELAY).await;
        change();
    };
    tokio::join!(call(served, prefix, "r1"), changed).0
}

/// Guards against a retry in a region that the route or the workspace does not allow. The endpoint of
/// the allowed region fails, refuses or breaks off; that of the other region is sound.
#[parameterized(
    failed = { SAFE, FAILED, &["near"], &[], 500 },
    refused = { SAFE, REFUSED, &["near"], &[], 503 },
    lost = { SAFE, "HTTP/1.1 200 OK\r\n", &["near"], &[], 502 },
    refused_by_workspace = { ONCE, REFUSED, &[], &["near"], 503 },
    refused_by_both = { ONCE, REFUSED, &["near", "far"], &["near"], 503 },
)]
#[test_macro(tokio::test)]
async fn retry_stays_in_the_allowed_regions(
    prefix: &'static str,
    bytes: &'static str,
    route: &'static [&'static str],
    workspace: &'static [&'static str],
    expected: u16,
) {
    LocalSet::new()
        .run_until(async {
            let near = endpoint(&[Action::Write(bytes), Action::Close]).await;
            let far = good().await;
            let (served, entry) = serve_without_configuration(&[&near, &far]).await;
            learn(&entry, restricted(1, route, workspace));

            let answer = call(&served, prefix, "r1").await;

            assert_eq!((status(&answer), near.count(), far.count()), (expected, 1, 0), "{answer}");
        })
        .await;
}

/// Guards against a stream that is resumed in a region that is not allowed, and against one that is
/// not resumed although an endpoint of an allowed region is there.
#[parameterized(
    to_another_region = { &["near"], 0 },
    within_the_allowed_regions = { &["near", "far"], 1 },
)]
#[test_macro(tokio::test)]
async fn stream_is_resumed_in_the_allowed_regions(route: &'static [&'static str], sends: usize) {
    LocalSet::new()
        .run_until(async {
            let near = endpoint(&[Action::Write(BEGIN), Action::Close]).await;
            let far = endpoint(&[Action::Write(REST)]).await;
            let (served, entry) = serve_without_configuration(&[&near, &far]).await;
            learn(&entry, restricted(1, route, &[]));

            let answer = call(&served, STREAM, "r1").await;

            assert_eq!((near.count(), far.count()), (1, sends), "{answer}");
            assert_eq!(answer.ends_with("data: b\n\n\r\n0\r\n\r\n"), sends == 1, "{answer}");
        })
        .await;
}

/// Guards against a retry under the rules of the configuration that accepted the request, and against
/// one that is attempted again and again until the deadline because the choice and the check before the
/// write use different configurations.
#[parameterized(
    by_route = { SAFE, &["near"], &[] },
    by_workspace = { ONCE, &[], &["near"] },
)]
#[test_macro(tokio::test)]
async fn rules_that_tighten_while_a_request_waits_bind_its_retry(
    prefix: &'static str,
    route: &'static [&'static str],
    workspace: &'static [&'static str],
) {
    LocalSet::new()
        .run_until(async {
            let near = endpoint(&[Action::Pause(FAILURE_DELAY), Action::Write(REFUSED)]).await;
            let far = good().await;
            let (served, entry) = serve_with_state(&[&near, &far]).await;
            let begun = boot_time();

            let tightened = || learn(&entry, restricted(2, route, workspace));
            let answer = call_and_change(&served, prefix, tightened).await;

            assert_eq!((status(&answer), near.count(), far.count()), (503, 1, 0), "{answer}");
            assert!(header(&answer, "retry-after").is_some(), "{answer}");
            assert!(boot_time() - begun < FAILURE_DELAY + PROMPT_REFUSAL, "{answer}");
            assert_eq!(entry.metrics.withdrawn.get(), 0);
        })
        .await;
}

/// Guards against a configuration that loosens the rules for a request that was accepted under
/// stricter ones.
#[tokio::test]
async fn rules_that_loosen_do_not_free_a_request_that_waits() {
    LocalSet::new()
        .run_until(async {
            let near = endpoint(&[Action::Pause(FAILURE_DELAY), Action::Write(REFUSED)]).await;
            let far = good().await;
            let (served, entry) = serve_without_configuration(&[&near, &far]).await;
            learn(&entry, restricted(1, &["near"], &[]));

            let loosened = || learn(&entry, restricted(2, &[], &[]));
            let answer = call_and_change(&served, SAFE, loosened).await;
            let next = call(&served, SAFE, "r2").await;

            assert_eq!((status(&answer), far.count()), (503, 1), "{answer}");
            assert_eq!(status(&next), 200, "{next}");
        })
        .await;
}

/// Guards against a resumed stream in a region that the configuration excluded while it ran.
#[tokio::test]
async fn rules_that_tighten_while_a_stream_runs_bind_its_resumption() {
    LocalSet::new()
        .run_until(async {
            let script = [Action::Write(BEGIN), Action::Pause(FAILURE_DELAY), Action::Close];
            let near = endpoint(&script).await;
            let far = endpoint(&[Action::Write(REST)]).await;
            let (served, entry) = serve_with_state(&[&near, &far]).await;
            let begun = boot_time();

            let tightened = || learn(&entry, restricted(2, &["near"], &[]));
            let answer = call_and_change(&served, STREAM, tightened).await;

            assert_eq!((near.count(), far.count()), (1, 0), "{answer}");
            assert!(!answer.contains("data: b"), "{answer}");
            assert!(boot_time() - begun < FAILURE_DELAY + PROMPT_REFUSAL);
        })
        .await;
}

/// Guards against a send to a zone whose evacuation began while the request waited for the end of a
/// pause there, and against a refusal that comes only at the end of the wait.
#[tokio::test]
async fn evacuation_that_begins_while_a_request_waits_refuses_it() {
    LocalSet::new()
        .run_until(async {
            let paused =
                Endpoint::start(vec![vec![Action::Write(PAUSED)], vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_with_state(&[&paused]).await;
            call(&served, SAFE, "r0").await;

            let evacuated = || evacuate(&entry, 1, &["a"]);
            let answer = call_and_change(&served, SAFE, evacuated).await;

            assert_eq!((status(&answer), paused.count()), (503, 1), "{answer}");
            assert!(header(&answer, "retry-after").is_some(), "{answer}");
        })
        .await;
}

/// Guards against a request that is written to a zone whose evacuation began after the choice of the
/// endpoint, while a connection to it was opened. It goes to the other zone instead.
#[tokio::test]
async fn evacuation_that_begins_while_a_connection_opens_moves_the_request() {
    LocalSet::new()
        .run_until(async {
            let (near, far) = (good().await, good().await);
            let (served, entry) = serve_with_state(&[&near, &far]).await;

            // `call` is polled first, and the entry's task chooses an endpoint and begins to connect
            // before the poll of this task goes on.
            let evacuated = async {
                while entry.metrics.connections.get() == 0 {
                    tokio::task::yield_now().await;
                }
                evacuate(&entry, 1, &["a"]);
            };
            let (answer, ()) = tokio::join!(call(&served, SAFE, "r1"), evacuated);

            assert_eq!((status(&answer), near.count(), far.count()), (200, 0, 1), "{answer}");
            assert_eq!(entry.metrics.withdrawn.get(), 1);
        })
        .await;
}

/// Guards against a retry or a new request in an evacuated zone, and against one that is not served
/// there after the end of the evacuation.
#[tokio::test]
async fn evacuated_zone_gets_requests_only_after_the_evacuation() {
    LocalSet::new()
        .run_until(async {
            let near = good().await;
            let far = endpoint(&[Action::Write(REFUSED)]).await;
            let (served, entry) = serve_with_state(&[&near, &far]).await;

            evacuate(&entry, 1, &["a"]);
            let during = call(&served, SAFE, "r1").await;
            let count = near.count();
            evacuate(&entry, 2, &[]);
            let after = call(&served, SAFE, "r2").await;

            assert_eq!((status(&during), count), (503, 0), "{during}");
            assert_eq!((status(&after), near.count()), (200, 1), "{after}");
        })
        .await;
}

/// Guards against an evacuation that disturbs a stream that runs in the zone, or an answer that is
/// awaited from there.
#[parameterized(
    stream = { STREAM, &[Action::Write(BEGIN), Action::Pause(FAILURE_DELAY), Action::Write(END)], "data: b" },
    answer = { SAFE, &[Action::Pause(FAILURE_DELAY), Action::Write(GOOD)], "good" },
    answer_once = { ONCE, &[Action::Pause(FAILURE_DELAY), Action::Write(GOOD)], "good" },
)]
#[test_macro(tokio::test)]
async fn work_in_an_evacuated_zone_ends_undisturbed(
    prefix: &'static str,
    script: &'static [Action],
    end: &'static str,
) {
    LocalSet::new()
        .run_until(async {
            let (near, far) = (endpoint(script).await, good().await);
            let (served, entry) = serve_with_state(&[&near, &far]).await;

            let evacuated = || evacuate(&entry, 1, &["a"]);
            let answer = call_and_change(&served, prefix, evacuated).await;

            assert_eq!((status(&answer), near.count(), far.count()), (200, 1, 0), "{answer}");
            assert!(answer.contains(end), "{answer}");
        })
        .await;
}

/// Guards against a stream of an evacuated zone that breaks and is resumed in that zone.
#[tokio::test]
async fn stream_of_an_evacuated_zone_is_resumed_in_another_one() {
    LocalSet::new()
        .run_until(async {
            let script = [Action::Write(BEGIN), Action::Pause(FAILURE_DELAY), Action::Close];
            let (near, far) = (endpoint(&script).await, endpoint(&[Action::Write(REST)]).await);
            let (served, entry) = serve_with_state(&[&near, &far]).await;

            let evacuated = || evacuate(&entry, 1, &["a"]);
            let answer = call_and_change(&served, STREAM, evacuated).await;
            wait_until("the stream ends", || entry.outstanding.get() == 0).await;

            assert_eq!((near.count(), far.count()), (1, 1), "{answer}");
            assert!(answer.ends_with("data: b\n\n\r\n0\r\n\r\n"), "{answer}");
        })
        .await;
}

/// Guards against a request that waits for endpoints it may not use, falls back to another region, or
/// is refused without the time to come back.
#[parameterized(
    all_zones_evacuated = { &[], &[], &["a", "b"] },
    no_endpoint_in_the_region = { &["elsewhere"], &[], &[] },
    regions_without_intersection = { &["near"], &["far"], &[] },
    allowed_region_evacuated = { &["near"], &[], &["a"] },
)]
#[test_macro(tokio::test)]
async fn request_that_nothing_may_serve_is_refused_at_once(
    route: &'static [&'static str],
    workspace: &'static [&'static str],
    evacuated: &'static [&'static str],
) {
    LocalSet::new()
        .run_until(async {
            let (near, far) = (good().await, good().await);
            let (served, entry) = serve_without_configuration(&[&near, &far]).await;
            learn_configuration(&entry);
            learn(&entry, restricted(2, route, workspace));
            evacuate(&entry, 1, evacuated);
            let begun = boot_time();

            let answer = call(&served, ONCE, "r1").await;

            assert!(boot_time() - begun < PROMPT_REFUSAL, "{answer}");
            assert_eq!((status(&answer), near.count(), far.count()), (503, 0, 0), "{answer}");
            let delay = header(&answer, "retry-after").and_then(|value| value.parse::<f64>().ok());
            assert!(delay.is_some_and(|seconds| seconds > 0.0), "{answer}");
        })
        .await;
}
