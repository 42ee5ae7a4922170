//! API keys and other credentials of requests on routes that need no key.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::rc::Rc;
use std::time::Duration;

use common::SAFE;
use common::STREAM;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::WAIT_LIMIT;
use harness::read_all;
use harness::send;
use harness::serve_with_state;
use harness::serve_without_configuration;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::former_keys;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet_entry::credentials::FormerKeys;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const CUT_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const STREAM_REST: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n\
                           f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";

/// Calls with `Authorization` headers.
async fn call(served: &TestEntry, prefix: &str, values: &[&str]) -> String {
    let lines: String = values.iter().map(|value| format!("authorization: {value}\r\n")).collect();
    let request = format!(
        "GET {prefix}x HTTP/1.1\r\nhost: host\r\nid: r1\r\ndeadline: 19000\r\n{lines}\
         connection: close\r\n\r\n"
    );
    read_all(send(served, &request).await).await
}

/// Values of the `Authorization` headers of each request that arrived.
fn credentials(endpoint: &Endpoint) -> Vec<Vec<String>> {
    let arrived = endpoint.arrived.borrow();
    let values = |head: &String| {
        let lines = head.lines().filter_map(|line| line.strip_prefix("authorization: "));
        lines.map(str::to_owned).collect()
    };
    arrived.iter().map(values).collect()
}

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(GOOD)]]).await
}

fn learn(entry: &Entry, configuration: Configuration) {
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    entry.state_changed.notify_waiters();
}

fn with_keys(number: u64, keys: &[&str]) -> Configuration {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    let workspace =
        Workspace { name: "workspace".into(), keys, rank: None, allowed_regions: Vec::new() };
    Configuration { workspaces: Some(vec![workspace]), ..configuration(number) }
}

/// Confirms the configuration each time that a request waits for that, as the polls do.
async fn confirm_on_request(entry: Rc<Entry>) {
    loop {
        entry.confirmation_wanted.notified().await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        learn(&entry, configuration(1));
    }
}

/// Guards against an API key that is passed to an endpoint because the route of its request needs
/// none, in each form in which clients write it.
#[parameterized(
    usual = { &["Bearer key"], &[] },
    lower_case = { &["bearer key"], &[] },
    spaces = { &["BEARER   key "], &[] },
    tab = { &["Bearer\tkey"], &[] },
    quoted = { &["Bearer \"key\""], &[] },
    without_a_scheme = { &["key"], &[] },
    other_scheme = { &["Basic key"], &[] },
    in_a_list = { &["Basic abc, Bearer key"], &[] },
    twice = { &["Bearer key", "Bearer key"], &[] },
    behind_another = { &["Basic abc", "Bearer key"], &["Basic abc"] },
    before_another = { &["Bearer key", "Basic abc"], &["Basic abc"] },
)]
#[test_macro(tokio::test)]
async fn key_is_not_passed_on(sent: &[&str], passed_on: &[&str]) {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, _) = serve_with_state(&[&endpoint]).await;

            let answer = call(&served, SAFE, sent).await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(credentials(&endpoint), [passed_on]);
        })
        .await;
}

/// Guards against credentials of a public service that don't reach it.
#[parameterized(
    basic = { "Basic dXNlcjpwYXNz" },
    token = { "Bearer token-of-the-service" },
    similar = { "Bearer key2" },
)]
#[test_macro(tokio::test)]
async fn credentials_of_the_service_are_passed_on(sent: &str) {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            tokio::task::spawn_local(confirm_on_request(entry));

            let answer = call(&served, SAFE, &[sent]).await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(credentials(&endpoint), [[sent]]);
        })
        .await;
}

/// Guards against a key that is passed on because the configuration in force no longer has it.
#[tokio::test]
async fn key_of_an_earlier_configuration_is_not_passed_on() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            learn(&entry, with_keys(2, &["other"]));
            learn(&entry, with_keys(3, &["third"]));
            learn(&entry, Configuration { workspaces: None, ..configuration(4) });

            for key in ["key", "other", "third"] {
                call(&served, SAFE, &[&format!("Bearer {key}")]).await;
            }

            assert_eq!(credentials(&endpoint), [const { &[""; 0] }; 3]);
        })
        .await;
}

/// Guards against a key that is passed on by an entry that has started after its removal.
#[tokio::test]
async fn key_that_was_removed_before_the_start_is_not_passed_on() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_without_configuration(&[&endpoint]).await;
            let former_keys = vec![former_keys::hash("removed")];
            let newest = Confirmed { former_keys, ..confirmed(configuration(9)) };
            entry.view.borrow_mut().confirm(boot_time(), newest);

            let answer = call(&served, SAFE, &["Bearer removed"]).await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(credentials(&endpoint), [const { &[""; 0] }]);
        })
        .await;
}

/// Guards against a key that is passed on before the entry has the configuration that adds it.
#[tokio::test]
async fn key_of_a_newer_configuration_is_not_passed_on() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            let calling =
                tokio::task::spawn_local(async move { call(&served, SAFE, &["Bearer new"]).await });
            let asked = tokio::time::timeout(WAIT_LIMIT, entry.confirmation_wanted.notified());
            asked.await.expect("the request waits for a confirmation");
            assert_eq!(endpoint.count(), 0);

            learn(&entry, with_keys(2, &["key", "new"]));

            assert_eq!(status(&calling.await.expect("the call ends")), 200);
            assert_eq!(credentials(&endpoint), [const { &[""; 0] }]);
        })
        .await;
}

/// Guards against a key of the first workspaces that is passed on by an entry that still has a
/// configuration without any, for example because it was suspended.
#[tokio::test]
async fn first_key_is_not_passed_on() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            learn(&entry, Configuration { workspaces: None, ..configuration(2) });
            let calling = tokio::task::spawn_local(async move {
                call(&served, SAFE, &["Bearer first-key"]).await
            });
            let asked = tokio::time::timeout(WAIT_LIMIT, entry.confirmation_wanted.notified());
            asked.await.expect("the request waits for a confirmation");
            assert_eq!(endpoint.count(), 0);

            learn(&entry, with_keys(3, &["first-key"]));

            assert_eq!(status(&calling.await.expect("the call ends")), 200);
            assert_eq!(credentials(&endpoint), [const { &[""; 0] }]);
        })
        .await;
}

/// Guards against a credential that is passed on, or a request that hangs, while nobody can confirm
/// that it is no key.
#[tokio::test]
async fn unknown_credential_is_refused_without_a_confirmation() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, _) = serve_with_state(&[&endpoint]).await;

            let answer = call(&served, SAFE, &["Bearer unknown"]).await;

            assert_eq!((status(&answer), endpoint.count()), (503, 0), "{answer}");
            assert!(answer.contains("retry-after"), "{answer}");
        })
        .await;
}

/// Guards against a key in a repeat or in the request that resumes a stream.
#[parameterized(
    repeat = { SAFE, REFUSED, GOOD },
    resumed = { STREAM, CUT_STREAM, STREAM_REST },
)]
#[test_macro(tokio::test)]
async fn key_is_not_passed_on_with_another_send(
    prefix: &str,
    first: &'static str,
    second: &'static str,
) {
    LocalSet::new()
        .run_until(async {
            let first = Endpoint::start(vec![vec![Action::Write(first), Action::Close]]).await;
            let second = Endpoint::start(vec![vec![Action::Write(second)]]).await;
            let (served, _) = serve_with_state(&[&first, &second]).await;

            call(&served, prefix, &["Bearer key"]).await;

            wait_until("the second send arrives", || second.count() == 1).await;
            assert_eq!(credentials(&first), [const { &[""; 0] }]);
            assert_eq!(credentials(&second), [const { &[""; 0] }]);
        })
        .await;
}

/// Guards against memory that grows with each key that is removed.
#[test]
fn former_keys_are_bounded() {
    let mut keys = FormerKeys::default();
    for number in 0..100_000 {
        keys.add(former_keys::hash(&format!("key-{number}")));
    }

    assert!(keys.contains("key-99999") && keys.contains("key-40000"));
    assert!(!keys.contains("key-0") && !keys.contains("unknown"));
}
