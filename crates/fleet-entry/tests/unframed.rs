//! Answers without a length or chunks, which end with their connection.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::call;
use harness::header;
use harness::serve;
use harness::status;
use harness::wait_until;
use tokio::task::LocalSet;
use yare::parameterized;

const WHOLE: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\r\ngood";
const HEAD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: one\r\n\r\n";
const TWO_EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const CUT_EVENT: &str = "id: 1\ndata: a\n\nid: 2\ndata: b";
const CUT_DELIMITER: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n";
const REST: &str = "id: 2\ndata: b\n\n";

async fn unframed(parts: &[&'static str], end: Action) -> Endpoint {
    let writes = parts.iter().map(|part| Action::Write(part));
    Endpoint::start(vec![writes.chain([end]).collect()]).await
}

async fn entry(first: &Endpoint, second: &Endpoint) -> TestEntry {
    serve(&[first, second]).await
}

/// Whether the answer ends as its framing says.
fn is_complete(answer: &str) -> bool {
    let (head, body) = answer.split_once("\r\n\r\n").expect("there is a head");
    match header(head, "content-length") {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with("0\r\n\r\n"),
    }
}

fn data_of(answer: &str) -> Vec<&str> {
    answer.lines().filter(|line| line.starts_with("data")).collect()
}

/// Guards against refusing or cutting an answer that ends with its connection, and against a second
/// request on that connection.
#[parameterized(once = { ONCE }, safe = { SAFE })]
#[test_macro(tokio::test)]
async fn whole_answer_ends_with_its_connection(prefix: &str) {
    LocalSet::new()
        .run_until(async {
            let endpoint = unframed(&[WHOLE], Action::Close).await;
            let served = serve(&[&endpoint]).await;
            for (number, id) in ["r1", "r2"].into_iter().enumerate() {
                let answer = call(&served, prefix, id).await;

                assert_eq!((status(&answer), endpoint.count()), (200, number + 1), "{answer}");
                assert_eq!(header(&answer, "seal").as_deref(), Some("s"));
                assert!(answer.ends_with("\r\n\r\ngood") && is_complete(&answer), "{answer}");
            }
        })
        .await;
}

/// Guards against the part of an answer before a reset that is taken for the whole answer.
#[parameterized(once = { ONCE, 502, 0 }, safe = { SAFE, 200, 1 })]
#[test_macro(tokio::test)]
async fn whole_answer_that_is_reset_is_incomplete(prefix: &str, expected: u16, resent: usize) {
    LocalSet::new()
        .run_until(async {
            let first = unframed(&[WHOLE], Action::Reset).await;
            let second =
                unframed(&["HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\r\nother"], Action::Close);
            let second = second.await;
            let served = entry(&first, &second).await;

            let answer = call(&served, prefix, "r1").await;

            assert_eq!((status(&answer), second.count()), (expected, resent), "{answer}");
            assert!(!answer.ends_with("good"), "{answer}");
        })
        .await;
}

/// Guards against a stream that is taken for broken because it ends with its connection, and against
/// a second request on that connection.
#[tokio::test]
async fn stream_that_closes_after_a_whole_event_is_complete() {
    LocalSet::new()
        .run_until(async {
            let first = unframed(&[HEAD, TWO_EVENTS], Action::Close).await;
            let second = unframed(&[HEAD, REST], Action::Close).await;
            let served = entry(&first, &second).await;
            for id in ["r1", "r2"] {
                let answer = call(&served, STREAM, id).await;

                assert_eq!(data_of(&answer), ["data: a", "data: b"], "{answer}");
                assert!(is_complete(&answer), "{answer}");
            }
            assert_eq!((first.count(), second.count()), (2, 0));
        })
        .await;
}

/// Guards against a crash before the first event that looks like a complete stream.
#[tokio::test]
async fn unframed_stream_without_an_event_is_not_complete() {
    LocalSet::new()
        .run_until(async {
            let first = unframed(&[HEAD], Action::Close).await;
            let second = unframed(&[HEAD, TWO_EVENTS], Action::Close).await;
            let served = entry(&first, &second).await;

            let answer = call(&served, STREAM, "r1").await;

            assert_eq!(data_of(&answer), ["data: a", "data: b"], "{answer}");
            assert!(is_complete(&answer), "{answer}");
        })
        .await;
}

/// Guards against a stream without framing that broke off and looks complete to the client, and
/// against an event that is missing, incomplete or repeated after it is resumed.
#[parameterized(
    closed_within_an_event = { CUT_EVENT, Action::Close },
    closed_within_a_delimiter = { CUT_DELIMITER, Action::Close },
    reset_within_an_event = { CUT_EVENT, Action::Reset },
    reset_after_a_whole_event = { "id: 1\ndata: a\n\n", Action::Reset },
)]
#[test_macro(tokio::test)]
async fn stream_that_breaks_off_is_resumed(events: &'static str, end: Action) {
    LocalSet::new()
        .run_until(async {
            let first = unframed(&[HEAD, events], end.clone()).await;
            let second = unframed(&[HEAD, REST], Action::Close).await;
            let served = entry(&first, &second).await;
            let alone = unframed(&[HEAD, events], end).await;
            let served_alone = serve(&[&alone]).await;

            let resumed = call(&served, STREAM, "r1").await;
            let broken = call(&served_alone, STREAM, "r2").await;

            assert_eq!(data_of(&resumed), ["data: a", "data: b"], "{resumed}");
            assert_eq!(header(&second.arrived.borrow()[0], "after").as_deref(), Some("1"));
            assert!(is_complete(&resumed), "{resumed}");
            assert_eq!(data_of(&broken), ["data: a"], "{broken}");
            assert!(!is_complete(&broken), "{broken}");
        })
        .await;
}

/// Guards against taking a pause of a stream without framing for its end.
#[tokio::test]
async fn pause_of_an_unframed_stream_is_not_its_end() {
    LocalSet::new()
        .run_until(async {
            let first = unframed(&[HEAD, TWO_EVENTS], Action::Hang).await;
            let served = serve(&[&first]).await;
            let client = tokio::task::spawn_local(async move { call(&served, STREAM, "r1").await });
            wait_until("the request arrives", || first.count() == 1).await;

            tokio::time::sleep(Duration::from_millis(300)).await;

            assert!(!client.is_finished(), "the stream has not ended");
            client.abort();
            wait_until("the connection is closed", || *first.closed.borrow() == 1).await;
        })
        .await;
}
