//! What an entry believes of configurations and endpoints.

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use common::announcement;
use common::configuration;
use common::confirmed;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet_entry::budget::Budget;
use hickoryreel_fleet_entry::budget::Limits;
use hickoryreel_fleet_entry::directory::Change;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::view::View;

/// Guards against a configuration that goes back when another replica answers with an older one.
#[test]
fn configuration_never_goes_back() {
    let mut view = View::default();
    let now = boot_time();
    assert!(view.confirm(now, confirmed(configuration(5))));

    assert!(!view.confirm(now, confirmed(configuration(3))));

    assert_eq!(view.number(), 5);
}

/// Guards against a lease that counts from the answer instead of the question, and against one
/// that is renewed by a confirmation of a configuration that this entry does not have.
#[test]
fn lease_counts_from_the_question() {
    let mut view = View::default();
    let (now, lease) = (boot_time(), Duration::from_secs(4));
    view.confirm(now.saturating_sub(Duration::from_secs(10)), confirmed(configuration(5)));
    assert!(!view.has_lease(lease));

    let mut newer = confirmed(configuration(6));
    newer.configuration = None;
    view.confirm(now, newer);
    assert!(!view.has_lease(lease));

    view.confirm(now, confirmed(configuration(6)));
    assert!(view.has_lease(lease));
}

fn replica(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn sighting(incarnation: u64, sequence: u64, draining: bool, status: Status) -> EndpointUpdate {
    let mut announcement = announcement(1, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
    (announcement.incarnation, announcement.sequence) = (incarnation, sequence);
    announcement.draining = draining;
    EndpointUpdate { announcement, status }
}

/// Guards against news of one replica that is older than what another one told.
#[test]
fn older_news_of_an_endpoint_changes_nothing() {
    let mut directory = Directory::default();
    let mut take_in = |incarnation, sequence, draining, status| {
        directory.take_in(sighting(incarnation, sequence, draining, status), replica(1))
    };

    assert_eq!(take_in(2, 1, false, Status::Present), Change::New);
    assert_eq!(take_in(2, 5, true, Status::Present), Change::Draining);
    assert_eq!(take_in(2, 4, false, Status::Present), Change::None);
    assert_eq!(take_in(1, 90, false, Status::Gone), Change::None);
    assert_eq!(take_in(2, 5, true, Status::Gone), Change::Gone);
    assert_eq!(take_in(2, 6, false, Status::Present), Change::None);
    assert_eq!(take_in(3, 1, false, Status::Present), Change::New);
}

/// Guards against an endpoint that is dropped because one replica does not hear it.
#[test]
fn silent_endpoint_stays_known() {
    let mut directory = Directory::default();
    directory.take_in(sighting(1, 1, false, Status::Present), replica(1));

    assert_eq!(
        directory.take_in(sighting(1, 1, false, Status::Silent), replica(1)),
        Change::Silent
    );
    assert_eq!(directory.of("service").len(), 1);
    assert!(!directory.of("service")[0].is_usable());
    directory.of("service")[0].hear();
    assert!(directory.of("service")[0].is_usable());
}

/// Guards against an endpoint that stays in use although no replica hears it any more: control does
/// not send its unchanged announcements, so the silence has a later sequence number than the entry.
#[test]
fn silence_after_unchanged_announcements_counts() {
    let mut directory = Directory::default();
    directory.take_in(sighting(1, 1, false, Status::Present), replica(1));

    let change = directory.take_in(sighting(1, 9, false, Status::Silent), replica(1));

    assert_eq!(change, Change::Silent);
    assert!(!directory.of("service")[0].is_usable());
}

/// Guards against an endpoint that is dropped because the one replica that is cut off from the
/// others does not hear it.
#[test]
fn endpoint_is_silent_only_if_no_replica_hears_it() {
    let mut directory = Directory::default();
    directory.take_in(sighting(1, 1, false, Status::Present), replica(1));
    directory.take_in(sighting(1, 1, false, Status::Present), replica(2));

    let change = directory.take_in(sighting(1, 3, false, Status::Silent), replica(1));
    assert_eq!(change, Change::None);
    assert!(directory.of("service")[0].is_usable());

    let change = directory.take_in(sighting(1, 5, false, Status::Silent), replica(2));
    assert_eq!(change, Change::Silent);
    assert!(!directory.of("service")[0].is_usable());

    let change = directory.take_in(sighting(1, 6, false, Status::Present), replica(2));
    assert_eq!(change, Change::Other);
    assert!(directory.of("service")[0].is_usable());
}

/// Guards against requests to an endpoint that crashed and whose address a new one has: each entry
/// would find that out by requests that are refused and count against the budget.
#[test]
fn endpoint_whose_address_has_a_new_holder_is_not_used() {
    let mut directory = Directory::default();
    directory.take_in(sighting(1, 4, false, Status::Present), replica(1));
    directory.of("service")[0].hear();
    let mut successor = sighting(2, 1, false, Status::Present);
    successor.announcement.id = "successor".into();

    directory.take_in(successor, replica(1));

    let usable = directory.of("service").iter().filter(|one| one.is_usable());
    assert_eq!(usable.map(|one| one.id()).collect::<Vec<_>>(), ["successor".into()]);
}

/// Guards against entries that together send more second requests than the budget of the service.
#[test]
fn budgets_of_all_entries_stay_within_the_limit() {
    const ENTRIES: u32 = 8;
    const FIRST: u32 = 40;
    let limits =
        Limits { ratio: 0.9, slack: 56.0, window: Duration::from_secs(10), entries: ENTRIES };
    let now = Duration::from_secs(100);
    let taken: u32 = (0..ENTRIES)
        .map(|_| {
            let mut budget = Budget::default();
            (0..FIRST).for_each(|_| budget.first(now, &limits));
            (0..1_000).filter(|_| budget.take(now, &limits)).count() as u32
        })
        .sum();

    assert!(f64::from(taken) <= 0.9 * f64::from(FIRST * ENTRIES) + 56.0);
    assert!(taken > 0);
}
