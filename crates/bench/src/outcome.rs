//! What became of the requests, and the measures over them.

use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

use crate::setup::TARGETS;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Still open when the run ended.
    Open,
    /// Answered completely.
    Served,
    /// Refused; nothing ran.
    Refused,
    /// Broken off.
    Failed,
}

/// One request's record.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it arrived at the entry.
    pub arrived: Duration,
    /// Rank.
    pub rank: Rank,
    /// Workspace.
    pub workspace: Workspace,
    /// Entry.
    pub entry: usize,
    /// Time from the caller's send to the first token at the caller.
    pub first_token: Option<Duration>,
    /// How it ended.
    pub end: End,
    /// Times it was sent to an endpoint because of a failure, the first send included.
    pub attempts: u32,
    /// Engine of the last run.
    pub engine: Option<usize>,
    /// When the last run was sent.
    pub sent: Option<Duration>,
    /// When the answer was complete.
    pub done: Option<Duration>,
    /// Cost of all runs.
    pub cost: f64,
    /// Cost of the cheapest sufficient model.
    pub oracle_cost: f64,
    /// Whether the answer meets the quality bar.
    pub good: bool,
    /// Whether it is a call to a plain service.
    pub service: bool,
}

impl Record {
    /// Whether the first token arrived within the rank's target and the answer was not broken off.
    pub fn within_target(&self) -> bool {
        let target = TARGETS[self.rank.index()];
        self.end != End::Failed && self.first_token.is_some_and(|first| first <= target)
    }
}

/// Result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// Records in order of arrival.
    pub records: Vec<Record>,
    /// Times between tokens, in microseconds.
    pub gaps: Histogram<u64>,
    /// First ejection of each engine by any entry.
    pub ejected: Vec<Option<Duration>>,
    /// Requests sent to each engine after its first ejection, urgent ones only.
    pub urgent_after_ejection: Vec<u64>,
}

impl Outcome {
    /// Records of a rank that arrived in a window, in seconds.
    pub fn window(&self, rank: Rank, from_s: f64, to_s: f64) -> impl Iterator<Item = &Record> {
        self.records.iter().filter(move |record| {
            let at = record.arrived.as_secs_f64();
            record.rank == rank && !record.service && at >= from_s && at < to_s
        })
    }

    /// Time to the first token below which `quantile` of the served requests lie, in seconds.
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

    /// Requests of a rank answered within the target, per second.
    pub fn goodput(&self, rank: Rank, from_s: f64, to_s: f64) -> f64 {
        let good = self.window(rank, from_s, to_s).filter(|record| record.within_target());
        good.count() as f64 / (to_s - from_s)
    }

    /// Answers completed per second in a window, for the records that `of` selects.
    pub fn served_rate(&self, from_s: f64, to_s: f64, of: impl Fn(&Record) -> bool) -> f64 {
        let in_window = |record: &&Record| {
            record.done.is_some_and(|at| (from_s..to_s).contains(&at.as_secs_f64()))
        };
        let served = self.records.iter().filter(in_window).filter(|record| of(record));
        served.count() as f64 / (to_s - from_s)
    }

    /// Sends above one for each request that was sent at all, as a share of the requests.
    pub fn extra_attempts(&self) -> f64 {
        let sent = self.records.iter().filter(|record| record.attempts > 0);
        let (count, extra) = sent.fold((0_u64, 0_u64), |(count, extra), record| {
            (count + 1, extra + u64::from(record.attempts - 1))
        });
        extra as f64 / count.max(1) as f64
    }
}

/// Share of the records for which `holds` is true; 1 when there are none.
pub fn share<'a>(
    records: impl Iterator<Item = &'a Record>,
    holds: impl Fn(&Record) -> bool,
) -> f64 {
    let (count, good) = records
        .fold((0_u64, 0_u64), |(count, good), record| (count + 1, good + u64::from(holds(record))));
    if count == 0 { 1.0 } else { good as f64 / count as f64 }
}
