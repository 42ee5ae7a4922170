//! The thread that owns the control state, and the handle to it.
//!
//! [`Core::propose`], [`Core::read`] and [`Core::change`] queue work for the thread. The thread
//! ([`owner`]) takes everything that waits, feeds it to the log as one step, syncs once, sends
//! messages through [`crate::peers`], applies what is committed and answers.

mod owner;
mod view;
mod waiting;

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

pub use view::Standing;
pub use view::View;

/// Why a call to the control state failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// The error for the caller.
    pub error: Error,
    /// The leader, if another replica leads.
    pub leader: Option<Member>,
}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        Self { error, leader: None }
    }
}

/// Result of a call to the control state.
pub type Result<T> = std::result::Result<T, Failure>;

type Answer<T> = oneshot::Sender<Result<T>>;

/// A function that is run on the state, or told why it can't be.
type Reader = Box<dyn FnOnce(Result<View<'_>>) + Send>;

/// Work for the control-state thread.
enum Task {
    Propose { action: Action, reply: Answer<Outcome> },
    Change { change: MemberChange, reply: Answer<()> },
    Read(Reader),
    BatchedRead(Reader),
    Inspect(Reader),
    Messages(Vec<Message>),
    Bootstrap(Members),
    Transfer,
    Stop,
}

/// What the thread is started with.
pub struct Start {
    /// Folder of the log.
    pub data: std::path::PathBuf,
    /// Settings of the log.
    pub consensus: consensus::Settings,
    /// Applied entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is written.
    pub snapshot_bytes: usize,
    /// Work that may wait for the thread.
    pub queue: usize,
    /// Limit for a call whose quorum is lost.
    pub timeout: Duration,
    /// Where messages to other replicas go.
    pub outbox: Outbox,
    /// Metrics of this process.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
}

/// Handle to the control-state thread.
#[derive(Clone)]
pub struct Core {
    tasks: mpsc::SyncSender<Task>,
    timeout: Duration,
}

impl Core {
    /// Opens the store and starts the thread. The receiver gets the reason if the thread must end
    /// because of its disk.
    pub fn start(start: Start) -> eyre::Result<(Self, oneshot::Receiver<eyre::Report>)> {
        let (store, restored) = Store::open(&start.data, &start.consensus)?;
        let (tasks, inbox) = mpsc::sync_channel(start.queue);
        let (failed, failure) = oneshot::channel();
        let timeout = start.timeout;
        let mut owner = owner::Owner::new(start, store, restored)?;
        std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
            if let Err(cause) = owner.run(&inbox) {
                // The process is stopping already if nobody listens.
                let _ = failed.send(cause);
            }
        })?;
        Ok((Self { tasks, timeout }, failure))
    }

    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, action: Action) -> Result<Outcome> {
        let (reply, answer) = oneshot::channel();
        self.queue(Task::Propose { action, reply })?;
        self.wait(answer).await?
    }

    /// Changes the members and waits until the change is committed.
    pub async fn change(&self, change: MemberChange) -> Result<()> {
        let (reply, answer) = oneshot::channel();
        self.queue(Task::Change { change, reply })?;
        self.wait(answer).await?
    }

    /// Runs `read` on the leader's state after a quorum has confirmed the leader, with everything
    /// applied that was committed before the call.
    pub async fn read<T: Send + 'static>(
        &self,
        read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.queue(Task::Read(reader(read, reply)))?;
        self.wait(answer).await?
    }

    /// Like [`Core::read`], but waits up to one tick of the log for other reads, so that many reads
    /// need few rounds of the quorum.
    pub async fn read_batched<T: Send + 'static>(
        &self,
        read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.queue(Task::BatchedRead(reader(read, reply)))?;
        self.wait(answer).await?
    }

    /// Runs `inspect` on this replica's state, which may be behind.
    pub async fn inspect<T: Send + 'static>(
        &self,
        inspect: impl FnOnce(&View<'_>) -> T + Send + 'static,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        self.queue(Task::Inspect(reader(inspect, reply)))?;
        self.wait(answer).await?
    }

    /// Takes in messages of other replicas. They are dropped if the queue is full; the log repeats
    /// what is lost.
    pub fn messages(&self, messages: Vec<Message>) {
        let _ = self.queue(Task::Messages(messages));
    }

    /// Starts a new cluster with `members`, if this replica's log is empty.
    pub fn bootstrap(&self, members: Members) {
        let _ = self.queue(Task::Bootstrap(members));
    }

    /// Hands leadership over, if this replica leads.
    pub fn transfer(&self) {
        let _ = self.queue(Task::Transfer);
    }

    /// Ends the thread.
    pub fn stop(&self) {
        let _ = self.queue(Task::Stop);
    }

    fn queue(&self, task: Task) -> Result<()> {
        self.tasks.try_send(task).map_err(|cause| match cause {
            mpsc::TrySendError::Full(_) => {
                Error::new(Kind::QueueFull, "the queue of the control state is full").into()
            }
            mpsc::TrySendError::Disconnected(_) => stopped(),
        })
    }

    async fn wait<T>(&self, answer: oneshot::Receiver<T>) -> Result<T> {
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(answered) => answered.map_err(|_| stopped()),
            Err(_) => Err(Error::new(Kind::NoQuorum, "no quorum confirmed in time").into()),
        }
    }
}

fn reader<T: Send + 'static>(
    read: impl FnOnce(&View<'_>) -> T + Send + 'static,
    reply: Answer<T>,
) -> Reader {
    Box::new(move |view| {
        // The caller may have given up waiting.
        let _ = reply.send(view.map(|view| read(&view)));
    })
}

fn stopped() -> Failure {
    Error::new(Kind::NoQuorum, "the control-state thread has stopped").into()
}
