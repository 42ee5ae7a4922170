//! Accounting of a send in flight: load of its endpoint and request counts of its version.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;

use crate::availability::Admission;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::exchange::Connection;
use crate::prefill::PrefillPermit;
use crate::tally::Key;
use crate::tally::Verdict;
use crate::tally::Watch;

/// Counts a send at its endpoint until it is dropped.
pub struct InFlight {
    entry: Rc<Entry>,
    pub endpoint: Rc<Endpoint>,
    key: Key,
    rank: u8,
    prefill_ms: f64,
    prompt_tokens: u32,
    permit: Option<PrefillPermit>,
    /// Present until the answer begins.
    admission: Option<Admission>,
    /// Start of the send.
    pub began: Duration,
    /// Times of the answer.
    pub watch: Rc<Watch>,
}

impl InFlight {
    /// Counts a send with a rank, and the expected prefill time and the tokens of its prompt.
    pub fn new(
        entry: Rc<Entry>,
        endpoint: Rc<Endpoint>,
        (service, route): (Name, Name),
        (rank, prefill_ms, prompt_tokens): (u8, f64, u64),
        permit: Option<PrefillPermit>,
    ) -> Self {
        let key = Key { service, version: endpoint.version(), route };
        let admission = Some(endpoint.record_send());
        endpoint.add_prefill(rank, prefill_ms);
        let prompt_tokens = u32::try_from(prompt_tokens).unwrap_or(u32::MAX);
        endpoint.add_prompt(prompt_tokens);
        let began = boot_time();
        let watch = entry.tallies.borrow_mut().record_send(&key, began);
        entry.metrics.sends.inc();
        Self {
            entry,
            endpoint,
            key,
            rank,
            prefill_ms,
            prompt_tokens,
            permit,
            admission,
            began,
            watch,
        }
    }

    /// Whether the request may still be written.
    pub fn is_permitted(&self) -> bool {
        let availability = self.endpoint.availability();
        self.admission.is_some_and(|admission| availability.permits(admission))
    }

    /// Records whether the endpoint accepted the request, according to the head of its answer.
    pub fn record_head(&mut self, accepted: bool) {
        if let Some(admission) = self.admission.take()
            && self.endpoint.record_end(admission, accepted)
        {
            self.entry.state_changed.notify_waiters();
        }
    }

    /// Records that the endpoint has finished the prefill: it has sent the head of its answer.
    pub fn prefill_done(&mut self) {
        self.permit = None;
        let prefill_ms = std::mem::take(&mut self.prefill_ms);
        self.endpoint.add_prefill(self.rank, -prefill_ms);
    }

    /// Returns the connection to the pool after a complete exchange.
    pub fn return_connection(&self, connection: Connection, keep_alive: Option<Duration>) {
        let max_idle = self.entry.max_idle_connections(&self.key.service);
        self.endpoint.pool.put(connection, keep_alive, max_idle);
    }

    /// Records the verdict of the send on the endpoint's version.
    pub fn record_verdict(&self, verdict: Verdict) {
        let mut tallies = self.entry.tallies.borrow_mut();
        tallies.record_verdict(&self.key, self.endpoint.key(), &self.watch, verdict);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.prefill_done();
        self.record_head(false);
        self.endpoint.remove_prompt(self.prompt_tokens);
        self.endpoint.outstanding.set(self.endpoint.outstanding.get().saturating_sub(1));
        let mut tallies = self.entry.tallies.borrow_mut();
        tallies.record_end(&self.key, &self.watch, boot_time());
    }
}
