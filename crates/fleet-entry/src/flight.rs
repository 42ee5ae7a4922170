//! A send under way, as it counts at its endpoint and for its version.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;

use crate::bulk::Place;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::exchange::Connection;
use crate::tally::End;

/// Counts a send at its endpoint until it is dropped.
pub struct Flight {
    entry: Rc<Entry>,
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    service: Name,
    version: Name,
    route: Name,
    rank: u8,
    prefill_ms: f64,
    place: Option<Place>,
    /// When the send began.
    pub began: Duration,
}

impl Flight {
    /// Counts a send of a rank whose prompt takes `unread_ms` to read.
    pub fn new(
        entry: Rc<Entry>,
        endpoint: Rc<Endpoint>,
        (service, route): (Name, Name),
        (rank, prefill_ms): (u8, f64),
        place: Option<Place>,
    ) -> Self {
        let version = endpoint.version();
        endpoint.sent();
        endpoint.add_unread(rank, prefill_ms);
        entry.tallies.borrow_mut().sent(&service, &version, &route);
        entry.metrics.sends.inc();
        let began = boot_time();
        Self { entry, endpoint, service, version, route, rank, prefill_ms, place, began }
    }

    /// The endpoint has read the prompt.
    pub fn answered(&mut self) {
        self.place = None;
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        self.endpoint.add_unread(self.rank, -prefill_ms);
    }

    /// Gives the connection back for other requests after a complete exchange.
    pub fn give_back(&self, connection: Connection, keep_alive: Option<Duration>) {
        let most = self.entry.most_idle(&self.service);
        self.endpoint.pool.put(connection, keep_alive, most);
    }

    /// Notes what the send says of the version.
    pub fn judge(&self, end: End) {
        let mut tallies = self.entry.tallies.borrow_mut();
        tallies.judged(&self.service, &self.version, &self.route, end);
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.answered();
        self.endpoint.open.set(self.endpoint.open.get().saturating_sub(1));
        let mut tallies = self.entry.tallies.borrow_mut();
        tallies.closed(&self.service, &self.version, &self.route);
    }
}
