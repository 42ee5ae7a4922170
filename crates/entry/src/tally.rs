//! What one request contributes to the metrics.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::name::Request;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use slog::debug;
use slog::info;

use crate::authority::Caller;
use crate::fault::Fault;
use crate::metrics;
use crate::metrics::Ended;
use crate::metrics::Metrics;
use crate::metrics::Objective;
use crate::run::App;

/// Counts and logs one request when it ends; a request that is dropped counts as `cancelled`.
pub struct Tally {
    app: Option<Arc<App>>,
    request: Option<Request>,
    workspace: Option<Workspace>,
    arrived: Instant,
    /// Time from the arrival to the first token.
    first: Option<Duration>,
    rank: Rank,
    class: &'static str,
    streaming: bool,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            app: None,
            request: None,
            workspace: None,
            arrived: Instant::now(),
            first: None,
            rank: Rank::Normal,
            class: "unknown",
            streaming: false,
        }
    }
}

impl Tally {
    /// A request that arrived now.
    pub fn new(app: Arc<App>) -> Self {
        let mut tally = Self::default();
        tally.app = Some(app);
        tally
    }

    fn metrics(&self) -> Option<&Metrics> {
        self.app.as_deref().map(|app| &*app.metrics)
    }

    /// Notes who asks.
    pub fn caller(&mut self, caller: &Caller) {
        self.rank = caller.rank;
        self.request = Some(caller.request.clone());
        self.workspace = Some(caller.workspace.clone());
        self.class = if caller.terms.weight > 1.0 { "large" } else { "small" };
    }

    /// Records the first token.
    pub fn first_token(&mut self) {
        let first = self.arrived.elapsed();
        self.first = Some(first);
        if let Some(metrics) = self.metrics() {
            let seconds = first.as_secs_f64();
            metrics.first_token.get_or_create(&metrics::ranked(self.rank)).observe(seconds);
        }
    }

    /// Records the time between two pieces.
    pub fn between_tokens(&self, gap: Duration) {
        if let Some(metrics) = self.metrics() {
            let histogram = metrics.between_tokens.get_or_create(&metrics::ranked(self.rank));
            histogram.observe(gap.as_secs_f64());
        }
    }

    /// Counts an open stream until the end of the request.
    pub fn streaming(&mut self) {
        if let Some(metrics) = self.metrics() {
            metrics.open_streams.inc();
            self.streaming = true;
        }
    }

    /// The request ended with a whole answer.
    pub fn ok(&mut self) {
        self.end("ok", None);
    }

    /// The request ended with an error.
    pub fn fault(&mut self, fault: &Fault) {
        self.end(fault.error.kind.answer().code, Some(fault));
    }

    fn end(&mut self, outcome: &'static str, fault: Option<&Fault>) {
        let Some(app) = self.app.take() else { return };
        if self.streaming {
            app.metrics.open_streams.dec();
        }
        let ended = Ended { rank: metrics::rank(self.rank), class: self.class, outcome };
        app.metrics.requests.get_or_create(&ended).inc();
        let status = fault.map(|fault| fault.error.kind.answer().status);
        // Mistakes of the caller say nothing about the service; a full queue does.
        if !status.is_some_and(|status| (400..500).contains(&status) && status != 429) {
            self.count_objective(&app, outcome == "ok");
        }
        if fault.is_none() && !app.settings.log_level.is_at_least(slog::Level::Debug) {
            return;
        }
        let name = |name: Option<&str>| name.unwrap_or_default().to_owned();
        let values = slog::o!(
            "request" => name(self.request.as_deref()),
            "workspace" => name(self.workspace.as_deref()),
            "rank" => metrics::rank(self.rank),
            "outcome" => outcome,
            "ms" => u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX),
            "revision" => app.blackboard.routing().config.revision,
        );
        match fault {
            Some(fault) => {
                info!(app.log, "request failed"; values, "error" => &fault.error.message)
            }
            None => debug!(app.log, "request ended"; values),
        }
    }

    /// Counts the request towards the objective. Without an active bundle there is none.
    fn count_objective(&self, app: &App, whole: bool) {
        let routing = app.blackboard.routing();
        let Some(bundle) = &routing.active else { return };
        let Some(deployment) = &bundle.deployment else { return };
        let labels =
            Objective { deployment: deployment.to_string(), rank: metrics::rank(self.rank) };
        let target = Duration::from_millis(bundle.rank(self.rank).first_token_ms.into());
        // The answer of a plain service has no first token; the whole answer counts.
        let first = self.first.unwrap_or_else(|| self.arrived.elapsed());
        app.metrics.objective_total.get_or_create(&labels).inc();
        if whole && first <= target {
            app.metrics.objective_good.get_or_create(&labels).inc();
        }
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.end("cancelled", None);
    }
}
