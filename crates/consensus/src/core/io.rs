//! Inputs and outputs of a replica.

use std::sync::Arc;

use crate::Entry;
use crate::Member;
use crate::Members;
use crate::Message;
use crate::Record;
use crate::ReplicaId;
use crate::Snapshot;

/// An event or request for a replica to process.
#[derive(Clone, Debug)]
pub enum Input {
    /// Advances the timers. Must be sent at least every quarter of the heartbeat interval.
    Tick,
    /// A message from another replica.
    Message(Message),
    /// Proposes a command for the log.
    Propose {
        /// Returned in the reply.
        token: u64,
        /// Command for the state machine.
        payload: Vec<u8>,
    },
    /// Requests an index for a linearizable read.
    Read {
        /// Returned in the reply.
        token: u64,
    },
    /// Requests a membership change.
    Change {
        /// Returned in the reply.
        token: u64,
        change: MemberChange,
    },
    /// Reports that the records of all outputs up to this sequence number are synced.
    Persisted {
        /// `Output::sequence` of the latest synced output.
        up_to: u64,
    },
    /// Provides a snapshot of the local state machine and compacts the log.
    Snapshot {
        /// Last applied index.
        index: u64,
        /// Serialized state machine.
        data: Vec<u8>,
    },
    /// Starts a new cluster with these members. Ignored unless the replica's store is empty. Must
    /// only be sent on an operator's explicit request: a replica that lost its disk must not start
    /// a cluster of its own.
    Bootstrap {
        /// Initial members. Must be the same on all of them.
        members: Members,
    },
    /// Transfers leadership, for example before a graceful shutdown.
    Transfer {
        /// Target of the transfer. If `None`, the voter with the longest synced log.
        to: Option<ReplicaId>,
    },
    /// Reports that the disk is full (`true`) or has space again (`false`). The store keeps the
    /// output that it could not write and writes it first when there is space.
    DiskFull(bool),
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Adds a replica that receives the log and does not vote.
    AddLearner { id: ReplicaId, address: Arc<str> },
    /// Makes a learner a voter. Refused until the learner has caught up.
    Promote { id: ReplicaId },
    /// Removes a voter or learner.
    Remove { id: ReplicaId },
}

/// Actions for the caller of a replica, in the order given in the crate documentation.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send immediately.
    pub messages: Vec<Message>,
    /// Snapshot of the local state machine. It may be written at any later time.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Snapshot received from the leader. Must be written before `records`, and the state machine
    /// must be restored from it before `committed` is applied.
    pub install: Option<Arc<Snapshot>>,
    /// Records to append to the write-ahead log and sync.
    pub records: Vec<Record>,
    /// Sequence number to report in `Input::Persisted` after the records are synced.
    pub sequence: u64,
    /// Messages to send only after the records of this and all earlier outputs are synced.
    pub after_sync: Vec<Message>,
    /// Committed entries. Each must be applied once, in this order.
    pub committed: Vec<Entry>,
    /// Replies to inputs with a token, to deliver after `committed` is applied.
    pub replies: Vec<Reply>,
}

impl Output {
    /// Moves out everything that the store writes and the messages that wait for its sync.
    /// `install` is cloned, because the state machine is restored from it too.
    pub(crate) fn take_storage_output(&mut self) -> Self {
        Self {
            snapshot: self.snapshot.take(),
            install: self.install.clone(),
            records: std::mem::take(&mut self.records),
            sequence: self.sequence,
            after_sync: std::mem::take(&mut self.after_sync),
            ..Self::default()
        }
    }

    /// Appends the output of a later step, so that both are processed together.
    pub fn merge(&mut self, later: Self) {
        self.messages.extend(later.messages);
        self.snapshot = later.snapshot.or(self.snapshot.take());
        if later.install.is_some() {
            // The installed snapshot includes all entries that were committed before it.
            self.committed.clear();
            self.install = later.install;
        }
        self.records.extend(later.records);
        self.sequence = self.sequence.max(later.sequence);
        self.after_sync.extend(later.after_sync);
        self.committed.extend(later.committed);
        self.replies.extend(later.replies);
    }
}

/// Reply to an input with a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    pub token: u64,
    pub outcome: Outcome,
}

/// Outcome of an input with a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal or change is committed at this index.
    Committed { index: u64 },
    /// The read may be served once `index` is applied.
    ReadReady { index: u64 },
    /// The request was not processed because this replica is not the leader.
    NotLeader {
        /// The leader, if known.
        hint: Option<Member>,
    },
    /// The request was not processed for another reason.
    Refused(Refusal),
    /// Leadership ended before the commit. The proposal or change may still be committed.
    LeadershipLost,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The payload or address exceeds its size limit.
    TooLarge,
    /// Too many uncommitted proposals or unconfirmed reads.
    Busy,
    /// The disk of the leader is full.
    DiskFull,
    /// Another membership change is not committed yet, or the leader has not committed an entry of
    /// its own term.
    ChangePending,
    /// The learner lags too far behind, has not synced the required entries, or has not replied
    /// recently.
    NotCaughtUp,
    /// The replica is already a member, or the member limit is reached.
    CannotAdd,
    /// There is no such member, or the member to promote is already a voter.
    NoSuchMember,
    /// The last voter cannot be removed.
    LastVoter,
}
