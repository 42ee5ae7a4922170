//! Refusals under overload, and repeated requests.

mod common;

use std::sync::Arc;

use common::Cluster;
use common::read_json;
use hickoryreel_testkit::http::Http;
use serde_json::Value;
use serde_json::json;

const REQUESTS: usize = 60;

/// Guards against refusals that misreport whether the request ran, and against overload by less
/// urgent requests that leaves an urgent one without service.
#[tokio::test]
async fn overload_refusals_are_accurate() {
    let mut cluster = Cluster::start(1, "queue-normal = 20\nqueue-bulk = 20").await;
    let arguments = ["--version", "small/1", "--token-ms", "30", "--slots", "4"];
    let engine = cluster.stand_in("engine", "e0", &arguments);
    cluster.wait_until_served("small").await;
    let before = read_json(engine, "/v1/state").await["started"]["small/1"].as_u64().unwrap_or(0);
    let entry = cluster.entries[0];
    let cluster = Arc::new(cluster);

    let requests = (0..REQUESTS).map(|number| {
        let rank = if number % 2 == 0 { "normal" } else { "bulk" };
        tokio::spawn(complete(entry, format!("f{number}"), rank))
    });
    let mut answered = 0;
    let mut refused = 0;
    for request in requests.collect::<Vec<_>>() {
        let (status, text) = request.await.expect("answer");
        if status == 200 {
            answered += 1;
            continue;
        }
        let body: Value = serde_json::from_str(&text).expect("JSON");
        let code = body["error"]["code"].as_str().unwrap_or_default();
        assert!(["queue_full", "deadline_unmet"].contains(&code), "{status} {text}");
        assert_eq!(body["error"]["ran"], "no", "{text}");
        refused += 1;
    }

    let after = read_json(engine, "/v1/state").await["started"]["small/1"].as_u64().unwrap_or(0);
    assert_eq!(after - before, answered, "what was refused did not run");
    assert!(answered > 0 && refused > 0, "{answered} answered, {refused} refused");
    assert_eq!(cluster.metric(0, "queued{").await, 0.0);
    assert_eq!(cluster.metric(0, "unclosed_records").await, 0.0);
    let (status, text) = complete(entry, "u1".to_owned(), "urgent").await;
    assert_eq!(status, 200, "{text}");
}

/// Guards against a second bill for a repeated request, and against a request id that is reused for
/// a different request.
#[tokio::test]
async fn repeated_request_is_billed_once() {
    let mut cluster = Cluster::start(2, "").await;
    cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;
    let body = |prompt: &str| json!({"model": "small", "prompt": prompt, "max_tokens": 3});

    let first = cluster.complete(0, "r1", &body("a")).await;
    let second = cluster.complete(1, "r1", &body("a")).await;
    let other = cluster.complete(1, "r1", &body("b")).await;

    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(first, second);
    assert_eq!(other.0, 422, "{}", other.1);
    assert!(other.1.contains("\"ran\":\"unknown\""), "it was dispatched meanwhile: {}", other.1);
    assert_eq!(cluster.bills("r1").len(), 1);
}

async fn complete(entry: std::net::SocketAddr, id: String, rank: &'static str) -> (u16, String) {
    let body = json!({"model": "small", "prompt": "x", "max_tokens": 20}).to_string();
    let headers = [("x-request-id", id.as_str()), ("x-rank", rank)];
    let answer = Http::with_key("athens-key")
        .call(hyper::Method::POST, entry, "/v1/completions", &headers, body.into())
        .await
        .expect("answer");
    (answer.status, String::from_utf8_lossy(&answer.body).into_owned())
}
