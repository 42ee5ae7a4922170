//! What one request contributes to the metrics.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::rank::Rank;

use crate::authority::Caller;
use crate::fault::Fault;
use crate::metrics;
use crate::metrics::Ended;
use crate::metrics::Metrics;

/// Counts one request when it ends; a request that is dropped counts as `cancelled`.
pub struct Tally {
    metrics: Option<Arc<Metrics>>,
    arrived: Instant,
    rank: Rank,
    class: &'static str,
    streaming: bool,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            metrics: None,
            arrived: Instant::now(),
            rank: Rank::Normal,
            class: "unknown",
            streaming: false,
        }
    }
}

impl Tally {
    /// A request that arrived now.
    pub fn new(metrics: Arc<Metrics>) -> Self {
        Self { metrics: Some(metrics), ..Self::default() }
    }

    /// Notes who asks.
    pub fn caller(&mut self, caller: &Caller) {
        self.rank = caller.rank;
        self.class = if caller.terms.weight > 1.0 { "large" } else { "small" };
    }

    /// Records the first token.
    pub fn first_token(&self) {
        if let Some(metrics) = &self.metrics {
            let seconds = self.arrived.elapsed().as_secs_f64();
            metrics.first_token.get_or_create(&metrics::ranked(self.rank)).observe(seconds);
        }
    }

    /// Records the time between two pieces.
    pub fn between_tokens(&self, gap: Duration) {
        if let Some(metrics) = &self.metrics {
            let histogram = metrics.between_tokens.get_or_create(&metrics::ranked(self.rank));
            histogram.observe(gap.as_secs_f64());
        }
    }

    /// Counts an open stream until the end of the request.
    pub fn streaming(&mut self) {
        if let Some(metrics) = &self.metrics {
            metrics.open_streams.inc();
            self.streaming = true;
        }
    }

    /// The request ended with a whole answer.
    pub fn ok(&mut self) {
        self.end("ok");
    }

    /// The request ended with an error.
    pub fn fault(&mut self, fault: &Fault) {
        self.end(fault.error.kind.answer().code);
    }

    fn end(&mut self, outcome: &'static str) {
        let Some(metrics) = self.metrics.take() else { return };
        if self.streaming {
            metrics.open_streams.dec();
        }
        let ended = Ended { rank: metrics::rank(self.rank), class: self.class, outcome };
        metrics.requests.get_or_create(&ended).inc();
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.end("cancelled");
    }
}
