//! Metrics in the OpenMetrics text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Content type of the output of [`text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes the metrics of `registry`.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // Writing to a string does not fail.
    let _ = encode(&mut text, registry);
    text
}

/// A histogram of durations in seconds, with buckets that double from 0.1 ms to about 13 s.
pub fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(0.0001, 2.0, 18))
}
