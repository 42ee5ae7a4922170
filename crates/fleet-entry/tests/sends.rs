//! What happens after each way in which a send can end.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Act;
use harness::Endpoint;
use harness::call;
use harness::header;
use harness::learn_configuration;
use harness::read_all;
use harness::send;
use harness::serve;
use harness::serve_without_configuration;
use harness::status;
use harness::until;
use tokio::task::LocalSet;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n";
const FOREIGN: &str = "HTTP/1.1 200 OK\r\nid: other\r\nseal: o\r\ncontent-length: 3\r\n\r\nbad";
const CUT: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 9\r\n\r\ngo";
const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: one\r\ntransfer-encoding: chunked\r\n\r\n";

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Act::Write(GOOD)]]).await
}

async fn run(acts: Vec<Act>, prefix: &str) -> (String, usize, usize) {
    LocalSet::new()
        .run_until(async {
            let (first, second) = (Endpoint::start(vec![acts]).await, good().await);
            let served = serve(&[&first, &second]).await;
            let answer = call(&served, prefix, "r1").await;
            (answer, first.count(), second.count())
        })
        .await
}

/// Guards against an answer that loses its receipt or its body on the way.
#[tokio::test]
async fn good_answer_is_passed_on_whole() {
    let (answer, first, second) = run(vec![Act::Write(GOOD)], ONCE).await;

    assert_eq!((status(&answer), first, second), (200, 1, 0));
    assert_eq!(header(&answer, "seal").as_deref(), Some("s"));
    assert!(answer.ends_with("\r\n\r\ngood"));
}

/// Guards against a request that is given up although the endpoint states that it did not run.
#[tokio::test]
async fn refused_request_goes_to_another_endpoint() {
    let (answer, first, second) = run(vec![Act::Write(NOT_RUN)], ONCE).await;

    assert_eq!((status(&answer), first, second), (200, 1, 1));
}

/// Guards against a second run of a request that may run only once, and against an answer that
/// says it has not run.
#[tokio::test]
async fn lost_answer_of_a_request_that_runs_once_is_unknown() {
    for acts in [vec![Act::Close], vec![Act::Write(CUT), Act::Close], vec![Act::Write(FOREIGN)]] {
        let (answer, first, second) = run(acts, ONCE).await;

        assert_eq!((status(&answer), first, second), (502, 1, 0), "{answer}");
    }
}

/// Guards against a repeatable request that fails although another endpoint could answer.
#[tokio::test]
async fn lost_answer_of_a_repeatable_request_is_asked_for_again() {
    let ways = [
        vec![Act::Close],
        vec![Act::Write(CUT), Act::Close],
        vec![Act::Write(FOREIGN)],
        vec![Act::Write(FAILED)],
        vec![Act::Hang],
    ];
    for acts in ways {
        let (answer, first, second) = run(acts, SAFE).await;

        assert_eq!((status(&answer), first, second), (200, 1, 1), "{answer}");
        assert!(answer.ends_with("good"));
    }
}

/// Guards against a run that is thrown away because a loaded endpoint takes long to begin its answer
/// and this entry has no other request there.
#[tokio::test]
async fn slow_endpoint_that_accepts_connections_is_not_left() {
    let event = Act::Write("f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n");
    let acts = vec![Act::Pause(Duration::from_millis(1_600)), Act::Write(STREAM_HEAD), event];

    let (answer, first, second) = run(acts, STREAM).await;

    assert_eq!((status(&answer), first, second), (200, 1, 0), "{answer}");
}

/// Guards against a failure of an endpoint that is hidden from the caller, or run again.
#[tokio::test]
async fn failure_of_a_request_that_runs_once_is_passed_on() {
    let (answer, first, second) = run(vec![Act::Write(FAILED)], ONCE).await;

    assert_eq!((status(&answer), first, second), (500, 1, 0));
    assert_eq!(header(&answer, "seal").as_deref(), Some("f"));
}

/// Guards against bytes behind an answer that are taken for the next answer on the connection.
#[tokio::test]
async fn connection_with_extra_bytes_is_not_used_again() {
    LocalSet::new()
        .run_until(async {
            let extra = Act::Write(FOREIGN);
            let scripts = vec![vec![Act::Write(GOOD), extra], vec![Act::Write(GOOD)]];
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

/// Guards against a second answer that arrives late, when the next request waits for its own.
#[tokio::test]
async fn late_answer_of_another_request_is_not_passed_on() {
    LocalSet::new()
        .run_until(async {
            let scripts = vec![vec![Act::Write(GOOD)], vec![Act::Write(FOREIGN), Act::Write(GOOD)]];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;
            assert_eq!(status(&call(&served, ONCE, "r1").await), 200);

            let answer = call(&served, ONCE, "r2").await;

            assert_eq!(status(&answer), 502, "{answer}");
        })
        .await;
}

/// Guards against a stream that is joined wrongly: an event missing, twice, or cut in its middle.
#[tokio::test]
async fn broken_stream_is_continued_after_its_last_whole_event() {
    let ends: [Vec<Act>; 2] = [vec![Act::Close], vec![Act::Write("0\r\n\r\n")]];
    for end in ends {
        LocalSet::new()
            .run_until(async {
                let begin = Act::Write("14\r\nid: 1\ndata: a\n\nid: 2\r\n");
                let first = [vec![Act::Write(STREAM_HEAD), begin], end].concat();
                let first = Endpoint::start(vec![first]).await;
                let rest = "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n";
                let rest = vec![Act::Write(STREAM_HEAD), Act::Write(rest)];
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

/// Guards against a broken stream that looks complete.
#[tokio::test]
async fn stream_that_can_not_be_continued_looks_broken() {
    LocalSet::new()
        .run_until(async {
            let begin = Act::Write("f\r\nid: 1\ndata: a\n\n\r\n");
            let scripts = vec![vec![Act::Write(STREAM_HEAD), begin, Act::Close]];
            let endpoint = Endpoint::start(scripts).await;
            let served = serve(&[&endpoint]).await;

            let answer = call(&served, STREAM, "r1").await;

            assert!(answer.contains("data: a"), "{answer}");
            assert!(!answer.ends_with("0\r\n\r\n"), "{answer}");
        })
        .await;
}

/// Guards against an endpoint that goes on working for a client that has left.
#[tokio::test]
async fn endpoint_is_cancelled_when_the_client_leaves() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Act::Hang]]).await;
            let served = serve(&[&endpoint]).await;
            let request = format!(
                "POST {ONCE}x HTTP/1.1\r\nhost: host\r\nid: r1\r\nkey: key\r\n\
                 content-length: 0\r\n\r\n"
            );
            let client = send(&served, &request).await;
            until("the request arrives", || endpoint.count() == 1).await;

            drop(client);

            until("the endpoint's connection is closed", || *endpoint.closed.borrow() == 1).await;
        })
        .await;
}

/// Guards against a refusal of requests that arrive while an entry that has just started is about
/// to learn the configuration, and against a wait that outlasts the request.
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

/// Guards against work for callers without a key, and against bad input that disturbs an entry.
#[tokio::test]
async fn key_is_needed_and_bad_requests_are_refused_from_the_table() {
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

/// Guards against a request hidden in the body of another one with ambiguous framing.
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
