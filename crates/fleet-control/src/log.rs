//! The thread that owns the replicated log and its disk.
//!
//! Tasks arrive in a bounded queue. The thread takes all that wait into one step of the replica,
//! syncs once, sends messages, applies what is committed, publishes [`Agreed`] and answers.

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

/// Time between two ticks: a quarter of the heartbeat, as the log expects.
const TICK: Duration = Duration::from_millis(30);

/// Tasks that wait for the thread; more are refused.
const QUEUE: usize = 1_024;

/// Most tasks taken into one step.
const MAX_STEP: usize = 256;

/// Applied bytes after which a snapshot is written: a fraction of the smallest disk.
const SNAPSHOT_BYTES: usize = 4 << 20;

/// Applied entries after which a snapshot is written.
const SNAPSHOT_ENTRIES: u64 = 512;

/// What the replicas agree on, as far as this replica knows, and its place among them.
#[derive(Clone, Debug)]
pub struct Agreed {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Index of the newest applied entry.
    pub applied: u64,
    /// Last index of the log, committed or not.
    pub last: u64,
    /// The agreed state.
    pub machine: Machine,
    /// Newest member set.
    pub members: Members,
    /// What this replica does.
    pub role: Role,
    /// Term.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<Member>,
}

/// Answer to a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Committed and applied, or confirmed, at this index.
    At(u64),
    /// This replica does not lead; nothing was done.
    NotLeader,
    /// Nothing was done.
    Refused(consensus::core::Refusal),
    /// The outcome is unknown.
    Unknown,
}

type Answer = oneshot::Sender<Reply>;

enum Task {
    Propose(Vec<u8>, Answer),
    Read(Answer),
    Change(MemberChange, Answer),
    Messages(Vec<Message>),
    Transfer,
    Stop,
}

/// Handle to the thread.
#[derive(Clone)]
pub struct Log {
    tasks: mpsc::SyncSender<Task>,
    /// The published state.
    pub agreed: watch::Receiver<Arc<Agreed>>,
}

impl Log {
    /// Proposes a command and waits until it is applied.
    pub async fn propose(&self, command: Vec<u8>) -> Reply {
        self.ask(|answer| Task::Propose(command, answer)).await
    }

    /// Confirms the leadership of this replica with a quorum.
    pub async fn read(&self) -> Reply {
        self.ask(Task::Read).await
    }

    /// Changes the members.
    pub async fn change(&self, change: MemberChange) -> Reply {
        self.ask(|answer| Task::Change(change, answer)).await
    }

    /// Takes in messages of other replicas. The log repeats what a full queue drops.
    pub fn messages(&self, messages: Vec<Message>) {
        let _ = self.tasks.try_send(Task::Messages(messages));
    }

    /// Hands leadership over, if this replica leads.
    pub fn transfer(&self) {
        let _ = self.tasks.try_send(Task::Transfer);
    }

    /// Ends the thread.
    pub fn stop(&self) {
        let _ = self.tasks.try_send(Task::Stop);
    }

    async fn ask(&self, task: impl FnOnce(Answer) -> Task) -> Reply {
        let (answer, reply) = oneshot::channel();
        if self.tasks.try_send(task(answer)).is_err() {
            return Reply::Refused(consensus::core::Refusal::Busy);
        }
        reply.await.unwrap_or(Reply::Unknown)
    }
}

/// How a log is started.
pub struct Start<'a> {
    /// Folder of the log.
    pub data: &'a Path,
    /// Settings of the log.
    pub settings: consensus::Settings,
    /// First members and this replica's identity among them, if the deployment starts for the
    /// first time and this replica is one of them.
    pub first: Option<(ReplicaId, Members)>,
    /// Receives messages to other replicas.
    pub outbox: tokio::sync::mpsc::Sender<Message>,
    /// Log of the process.
    pub log: Logger,
}

/// Opens the log and starts its thread. The receiver gets the reason if the thread ends because
/// the disk can't be trusted.
pub fn start(start: Start<'_>) -> eyre::Result<(Log, oneshot::Receiver<eyre::Report>)> {
    let Start { data, settings, first, outbox, log } = start;
    let folder = Folder::open(data).wrap_err("cannot open the data folder")?;
    let new_id = || first.as_ref().map_or_else(|| ReplicaId(rand::random()), |(id, _)| *id);
    let (store, restored) = Store::open_disk(Box::new(folder), &settings, new_id)?;
    info!(log, "log is open"; "replica" => %restored.id, "term" => restored.term,
        "snapshot" => restored.snapshot.as_ref().map_or(0, |one| one.index),
        "entries" => restored.entries.len());
    let (tasks, inbox) = mpsc::sync_channel(QUEUE);
    let mut owner = Owner::new(settings, store, restored, outbox, log)?;
    if let Some((id, members)) = first
        && id == owner.replica.id()
    {
        owner.step(vec![Input::Bootstrap { members }])?;
    }
    let agreed = owner.agreed.subscribe();
    let (failed, failure) = oneshot::channel();
    std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
        if let Err(cause) = owner.run(&inbox) {
            // The process is stopping already if nobody listens.
            let _ = failed.send(cause);
        }
    })?;
    Ok((Log { tasks, agreed }, failure))
}

struct Owner {
    replica: Replica,
    store: Store,
    machine: Machine,
    waiting: HashMap<u64, Answer>,
    tokens: u64,
    applied: u64,
    snapshot_at: u64,
    bytes_since_snapshot: usize,
    published: (u64, u64, Role, u64, Option<ReplicaId>, usize),
    agreed: watch::Sender<Arc<Agreed>>,
    outbox: tokio::sync::mpsc::Sender<Message>,
    log: Logger,
}

impl Owner {
    fn new(
        settings: consensus::Settings,
        store: Store,
        restored: Restored,
        outbox: tokio::sync::mpsc::Sender<Message>,
        log: Logger,
    ) -> eyre::Result<Self> {
        let snapshot = restored.snapshot.clone();
        let replica = Replica::new(settings, restored, rand::random());
        let mut owner = Self {
            agreed: watch::Sender::new(Arc::new(agreed(&replica, &Machine::default(), 0))),
            replica,
            store,
            machine: Machine::default(),
            waiting: HashMap::new(),
            tokens: 0,
            applied: 0,
            snapshot_at: 0,
            bytes_since_snapshot: 0,
            published: (0, 0, Role::Learner, 0, None, 0),
            outbox,
            log,
        };
        if let Some(snapshot) = &snapshot {
            owner.restore(snapshot)?;
        }
        owner.publish();
        Ok(owner)
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
            for task in first.into_iter().chain(inbox.try_iter().take(MAX_STEP)) {
                if matches!(task, Task::Stop) {
                    return Ok(());
                }
                self.accept(task, &mut inputs);
            }
            // After the messages: a replica that was suspended reads what waits for it before it
            // takes the leader for lost.
            if boot_time() >= next_tick {
                next_tick = boot_time() + TICK;
                inputs.push(Input::Tick);
            }
            self.step(inputs)?;
            self.compact()?;
            self.publish();
        }
    }

    fn accept(&mut self, task: Task, inputs: &mut Vec<Input>) {
        match task {
            Task::Propose(payload, answer) => {
                let token = self.wait(answer);
                inputs.push(Input::Propose { token, payload });
            }
            Task::Read(answer) => {
                let token = self.wait(answer);
                inputs.push(Input::Read { token });
            }
            Task::Change(change, answer) => {
                let token = self.wait(answer);
                inputs.push(Input::Change { token, change });
            }
            Task::Messages(messages) => inputs.extend(messages.into_iter().map(Input::Message)),
            Task::Transfer => inputs.push(Input::Transfer { to: None }),
            Task::Stop => {}
        }
    }

    fn wait(&mut self, answer: Answer) -> u64 {
        self.tokens += 1;
        self.waiting.insert(self.tokens, answer);
        self.tokens
    }

    /// Feeds the inputs and carries out the outputs until nothing is left to do.
    fn step(&mut self, mut inputs: Vec<Input>) -> eyre::Result<()> {
        while !inputs.is_empty() {
            let mut output = self.replica.step_all(inputs, boot_time());
            self.send(std::mem::take(&mut output.messages));
            let written = self.store.write(&mut output).wrap_err("the store failed")?;
            for input in &written.inputs {
                if let Input::DiskFull(full) = input {
                    info!(self.log, "space on the disk changed"; "full" => full);
                }
            }
            self.send(written.after_sync);
            self.finish(output)?;
            inputs = written.inputs;
        }
        Ok(())
    }

    fn send(&self, messages: Vec<Message>) {
        for message in messages {
            // The log repeats what a full queue drops.
            let _ = self.outbox.try_send(message);
        }
    }

    fn finish(&mut self, output: Output) -> eyre::Result<()> {
        if let Some(snapshot) = &output.install {
            self.restore(snapshot)?;
        }
        for entry in output.committed {
            self.applied = entry.index;
            let Payload::Command(bytes) = entry.payload else { continue };
            self.bytes_since_snapshot += bytes.len();
            let command: Command = postcard::from_bytes(&bytes)
                .wrap_err_with(|| format!("entry {} of the log is not a command", entry.index))?;
            self.machine.apply(command);
        }
        if !output.replies.is_empty() {
            // Those who wait read the published state.
            self.publish();
        }
        for reply in output.replies {
            let Some(answer) = self.waiting.remove(&reply.token) else { continue };
            // Those who wait may have given up.
            let _ = answer.send(match reply.outcome {
                Outcome::Committed { index } | Outcome::ReadReady { index } => Reply::At(index),
                Outcome::NotLeader { .. } => Reply::NotLeader,
                Outcome::Refused(refusal) => Reply::Refused(refusal),
                Outcome::LeadershipLost => Reply::Unknown,
            });
        }
        Ok(())
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        self.machine = Machine::restore(&snapshot.data)
            .wrap_err_with(|| format!("the snapshot at {} is not usable", snapshot.index))?;
        self.applied = snapshot.index;
        self.snapshot_at = snapshot.index;
        self.bytes_since_snapshot = 0;
        info!(self.log, "state restored from a snapshot"; "index" => snapshot.index);
        Ok(())
    }

    fn compact(&mut self) -> eyre::Result<()> {
        let due = self.applied - self.snapshot_at >= SNAPSHOT_ENTRIES
            || self.bytes_since_snapshot >= SNAPSHOT_BYTES;
        if !due || self.applied == self.snapshot_at {
            return Ok(());
        }
        self.snapshot_at = self.applied;
        self.bytes_since_snapshot = 0;
        let data = self.machine.snapshot();
        info!(self.log, "snapshot taken"; "index" => self.applied, "bytes" => data.len());
        self.step(vec![Input::Snapshot { index: self.applied, data }])
    }

    fn publish(&mut self) {
        let replica = &self.replica;
        let (role, term) = (replica.role(), replica.term());
        let members = replica.members().iter().map(|one| 1 + usize::from(one.voter)).sum();
        let now = (self.applied, replica.last_index(), role, term, replica.leader(), members);
        if now == self.published {
            return;
        }
        let (old_role, old_leader, old_members) =
            (self.published.2, self.published.4, self.published.5);
        if (role, replica.leader(), members) != (old_role, old_leader, old_members) {
            info!(self.log, "standing changed"; "role" => ?role, "term" => term,
                "leader" => replica.leader_member().map(|one| one.address.to_string()),
                "voters" => replica.members().voters().count(),
                "members" => replica.members().len(), "applied" => self.applied);
        }
        self.published = now;
        self.agreed.send_replace(Arc::new(agreed(replica, &self.machine, self.applied)));
    }
}

fn agreed(replica: &Replica, machine: &Machine, applied: u64) -> Agreed {
    Agreed {
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
