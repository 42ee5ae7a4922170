//! State that controllers write and request handlers read.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_base::time::Clock;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Revision;
use parking_lot::RwLock;
use tokio::sync::Notify;

use crate::routing::Routing;

/// Lease, configuration and shutdown state of an entry.
#[derive(Debug)]
pub struct Blackboard {
    /// End of the lease on `clock`.
    lease_until: RwLock<Option<Duration>>,
    clock: Arc<dyn Clock>,
    routing: RwLock<Arc<Routing>>,
    holder: RwLock<Holder>,
    stopping: AtomicBool,
    draining: AtomicBool,
    /// Requests an immediate lease renewal.
    renew_now: Notify,
    /// Notifies waiters after newer routing took effect.
    routing_changed: Notify,
}

impl Blackboard {
    /// Creates the blackboard of an entry without a lease. `clock` must advance while the VM is
    /// suspended.
    pub fn new(holder: Holder, clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            lease_until: RwLock::default(),
            routing: RwLock::default(),
            holder: RwLock::new(holder),
            stopping: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            renew_now: Notify::new(),
            routing_changed: Notify::new(),
        }
    }

    /// Fails unless the entry may accept new requests.
    pub fn check_accepting(&self) -> error::Result<()> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "the entry is shutting down"));
        }
        self.check_lease()
    }

    /// Fails unless load balancers should send requests to this entry.
    pub fn check_ready(&self) -> error::Result<()> {
        if self.stopping.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "the entry is about to shut down"));
        }
        self.check_accepting()
    }

    pub fn check_lease(&self) -> error::Result<()> {
        match *self.lease_until.read() {
            Some(until) if self.clock.now() < until => Ok(()),
            _ => Err(Error::new(Kind::NoLease, "the entry holds no valid lease")),
        }
    }

    /// Fails unless the lease is valid and `version` may receive new requests.
    pub fn check_version(&self, version: &Version) -> error::Result<()> {
        self.check_lease()?;
        if self.routing.read().config.withdrawn.contains(version) {
            let message = format!("version {version} was withdrawn before the dispatch");
            return Err(Error::new(Kind::StaleRevision, message));
        }
        Ok(())
    }

    /// Time until the lease ends; zero without a lease.
    pub fn lease_left(&self) -> Duration {
        let until = *self.lease_until.read();
        until.map_or(Duration::ZERO, |until| until.saturating_sub(self.clock.now()))
    }

    /// Present time on the clock that the lease is measured with.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Extends the lease. A delayed response to an older renewal cannot shorten it.
    pub fn extend_lease(&self, until: Duration) {
        let mut lease = self.lease_until.write();
        *lease = Some(lease.map_or(until, |current| current.max(until)));
    }

    /// This entry with its current incarnation.
    pub fn holder(&self) -> Holder {
        self.holder.read().clone()
    }

    /// Starts a new incarnation after the lease of the previous one lapsed.
    pub fn start_new_incarnation(&self, incarnation: u64) {
        let mut holder = self.holder.write();
        holder.incarnation = incarnation.max(holder.incarnation + 1);
    }

    /// Ends readiness. The entry still accepts requests.
    pub fn set_stopping(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Stops accepting new requests.
    pub fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Completes when a request handler needs newer configuration.
    pub async fn renewal_requested(&self) {
        self.renew_now.notified().await;
    }

    /// Requests configuration newer than `revision` and waits for it, at most `timeout`.
    pub async fn wait_for_newer(&self, revision: Revision, timeout: Duration) {
        let newer = async {
            loop {
                let changed = self.routing_changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.routing.read().config.revision > revision {
                    return;
                }
                self.renew_now.notify_one();
                changed.await;
            }
        };
        let _ = tokio::time::timeout(timeout, newer).await;
    }

    pub fn routing(&self) -> Arc<Routing> {
        Arc::clone(&self.routing.read())
    }

    /// Replaces the routing, unless the revision of `routing` is older than the present one.
    /// Returns whether it was replaced.
    pub fn set_routing(&self, routing: Routing) -> bool {
        let mut current = self.routing.write();
        let replaces = routing.config.revision >= current.config.revision;
        if replaces {
            *current = Arc::new(routing);
            self.routing_changed.notify_waiters();
        }
        replaces
    }
}
