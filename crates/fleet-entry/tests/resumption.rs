//! Streams that break off, and endpoints that answer the request to resume them with something else
//! than the rest.

mod common;
#[path = "common/harness.rs"]
mod harness;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::serve;
use harness::status;
use tokio::task::LocalSet;
use yare::parameterized;

const BEGIN: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const REST: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
                    content-type: text/event-stream; charset=utf-8\r\n\
                    transfer-encoding: chunked\r\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
const COMMENT_FIRST: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                             content-length: 24\r\n\r\n: again\n\nid: 2\ndata: b\n\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nid: {id}\r\ncontent-type: text/event-stream\r\n\
                      content-length: 17\r\n\r\ndata: an error\n\n\n";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 17\r\n\r\n\
                       data: an error\n\n\n";
const OTHER_TYPE: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/plain\r\n\
                          content-length: 17\r\n\r\nid: 2\nan error\n\n\n";
const NO_TYPE: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 17\r\n\r\nid: 2\nan error\n\n\n";
const EVENT_WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                                content-length: 17\r\n\r\ndata: an error\n\n\n";
const REPEATED: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                        content-length: 30\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const EMPTY: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                     content-length: 0\r\n\r\n";
const NO_CONTENT: &str =
    "HTTP/1.1 204 None\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\r\n";
const UNFRAMED: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\r\n";
const HEAD_IN_THE_BODY: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
                                content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n\
                                HTTP/1.1 500 Failed\r\nid: 2\r\n\r\nan error\n\n";

const LAST_WITHOUT_ID: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
                               content-type: text/event-stream\r\ncontent-length: 24\r\n\r\n\
                               id: 2\ndata: c\n\ndata: b\n\n";

async fn endpoint(bytes: &'static str) -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(bytes), Action::Close]]).await
}

/// Calls an entry whose first endpoint begins the stream. Returns the body of the answer.
async fn call_resumed(begin: &'static str, other: &'static str) -> String {
    let (first, second) = (endpoint(begin).await, endpoint(other).await);
    let served = serve(&[&first, &second]).await;
    let answer = call(&served, STREAM, "r1").await;
    assert_eq!((status(&answer), second.count()), (200, 1), "{answer}");
    answer.split_once("\r\n\r\n").expect("there is a head").1.to_owned()
}

const FIRST_CHUNK: &str = "F\r\nid: 1\ndata: a\n\n\r\n";

/// Guards against a client that finds the error of the next endpoint in the middle of its stream, or
/// a stream that ends as if it were complete.
#[parameterized(
    failed = { FAILED },
    refused = { REFUSED },
    other_type = { OTHER_TYPE },
    no_type = { NO_TYPE },
    event_without_id = { EVENT_WITHOUT_ID },
    repeated = { REPEATED },
    empty = { EMPTY },
    no_content = { NO_CONTENT },
    unframed = { UNFRAMED },
    nothing = { "" },
    cut_head = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n" },
)]
#[test_macro(tokio::test)]
async fn error_of_the_next_endpoint_is_not_part_of_the_stream(other: &'static str) {
    LocalSet::new()
        .run_until(async {
            assert_eq!(call_resumed(BEGIN, other).await, FIRST_CHUNK);
        })
        .await;
}

/// Guards against the head of an error that is forwarded as an event, because the endpoint wrote it
/// into a body that ends with its connection.
#[tokio::test]
async fn head_of_an_error_in_the_body_is_no_event() {
    LocalSet::new()
        .run_until(async {
            let body = call_resumed(HEAD_IN_THE_BODY, REST).await;

            assert!(
                body.contains("data: a") && body.ends_with("data: b\n\n\r\n0\r\n\r\n"),
                "{body}"
            );
            assert!(!body.contains("500") && !body.contains("error"), "{body}");
        })
        .await;
}

/// Guards against the rest of a stream that is taken for an error.
#[parameterized(
    rest = { REST },
    comment_first = { COMMENT_FIRST },
    last_event_without_id = { LAST_WITHOUT_ID },
)]
#[test_macro(tokio::test)]
async fn rest_of_the_stream_is_forwarded(other: &'static str) {
    LocalSet::new()
        .run_until(async {
            let body = call_resumed(BEGIN, other).await;

            assert!(body.starts_with(FIRST_CHUNK), "{body}");
            assert!(body.contains("data: b\n\n") && body.ends_with("0\r\n\r\n"), "{body}");
        })
        .await;
}

/// Guards against a stream without ids that is not begun anew after an endpoint that sent none of it.
#[tokio::test]
async fn events_without_ids_are_forwarded_if_none_came_before() {
    LocalSet::new()
        .run_until(async {
            let body = call_resumed(UNFRAMED, EVENT_WITHOUT_ID).await;

            assert!(body.contains("data: an error") && body.ends_with("0\r\n\r\n"), "{body}");
        })
        .await;
}

/// Guards against an answer whose head breaks off and that is forwarded as a whole one, with an empty
/// or a short body.
#[parameterized(
    status_line = { "HTTP/1.1 200 OK" },
    status_line_end = { "HTTP/1.1 200 OK\r\n" },
    header = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken" },
    header_end = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\n" },
    length = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\ncontent-length: 4\r\n" },
    half_of_the_empty_line = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\n\r" },
    line_feeds = { "HTTP/1.1 200 OK\nid: {id}\nseal: broken\n" },
    after_an_interim_answer = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\n" },
    short_body = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\ncontent-length: 4\r\n\r\ngo" },
    short_chunk = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\ntransfer-encoding: chunked\r\n\r\n4\r\ngo" },
    no_last_chunk = { "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: broken\r\ntransfer-encoding: chunked\r\n\r\n2\r\ngo\r\n" },
)]
#[test_macro(tokio::test)]
async fn answer_that_breaks_off_is_not_whole(bytes: &'static str) {
    let has_body = bytes.contains("go");
    LocalSet::new()
        .run_until(async {
            for (prefix, expected) in [(ONCE, 502), (SAFE, 200), (STREAM, 200)] {
                let good = if prefix == STREAM {
                    REST
                } else {
                    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood"
                };
                let (first, second) = (endpoint(bytes).await, endpoint(good).await);
                let served = serve(&[&first, &second]).await;

                let answer = call(&served, prefix, "r1").await;

                assert_eq!(status(&answer), expected, "{prefix} {answer}");
                // A stream keeps the receipt of the endpoint that began it.
                let keeps_receipt = prefix == STREAM && has_body;
                assert_eq!(answer.contains("seal: broken"), keeps_receipt, "{prefix} {answer}");
                let whole = expected == 502
                    || answer.ends_with("good")
                    || answer.ends_with("data: b\n\n\r\n0\r\n\r\n");
                assert!(whole, "{prefix} {answer}");
            }
        })
        .await;
}
