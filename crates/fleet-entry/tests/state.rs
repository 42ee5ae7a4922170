//! An entry's view of the agreed state, its directory of endpoints and its retry budget.

mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use common::announcement;
use common::configuration;
use common::confirmed;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet_entry::budget::Limits;
use hickoryreel_fleet_entry::budget::RetryBudget;
use hickoryreel_fleet_entry::directory::Change;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::view::View;
use yare::parameterized;

/// Guards against an older configuration from another replica that replaces a newer one.
#[test]
fn older_configuration_is_ignored() {
    let mut view = View::default();
    let now = boot_time();
    assert!(view.confirm(now, confirmed(configuration(5))));

    assert!(!view.confirm(now, confirmed(configuration(3))));

    assert_eq!(view.number(), 5);
}

/// Guards against a lease that starts with the answer instead of the poll, and against one that is
/// renewed by the confirmation of a configuration that this entry does not have.
#[test]
fn lease_starts_with_the_poll() {
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

fn update(incarnation: u64, sequence: u64, draining: bool, status: Status) -> EndpointUpdate {
    let mut announcement = announcement(1, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
    (announcement.incarnation, announcement.sequence) = (incarnation, sequence);
    announcement.draining = draining;
    EndpointUpdate { announcement, status }
}

/// Guards against an update from one replica that replaces a newer one from another replica.
#[test]
fn older_update_of_an_endpoint_is_ignored() {
    let mut directory = Directory::default();
    let mut apply = |incarnation, sequence, draining, status| {
        directory.apply(update(incarnation, sequence, draining, status), replica(1))
    };

    assert_eq!(apply(2, 1, false, Status::Present), Change::New);
    assert_eq!(apply(2, 5, true, Status::Present), Change::Draining);
    assert_eq!(apply(2, 4, false, Status::Present), Change::None);
    assert_eq!(apply(1, 90, false, Status::Gone), Change::None);
    assert_eq!(apply(2, 5, true, Status::Gone), Change::Gone);
    assert_eq!(apply(2, 6, false, Status::Present), Change::None);
    assert_eq!(apply(3, 1, false, Status::Present), Change::New);
}

fn departure(incarnation: u64, kind: departure::Kind) -> Departure {
    Departure { id: update(1, 1, false, Status::Present).announcement.id, incarnation, kind }
}

/// Guards against requests to an endpoint that deregistered at replicas that had restarted and didn't
/// know it, and against a late announcement that brings it back to an entry that did not know it.
#[parameterized(
    known = { true },
    unknown = { false },
)]
fn departure_reported_without_an_announcement_is_applied(is_known: bool) {
    let mut directory = Directory::default();
    if is_known {
        directory.apply(update(2, 5, false, Status::Present), replica(1));
    }

    let change = directory.depart(&departure(2, departure::Kind::Gone));

    assert_eq!(change, if is_known { Change::Gone } else { Change::None });
    assert_eq!(directory.all().count(), 0);
    let late = directory.apply(update(2, 6, false, Status::Present), replica(2));
    assert_eq!((late, directory.all().count()), (Change::None, 0));
    let restarted = directory.apply(update(3, 1, false, Status::Present), replica(2));
    assert_eq!((restarted, directory.all().count()), (Change::New, 1));
}

/// Guards against a departure that takes a later incarnation out of use.
#[test]
fn departure_of_an_earlier_incarnation_leaves_the_present_one() {
    let mut directory = Directory::default();
    directory.apply(update(3, 1, false, Status::Present), replica(1));

    let changes = [departure::Kind::Draining(9), departure::Kind::Gone]
        .map(|kind| directory.depart(&departure(2, kind)));

    assert_eq!(changes, [Change::None, Change::None]);
    assert!(directory.all().all(|endpoint| endpoint.is_present()));
}

/// Guards against requests to an endpoint that began to drain, from an entry that learns this from the
/// departure only, or that hears a late announcement first.
#[parameterized(
    known = { true },
    unknown = { false },
)]
fn endpoint_that_drains_gets_no_requests(is_known: bool) {
    let mut directory = Directory::default();
    if is_known {
        directory.apply(update(2, 4, false, Status::Present), replica(1));
    }

    let change = directory.depart(&departure(2, departure::Kind::Draining(5)));
    directory.apply(update(2, 5, false, Status::Present), replica(2));

    assert_eq!(change, if is_known { Change::Draining } else { Change::None });
    assert!(directory.all().all(|endpoint| !endpoint.is_present()));
    directory.apply(update(2, 6, false, Status::Present), replica(2));
    assert!(directory.all().all(|endpoint| endpoint.is_present()), "it took that back");
}

/// Guards against an odd order that shuts out the further updates of a sound endpoint although no
/// replica hears the odd one any more.
#[parameterized(
    sequence = { 2, u64::MAX },
    incarnation = { u64::MAX, 1 },
    incarnation_and_sequence = { u64::MAX, u64::MAX },
)]
fn sound_endpoint_comes_back_after_an_odd_update(incarnation: u64, sequence: u64) {
    let mut directory = Directory::default();
    directory.apply(update(2, 5, false, Status::Present), replica(1));
    for number in [1, 2] {
        directory.apply(update(incarnation, sequence, false, Status::Present), replica(number));
    }
    for number in [1, 2] {
        directory.apply(update(incarnation, sequence, false, Status::Silent), replica(number));
    }

    directory.apply(update(2, 9, false, Status::Present), replica(2));

    let endpoint = directory.for_service("service")[0].clone();
    assert!(endpoint.is_usable());
    assert_eq!(endpoint.announcement.borrow().order(), (2, 9));
    assert_eq!(directory.apply(update(2, 10, true, Status::Present), replica(1)), Change::Draining);
    assert_eq!(directory.for_service("service").len(), 1);
}

/// Guards against requests of a service at an endpoint that has announced another one, and against an
/// endpoint that is no longer found after it has announced its own service again.
#[test]
fn endpoint_belongs_to_the_service_that_it_announced_last() {
    let mut directory = Directory::default();
    directory.apply(update(1, 1, false, Status::Present), replica(1));
    let mut odd = update(1, 2, false, Status::Present);
    odd.announcement.service = "other".into();

    directory.apply(odd, replica(1));
    assert_eq!(directory.for_service("service").len(), 0);
    assert_eq!(directory.for_service("other").len(), 1);

    directory.apply(update(1, 3, false, Status::Present), replica(1));
    assert_eq!(directory.for_service("other").len(), 0);
    assert!(directory.for_service("service")[0].is_usable());

    directory.apply(update(1, 3, false, Status::Gone), replica(1));
    assert_eq!(directory.for_service("service").len(), 0);
}

/// Guards against a late update that replaces an endpoint that another replica hears, and against
/// one that ends its draining.
#[test]
fn late_update_does_not_replace_an_endpoint() {
    let mut directory = Directory::default();
    directory.apply(update(2, 5, true, Status::Present), replica(1));
    assert_eq!(directory.apply(update(1, 9, false, Status::Present), replica(2)), Change::None);

    directory.apply(update(2, 5, true, Status::Silent), replica(1));
    directory.apply(update(2, 4, false, Status::Present), replica(2));

    let endpoint = &directory.for_service("service")[0];
    assert!(endpoint.announcement.borrow().draining);
    assert_eq!(endpoint.announcement.borrow().incarnation, 2);
}

/// Guards against an endpoint that has crashed and is never called silent, because the replicas that heard
/// it have restarted and don't know it.
#[test]
fn restarted_replica_hears_only_what_it_reports_anew() {
    let mut directory = Directory::default();
    for number in [1, 2] {
        directory.apply(update(2, 1, false, Status::Present), replica(number));
    }
    let id = update(2, 1, false, Status::Present).announcement.id;
    let silent = |directory: &Directory| directory.all().any(|endpoint| endpoint.is_silent());

    directory.record_restart(replica(1));
    assert!(directory.forget_unreported(replica(1)).is_empty());
    assert!(!silent(&directory), "the second replica hears it");

    directory.record_restart(replica(2));
    assert!(!silent(&directory), "the second replica has had no time to hear it");
    assert_eq!(directory.forget_unreported(replica(2)), [id]);
    assert!(silent(&directory));

    directory.apply(update(2, 9, false, Status::Present), replica(1));
    directory.record_restart(replica(1));
    directory.apply(update(2, 9, false, Status::Present), replica(1));
    assert!(directory.forget_unreported(replica(1)).is_empty());
    assert!(!silent(&directory));
}

/// Guards against removing an endpoint because a replica does not receive its announcements.
#[test]
fn silent_endpoint_stays_known() {
    let mut directory = Directory::default();
    directory.apply(update(1, 1, false, Status::Present), replica(1));

    assert_eq!(directory.apply(update(1, 1, false, Status::Silent), replica(1)), Change::Silent);
    assert_eq!(directory.for_service("service").len(), 1);
    assert!(!directory.for_service("service")[0].is_usable());
    directory.for_service("service")[0].record_activity();
    assert!(directory.for_service("service")[0].is_usable());
}

/// Guards against an endpoint that stays in use although no replica receives its announcements any
/// more. Replicas do not send unchanged announcements to entries, so the update that reports the
/// silence has a later sequence number than the one that the entry has.
#[test]
fn silent_update_with_a_later_sequence_is_applied() {
    let mut directory = Directory::default();
    directory.apply(update(1, 1, false, Status::Present), replica(1));

    let change = directory.apply(update(1, 9, false, Status::Silent), replica(1));

    assert_eq!(change, Change::Silent);
    assert!(!directory.for_service("service")[0].is_usable());
}

/// Guards against an endpoint that is taken out of use because one replica, partitioned from the
/// others, does not receive its announcements.
#[test]
fn endpoint_is_silent_only_if_no_replica_receives_announcements() {
    let mut directory = Directory::default();
    directory.apply(update(1, 1, false, Status::Present), replica(1));
    directory.apply(update(1, 1, false, Status::Present), replica(2));

    let change = directory.apply(update(1, 3, false, Status::Silent), replica(1));
    assert_eq!(change, Change::None);
    assert!(directory.for_service("service")[0].is_usable());

    let change = directory.apply(update(1, 5, false, Status::Silent), replica(2));
    assert_eq!(change, Change::Silent);
    assert!(!directory.for_service("service")[0].is_usable());

    let change = directory.apply(update(1, 6, false, Status::Present), replica(2));
    assert_eq!(change, Change::Other);
    assert!(directory.for_service("service")[0].is_usable());
}

/// Guards against requests to a crashed endpoint whose address a new one has taken over. Each entry
/// would learn of it by refused requests, whose retries use up the budget.
#[test]
fn endpoint_whose_address_was_taken_over_is_not_used() {
    let mut directory = Directory::default();
    directory.apply(update(1, 4, false, Status::Present), replica(1));
    directory.for_service("service")[0].record_activity();
    let mut successor = update(2, 1, false, Status::Present);
    successor.announcement.id = "successor".into();

    directory.apply(successor, replica(1));

    let usable = directory.for_service("service").iter().filter(|endpoint| endpoint.is_usable());
    assert_eq!(usable.map(|endpoint| endpoint.id()).collect::<Vec<_>>(), ["successor".into()]);
}

/// Guards against entries that together retry more than the budget of the service allows.
#[test]
fn budgets_of_all_entries_stay_within_the_limit() {
    const ENTRIES: u32 = 8;
    const FIRST: u32 = 40;
    let limits =
        Limits { ratio: 0.9, slack: 56.0, window: Duration::from_secs(10), entries: ENTRIES };
    let now = Duration::from_secs(100);
    let taken: u32 = (0..ENTRIES)
        .map(|_| {
            let mut budget = RetryBudget::default();
            (0..FIRST).for_each(|_| budget.record_first_send(now, &limits));
            (0..1_000).filter(|_| budget.take(now, &limits)).count() as u32
        })
        .sum();

    assert!(f64::from(taken) <= 0.9 * f64::from(FIRST * ENTRIES) + 56.0);
    assert!(taken > 0);
}
