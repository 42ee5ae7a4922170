//! Proposals and linearizable reads from any replica, through the leader.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Refusal;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Request;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::members;
use crate::peers::Peers;
use crate::replicated_log::LogHandle;
use crate::replicated_log::ReplicaState;
use crate::replicated_log::Reply;

/// Timeout of one call to the leader: several round trips between regions and two syncs of a disk
/// that is 25 times slower than usual.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Delay before a proposal or read is retried, for example during an election.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Time after the start of a process in which it accepts no first command while fewer replicas vote
/// than the fault tolerance needs. A deployment may have fewer replicas for good.
const FIRST_START_TIME: Duration = Duration::from_secs(15);

/// The same while replicas have joined that do not vote yet. On busy VMs they may take long to catch
/// up; those that are silent are removed sooner.
const FIRST_JOIN_TIME: Duration = Duration::from_secs(60);

/// Interval between the checks of a command that is committed but not acknowledged yet.
const ACKNOWLEDGE_PERIOD: Duration = Duration::from_millis(10);

/// Maximum number of reads that wait for a confirmation. Reads beyond it are refused.
const MAX_PENDING_READS: usize = 4_096;

/// Access to the replicated state through the leader.
#[derive(Clone)]
pub struct ConsensusClient {
    log_handle: LogHandle,
    peers: Rc<Peers>,
    /// Number of voters that the fault tolerance needs.
    held_voters: usize,
    started_at: Duration,
    /// Whether the promotion of a learner is due, and the term in which this was observed.
    promotion_due: Rc<Cell<(u64, bool)>>,
    reads: mpsc::Sender<oneshot::Sender<()>>,
}

impl ConsensusClient {
    /// Creates a client and starts its task that confirms reads on the current `LocalSet`.
    pub fn start(log_handle: LogHandle, peers: Rc<Peers>, held_voters: usize) -> Self {
        let (reads, read_queue) = mpsc::channel(MAX_PENDING_READS);
        let started_at = boot_time();
        let promotion_due = Rc::default();
        let client = Self { log_handle, peers, held_voters, started_at, promotion_due, reads };
        tokio::task::spawn_local(confirm_reads(client.clone(), read_queue));
        client
    }

    /// Returns the state of this replica, which may be behind that of the leader.
    pub fn state(&self) -> Arc<ReplicaState> {
        Arc::clone(&self.log_handle.state.borrow())
    }

    /// Returns a state that contains every command acknowledged before this call. Returns `None`
    /// if no quorum confirmed it within `timeout`.
    pub async fn linearizable_read(&self, timeout: Duration) -> Option<Arc<ReplicaState>> {
        let (reader, confirmed) = oneshot::channel();
        self.reads.try_send(reader).ok()?;
        tokio::time::timeout(timeout, confirmed).await.ok()?.ok()?;
        Some(self.state())
    }

    /// Proposes an idempotent command repeatedly until the leader has applied it. Returns `false`
    /// if the outcome is not known after `timeout`.
    pub async fn propose(&self, command: Vec<u8>, timeout: Duration) -> bool {
        let attempts = async {
            loop {
                if self.propose_once(&command).await {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::time::timeout(timeout, attempts).await.is_ok()
    }

    /// Whether the deployment has just started for the first time and too few replicas vote: a
    /// quorum of them may be fewer than the disks that may be lost.
    fn awaits_voters(&self) -> bool {
        let state = self.log_handle.state.borrow();
        let has_learners = state.members.iter().any(|member| !member.voter);
        let limit = if has_learners { FIRST_JOIN_TIME } else { FIRST_START_TIME };
        state.machine.is_pristine()
            && state.members.voters().count() < self.held_voters
            && boot_time() < self.started_at + limit
    }

    /// Records in `term`, as the leader, whether the promotion of a learner is due.
    pub fn record_promotion_due(&self, term: u64, is_due: bool) {
        self.promotion_due.set((term, is_due));
    }

    /// Whether this replica, as the leader, may acknowledge a command, going by the voters that were
    /// heard since the time `since`. It may not during a change of the voters that leaves too few of
    /// them after a loss.
    fn may_acknowledge(&self, state: &ReplicaState, since: Duration) -> bool {
        let is_heard = |id: &ReplicaId| {
            *id == state.id || self.peers.last_heard(*id).is_some_and(|heard| heard >= since)
        };
        let voters = state.members.voters().count();
        let has_learners = voters < state.members.len();
        let (observed_in, is_due) = self.promotion_due.get();
        let is_changing =
            voters > self.held_voters || (has_learners && (is_due || observed_in != state.term));
        let heard_voters = state.members.voters().filter(is_heard).count();
        !is_changing || members::is_fault_tolerant(&state.members, self.held_voters, heard_voters)
    }

    /// Waits until this replica may acknowledge a command that was proposed at the time `proposed_at`.
    /// Returns `false` if it is no longer the leader or if the caller has given up.
    async fn await_fault_tolerance(&self, proposed_at: Duration) -> bool {
        while boot_time() < proposed_at + CALL_TIMEOUT {
            let state = self.state();
            if state.role != Role::Leader {
                return false;
            }
            if self.may_acknowledge(&state, proposed_at) {
                return true;
            }
            tokio::time::sleep(ACKNOWLEDGE_PERIOD).await;
        }
        false
    }

    /// Proposes a command if this replica is the leader.
    async fn propose_as_leader(&self, command: Vec<u8>) -> Reply {
        let proposed_at = boot_time();
        let state = self.state();
        let alive_since = proposed_at.saturating_sub(members::MAX_ALIVE_SILENCE);
        // Keeps copies of a command that could not be acknowledged yet out of the log.
        if state.role == Role::Leader && !self.may_acknowledge(&state, alive_since) {
            return Reply::Refused(Refusal::ChangePending);
        }
        let reply = self.log_handle.propose(command).await;
        if matches!(reply, Reply::At(_)) && !self.await_fault_tolerance(proposed_at).await {
            return Reply::Unknown;
        }
        reply
    }

    async fn propose_once(&self, command: &[u8]) -> bool {
        if self.awaits_voters() {
            return false;
        }
        match self.propose_as_leader(command.to_vec()).await {
            Reply::At(_) => true,
            Reply::NotLeader => {
                let request = Request::Propose(command.to_vec());
                matches!(self.call_leader(request).await, Some(Answer::Done))
            }
            _ => false,
        }
    }

    /// Proposes a command that another replica forwarded.
    pub async fn propose_locally(&self, command: Vec<u8>) -> Answer {
        if self.awaits_voters() {
            return Answer::Refused;
        }
        match self.propose_as_leader(command).await {
            Reply::At(_) => Answer::Done,
            Reply::NotLeader | Reply::Refused(_) => Answer::Refused,
            Reply::Unknown => Answer::Unknown,
        }
    }

    /// Returns the log index for a read of another replica.
    pub async fn read_index(&self) -> Answer {
        match self.log_handle.read_index().await {
            Reply::At(index) => Answer::Index(index),
            _ => Answer::Refused,
        }
    }

    /// Sends a request to the leader. Returns `None` if there is no answer, if the leader is
    /// unknown or if this replica is the leader.
    pub async fn call_leader(&self, request: Request) -> Option<Answer> {
        let state = self.state();
        let leader = state.leader.as_ref().filter(|leader| leader.id != state.id)?;
        self.peers.client(&leader.address)?.call(request, CALL_TIMEOUT).await
    }

    /// Waits until a quorum has confirmed the leadership and this replica has applied the log index
    /// that a read must wait for. Returns `false` on failure.
    async fn read_barrier(&self) -> bool {
        let index = match self.log_handle.read_index().await {
            Reply::At(index) => index,
            Reply::NotLeader => match self.call_leader(Request::ReadIndex).await {
                Some(Answer::Index(index)) => index,
                _ => return false,
            },
            _ => return false,
        };
        let mut state = self.log_handle.state.clone();
        let applied = state.wait_for(|state| state.applied >= index);
        matches!(tokio::time::timeout(CALL_TIMEOUT, applied).await, Ok(Ok(_)))
    }
}

/// Confirms pending reads in batches, with one read barrier for each batch.
async fn confirm_reads(
    client: ConsensusClient,
    mut read_queue: mpsc::Receiver<oneshot::Sender<()>>,
) {
    let mut pending_reads = Vec::new();
    while read_queue.recv_many(&mut pending_reads, MAX_PENDING_READS).await > 0 {
        while !client.read_barrier().await {
            pending_reads.retain(|reader| !reader.is_closed());
            if pending_reads.is_empty() {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        for reader in pending_reads.drain(..) {
            // The caller may have stopped waiting.
            let _ = reader.send(());
        }
    }
}
