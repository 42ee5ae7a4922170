//! The directory under late, reordered and repeated announcements.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::link::Cursor;
use hickoryreel_fleet_control::directory::Directory;

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

fn directory() -> Directory {
    Directory::new(Duration::from_millis(1_200))
}

fn status(directory: &Directory) -> Option<Status> {
    directory.since(Cursor::default()).pop().map(|one| one.status)
}

/// Guards against a late announcement that takes back that an endpoint drains.
#[test]
fn late_announcement_changes_nothing() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, true));

    assert_eq!(directory.announce(announcement(10, 4, false)), None);
    assert_eq!(directory.announce(announcement(9, 80, false)), None);
    assert!(directory.since(Cursor::default())[0].announcement.draining);
}

/// Guards against an endpoint that left and comes back through a late announcement, and against a
/// new incarnation under the same id that stays unknown.
#[test]
fn endpoint_that_left_stays_away_until_its_next_incarnation() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, true));
    assert_eq!(directory.leave("e1", u64::MAX), Some(10));

    assert_eq!(directory.announce(announcement(10, 6, true)), None);
    assert_eq!(status(&directory), Some(Status::Gone));
    assert_eq!(directory.announce(announcement(11, 1, false)), Some(true));
    assert_eq!(status(&directory), Some(Status::Present));
}

/// Guards against news of an old incarnation's end that removes the present one.
#[test]
fn leaving_of_an_old_incarnation_is_ignored() {
    let mut directory = directory();
    directory.announce(announcement(11, 1, false));

    assert_eq!(directory.leave("e1", 10), None);
    assert_eq!(status(&directory), Some(Status::Present));
}

/// Guards against an endpoint that crashed and stays in use although a new one has its address, and
/// against its delayed announcement that brings it back.
#[test]
fn new_holder_of_an_address_displaces_the_one_before() {
    let mut directory = directory();
    directory.announce(announcement(10, 5, false));
    let mut successor = announcement(20, 1, false);
    successor.id = "e2".into();

    assert_eq!(directory.announce(successor.clone()), Some(true));
    assert_eq!(directory.announce(announcement(10, 6, false)), None);

    let mut statuses: Vec<_> = directory.since(Cursor::default());
    statuses.sort_by_key(|one| one.announcement.id.clone());
    let statuses: Vec<_> = statuses.into_iter().map(|one| one.status).collect();
    assert_eq!(statuses, [Status::Silent, Status::Present]);
}

/// Guards against polls that are woken by every announcement, and against changes that a poll
/// misses.
#[test]
fn only_changes_move_the_cursor() {
    let mut directory = directory();
    directory.announce(announcement(10, 1, false));
    let seen = directory.cursor();

    directory.announce(announcement(10, 2, false));
    assert!(!directory.is_newer_than(seen));

    directory.announce(announcement(10, 3, true));
    assert!(directory.is_newer_than(seen));
    assert_eq!(directory.since(seen).len(), 1);
    assert_eq!(directory.since(directory.cursor()).len(), 0);
}
