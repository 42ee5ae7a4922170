//! Streams from engines that fail during the response.

mod common;

use common::Cluster;
use common::RawConnection;
use common::event_texts;
use common::expected_texts;
use common::read_json;
use common::set_faults;
use hickoryreel_testkit::Relay;
use hickoryreel_testkit::wait;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

/// A short timeout, so that a silent connection is detected soon.
const SETTINGS: &str = "progress-timeout-ms = 300";

async fn one_engine(settings: &str) -> (Cluster, std::net::SocketAddr) {
    let mut cluster = Cluster::start(1, settings).await;
    let engine = cluster.stand_in("engine", "e0", &["--version", "small/1", "--token-ms", "20"]);
    cluster.wait_until_served("small").await;
    (cluster, engine)
}

fn body(tokens: u32) -> Value {
    json!({"model": "small", "prompt": "a b c", "max_tokens": tokens, "stream": true})
}

/// Guards against responses that lose, duplicate or mix events, and against a second run or bill.
#[parameterized(
    cut = { json!({"cut_after": 3}) },
    duplicates = { json!({"duplicate": true}) },
    reordered = { json!({"reorder": true}) },
    duplicates_and_cut = { json!({"duplicate": true, "cut_after": 7}) },
)]
#[test_macro(tokio::test)]
async fn response_is_complete_despite(faults: Value) {
    let (cluster, engine) = one_engine(SETTINGS).await;
    set_faults(engine, faults).await;
    let before = read_json(engine, "/v1/state").await["started"]["small/1"].as_u64();

    let (status, stream) = cluster.complete(0, "r1", &body(20)).await;

    assert_eq!(status, 200, "{stream}");
    assert_eq!(event_texts(&stream), expected_texts(20));
    assert_eq!(stream.matches("[DONE]").count(), 1);
    let after = read_json(engine, "/v1/state").await["started"]["small/1"].as_u64();
    assert_eq!(after, before.map(|count| count + 1), "the engine ran the request once");
    let bills = cluster.bills("r1");
    assert_eq!(bills.len(), 1);
    assert_eq!(bills[0]["usage"]["completion_tokens"], 20);
}

/// Guards against a stand-in that drops the events before a cut if they are all ready, so that a
/// resumed stream makes no progress.
#[tokio::test]
async fn events_before_a_cut_arrive_if_they_are_ready() {
    let (cluster, engine) = one_engine(SETTINGS).await;
    let (status, _) = cluster.complete(0, "r1", &body(20)).await;
    assert_eq!(status, 200);
    set_faults(engine, json!({"cut_after": 3})).await;

    let mut connection = RawConnection::open(engine).await;
    let path = "/v1/runs/athens%3Ar1/stream?offset=4";
    connection.send(&format!("GET {path} HTTP/1.1\r\nhost: engine\r\n\r\n")).await;
    let stream = connection.read_to_end().await;

    assert_eq!(event_texts(&stream), expected_texts(20)[4..7], "{stream}");
}

/// Guards against a stream that waits forever on a connection that became silent.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let cluster = Cluster::start(1, SETTINGS).await;
    let addresses = cluster.harness.addresses(2).expect("addresses");
    let relay = Relay::start(addresses[0], addresses[1]).await.expect("relay");
    let (listen, advertise) = (addresses[1], relay.address().to_string());
    let arguments = ["--version", "small/1", "--token-ms", "20", "--advertise", &advertise];
    let _engine = cluster.stand_in_at(listen, "engine", "e0", &arguments);
    cluster.wait_until_served("small").await;

    let mut caller = RawConnection::post(cluster.entries[0], "r1", &body(40)).await;
    let mut stream = caller.read_until("token5 ").await;
    relay.silence();
    stream.push_str(&caller.read_to_end().await);

    assert_eq!(event_texts(&stream), expected_texts(40));
    assert_eq!(stream.matches("[DONE]").count(), 1);
    assert!(cluster.metric(0, "silent_streams_total").await >= 1.0);
    assert_eq!(cluster.bills("r1").len(), 1);
}

/// Guards against an incomplete response that looks complete, and against a record that stays open.
#[tokio::test]
async fn killed_engine_ends_the_stream_with_an_error() {
    let mut cluster = Cluster::start(1, SETTINGS).await;
    let address = cluster.harness.addresses(1).expect("address")[0];
    let arguments = ["--version", "small/1", "--token-ms", "20"];
    let mut engine = cluster.stand_in_at(address, "engine", "e0", &arguments);
    cluster.wait_until_served("small").await;

    let mut caller = RawConnection::post(cluster.entries[0], "r1", &body(500)).await;
    let mut stream = caller.read_until("token5 ").await;
    engine.kill().expect("kill");
    stream.push_str(&caller.read_to_end().await);

    assert!(stream.contains("event: error"), "{stream}");
    assert!(stream.contains("\"code\":\"answer_incomplete\""), "{stream}");
    assert!(!stream.contains("[DONE]"), "{stream}");
    assert!(!stream.ends_with("0\r\n\r\n"), "the body has no regular end");
    wait::until("the record is closed", || async {
        Ok((cluster.metric(0, "unclosed_records").await == 0.0).then_some(()))
    })
    .await
    .expect("closed");
    drop(engine);
    cluster.stand_in("engine", "e1", &arguments);
}

/// Guards against runs that continue, and records that stay open, after the caller disconnected.
#[tokio::test]
async fn disconnected_caller_cancels_the_run() {
    let (cluster, engine) = one_engine("").await;

    let mut caller = RawConnection::post(cluster.entries[0], "r1", &body(5_000)).await;
    caller.read_until("token5 ").await;
    drop(caller);

    wait::until("the run has ended", || async {
        let run = read_json(engine, "/v1/runs/athens%3Ar1").await;
        Ok((run["state"] == "finished").then_some(()))
    })
    .await
    .expect("cancelled");
    let bill = wait::until("the record is closed", || async { Ok(cluster.bills("r1").pop()) });
    let bill = bill.await.expect("billed");
    let tokens = bill["usage"]["completion_tokens"].as_u64().expect("tokens");
    assert!((5..5_000).contains(&tokens), "billed for what was generated: {tokens}");
    assert_eq!(cluster.metric(0, "unclosed_records").await, 0.0);
    assert_eq!(cluster.metric(0, "open_streams").await, 0.0);
}

/// Guards against complete responses without model or usage.
#[tokio::test]
async fn complete_response_contains_model_and_usage() {
    let (cluster, _) = one_engine("").await;
    let body = json!({"model": "small", "prompt": "a b c", "max_tokens": 4});

    let (status, text) = cluster.complete(0, "r1", &body).await;

    assert_eq!(status, 200, "{text}");
    let answer: Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(answer["model"], "small/1");
    assert_eq!(answer["choices"][0]["text"], "token0 token1 token2 token3 ");
    assert_eq!(answer["usage"], json!({"prompt_tokens": 3, "completion_tokens": 4}));
}
