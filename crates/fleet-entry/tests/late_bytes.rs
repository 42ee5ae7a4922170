//! Endpoints whose answer follows other bytes, for example the rest of an earlier answer.

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
use harness::serve;
use harness::status;
use hickoryreel_fleet_entry::head_scanner::Fault;
use hickoryreel_fleet_entry::head_scanner::Scanner;
use http::Response;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const GOOD_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\n\
     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nid: {id}\r\ncontent-length: 4\r\n\r\nfail";
const REFUSED: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

const LATE_BYTES: [&str; 28] = [
    // A status line that has begun.
    "H",
    "HTTP/1.",
    "HTTP/1.1 ",
    "HTTP/1.1 200",
    "HTTP/1.1 200 ",
    "HTTP/1.0 200 OK",
    "HTTP/1.1 200 OK\r",
    "HTTP/1.1 204 ",
    "HTTP/1.1 421 Other ",
    "HTTP/1.1 503 Full ",
    "HTTP/1.1 100 ",
    // A head that has begun, up to the value of a header.
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\n",
    "HTTP/1.1 200 OK\r\nseal: t\r\n",
    "HTTP/1.1 200 OK\r\nseal: t\r\nx",
    "HTTP/1.1 200 OK\r\nseal: t\r\nx: ",
    "HTTP/1.1 200 OK\r\nseal: ",
    "HTTP/1.1 200 OK\r\nx: 1\r\n ",
    "HTTP/1.1 503 Full\r\nnot-run: 1\r\nx: ",
    "HTTP/1.1 100 Continue\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 ",
    "HTTP/1.1 100 Continue\r\n\r\n\r\n",
    // The end of a body.
    "\r\n",
    "\n",
    "0\r\n\r\n",
    "rest of a body",
    // Whole heads.
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n",
    "HTTP/1.1 503 Full\r\nid: r0\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n",
];

/// When the late bytes arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arrival {
    /// With the answer.
    Adjacent,
    /// Some time before the answer, after the request.
    Earlier,
    /// With the end of the answer before, on a kept connection.
    AfterPrevious,
}

fn leak(text: String) -> &'static str {
    Box::leak(text.into_boxed_str())
}

fn good(prefix: &str) -> &'static str {
    if prefix == STREAM { GOOD_STREAM } else { GOOD }
}

/// Scripts of an endpoint that sends late bytes around its answer.
fn scripts(
    prefix: &str,
    is_kept: bool,
    late: &str,
    truth: &str,
    arrival: Arrival,
) -> Vec<Vec<Action>> {
    let answer = match arrival {
        Arrival::Adjacent => vec![Action::Write(leak(format!("{late}{truth}")))],
        Arrival::Earlier => vec![
            Action::Write(leak(late.to_owned())),
            Action::Pause(Duration::from_millis(2)),
            Action::Write(leak(truth.to_owned())),
        ],
        Arrival::AfterPrevious => vec![Action::Write(leak(truth.to_owned()))],
    };
    let previous = match arrival {
        Arrival::AfterPrevious => leak(format!("{}{late}", good(prefix))),
        _ => good(prefix),
    };
    match is_kept {
        true => vec![vec![Action::Write(previous)], answer],
        false => vec![answer],
    }
}

/// Plays one request whose answer is mixed with late bytes. Returns what is wrong with what the client
/// gets: only the true answer or a failure of the entry that promises nothing is right.
async fn violation(
    prefix: &str,
    is_kept: bool,
    late: &str,
    truth: &str,
    arrival: Arrival,
) -> Option<String> {
    let first = Endpoint::start(scripts(prefix, is_kept, late, truth, arrival)).await;
    let second = Endpoint::start(vec![vec![Action::Write(good(prefix))]]).await;
    let served = serve(&[&first, &second]).await;
    if is_kept {
        assert_eq!(status(&call(&served, prefix, "r1").await), 200);
    }

    let answer = call(&served, prefix, "last").await;

    let (status, repeated) = (status(&answer), second.count() > 0);
    let is_sound = match (prefix, truth) {
        (ONCE, FAILED) => matches!(status, 500 | 502) && !repeated,
        (ONCE, REFUSED) => status == 200 && repeated || status == 502 && !repeated,
        (ONCE, _) => matches!(status, 200 | 502) && !repeated,
        // It may be repeated, and the second endpoint serves it.
        (_, FAILED) => status == 200 && repeated || status == 500,
        _ => status == 200,
    };
    let is_mixed = status == 200 && (answer.contains("fail") || !answer.contains("seal: s"));
    (!is_sound || is_mixed)
        .then(|| format!("{late:?} {arrival:?}, then {truth:?}: repeated {repeated}, {answer:?}"))
}

/// Guards against an answer that is taken for another one because late bytes in front of it swallow its
/// status line: a failure that reaches the client as a success, or a request that may run once and is
/// sent again.
#[parameterized(
    once_new = { ONCE, false },
    once_kept = { ONCE, true },
    safe_new = { SAFE, false },
    safe_kept = { SAFE, true },
    stream_new = { STREAM, false },
    stream_kept = { STREAM, true },
)]
#[test_macro(tokio::test)]
async fn late_bytes_change_no_answer(prefix: &str, is_kept: bool) {
    let arrivals = [Arrival::Adjacent, Arrival::Earlier, Arrival::AfterPrevious];
    let arrivals = &arrivals[..if is_kept { 3 } else { 2 }];
    let mut violations = Vec::new();
    for late in LATE_BYTES {
        for truth in [good(prefix), FAILED, REFUSED] {
            for arrival in arrivals {
                let played = violation(prefix, is_kept, late, truth, *arrival);
                violations.extend(LocalSet::new().run_until(played).await);
            }
        }
    }

    assert!(violations.is_empty(), "{}:\n{}", violations.len(), violations.join("\n"));
}

/// Pieces of answers that the random series are made of.
const PIECES: [&str; 20] = [
    "HTTP/1.1 200 OK",
    "HTTP/1.1 ",
    "HTTP/1.0 503 ",
    "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 421",
    "200 ",
    "\r\n",
    "\n",
    "\r",
    " ",
    ":",
    "x: ",
    "id: r0\r\n",
    "seal: t\r\n",
    "not-run: 1\r\n",
    "content-length: 4\r\n",
    "transfer-encoding: chunked\r\n",
    "0\r\n\r\n",
    "\u{1}",
    "é",
];

/// Late bytes from pieces of answers and the beginning of one.
fn random_late_bytes(random: &mut StdRng) -> String {
    let mut late = String::new();
    for _ in 0..random.random_range(0..6) {
        late.push_str(PIECES[random.random_range(0..PIECES.len())]);
    }
    if random.random_bool(0.5) {
        late.push_str(&GOOD[..random.random_range(0..40)].replace("{id}", "r0"));
    }
    late
}

/// Guards against the same with late bytes that nobody has thought of.
#[tokio::test]
async fn random_late_bytes_change_no_answer() {
    for seed in 0..600 {
        let mut random = StdRng::seed_from_u64(seed);
        let late = random_late_bytes(&mut random);
        let prefix = [ONCE, SAFE, STREAM][random.random_range(0..3)];
        let truth = [good(prefix), FAILED, REFUSED][random.random_range(0..3)];
        let is_kept = random.random_bool(0.5);
        let arrival = match (random.random_range(0..3), is_kept) {
            (0, _) => Arrival::Adjacent,
            (1, true) => Arrival::AfterPrevious,
            _ => Arrival::Earlier,
        };

        let played = violation(prefix, is_kept, &late, truth, arrival);

        assert_eq!(LocalSet::new().run_until(played).await, None, "seed {seed}");
    }
}

fn scan(bytes: &str) -> Result<Scanner, Fault> {
    let mut scanner = Scanner::default();
    // The bounds of reads must not matter.
    for byte in bytes.as_bytes() {
        scanner.scan(&[*byte])?;
    }
    Ok(scanner)
}

fn response(status: u16, headers: usize) -> Response<()> {
    let mut response = Response::builder().status(status);
    for number in 0..headers {
        response = response.header("x", number);
    }
    response.body(()).expect("the head is valid")
}

/// Guards against a head that is accepted though the client had begun to parse it before the request was
/// sent, and against a sound one that is refused.
#[parameterized(
    whole = { "HTTP/1.1 200 OK\r\na: 1\r\nb: 2\r\n\r\nbody", 200, 2, true },
    bare_line_feeds = { "HTTP/1.0 500\na: 1\n\n", 500, 1, true },
    after_interim_answers = { "HTTP/1.1 103 E\r\nl: 1\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 200, 0, true },
    body_with_a_status_line = { "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 F\r\n", 200, 0, true },
    version_in_a_header = { "HTTP/1.1 200 OK\r\nvia: HTTP/1.1 proxy\r\n\r\n", 200, 1, true },
    other_status = { "HTTP/1.1 500 Failed\r\na: 1\r\n\r\n", 200, 1, false },
    more_headers = { "HTTP/1.1 200 OK\r\na: 1\r\n\r\n", 200, 2, false },
    incomplete = { "HTTP/1.1 200 OK\r\na: 1\r\n", 200, 1, false },
)]
fn parsed_head_is_the_one_that_was_read(bytes: &str, status: u16, headers: usize, matches: bool) {
    let scanner = scan(bytes).expect("there is no fault");

    assert_eq!(scanner.matches(&response(status, headers)), matches);
}

/// Guards against bytes around a status line that are taken for part of its head.
#[parameterized(
    before_it = { "0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", Fault::NoStatusLine },
    line_break_before_it = { "\r\nHTTP/1.1 200 OK\r\n\r\n", Fault::NoStatusLine },
    after_an_interim_answer = { "HTTP/1.1 100 C\r\n\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", Fault::NoStatusLine },
    in_the_reason = { "HTTP/1.1 200 HTTP/1.1 500 F\r\n\r\n", Fault::SecondStatusLine },
    in_a_line_of_its_own = { "HTTP/1.1 200 OK\r\nHTTP/1.1 500 F\r\n\r\n", Fault::SecondStatusLine },
    in_a_value = { "HTTP/1.1 200 OK\r\na: HTTP/1.0 500 F\r\n\r\n", Fault::SecondStatusLine },
    in_an_interim_answer = { "HTTP/1.1 100 HTTP/1.1 200 OK\r\n\r\n", Fault::SecondStatusLine },
)]
fn bytes_that_are_no_answer_are_found(bytes: &str, fault: Fault) {
    assert_eq!(scan(bytes).map(|_| ()), Err(fault));
}
