//! Orders and reads through the leader, from any replica.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Request;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::log::Agreed;
use crate::log::Log;
use crate::log::Reply;
use crate::peers::Peers;

/// Longest time for one call to the leader: several round trips between regions, and two syncs
/// of a disk that is 25 times slower than usual.
const CALL_LIMIT: Duration = Duration::from_millis(600);

/// Pause before an order or read is tried again, for example during an election.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Reads that wait for a confirmation; more are refused.
const WAITING_READS: usize = 4_096;

/// Access to the agreed state through the leader.
#[derive(Clone)]
pub struct Quorum {
    log: Log,
    peers: Rc<Peers>,
    reads: mpsc::Sender<oneshot::Sender<()>>,
}

impl Quorum {
    /// Starts the task that confirms reads on the current `LocalSet`.
    pub fn start(log: Log, peers: Rc<Peers>) -> Self {
        let (reads, waiting) = mpsc::channel(WAITING_READS);
        let quorum = Self { log, peers, reads };
        tokio::task::spawn_local(confirm_reads(quorum.clone(), waiting));
        quorum
    }

    /// The state as this replica knows it.
    pub fn agreed(&self) -> Arc<Agreed> {
        Arc::clone(&self.log.agreed.borrow())
    }

    /// The state, confirmed by a quorum after this call began. `None` if that took longer than
    /// `limit`.
    pub async fn confirmed(&self, limit: Duration) -> Option<Arc<Agreed>> {
        let (ready, waiting) = oneshot::channel();
        self.reads.try_send(ready).ok()?;
        tokio::time::timeout(limit, waiting).await.ok()?.ok()?;
        Some(self.agreed())
    }

    /// Proposes an idempotent command until it is applied at the leader. `false` if the outcome
    /// is not known after `limit`.
    pub async fn propose(&self, command: Vec<u8>, limit: Duration) -> bool {
        let attempts = async {
            loop {
                if self.propose_once(&command).await {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        };
        tokio::time::timeout(limit, attempts).await.is_ok()
    }

    async fn propose_once(&self, command: &[u8]) -> bool {
        match self.log.propose(command.to_vec()).await {
            Reply::At(_) => true,
            Reply::NotLeader => {
                let request = Request::Propose(command.to_vec());
                matches!(self.ask_leader(request).await, Some(Answer::Done))
            }
            _ => false,
        }
    }

    /// Answers another replica's relayed command.
    pub async fn propose_here(&self, command: Vec<u8>) -> Answer {
        match self.log.propose(command).await {
            Reply::At(_) => Answer::Done,
            Reply::NotLeader | Reply::Refused(_) => Answer::Refused,
            Reply::Unknown => Answer::Unknown,
        }
    }

    /// Answers another replica's read.
    pub async fn read_here(&self) -> Answer {
        match self.log.read().await {
            Reply::At(index) => Answer::Index(index),
            _ => Answer::Refused,
        }
    }

    /// Asks the leader, if another replica leads.
    pub async fn ask_leader(&self, request: Request) -> Option<Answer> {
        let agreed = self.agreed();
        let leader = agreed.leader.as_ref().filter(|leader| leader.id != agreed.id)?;
        self.peers.client(&leader.address)?.call(request, CALL_LIMIT).await
    }

    /// Waits until a quorum confirms an index and this replica has applied it.
    async fn barrier(&self) -> bool {
        let index = match self.log.read().await {
            Reply::At(index) => index,
            Reply::NotLeader => match self.ask_leader(Request::ReadIndex).await {
                Some(Answer::Index(index)) => index,
                _ => return false,
            },
            _ => return false,
        };
        let mut agreed = self.log.agreed.clone();
        let applied = agreed.wait_for(|agreed| agreed.applied >= index);
        matches!(tokio::time::timeout(CALL_LIMIT, applied).await, Ok(Ok(_)))
    }
}

/// Confirms all reads that wait with one barrier each time.
async fn confirm_reads(quorum: Quorum, mut waiting: mpsc::Receiver<oneshot::Sender<()>>) {
    let mut reads = Vec::new();
    while waiting.recv_many(&mut reads, WAITING_READS).await > 0 {
        while !quorum.barrier().await {
            reads.retain(|read| !read.is_closed());
            if reads.is_empty() {
                break;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        for read in reads.drain(..) {
            // The reader may have given up.
            let _ = read.send(());
        }
    }
}
