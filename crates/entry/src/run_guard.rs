//! One run at an engine, from its dispatch to the close of its record.
//!
//! An [`OpenRun`] that is dropped, because the caller is gone or the answer can't be completed, is
//! cancelled at the engine, and its record is closed with what the engine says it used.

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

use crate::answer;
use crate::dial::Dial;
use crate::records::Acknowledged;
use crate::records::Record;
use crate::schedule::Grant;

/// Longest time for a cancel and its answer.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer to a cancel, in bytes.
const MAX_ANSWER: usize = 16 << 10;

/// A run with its record and its slot.
pub struct OpenRun {
    /// The run.
    pub run: answer::Run,
    dial: Arc<Dial>,
    price_per_1k: f64,
    held: Option<(Record, Grant)>,
}

impl OpenRun {
    /// A run whose record is open.
    pub fn new(
        run: answer::Run,
        dial: Arc<Dial>,
        price_per_1k: f64,
        record: Record,
        grant: Grant,
    ) -> Self {
        Self { run, dial, price_per_1k, held: Some((record, grant)) }
    }

    /// The slot.
    pub fn grant(&mut self) -> Option<&mut Grant> {
        self.held.as_mut().map(|(_, grant)| grant)
    }

    /// Gives up the run and keeps its record for a run elsewhere. A run that may have started is
    /// cancelled. `by_endpoint` tells whether the endpoint failed, and not the entry's own check.
    pub fn give_up(mut self, dispatched: bool, by_endpoint: bool) -> Option<Record> {
        let (record, mut grant) = self.held.take()?;
        if by_endpoint {
            grant.on_failure();
        }
        if !dispatched {
            return Some(record);
        }
        tokio::spawn(cancel(Arc::clone(&self.dial), self.run.clone()));
        Some(record)
    }

    /// Closes the record of a whole answer.
    pub fn finish(mut self, usage: engine::Usage) -> Option<Acknowledged> {
        let (record, _) = self.held.take()?;
        Some(record.close(End::Answered(bill(usage, self.price_per_1k)), None))
    }
}

impl Drop for OpenRun {
    fn drop(&mut self) {
        let Some((record, grant)) = self.held.take() else { return };
        drop(grant);
        let Ok(runtime) = tokio::runtime::Handle::try_current() else { return };
        let cancel = cancel(Arc::clone(&self.dial), self.run.clone());
        let price = self.price_per_1k;
        runtime.spawn(async move {
            // What the engine can't tell is not billed.
            let used = cancel.await.filter(|usage| usage.completion_tokens > 0);
            let end = used.map_or(End::Unknown, |usage| End::Answered(bill(usage, price)));
            drop(record.close(end, None));
        });
    }
}

/// What a caller is billed for `usage`.
pub fn bill(usage: engine::Usage, price_per_1k: f64) -> Usage {
    let tokens = f64::from(usage.prompt_tokens) + f64::from(usage.completion_tokens);
    Usage {
        prompt_tokens: usage.prompt_tokens,
        completion_tokens: usage.completion_tokens,
        cost: tokens / 1000.0 * price_per_1k,
    }
}

/// Cancels a run and returns what it used, if the engine says so.
pub async fn cancel(dial: Arc<Dial>, run: answer::Run) -> Option<engine::Usage> {
    let request = Request::delete(engine::run_path(&run.id))
        .header(hyper::header::HOST, run.address.to_string())
        .body(Full::default())
        .ok()?;
    // A cancel starts no work, so it needs no lease. It goes over a fresh connection, because the
    // one that carried the run may be silent.
    let permit = Box::new(|| Ok(()));
    let sent = dial.send(run.address, request, true, CANCEL_TIMEOUT, permit).await;
    let (response, connection) = sent.ok()?;
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
    let body = tokio::time::timeout(CANCEL_TIMEOUT, body).await.ok()?.ok()?.to_bytes();
    dial.keep(connection);
    let state: engine::Run = serde_json::from_slice(&body).ok()?;
    state.usage.filter(|_| state.state != RunState::Unknown)
}
