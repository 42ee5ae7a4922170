//! Limit on the number of long prompts in prefill.
//!
//! The prefill of a long prompt delays the tokens of all requests at its endpoint. Requests with
//! long prompts that are not urgent therefore wait in the entry for one of a few permits, in order
//! of arrival. All entries together allow about one long prompt per endpoint. Where there are more
//! entries than endpoints there is no limit: prompts would wait at one entry while others have
//! permits to spare, and the choice of endpoints by the shared loads spreads them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

/// Prefill time from which a prompt counts as long: that of several events of a stream.
pub const LONG_PREFILL_MS: f64 = 150.0;

/// Number of permits of each entry, or `None` if there are fewer endpoints than entries.
pub fn permits(endpoints: usize, entries: u32) -> Option<u32> {
    let endpoints = u32::try_from(endpoints).unwrap_or(u32::MAX);
    let entries = entries.max(1);
    (endpoints >= entries).then(|| endpoints.div_ceil(entries))
}

/// Limiter of one service at one entry.
#[derive(Debug, Default)]
pub struct PrefillLimiter {
    in_use: Cell<u32>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// A permit, released when it is dropped.
#[derive(Debug)]
pub struct PrefillPermit(Rc<PrefillLimiter>);

impl PrefillLimiter {
    /// Acquires one of `permits`. After `timeout` it returns a permit even if none is free.
    pub async fn acquire(self: &Rc<Self>, permits: u32, timeout: Duration) -> PrefillPermit {
        if self.in_use.get() >= permits {
            let (free, waiting) = oneshot::channel();
            self.waiting.borrow_mut().push_back(free);
            // The sender is kept until it is used, so receiving can't fail before the timeout.
            let _ = tokio::time::timeout(timeout, waiting).await;
        }
        self.in_use.set(self.in_use.get() + 1);
        PrefillPermit(Rc::clone(self))
    }
}

impl Drop for PrefillPermit {
    fn drop(&mut self) {
        let limiter = &self.0;
        limiter.in_use.set(limiter.in_use.get().saturating_sub(1));
        // Sending fails for requests that have stopped waiting.
        while let Some(next) = limiter.waiting.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}
