//! Recorded counters: one JSON object a line.
//!
//! A counter only grows while its source runs and starts again at zero when the source restarts.

use std::io::BufRead;
use std::sync::Arc;

use eyre::WrapErr;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use prometheus_parse::Scrape;
use prometheus_parse::Value;
use serde::Deserialize;
use serde::Serialize;

/// Name of the counter of requests that count towards the objective.
pub const TOTAL: &str = "hickoryreel_slo_requests_total";

/// Name of the counter of requests answered within their rank's target.
pub const GOOD: &str = "hickoryreel_slo_good_requests_total";

/// Counters of one rank at one source at one time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// When it was taken, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The process that counted.
    pub source: Arc<str>,
    /// The deployment.
    pub deployment: Deployment,
    /// The rank.
    pub rank: Rank,
    /// Requests answered within target since the source started.
    pub good: u64,
    /// All requests that count since the source started.
    pub total: u64,
}

/// Reads samples, one JSON object a line; empty lines are passed over.
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

/// Takes the samples out of a process's metrics in the Prometheus text format.
pub fn scrape(at_ms: u64, source: &str, text: &str) -> eyre::Result<Vec<Sample>> {
    let lines = text.lines().map(|line| Ok(line.to_owned()));
    let scraped = Scrape::parse(lines).wrap_err("the metrics are not in the Prometheus format")?;
    let totals = scraped.samples.iter().filter(|sample| sample.metric == TOTAL);
    totals
        .map(|total| {
            let same = |other: &&prometheus_parse::Sample| {
                other.metric == GOOD && other.labels == total.labels
            };
            let good = scraped.samples.iter().find(same);
            let label = |name: &str| {
                let value = total.labels.get(name);
                value.ok_or_else(|| eyre::eyre!("counter {TOTAL} has no label {name}"))
            };
            Ok(Sample {
                at_ms,
                source: source.into(),
                deployment: Deployment::from(label("deployment")?),
                rank: label("rank")?.parse().map_err(|problem: String| eyre::eyre!(problem))?,
                good: good.map_or(0, |good| count(&good.value)),
                total: count(&total.value),
            })
        })
        .collect()
}

fn count(value: &Value) -> u64 {
    match value {
        Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => *value as u64,
        Value::Histogram(_) | Value::Summary(_) => 0,
    }
}
