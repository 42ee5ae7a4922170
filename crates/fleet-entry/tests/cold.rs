//! Requests to endpoints that warm up, at an entry without control replicas.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;
#[path = "common/harness.rs"]
mod harness;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use common::SAFE;
use common::STREAM;
use common::announcement;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::serve_without_configuration;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet_entry::cold::Rooms;
use hickoryreel_fleet_entry::endpoint;
use hickoryreel_fleet_entry::endpoint::ColdLimit;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::task::LocalSet;
use yare::parameterized;

const REFUSED: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
const BEGIN: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-type: text/event-stream\r\n\
                     transfer-encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n";
const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";

/// Time in which an entry reads what an endpoint has written.
const READ_DELAY: Duration = Duration::from_millis(100);

/// Lets an entry learn that its service limits the requests to endpoints that warm up.
fn learn_limit(entry: &Entry) {
    let mut configuration = configuration(1);
    configuration.services[0].cold_start =
        Some(ColdStart { requests_per_s: 9.0, after_start: true });
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    entry.state_changed.notify_waiters();
}

fn announce(entry: &Entry, announcement: Announcement) {
    let update = EndpointUpdate { announcement, status: Status::Present };
    let replica = SocketAddr::from(([127, 0, 0, 1], 7_000));
    entry.directory.borrow_mut().apply(update, replica);
}

/// Announcement of the second endpoint with a time that it stays cold.
fn cold(address: SocketAddrV4, left: Duration) -> Announcement {
    let warm_up_left_ms = left.as_millis() as u64;
    Announcement { zone: "b".into(), warm_up_left_ms, sequence: 2, ..announcement(1, address) }
}

/// Guards against a request that uses up the retry budget of its service while it asks again and again
/// for an admission that it does not get, so that other requests are not retried.
#[tokio::test]
async fn request_without_an_admission_takes_one_retry_at_most() {
    LocalSet::new()
        .run_until(async {
            let refusing = Endpoint::start(vec![vec![Action::Write(REFUSED)]]).await;
            let warming = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_without_configuration(&[&refusing, &warming]).await;
            learn_limit(&entry);
            announce(&entry, cold(warming.address, Duration::from_secs(60)));

            let answer = call(&served, SAFE, "r1").await;

            assert_eq!((status(&answer), warming.count()), (503, 0), "{answer}");
            assert!(entry.metrics.second_sends.get() <= 1);
            assert_eq!(entry.metrics.budget_refusals.get(), 0);
        })
        .await;
}

/// Guards against requests without an admission to an endpoint that has crashed and restarted, until
/// its first announcement arrives: it is cold then, and only the announcement tells. It also guards
/// against an endpoint that stays limited although it has announced itself since.
#[parameterized(
    before_an_answer = { SAFE, &[Action::CrashOn("id: r1")] },
    within_a_stream = { STREAM, &[Action::Write(BEGIN), Action::Pause(READ_DELAY), Action::CrashOn("id: r1")] },
)]
#[test_macro(tokio::test)]
async fn endpoint_that_crashed_counts_as_cold_until_it_announces_itself(
    prefix: &'static str,
    script: &'static [Action],
) {
    LocalSet::new()
        .run_until(async {
            let crashing = Endpoint::start(vec![script.to_vec()]).await;
            let (served, entry) = serve_without_configuration(&[&crashing]).await;
            learn_limit(&entry);
            call(&served, prefix, "r1").await;
            let endpoint = Rc::clone(&entry.directory.borrow().for_service("service")[0]);
            let soon = || boot_time() + Duration::from_secs(1);
            wait_until("the crash is noticed", || {
                endpoint.needs_admission(ColdLimit::Restarts, soon())
            })
            .await;

            let restarted =
                Endpoint::start_at(crashing.address, vec![vec![Action::Write(GOOD)]]).await;
            let before = call(&served, SAFE, "r2").await;
            let count = restarted.count();
            announce(&entry, Announcement { incarnation: 2, ..announcement(0, crashing.address) });
            let after = call(&served, SAFE, "r3").await;

            assert_eq!((status(&before), count), (503, 0), "{before}");
            assert_eq!((status(&after), restarted.count()), (200, 1), "{after}");
        })
        .await;
}

/// Guards against a doubt that does not end, which would limit an endpoint that was only cut off and has
/// not restarted, and against one at a service without a limit.
#[test]
fn doubt_about_an_endpoint_ends() {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9);
    let endpoint = endpoint::Endpoint::new(announcement(0, address));
    assert!(!endpoint.needs_admission(ColdLimit::Restarts, boot_time()));

    let pause = endpoint.record_unreachable();

    let end = boot_time() + pause + endpoint::RESTART_DOUBT;
    assert!(
        endpoint.needs_admission(ColdLimit::Restarts, boot_time() + pause)
            && !endpoint.needs_admission(ColdLimit::Restarts, end)
    );
    assert!(!endpoint.is_cold(boot_time()));
}

/// Guards against a request that is written without an admission because its endpoint was warm when it
/// was chosen, and announced a warm-up while the connection was opened.
#[tokio::test]
async fn endpoint_that_turns_cold_while_a_connection_opens_gets_no_request() {
    LocalSet::new()
        .run_until(async {
            let first = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_without_configuration(&[&first]).await;
            learn_limit(&entry);

            let turned_cold = async {
                while entry.metrics.connections.get() == 0 {
                    tokio::task::yield_now().await;
                }
                let left = Duration::from_secs(60).as_millis() as u64;
                let cold = announcement(0, first.address);
                announce(&entry, Announcement { warm_up_left_ms: left, sequence: 2, ..cold });
            };
            let (answer, ()) = tokio::join!(call(&served, SAFE, "r1"), turned_cold);

            assert_eq!((status(&answer), first.count()), (503, 0), "{answer}");
            assert_eq!(entry.metrics.withdrawn.get(), 1);
        })
        .await;
}

/// Guards against a request that waits for an endpoint although it was another one that had no room: it
/// may go to other regions than the request that learned of it.
#[test]
fn room_is_known_by_endpoint() {
    let [first, second, third] = ["e1", "e2", "e3"].map(EndpointKey::of);
    let (now, later) = (Duration::from_secs(5), Duration::from_secs(6));
    let mut rooms = Rooms::default();

    rooms.record(&[first, second], later, now);

    assert_eq!(rooms.earliest(&[first, second], now), later);
    assert_eq!(rooms.earliest(&[second, third], now), now);
    assert_eq!(rooms.earliest(&[third], now), now);
    assert!(rooms.earliest(&[first], later) <= later);
}
