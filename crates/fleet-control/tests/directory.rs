//! The directory with late, reordered and repeated announcements.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::link::Cursor;
use hickoryreel_fleet_control::directory::Directory;
use yare::parameterized;

fn announcement(incarnation: u64, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        id: "e1".into(),
        service: "ledger".into(),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 8080),
        zone: "a".into(),
        version: "v1".into(),
        slots: 6,
        draining,
        warm_up_left_ms: 0,
        incarnation,
        sequence,
    }
}

fn gone(incarnation: u64) -> Departure {
    Departure { id: "e1".into(), incarnation, kind: departure::Kind::Gone }
}

fn draining(incarnation: u64, since: u64) -> Departure {
    Departure { id: "e1".into(), incarnation, kind: departure::Kind::Draining(since) }
}

fn directory() -> Directory {
    directory_with_interval(Duration::from_millis(1_200))
}

fn directory_with_interval(interval: Duration) -> Directory {
    let mut directory = Directory::new(interval);
    directory.add_services(&["ledger".into()]);
    directory
}

fn status(directory: &Directory) -> Option<Status> {
    directory.updates_since(Cursor::default()).pop().map(|update| update.status)
}

/// Guards against a late announcement that clears the draining state of an endpoint.
#[test]
fn late_announcement_changes_nothing() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, true));

    assert_eq!(directory.announce(announcement(10, 4, false)), None);
    assert_eq!(directory.announce(announcement(9, 80, false)), None);
    assert!(directory.updates_since(Cursor::default())[0].announcement.draining);
}

/// Guards against a late announcement that brings back an endpoint that has deregistered, and
/// against a new incarnation with the same id that is ignored.
#[test]
fn deregistered_endpoint_stays_gone_until_its_next_incarnation() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, true));
    assert!(directory.depart(&gone(10)));

    assert_eq!(directory.announce(announcement(10, 6, true)), None);
    assert_eq!(status(&directory), Some(Status::Gone));
    assert_eq!(directory.announce(announcement(11, 1, false)), Some(true));
    assert_eq!(status(&directory), Some(Status::Present));
}

/// Guards against the late deregistration of an old incarnation that removes the present one.
#[test]
fn deregistration_of_an_old_incarnation_is_ignored() {
    let mut directory = directory();
    directory.announce(announcement(11, 1, false));

    directory.depart(&gone(10));
    assert_eq!(status(&directory), Some(Status::Present));
}

/// Guards against a late announcement that brings back an endpoint whose deregistration arrived
/// before the first announcement of its incarnation.
#[test]
fn incarnation_that_has_deregistered_does_not_come_back() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, false));
    assert!(directory.depart(&gone(11)));

    assert_eq!(directory.announce(announcement(11, 1, false)), None);
    assert_eq!(status(&directory), Some(Status::Gone));
    assert_eq!(directory.announce(announcement(12, 1, false)), Some(true));
}

/// Guards against replicas that have restarted and acknowledge the deregistration of an endpoint that
/// they don't know, but tell no entry of it.
#[test]
fn departure_of_an_unknown_endpoint_reaches_the_entries() {
    let mut directory = directory();
    let before = directory.cursor();

    assert!(directory.depart(&gone(10)));

    assert!(directory.has_changed_since(before));
    assert_eq!(directory.departures_since(before), [gone(10)]);
    assert_eq!(directory.departures_since(Cursor::default()), [gone(10)]);
    assert_eq!(directory.departures_since(directory.cursor()), []);
    assert!(!directory.depart(&gone(10)), "a resent one is nothing new");
    assert_eq!(directory.announce(announcement(10, 6, false)), None);
    assert_eq!(directory.announce(announcement(9, 80, false)), None);
    assert_eq!(directory.announce(announcement(11, 1, false)), Some(true));
}

/// Guards against a delayed announcement from before an endpoint began to drain that makes it usable
/// again at a replica that has restarted in between.
#[test]
fn endpoint_that_drains_stays_draining_for_late_announcements() {
    let is_draining = |directory: &Directory| {
        directory.updates_since(Cursor::default()).pop().map(|update| update.announcement.draining)
    };
    let mut directory = directory();
    assert!(directory.depart(&draining(10, 5)));

    directory.announce(announcement(10, 4, false));
    assert_eq!(is_draining(&directory), Some(true));
    directory.announce(announcement(10, 6, false));
    assert_eq!(is_draining(&directory), Some(false), "it took that back");
    directory.announce(announcement(11, 1, false));
    assert_eq!(is_draining(&directory), Some(false), "it has restarted");
}

/// Guards against ids made up by a caller that take memory without bound.
#[test]
fn departures_of_made_up_endpoints_are_bounded() {
    let mut directory = directory();

    for number in 0..10_000 {
        directory.depart(&Departure { id: format!("e{number}").into(), ..gone(10) });
    }

    let kept = directory.departures_since(Cursor::default());
    assert_eq!(kept.len(), 4_096);
    assert_eq!(&*kept[4_095].id, "e9999");
}

/// Guards against a crashed endpoint that stays in use although a new one has its address, and
/// against a delayed announcement that brings it back.
#[test]
fn endpoint_supersedes_an_earlier_one_at_its_address() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, false));
    let mut successor = announcement(20, 1, false);
    successor.id = "e2".into();

    assert_eq!(directory.announce(successor.clone()), Some(true));
    assert_eq!(directory.announce(announcement(10, 6, false)), None);

    let mut updates: Vec<_> = directory.updates_since(Cursor::default());
    updates.sort_by_key(|update| update.announcement.id.clone());
    let statuses: Vec<_> = updates.into_iter().map(|update| update.status).collect();
    assert_eq!(statuses, [Status::Silent, Status::Present]);
}

/// Guards against polls that wake up at every announcement, and against polls that miss a change.
#[test]
fn only_changes_advance_the_cursor() {
    let mut directory = directory();
    directory.announce(announcement(10, 1, false));
    let cursor = directory.cursor();

    directory.announce(announcement(10, 2, false));
    assert!(!directory.has_changed_since(cursor));

    directory.announce(announcement(10, 3, true));
    assert!(directory.has_changed_since(cursor));
    assert_eq!(directory.updates_since(cursor).len(), 1);
    assert_eq!(directory.updates_since(directory.cursor()).len(), 0);
}

/// Announces every interval until the directory accepts one. Returns whether it did in time.
fn announce_until_accepted(directory: &mut Directory, incarnation: u64, draining: bool) -> bool {
    (1..200).any(|sequence| {
        std::thread::sleep(SHORT_INTERVAL);
        directory.expire();
        directory.announce(announcement(incarnation, sequence, draining)).is_some()
    })
}

const SHORT_INTERVAL: Duration = Duration::from_millis(40);

/// Guards against one announcement with an odd order that shuts out all further ones of a sound
/// endpoint with the same id.
#[parameterized(
    sequence = { announcement(10, u64::MAX, false) },
    incarnation = { announcement(u64::MAX, 1, false) },
    incarnation_and_sequence = { announcement(u64::MAX, u64::MAX, false) },
)]
fn sound_endpoint_comes_back_after_an_odd_announcement(odd: Announcement) {
    let mut directory = directory_with_interval(SHORT_INTERVAL);
    directory.announce(announcement(10, 5, false));
    directory.announce(odd);
    let cursor = directory.cursor();

    assert!(announce_until_accepted(&mut directory, 10, true));

    let update = directory.updates_since(cursor).pop().expect("entries need it");
    assert_eq!((update.status, update.announcement.draining), (Status::Present, true));
    assert_eq!(update.announcement.incarnation, 10);
}

/// Guards against a delayed announcement that brings back an earlier incarnation after the later one
/// has become silent.
#[test]
fn delayed_announcements_do_not_replace_a_silent_incarnation() {
    let mut directory = directory_with_interval(SHORT_INTERVAL);
    directory.announce(announcement(20, 1, false));
    std::thread::sleep(6 * SHORT_INTERVAL);
    directory.expire();

    for sequence in [6, 7, 7, 5, 8] {
        assert_eq!(directory.announce(announcement(10, sequence, false)), None);
    }
    std::thread::sleep(10 * SHORT_INTERVAL);
    assert_eq!(directory.announce(announcement(10, 9, false)), None);

    assert_eq!(status(&directory), Some(Status::Silent));
}

/// Guards against an earlier incarnation that comes back while the later one announces itself.
#[test]
fn earlier_incarnation_does_not_replace_one_that_is_present() {
    let mut directory = directory_with_interval(SHORT_INTERVAL);
    for sequence in 1..20 {
        std::thread::sleep(SHORT_INTERVAL / 2);
        directory.announce(announcement(20, sequence, false));
        directory.expire();

        assert_eq!(directory.announce(announcement(10, sequence, false)), None);
    }
}

/// An announcement at the address of the endpoint by another program, which started later.
fn other_announcement(id: &str, service: &str) -> Announcement {
    let announcement = announcement(20, 1, false);
    Announcement { id: id.into(), service: service.into(), ..announcement }
}

/// Returns the status of each endpoint that entries know, and whether it drains.
fn known(directory: &Directory) -> Vec<(String, Status, bool)> {
    let updates = directory.updates_since(Cursor::default()).into_iter();
    let mut known: Vec<_> = updates
        .map(|EndpointUpdate { announcement, status }| {
            (announcement.id.to_string(), status, announcement.draining)
        })
        .collect();
    known.sort_by(|left, right| left.0.cmp(&right.0));
    known
}

/// Guards against another program that reports the address or the id of an endpoint, whose further
/// announcements are then acknowledged and dropped.
#[parameterized(
    address = { "agent" },
    id = { "e1" },
)]
fn announcement_of_an_unknown_service_displaces_no_endpoint(id: &str) {
    let mut directory = directory();
    directory.announce(announcement(10, 1, false));

    directory.announce(other_announcement(id, "agent"));
    assert_eq!(known(&directory), [("e1".to_owned(), Status::Present, false)]);

    assert_eq!(directory.announce(announcement(10, 2, true)), Some(true));
    assert_eq!(known(&directory), [("e1".to_owned(), Status::Present, true)]);
}

/// Guards against another program that reports the id of an endpoint before the endpoint does.
#[test]
fn announcement_of_an_unknown_service_does_not_shut_out_a_later_endpoint() {
    let mut directory = directory();
    directory.announce(other_announcement("e1", "agent"));

    assert_eq!(directory.announce(announcement(10, 1, false)), Some(true));
    assert_eq!(known(&directory), [("e1".to_owned(), Status::Present, false)]);
}

/// Guards against an endpoint that is not used because it announced itself before the configuration
/// named its service, and against one that takes an address over before that.
#[test]
fn endpoint_is_used_once_its_service_is_configured() {
    let mut directory = directory();
    directory.announce(announcement(10, 1, false));
    directory.announce(other_announcement("e2", "drafting"));
    let cursor = directory.cursor();

    assert!(directory.add_services(&["ledger".into(), "drafting".into()]));

    assert!(directory.has_changed_since(cursor));
    let expected =
        [("e1".to_owned(), Status::Silent, false), ("e2".to_owned(), Status::Present, false)];
    assert_eq!(known(&directory), expected);
    assert!(!directory.add_services(&["drafting".into()]));
}

/// Guards against an endpoint whose acknowledged announcement that it drains has no effect because
/// another one announced its address.
#[test]
fn draining_is_recorded_although_the_address_was_taken_over() {
    let mut directory = directory();
    directory.announce(announcement(10, 1, false));
    directory.announce(other_announcement("e2", "ledger"));

    assert_eq!(directory.announce(announcement(10, 2, true)), Some(true));

    let expected =
        [("e1".to_owned(), Status::Silent, true), ("e2".to_owned(), Status::Present, false)];
    assert_eq!(known(&directory), expected);
    assert_eq!(directory.announce(announcement(10, 3, true)), Some(false));
}

fn warming(sequence: u64, left_ms: u64) -> Announcement {
    Announcement { warm_up_left_ms: left_ms, ..announcement(10, sequence, false) }
}

/// Guards against entries that take an endpoint for warm at the time that it stated first, although it
/// has needed longer since, for example because its VM was suspended. An announcement that is a little
/// late is no reason to send it to all entries.
#[test]
fn warm_up_that_takes_longer_reaches_the_entries() {
    let mut directory = directory();
    let delay = Duration::from_millis(300);
    directory.announce(warming(1, 5_000));

    std::thread::sleep(delay);
    assert_eq!(directory.announce(warming(2, 4_700)), Some(false));
    std::thread::sleep(delay);
    assert_eq!(directory.announce(warming(3, 4_650)), Some(true));
    assert_eq!(directory.announce(warming(4, 4_650)), Some(false));

    let updates = directory.updates_since(Cursor::default());
    assert_eq!(updates[0].announcement.warm_up_left_ms, 4_650);
}

/// Guards against an endpoint that counts as warm once the longest time that is believed is over,
/// although it still announces itself as cold.
#[test]
fn warm_up_beyond_the_longest_one_is_repeated() {
    let mut directory = directory();
    directory.announce(warming(1, u64::MAX));

    std::thread::sleep(Duration::from_millis(300));

    assert_eq!(directory.announce(warming(2, u64::MAX - 300)), Some(true));
}
