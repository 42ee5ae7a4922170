//! Collects latencies and outcomes per rank.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryreel_base::bundle::RankConfig;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use hickoryreel_report::sample::Sample;
use serde::Serialize;

/// Upper bound of the histograms. Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    pub rank: Rank,
    /// `ok`, the code of the error answer (`status` and the HTTP status if it has none), `timeout`,
    /// or `broken` if the connection failed or the answer ended early.
    pub code: String,
    /// Time from the planned arrival to the first data of the answer: the first token, if streamed.
    pub first_token: Option<Duration>,
    /// Times between the following data frames of the answer, which for streams are tokens.
    pub token_gaps: Vec<Duration>,
}

/// Histograms and counters of one rank.
#[derive(Debug)]
struct Counts {
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    codes: BTreeMap<String, u64>,
    good: u64,
    total: u64,
}

impl Counts {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first_token: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            between_tokens: Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            codes: BTreeMap::new(),
            good: 0,
            total: 0,
        })
    }
}

/// Latencies and outcomes of a run.
#[derive(Debug)]
pub struct Tally {
    deployment: Deployment,
    targets: [RankConfig; 3],
    counts: [Counts; 3],
}

/// Summary of one rank over a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Summary {
    pub rank: Rank,
    /// Number of finished requests, with any outcome.
    pub requests: u64,
    /// Share of requests with outcome `ok` within the rank's target for the first token.
    pub within_target: f64,
    /// Time to the first token in milliseconds: 50th, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// Time between tokens in milliseconds: 50th, 95th and 99th percentile.
    pub between_tokens_ms: [f64; 3],
    /// Number of requests by [`Outcome::code`].
    pub outcomes: BTreeMap<String, u64>,
}

impl Tally {
    /// Creates an empty tally. `targets` are in the order of [`Rank::index`].
    pub fn new(deployment: Deployment, targets: [RankConfig; 3]) -> eyre::Result<Self> {
        let counts = [Counts::new()?, Counts::new()?, Counts::new()?];
        Ok(Self { deployment, targets, counts })
    }

    /// Records the outcome of one request.
    pub fn add(&mut self, outcome: Outcome) {
        let target = self.targets[outcome.rank.index()];
        let counts = &mut self.counts[outcome.rank.index()];
        counts.total += 1;
        if let Some(first_token) = outcome.first_token {
            counts.first_token.saturating_record(micros(first_token));
            let within_target =
                first_token <= Duration::from_millis(u64::from(target.first_token_ms));
            counts.good += u64::from(within_target && outcome.code == "ok");
        }
        for gap in outcome.token_gaps {
            counts.between_tokens.saturating_record(micros(gap));
        }
        *counts.codes.entry(outcome.code).or_default() += 1;
    }

    /// Returns the counters for the burn report.
    #[must_use]
    pub fn samples(&self, at_ms: u64) -> Vec<Sample> {
        let ranks = Rank::ALL.into_iter().zip(&self.counts);
        ranks
            .map(|(rank, counts)| Sample {
                at_ms,
                source: "load".into(),
                deployment: self.deployment.clone(),
                rank,
                good: counts.good,
                total: counts.total,
            })
            .collect()
    }

    /// Returns a summary of each rank.
    #[must_use]
    pub fn summaries(&self) -> Vec<Summary> {
        let ranks = Rank::ALL.into_iter().zip(&self.counts);
        ranks
            .map(|(rank, counts)| Summary {
                rank,
                requests: counts.total,
                within_target: counts.good as f64 / counts.total.max(1) as f64,
                first_token_ms: percentiles(&counts.first_token),
                between_tokens_ms: percentiles(&counts.between_tokens),
                outcomes: counts.codes.clone(),
            })
            .collect()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0)
}

/// Renders the summaries as a table.
#[must_use]
pub fn table(summaries: &[Summary]) -> String {
    let mut text = String::from(
        "rank    requests  in target  first token p50/p95/p99 ms  between p50/p95/p99 ms  outcomes\n",
    );
    for summary in summaries {
        let format_percentiles =
            |values: [f64; 3]| values.map(|value| format!("{value:.1}")).join("/");
        let outcomes: Vec<String> =
            summary.outcomes.iter().map(|(code, count)| format!("{code} {count}")).collect();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{:<7} {:>8}  {:>8.2}%  {:>26}  {:>22}  {}",
            summary.rank.to_string(),
            summary.requests,
            summary.within_target * 100.0,
            format_percentiles(summary.first_token_ms),
            format_percentiles(summary.between_tokens_ms),
            outcomes.join(", ")
        );
    }
    text
}
