//! One run at an engine, from its dispatch to the close of its record.
//!
//! Dropping an [`OpenRun`], because the caller disconnected or the response cannot be completed,
//! cancels the run at the engine and closes the record with the usage that the engine reports.

use std::sync::Arc;
use std::time::Duration;

use hickoryreel_state::record::End;
use hickoryreel_state::record::Usage;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::RunState;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;

use crate::connection_pool::ConnectionPool;
use crate::records::CloseAck;
use crate::records::Record;
use crate::run_stream;
use crate::scheduler::Slot;

/// Maximum time for a cancellation, including the engine's response.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of the response to a cancellation.
const MAX_RESPONSE_BYTES: usize = 16 << 10;

/// A run with its open record and its slot.
pub struct OpenRun {
    pub run: run_stream::Run,
    connection_pool: Arc<ConnectionPool>,
    price_per_1k: f64,
    record_and_slot: Option<(Record, Slot)>,
}

impl OpenRun {
    /// Takes over a run whose record is open.
    pub fn new(
        run: run_stream::Run,
        connection_pool: Arc<ConnectionPool>,
        price_per_1k: f64,
        record: Record,
        slot: Slot,
    ) -> Self {
        Self { run, connection_pool, price_per_1k, record_and_slot: Some((record, slot)) }
    }

    /// The slot that the run occupies.
    pub fn slot(&mut self) -> Option<&mut Slot> {
        self.record_and_slot.as_mut().map(|(_, slot)| slot)
    }

    /// Abandons the run and returns its record for a run at another endpoint. A run that may have
    /// started is cancelled. `by_endpoint` is true if the endpoint failed, false if a check of this
    /// entry refused the dispatch.
    pub fn abandon(mut self, dispatched: bool, by_endpoint: bool) -> Option<Record> {
        let (record, mut slot) = self.record_and_slot.take()?;
        if by_endpoint {
            slot.on_failure();
        }
        if !dispatched {
            return Some(record);
        }
        tokio::spawn(cancel(Arc::clone(&self.connection_pool), self.run.clone()));
        Some(record)
    }

    /// Closes the record of a complete response.
    pub fn close(mut self, usage: engine::Usage) -> Option<CloseAck> {
        let (record, _) = self.record_and_slot.take()?;
        Some(record.close(End::Answered(billed_usage(usage, self.price_per_1k)), None))
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let Some((record, slot)) = self.record_and_slot.take() else { return };
        drop(slot);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let cancel = cancel(Arc::clone(&self.connection_pool), self.run.clone());
        let price = self.price_per_1k;
        runtime.spawn(async move {
            // A run whose usage the engine cannot report is not billed.
            let usage = cancel.await.filter(|usage| usage.completion_tokens > 0);
            let end = usage.map_or(End::Unknown, |usage| End::Answered(billed_usage(usage, price)));
            drop(record.close(end, None));
        });
    }
}

/// The usage that is billed to the caller.
pub fn billed_usage(usage: engine::Usage, price_per_1k: f64) -> Usage {
    let tokens = f64::from(usage.prompt_tokens) + f64::from(usage.completion_tokens);
    Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        cost: tokens / 1000.0 * price_per_1k,
    }
}

/// Cancels a run and returns its usage if the engine reports it.
pub async fn cancel(
    connection_pool: Arc<ConnectionPool>,
    run: run_stream::Run,
) -> Option<engine::Usage> {
    let request = Request::delete(engine::run_path(&run.id))
        .header(hyper::header::HOST, run.address.to_string())
        .body(Full::default())
        .ok()?;
    // Cancelling starts no work, so it needs no lease. It uses a new connection, because the one
    // that carried the run may be unresponsive.
    let check = Box::new(|| Ok(()));
    let response = connection_pool.send(run.address, request, true, CANCEL_TIMEOUT, check).await;
    let (response, connection) = response.ok()?;
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect();
    let body = tokio::time::timeout(CANCEL_TIMEOUT, body).await.ok()?.ok()?.to_bytes();
    connection_pool.put_idle(connection);
    let state: engine::Run = serde_json::from_slice(&body).ok()?;
    state.usage.filter(|_| state.state != RunState::Unknown)
}
