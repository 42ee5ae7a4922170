//! What readers see of the control state.

use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_state::machine::Machine;

/// Where this replica stands in the log.
#[derive(Clone, Debug)]
pub struct Standing {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// What it does.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Member>,
    /// Newest member set.
    pub members: Members,
    /// Last committed index.
    pub commit: u64,
    /// Last index of the log.
    pub last: u64,
    /// First members, if this log still has the entry that names them.
    pub first_members: Option<Members>,
    /// Time since a quorum is known to have followed this leader.
    pub confirmed_ago: Option<Duration>,
}

/// The state machine and where the replica stands.
pub struct View<'a> {
    /// The state machine.
    pub machine: &'a Machine,
    pub(super) replica: &'a Replica,
    pub(super) first_members: Option<&'a Members>,
    pub(super) now: Duration,
}

impl View<'_> {
    /// Current term.
    pub fn term(&self) -> u64 {
        self.replica.term()
    }

    /// Where the replica stands.
    pub fn standing(&self) -> Standing {
        let replica = self.replica;
        Standing {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            leader: replica.leader_member().cloned(),
            members: replica.members().clone(),
            commit: replica.commit_index(),
            last: replica.last_index(),
            first_members: self.first_members.cloned(),
            confirmed_ago: replica
                .quorum_confirmed_at()
                .map(|confirmed| self.now.saturating_sub(confirmed)),
        }
    }
}
