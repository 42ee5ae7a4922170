//! A dispatch that is polled while its record is being committed.

use std::pin::Pin;
use std::sync::Arc;

use crate::connection_pool::ConnectionPool;
use crate::dispatch::DispatchResult;
use crate::open_run;
use crate::run_stream;
use crate::scheduler::Slot;

/// A dispatch that runs concurrently with the commit of its record.
pub enum PendingDispatch {
    /// The first events have not arrived yet.
    Pending(Pin<Box<dyn Future<Output = (DispatchResult, bool)> + Send>>),
    /// The result of the dispatch. The flag is true if the run existed before.
    Done(DispatchResult, bool),
}

impl PendingDispatch {
    /// Wraps a dispatch. It makes progress only while this value is awaited.
    pub fn new(dispatch: impl Future<Output = (DispatchResult, bool)> + Send + 'static) -> Self {
        Self::Pending(Box::pin(dispatch))
    }

    /// Waits for `other` and polls the dispatch meanwhile.
    pub async fn poll_during<T>(&mut self, other: impl Future<Output = T>) -> T {
        tokio::pin!(other);
        let Self::Pending(pending) = self else { return other.await };
        let (dispatch_result, joined) = tokio::select! {
            biased;
            result = &mut other => return result,
            dispatch_result = pending => dispatch_result,
        };
        *self = Self::Done(dispatch_result, joined);
        other.await
    }

    /// Waits for the first events. The flag is true if the run existed before.
    pub async fn finish(self) -> (DispatchResult, bool) {
        match self {
            Self::Pending(pending) => pending.await,
            Self::Done(dispatch_result, joined) => (dispatch_result, joined),
        }
    }

    /// Cancels the run, unless it existed before and thus belongs to another dispatch.
    pub async fn discard(
        self,
        connection_pool: Arc<ConnectionPool>,
        run: run_stream::Run,
        slot: Slot,
    ) {
        let (dispatch_result, joined) = self.finish().await;
        if !joined && !matches!(dispatch_result, DispatchResult::NotRun(_)) {
            drop(dispatch_result);
            open_run::cancel(connection_pool, run).await;
        }
        drop(slot);
    }
}
