//! Inputs and outputs of a replica.

use std::sync::Arc;

use crate::Entry;
use crate::Member;
use crate::Members;
use crate::Message;
use crate::Record;
use crate::ReplicaId;
use crate::Snapshot;

/// Something that happened to a replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// Time passed. Expected at least every quarter of the heartbeat interval.
    Tick,
    /// A message arrived.
    Message(Message),
    /// Append `payload` to the log.
    Propose {
        /// Returned in the reply.
        token: u64,
        /// Content for the state machine.
        payload: Vec<u8>,
    },
    /// Linearizable read barrier.
    Read {
        /// Returned in the reply.
        token: u64,
    },
    /// Change the members.
    Change {
        /// Returned in the reply.
        token: u64,
        /// The change.
        change: MemberChange,
    },
    /// The records of all outputs with at most this sequence number are synced.
    Persisted {
        /// `Output::sequence` of the newest synced output.
        up_to: u64,
    },
    /// The state machine's content as of `index`, which must be applied. Compacts the log.
    Snapshot {
        /// Last applied index.
        index: u64,
        /// Content.
        data: Vec<u8>,
    },
    /// Start a new cluster with these members. Ignored unless the replica's store is empty. An
    /// operator's explicit decision: a replica that lost its disk must not do this.
    Bootstrap {
        /// First members, the same on each of them.
        members: Members,
    },
    /// Hand leadership over before a graceful stop.
    Transfer {
        /// Next leader; the voter with the longest log if absent.
        to: Option<ReplicaId>,
    },
    /// The store reported a full disk (`true`), or accepts records again (`false`). The owner
    /// keeps the refused output and persists it first when there is space.
    DiskFull(bool),
}

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Add a replica that receives the log and does not vote.
    AddLearner {
        /// New member.
        id: ReplicaId,
        /// Its address.
        address: Arc<str>,
    },
    /// Make a learner a voter. Refused until it is caught up and synced.
    Promote {
        /// The learner.
        id: ReplicaId,
    },
    /// Remove a member.
    Remove {
        /// The member.
        id: ReplicaId,
    },
}

/// What the owner of a replica must do, in the order given in the crate's documentation.
#[derive(Clone, Debug, Default)]
pub struct Output {
    /// Messages to send at once.
    pub messages: Vec<Message>,
    /// Snapshot of the own state machine to write at any time.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Snapshot from the leader, to write before the records and to restore the state machine from
    /// before `committed` is applied.
    pub install: Option<Arc<Snapshot>>,
    /// Records to append and sync.
    pub records: Vec<Record>,
    /// Number to return in `Input::Persisted` after the records are synced.
    pub sequence: u64,
    /// Messages to send only after the records of this and all earlier outputs are synced.
    pub after_sync: Vec<Message>,
    /// Entries to apply, in order and each once.
    pub committed: Vec<Entry>,
    /// Answers to inputs with a token, to give after `committed` is applied.
    pub replies: Vec<Reply>,
}

impl Output {
    /// Moves out what the store writes and what waits for its sync. `install` is in both parts.
    pub(crate) fn take_storage_part(&mut self) -> Self {
        Self {
            snapshot: self.snapshot.take(),
            install: self.install.clone(),
            records: std::mem::take(&mut self.records),
            sequence: self.sequence,
            after_sync: std::mem::take(&mut self.after_sync),
            ..Self::default()
        }
    }

    /// Adds the output of a later step, so that both are carried out together.
    pub fn merge(&mut self, later: Self) {
        self.messages.extend(later.messages);
        self.snapshot = later.snapshot.or(self.snapshot.take());
        if later.install.is_some() {
            // The installed snapshot includes everything committed before it.
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

/// Answer to an input with a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Token of the input.
    pub token: u64,
    /// Result.
    pub outcome: Outcome,
}

/// Result of an input with a token.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The proposal or change is committed at this index.
    Committed {
        /// Its index.
        index: u64,
    },
    /// The read may be served once this index is applied.
    ReadReady {
        /// Index that the read must observe.
        index: u64,
    },
    /// Nothing was done: this replica is not the leader.
    NotLeader {
        /// The leader, if known.
        hint: Option<Member>,
    },
    /// Nothing was done.
    Refused(Refusal),
    /// Leadership ended before the commit: the proposal may or may not commit later.
    Dropped,
}

/// Why an input was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The payload or address exceeds its limit.
    TooLarge,
    /// Too much uncommitted or unconfirmed work.
    Busy,
    /// The disk of the leader is full.
    DiskFull,
    /// Another change is not committed yet, or the leader is new.
    ChangePending,
    /// The learner is not caught up, not synced or silent.
    NotCaughtUp,
    /// The id is a member already, or the member limit is reached.
    CannotAdd,
    /// There is no such member, or it is a voter already.
    NoSuchMember,
    /// The last voter cannot be removed.
    LastVoter,
}
