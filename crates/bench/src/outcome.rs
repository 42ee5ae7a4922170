//! Records of the requests of a run, and the measures computed from them.

use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

use crate::setup::FIRST_TOKEN_TARGETS;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Still in progress when the run ended.
    Open,
    /// Completely answered.
    Served,
    /// Refused by admission; nothing ran.
    Refused,
    /// Failed without a retry.
    Failed,
}

/// Record of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// Time of arrival at the entry.
    pub arrived: Duration,
    pub rank: Rank,
    pub workspace: Workspace,
    /// Index of the entry that received it.
    pub entry: usize,
    /// Time to first token as seen by the caller.
    pub first_token: Option<Duration>,
    pub end: End,
    /// Number of dispatches: the first one and the retries after failures.
    pub attempts: u32,
    /// Index of the engine of the last run.
    pub engine: Option<usize>,
    /// Time of the last dispatch.
    pub sent: Option<Duration>,
    /// Time at which the answer was complete.
    pub done: Option<Duration>,
    /// Cost of all runs.
    pub cost: f64,
    /// Cost of one run on the cheapest sufficient model.
    pub oracle_cost: f64,
    /// Whether the answer meets the quality bar.
    pub good: bool,
    /// Whether the request is a call to a plain service.
    pub service: bool,
}

impl Record {
    /// Whether the first token arrived within the target of the rank and the request did not fail.
    pub fn within_target(&self) -> bool {
        let target = FIRST_TOKEN_TARGETS[self.rank.index()];
        self.end != End::Failed && self.first_token.is_some_and(|first| first <= target)
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Records of the requests, in order of arrival.
    pub records: Vec<Record>,
    /// Times between tokens, in microseconds.
    pub token_gaps: Histogram<u64>,
    /// Time of the first ejection of each engine by any entry.
    pub first_ejections: Vec<Option<Duration>>,
    /// Number of urgent requests dispatched to each engine after its first ejection.
    pub urgent_after_ejection: Vec<u64>,
}

impl Outcome {
    /// Returns the model requests of a rank that arrived in a window of time.
    pub fn window(&self, rank: Rank, from_s: f64, to_s: f64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| {
            let at = record.arrived.as_secs_f64();
            record.rank == rank && !record.service && at >= from_s && at < to_s
        })
    }

    /// Quantile of the time to first token, in seconds. It is infinite if no request got a token.
    pub fn first_token(&self, rank: Rank, from_s: f64, to_s: f64, quantile: f64) -> f64 {
        let window = self.window(rank, from_s, to_s);
        let mut times: Vec<Duration> = window.filter_map(|record| record.first_token).collect();
        times.sort_unstable();
        let index = ((times.len() as f64 * quantile).ceil() as usize).max(1) - 1;
        times.get(index).map_or(f64::INFINITY, Duration::as_secs_f64)
    }

    /// Share of the requests of a rank that were answered within the target.
    pub fn within_target(&self, rank: Rank, from_s: f64, to_s: f64) -> f64 {
        share(self.window(rank, from_s, to_s), Record::within_target)
    }

    /// Number of requests of a rank that were answered within the target, per second.
    pub fn goodput(&self, rank: Rank, from_s: f64, to_s: f64) -> f64 {
        let good = self.window(rank, from_s, to_s).filter(|record| record.within_target());
        good.count() as f64 / (to_s - from_s)
    }

    /// Number of answers completed per second in a window, over the records that `selects` accepts.
    pub fn served_rate(&self, from_s: f64, to_s: f64, selects: impl Fn(&Record) -> bool) -> f64 {
        let in_window = |record: &&Record| {
            record.done.is_some_and(|at| (from_s..to_s).contains(&at.as_secs_f64()))
        };
        let served = self.records.iter().filter(in_window).filter(|record| selects(record));
        served.count() as f64 / (to_s - from_s)
    }

    /// Retries as a share of the requests that were dispatched at least once.
    pub fn extra_attempts(&self) -> f64 {
        let sent = self.records.iter().filter(|record| record.attempts > 0);
        let (count, extra) = sent.fold((0_u64, 0_u64), |(count, extra), record| {
            (count + 1, extra + u64::from(record.attempts - 1))
        });
        extra as f64 / count.max(1) as f64
    }
}

/// Share of the records for which `predicate` is true; 1 if there are no records.
pub fn share<'a>(
    records: impl Iterator<Item = &'a Record>,
    predicate: impl Fn(&Record) -> bool,
) -> f64 {
    let (count, good) = records.fold((0_u64, 0_u64), |(count, good), record| {
        (count + 1, good + u64::from(predicate(record)))
    });
    if count == 0 { 1.0 } else { good as f64 / count as f64 }
}
