//! Answers that begin before the endpoint has read the request, and answers whose status is none.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::cell::Cell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::call;
use harness::read_all;
use harness::serve;
use harness::serve_with_settings;
use harness::settings;
use harness::status;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet_entry::settings::Settings;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::LocalSet;
use yare::parameterized;

/// More than the socket buffers of both sides hold.
const UPLOAD_BYTES: usize = 24 << 20;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const GOOD_STREAM: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n\
                           f\r\nid: 1\ndata: g\n\n\r\n0\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\npart";
const UNFRAMED_STREAM: &str = "HTTP/1.1 200 OK\r\nid: r1\r\nseal: s\r\n\r\nid: 1\ndata: a\n\n";

/// How an endpoint ends the connection after its early answer.
#[derive(Clone, Copy, Debug)]
enum End {
    /// A reset, because most of the request is unread.
    Close,
    /// A reset after the entry has read what was sent.
    LateReset,
    /// The end of its own data; the request is read on, so nothing is reset.
    Shutdown,
}

/// Starts an endpoint that reads the head of a request and `read` bytes of its body, writes `answer` and
/// ends the connection. Returns its address and the number of connections.
async fn early(answer: &'static str, read: usize, end: End) -> Endpoint {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("loopback works");
    let SocketAddr::V4(address) = listener.local_addr().expect("loopback works") else {
        unreachable!("bound to IPv4")
    };
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(answer_early(stream, answer, read, end));
        }
    });
    scripted_at(address)
}

/// The part of an [`Endpoint`] that the entry needs.
fn scripted_at(address: SocketAddrV4) -> Endpoint {
    Endpoint {
        address,
        arrived: Rc::default(),
        closed: Rc::default(),
        repeated: Rc::new(Cell::new(0)),
    }
}

async fn answer_early(mut stream: TcpStream, answer: &'static str, read: usize, end: End) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    let mut body = vec![0; read];
    if stream.read_exact(&mut body).await.is_err() {
        return;
    }
    let _ = stream.write_all(answer.as_bytes()).await;
    match end {
        End::Close => {}
        End::LateReset => {
            tokio::time::sleep(Duration::from_millis(100)).await;
            stream.set_zero_linger().expect("loopback works");
        }
        End::Shutdown => {
            let _ = stream.shutdown().await;
            let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
        }
    }
}

/// Starts an entry that accepts large uploads.
async fn entry(endpoints: &[&Endpoint]) -> TestEntry {
    let settings = Settings { memory: 1 << 30, ..settings() };
    let (served, entry) = serve_with_settings(endpoints, settings).await;
    let limits = Limits { body_bytes: 2 * UPLOAD_BYTES, ..Limits::default() };
    let configuration = Configuration { limits, ..configuration(1) };
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    entry.state_changed.notify_waiters();
    served
}

async fn upload(served: &TestEntry, prefix: &str) -> String {
    let mut stream = TcpStream::connect(served.address).await.expect("loopback works");
    let head = format!(
        "POST {prefix}x HTTP/1.1\r\nhost: host\r\nid: r1\r\nkey: key\r\ndeadline: 19000\r\n\
         connection: close\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("loopback works");
    stream.write_all(&vec![b'x'; UPLOAD_BYTES]).await.expect("loopback works");
    read_all(stream).await
}

/// Guards against a part of an answer that is delivered as a whole one: the endpoint answers while the
/// request is still being written, without a length, and then resets the connection.
#[parameterized(
    once_closed = { ONCE, End::Close, 0, 502 },
    once_reset = { ONCE, End::LateReset, 0, 502 },
    once_reset_later = { ONCE, End::LateReset, UPLOAD_BYTES / 2, 502 },
    safe_closed = { SAFE, End::Close, 0, 200 },
    safe_reset = { SAFE, End::LateReset, 0, 200 },
    safe_reset_later = { SAFE, End::LateReset, UPLOAD_BYTES / 2, 200 },
)]
#[test_macro(tokio::test)]
async fn part_of_an_early_answer_is_not_the_whole(
    prefix: &str,
    end: End,
    read: usize,
    expected: u16,
) {
    LocalSet::new()
        .run_until(async {
            let first = early(UNFRAMED, read, end).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let served = entry(&[&first, &second]).await;

            let answer = upload(&served, prefix).await;

            assert_eq!(status(&answer), expected, "{answer}");
            assert!(!answer.contains("part"), "{answer}");
        })
        .await;
}

/// Guards against a stream that is cut while the request is still being written and looks complete.
#[parameterized(closed = { End::Close }, reset = { End::LateReset })]
#[test_macro(tokio::test)]
async fn part_of_an_early_stream_is_not_the_whole(end: End) {
    LocalSet::new()
        .run_until(async {
            let first = early(UNFRAMED_STREAM, 0, end).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD_STREAM)]]).await;
            let served = entry(&[&first, &second]).await;

            let answer = upload(&served, STREAM).await;

            let is_resumed = second.count() == 1 && answer.contains("data: g");
            assert!(is_resumed || !answer.ends_with("0\r\n\r\n"), "{answer}");
        })
        .await;
}

/// Guards against an early answer that is given up although the endpoint reads on and ends it in order.
#[tokio::test]
async fn whole_early_answer_is_delivered() {
    LocalSet::new()
        .run_until(async {
            let first = early(UNFRAMED, 0, End::Shutdown).await;
            let served = entry(&[&first]).await;

            let answer = upload(&served, ONCE).await;

            assert!(status(&answer) == 200 && answer.ends_with("part"), "{answer}");
        })
        .await;
}

/// Guards against a status that HTTP does not have, which reaches the client.
#[parameterized(
    zero = { "HTTP/1.1 000 None\r\nid: {id}\r\ncontent-length: 0\r\n\r\n" },
    below = { "HTTP/1.1 099 Low\r\nid: {id}\r\ncontent-length: 0\r\n\r\n" },
    above = { "HTTP/1.1 600 High\r\nid: {id}\r\ncontent-length: 4\r\n\r\nlate" },
    highest = { "HTTP/1.1 999 High\r\nid: {id}\r\ncontent-length: 4\r\n\r\nlate" },
    two_digits = { "HTTP/1.1 20 OK\r\nid: {id}\r\ncontent-length: 0\r\n\r\n" },
    four_digits = { "HTTP/1.1 2000 OK\r\nid: {id}\r\ncontent-length: 0\r\n\r\n" },
    no_number = { "HTTP/1.1 2x0 OK\r\nid: {id}\r\ncontent-length: 0\r\n\r\n" },
    other_protocol = { "HTTP/1.1 101 Switching\r\nid: {id}\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" },
    other_protocol_unasked = { "HTTP/1.1 101 Switching\r\nid: {id}\r\n\r\n" },
)]
#[test_macro(tokio::test)]
async fn status_that_is_none_is_not_delivered(answer: &'static str) {
    LocalSet::new()
        .run_until(async {
            let first = Endpoint::start(vec![vec![Action::Write(answer), Action::Hang]]).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let served = serve(&[&first, &second]).await;

            let once = call(&served, ONCE, "r1").await;
            let repeated = call(&served, SAFE, "r2").await;

            assert_eq!(status(&once), 502, "{once}");
            assert!(status(&repeated) == 200 && repeated.ends_with("good"), "{repeated}");
        })
        .await;
}

/// Guards against bytes of an answer without a body that are taken for the answer to the next request.
#[parameterized(
    no_content = { "HTTP/1.1 204 None\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\nlate", 204 },
    not_modified = { "HTTP/1.1 304 Same\r\nid: {id}\r\ncontent-length: 4\r\n\r\nlate", 304 },
    another_answer = {
        "HTTP/1.1 204 None\r\nid: {id}\r\nseal: s\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate", 204
    },
)]
#[test_macro(tokio::test)]
async fn bytes_after_an_answer_without_a_body_are_dropped(answer: &'static str, expected: u16) {
    LocalSet::new()
        .run_until(async {
            let endpoint =
                Endpoint::start(vec![vec![Action::Write(answer)], vec![Action::Write(GOOD)]]).await;
            let served = serve(&[&endpoint]).await;

            let first = call(&served, ONCE, "r1").await;
            let next = call(&served, ONCE, "r2").await;

            assert_eq!(status(&first), expected, "{first}");
            assert!(!first.contains("late"), "{first}");
            assert!(status(&next) == 200 && next.ends_with("good"), "{next}");
        })
        .await;
}
