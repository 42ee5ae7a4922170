//! The loop of the control-state thread.

use std::collections::HashMap;
use std::sync::mpsc;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use hickoryreel_base::time::unix_millis;
use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::Snapshot;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Output;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Reply;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::storage;
use hickoryreel_consensus::storage::Restored;
use hickoryreel_consensus::storage::Store;
use hickoryreel_state::command::Command;
use hickoryreel_state::machine;
use hickoryreel_state::machine::Machine;
use slog::error;
use slog::info;
use slog::warn;

use super::Context;
use super::Reader;
use super::Task;
use super::View;
use super::waiters;
use super::waiters::Waiter;
use super::waiters::Waiters;

/// Interval between two ticks. The log expects a quarter of the heartbeat interval.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum number of queued tasks in one step. The limit keeps a constantly full inbox from
/// delaying the messages to other replicas.
const MAX_TASKS_PER_STEP: usize = 4096;

/// Owns the log, its store and the state machine.
pub(super) struct Owner {
    context: Context,
    started_at: Instant,
    replica: Replica,
    store: Store,
    machine: Machine,
    waiters: Waiters,
    /// Reads that are started at the next tick.
    batched: Vec<Reader>,
    first_members: Option<Members>,
    applied: u64,
    snapshot_index: u64,
    bytes_since_snapshot: usize,
    /// Output that could not be persisted because the disk is full. It is persisted first when
    /// there is space again.
    deferred: Option<Output>,
    last_role_and_term: (Role, u64),
}

impl Owner {
    pub(super) fn new(context: Context, store: Store, restored: Restored) -> eyre::Result<Self> {
        let mut owner = Self {
            started_at: Instant::now(),
            first_members: first_members(&restored.entries),
            machine: Machine::default(),
            waiters: Waiters::default(),
            batched: Vec::new(),
            applied: 0,
            snapshot_index: 0,
            bytes_since_snapshot: 0,
            deferred: None,
            last_role_and_term: (Role::Learner, 0),
            replica: Replica::new(context.consensus.clone(), restored.clone(), rand::random()),
            store,
            context,
        };
        if let Some(snapshot) = &restored.snapshot {
            owner.restore(snapshot)?;
        }
        info!(owner.context.log, "log is open"; "replica" => %restored.id, "term" => restored.term,
            "snapshot" => owner.snapshot_index, "entries" => restored.entries.len());
        Ok(owner)
    }

    /// Runs until [`Task::Stop`]. An error means that the state on disk can no longer be relied on.
    pub(super) fn run(&mut self, inbox: &mpsc::Receiver<Task>) -> eyre::Result<()> {
        let mut next_tick = Instant::now();
        loop {
            let wait = next_tick.saturating_duration_since(Instant::now());
            let first = match inbox.recv_timeout(wait) {
                Ok(task) => Some(task),
                Err(mpsc::RecvTimeoutError::Timeout) => None,
                Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let mut inputs = Vec::new();
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + TICK_INTERVAL;
                inputs.push(Input::Tick);
                for reader in std::mem::take(&mut self.batched) {
                    let token = self.waiters.add(Waiter::Read(reader));
                    inputs.push(Input::Read { token });
                }
                self.retry_deferred()?;
            }
            for task in first.into_iter().chain(inbox.try_iter().take(MAX_TASKS_PER_STEP)) {
                if matches!(task, Task::Stop) {
                    return Ok(());
                }
                self.accept_task(task, &mut inputs);
            }
            self.step(inputs)?;
            self.snapshot_if_due()?;
            self.update_metrics();
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn accept_task(&mut self, task: Task, inputs: &mut Vec<Input>) {
        match task {
            Task::Propose { action, reply_to } => {
                let command = Command { at_ms: unix_millis(), action };
                let payload = postcard::to_stdvec(&command).unwrap_or_default();
                let token = self.waiters.add(Waiter::Propose(reply_to));
                inputs.push(Input::Propose { token, payload });
            }
            Task::ChangeMembers { change, reply_to } => {
                let token = self.waiters.add(Waiter::ChangeMembers(reply_to));
                inputs.push(Input::Change { token, change });
            }
            Task::Read(reader) => {
                let token = self.waiters.add(Waiter::Read(reader));
                inputs.push(Input::Read { token });
            }
            Task::BatchedRead(reader) => self.batched.push(reader),
            Task::LocalRead(reader) => reader(Ok(self.view())),
            Task::Receive(messages) => inputs.extend(messages.into_iter().map(Input::Message)),
            Task::Bootstrap(members) => {
                self.first_members.get_or_insert_with(|| members.clone());
                inputs.push(Input::Bootstrap { members });
            }
            Task::TransferLeadership => inputs.push(Input::Transfer { to: None }),
            Task::Stop => {}
        }
    }

    fn view(&self) -> View<'_> {
        View {
            machine: &self.machine,
            replica: &self.replica,
            first_members: self.first_members.as_ref(),
            now: self.now(),
        }
    }

    /// Passes the inputs to the log and processes its outputs until nothing is left to persist.
    fn step(&mut self, inputs: Vec<Input>) -> eyre::Result<()> {
        if inputs.is_empty() {
            return Ok(());
        }
        let mut output = self.replica.step_all(inputs, self.now());
        loop {
            let Some(up_to) = self.process_output(output)? else { return Ok(()) };
            output = self.replica.step(Input::Persisted { up_to }, self.now());
        }
    }

    /// Sends the messages of an output, persists its records and finishes it. Returns the sequence
    /// number to report as persisted, if there were records.
    fn process_output(&mut self, mut output: Output) -> eyre::Result<Option<u64>> {
        self.context.outbox.send(self.replica.members(), std::mem::take(&mut output.messages));
        if self.deferred.is_some() {
            self.send_independent_replies(&mut output);
            if let Some(deferred) = &mut self.deferred {
                deferred.merge(output);
            }
            return Ok(None);
        }
        if !output.records.is_empty() || output.snapshot.is_some() || output.install.is_some() {
            let started = Instant::now();
            match self.store.persist(&output) {
                Ok(()) => {
                    self.context.metrics.sync_duration.observe(started.elapsed().as_secs_f64())
                }
                Err(storage::Error::Full) => return Ok(self.defer(output)),
                Err(cause) => return Err(cause).wrap_err("the store of the log failed"),
            }
        }
        let persisted = (!output.records.is_empty()).then_some(output.sequence);
        self.finish_output(output)?;
        Ok(persisted)
    }

    /// Processes the part of an output that requires its records to be durable.
    fn finish_output(&mut self, output: Output) -> eyre::Result<()> {
        self.context.outbox.send(self.replica.members(), output.after_sync);
        if let Some(snapshot) = &output.install {
            self.restore(snapshot)?;
        }
        let mut outcomes = HashMap::new();
        for entry in output.committed {
            let index = entry.index;
            if let Some(outcome) = self.apply(entry)? {
                outcomes.insert(index, outcome);
            }
        }
        for reply in output.replies {
            self.send_reply(reply, &mut outcomes);
        }
        Ok(())
    }

    fn defer(&mut self, output: Output) -> Option<u64> {
        warn!(self.context.log, "disk is full; refusing writes");
        self.deferred = Some(output);
        let disk_full_output = self.replica.step(Input::DiskFull(true), self.now());
        self.context.outbox.send(self.replica.members(), disk_full_output.messages.clone());
        if let Some(deferred) = &mut self.deferred {
            deferred.merge(Output { messages: Vec::new(), ..disk_full_output });
        }
        None
    }

    /// Sends the replies that do not depend on the records of the deferred output.
    fn send_independent_replies(&mut self, output: &mut Output) {
        let applied = self.applied;
        let (independent, dependent) =
            output.replies.drain(..).partition(|reply| match reply.outcome {
                Outcome::Committed { .. } => false,
                Outcome::ReadReady { index } => index <= applied,
                _ => true,
            });
        output.replies = dependent;
        let independent: Vec<Reply> = independent;
        for reply in independent {
            self.send_reply(reply, &mut HashMap::new());
        }
    }

    fn retry_deferred(&mut self) -> eyre::Result<()> {
        let Some(output) = self.deferred.take() else { return Ok(()) };
        match self.store.persist(&output) {
            Ok(()) => {
                info!(self.context.log, "disk has space again; accepting writes");
                let up_to = output.sequence;
                self.finish_output(output)?;
                self.step(vec![Input::DiskFull(false), Input::Persisted { up_to }])
            }
            Err(storage::Error::Full) => {
                self.deferred = Some(output);
                Ok(())
            }
            Err(cause) => Err(cause).wrap_err("the store of the log failed"),
        }
    }

    fn apply(&mut self, entry: Entry) -> eyre::Result<Option<machine::Outcome>> {
        self.applied = entry.index;
        let Payload::Command(bytes) = entry.payload else { return Ok(None) };
        self.bytes_since_snapshot += bytes.len();
        self.context.metrics.commits.inc();
        let command: Command = postcard::from_bytes(&bytes)
            .wrap_err_with(|| format!("log entry {} is not a valid command", entry.index))?;
        Ok(Some(self.machine.apply(entry.index, &command)))
    }

    fn send_reply(&mut self, reply: Reply, outcomes: &mut HashMap<u64, machine::Outcome>) {
        let Some(waiter) = self.waiters.take(reply.token) else { return };
        if let Some(failure) = waiters::failure_of(&reply.outcome) {
            return waiter.fail(failure);
        }
        // Sending fails if the caller no longer waits.
        match waiter {
            Waiter::Read(reader) => reader(Ok(self.view())),
            Waiter::ChangeMembers(reply_to) => drop(reply_to.send(Ok(()))),
            Waiter::Propose(reply_to) => {
                let Outcome::Committed { index } = reply.outcome else { return };
                if let Some(outcome) = outcomes.remove(&index) {
                    let _ = reply_to.send(Ok(outcome));
                }
            }
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        self.machine = Machine::restore(&snapshot.data)
            .wrap_err_with(|| format!("cannot restore the snapshot at index {}", snapshot.index))?;
        self.applied = snapshot.index;
        self.snapshot_index = snapshot.index;
        self.bytes_since_snapshot = 0;
        info!(self.context.log, "state restored from a snapshot"; "index" => snapshot.index);
        Ok(())
    }

    /// Writes a snapshot if enough entries or bytes were applied since the last one.
    fn snapshot_if_due(&mut self) -> eyre::Result<()> {
        let due = self.applied - self.snapshot_index >= self.context.snapshot_entries
            || self.bytes_since_snapshot >= self.context.snapshot_bytes;
        if !due || self.deferred.is_some() || self.applied == self.snapshot_index {
            return Ok(());
        }
        let started = Instant::now();
        let data = self.machine.snapshot();
        let (index, bytes) = (self.applied, data.len());
        self.snapshot_index = index;
        self.bytes_since_snapshot = 0;
        self.step(vec![Input::Snapshot { index, data }])?;
        info!(self.context.log, "snapshot written"; "index" => index, "bytes" => bytes,
            "ms" => u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
        Ok(())
    }

    fn update_metrics(&mut self) {
        let metrics = &self.context.metrics;
        let role_and_term = (self.replica.role(), self.replica.term());
        metrics.leader_known.set(i64::from(self.replica.leader().is_some()));
        metrics.leading.set(i64::from(role_and_term.0 == Role::Leader));
        metrics.term.set(i64::try_from(role_and_term.1).unwrap_or(i64::MAX));
        metrics.applied.set(i64::try_from(self.applied).unwrap_or(i64::MAX));
        let revision = self.machine.config().revision;
        metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        if role_and_term != self.last_role_and_term {
            self.last_role_and_term = role_and_term;
            info!(self.context.log, "role changed"; "role" => ?role_and_term.0,
                "term" => role_and_term.1, "revision" => revision);
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        if self.deferred.is_some() {
            error!(self.context.log, "stopped while the disk was full");
        }
    }
}

/// The initial members, which are in the entry with index 1, if the log still has it.
fn first_members(entries: &[Entry]) -> Option<Members> {
    match entries.first() {
        Some(Entry { index: 1, payload: Payload::Members(members), .. }) => Some(members.clone()),
        _ => None,
    }
}
