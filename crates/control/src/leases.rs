//! Leases of entries, as the leader counts them.
//!
//! The leader counts a lease from when it grants it, the entry from before it asked, so the
//! leader's count ends last. A leader that is new in its term does not know the leases of earlier
//! leaders and counts every entry as holding one for a full length.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Entry;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Revision;
use hickoryreel_wire::rpc::Digest;
use hickoryreel_wire::rpc::Usage;
use parking_lot::Mutex;

use crate::digest::Digests;

/// The leader's table of leases.
#[derive(Debug)]
pub struct Leases {
    /// How long the leader counts a lease: its length and the margin.
    counted: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Term in which this replica leads, and the end of the leases it does not know.
    leading: Option<(u64, Instant)>,
    held: BTreeMap<Holder, Held>,
    /// Holders for which a lapse is proposed. They must not be granted another lease, although the
    /// lapse may not be applied yet.
    lapsing: BTreeSet<Holder>,
    digests: Digests,
}

#[derive(Debug)]
struct Held {
    until: Instant,
    /// Revision the entry confirmed with its newest renewal.
    revision: Revision,
    /// Demand the entry published with its newest renewal.
    usage: Usage,
}

/// Whether a revision is in force at every entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Entries that hold a lease and have not confirmed the revision.
    pub waiting: Vec<Entry>,
    /// Whether leases of an earlier leader may still be held.
    pub unknown: bool,
    /// When the last of these leases ends at the latest; zero if the revision is in force.
    pub at_latest: Duration,
}

impl Leases {
    /// An empty table for leases of `length`.
    pub fn new(length: Duration, margin: Duration) -> Self {
        Self { counted: length + margin, inner: Mutex::default() }
    }

    /// Grants a lease. To be called by a leader of `term` that has confirmed its quorum after the
    /// renewal arrived. Takes in the entry's `usage` and returns the newest digest for it.
    pub fn grant(
        &self,
        term: u64,
        holder: &Holder,
        revision: Revision,
        usage: Usage,
        now: Instant,
    ) -> error::Result<Option<Digest>> {
        let mut inner = self.inner.lock();
        inner.lead(term, now, self.counted);
        if inner.lapsing.contains(holder) {
            return Err(lapsed(holder));
        }
        let until = now + self.counted;
        inner.held.insert(holder.clone(), Held { until, revision, usage });
        let Inner { held, digests, .. } = &mut *inner;
        let live = held.iter().filter(|(_, held)| held.until > now);
        digests.refresh(now, live.map(|(holder, held)| (holder, &held.usage)));
        Ok(digests.of(holder))
    }

    /// Whether every entry that may hold a lease has confirmed `revision`.
    pub fn in_force(&self, term: u64, revision: Revision, now: Instant) -> InForce {
        let mut inner = self.inner.lock();
        let unknown_until = inner.lead(term, now, self.counted);
        let waiting: Vec<_> = inner.waiting(revision, now).collect();
        let ends = waiting.iter().map(|(_, held)| held.until).chain([unknown_until]);
        let last = ends.max().unwrap_or(now);
        InForce {
            waiting: waiting.iter().map(|(holder, _)| holder.entry.clone()).collect(),
            unknown: unknown_until > now,
            at_latest: last.saturating_duration_since(now),
        }
    }

    /// The holders among `active` whose lease has ended. They are granted no further lease in this
    /// term; the caller proposes their lapse.
    pub fn end_lapsed(&self, term: u64, active: BTreeSet<Holder>, now: Instant) -> Vec<Holder> {
        let mut inner = self.inner.lock();
        if inner.lead(term, now, self.counted) > now {
            return Vec::new();
        }
        inner.held.retain(|_, held| held.until > now);
        let held = &inner.held;
        let lapsed: Vec<Holder> =
            active.into_iter().filter(|holder| !held.contains_key(holder)).collect();
        inner.lapsing.extend(lapsed.iter().cloned());
        lapsed
    }

    /// Number of leases in force.
    pub fn count(&self, now: Instant) -> usize {
        self.inner.lock().held.values().filter(|held| held.until > now).count()
    }
}

impl Inner {
    /// Notes that this replica leads in `term`. Returns the end of the leases it does not know.
    fn lead(&mut self, term: u64, now: Instant, counted: Duration) -> Instant {
        match self.leading {
            Some((known, unknown_until)) if known == term => unknown_until,
            _ => {
                let unknown_until = now + counted;
                *self = Self { leading: Some((term, unknown_until)), ..Self::default() };
                unknown_until
            }
        }
    }

    fn waiting(&self, revision: Revision, now: Instant) -> impl Iterator<Item = (&Holder, &Held)> {
        self.held.iter().filter(move |(_, held)| held.until > now && held.revision < revision)
    }
}

/// The refusal for a holder that has lapsed.
pub fn lapsed(holder: &Holder) -> Error {
    let message = format!(
        "incarnation {} of entry {} has lapsed; renew with a new one",
        holder.incarnation, holder.entry
    );
    Error::new(Kind::NoLease, message)
}
