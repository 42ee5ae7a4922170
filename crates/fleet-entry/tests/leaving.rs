//! Endpoints that say in their answers that they are leaving.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;
#[path = "common/harness.rs"]
mod harness;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use common::announcement;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::header;
use harness::read_all;
use harness::send;
use harness::serve;
use harness::serve_with_state;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::endpoint;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const LEAVING: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\nleaving: 1\r\ncontent-length: 4\r\n\r\ngood";
const LEAVING_REFUSED: &str =
    "HTTP/1.1 503 Full\r\nid: {id}\r\nleaving: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const LEAVING_FAILED: &str =
    "HTTP/1.1 500 Failed\r\nid: {id}\r\nleaving: 1\r\ncontent-length: 0\r\n\r\n";
const LEAVING_OTHER_REQUEST: &str =
    "HTTP/1.1 200 OK\r\nid: other\r\nleaving: 1\r\ncontent-length: 3\r\n\r\nbad";
const LEAVING_OTHER_ENDPOINT: &str =
    "HTTP/1.1 421 Other\r\nid: {id}\r\nleaving: 1\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const LEAVING_STREAM: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\nleaving: 1\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENT: &str = "f\r\nid: 1\ndata: a\n\n\r\n";

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(GOOD)]]).await
}

fn found(directory: &Directory) -> Rc<endpoint::Endpoint> {
    Rc::clone(&directory.for_service("service")[0])
}

fn announce(directory: &mut Directory, announcement: Announcement) {
    let update = EndpointUpdate { announcement, status: Status::Present };
    directory.apply(update, SocketAddr::from(([10, 0, 0, 1], 7_000)));
}

fn first_announcement() -> Announcement {
    announcement(1, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9))
}

/// Guards against new requests to an endpoint that has said that it is leaving.
#[parameterized(
    answered = { LEAVING, SAFE, 1 },
    answered_once = { LEAVING, ONCE, 1 },
    refused = { LEAVING_REFUSED, ONCE, 2 },
    failed = { LEAVING_FAILED, SAFE, 2 },
)]
#[test_macro(tokio::test)]
async fn leaving_endpoint_gets_no_new_request(answer: &'static str, prefix: &str, sends: usize) {
    LocalSet::new()
        .run_until(async {
            let leaving = Endpoint::start(vec![vec![Action::Write(answer)]]).await;
            let other = good().await;
            let served = serve(&[&leaving, &other]).await;
            call(&served, prefix, "r0").await;

            for number in 1..=20 {
                let answer = call(&served, prefix, &format!("r{number}")).await;
                assert_eq!(status(&answer), 200, "{answer}");
            }

            assert_eq!((leaving.count(), other.count()), (1, 19 + sends));
        })
        .await;
}

/// Guards against a mark that is only noticed at the end of a stream, and against moving the work
/// that a leaving endpoint finishes.
#[tokio::test]
async fn stream_of_a_leaving_endpoint_is_finished_there() {
    LocalSet::new()
        .run_until(async {
            let rest = Duration::from_millis(400);
            let script = vec![
                Action::Write(LEAVING_STREAM),
                Action::Pause(rest),
                Action::Write(EVENT),
                Action::Write("0\r\n\r\n"),
            ];
            let leaving = Endpoint::start(vec![script]).await;
            let other = good().await;
            let (served, entry) = serve_with_state(&[&leaving, &other]).await;
            let request = format!("POST {STREAM}x HTTP/1.1\r\nhost: host\r\nid: r1\r\n");
            let client = send(&served, &format!("{request}connection: close\r\n\r\n")).await;
            let first = Rc::clone(&entry.directory.borrow().for_service("service")[0]);
            wait_until("the head arrives", || first.availability().is_leaving()).await;

            let second = call(&served, SAFE, "r2").await;
            let answer = read_all(client).await;

            assert_eq!((leaving.count(), other.count()), (1, 1), "{second}");
            assert!(answer.contains("data: a") && answer.ends_with("0\r\n\r\n"), "{answer}");
        })
        .await;
}

/// Guards against a mark by the answer to another request or by another endpoint at the address.
#[parameterized(
    other_request = { LEAVING_OTHER_REQUEST },
    other_endpoint = { LEAVING_OTHER_ENDPOINT },
)]
#[test_macro(tokio::test)]
async fn answer_of_another_marks_nobody(answer: &'static str) {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Action::Write(answer)]]).await;
            let other = good().await;
            let (served, entry) = serve_with_state(&[&endpoint, &other]).await;

            let answer = call(&served, SAFE, "r1").await;

            assert_eq!((status(&answer), endpoint.count()), (200, 1), "{answer}");
            let marked =
                entry.directory.borrow().all().any(|known| known.availability().is_leaving());
            assert!(!marked);
        })
        .await;
}

/// Guards against a write to an endpoint that has said that it is leaving while the connection was
/// being opened, and against counting this as an attempt or a retry.
#[tokio::test]
async fn request_that_waits_for_a_connection_is_sent_elsewhere() {
    LocalSet::new()
        .run_until(async {
            let (first, second) = (good().await, good().await);
            let (served, entry) = serve_with_state(&[&first, &second]).await;
            let mark = async {
                while entry.metrics.connections.get() == 0 {
                    tokio::task::yield_now().await;
                }
                let directory = entry.directory.borrow();
                let chosen = directory.at_address(first.address).next().expect("it is known");
                chosen.record_leaving();
            };

            let (answer, ()) = tokio::join!(call(&served, ONCE, "r1"), mark);

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!((first.count(), second.count()), (0, 1));
            assert_eq!(entry.metrics.withdrawn.get(), 1);
            assert_eq!(entry.metrics.second_sends.get(), 0);
        })
        .await;
}

/// Guards against a request that waits for its deadline although no endpoint will take it, and
/// against a leaving endpoint as the last resort.
#[tokio::test]
async fn request_is_refused_at_once_when_all_endpoints_leave() {
    LocalSet::new()
        .run_until(async {
            let script = vec![vec![Action::Write(LEAVING)]];
            let first = Endpoint::start(script.clone()).await;
            let second = Endpoint::start(script).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;
            call(&served, SAFE, "r1").await;
            call(&served, SAFE, "r2").await;
            let began = boot_time();

            let answer = call(&served, SAFE, "r3").await;

            let took = boot_time().saturating_sub(began);
            assert_eq!((status(&answer), first.count(), second.count()), (503, 1, 1), "{answer}");
            assert!(header(&answer, "retry-after").is_some(), "{answer}");
            assert!(took < Duration::from_millis(1_500), "{took:?}");
            assert!(entry.metrics_text().contains("hickoryreel_entry_leaving_endpoints 2"));
        })
        .await;
}

/// Guards against a restarted endpoint that stays unused because of the mark of its predecessor.
#[test]
fn restarted_endpoint_is_available() {
    let mut directory = Directory::default();
    announce(&mut directory, first_announcement());
    found(&directory).record_leaving();

    announce(&mut directory, Announcement { incarnation: 2, ..first_announcement() });

    assert!(found(&directory).is_usable());
}

/// Guards against a late answer of an earlier incarnation that marks the current one.
#[test]
fn late_answer_of_an_earlier_incarnation_marks_nobody() {
    let mut directory = Directory::default();
    announce(&mut directory, first_announcement());
    let earlier = found(&directory);
    announce(&mut directory, Announcement { incarnation: 2, ..first_announcement() });

    earlier.record_leaving();

    assert!(found(&directory).is_usable());
}

/// Guards against a leaving endpoint that gets requests again because it announced another address,
/// also if its answer came through the one before.
#[test]
fn leaving_endpoint_at_another_address_gets_no_requests() {
    let mut directory = Directory::default();
    announce(&mut directory, first_announcement());
    let at_first_address = found(&directory);
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 10);
    announce(&mut directory, Announcement { address, sequence: 2, ..first_announcement() });
    assert!(found(&directory).is_usable());

    at_first_address.record_leaving();

    assert!(!found(&directory).is_usable() && !found(&directory).is_last_resort());
}
