//! The thread that owns the control state, and the handle to it.
//!
//! [`Core::propose`], [`Core::read`] and [`Core::change_members`] queue tasks for the thread. The
//! thread ([`owner`]) takes all queued tasks, passes them to the log in one step, syncs once, sends
//! messages through [`crate::peers`], applies the committed commands and replies to the callers.

mod owner;
mod view;
mod waiters;

use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_consensus as consensus;
use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::storage::Store;
use hickoryreel_state::command::Action;
use hickoryreel_state::machine::Outcome;
use slog::Logger;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::peers::Outbox;

pub use view::ReplicaStatus;
pub use view::View;

/// Why a call to the control state failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    pub error: Error,
    /// The leader, if it is known and is another replica.
    pub leader: Option<Member>,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self { error, leader: None }
    }
}

pub type Result<T> = std::result::Result<T, Failure>;

type ReplySender<T> = oneshot::Sender<Result<T>>;

/// Callback that receives the state, or the failure if the state cannot be read.
type Reader = Box<dyn FnOnce(Result<View<'_>>) + Send>;

/// A task for the control-state thread.
enum Task {
    Propose { action: Action, reply_to: ReplySender<Outcome> },
    ChangeMembers { change: MemberChange, reply_to: ReplySender<()> },
    Read(Reader),
    BatchedRead(Reader),
    LocalRead(Reader),
    Receive(Vec<Message>),
    Bootstrap(Members),
    TransferLeadership,
    Stop,
}

/// Settings of the control-state thread and the objects that it works with.
pub struct Context {
    /// Data folder of the log.
    pub data: std::path::PathBuf,
    pub consensus: consensus::Settings,
    /// Number of applied log entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is written.
    pub snapshot_bytes: usize,
    /// Maximum number of queued tasks.
    pub queue: usize,
    /// Longest wait of a caller, for example while there is no quorum.
    pub timeout: Duration,
    /// Queues of messages to other replicas.
    pub outbox: Outbox,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
}

/// Handle to the control-state thread.
#[derive(Clone)]
pub struct Core {
    tasks: mpsc::SyncSender<Task>,
    timeout: Duration,
}

impl Core {
    /// Opens the store and starts the thread. The receiver gets the cause if the thread ends
    /// because of an error, for example of the disk.
    pub fn start(context: Context) -> eyre::Result<(Self, oneshot::Receiver<eyre::Report>)> {
        let (store, restored) = Store::open(&context.data, &context.consensus)?;
        let (tasks, inbox) = mpsc::sync_channel(context.queue);
        let (failure_sender, failure) = oneshot::channel();
        let timeout = context.timeout;
        let mut owner = owner::Owner::new(context, store, restored)?;
        std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
            if let Err(cause) = owner.run(&inbox) {
                // Sending fails only if the process is already stopping.
                let _ = failure_sender.send(cause);
            }
        })?;
        Ok((Self { tasks, timeout }, failure))
    }

    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, action: Action) -> Result<Outcome> {
        let (reply_to, reply) = oneshot::channel();
        self.enqueue(Task::Propose { action, reply_to })?;
        self.wait_for_reply(reply).await?
    }

    /// Changes the member set and waits until the change is committed.
    pub async fn change_members(&self, change: MemberChange) -> Result<()> {
        let (reply_to, reply) = oneshot::channel();
        self.enqueue(Task::ChangeMembers { change, reply_to })?;
        self.wait_for_reply(reply).await?
    }

    /// Linearizable read: runs `read` on the leader's state after a quorum has confirmed the leader
    /// and everything that was committed before the call is applied.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply_to, reply) = oneshot::channel();
        self.enqueue(Task::Read(reader(read, reply_to)))?;
        self.wait_for_reply(reply).await?
    }

    /// Like [`Core::read`], but waits for the next tick of the log, so that many reads share one
    /// confirmation by the quorum.
    pub async fn read_batched<T: Send + 'static>(
        &self,
        read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply_to, reply) = oneshot::channel();
        self.enqueue(Task::BatchedRead(reader(read, reply_to)))?;
        self.wait_for_reply(reply).await?
    }

    /// Runs `read` on the state of this replica, which may be stale.
    pub async fn read_local<T: Send + 'static>(
        &self,
        read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply_to, reply) = oneshot::channel();
        self.enqueue(Task::LocalRead(reader(read, reply_to)))?;
        self.wait_for_reply(reply).await?
    }

    /// Processes messages from other replicas. Messages are dropped if the queue is full; the
    /// consensus protocol sends lost messages again.
    pub fn receive(&self, messages: Vec<Message>) {
        let _ = self.enqueue(Task::Receive(messages));
    }

    /// Starts a new cluster with `members` if the log of this replica is empty.
    pub fn bootstrap(&self, members: Members) {
        let _ = self.enqueue(Task::Bootstrap(members));
    }

    /// Transfers leadership to another replica if this replica is the leader.
    pub fn transfer_leadership(&self) {
        let _ = self.enqueue(Task::TransferLeadership);
    }

    /// Stops the thread.
    pub fn stop(&self) {
        let _ = self.enqueue(Task::Stop);
    }

    fn enqueue(&self, task: Task) -> Result<()> {
        self.tasks.try_send(task).map_err(|cause| match cause {
            mpsc::TrySendError::Full(_) => {
                Error::new(Kind::QueueFull, "the queue of the control state is full").into()
            }
            mpsc::TrySendError::Disconnected(_) => stopped(),
        })
    }

    async fn wait_for_reply<T>(&self, reply: oneshot::Receiver<T>) -> Result<T> {
        match tokio::time::timeout(self.timeout, reply).await {
            Ok(result) => result.map_err(|_| stopped()),
            Err(_) => {
                Err(Error::new(Kind::NoQuorum, "no quorum confirmed the request in time").into())
            }
        }
    }
}

fn reader<T: Send + 'static>(
    read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    reply_to: ReplySender<T>,
) -> Reader {
    Box::new(move |view| {
        // Sending fails if the caller no longer waits.
        let _ = reply_to.send(view.map(|view| read(&view)));
    })
}

fn stopped() -> Failure {
    Error::new(Kind::NoQuorum, "the control-state thread has stopped").into()
}
