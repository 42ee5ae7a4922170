//! View of the control state for readers.

use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_state::machine::Machine;

/// Role of this replica in the cluster and progress of its log.
#[derive(Clone, Debug)]
pub struct ReplicaStatus {
    pub id: ReplicaId,
    pub role: Role,
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Member>,
    /// Newest member set in the log, committed or not.
    pub members: Members,
    pub commit_index: u64,
    /// Index of the last log entry; 0 if the log is empty.
    pub last_index: u64,
    /// Initial members, if the log still has the entry that contains them.
    pub first_members: Option<Members>,
    /// Time since a quorum is known to have followed this replica as the leader. `None` if it is
    /// not the leader or not confirmed yet.
    pub quorum_confirmed_ago: Option<Duration>,
}

/// The state machine and the replica that applies the log to it.
pub struct View<'a> {
    pub machine: &'a Machine,
    pub(super) replica: &'a Replica,
    pub(super) first_members: Option<&'a Members>,
    pub(super) now: Duration,
}

impl View<'_> {
    pub fn term(&self) -> u64 {
        self.replica.term()
    }

    pub fn status(&self) -> ReplicaStatus {
        let replica = self.replica;
        ReplicaStatus {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader_member().cloned(),
            members: replica.members().clone(),
            commit_index: replica.commit_index(),
            last_index: replica.last_index(),
            first_members: self.first_members.cloned(),
            quorum_confirmed_ago: replica
                .quorum_confirmed_at()
                .map(|confirmed_at| self.now.saturating_sub(confirmed_at)),
        }
    }
}
