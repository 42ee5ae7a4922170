//! A dispatch that makes progress while its record is being committed.

use std::pin::Pin;
use std::sync::Arc;

use crate::answer;
use crate::dial::Dial;
use crate::run_guard;
use crate::schedule::Grant;
use crate::start::Started;

/// A dispatch that runs beside the commit of its record.
pub enum Starting {
    /// The first events are still awaited.
    Pending(Pin<Box<dyn Future<Output = (Started, bool)> + Send>>),
    /// The dispatch has started or failed; whether the run existed before.
    Done(Started, bool),
}

impl Starting {
    /// A dispatch that makes progress only while it is awaited.
    pub fn new(dispatch: impl Future<Output = (Started, bool)> + Send + 'static) -> Self {
        Self::Pending(Box::pin(dispatch))
    }

    /// Waits for `other` and moves the dispatch on meanwhile.
    pub async fn run_during<T>(&mut self, other: impl Future<Output = T>) -> T {
        tokio::pin!(other);
        let Self::Pending(pending) = self else { return other.await };
        let (started, joined) = tokio::select! {
            biased;
            result = &mut other => return result,
            started = pending => started,
        };
        *self = Self::Done(started, joined);
        other.await
    }

    /// Waits for the first events. The second value tells whether the run existed before.
    pub async fn finish(self) -> (Started, bool) {
        match self {
            Self::Pending(pending) => pending.await,
            Self::Done(started, joined) => (started, joined),
        }
    }

    /// Cancels the run, unless it existed before: then it belongs to another dispatch.
    pub async fn discard(self, dial: Arc<Dial>, run: answer::Run, grant: Grant) {
        let (started, joined) = self.finish().await;
        if !joined && !matches!(started, Started::NotRun(_)) {
            drop(started);
            run_guard::cancel(dial, run).await;
        }
        drop(grant);
    }
}
