//! Memory for the bodies of requests and answers that are being read.

use std::cell::Cell;

use bytes::Bytes;
use bytes::BytesMut;

/// Limit on the bytes that all tasks hold together.
#[derive(Debug)]
pub struct Budget {
    used: Cell<usize>,
    limit: usize,
}

/// Bytes of a [`Budget`], released when it is dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    budget: &'a Budget,
    bytes: usize,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { used: Cell::new(0), limit }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Reserves bytes. Returns `None` if that exceeds the limit.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation<'_>> {
        let mut reservation = Reservation { budget: self, bytes: 0 };
        reservation.grow(bytes).then_some(reservation)
    }
}

impl Reservation<'_> {
    /// Bytes of this reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves more bytes. Returns whether the limit allows it.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let used = self.budget.used.get().saturating_add(bytes);
        if used > self.budget.limit {
            return false;
        }
        self.budget.used.set(used);
        self.bytes += bytes;
        true
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.budget.used.set(self.budget.used.get() - self.bytes);
    }
}

/// Parts of a body. A body that arrives in one part is not copied; further parts are copied together,
/// so that many small ones take no more memory than their bytes.
#[derive(Debug, Default)]
pub struct Parts {
    first: Bytes,
    all: BytesMut,
}

impl Parts {
    pub fn push(&mut self, part: Bytes) {
        if self.first.is_empty() && self.all.is_empty() {
            self.first = part;
            return;
        }
        let first = std::mem::take(&mut self.first);
        self.all.extend_from_slice(&first);
        self.all.extend_from_slice(&part);
    }

    /// Returns the whole body.
    pub fn whole(self) -> Bytes {
        if self.all.is_empty() { self.first } else { self.all.freeze() }
    }
}
