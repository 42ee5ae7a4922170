//! Metrics of a control replica.

use hickoryreel_base::metrics::duration_histogram;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

#[derive(Debug)]
pub struct Metrics {
    /// 1 while this replica is the leader, otherwise 0.
    pub leading: Gauge,
    /// 1 while a leader is known, otherwise 0.
    pub leader_known: Gauge,
    pub term: Gauge,
    /// Index of the last applied log entry.
    pub applied: Gauge,
    /// Revision of the configuration.
    pub revision: Gauge,
    /// Leases granted by this replica that have not ended.
    pub leases: Gauge,
    /// Applied commands.
    pub commits: Counter,
    /// Time to append and sync a batch, in seconds.
    pub sync_duration: Histogram,
    /// Time from a proposal to its outcome, in seconds.
    pub commit_duration: Histogram,
    pub peer_calls: Counter,
    /// Calls to other replicas that failed or timed out.
    pub failed_peer_calls: Counter,
    /// Messages to other replicas that did not fit into a queue.
    pub dropped_messages: Counter,
    /// Granted leases, both new and renewed.
    pub renewals: Counter,
    /// Records that were settled after their entry lapsed.
    pub settled: Counter,
    pub ratings: Counter,
    registry: Registry,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            leading: Gauge::default(),
            leader_known: Gauge::default(),
            term: Gauge::default(),
            applied: Gauge::default(),
            revision: Gauge::default(),
            leases: Gauge::default(),
            commits: Counter::default(),
            sync_duration: duration_histogram(),
            commit_duration: duration_histogram(),
            peer_calls: Counter::default(),
            failed_peer_calls: Counter::default(),
            dropped_messages: Counter::default(),
            renewals: Counter::default(),
            settled: Counter::default(),
            ratings: Counter::default(),
            registry: Registry::with_prefix("hickoryreel_control"),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Renders the metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        hickoryreel_base::metrics::text(&self.registry)
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("leading", "1 while this replica leads", self.leading.clone());
        registry.register("leader_known", "1 while a leader is known", self.leader_known.clone());
        registry.register("term", "Term of the log", self.term.clone());
        registry.register("applied_index", "Last applied index", self.applied.clone());
        registry.register("revision", "Revision of the configuration", self.revision.clone());
        registry.register("leases", "Leases in force", self.leases.clone());
        registry.register("commits", "Commands applied", self.commits.clone());
        registry.register(
            "sync_seconds",
            "Time to append and sync a batch",
            self.sync_duration.clone(),
        );
        let help = "Time from a proposal to its outcome";
        registry.register("commit_seconds", help, self.commit_duration.clone());
        registry.register("peer_calls", "Calls to other replicas", self.peer_calls.clone());
        let help = "Calls to other replicas that failed or timed out";
        registry.register("failed_peer_calls", help, self.failed_peer_calls.clone());
        let help = "Messages to other replicas that did not fit into a queue";
        registry.register("dropped_messages", help, self.dropped_messages.clone());
        registry.register("lease_renewals", "Leases granted", self.renewals.clone());
        let help = "Records settled after their entry died";
        registry.register("settled_records", help, self.settled.clone());
        registry.register("ratings", "Ratings received", self.ratings.clone());
    }
}
