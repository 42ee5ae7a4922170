//! Latencies and outcomes per rank.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryreel_base::bundle::RankConfig;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use hickoryreel_report::sample::Sample;
use serde::Serialize;

/// Longest latency a histogram can hold, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Significant decimal digits of a histogram.
const DIGITS: u8 = 3;

/// What became of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// Rank of the request.
    pub rank: Rank,
    /// `ok`, the code of the error answer, or `broken` for a connection or an answer cut off.
    pub code: String,
    /// Time from the planned arrival to the first token or the whole answer.
    pub first: Option<Duration>,
    /// Times between tokens.
    pub gaps: Vec<Duration>,
}

/// Counts of one rank.
#[derive(Debug)]
struct Counts {
    first: Histogram<u64>,
    between: Histogram<u64>,
    codes: BTreeMap<String, u64>,
    good: u64,
    total: u64,
}

impl Counts {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            first: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)?,
            between: Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS)?,
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

/// One rank in the summary of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// The rank.
    pub rank: Rank,
    /// Requests sent.
    pub requests: u64,
    /// Share answered within the rank's target for the first token.
    pub within_target: f64,
    /// Time to the first token in milliseconds: 50th, 95th and 99th percentile.
    pub first_token_ms: [f64; 3],
    /// Time between tokens in milliseconds: 50th, 95th and 99th percentile.
    pub between_tokens_ms: [f64; 3],
    /// Requests by outcome.
    pub outcomes: BTreeMap<String, u64>,
}

impl Tally {
    /// An empty tally with the targets of each rank.
    pub fn new(deployment: Deployment, targets: [RankConfig; 3]) -> eyre::Result<Self> {
        let counts = [Counts::new()?, Counts::new()?, Counts::new()?];
        Ok(Self { deployment, targets, counts })
    }

    /// Counts one request.
    pub fn add(&mut self, outcome: Outcome) {
        let target = self.targets[outcome.rank.index()];
        let counts = &mut self.counts[outcome.rank.index()];
        counts.total += 1;
        if let Some(first) = outcome.first {
            counts.first.saturating_record(micros(first));
            let in_time = first <= Duration::from_millis(u64::from(target.first_token_ms));
            counts.good += u64::from(in_time && outcome.code == "ok");
        }
        for gap in outcome.gaps {
            counts.between.saturating_record(micros(gap));
        }
        *counts.codes.entry(outcome.code).or_default() += 1;
    }

    /// Counters for the burn report.
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

    /// One line for each rank.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        let ranks = Rank::ALL.into_iter().zip(&self.counts);
        ranks
            .map(|(rank, counts)| Line {
                rank,
                requests: counts.total,
                within_target: counts.good as f64 / counts.total.max(1) as f64,
                first_token_ms: percentiles(&counts.first),
                between_tokens_ms: percentiles(&counts.between),
                outcomes: counts.codes.clone(),
            })
            .collect()
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|at| histogram.value_at_quantile(at) as f64 / 1000.0)
}

/// Renders the lines as a table.
#[must_use]
pub fn table(lines: &[Line]) -> String {
    let mut text = String::from(
        "rank    requests  in target  first token p50/p95/p99 ms  between p50/p95/p99 ms  outcomes\n",
    );
    for line in lines {
        let numbers = |values: [f64; 3]| values.map(|value| format!("{value:.1}")).join("/");
        let outcomes: Vec<String> =
            line.outcomes.iter().map(|(code, count)| format!("{code} {count}")).collect();
        // Writing to a string can't fail.
        let _ = writeln!(
            text,
            "{:<7} {:>8}  {:>8.2}%  {:>26}  {:>22}  {}",
            line.rank.to_string(),
            line.requests,
            line.within_target * 100.0,
            numbers(line.first_token_ms),
            numbers(line.between_tokens_ms),
            outcomes.join(", ")
        );
    }
    text
}
