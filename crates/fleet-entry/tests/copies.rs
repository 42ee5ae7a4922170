//! Endpoints that write an earlier refusal once more on a kept connection.

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
use harness::header;
use harness::serve;
use harness::status;
use harness::wait_until;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const GOOD_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Refusals of an earlier request.
const COPIES: [&str; 7] = [
    "HTTP/1.1 503 Full\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 429 Many\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Other\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 408 Late\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 400 Bad\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n",
];

/// Statuses that promise a client that its request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

fn good(prefix: &str) -> Action {
    Action::Write(if prefix == STREAM { GOOD_STREAM } else { GOOD })
}

/// When the copy is written.
#[derive(Clone, Copy)]
enum Moment {
    /// Right after the previous answer.
    Idle,
    /// While the next request is written, before the endpoint reads it.
    Unread,
    /// After the endpoint has read the next request.
    Read,
}

fn scripts(prefix: &str, copy: &'static str, moment: Moment) -> Vec<Vec<Action>> {
    let (answer, copy) = (good(prefix), Action::Write(copy));
    match moment {
        Moment::Idle => vec![vec![answer.clone(), copy], vec![answer]],
        Moment::Unread => {
            let pause = Action::Pause(Duration::from_millis(60));
            vec![vec![answer.clone(), pause, copy], vec![answer]]
        }
        Moment::Read => {
            let late = Action::Pause(Duration::from_millis(20));
            vec![vec![answer.clone()], vec![copy, late, answer]]
        }
    }
}

/// Guards against a copy that is believed: a request that may have run is reported as not run, or
/// runs at a second endpoint although it may run only once.
#[parameterized(
    once_idle = { ONCE, Moment::Idle },
    once_unread = { ONCE, Moment::Unread },
    once_read = { ONCE, Moment::Read },
    safe_idle = { SAFE, Moment::Idle },
    safe_unread = { SAFE, Moment::Unread },
    safe_read = { SAFE, Moment::Read },
    stream_idle = { STREAM, Moment::Idle },
    stream_unread = { STREAM, Moment::Unread },
    stream_read = { STREAM, Moment::Read },
)]
#[test_macro(tokio::test)]
async fn copy_of_an_earlier_refusal_is_not_believed(prefix: &str, moment: Moment) {
    for copy in COPIES {
        LocalSet::new()
            .run_until(async {
                let first = Endpoint::start(scripts(prefix, copy, moment)).await;
                let second = Endpoint::start(vec![vec![good(prefix)]]).await;
                let served = serve(&[&first, &second]).await;
                assert_eq!(status(&call(&served, prefix, "r1").await), 200);

                let answer = call(&served, prefix, "r2").await;

                let told = status(&answer);
                if prefix == ONCE {
                    wait_until("it arrives", || first.count() == 2).await;
                    assert_eq!(second.count(), 0, "{copy}: {answer}");
                    assert!(!NOT_RUN_STATUSES.contains(&told), "{copy}: {answer}");
                } else {
                    assert_eq!(told, 200, "{copy}: {answer}");
                }
            })
            .await;
    }
}

/// Guards against a promise that the endpoint has not made: only its statement says that a request
/// did not run, not its status.
#[parameterized(
    timeout = { "HTTP/1.1 408 Late\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n" },
    misdirected = { "HTTP/1.1 421 Other\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n" },
    limited = { "HTTP/1.1 429 Many\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n" },
    full = { "HTTP/1.1 503 Full\r\nid: {id}\r\nseal: f\r\ncontent-length: 0\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn refusal_without_a_statement_is_no_refusal(refusal: &'static str) {
    LocalSet::new()
        .run_until(async {
            let first = Endpoint::start(vec![vec![Action::Write(refusal)]]).await;
            let second = Endpoint::start(vec![vec![good(ONCE)]]).await;
            let served = serve(&[&first, &second]).await;

            let once = call(&served, ONCE, "r1").await;

            assert_eq!((status(&once), first.count(), second.count()), (502, 1, 0), "{once}");
            assert_eq!(header(&once, "seal"), None, "{once}");
        })
        .await;
}

/// Guards against a copy that has the id of the request because the refusal was its own: the
/// connection of a refusal is closed, so that nothing else can be answered on it.
#[parameterized(once = { ONCE }, safe = { SAFE }, stream = { STREAM })]
#[test_macro(tokio::test)]
async fn connection_of_a_refusal_is_closed(prefix: &str) {
    const REFUSAL: &str =
        "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    LocalSet::new()
        .run_until(async {
            let refusing = vec![Action::Write(REFUSAL), Action::Write(REFUSAL)];
            let first = Endpoint::start(vec![refusing]).await;
            let second = Endpoint::start(vec![vec![good(prefix)]]).await;
            let served = serve(&[&first, &second]).await;

            for (number, id) in ["r1", "r1", "r2"].into_iter().enumerate() {
                let answer = call(&served, prefix, id).await;

                assert_eq!((status(&answer), second.count()), (200, number + 1), "{answer}");
                wait_until("it is closed", || *first.closed.borrow() as usize == first.count())
                    .await;
            }
            assert!(first.count() >= 1);
        })
        .await;
}
