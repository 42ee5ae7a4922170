//! Samples of the service-level counters, in files with one JSON object per line.
//!
//! A counter never decreases while its source runs and starts at zero when the source restarts.

use std::io::BufRead;
use std::sync::Arc;

use eyre::WrapErr;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use serde::Deserialize;
use serde::Serialize;

/// Counter of requests that count towards the objective.
pub const TOTAL_METRIC: &str = "hickoryreel_slo_requests_total";

/// Counter of requests answered within the target of their rank.
pub const GOOD_METRIC: &str = "hickoryreel_slo_good_requests_total";

/// Counters of one deployment and rank at one source at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The process that counted, for example the address of an entry.
    pub source: Arc<str>,
    pub deployment: Deployment,
    pub rank: Rank,
    /// Requests answered within target since the source started.
    pub good: u64,
    /// Requests that count towards the objective since the source started.
    pub total: u64,
}

/// Reads samples, one JSON object per line. Empty lines are skipped.
pub fn read(reader: impl BufRead) -> eyre::Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line.wrap_err("cannot read the samples")?;
        if line.trim().is_empty() {
            continue;
        }
        let sample: Sample = serde_json::from_str(&line)
            .wrap_err_with(|| format!("line {} is not a sample", number + 1))?;
        eyre::ensure!(
            sample.good <= sample.total,
            "line {}: good is {}, more than total {}",
            number + 1,
            sample.good,
            sample.total
        );
        samples.push(sample);
    }
    Ok(samples)
}

/// Extracts the samples from the metrics of `source` in the Prometheus text format. A missing
/// counter of good requests counts as 0.
pub fn scrape(at_ms: u64, source: &str, text: &str) -> eyre::Result<Vec<Sample>> {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let scraped =
        Scrape::parse(lines).wrap_err("the metrics are not in the Prometheus text format")?;
    let totals = scraped.samples.iter().filter(|sample| sample.metric == TOTAL_METRIC);
    totals
        .map(|total| {
            let matches_total = |other: &&prometheus_parse::Sample| {
                other.metric == GOOD_METRIC && other.labels == total.labels
            };
            let good = scraped.samples.iter().find(matches_total);
            let label = |name: &str| {
                let value = total.labels.get(name);
                value.ok_or_else(|| eyre::eyre!("counter {TOTAL_METRIC} has no label {name}"))
            };
            Ok(Sample {
                at_ms,
                source: source.into(),
                deployment: Deployment::from(label("deployment")?),
                rank: label("rank")?.parse().map_err(|problem: String| eyre::eyre!(problem))?,
                good: good.map_or(0, |good| counter_value(&good.value)),
                total: counter_value(&total.value),
            })
        })
        .collect()
}

fn counter_value(value: &Value) -> u64 {
    match value {
        Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => *value as u64,
        Value::Histogram(_) | Value::Summary(_) => 0,
    }
}
