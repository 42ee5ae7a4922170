//! Invariants that every simulation run must satisfy.

use std::collections::BTreeMap;

use crate::Entry;
use crate::Payload;
use crate::ReplicaId;
use crate::core::Outcome;
use crate::core::Reply;

/// Observes a simulation run and panics if an invariant is violated.
#[derive(Debug, Default)]
pub struct Invariants {
    /// Leader of each term.
    leaders: BTreeMap<u64, ReplicaId>,
    /// Committed entries by index.
    committed: BTreeMap<u64, Entry>,
    /// Payload of each proposal without a reply, by token.
    proposed: BTreeMap<u64, Vec<u8>>,
    /// For each read without a reply, by token: the largest index observed before it started.
    reads: BTreeMap<u64, u64>,
    /// Largest index that was acknowledged or read so far.
    observed: u64,
    /// Number of acknowledged proposals.
    pub acknowledged: usize,
    /// Number of answered reads.
    pub answered: usize,
}

impl Invariants {
    /// Checks that each term has at most one leader.
    pub(super) fn on_leader(&mut self, term: u64, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// Checks that a committed entry never changes.
    pub(super) fn on_committed(&mut self, entry: &Entry) {
        let first = self.committed.entry(entry.index).or_insert_with(|| entry.clone());
        assert_eq!(first, entry, "committed entry {} changed", entry.index);
    }

    pub(super) fn on_propose(&mut self, token: u64, payload: &[u8]) {
        self.proposed.insert(token, payload.to_vec());
    }

    pub(super) fn on_read(&mut self, token: u64) {
        self.reads.insert(token, self.observed);
    }

    /// Checks that an acknowledged proposal is committed at its index, that a read observes
    /// everything that was acknowledged or read before it started, and that a read is only served
    /// after its index is applied.
    pub(super) fn on_reply(&mut self, reply: &Reply, applied: u64) {
        match reply.outcome {
            Outcome::Committed { index } => {
                self.observed = self.observed.max(index);
                let Some(payload) = self.proposed.remove(&reply.token) else { return };
                let entry = &self.committed[&index];
                assert_eq!(entry.payload, Payload::Command(payload.into()), "wrong entry {index}");
                self.acknowledged += 1;
            }
            Outcome::ReadReady { index } => {
                let minimum = self.reads.remove(&reply.token).unwrap_or(0);
                assert!(index >= minimum, "read at {index} misses what was seen at {minimum}");
                assert!(applied >= index, "read at {index} is answered before it is applied");
                self.observed = self.observed.max(applied);
                self.answered += 1;
            }
            _ => {}
        }
    }

    /// Committed entries by index.
    pub fn committed(&self) -> &BTreeMap<u64, Entry> {
        &self.committed
    }
}
