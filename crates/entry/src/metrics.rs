//! Metrics of an entry, in the OpenMetrics text format.

use std::fmt::Write;

use hickoryreel_base::rank::Rank;
use parking_lot::Mutex;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    pub rank: &'static str,
    /// `large` for workspaces with a weight above 1, otherwise `small`. Workspace names would have
    /// unbounded cardinality.
    pub class: &'static str,
    /// `ok`, `cancelled`, or the code of the error.
    pub outcome: &'static str,
}

/// Label of a metric per rank.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RankLabels {
    pub rank: &'static str,
}

/// Labels of the service-level objective counters, which the burn report reads.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ObjectiveLabels {
    /// Deployment of the active bundle.
    pub deployment: String,
    pub rank: &'static str,
}

#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    pub requests: Family<RequestLabels, Counter>,
    /// Requests that count towards the objective.
    pub objective_total: Family<ObjectiveLabels, Counter>,
    /// Requests with a complete response whose time to first token met the target of the rank.
    pub objective_good: Family<ObjectiveLabels, Counter>,
    /// Queued requests of each rank.
    pub queued: Family<RankLabels, Gauge>,
    /// Time to first token, in seconds.
    pub first_token: Family<RankLabels, Histogram>,
    /// Time between two consecutive chunks of a response, in seconds.
    pub between_tokens: Family<RankLabels, Histogram>,
    /// Responses that are being streamed.
    pub open_streams: Gauge,
    /// Records that are open or whose close is not acknowledged.
    pub unclosed_records: Gauge,
    /// Milliseconds until the lease ends; 0 without a lease.
    pub lease_left_ms: Gauge,
    /// Revision of the configuration in force.
    pub revision: Gauge,
    /// Requests dispatched again after a failure.
    pub retries: Counter,
    /// Streams resumed on a new connection.
    pub resumes: Counter,
    /// Progress timeouts of streams.
    pub silent_streams: Counter,
    /// Duplicate events that were dropped.
    pub duplicate_events: Counter,
    /// Endpoints that are ejected or being probed.
    pub ejected: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::default(),
            requests: Family::default(),
            objective_total: Family::default(),
            objective_good: Family::default(),
            queued: Family::default(),
            first_token: Family::new_with_constructor(|| seconds_histogram(0.001)),
            between_tokens: Family::new_with_constructor(|| seconds_histogram(0.000_5)),
            open_streams: Gauge::default(),
            unclosed_records: Gauge::default(),
            lease_left_ms: Gauge::default(),
            revision: Gauge::default(),
            retries: Counter::default(),
            resumes: Counter::default(),
            silent_streams: Counter::default(),
            duplicate_events: Counter::default(),
            ejected: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

/// Creates a histogram of 16 buckets whose bounds double, starting at `first` seconds.
fn seconds_histogram(first: f64) -> Histogram {
    Histogram::new(exponential_buckets(first, 2.0, 16))
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register(
            "hickoryreel_slo_requests",
            "Requests that count towards the objective",
            self.objective_total.clone(),
        );
        registry.register(
            "hickoryreel_slo_good_requests",
            "Requests answered within target",
            self.objective_good.clone(),
        );
        let registry = registry.sub_registry_with_prefix("hickoryreel_entry");
        registry.register("requests", "Finished requests", self.requests.clone());
        registry.register("queued", "Requests in the queue", self.queued.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        registry.register(
            "between_tokens_seconds",
            "Time between two pieces of an answer",
            self.between_tokens.clone(),
        );
        registry.register("open_streams", "Answers being streamed", self.open_streams.clone());
        registry.register("unclosed_records", "Records not closed", self.unclosed_records.clone());
        registry.register("lease_left_ms", "Time until the lease ends", self.lease_left_ms.clone());
        registry.register("revision", "Revision in force", self.revision.clone());
        registry.register("retries", "Requests dispatched again", self.retries.clone());
        registry.register("resumes", "Streams resumed", self.resumes.clone());
        registry.register(
            "silent_streams",
            "Missed progress deadlines",
            self.silent_streams.clone(),
        );
        registry.register("duplicate_events", "Duplicates dropped", self.duplicate_events.clone());
        registry.register("ejected", "Endpoints ejected or probed", self.ejected.clone());
    }

    /// Encodes all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if prometheus_client::encoding::text::encode(&mut text, &self.registry.lock()).is_err() {
            let _ = write!(text, "# EOF");
        }
        text
    }
}

/// Label value of a rank.
pub fn rank_label(rank: Rank) -> &'static str {
    match rank {
        Rank::Urgent => "urgent",
        Rank::Normal => "normal",
        Rank::Bulk => "bulk",
    }
}

/// Label set of a rank.
pub fn rank_labels(rank: Rank) -> RankLabels {
    RankLabels { rank: rank_label(rank) }
}
