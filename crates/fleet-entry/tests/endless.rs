//! Endpoints that send bytes without end where an answer is due.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::send;
use harness::serve;
use harness::serve_with_state;
use harness::status;
use harness::wait_until;
use hickoryreel_fleet_entry::head_check::MAX_BYTES_BEFORE_HEAD;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const GOOD_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\r\n";
const HUGE: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 99999999999\r\n\r\n";
const OPEN_CHUNK: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\nffffff\r\n";
const EXTENSION: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n1;a=";
const TRAILER: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";

/// Bytes that the sockets of both sides may hold in addition to what the entry has read.
const SOCKET_BYTES: usize = 16 << 20;

async fn endless(begin: &'static str, part: &'static str, pause: Duration) -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(begin), Action::Repeat(part, pause)]]).await
}

fn text(size: usize) -> &'static str {
    Box::leak("x".repeat(size).into_boxed_str())
}

/// Guards against an entry that reads without end, and against a request that fails although another
/// endpoint can answer it.
#[parameterized(
    head = { "HTTP/1.1 200 OK\r\na: ", "x" },
    head_lines = { "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
    no_answer = { "", "x" },
    interim_answers = { "", "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" },
    body_with_a_length = { HUGE, "x" },
    body_without_a_length = { UNTIL_CLOSE, "x" },
    chunks = { CHUNKED, "4\r\nxxxx\r\n" },
    chunk_extension = { EXTENSION, "x" },
    trailers = { TRAILER, "a: b\r\n" },
)]
#[test_macro(tokio::test)]
async fn answer_without_end_is_given_up(begin: &'static str, part: &'static str) {
    LocalSet::new()
        .run_until(async {
            let part = Box::leak(part.repeat(64 * 1024 / part.len()).into_boxed_str());
            let first = endless(begin, part, Duration::ZERO).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;

            let safe = call(&served, SAFE, "r1").await;
            // Its lease begins here.
            let alone = serve(&[&first]).await;
            let once = call(&alone, ONCE, "r2").await;

            assert_eq!((status(&safe), second.count()), (200, 1), "{safe}");
            assert_eq!(status(&once), 502, "{once}");
            assert_eq!(first.count(), 2);
            wait_until("both connections are closed", || *first.closed.borrow() == 2).await;
            let limit = 2 * (entry.settings.max_answer_bytes + SOCKET_BYTES);
            assert!(first.repeated.get() <= limit, "{} bytes", first.repeated.get());
            assert_eq!(entry.answer_memory.used(), 0);
        })
        .await;
}

/// Guards against a stream that brings no event and is read without end.
#[parameterized(
    one_event = { CHUNKED, "4\r\nxxxx\r\n" },
    one_chunk = { OPEN_CHUNK, "x" },
    comments = { CHUNKED, "4\r\n: c\n\r\n" },
    empty_events = { CHUNKED, "5\r\n: c\n\n\r\n" },
    repeated_event = { CHUNKED, "f\r\nid: 1\ndata: a\n\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn stream_without_new_events_is_given_up(begin: &'static str, part: &'static str) {
    LocalSet::new()
        .run_until(async {
            let part = Box::leak(part.repeat(64 * 1024 / part.len()).into_boxed_str());
            let first = endless(begin, part, Duration::ZERO).await;
            let rest = GOOD_STREAM.replace("id: 1\ndata: a", "id: 2\ndata: z");
            let second = vec![vec![Action::Write(Box::leak(rest.into_boxed_str()))]];
            let second = Endpoint::start(second).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;

            let answer = call(&served, STREAM, "r1").await;

            assert!(answer.contains("data: z") && answer.ends_with("0\r\n\r\n"));
            wait_until("the connection is closed", || *first.closed.borrow() == 1).await;
            let limit = entry.settings.max_event_bytes + SOCKET_BYTES;
            assert!(first.repeated.get() <= limit, "{} bytes", first.repeated.get());
        })
        .await;
}

/// Guards against an answer that never ends because a byte arrives now and then.
#[parameterized(
    head = { SAFE, "HTTP/1.1 200 OK\r\na: ", "x", GOOD },
    interim_answers = { SAFE, "", "HTTP/1.1 100 Continue\r\n\r\n", GOOD },
    body_with_a_length = { SAFE, HUGE, "x", GOOD },
    body_without_a_length = { SAFE, UNTIL_CLOSE, "x", GOOD },
    chunk_extension = { SAFE, EXTENSION, "x", GOOD },
    trailers = { SAFE, TRAILER, "a", GOOD },
    one_event = { STREAM, CHUNKED, "1\r\nx\r\n", GOOD_STREAM },
    comments = { STREAM, CHUNKED, "3\r\n:\n\n\r\n", GOOD_STREAM },
)]
#[test_macro(tokio::test)]
async fn stalled_answer_that_sends_bytes_is_given_up(
    route: &str,
    begin: &'static str,
    part: &'static str,
    good: &'static str,
) {
    LocalSet::new()
        .run_until(async {
            let first = endless(begin, part, Duration::from_millis(100)).await;
            let second = Endpoint::start(vec![vec![Action::Write(good)]]).await;
            let served = serve(&[&first, &second]).await;

            let answer = call(&served, route, "r1").await;

            assert_eq!((status(&answer), second.count()), (200, 1), "{answer}");
            assert!(answer.ends_with("good") || answer.ends_with("data: a\n\n\r\n0\r\n\r\n"));
        })
        .await;
}

/// Guards against cutting a stream whose whole events come slowly.
#[tokio::test]
async fn slow_stream_with_whole_events_is_not_cut() {
    LocalSet::new()
        .run_until(async {
            let pause = Action::Pause(Duration::from_millis(900));
            let mut script = vec![Action::Write(CHUNKED)];
            for event in ["1", "2", "3", "4"] {
                let event = format!("f\r\nid: {event}\ndata: a\n\n\r\n");
                script.extend([pause.clone(), Action::Write(Box::leak(event.into_boxed_str()))]);
            }
            script.push(Action::Write("0\r\n\r\n"));
            let first = Endpoint::start(vec![script]).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD_STREAM)]]).await;
            let served = serve(&[&first, &second]).await;

            let answer = call(&served, STREAM, "r1").await;

            assert_eq!(answer.matches("data: a").count(), 4, "{answer}");
            assert!(answer.ends_with("0\r\n\r\n"), "{answer}");
            assert_eq!(second.count(), 0);
        })
        .await;
}

/// Guards against a request that outlives its deadline because bytes always arrive.
#[parameterized(
    body = { ONCE, UNTIL_CLOSE, "x", 504 },
    head = { ONCE, "HTTP/1.1 200 OK\r\na: ", "x", 504 },
)]
#[test_macro(tokio::test)]
async fn request_that_runs_once_ends_at_its_deadline(
    route: &str,
    begin: &'static str,
    part: &'static str,
    expected: u16,
) {
    LocalSet::new()
        .run_until(async {
            let first = endless(begin, part, Duration::from_millis(20)).await;
            let served = serve(&[&first]).await;
            let request = format!(
                "POST {route}x HTTP/1.1\r\nhost: host\r\nid: r1\r\nkey: key\r\ndeadline: 500\r\n\
                 connection: close\r\ncontent-length: 0\r\n\r\n"
            );

            let answer = harness::read_all(send(&served, &request).await).await;

            assert_eq!(status(&answer), expected, "{answer}");
        })
        .await;
}

/// Guards against the memory that many such answers take together, and against other requests that
/// fail meanwhile.
#[tokio::test]
async fn memory_is_bounded_while_many_answers_have_no_end() {
    LocalSet::new()
        .run_until(async {
            let first = endless(UNTIL_CLOSE, text(64 << 10), Duration::from_millis(1)).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;
            let limit = entry.settings.memory / 4;
            let watched = std::rc::Rc::clone(&entry);
            let watch = tokio::task::spawn_local(async move {
                loop {
                    assert!(watched.answer_memory.used() <= limit);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            });
            let calls = (0..200).map(|number| {
                let served = &served;
                async move { call(served, SAFE, &format!("r{number}")).await }
            });

            let answers = futures_util::future::join_all(calls).await;

            let others: Vec<&String> =
                answers.iter().filter(|answer| status(answer) != 200).collect();
            assert!(others.is_empty(), "{} of 200: {:?}", others.len(), others.first());
            assert!(!watch.is_finished(), "the limit was kept");
            watch.abort();
            assert_eq!(entry.answer_memory.used(), 0);
        })
        .await;
}

/// Guards against a limit that a few interim answers exceed.
#[test]
fn interim_answers_are_within_the_limit() {
    assert!(MAX_BYTES_BEFORE_HEAD > 100 * "HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n".len());
}
