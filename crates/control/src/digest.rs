//! Digests of the demand at all entries, which the leader keeps as soft state.
//!
//! A digest aggregates the newest demand report of every entry at one point in time. All entries
//! get their digest from the same aggregation, so that their shares of a workspace's demand add up
//! to one. If the newest demand of an entry were compared with older reports of the others, every
//! entry would overestimate its own share when demand rises steeply.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_state::command::Holder;
use hickoryreel_wire::rpc::Digest;
use hickoryreel_wire::rpc::Usage;

/// Interval between two aggregations. Entries renew their leases, and thereby report their demand,
/// at the same interval.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// The newest aggregation of reported demand.
#[derive(Debug, Default)]
pub struct Digests {
    /// Since when reports are collected for the next aggregation.
    collecting_since: Option<Instant>,
    usages: BTreeMap<Holder, Usage>,
    total: Usage,
}

impl Digests {
    /// Replaces the aggregation by one of `reported` if it is due. The first one is due one
    /// interval after the first call, because not every entry has reported its demand before.
    pub fn refresh<'a>(
        &mut self,
        now: Instant,
        reported: impl Iterator<Item = (&'a Holder, &'a Usage)>,
    ) {
        let collecting_since = *self.collecting_since.get_or_insert(now);
        if now.saturating_duration_since(collecting_since) < DIGEST_INTERVAL {
            return;
        }
        self.collecting_since = Some(now);
        self.usages = reported.map(|(holder, usage)| (holder.clone(), usage.clone())).collect();
        self.total = Usage::new();
        for (pool, ranks) in self.usages.values().flatten() {
            let pool = self.total.entry(pool.clone()).or_default();
            for (rank, workspaces) in ranks {
                let totals = pool.entry(*rank).or_default();
                for (workspace, amount) in workspaces {
                    let total = totals.entry(workspace.clone()).or_default();
                    *total = total.saturating_add(*amount);
                }
            }
        }
    }

    /// The digest for `holder`, if the aggregation includes it.
    pub fn of(&self, holder: &Holder) -> Option<Digest> {
        let mut digest = Digest::new();
        for (pool, ranks) in self.usages.get(holder)? {
            for (rank, workspaces) in ranks {
                let totals = &self.total[pool][rank];
                let pairs =
                    workspaces.iter().map(|(name, usage)| (name.clone(), (*usage, totals[name])));
                digest.entry(pool.clone()).or_default().insert(*rank, pairs.collect());
            }
        }
        Some(digest)
    }
}
