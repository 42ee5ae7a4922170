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
    /// Sender.
    pub from: ReplicaId,
    /// Receiver. A replica drops messages that name another id.
    pub to: ReplicaId,
    /// Term of the sender; for [`Body::PreVote`] the term the sender would campaign in.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks whether the receiver would vote for the sender. Changes no state.
    PreVote(Position),
    /// Answer to a pre-vote for the term `campaign`.
    PreVoteReply {
        /// Term the sender of the pre-vote would campaign in.
        campaign: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// End of the candidate's log.
        last: Position,
        /// The candidate was asked by the leader to take over.
        transfer: bool,
    },
    /// Answer to a vote request.
    VoteReply {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries after `previous`; a heartbeat if there are none.
    Append {
        /// Position before the first entry.
        previous: Position,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: u64,
        /// Round of the leader, echoed by the reply.
        round: u64,
    },
    /// Answer to `Append` and to a complete snapshot.
    AppendReply {
        /// Result.
        outcome: Outcome,
        /// Round of the request.
        round: u64,
    },
    /// Part of a snapshot.
    Chunk(Chunk),
    /// Answer to an incomplete snapshot.
    ChunkReply {
        /// Index of the snapshot.
        index: u64,
        /// Offset of the next chunk in bytes.
        offset: u64,
        /// Round of the request.
        round: u64,
    },
    /// Asks the receiver to campaign at once.
    TakeOver,
}

/// An index and its term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Log index; 0 before the first entry.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The log of the receiver equals the leader's log up to this index, and is synced.
    Matched(u64),
    /// The receiver has no entry that equals `previous`.
    Rejected {
        /// Index of `previous`.
        previous: u64,
        /// Largest index at which the logs may agree.
        hint: u64,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Last position that the snapshot includes.
    pub last: Position,
    /// Members as of that position.
    pub members: Members,
    /// Size of the whole content in bytes.
    pub total: u64,
    /// CRC-32 of the whole content.
    pub checksum: u32,
    /// Offset of `data` in bytes.
    pub offset: u64,
    /// Content.
    pub data: Bytes,
    /// Round of the leader, echoed by the reply.
    pub round: u64,
}

impl Message {
    /// Compact binary form.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message has only serializable parts")
    }

    /// Reads the form written by [`Message::encode`].
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
