//! What controllers write and request handlers read.

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

/// The blackboard of an entry.
#[derive(Debug)]
pub struct Blackboard {
    /// On the clock handed in, which goes on while the VM is suspended.
    lease_until: RwLock<Option<Duration>>,
    clock: Arc<dyn Clock>,
    routing: RwLock<Arc<Routing>>,
    holder: RwLock<Holder>,
    stopping: AtomicBool,
    draining: AtomicBool,
    /// Asks the lease controller to renew now.
    hurry: Notify,
    /// Tells that newer routing is in force.
    changed: Notify,
}

impl Blackboard {
    /// The blackboard of an entry without a lease.
    pub fn new(holder: Holder, clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            lease_until: RwLock::default(),
            routing: RwLock::default(),
            holder: RwLock::new(holder),
            stopping: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            hurry: Notify::new(),
            changed: Notify::new(),
        }
    }

    /// Fails unless the entry may take new work.
    pub fn check_ready(&self) -> error::Result<()> {
        if self.draining.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "the entry is shutting down"));
        }
        self.check_lease()
    }

    /// Fails unless a load balancer should send work here.
    pub fn check_attractive(&self) -> error::Result<()> {
        if self.stopping.load(Ordering::Relaxed) {
            return Err(Error::new(Kind::Draining, "the entry is about to shut down"));
        }
        self.check_ready()
    }

    /// Fails unless the lease is valid.
    pub fn check_lease(&self) -> error::Result<()> {
        match *self.lease_until.read() {
            Some(until) if self.clock.now() < until => Ok(()),
            _ => Err(Error::new(Kind::NoLease, "the entry holds no valid lease")),
        }
    }

    /// Fails unless `version` may receive new work.
    pub fn check_version(&self, version: &Version) -> error::Result<()> {
        self.check_lease()?;
        if self.routing.read().config.withdrawn.contains(version) {
            let message = format!("version {version} was withdrawn before the dispatch");
            return Err(Error::new(Kind::StaleRevision, message));
        }
        Ok(())
    }

    /// Time until the lease ends.
    pub fn lease_left(&self) -> Duration {
        let until = *self.lease_until.read();
        until.map_or(Duration::ZERO, |until| until.saturating_sub(self.clock.now()))
    }

    /// Time on the clock of the lease.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Extends the lease; an older answer that arrives late can't shorten it.
    pub fn extend_lease(&self, until: Duration) {
        let mut lease = self.lease_until.write();
        *lease = Some(lease.map_or(until, |known| known.max(until)));
    }

    /// This entry in its present life.
    pub fn holder(&self) -> Holder {
        self.holder.read().clone()
    }

    /// Starts a new life, after the lease of the former one lapsed.
    pub fn renew_holder(&self, incarnation: u64) {
        let mut holder = self.holder.write();
        holder.incarnation = incarnation.max(holder.incarnation + 1);
    }

    /// Turns readiness off; work is still taken.
    pub fn announce_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Stops taking new work.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Completes when a request handler needs newer configuration.
    pub async fn hurried(&self) {
        self.hurry.notified().await;
    }

    /// Asks for newer configuration than `revision` and waits for it, at most `longest`.
    pub async fn newer_than(&self, revision: Revision, longest: Duration) {
        let newer = async {
            loop {
                let changed = self.changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if self.routing.read().config.revision > revision {
                    return;
                }
                self.hurry.notify_one();
                changed.await;
            }
        };
        let _ = tokio::time::timeout(longest, newer).await;
    }

    /// The routing in force.
    pub fn routing(&self) -> Arc<Routing> {
        Arc::clone(&self.routing.read())
    }

    /// Takes over `routing` unless its revision is older than the one in force.
    pub fn set_routing(&self, routing: Routing) -> bool {
        let mut current = self.routing.write();
        let newer = routing.config.revision >= current.config.revision;
        if newer {
            *current = Arc::new(routing);
            self.changed.notify_waiters();
        }
        newer
    }
}
