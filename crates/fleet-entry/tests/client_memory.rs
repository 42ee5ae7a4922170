//! Memory for the parts of streams that wait for clients.

use std::rc::Rc;

use hickoryreel_fleet_entry::client_memory::Account;
use hickoryreel_fleet_entry::client_memory::CLIENT_LIMIT;
use hickoryreel_fleet_entry::client_memory::Hold;
use hickoryreel_fleet_entry::client_memory::Room;
use hickoryreel_fleet_entry::memory::Budget;

const READ: usize = 64 << 10;

/// Takes parts for a client that reads nothing, until there is no room.
fn fill(account: &Rc<Account>) -> Hold {
    let mut hold = account.hold();
    while let Room::Bytes(bytes) = account.room(READ, 0) {
        assert!(hold.grow(bytes));
    }
    hold
}

/// Guards against a client that holds more than its limit although much memory is free.
#[test]
fn one_client_holds_at_most_its_limit() {
    let budget = Budget::new(100 * CLIENT_LIMIT);
    let account = Account::new(Rc::clone(&budget));

    let hold = fill(&account);

    assert_eq!((hold.bytes(), budget.used()), (CLIENT_LIMIT, CLIENT_LIMIT));
}

/// Guards against slow clients that leave no room for one that reads.
#[test]
fn slow_clients_leave_room_for_others() {
    let budget = Budget::new(88 * CLIENT_LIMIT);
    let slow: Vec<Hold> = (0..400).map(|_| fill(&Account::new(Rc::clone(&budget)))).collect();

    let room = Account::new(Rc::clone(&budget)).room(1 << 10, 0);

    assert_eq!(room, Room::Bytes(1 << 10));
    drop(slow);
    assert_eq!(budget.used(), 0);
}

/// Guards against an event that can't be completed because its begin takes the room for its rest.
#[test]
fn incomplete_event_does_not_wait_for_itself() {
    let account = Account::new(Budget::new(16 * CLIENT_LIMIT));
    let mut partial = account.hold();
    assert!(partial.grow(CLIENT_LIMIT / 2));

    let waiting_room = account.room(READ, 0);
    let event_room = account.room(READ, partial.bytes());
    assert!(partial.grow(CLIENT_LIMIT / 2));
    let no_room = account.room(READ, partial.bytes());

    assert_eq!(waiting_room, Room::Full);
    assert!(matches!(event_room, Room::Bytes(bytes) if bytes > READ / 2), "{event_room:?}");
    assert_eq!(no_room, Room::EventTooLarge);
}

/// Guards against bytes that are counted after they were written.
#[test]
fn written_parts_leave_room() {
    let account = Account::new(Budget::new(100 * CLIENT_LIMIT));
    let mut hold = fill(&account);
    assert_eq!(account.room(READ, 0), Room::Full);

    let written = hold.split(READ);
    drop(written);

    assert_eq!(account.room(READ, 0), Room::Bytes(READ));
    assert_eq!(account.held(), CLIENT_LIMIT - READ);
}
