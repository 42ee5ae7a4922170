//! Memory for the bodies of requests and answers, and for the parts of streams that wait for clients.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;

/// Bytes up to which a reservation counts as small.
pub const SMALL_BYTES: usize = 16 << 10;

/// Limit on the bytes that all tasks hold together.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    limit: usize,
    /// Part of the limit that only small reservations may use.
    kept_for_small: usize,
}

/// Bytes of a [`Budget`], released when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<Self> {
        Self::with_small_share(limit, 0)
    }

    /// Creates a budget of `limit` bytes, of which `kept_for_small` are kept for small reservations, so
    /// that a few large ones leave room for all others.
    pub fn with_small_share(limit: usize, kept_for_small: usize) -> Rc<Self> {
        Rc::new(Self { used: Cell::new(0), limit, kept_for_small })
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Bytes that are not reserved.
    pub fn free(&self) -> usize {
        self.limit.saturating_sub(self.used.get())
    }

    /// Begins a reservation without bytes.
    pub fn begin(self: &Rc<Self>) -> Reservation {
        Reservation { budget: Rc::clone(self), bytes: 0 }
    }

    /// Reserves bytes. Returns `None` if that exceeds the limit.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let mut reservation = self.begin();
        reservation.grow(bytes).then_some(reservation)
    }
}

impl Reservation {
    /// Bytes of this reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes. Returns whether the limit allows it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let is_small = self.bytes.saturating_add(bytes) <= SMALL_BYTES;
        let kept = if is_small { 0 } else { self.budget.kept_for_small };
        if bytes > self.budget.free().saturating_sub(kept) {
            return false;
        }
        self.budget.used.set(self.budget.used.get() + bytes);
        self.bytes += bytes;
        true
    }

    /// Moves bytes to a reservation of their own; at most those of this one.
    pub fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { budget: Rc::clone(&self.budget), bytes }
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

/// Parts of a body. They are copied, because a part refers to the read buffer of its connection and
/// would keep all of it in memory.
#[derive(Debug, Default)]
pub struct Parts(BytesMut);

impl Parts {
    pub fn push(&mut self, part: &[u8]) {
        self.0.extend_from_slice(part);
    }

    /// Returns the whole body, without the spare capacity that it grew by.
    pub fn whole(self) -> Bytes {
        Bytes::from(Vec::from(self.0).into_boxed_slice())
    }
}
