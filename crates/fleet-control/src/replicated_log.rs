//! The thread that owns the replicated log and its storage.
//!
//! Tasks arrive in a bounded queue. In each iteration the thread passes the queued tasks to the
//! replica as one batch, syncs the log once, sends messages, applies committed entries, publishes
//! [`ReplicaState`] and replies to the callers.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_base::time::boot_time;
use hickoryreel_consensus as consensus;
use hickoryreel_consensus::Member;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Snapshot;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Output;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::storage::Folder;
use hickoryreel_consensus::storage::Restored;
use hickoryreel_consensus::storage::Store;
use slog::Logger;
use slog::info;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::machine::Command;
use crate::machine::Machine;

/// Interval between ticks: a quarter of the heartbeat, the longest that the consensus crate allows.
const TICK_INTERVAL: Duration = Duration::from_millis(30);

/// Capacity of the task queue. Tasks beyond it are refused.
const QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of tasks taken from the queue in one iteration, after the first.
const MAX_BATCH_TASKS: usize = 256;

/// Size of the commands applied since the latest snapshot after which a new one is written: a
/// fraction of the smallest disk.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Number of log entries applied since the latest snapshot after which a new one is written.
const SNAPSHOT_ENTRIES: u64 = 512;

/// Applied state of this replica, and its role in the cluster.
#[derive(Clone, Debug)]
pub struct ReplicaState {
    /// Id of this replica.
    pub id: ReplicaId,
    /// Index of the last applied log entry.
    pub applied: u64,
    /// Index of the last log entry, committed or not.
    pub last: u64,
    pub machine: Machine,
    /// Newest member set, committed or not.
    pub members: Members,
    pub role: Role,
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Member>,
}

/// Reply to a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Log index at which the proposal or change was committed and applied, or that a read must
    /// wait for.
    At(u64),
    /// This replica is not the leader. The task had no effect.
    NotLeader,
    /// The task had no effect.
    Refused(consensus::core::Refusal),
    /// The task may or may not have taken effect.
    Unknown,
}

type ReplySender = oneshot::Sender<Reply>;

enum Task {
    Propose(Vec<u8>, ReplySender),
    Read(ReplySender),
    Change(MemberChange, ReplySender),
    Messages(Vec<Message>),
    Transfer(Option<ReplicaId>),
    Stop,
}

/// Handle to the thread that owns the log.
#[derive(Clone)]
pub struct LogHandle {
    tasks: mpsc::SyncSender<Task>,
    /// Latest published state.
    pub state: watch::Receiver<Arc<ReplicaState>>,
}

impl LogHandle {
    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, command: Vec<u8>) -> Reply {
        self.submit(|reply_sender| Task::Propose(command, reply_sender)).await
    }

    /// Confirms the leadership of this replica with a quorum and returns the log index that a
    /// linearizable read must wait for.
    pub async fn read_index(&self) -> Reply {
        self.submit(Task::Read).await
    }

    /// Changes the member set and waits until the change is committed.
    pub async fn change_members(&self, change: MemberChange) -> Reply {
        self.submit(|reply_sender| Task::Change(change, reply_sender)).await
    }

    /// Delivers messages of other replicas. If the queue is full they are dropped, and the protocol
    /// resends them.
    pub fn deliver(&self, messages: Vec<Message>) {
        let _ = self.tasks.try_send(Task::Messages(messages));
    }

    /// Transfers the leadership to the voter `to`, or to any, if this replica is the leader.
    pub fn transfer_leadership(&self, to: Option<ReplicaId>) {
        let _ = self.tasks.try_send(Task::Transfer(to));
    }

    /// Stops the thread.
    pub fn stop(&self) {
        let _ = self.tasks.try_send(Task::Stop);
    }

    async fn submit(&self, task: impl FnOnce(ReplySender) -> Task) -> Reply {
        let (reply_sender, reply) = oneshot::channel();
        if self.tasks.try_send(task(reply_sender)).is_err() {
            return Reply::Refused(consensus::core::Refusal::Busy);
        }
        reply.await.unwrap_or(Reply::Unknown)
    }
}

/// Parameters of [`start`].
pub struct Options<'a> {
    /// Directory of the log files.
    pub data_dir: &'a Path,
    pub settings: consensus::Settings,
    /// Id of this replica and the first member set, if the deployment starts for the first time and
    /// this replica is one of its first members.
    pub bootstrap: Option<(ReplicaId, Members)>,
    /// Receives messages to other replicas.
    pub outbox: tokio::sync::mpsc::Sender<Message>,
    /// Log of the process.
    pub log: Logger,
}

/// Opens the log and starts its thread. The receiver gets the error if the thread stops because of
/// a failure, for example of the disk.
pub fn start(options: Options<'_>) -> eyre::Result<(LogHandle, oneshot::Receiver<eyre::Report>)> {
    let Options { data_dir, settings, bootstrap, outbox, log } = options;
    let folder = Folder::open(data_dir).wrap_err("cannot open the data directory")?;
    let new_id = || bootstrap.as_ref().map_or_else(|| ReplicaId(rand::random()), |(id, _)| *id);
    let (store, restored) = Store::open_disk(Box::new(folder), &settings, new_id)?;
    info!(log, "log is open"; "replica" => %restored.id, "term" => restored.term,
        "snapshot" => restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
        "entries" => restored.entries.len());
    let (tasks, inbox) = mpsc::sync_channel(QUEUE_CAPACITY);
    let mut log_thread = LogThread::new(settings, store, restored, outbox, log)?;
    if let Some((id, members)) = bootstrap
        && id == log_thread.replica.id()
    {
        log_thread.step(vec![Input::Bootstrap { members }])?;
    }
    let state = log_thread.state.subscribe();
    let (error_sender, error_receiver) = oneshot::channel();
    std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
        if let Err(error) = log_thread.run(&inbox) {
            // If the receiver is gone, the process is already stopping.
            let _ = error_sender.send(error);
        }
    })?;
    Ok((LogHandle { tasks, state }, error_receiver))
}

struct LogThread {
    replica: Replica,
    store: Store,
    machine: Machine,
    /// Callers that wait for a reply, by token.
    pending_replies: HashMap<u64, ReplySender>,
    last_token: u64,
    applied: u64,
    /// Log index of the latest snapshot.
    snapshot_index: u64,
    bytes_since_snapshot: usize,
    /// Applied index, last index, role, term, leader, and sum over the members of 1 for a learner
    /// and 2 for a voter, as last published.
    published: (u64, u64, Role, u64, Option<ReplicaId>, usize),
    state: watch::Sender<Arc<ReplicaState>>,
    outbox: tokio::sync::mpsc::Sender<Message>,
    log: Logger,
}

impl LogThread {
    fn new(
        settings: consensus::Settings,
        store: Store,
        restored: Restored,
        outbox: tokio::sync::mpsc::Sender<Message>,
        log: Logger,
    ) -> eyre::Result<Self> {
        let snapshot = restored.snapshot.clone();
        let replica = Replica::new(settings, restored, rand::random());
        let mut log_thread = Self {
            state: watch::Sender::new(Arc::new(replica_state(&replica, &Machine::default(), 0))),
            replica,
            store,
            machine: Machine::default(),
            pending_replies: HashMap::new(),
            last_token: 0,
            applied: 0,
            snapshot_index: 0,
            bytes_since_snapshot: 0,
            published: (0, 0, Role::Learner, 0, None, 0),
            outbox,
            log,
        };
        if let Some(snapshot) = &snapshot {
            log_thread.restore(snapshot)?;
        }
        log_thread.publish();
        Ok(log_thread)
    }

    fn run(&mut self, inbox: &mpsc::Receiver<Task>) -> eyre::Result<()> {
        let mut next_tick = boot_time();
        loop {
            let wait = next_tick.saturating_sub(boot_time());
            let first = match inbox.recv_timeout(wait) {
                Ok(task) => Some(task),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let mut inputs = Vec::new();
            for task in first.into_iter().chain(inbox.try_iter().take(MAX_BATCH_TASKS)) {
                if matches!(task, Task::Stop) {
                    return Ok(());
                }
                self.add_input(task, &mut inputs);
            }
            // The tick comes after the messages, so that a replica that was suspended processes the
            // queued heartbeats before its election timeout can expire.
            if boot_time() >= next_tick {
                next_tick = boot_time() + TICK_INTERVAL;
                inputs.push(Input::Tick);
            }
            self.step(inputs)?;
            self.snapshot_if_due()?;
            self.publish();
        }
    }

    fn add_input(&mut self, task: Task, inputs: &mut Vec<Input>) {
        match task {
            Task::Propose(payload, reply_sender) => {
                let token = self.register(reply_sender);
                inputs.push(Input::Propose { token, payload });
            }
            Task::Read(reply_sender) => {
                let token = self.register(reply_sender);
                inputs.push(Input::Read { token });
            }
            Task::Change(change, reply_sender) => {
                let token = self.register(reply_sender);
                inputs.push(Input::Change { token, change });
            }
            Task::Messages(messages) => inputs.extend(messages.into_iter().map(Input::Message)),
            Task::Transfer(to) => inputs.push(Input::Transfer { to }),
            Task::Stop => {}
        }
    }

    /// Registers a caller that waits for a reply and returns its token.
    fn register(&mut self, reply_sender: ReplySender) -> u64 {
        self.last_token += 1;
        self.pending_replies.insert(self.last_token, reply_sender);
        self.last_token
    }

    /// Passes the inputs to the replica and processes its outputs until the store returns no more
    /// inputs.
    fn step(&mut self, mut inputs: Vec<Input>) -> eyre::Result<()> {
        while !inputs.is_empty() {
            let mut output = self.replica.step_all(inputs, boot_time());
            self.send(std::mem::take(&mut output.messages));
            let written =
                self.store.write(&mut output).wrap_err("failed to write to the log storage")?;
            for input in &written.inputs {
                if let Input::DiskFull(full) = input {
                    info!(self.log, "disk space status changed"; "full" => full);
                }
            }
            self.send(written.after_sync);
            self.apply_output(output)?;
            inputs = written.inputs;
        }
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            // The protocol resends messages that a full queue drops.
            let _ = self.outbox.try_send(message);
        }
    }

    fn apply_output(&mut self, output: Output) -> eyre::Result<()> {
        if let Some(snapshot) = &output.install {
            self.restore(snapshot)?;
        }
        for entry in output.committed {
            self.applied = entry.index;
            let Payload::Command(bytes) = entry.payload else { continue };
            self.bytes_since_snapshot += bytes.len();
            let command: Command = postcard::from_bytes(&bytes)
                .wrap_err_with(|| format!("log entry {} is not a valid command", entry.index))?;
            self.machine.apply(command);
        }
        if !output.replies.is_empty() {
            // The callers read the published state after their reply.
            self.publish();
        }
        for reply in output.replies {
            let Some(reply_sender) = self.pending_replies.remove(&reply.token) else { continue };
            // The caller may have stopped waiting.
            let _ = reply_sender.send(match reply.outcome {
                Outcome::Committed { index } | Outcome::ReadReady { index } => Reply::At(index),
                Outcome::NotLeader { .. } => Reply::NotLeader,
                Outcome::Refused(refusal) => Reply::Refused(refusal),
                Outcome::LeadershipLost => Reply::Unknown,
            });
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        self.machine = Machine::restore(&snapshot.data).wrap_err_with(|| {
            format!("cannot restore the snapshot at log index {}", snapshot.index)
        })?;
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        info!(self.log, "state restored from a snapshot"; "index" => snapshot.index);
        Ok(())
    }

    fn snapshot_if_due(&mut self) -> eyre::Result<()> {
        let due = self.applied - self.snapshot_index >= SNAPSHOT_ENTRIES
            || self.bytes_since_snapshot >= SNAPSHOT_BYTES;
        if !due || self.applied == self.snapshot_index {
            return Ok(());
        }
        self.snapshot_index = self.applied;
        self.bytes_since_snapshot = 0;
        let data = self.machine.snapshot();
        info!(self.log, "snapshot taken"; "index" => self.applied, "bytes" => data.len());
        self.step(vec![Input::Snapshot { index: self.applied, data }])
    }

    fn publish(&mut self) {
        let replica = &self.replica;
        let (role, term) = (replica.role(), replica.term());
        let members = replica.members().iter().map(|member| 1 + usize::from(member.voter)).sum();
        let current = (self.applied, replica.last_index(), role, term, replica.leader(), members);
        if current == self.published {
            return;
        }
        let (old_role, old_leader, old_members) =
            (self.published.2, self.published.4, self.published.5);
        if (role, replica.leader(), members) != (old_role, old_leader, old_members) {
            info!(self.log, "role, leader or members changed"; "role" => ?role, "term" => term,
                "leader" => replica.leader_member().map(|leader| leader.address.to_string()),
                "voters" => replica.members().voters().count(),
                "members" => replica.members().len(), "applied" => self.applied);
        }
        self.published = current;
        self.state.send_replace(Arc::new(replica_state(replica, &self.machine, self.applied)));
    }
}

fn replica_state(replica: &Replica, machine: &Machine, applied: u64) -> ReplicaState {
    ReplicaState {
        id: replica.id(),
        applied,
        last: replica.last_index(),
        machine: machine.clone(),
        members: replica.members().clone(),
        role: replica.role(),
        term: replica.term(),
        leader: replica.leader_member().cloned(),
    }
}
