//! Metrics and log line of one request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::name::Request;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use slog::debug;
use slog::info;

use crate::caller::Caller;
use crate::metrics;
use crate::metrics::Metrics;
use crate::metrics::ObjectiveLabels;
use crate::metrics::RequestLabels;
use crate::request_error::RequestError;
use crate::run::App;

/// Counts and logs one request when it ends. A request that is dropped before counts as
/// `cancelled`.
pub struct RequestMetrics {
    app: Option<Arc<App>>,
    request: Option<Request>,
    workspace: Option<Workspace>,
    arrived: Instant,
    /// Time from arrival to the first token.
    time_to_first_token: Option<Duration>,
    rank: Rank,
    class: &'static str,
    is_streaming: bool,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self {
            app: None,
            request: None,
            workspace: None,
            arrived: Instant::now(),
            time_to_first_token: None,
            rank: Rank::Normal,
            class: "unknown",
            is_streaming: false,
        }
    }
}

impl RequestMetrics {
    /// Starts to measure a request that arrived now.
    pub fn new(app: Arc<App>) -> Self {
        let mut request_metrics = Self::default();
        request_metrics.app = Some(app);
        request_metrics
    }

    fn metrics(&self) -> Option<&Metrics> {
        self.app.as_deref().map(|app| &*app.metrics)
    }

    /// Sets the caller, once the request is authenticated.
    pub fn set_caller(&mut self, caller: &Caller) {
        self.rank = caller.rank;
        self.request = Some(caller.request.clone());
        self.workspace = Some(caller.workspace.clone());
        self.class = if caller.workspace_config.weight > 1.0 { "large" } else { "small" };
    }

    /// Records the time to first token.
    pub fn on_first_token(&mut self) {
        let time_to_first_token = self.arrived.elapsed();
        self.time_to_first_token = Some(time_to_first_token);
        if let Some(metrics) = self.metrics() {
            let seconds = time_to_first_token.as_secs_f64();
            metrics.first_token.get_or_create(&metrics::rank_labels(self.rank)).observe(seconds);
        }
    }

    /// Records the time between two consecutive chunks of a response.
    pub fn on_token_gap(&self, gap: Duration) {
        if let Some(metrics) = self.metrics() {
            let histogram = metrics.between_tokens.get_or_create(&metrics::rank_labels(self.rank));
            histogram.observe(gap.as_secs_f64());
        }
    }

    /// Counts an open stream until the end of the request.
    pub fn on_stream_start(&mut self) {
        if let Some(metrics) = self.metrics() {
            metrics.open_streams.inc();
            self.is_streaming = true;
        }
    }

    /// Records that the request ended with a complete response.
    pub fn on_success(&mut self) {
        self.finish("ok", None);
    }

    /// Records that the request ended with an error.
    pub fn on_error(&mut self, failure: &RequestError) {
        self.finish(failure.error.kind.answer().code, Some(failure));
    }

    fn finish(&mut self, outcome: &'static str, failure: Option<&RequestError>) {
        let Some(app) = self.app.take() else { return };
        if self.is_streaming {
            app.metrics.open_streams.dec();
        }
        let labels =
            RequestLabels { rank: metrics::rank_label(self.rank), class: self.class, outcome };
        app.metrics.requests.get_or_create(&labels).inc();
        let status = failure.map(|failure| failure.error.kind.answer().status);
        // Errors of the caller do not count towards the objective, but refusals by a full queue do.
        if !status.is_some_and(|status| (400..500).contains(&status) && status != 429) {
            self.count_objective(&app, outcome == "ok");
        }
        if failure.is_none() && !app.settings.log_level.is_at_least(slog::Level::Debug) {
            return;
        }
        let name_or_empty = |name: Option<&str>| name.unwrap_or_default().to_owned();
        let values = slog::o!(
            "request" => name_or_empty(self.request.as_deref()),
            "workspace" => name_or_empty(self.workspace.as_deref()),
            "rank" => metrics::rank_label(self.rank),
            "outcome" => outcome,
            "ms" => u64::try_from(self.arrived.elapsed().as_millis()).unwrap_or(u64::MAX),
            "revision" => app.blackboard.routing().config.revision,
        );
        match failure {
            Some(failure) => {
                info!(app.log, "request failed"; values, "error" => &failure.error.message)
            }
            None => debug!(app.log, "request ended"; values),
        }
    }

    /// Counts the request towards the service-level objective. There is none without an active
    /// bundle.
    fn count_objective(&self, app: &App, complete: bool) {
        let routing = app.blackboard.routing();
        let Some(bundle) = &routing.active else { return };
        let Some(deployment) = &bundle.deployment else { return };
        let labels = ObjectiveLabels {
            deployment: deployment.to_string(),
            rank: metrics::rank_label(self.rank),
        };
        let target = Duration::from_millis(bundle.rank(self.rank).first_token_ms.into());
        // The response of a plain service has no first token. The time to the complete response
        // counts.
        let time_to_first_token =
            self.time_to_first_token.unwrap_or_else(|| self.arrived.elapsed());
        app.metrics.objective_total.get_or_create(&labels).inc();
        if complete && time_to_first_token <= target {
            app.metrics.objective_good.get_or_create(&labels).inc();
        }
    }
}

impl Drop for RequestMetrics {
    fn drop(&mut self) {
        self.finish("cancelled", None);
    }
}
