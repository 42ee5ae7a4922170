//! Memory for the parts of a stream that wait for its client.
//!
//! A part counts from the time at which the relay takes it until it is written to the client's
//! connection. A client may hold [`CLIENT_LIMIT`] bytes, and less when many clients read slowly: the
//! limit shrinks with the memory that is free. A client for which nothing waits gets its next part from
//! the rest, in smaller pieces if little is left, so that slow clients do not stop the others. This is
//! the dynamic threshold of switches with a shared packet buffer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::memory::Budget;
use crate::memory::Reservation;

/// Bytes that may wait for one client: four reads of 64 KiB, and the largest event by default.
pub const CLIENT_LIMIT: usize = 256 << 10;

/// Part (1/n) of the free memory up to which parts may wait for one client. Of a budget of 22 MiB, one
/// client gets its limit, and 400 that never read leave room for others. An entry gets five requests a
/// second in the design sizes, and clients that accept nothing lose their connections after 16 s, which
/// makes 80.
const FREE_DIVISOR: usize = 64;

/// Bytes for which there must be room before more is taken, so that a client that reads very slowly
/// does not cause a chunk for a few bytes each. About the size of a packet.
const MIN_PIECE: usize = 1 << 10;

/// Interval at which a stream checks whether other clients have left room. Its own client wakes
/// it at once, so the interval only matters while the memory of the process is short.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Room for the next part of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Number of bytes that may be taken.
    Bytes(usize),
    /// None until the client reads.
    Full,
    /// None at all: a single event has as many bytes as may wait for a client.
    EventTooLarge,
}

/// The bytes that wait for one client.
#[derive(Debug)]
pub struct Account {
    budget: Rc<Budget>,
    /// Bytes held for the client, with those of an incomplete event.
    held: Cell<usize>,
    /// Notified when some of them have been written.
    freed: Notify,
}

/// Bytes of an [`Account`], released when it is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Account>,
    reservation: Reservation,
}

impl Account {
    pub fn new(budget: Rc<Budget>) -> Rc<Self> {
        Rc::new(Self { budget, held: Cell::new(0), freed: Notify::new() })
    }

    /// Bytes that are held for the client.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Returns the room for a part of `wanted` bytes, while `partial` bytes of the account are an
    /// incomplete event, which can't be written before its rest has arrived.
    pub fn room(&self, wanted: usize, partial: usize) -> Room {
        let (held, free) = (self.held.get(), self.budget.free());
        let own = CLIENT_LIMIT.saturating_sub(held);
        let keeps_up = held <= partial;
        if keeps_up && own == 0 {
            return Room::EventTooLarge;
        }
        let share = free / FREE_DIVISOR;
        let (shared, minimum) = if keeps_up {
            (share.max(MIN_PIECE).min(free), MIN_PIECE.min(own))
        } else {
            (share.saturating_sub(held), MIN_PIECE)
        };
        match wanted.min(own).min(shared) {
            bytes if bytes >= wanted.min(minimum) => Room::Bytes(bytes),
            _ => Room::Full,
        }
    }

    /// Completes when the room may have changed.
    pub async fn changed(&self) {
        let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, self.freed.notified()).await;
    }

    /// Begins a hold without bytes.
    pub fn hold(self: &Rc<Self>) -> Hold {
        Hold { account: Rc::clone(self), reservation: self.budget.begin() }
    }
}

impl Hold {
    pub fn bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Holds more bytes. Returns whether the budget allows it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let grown = self.reservation.grow(bytes);
        if grown {
            self.account.held.set(self.account.held.get() + bytes);
        }
        grown
    }

    /// Moves bytes to a hold of their own; at most those of this one.
    pub fn split(&mut self, bytes: usize) -> Self {
        let reservation = self.reservation.split(bytes);
        Self { account: Rc::clone(&self.account), reservation }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.held.set(self.account.held.get().saturating_sub(self.bytes()));
        if self.bytes() > 0 {
            // The budget is released after this; the task that waits runs later.
            self.account.freed.notify_one();
        }
    }
}
