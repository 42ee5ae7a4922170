//! Places for long prompts.
//!
//! A long prompt delays the tokens of all requests at its endpoint while it is read. Requests with
//! long prompts and time to spare therefore wait in the entry until one of few places is free, in
//! order of arrival; all entries together read about one long prompt per endpoint.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

/// Reading time from which a prompt counts as long, in milliseconds: several events of a stream.
pub const LONG_MS: f64 = 150.0;

/// Places of one service at one entry.
#[derive(Debug, Default)]
pub struct Places {
    taken: Cell<u32>,
    waiting: RefCell<VecDeque<oneshot::Sender<()>>>,
}

/// A place, given back when it is dropped.
#[derive(Debug)]
pub struct Place(Rc<Places>);

impl Places {
    /// Takes one of `places`, after waiting for `limit` at most; then it is taken beyond them.
    pub async fn take(self: &Rc<Self>, places: u32, limit: Duration) -> Place {
        if self.taken.get() >= places {
            let (free, waiting) = oneshot::channel();
            self.waiting.borrow_mut().push_back(free);
            // The sender is kept until it is used, so an error can't happen before the limit.
            let _ = tokio::time::timeout(limit, waiting).await;
        }
        self.taken.set(self.taken.get() + 1);
        Place(Rc::clone(self))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let places = &self.0;
        places.taken.set(places.taken.get().saturating_sub(1));
        // Those whose limit has passed no longer wait.
        while let Some(next) = places.waiting.borrow_mut().pop_front() {
            if next.send(()).is_ok() {
                return;
            }
        }
    }
}
