//! Endpoints that send an answer which does not prove that it is the answer to the request.

mod common;
#[path = "common/harness.rs"]
mod harness;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::header;
use harness::serve_with_state;
use harness::status;
use harness::wait_until;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const GOOD_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Answers without the proof, each with statements that would change what the entry does.
const FOREIGN_ANSWERS: [&str; 22] = [
    // Successes without the id of the request, the receipt or both.
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\n\r\nok",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 200 OK\r\nleaving: 1\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nleaving: 1\r\nid: {id}\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 206 Partial\r\nid: {id}\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: {id}\r\ntransfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nseal: s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: r0\r\nseal: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok",
    // Either of them twice, empty, or in a list.
    "HTTP/1.1 200 OK\r\nid: {id}\r\nid: r0\r\nseal: s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nid: {id}\r\nseal: s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: {id}, r0\r\nseal: s\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\nseal: t\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: \r\ncontent-length: 2\r\n\r\nok",
    // Statements that nothing ran which name no request, another one, or contradict themselves.
    "HTTP/1.1 503 Full\r\nnot-run: 1\r\nleaving: 1\r\npause: 9000\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 421 Other\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 400 Bad\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\nnot-run: 1\r\ncontent-length: 2\r\n\r\nok",
    "HTTP/1.1 500 Failed\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    "HTTP/1.1 503 Full\r\nid: {id}\r\nseal: s\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
    // A failure that names no request.
    "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n",
];

/// Whether an earlier request used the connection.
#[derive(Clone, Copy, PartialEq)]
enum Connection {
    New,
    Kept,
}

fn good(prefix: &str) -> Action {
    Action::Write(if prefix == STREAM { GOOD_STREAM } else { GOOD })
}

/// Guards against an answer that reaches the client as a success, or sends a request that may run once
/// to a second endpoint, though it does not prove that it is the endpoint's answer to the request.
#[parameterized(
    once_new = { ONCE, Connection::New },
    once_kept = { ONCE, Connection::Kept },
    safe_new = { SAFE, Connection::New },
    safe_kept = { SAFE, Connection::Kept },
    stream_new = { STREAM, Connection::New },
    stream_kept = { STREAM, Connection::Kept },
)]
#[test_macro(tokio::test)]
async fn answer_without_proof_is_neither_a_success_nor_a_refusal(
    prefix: &str,
    connection: Connection,
) {
    for foreign in FOREIGN_ANSWERS {
        LocalSet::new()
            .run_until(async {
                let mut scripts = vec![vec![Action::Write(foreign), Action::Close]];
                if connection == Connection::Kept {
                    scripts.insert(0, vec![good(prefix)]);
                }
                let requests = scripts.len();
                let first = Endpoint::start(scripts).await;
                let second = Endpoint::start(vec![vec![good(prefix)]]).await;
                let (served, entry) = serve_with_state(&[&first, &second]).await;
                for number in 1..requests {
                    assert_eq!(status(&call(&served, prefix, &format!("r{number}")).await), 200);
                }

                let answer = call(&served, prefix, "last").await;

                wait_until("it arrives", || first.count() == requests).await;
                let expected = if prefix == ONCE { (502, None, 0) } else { (200, Some("s"), 1) };
                let receipt = header(&answer, "seal");
                let seen = (status(&answer), receipt.as_deref(), second.count());
                assert_eq!(seen, expected, "{foreign}: {answer}");
                let directory = entry.directory.borrow();
                let known = directory.at_address(first.address).next().expect("it is known");
                let availability = known.availability();
                assert_eq!(availability.reason(std::time::Duration::ZERO), None, "{foreign}");
            })
            .await;
    }
}
