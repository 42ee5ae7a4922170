//! Properties that every run must have.

use std::collections::BTreeMap;

use crate::Entry;
use crate::Payload;
use crate::ReplicaId;
use crate::core::Outcome;
use crate::core::Reply;

/// Observes a run and panics when a property is violated.
#[derive(Debug, Default)]
pub struct Check {
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<u64, Entry>,
    /// Payload of each proposal without a reply.
    proposed: BTreeMap<u64, Vec<u8>>,
    /// For each read without a reply, the newest index that was observed before it.
    reads: BTreeMap<u64, u64>,
    observed: u64,
    /// Number of acknowledged proposals.
    pub acknowledged: usize,
    /// Number of answered reads.
    pub answered: usize,
}

impl Check {
    /// There is at most one leader per term.
    pub(super) fn on_leader(&mut self, term: u64, id: ReplicaId) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "two leaders in term {term}");
    }

    /// A committed entry never changes.
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

    /// An acknowledged proposal is committed at its index. A read observes everything that was
    /// acknowledged or read before it started, and it is served once `applied` reached its index.
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
                let floor = self.reads.remove(&reply.token).unwrap_or(0);
                assert!(index >= floor, "read at {index} misses what was seen at {floor}");
                assert!(applied >= index, "read at {index} is answered before it is applied");
                self.observed = self.observed.max(applied);
                self.answered += 1;
            }
            _ => {}
        }
    }

    /// The committed log, by index.
    pub fn committed(&self) -> &BTreeMap<u64, Entry> {
        &self.committed
    }
}
