//! Behaviour of an entry after each way in which a send can end.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::cell::Cell;
use std::time::Duration;

use bytes::Bytes;
use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::header;
use harness::learn_configuration;
use harness::read_all;
use harness::send;
use harness::serve;
use harness::serve_without_configuration;
use harness::status;
use harness::wait_until;
use hickoryreel_fleet_entry::exchange::Failure;
use hickoryreel_fleet_entry::exchange::Pool;
use http::Request;
use http_body_util::Full;
use tokio::task::LocalSet;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n";
const OTHER_REQUEST: &str =
    "HTTP/1.1 200 OK\r\nid: other\r\nseal: o\r\ncontent-length: 3\r\n\r\nbad";
const TRUNCATED: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 9\r\n\r\ngo";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: one\r\ntransfer-encoding: chunked\r\n\r\n";

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(GOOD)]]).await
}

async fn run(actions: Vec<Action>, prefix: &str) -> (String, usize, usize) {
    LocalSet::new()
        .run_until(async {
            let (first, second) = (Endpoint::start(vec![actions]).await, good().await);
            let served = serve(&[&first, &second]).await;
            let answer = call(&served, prefix, "r1").await;
            (answer, first.count(), second.count())
        })
        .await
}

/// Guards against an answer that is forwarded without its receipt or its body.
#[tokio::test]
async fn complete_answer_is_forwarded() {
    let (answer, first, second) = run(vec![Action::Write(GOOD)], ONCE).await;

    assert_eq!((status(&answer), first, second), (200, 1, 0));
    assert_eq!(header(&answer, "seal").as_deref(), Some("s"));
    assert!(answer.ends_with("\r\n\r\ngood"));
}

/// Guards against failing a request although the endpoint states that it did not run.
#[tokio::test]
async fn refused_request_is_sent_to_another_endpoint() {
    let (answer, first, second) = run(vec![Action::Write(NOT_RUN)], ONCE).await;

    assert_eq!((status(&answer), first, second), (200, 1, 1));
}

/// Guards against a second run of a request that may run only once, and against an answer that
/// states it has not run.
#[tokio::test]
async fn lost_answer_of_a_non_repeatable_request_is_unknown() {
    for actions in [
        vec![Action::Close],
        vec![Action::Write(TRUNCATED), Action::Close],
        vec![Action::Write(OTHER_REQUEST)],
    ] {
        let (answer, first, second) = run(actions, ONCE).await;

        assert_eq!((status(&answer), first, second), (502, 1, 0), "{answer}");
    }
}

/// Guards against a repeatable request that fails although another endpoint could answer.
#[tokio::test]
async fn repeatable_request_with_a_lost_answer_is_retried() {
    let failures = [
        vec![Action::Close],
        vec![Action::Write(TRUNCATED), Action::Close],
        vec![Action::Write(OTHER_REQUEST)],
        vec![Action::Write(FAILED)],
        vec![Action::Hang],
    ];
    for actions in failures {
        let (answer, first, second) = run(actions, SAFE).await;

        assert_eq!((status(&answer), first, second), (200, 1, 1), "{answer}");
        assert!(answer.ends_with("good"));
    }
}

/// Guards against cancelling a run because a loaded endpoint takes long to begin its answer while
/// this entry has no other request there.
#[tokio::test]
async fn slow_endpoint_that_accepts_connections_is_not_abandoned() {
    let event = Action::Write("f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    let actions =
        vec![Action::Pause(Duration::from_millis(1_600)), Action::Write(STREAM_HEAD), event];

    let (answer, first, second) = run(actions, STREAM).await;

    assert_eq!((status(&answer), first, second), (200, 1, 0), "{answer}");
}

/// Guards against an endpoint's error that is hidden from the client or leads to a second run.
#[tokio::test]
async fn error_of_a_non_repeatable_request_is_forwarded() {
    let (answer, first, second) = run(vec![Action::Write(FAILED)], ONCE).await;

    assert_eq!((status(&answer), first, second), (500, 1, 0));
    assert_eq!(header(&answer, "seal").as_deref(), Some("f"));
}

/// Guards against taking extra bytes after an answer for the next answer on the connection.
#[tokio::test]
async fn connection_with_extra_bytes_is_not_reused() {
    LocalSet::new()
        .run_until(async {
            let extra = Action::Write(OTHER_REQUEST);
            let scripts = vec![vec![Action::Write(GOOD), extra], vec![Action::Write(GOOD)]];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;
            for id in ["r1", "r2"] {
                let answer = call(&served, ONCE, id).await;
                assert_eq!(status(&answer), 200, "{answer}");
                assert!(answer.ends_with("\r\n\r\ngood"));
            }
        })
        .await;
}

/// Guards against forwarding a late second answer to the next request on the connection.
#[tokio::test]
async fn late_answer_of_another_request_is_not_forwarded() {
    LocalSet::new()
        .run_until(async {
            let scripts = vec![
                vec![Action::Write(GOOD)],
                vec![Action::Write(OTHER_REQUEST), Action::Write(GOOD)],
            ];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;
            assert_eq!(status(&call(&served, ONCE, "r1").await), 200);

            let answer = call(&served, ONCE, "r2").await;

            assert_eq!(status(&answer), 502, "{answer}");
        })
        .await;
}

/// Guards against a second run because a late second answer to another request states that it did
/// not run, and against a late answer that names no request.
#[tokio::test]
async fn late_refusal_of_another_request_is_no_refusal() {
    let late = [
        "HTTP/1.1 503 Full\r\nid: r1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad",
    ];
    for late in late {
        LocalSet::new()
            .run_until(async {
                let scripts =
                    vec![vec![Action::Write(GOOD)], vec![Action::Write(late), Action::Write(GOOD)]];
                let endpoint = Endpoint::start(scripts).await;
                let other = good().await;
                let served = serve(&[&endpoint, &other]).await;
                assert_eq!(status(&call(&served, ONCE, "r1").await), 200);

                let answer = call(&served, ONCE, "r2").await;

                assert_eq!((status(&answer), other.count()), (502, 0), "{answer}");
            })
            .await;
    }
}

/// Guards against a request that is written under a lease that ended while the connection was being
/// opened.
#[tokio::test]
async fn request_is_not_written_after_its_permission_ended() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let pool = Pool::new(endpoint.address);
            let permitted = Cell::new(true);
            let request = || permitted.get().then(|| Request::new(Full::new(Bytes::new())));

            let sent = pool.send(request, false, || permitted.set(false)).await;

            assert_eq!(sent.map(|_| ()), Err(Failure::Withdrawn));
            assert_eq!(endpoint.count(), 0);
        })
        .await;
}

/// Guards against a resumed stream in which an event is missing, repeated or incomplete.
#[tokio::test]
async fn interrupted_stream_is_resumed_after_its_last_whole_event() {
    let ends: [Vec<Action>; 2] = [vec![Action::Close], vec![Action::Write("0\r\n\r\n")]];
    for end in ends {
        LocalSet::new()
            .run_until(async {
                let begin = Action::Write("14\r\nid: 1\ndata: a\n\nid: 2\r\n");
                let first = [vec![Action::Write(STREAM_HEAD), begin], end].concat();
                let first = Endpoint::start(vec![first]).await;
                let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
                let rest = vec![Action::Write(STREAM_HEAD), Action::Write(rest)];
                let second = Endpoint::start(vec![rest]).await;
                let served = serve(&[&first, &second]).await;

                let answer = call(&served, STREAM, "r1").await;

                let events: Vec<&str> =
                    answer.lines().filter(|line| line.starts_with("data")).collect();
                assert_eq!(events, ["data: a", "data: b"], "{answer}");
                assert_eq!(header(&second.arrived.borrow()[0], "after").as_deref(), Some("1"));
                assert!(answer.ends_with("0\r\n\r\n"), "the answer is complete: {answer}");
            })
            .await;
    }
}

/// Guards against an interrupted stream that looks complete.
#[tokio::test]
async fn stream_that_cannot_be_resumed_ends_incomplete() {
    LocalSet::new()
        .run_until(async {
            let begin = Action::Write("f\r\nid: 1\ndata: a\n\n\r\n");
            let scripts = vec![vec![Action::Write(STREAM_HEAD), begin, Action::Close]];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;

            let answer = call(&served, STREAM, "r1").await;

            assert!(answer.contains("data: a"), "{answer}");
            assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        })
        .await;
}

/// Guards against an endpoint that continues to run a request after its client has disconnected.
#[tokio::test]
async fn endpoint_is_cancelled_when_the_client_disconnects() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Action::Hang]]).await;
            let served = serve(&[&endpoint]).await;
            let request = format!(
                "POST {ONCE}x HTTP/1.1\r\nhost: host\r\nid: r1\r\nkey: key\r\n\
                 content-length: 0\r\n\r\n"
            );
            let client = send(&served, &request).await;
            wait_until("the request arrives", || endpoint.count() == 1).await;

            drop(client);

            wait_until("the endpoint's connection is closed", || *endpoint.closed.borrow() == 1)
                .await;
        })
        .await;
}

/// Guards against refusing requests that arrive just before an entry that has started gets its
/// configuration, and against a wait beyond the request's deadline.
#[tokio::test]
async fn request_waits_for_the_first_configuration() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_without_configuration(&[&endpoint]).await;
            let learn = async {
                tokio::time::sleep(std::time::Duration::from_millis(100)).await;
                learn_configuration(&entry);
            };
            let (answer, ()) = tokio::join!(call(&served, ONCE, "r1"), learn);
            assert_eq!(status(&answer), 200, "{answer}");

            let (served, _entry) = serve_without_configuration(&[&endpoint]).await;
            let answer = call(&served, ONCE, "r2").await;
            assert_eq!(status(&answer), 503, "{answer}");
            assert!(header(&answer, "retry-after").is_some());
        })
        .await;
}

/// Guards against running requests of clients without a key, and against invalid input that
/// disturbs an entry.
#[tokio::test]
async fn missing_key_and_invalid_requests_are_refused() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let served = serve(&[&endpoint]).await;
            let cases = [
                ("POST /once/x HTTP/1.1\r\nhost: host\r\nid: r\r\nkey: none\r\n", 401),
                ("POST /none/x HTTP/1.1\r\nhost: host\r\nid: r\r\nkey: key\r\n", 404),
                ("POST /once/x HTTP/1.1\r\nhost: host\r\nkey: key\r\n", 400),
                ("POST /safe/x HTTP/1.1\r\nhost: host\r\nid: r\r\ncontent-length: 2000\r\n", 413),
                (
                    "POST /safe/x HTTP/1.1\r\nhost: host\r\nid: r\r\ncontent-length: 1\r\n\
                     content-length: 2\r\n",
                    400,
                ),
            ];
            for (head, expected) in cases {
                let request = format!("{head}connection: close\r\n\r\n");
                let answer = read_all(send(&served, &request).await).await;
                assert_eq!(status(&answer), expected, "{head}: {answer}");
            }
            assert_eq!(endpoint.count(), 0);
        })
        .await;
}

/// Guards against request smuggling: a request in the body of another one with ambiguous framing.
#[tokio::test]
async fn request_within_an_ambiguous_body_is_not_run() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let served = serve(&[&endpoint]).await;
            let hidden = "POST /safe/x HTTP/1.1\r\nhost: host\r\nid: hidden\r\n\r\n";
            let request = format!(
                "POST /safe/x HTTP/1.1\r\nhost: host\r\nid: r1\r\ncontent-length: {}\r\n\
                 transfer-encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
                5 + hidden.len()
            );

            read_all(send(&served, &request).await).await;

            let arrived = endpoint.arrived.borrow();
            assert!(!arrived.iter().any(|head| head.contains("hidden")), "{arrived:?}");
        })
        .await;
}

/// Guards against a connection that is closed after a status that is no final answer.
#[tokio::test]
async fn status_that_is_no_final_answer_is_not_forwarded() {
    let heads = ["HTTP/1.1 101 Up\r\nid: {id}\r\n\r\n", "HTTP/1.1 999 No\r\nid: {id}\r\n\r\n"];
    for head in heads {
        let (safe, _, second) = run(vec![Action::Write(head)], SAFE).await;
        let (once, first, _) = run(vec![Action::Write(head)], ONCE).await;

        assert_eq!((status(&safe), second), (200, 1), "{safe}");
        assert_eq!((status(&once), first), (502, 1), "{once}");
    }
}
