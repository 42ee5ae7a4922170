//! Invalid input from callers and endpoints.

mod common;

use common::Cluster;
use common::RawConnection;
use common::request_head;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use serde_json::Value;
use serde_json::json;

const SETTINGS: &str = "max-body = 1024\nbody-timeout-ms = 300\nmax-tokens = 1000";

/// An invalid request, with the expected status and error code.
struct Case {
    name: &'static str,
    text: String,
    status: u16,
    code: &'static str,
}

fn case(name: &'static str, text: String, status: u16, code: &'static str) -> Case {
    Case { name, text, status, code }
}

/// Builds a request with `body`, whose head is modified by `change`.
fn request(body: &str, change: impl Fn(String) -> String) -> String {
    format!("{}{body}", change(request_head("r1", body.len())))
}

fn cases() -> Vec<Case> {
    let valid_body = "{\"model\":\"small\",\"prompt\":\"x\"}";
    let unchanged = |head: String| head;
    let key = |key: &'static str| move |head: String| head.replace("athens-key", key);
    let add_header = |line: &'static str| {
        move |head: String| head.replacen("\r\n\r\n", &format!("\r\n{line}\r\n\r\n"), 1)
    };
    let path = |path: &'static str| move |head: String| head.replace("/v1/completions", path);
    let body = |text: &str| request(text, unchanged);
    vec![
        case("no JSON", body("{"), 400, "malformed_request"),
        case("no prompt", body("{\"model\":\"small\"}"), 400, "malformed_request"),
        case("wrong type", body("{\"prompt\":1}"), 400, "malformed_request"),
        case("no tokens", body("{\"prompt\":\"x\",\"max_tokens\":0}"), 400, "malformed_request"),
        case(
            "too many tokens",
            body("{\"prompt\":\"x\",\"max_tokens\":1001}"),
            400,
            "malformed_request",
        ),
        case("not UTF-8", body("{\"prompt\":\"\\ud800\"}"), 400, "malformed_request"),
        case("too large", body(&"x".repeat(1_025)), 413, "request_too_large"),
        case("too slow", request_head("r1", 10), 408, "request_timeout"),
        case(
            "no key",
            request(valid_body, |head| head.replace("Bearer ", "")),
            401,
            "unauthenticated",
        ),
        case("wrong key", request(valid_body, key("other-key")), 401, "unauthenticated"),
        case(
            "no request id",
            request(valid_body, |head| head.replace("x-request-id: r1\r\n", "")),
            400,
            "malformed_request",
        ),
        case(
            "bad request id",
            request(valid_body, |head| head.replace("x-request-id: r1", "x-request-id: a b")),
            400,
            "malformed_request",
        ),
        case(
            "unknown rank",
            request(valid_body, add_header("x-rank: soon")),
            400,
            "malformed_request",
        ),
        case(
            "rank that is not allowed",
            request(valid_body, |head| add_header("x-rank: urgent")(key("chania-key")(head))),
            403,
            "not_allowed",
        ),
        case(
            "bad time",
            request(valid_body, add_header("x-request-time: noon")),
            400,
            "malformed_request",
        ),
        case(
            "bad session",
            request(valid_body, add_header("x-session: a,b")),
            400,
            "malformed_request",
        ),
        case("unknown model", body("{\"model\":\"tiny\",\"prompt\":\"x\"}"), 404, "not_found"),
        case("unknown version", body("{\"model\":\"small/9\",\"prompt\":\"x\"}"), 404, "not_found"),
        case(
            "version that is not allowed",
            request("{\"model\":\"large/1\",\"prompt\":\"x\"}", key("chania-key")),
            403,
            "not_allowed",
        ),
        case("no endpoint", body("{\"model\":\"large\",\"prompt\":\"x\"}"), 503, "no_endpoint"),
        case("unknown service", request("{}", path("/v1/services/attic/x")), 404, "not_found"),
        case(
            "service that is not allowed",
            request("{}", |head| path("/v1/services/ledger/x")(key("chania-key")(head))),
            403,
            "not_allowed",
        ),
        case(
            "run-once without a time",
            request("{}", path("/v1/services/ledger/transfers")),
            400,
            "malformed_request",
        ),
        case(
            "encoded path",
            request("{}", path("/v1/services/ledger/%74ransfers")),
            400,
            "malformed_request",
        ),
        case(
            "path with dots",
            request("{}", path("/v1/services/ledger/x/../transfers")),
            400,
            "malformed_request",
        ),
    ]
}

/// Guards against invalid input that gets the wrong error kind, is reported as run, stops the entry
/// or leaves a record open.
#[tokio::test]
async fn invalid_requests_get_the_right_error_kind() {
    let mut cluster = Cluster::start(1, SETTINGS).await;
    let engine = cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;
    let started = common::read_json(engine, "/v1/state").await["started"].clone();

    for case in cases() {
        let mut caller = RawConnection::open(cluster.entries[0]).await;
        caller.send(&case.text).await;
        let answer = caller.read_until("}}").await;

        let name = case.name;
        assert!(answer.starts_with(&format!("HTTP/1.1 {} ", case.status)), "{name}: {answer}");
        let body = answer.split("\r\n\r\n").last().unwrap_or_default();
        let body: Value = serde_json::from_str(body).expect(name);
        assert_eq!(body["error"]["code"], case.code, "{name}");
        assert_eq!(body["error"]["ran"], "no", "{name}");
        let retry = matches!(case.status, 408 | 429 | 503);
        assert_eq!(answer.contains("\r\nretry-after: "), retry, "{name}: {answer}");
    }

    assert_eq!(common::read_json(engine, "/v1/state").await["started"], started);
    assert_eq!(cluster.metric(0, "unclosed_records").await, 0.0);
    cluster.wait_until_served("small").await;
}

/// Guards against an entry that fails on input that is not HTTP or that ends early.
#[tokio::test]
async fn malformed_connections_leave_no_open_records() {
    let mut cluster = Cluster::start(1, SETTINGS).await;
    cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;
    let long = "x-pad: ".to_owned() + &"y".repeat(600_000);
    let garbage = [
        "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
        "GET /live HTTP/1.1\r\nhost: e\r\n\r\nnonsense nonsense\r\n\r\n".to_owned(),
        request_head("r1", 5).replace("\r\n\r\n", &format!("\r\n{long}\r\n\r\n")),
        "GET / HTTP/1.1\r\n".to_owned() + &"a: b\r\n".repeat(200) + "\r\n",
        request_head("r1", 5).replace("content-length: 5", "content-length: -5"),
    ];

    for text in &garbage {
        let mut caller = RawConnection::open(cluster.entries[0]).await;
        // The entry may close the connection before everything is written.
        let _ = tokio::io::AsyncWriteExt::write_all(&mut caller.0, text.as_bytes()).await;
        let answer = caller.read_to_end().await;
        assert!(!answer.contains("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream"), "{answer}");
    }
    let mut caller = RawConnection::open(cluster.entries[0]).await;
    caller.send(&format!("{}{{\"pro", request_head("cut", 100))).await;
    drop(caller);

    cluster.wait_until_served("small").await;
    // If control is slow, a response ends before the close of its record is acknowledged.
    wait::until("every record is closed", || async {
        Ok((cluster.metric(0, "unclosed_records").await == 0.0).then_some(()))
    })
    .await
    .expect("closed");
    assert!(cluster.bills("cut").is_empty());
}

/// Guards against announcements without the announce key.
#[tokio::test]
async fn announcement_needs_its_key() {
    let hash = hickoryreel_base::bundle::key_sha256("announce-key");
    let cluster = Cluster::start(1, &format!("announce-key-sha256 = {hash}")).await;
    let announcement = json!({
        "endpoint": "e0", "incarnation": 1, "sequence": 1, "address": "127.0.0.1:1",
        "region": "attica", "zone": "attica-a", "state": "serving",
        "role": {"engine": {"versions": ["small/1"], "checks_fence": false}},
        "load": {"running": 0, "queued": 0, "slots": 1},
    });
    let announce = |http: Http| {
        let (entry, announcement) = (cluster.entries[0], announcement.clone());
        async move { http.post(entry, "/v1/announce", &announcement).await.expect("answer").status }
    };

    assert_eq!(announce(Http::new()).await, 401);
    assert_eq!(announce(Http::with_key("athens-key")).await, 401);
    assert_eq!(announce(Http::with_key("announce-key")).await, 200);
}
