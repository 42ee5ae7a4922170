//! What controllers write and request handlers read.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_wire::endpoint::Announcement;
use parking_lot::RwLock;

use crate::routing::Routing;

/// The blackboard of an entry.
#[derive(Debug, Default)]
pub struct Blackboard {
    lease_until: RwLock<Option<Instant>>,
    routing: RwLock<Arc<Routing>>,
    endpoints: RwLock<Arc<BTreeMap<Endpoint, Announcement>>>,
}

impl Blackboard {
    /// Fails unless the lease is valid at `now`.
    pub fn check_lease(&self, now: Instant) -> error::Result<()> {
        match *self.lease_until.read() {
            Some(until) if now < until => Ok(()),
            _ => Err(Error::new(Kind::NoLease, "the entry holds no valid lease")),
        }
    }

    /// Extends the lease; an older answer that arrives late can't shorten it.
    pub fn extend_lease(&self, until: Instant) {
        let mut lease = self.lease_until.write();
        *lease = Some(lease.map_or(until, |known| known.max(until)));
    }

    /// The routing in force.
    pub fn routing(&self) -> Arc<Routing> {
        Arc::clone(&self.routing.read())
    }

    /// Takes over `routing` unless its revision is older than the one in force.
    pub fn set_routing(&self, routing: Routing) {
        let mut current = self.routing.write();
        if routing.config.revision >= current.config.revision {
            *current = Arc::new(routing);
        }
    }

    /// Known endpoints.
    pub fn endpoints(&self) -> Arc<BTreeMap<Endpoint, Announcement>> {
        Arc::clone(&self.endpoints.read())
    }

    /// Replaces the known endpoints.
    pub fn set_endpoints(&self, endpoints: BTreeMap<Endpoint, Announcement>) {
        *self.endpoints.write() = Arc::new(endpoints);
    }
}
