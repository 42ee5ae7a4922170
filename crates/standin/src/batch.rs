//! Limits the running batch of a stand-in engine: a fixed number of slots, granted by rank.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::rank::Rank;
use parking_lot::Mutex;
use tokio::sync::oneshot;

/// A priority semaphore over the slots of the batch.
#[derive(Debug)]
pub struct Batch {
    slots: u32,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    running: u32,
    arrivals: u64,
    /// Runs that wait for a slot, ordered by rank and then by arrival.
    waiting: BTreeMap<(Rank, u64), oneshot::Sender<Slot>>,
}

/// An acquired slot, released on drop unless it is `None`.
#[derive(Debug)]
pub struct Slot(Option<Arc<Batch>>);

impl Batch {
    /// Creates a batch in which all `slots` are free.
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self { slots, inner: Mutex::default() })
    }

    /// Returns the numbers of slots, running runs and waiting runs.
    pub fn load(&self) -> (u32, u32, u32) {
        let inner = self.inner.lock();
        let waiting = u32::try_from(inner.waiting.len()).unwrap_or(u32::MAX);
        (self.slots, inner.running, waiting)
    }

    /// Waits for a slot. Slots go to the most urgent rank first, and in order of arrival within a
    /// rank.
    pub async fn acquire(self: &Arc<Self>, rank: Rank) -> Option<Slot> {
        let receiver = {
            let mut inner = self.inner.lock();
            if inner.running < self.slots {
                inner.running += 1;
                return Some(Slot(Some(Arc::clone(self))));
            }
            inner.arrivals += 1;
            let (sender, receiver) = oneshot::channel();
            let arrival = inner.arrivals;
            inner.waiting.insert((rank, arrival), sender);
            receiver
        };
        receiver.await.ok()
    }

    fn release(self: &Arc<Self>) {
        let mut inner = self.inner.lock();
        while let Some((_, waiter)) = inner.waiting.pop_first() {
            match waiter.send(Slot(Some(Arc::clone(self)))) {
                Ok(()) => return,
                // The waiting run was cancelled. Dropping its slot here must not release it again.
                Err(mut slot) => slot.0 = None,
            }
        }
        inner.running -= 1;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(batch) = self.0.take() {
            batch.release();
        }
    }
}
