//! Messages between replicas.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::Entry;
use crate::Members;
use crate::ReplicaId;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    pub from: ReplicaId,
    /// Receiver. A replica drops messages with another id.
    pub to: ReplicaId,
    /// Term of the sender. For [`Body::PreVote`], the term in which it would campaign.
    pub term: u64,
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender, whose log ends at the position. Neither
    /// replica changes its term or vote.
    PreVote(Position),
    /// Reply to [`Body::PreVote`].
    PreVoteReply {
        /// Term of the pre-vote request.
        campaign: u64,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Last position of the candidate's log.
        last: Position,
        /// Whether the leader asked the candidate to campaign. Such a request is processed even if
        /// the receiver has a live leader.
        transfer: bool,
    },
    /// Reply to [`Body::Vote`].
    VoteReply { granted: bool },
    /// Entries that follow `previous`. A heartbeat has no entries.
    Append {
        /// Position directly before the first entry.
        previous: Position,
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round of the leader, echoed in the reply.
        round: u64,
    },
    /// Reply to [`Body::Append`], and to [`Body::Chunk`] when the snapshot is complete.
    AppendReply {
        outcome: Outcome,
        /// Round of the request.
        round: u64,
    },
    /// Chunk of a snapshot.
    Chunk(Chunk),
    /// Reply to [`Body::Chunk`] while the snapshot is incomplete.
    ChunkReply {
        /// Last index included in the snapshot.
        index: u64,
        /// Offset in bytes at which the next chunk must start.
        offset: u64,
        /// Round of the request.
        round: u64,
    },
    /// Asks the receiver to start an election immediately, without a pre-vote.
    TimeoutNow,
}

/// A log index and the term of the entry at it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Log index, or 0 for the position before the first entry.
    pub index: u64,
    /// Term of the entry, or 0 for the position before the first entry.
    pub term: u64,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The receiver's log matches the leader's log up to this index and is synced.
    Matched(u64),
    /// The receiver has no entry that matches `previous`.
    Rejected {
        /// Index of `previous`.
        previous: u64,
        /// Largest index at which the logs may agree.
        hint: u64,
    },
}

/// Chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Last position included in the snapshot.
    pub last: Position,
    /// Members as of that position.
    pub members: Members,
    /// Size of the snapshot data in bytes.
    pub total: u64,
    /// CRC-32 of the snapshot data.
    pub checksum: u32,
    /// Offset of `data` within the snapshot data, in bytes.
    pub offset: u64,
    /// Bytes of this chunk.
    pub data: Bytes,
    /// Heartbeat round of the leader, echoed in the reply.
    pub round: u64,
}

impl Message {
    /// Encodes the message with postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("messages are serializable")
    }

    /// Decodes a message written by [`Message::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
