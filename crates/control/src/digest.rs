//! Digests of the demand of all entries, kept by the leader as soft state.
//!
//! A digest is a snapshot of what every entry published last. All entries are answered from the
//! same snapshot, so that their parts of a workspace's demand add up to one. If each entry's newest
//! demand were compared with the older demand of the others, every entry would take itself for the
//! largest at the start of a flood.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_state::command::Holder;
use hickoryreel_wire::rpc::Digest;
use hickoryreel_wire::rpc::Usage;

/// Time between two digests. Entries renew their leases, and publish, in the same period.
const PERIOD: Duration = Duration::from_millis(500);

/// The newest digest of a leader.
#[derive(Debug, Default)]
pub struct Digests {
    /// When the entries began to publish for the next digest.
    began: Option<Instant>,
    parts: BTreeMap<Holder, Usage>,
    total: Usage,
}

impl Digests {
    /// Replaces the digest by the sum over `published` when it is due. The first one is due a
    /// period after the first call: until then not every entry has published.
    pub fn refresh<'a>(
        &mut self,
        now: Instant,
        published: impl Iterator<Item = (&'a Holder, &'a Usage)>,
    ) {
        let began = *self.began.get_or_insert(now);
        if now.saturating_duration_since(began) < PERIOD {
            return;
        }
        self.began = Some(now);
        self.parts = published.map(|(holder, usage)| (holder.clone(), usage.clone())).collect();
        self.total = Usage::new();
        for (pool, ranks) in self.parts.values().flatten() {
            let pool = self.total.entry(pool.clone()).or_default();
            for (rank, workspaces) in ranks {
                let sums = pool.entry(*rank).or_default();
                for (workspace, amount) in workspaces {
                    let sum = sums.entry(workspace.clone()).or_default();
                    *sum = sum.saturating_add(*amount);
                }
            }
        }
    }

    /// The digest for `holder`, if it has a part in it.
    pub fn of(&self, holder: &Holder) -> Option<Digest> {
        let mut digest = Digest::new();
        for (pool, ranks) in self.parts.get(holder)? {
            for (rank, workspaces) in ranks {
                let totals = &self.total[pool][rank];
                let pairs =
                    workspaces.iter().map(|(name, own)| (name.clone(), (*own, totals[name])));
                digest.entry(pool.clone()).or_default().insert(*rank, pairs.collect());
            }
        }
        Some(digest)
    }
}
