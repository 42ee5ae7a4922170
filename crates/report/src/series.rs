//! Converts the counters of several sources to one series of increments per deployment and rank.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;

use crate::sample::Sample;

/// Requests that one source counted since its previous sample, or since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Increment {
    /// Time of the sample, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Requests that missed their target or failed.
    pub bad: u64,
    pub total: u64,
}

/// Key of a series.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub deployment: Deployment,
    pub rank: Rank,
}

/// Returns the increments of each deployment and rank, in order of time.
///
/// The first sample of a source counts in full, because a source starts at zero. A counter that
/// decreased shows that the source restarted, so its sample counts in full as well.
#[must_use]
pub fn increments(samples: &[Sample]) -> BTreeMap<Key, Vec<Increment>> {
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|sample| sample.at_ms);
    let mut previous: BTreeMap<(Key, Arc<str>), (u64, u64)> = BTreeMap::new();
    let mut series: BTreeMap<Key, Vec<Increment>> = BTreeMap::new();
    for sample in sorted {
        let key = Key { deployment: sample.deployment.clone(), rank: sample.rank };
        let source = (key.clone(), Arc::clone(&sample.source));
        let bad = sample.total - sample.good;
        let (previous_bad, previous_total) =
            previous.insert(source, (bad, sample.total)).unwrap_or_default();
        let restarted = sample.total < previous_total || bad < previous_bad;
        let increment = if restarted {
            Increment { at_ms: sample.at_ms, bad, total: sample.total }
        } else {
            Increment {
                at_ms: sample.at_ms,
                bad: bad - previous_bad,
                total: sample.total - previous_total,
            }
        };
        series.entry(key).or_default().push(increment);
    }
    series
}
