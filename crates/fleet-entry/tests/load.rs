//! What an entry believes of the load of an endpoint.

#[allow(dead_code, reason = "the configuration is for other tests")]
mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use common::announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::endpoint::Endpoint;

const ENTRIES: u32 = 80;

fn endpoint() -> Rc<Endpoint> {
    let mut directory = Directory::default();
    let announcement = announcement(1, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
    let sighting = EndpointUpdate { announcement, status: Status::Present };
    directory.take_in(sighting, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    Rc::clone(&directory.of("service")[0])
}

fn sum(
    endpoint: &Endpoint,
    open: u32,
    prefill_ms: [u32; RANKS],
    good: u32,
    bad: u32,
) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.key(),
        outstanding: open,
        prefill_ms,
        succeeded: good,
        failed: bad,
    }
}

/// Guards against own requests that count twice, and against those sent after the post that are
/// forgotten; a request does not wait for less urgent ones.
#[test]
fn own_work_counts_once_beside_that_of_the_others() {
    let endpoint = endpoint();
    endpoint.sent();
    endpoint.add_unread(1, 100.0);
    endpoint.post();
    endpoint.sent();
    endpoint.add_unread(0, 150.0);

    endpoint.take_in(Some(&sum(&endpoint, 5, [60, 340, 900], 0, 0)));

    assert_eq!(endpoint.estimated_load(ENTRIES), 6.0);
    let [urgent, usual, bulk] = [0, 1, 2].map(|rank| endpoint.ahead_ms(rank, 0.0));
    assert_eq!(bulk, 1_450.0);
    assert!(usual > 550.0 && usual < bulk);
    assert!(urgent > 210.0 && urgent < usual);
}

/// Guards against ended sends that are posted twice, and against idle endpoints that are posted.
#[test]
fn ended_sends_are_posted_once() {
    let endpoint = endpoint();
    endpoint.succeeded();
    endpoint.failed();

    let work = endpoint.post().expect("there is news");

    assert_eq!((work.succeeded, work.failed), (1, 1));
    assert_eq!(endpoint.post(), None);
}

/// Guards against every entry finding out by its own requests that an endpoint only fails, and
/// against an endpoint that is given up because it fails now and then.
#[test]
fn endpoint_that_fails_all_entries_gets_no_work() {
    let endpoint = endpoint();

    endpoint.take_in(Some(&sum(&endpoint, 0, [0; RANKS], 5, 5)));
    assert!(endpoint.is_usable());
    assert!(endpoint.failure_share() > 0.3);

    endpoint.take_in(Some(&sum(&endpoint, 0, [0; RANKS], 0, 4)));
    assert!(!endpoint.is_usable());

    endpoint.take_in(None);
    assert!(endpoint.is_usable());
}
