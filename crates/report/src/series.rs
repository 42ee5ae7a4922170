//! Counters of many sources as one series of increments.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;

use crate::sample::Sample;

/// Requests counted up to a point in time since the point before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Increment {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Requests that missed their target or failed.
    pub bad: u64,
    /// All requests.
    pub total: u64,
}

/// What is counted apart from each other.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The deployment.
    pub deployment: Deployment,
    /// The rank.
    pub rank: Rank,
}

/// Increments for each deployment and rank, in order of time.
///
/// The first sample of a source counts in full: a source starts at zero. A counter that went down
/// belongs to a restarted source and counts in full again.
#[must_use]
pub fn increments(samples: &[Sample]) -> BTreeMap<Key, Vec<Increment>> {
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.at_ms);
    let mut last: BTreeMap<(Key, Arc<str>), (u64, u64)> = BTreeMap::new();
    let mut series: BTreeMap<Key, Vec<Increment>> = BTreeMap::new();
    for sample in sorted {
        let key = Key { deployment: sample.deployment.clone(), rank: sample.rank };
        let source = (key.clone(), Arc::clone(&sample.source));
        let bad = sample.total - sample.good;
        let (known_bad, known_total) = last.insert(source, (bad, sample.total)).unwrap_or_default();
        let restarted = sample.total < known_total || bad < known_bad;
        let increment = if restarted {
            Increment { at_ms: sample.at_ms, bad, total: sample.total }
        } else {
            Increment {
                at_ms: sample.at_ms,
                bad: bad - known_bad,
                total: sample.total - known_total,
            }
        };
        series.entry(key).or_default().push(increment);
    }
    series
}
