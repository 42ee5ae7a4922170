//! Endpoints that leave or fail, versions that are withdrawn, and entries that stop.

mod common;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use common::Cluster;
use common::RawConnection;
use common::event_texts;
use common::expected_texts;
use common::read_json;
use common::set_faults;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use serde_json::Value;
use serde_json::json;

fn body(tokens: u32) -> Value {
    json!({"model": "small", "prompt": "x", "max_tokens": tokens})
}

async fn started_runs(engine: std::net::SocketAddr, version: &str) -> u64 {
    read_json(engine, "/v1/state").await["started"][version].as_u64().unwrap_or(0)
}

/// Guards against requests to a leaving endpoint, and against responses that are cut off when it
/// stops.
#[tokio::test]
async fn leaving_endpoint_receives_no_new_requests() {
    let mut cluster = Cluster::start(2, "").await;
    let addresses = cluster.harness.addresses(1).expect("address");
    let arguments = ["--version", "small/1", "--leave-ms", "3000"];
    let mut leaving = cluster.stand_in_at(addresses[0], "engine", "e0", &arguments);
    cluster.stand_in("engine", "e1", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;
    let cluster = Arc::new(cluster);
    let stop = Arc::new(AtomicBool::new(false));
    let traffic = send_traffic(&cluster, &stop, 0);
    wait::until("both engines serve", || async {
        Ok((started_runs(addresses[0], "small/1").await > 3).then_some(()))
    })
    .await
    .expect("traffic");

    let ended = tokio::task::spawn_blocking(move || leaving.stop()).await.expect("thread");

    assert!(ended.expect("stopped").success());
    stop.store(true, Ordering::Relaxed);
    assert!(traffic.await.expect("every request was answered") > 0);
    for entry in 0..2 {
        let retries = cluster.metric(entry, "retries_total").await;
        assert_eq!(retries, 0.0, "nothing was sent to the engine at its end");
    }
}

/// Guards against an entry whose shutdown cuts off a stream or leaves a record open.
#[tokio::test]
async fn stopping_entry_completes_its_streams() {
    let mut cluster = Cluster::start(2, "").await;
    cluster.stand_in("engine", "e0", &["--version", "small/1", "--token-ms", "20"]);
    cluster.wait_until_served("small").await;
    let stream = json!({"model": "small", "prompt": "x", "max_tokens": 60, "stream": true});
    let mut caller = RawConnection::post(cluster.entries[0], "long", &stream).await;
    let mut received = caller.read_until("token3 ").await;
    let mut idle = RawConnection::open(cluster.entries[0]).await;
    idle.send("GET /ready HTTP/1.1\r\nhost: e\r\n\r\n").await;
    idle.read_until("ready").await;
    let mut entry = cluster.entry_processes.remove(0);

    let ended = tokio::task::spawn_blocking(move || entry.stop());
    received.push_str(&caller.read_to_end().await);

    assert_eq!(event_texts(&received), expected_texts(60));
    assert!(received.contains("[DONE]"));
    assert_eq!(idle.read_to_end().await, "", "the idle connection is closed");
    assert!(ended.await.expect("thread").expect("stopped").success());
    assert_eq!(cluster.bills("long").len(), 1);
    let (status, text) = cluster.complete(1, "after", &body(2)).await;
    assert_eq!(status, 200, "{text}");
}

/// Guards against new requests to a withdrawn version through any entry, and against a session that
/// is moved without `x-session-moved`.
#[tokio::test]
async fn withdrawn_version_receives_no_new_requests() {
    let mut cluster = Cluster::start(2, "").await;
    let engine =
        cluster.stand_in("engine", "e0", &["--version", "small/1", "--version", "small/2"]);
    cluster.wait_until_served("small").await;
    let session = session_pinned_to(&cluster, "small/1").await;

    let cluster = Arc::new(cluster);
    let stop = Arc::new(AtomicBool::new(false));
    let traffic: Vec<_> = (0..8).map(|caller| send_traffic(&cluster, &stop, caller)).collect();

    cluster
        .run_operator("maria-key", &["withdraw", "small/1", "--reason", "test"])
        .expect("withdraw");
    for entry in 0..2 {
        wait::until("the withdrawal is in force", || async {
            Ok((cluster.metric(entry, "revision ").await >= 4.0).then_some(()))
        })
        .await
        .expect("in force");
    }
    let before = started_runs(engine, "small/1").await;
    let others = started_runs(engine, "small/2").await;
    wait::until("the other version gets work", || async {
        Ok((started_runs(engine, "small/2").await > others + 100).then_some(()))
    })
    .await
    .expect("traffic");
    stop.store(true, Ordering::Relaxed);
    for caller in traffic {
        assert!(caller.await.expect("every request was answered") > 0);
    }

    assert_eq!(started_runs(engine, "small/1").await, before);
    let (head, text) = complete_in_session(&cluster, 1, "moved", &session).await;
    assert!(head.contains("x-session-moved: true"), "{head}");
    assert_eq!(text["model"], "small/2");
    let (head, _) = complete_in_session(&cluster, 0, "stays", &session).await;
    assert!(!head.contains("x-session-moved"), "it moves only once: {head}");
}

/// Sends requests one after another through alternating entries and counts the responses.
fn send_traffic(
    cluster: &Arc<Cluster>,
    stop: &Arc<AtomicBool>,
    caller: usize,
) -> tokio::task::JoinHandle<usize> {
    let (cluster, stop) = (Arc::clone(cluster), Arc::clone(stop));
    tokio::spawn(async move {
        let mut sent = 0;
        while !stop.load(Ordering::Relaxed) {
            let id = format!("t{caller}-{sent}");
            let (status, text) = cluster.complete(sent % 2, &id, &body(2)).await;
            assert_eq!(status, 200, "{text}");
            sent += 1;
        }
        sent
    })
}

/// Guards against a dispatch to a withdrawn version by an entry that was paused during the
/// withdrawal.
#[tokio::test]
async fn paused_entry_does_not_use_a_withdrawn_version() {
    let mut cluster = Cluster::start(1, "").await;
    let engine =
        cluster.stand_in("engine", "e0", &["--version", "small/1", "--version", "small/2"]);
    cluster.wait_until_served("small").await;
    let session = session_pinned_to(&cluster, "small/1").await;
    let before = started_runs(engine, "small/1").await;
    let text = body(1).to_string();
    let mut caller = RawConnection::open(cluster.entries[0]).await;
    let head = common::request_head("late", text.len());
    caller.send(&head.replace("\r\n\r\n", &format!("\r\nx-session: {session}\r\n\r\n"))).await;

    cluster.entry_processes[0].pause().expect("pause");
    cluster
        .run_operator("maria-key", &["withdraw", "small/1", "--reason", "test"])
        .expect("withdraw");
    // Sleeps until the lease has lapsed, because the withdrawal then takes effect without the
    // entry.
    tokio::time::sleep(std::time::Duration::from_millis(3_500)).await;
    caller.send(&text).await;
    cluster.entry_processes[0].resume().expect("resume");
    let answer = caller.read_to_end().await;

    assert_eq!(started_runs(engine, "small/1").await, before, "{answer}");
    assert!(!answer.contains("\"model\":\"small/1\""), "{answer}");
}

/// Guards against requests that fail although another endpoint could serve them, and against
/// further requests to an endpoint that always fails.
#[tokio::test]
async fn failing_endpoint_is_retried_elsewhere_and_ejected() {
    let mut cluster = Cluster::start(1, "").await;
    let failing = cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.stand_in("engine", "e1", &["--version", "small/1"]);
    cluster.stand_in("engine", "e2", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;
    wait::until("the failing engine serves", || async {
        cluster.wait_until_served("small").await;
        Ok((started_runs(failing, "small/1").await > 0).then_some(()))
    })
    .await
    .expect("serves");
    set_faults(failing, json!({"refuse": true})).await;

    for request in 0..60 {
        let (status, text) = cluster.complete(0, &format!("r{request}"), &body(1)).await;
        assert_eq!(status, 200, "{text}");
    }

    let retries = cluster.metric(0, "retries_total").await;
    assert!((1.0..=10.0).contains(&retries), "{retries} retries");
    assert_eq!(cluster.metric(0, "ejected").await, 1.0);
    assert_eq!(cluster.metric(0, "unclosed_records").await, 0.0);
    for request in 0..60 {
        assert_eq!(cluster.bills(&format!("r{request}")).len(), 1);
    }
}

/// Guards against an entry that reports readiness without a quorum and so attracts requests.
#[tokio::test]
async fn entry_without_control_is_not_ready() {
    let cluster = Cluster::start(1, "").await;
    let dead = cluster.harness.addresses(1).expect("address")[0];
    let mut cluster = cluster;
    cluster.entry_processes.clear();
    let entry = cluster.start_entry(0, dead, "");
    cluster.entry_processes.push(entry);
    Http::new().ready(cluster.entries[0], "/live").await.expect("live");

    let ready = Http::new().get(cluster.entries[0], "/ready").await.expect("answer");
    let (status, text) = cluster.complete(0, "r1", &body(1)).await;

    assert_eq!((ready.status, status), (503, 503));
    assert!(text.contains("\"code\":\"no_lease\""), "{text}");
}

/// Returns a session that is pinned to `version`.
async fn session_pinned_to(cluster: &Cluster, version: &str) -> String {
    for number in 0..64 {
        let session = format!("s{number}");
        let (_, answer) = complete_in_session(cluster, 0, &format!("p{number}"), &session).await;
        if answer["model"] == version {
            return session;
        }
    }
    panic!("no session uses {version}");
}

async fn complete_in_session(
    cluster: &Cluster,
    entry: usize,
    id: &str,
    session: &str,
) -> (String, Value) {
    let text = body(1).to_string();
    let mut caller = RawConnection::open(cluster.entries[entry]).await;
    let head = common::request_head(id, text.len());
    let head = head.replace("\r\n\r\n", &format!("\r\nx-session: {session}\r\n\r\n"));
    caller.send(&format!("{head}{text}")).await;
    let answer = caller.read_to_end().await;
    let (head, text) = answer.split_once("\r\n\r\n").expect("head");
    (head.to_owned(), serde_json::from_str(text).expect("JSON"))
}
