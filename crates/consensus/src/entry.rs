//! Log entries, storage records and snapshots.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Members;
use crate::ReplicaId;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log. The first entry has index 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content.
    pub payload: Payload,
}

impl Entry {
    /// Bytes the entry takes in a message, headers included.
    pub(crate) fn size(&self) -> usize {
        const HEADER_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 32;
        match &self.payload {
            Payload::Empty => HEADER_BYTES,
            Payload::Command(bytes) => HEADER_BYTES + bytes.len(),
            Payload::Members(members) => {
                HEADER_BYTES
                    + members.iter().map(|one| MEMBER_BYTES + one.address.len()).sum::<usize>()
            }
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Written by each new leader. Nothing to apply.
    Empty,
    /// A proposal for the state machine.
    Command(Bytes),
    /// A new member set. It is in force from the moment it is in the log.
    Members(Members),
}

/// What a replica must write to its store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Current term and the vote in it.
    HardState {
        /// Term.
        term: u64,
        /// Candidate that received the vote of this term.
        vote: Option<ReplicaId>,
    },
    /// A log entry. It replaces the stored entries from its index on.
    Entry(Entry),
    /// The log is empty after this position, which a snapshot covers.
    Reset {
        /// Last index of the snapshot.
        index: u64,
        /// Term of that index.
        term: u64,
    },
}

/// State machine content up to an index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index that the content includes.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Members as of that index.
    pub members: Members,
    /// State machine content.
    pub data: Bytes,
}
