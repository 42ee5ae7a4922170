//! Metrics of a control replica.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Metrics of a control replica.
pub struct Metrics {
    registry: Registry,
    pub announcements: Counter,
    /// Announcements that were ignored as stale.
    pub stale_announcements: Counter,
    /// Operator commands that were acknowledged.
    pub orders: Counter,
    /// Operator commands and reads that no quorum confirmed in time.
    pub unconfirmed: Counter,
    /// Long polls received from entries.
    pub polls: Counter,
    /// Prompt parts that were blocked because they crash endpoints.
    pub blocked_parts: Counter,
    /// Requests that were admitted to endpoints that warm up.
    pub cold_admissions: Counter,
    /// Requests that were not.
    pub cold_refusals: Counter,
    /// Availability zones that are evacuated.
    pub evacuated_zones: Gauge,
    /// Time from the proposal of an operator command until it was applied.
    pub order_seconds: Histogram,
    /// Endpoints in the directory that are present.
    pub endpoints: Gauge,
    /// Number of the configuration in force.
    pub configuration: Gauge,
    /// 1 while this replica leads.
    pub leading: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("hickoryreel_control");
        let mut counter = |name: &str, help: &str| {
            let counter = Counter::default();
            registry.register(name, help, counter.clone());
            counter
        };
        let announcements = counter("announcements", "Announcements received from endpoints");
        let stale_announcements =
            counter("stale_announcements", "Announcements older than what is known");
        let orders = counter("orders", "Orders that were acknowledged");
        let unconfirmed = counter("unconfirmed", "Orders and reads without a quorum in time");
        let polls = counter("polls", "Long polls of entries");
        let blocked_parts =
            counter("blocked_parts", "Prompt parts blocked because they crash endpoints");
        let cold_admissions =
            counter("cold_admissions", "Requests admitted to endpoints that warm up");
        let cold_refusals =
            counter("cold_refusals", "Requests that endpoints that warm up had no room for");
        let mut gauge = |name: &str, help: &str| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let endpoints = gauge("endpoints", "Endpoints that announce themselves");
        let configuration = gauge("configuration", "Number of the configuration in force");
        let evacuated_zones = gauge("evacuated_zones", "Availability zones that are evacuated");
        let leading = gauge("leading", "1 while this replica leads");
        // Buckets from 1 ms to 2 s.
        let order_seconds = Histogram::new(exponential_buckets(0.001, 2.0, 12));
        registry.register(
            "order_seconds",
            "Time until an order was applied",
            order_seconds.clone(),
        );
        Self {
            registry,
            announcements,
            stale_announcements,
            orders,
            unconfirmed,
            polls,
            blocked_parts,
            cold_admissions,
            cold_refusals,
            evacuated_zones,
            order_seconds,
            endpoints,
            configuration,
            leading,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
