//! Leases of entries, as the leader tracks them.
//!
//! The leader measures a lease from the time of the grant, the entry from before it sent the
//! request, so a lease ends for the entry before it ends for the leader. A new leader does not know
//! the leases that earlier leaders granted. Until a full lease length has passed, it assumes that
//! every entry may hold one.

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

/// Table of the leases that the leader granted.
#[derive(Debug)]
pub struct Leases {
    /// How long the leader considers a lease held: its length and the margin.
    hold_duration: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Term in which this replica is the leader, and when the last lease of an earlier leader ends.
    term: Option<(u64, Instant)>,
    leases: BTreeMap<Holder, Lease>,
    /// Holders for which a lapse was proposed. They must not be granted another lease, even while
    /// the lapse is not applied yet.
    lapsing: BTreeSet<Holder>,
    digests: Digests,
}

#[derive(Debug)]
struct Lease {
    expires_at: Instant,
    /// Revision that the entry confirmed in its newest renewal.
    revision: Revision,
    /// Demand that the entry reported in its newest renewal.
    usage: Usage,
}

/// Whether a revision is in force at every entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// Entries that hold a lease and have not confirmed the revision.
    pub unconfirmed: Vec<Entry>,
    /// Whether entries may still hold leases from an earlier leader.
    pub unknown_leases: bool,
    /// Time until the last of these leases ends; zero if the revision is in force.
    pub at_latest: Duration,
}

impl Leases {
    /// Creates an empty table for leases of `length`.
    pub fn new(length: Duration, margin: Duration) -> Self {
        Self { hold_duration: length + margin, inner: Mutex::default() }
    }

    /// Grants a lease, records the `usage` of the entry and returns the newest digest for it. The
    /// caller must be the leader of `term`, confirmed by a quorum after the renewal arrived.
    pub fn grant(
        &self,
        term: u64,
        holder: &Holder,
        revision: Revision,
        usage: Usage,
        now: Instant,
    ) -> error::Result<Option<Digest>> {
        let mut inner = self.inner.lock();
        inner.enter_term(term, now, self.hold_duration);
        if inner.lapsing.contains(holder) {
            return Err(lapsed_error(holder));
        }
        let expires_at = now + self.hold_duration;
        inner.leases.insert(holder.clone(), Lease { expires_at, revision, usage });
        let Inner { leases, digests, .. } = &mut *inner;
        let live = leases.iter().filter(|(_, lease)| lease.expires_at > now);
        digests.refresh(now, live.map(|(holder, lease)| (holder, &lease.usage)));
        Ok(digests.of(holder))
    }

    /// Whether every entry that may hold a lease has confirmed `revision`.
    pub fn in_force(&self, term: u64, revision: Revision, now: Instant) -> InForce {
        let mut inner = self.inner.lock();
        let unknown_leases_end = inner.enter_term(term, now, self.hold_duration);
        let unconfirmed: Vec<_> = inner.unconfirmed(revision, now).collect();
        let end_times =
            unconfirmed.iter().map(|(_, lease)| lease.expires_at).chain([unknown_leases_end]);
        let last_end = end_times.max().unwrap_or(now);
        InForce {
            unconfirmed: unconfirmed.iter().map(|(holder, _)| holder.entry.clone()).collect(),
            unknown_leases: unknown_leases_end > now,
            at_latest: last_end.saturating_duration_since(now),
        }
    }

    /// Returns the holders among `active` that hold no lease any more. They get no further lease in
    /// this term; the caller proposes their lapse.
    pub fn remove_lapsed(&self, term: u64, active: BTreeSet<Holder>, now: Instant) -> Vec<Holder> {
        let mut inner = self.inner.lock();
        if inner.enter_term(term, now, self.hold_duration) > now {
            return Vec::new();
        }
        inner.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &inner.leases;
        let lapsed: Vec<Holder> =
            active.into_iter().filter(|holder| !leases.contains_key(holder)).collect();
        inner.lapsing.extend(lapsed.iter().cloned());
        lapsed
    }

    /// Number of leases that have not ended.
    pub fn count(&self, now: Instant) -> usize {
        self.inner.lock().leases.values().filter(|lease| lease.expires_at > now).count()
    }
}

impl Inner {
    /// Discards the state of an earlier term, if any. Returns when the last lease of an earlier
    /// leader ends.
    fn enter_term(&mut self, term: u64, now: Instant, hold_duration: Duration) -> Instant {
        match self.term {
            Some((current_term, unknown_leases_end)) if current_term == term => unknown_leases_end,
            _ => {
                let unknown_leases_end = now + hold_duration;
                *self = Self { term: Some((term, unknown_leases_end)), ..Self::default() };
                unknown_leases_end
            }
        }
    }

    fn unconfirmed(
        &self,
        revision: Revision,
        now: Instant,
    ) -> impl Iterator<Item = (&Holder, &Lease)> {
        self.leases
            .iter()
            .filter(move |(_, lease)| lease.expires_at > now && lease.revision < revision)
    }
}

/// Error for a holder that has lapsed.
pub fn lapsed_error(holder: &Holder) -> Error {
    let message = format!(
        "incarnation {} of entry {} has lapsed; renew with a new one",
        holder.incarnation, holder.entry
    );
    Error::new(Kind::NoLease, message)
}
