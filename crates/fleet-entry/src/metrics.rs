//! Prometheus metrics of an entry.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Labels of a request's end.
pub type Labels = Vec<(&'static str, String)>;

/// Metrics of an entry.
pub struct Metrics {
    registry: Registry,
    /// Requests by status.
    pub requests: Family<Labels, Counter>,
    /// Sends to endpoints.
    pub sends: Counter,
    /// Sends of a request after its first one.
    pub second_sends: Counter,
    /// Second sends that the retry budget did not allow.
    pub budget_refusals: Counter,
    /// Streams that were resumed at another endpoint.
    pub resumed: Counter,
    /// Streams that were broken off before their end.
    pub broken_off: Counter,
    /// Pauses of streams that no other endpoint could resume.
    pub waits: Counter,
    /// New connections to endpoints.
    pub connections: Counter,
    /// Answers that did not prove that they belong to the request that was sent.
    pub distrusted: Counter,
    /// Ejections of endpoints after failures.
    pub paused: Counter,
    /// Requests that were refused because of a part of their prompt.
    pub blocked: Counter,
    /// Prompt parts that are blocked.
    pub blocked_parts: Gauge,
    /// Sends that were withdrawn because the endpoint became unavailable.
    pub withdrawn: Counter,
    /// Requests that were admitted to endpoints that warm up.
    pub cold_admissions: Counter,
    /// Requests for which such endpoints had no room.
    pub cold_refusals: Counter,
    /// Requests refused because no endpoint was expected to answer them in time.
    pub admission_refusals: Counter,
    /// Choices that were explained to operators.
    pub explanations: Counter,
    /// Endpoints that say that they are leaving.
    pub leaving: Gauge,
    /// Pauses in force that endpoints asked for.
    pub asked_pauses: Gauge,
    /// Times that a stream waited until its client left room.
    pub client_waits: Counter,
    /// Requests that waited for room in the KV caches of the endpoints.
    pub memory_waits: Counter,
    /// Bytes held for the bodies of requests, for answers without events, and for the clients of
    /// streams.
    pub body_bytes: Gauge,
    pub answer_bytes: Gauge,
    pub client_bytes: Gauge,
    /// Outstanding requests.
    pub open: Gauge,
    /// Number of the configuration in force.
    pub configuration: Gauge,
    /// Time to the head of a stream's answer, in seconds.
    pub first_part: Histogram,
    /// Time to the end of the answer, in seconds.
    pub whole: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hickoryreel_entry");
        let requests = Family::default();
        registry.register("requests", "Requests by kind and status", requests.clone());
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let sends = counter("sends", "Sends to endpoints");
        let second_sends = counter("second_sends", "Sends of a request after its first one");
        let budget_refusals =
            counter("budget_refusals", "Second sends that the budget did not allow");
        let resumed = counter("resumed", "Streams continued at another endpoint");
        let broken_off = counter("broken_off", "Streams broken off before their end");
        let waits = counter("waits", "Pauses of streams that no other endpoint could resume");
        let connections = counter("connections", "New connections to endpoints");
        let distrusted = counter(
            "distrusted_answers",
            "Answers that did not prove that they belong to the request that was sent",
        );
        let paused = counter("paused", "Endpoints that got a pause after failures");
        let blocked =
            counter("blocked", "Requests refused because a part of their prompt crashes endpoints");
        let withdrawn = counter(
            "withdrawn_sends",
            "Sends withdrawn before they were written as the endpoint or its zone became unavailable",
        );
        let cold_admissions =
            counter("cold_admissions", "Requests admitted to endpoints that warm up");
        let cold_refusals =
            counter("cold_refusals", "Requests that endpoints that warm up had no room for");
        let admission_refusals = counter(
            "admission_refusals",
            "Requests refused as no endpoint was expected to answer in time",
        );
        let explanations = counter("explanations", "Choices explained to operators");
        let client_waits =
            counter("client_waits", "Times that a stream waited until its client left room");
        let memory_waits = counter(
            "memory_waits",
            "Requests that waited until their prompt had room in the KV cache of an endpoint",
        );
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let open = gauge("open", "Requests under way");
        let body_bytes = gauge("body_bytes", "Bytes held for the bodies of requests");
        let answer_bytes = gauge("answer_bytes", "Bytes held for answers without events");
        let client_bytes = gauge("client_bytes", "Bytes of streams that wait for their clients");
        let blocked_parts = gauge("blocked_parts", "Prompt parts that are blocked");
        let leaving = gauge("leaving_endpoints", "Endpoints that say that they are leaving");
        let asked_pauses = gauge("asked_pauses", "Pauses in force that endpoints asked for");
        let configuration = gauge("configuration", "Number of the configuration in force");
        let mut histogram = |name: &str, help: &str| {
            // From 5 ms to 20 s.
            let histogram = Histogram::new(exponential_buckets(0.005, 2.0, 13));
            registry.register(name, help, histogram.clone());
            histogram
        };
        let first_part = histogram("first_part_seconds", "Time to the head of the answer");
        let whole = histogram("whole_seconds", "Time to the end of the answer");
        Self {
            registry,
            requests,
            sends,
            second_sends,
            budget_refusals,
            resumed,
            broken_off,
            waits,
            connections,
            distrusted,
            paused,
            blocked,
            blocked_parts,
            withdrawn,
            cold_admissions,
            cold_refusals,
            admission_refusals,
            explanations,
            leaving,
            asked_pauses,
            client_waits,
            memory_waits,
            body_bytes,
            answer_bytes,
            client_bytes,
            open,
            configuration,
            first_part,
            whole,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
