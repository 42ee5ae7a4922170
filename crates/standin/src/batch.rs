//! The running batch of a stand-in engine: a number of slots, given out by rank.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::rank::Rank;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// Slots and the runs that wait for one.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    waiting: BTreeMap<(Rank, u64), oneshot::Sender<Slot>>,
}

/// A slot, free again when dropped.
#[derive(Debug)]
pub struct Slot(Option<Arc<Batch>>);

impl Batch {
    /// An empty batch.
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self { slots, inner: Mutex::default() })
    }

    /// Slots, running and waiting runs.
    pub fn load(&self) -> (u32, u32, u32) {
        let inner = self.inner.lock();
        let waiting = u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX);
        (self.slots, inner.running, waiting)
    }

    /// Waits for a slot; the most urgent rank goes first.
    pub async fn enter(self: &Arc<Self>, rank: Rank) -> Option<Slot> {
        let granted = {
            let mut inner = self.inner.lock();
            if inner.running < self.slots {
                inner.running += 1;
                return Some(Slot(Some(Arc::clone(self))));
            }
            inner.arrivals += 1;
            let (grant, granted) = oneshot::channel();
            let arrival = inner.arrivals;
            inner.waiting.insert((rank, arrival), grant);
            granted
        };
        granted.await.ok()
    }

    fn leave(self: &Arc<Self>) {
        let mut inner = self.inner.lock();
        while let Some((_, next)) = inner.waiting.pop_first() {
            match next.send(Slot(Some(Arc::clone(self)))) {
                Ok(()) => return,
                // The run was cancelled; its slot must not be given back twice.
                Err(mut slot) => slot.0 = None,
            }
        }
        inner.running -= 1;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.leave();
        }
    }
}
