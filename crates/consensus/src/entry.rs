//! Log entries, storage records and snapshots.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Members;
use crate::ReplicaId;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    pub payload: Payload,
}

impl Entry {
    /// Approximate size of the encoded entry in bytes, headers included.
    pub(crate) fn size(&self) -> usize {
        const HEADER_BYTES: usize = 24;
        const MEMBER_BYTES: usize = 32;
        match &self.payload {
            Payload::Empty => HEADER_BYTES,
            Payload::Command(bytes) => HEADER_BYTES + bytes.len(),
            Payload::Members(members) => {
                HEADER_BYTES
                    + members
                        .iter()
                        .map(|member| MEMBER_BYTES + member.address.len())
                        .sum::<usize>()
            }
        }
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op entry that each new leader appends at the start of its term.
    Empty,
    /// A command for the state machine.
    Command(Bytes),
    /// A new member set. It takes effect as soon as it is in the log, before it is committed.
    Members(Members),
}

/// A record of the write-ahead log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Current term and the vote in it.
    HardState {
        term: u64,
        /// Candidate that received this replica's vote in this term.
        vote: Option<ReplicaId>,
    },
    /// A log entry. It replaces all stored entries at and after its index.
    Entry(Entry),
    /// Discards the log after a snapshot was installed. The log continues after this position.
    Reset {
        /// Last index included in the snapshot.
        index: u64,
        /// Term of the entry at that index.
        term: u64,
    },
}

/// State of the state machine as of a log index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Last index included.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Members as of that index.
    pub members: Members,
    /// Serialized state machine.
    pub data: Bytes,
}
