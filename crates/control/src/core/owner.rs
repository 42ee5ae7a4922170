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

use super::Reader;
use super::Start;
use super::Task;
use super::View;
use super::waiting;
use super::waiting::Waiter;
use super::waiting::Waiting;

/// Time between two ticks: a quarter of the heartbeat, as the log expects.
const TICK: Duration = Duration::from_millis(25);

/// Most tasks taken into one step, so that messages don't wait behind an endless inbox.
const MAX_STEP: usize = 4096;

/// Owner of the log, its store and the state machine.
pub(super) struct Owner {
    start: Start,
    origin: Instant,
    replica: Replica,
    store: Store,
    machine: Machine,
    waiting: Waiting,
    /// Reads that wait for the next tick.
    batched: Vec<Reader>,
    first_members: Option<Members>,
    applied: u64,
    snapshot_at: u64,
    bytes_since_snapshot: usize,
    /// Output that the full disk refused. It is persisted first when there is space again.
    held: Option<Output>,
    last_standing: (Role, u64),
}

impl Owner {
    pub(super) fn new(start: Start, store: Store, restored: Restored) -> eyre::Result<Self> {
        let mut owner = Self {
            origin: Instant::now(),
            first_members: first_members(&restored.entries),
            machine: Machine::default(),
            waiting: Waiting::default(),
            batched: Vec::new(),
            applied: 0,
            snapshot_at: 0,
            bytes_since_snapshot: 0,
            held: None,
            last_standing: (Role::Learner, 0),
            replica: Replica::new(start.consensus.clone(), restored.clone(), rand::random()),
            store,
            start,
        };
        if let Some(snapshot) = &restored.snapshot {
            owner.restore(snapshot)?;
        }
        info!(owner.start.log, "log is open"; "replica" => %restored.id, "term" => restored.term,
            "snapshot" => owner.snapshot_at, "entries" => restored.entries.len());
        Ok(owner)
    }

    /// Works until told to stop. An error means that the disk can't be trusted any more.
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
                next_tick = Instant::now() + TICK;
                inputs.push(Input::Tick);
                for reader in std::mem::take(&mut self.batched) {
                    let token = self.waiting.add(Waiter::Read(reader));
                    inputs.push(Input::Read { token });
                }
                self.retry_held()?;
            }
            for task in first.into_iter().chain(inbox.try_iter().take(MAX_STEP)) {
                if matches!(task, Task::Stop) {
                    return Ok(());
                }
                self.accept(task, &mut inputs);
            }
            self.step(inputs)?;
            self.compact()?;
            self.report();
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn accept(&mut self, task: Task, inputs: &mut Vec<Input>) {
        match task {
            Task::Propose { action, reply } => {
                let command = Command { at_ms: unix_millis(), action };
                let payload = postcard::to_stdvec(&command).unwrap_or_default();
                let token = self.waiting.add(Waiter::Propose(reply));
                inputs.push(Input::Propose { token, payload });
            }
            Task::Change { change, reply } => {
                let token = self.waiting.add(Waiter::Change(reply));
                inputs.push(Input::Change { token, change });
            }
            Task::Read(reader) => {
                let token = self.waiting.add(Waiter::Read(reader));
                inputs.push(Input::Read { token });
            }
            Task::BatchedRead(reader) => self.batched.push(reader),
            Task::Inspect(reader) => reader(Ok(self.view())),
            Task::Messages(messages) => inputs.extend(messages.into_iter().map(Input::Message)),
            Task::Bootstrap(members) => {
                self.first_members.get_or_insert_with(|| members.clone());
                inputs.push(Input::Bootstrap { members });
            }
            Task::Transfer => inputs.push(Input::Transfer { to: None }),
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

    /// Feeds the inputs and carries out the outputs until nothing is left to persist.
    fn step(&mut self, inputs: Vec<Input>) -> eyre::Result<()> {
        if inputs.is_empty() {
            return Ok(());
        }
        let mut output = self.replica.step_all(inputs, self.now());
        loop {
            let Some(up_to) = self.carry_out(output)? else { return Ok(()) };
            output = self.replica.step(Input::Persisted { up_to }, self.now());
        }
    }

    /// Carries out an output. Returns the number to report as persisted, if there were records.
    fn carry_out(&mut self, mut output: Output) -> eyre::Result<Option<u64>> {
        self.start.outbox.send(self.replica.members(), std::mem::take(&mut output.messages));
        if self.held.is_some() {
            self.answer_early(&mut output);
            if let Some(held) = &mut self.held {
                held.merge(output);
            }
            return Ok(None);
        }
        if !output.records.is_empty() || output.snapshot.is_some() || output.install.is_some() {
            let started = Instant::now();
            match self.store.persist(&output) {
                Ok(()) => self.start.metrics.sync.observe(started.elapsed().as_secs_f64()),
                Err(storage::Error::Full) => return Ok(self.hold(output)),
                Err(cause) => return Err(cause).wrap_err("the store of the log failed"),
            }
        }
        let persisted = (!output.records.is_empty()).then_some(output.sequence);
        self.finish(output)?;
        Ok(persisted)
    }

    /// The part of an output after its records are durable.
    fn finish(&mut self, output: Output) -> eyre::Result<()> {
        self.start.outbox.send(self.replica.members(), output.after_sync);
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
            self.answer(reply, &mut outcomes);
        }
        Ok(())
    }

    fn hold(&mut self, output: Output) -> Option<u64> {
        warn!(self.start.log, "the disk is full; writes are refused");
        self.held = Some(output);
        let full = self.replica.step(Input::DiskFull(true), self.now());
        self.start.outbox.send(self.replica.members(), full.messages.clone());
        if let Some(held) = &mut self.held {
            held.merge(Output { messages: Vec::new(), ..full });
        }
        None
    }

    /// Answers what doesn't depend on the records of a held output.
    fn answer_early(&mut self, output: &mut Output) {
        let applied = self.applied;
        let (early, late) = output.replies.drain(..).partition(|reply| match reply.outcome {
            Outcome::Committed { .. } => false,
            Outcome::ReadReady { index } => index <= applied,
            _ => true,
        });
        output.replies = late;
        let early: Vec<Reply> = early;
        for reply in early {
            self.answer(reply, &mut HashMap::new());
        }
    }

    fn retry_held(&mut self) -> eyre::Result<()> {
        let Some(output) = self.held.take() else { return Ok(()) };
        match self.store.persist(&output) {
            Ok(()) => {
                info!(self.start.log, "the disk has space again");
                let up_to = output.sequence;
                self.finish(output)?;
                self.step(vec![Input::DiskFull(false), Input::Persisted { up_to }])
            }
            Err(storage::Error::Full) => {
                self.held = Some(output);
                Ok(())
            }
            Err(cause) => Err(cause).wrap_err("the store of the log failed"),
        }
    }

    fn apply(&mut self, entry: Entry) -> eyre::Result<Option<machine::Outcome>> {
        self.applied = entry.index;
        let Payload::Command(bytes) = entry.payload else { return Ok(None) };
        self.bytes_since_snapshot += bytes.len();
        self.start.metrics.commits.inc();
        let command: Command = postcard::from_bytes(&bytes)
            .wrap_err_with(|| format!("entry {} of the log is not a command", entry.index))?;
        Ok(Some(self.machine.apply(entry.index, &command)))
    }

    fn answer(&mut self, reply: Reply, outcomes: &mut HashMap<u64, machine::Outcome>) {
        let Some(waiter) = self.waiting.take(reply.token) else { return };
        if let Some(failure) = waiting::failure(&reply.outcome) {
            return waiter.fail(failure);
        }
        // Those who wait may have given up.
        match waiter {
            Waiter::Read(reader) => reader(Ok(self.view())),
            Waiter::Change(answer) => drop(answer.send(Ok(()))),
            Waiter::Propose(answer) => {
                let Outcome::Committed { index } = reply.outcome else { return };
                if let Some(outcome) = outcomes.remove(&index) {
                    let _ = answer.send(Ok(outcome));
                }
            }
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        self.machine = Machine::restore(&snapshot.data)
            .wrap_err_with(|| format!("the snapshot at {} is not usable", snapshot.index))?;
        self.applied = snapshot.index;
        self.snapshot_at = snapshot.index;
        self.bytes_since_snapshot = 0;
        info!(self.start.log, "state restored from a snapshot"; "index" => snapshot.index);
        Ok(())
    }

    /// Writes a snapshot when enough was applied since the last one.
    fn compact(&mut self) -> eyre::Result<()> {
        let due = self.applied - self.snapshot_at >= self.start.snapshot_entries
            || self.bytes_since_snapshot >= self.start.snapshot_bytes;
        if !due || self.held.is_some() || self.applied == self.snapshot_at {
            return Ok(());
        }
        let started = Instant::now();
        let data = self.machine.snapshot();
        let (index, bytes) = (self.applied, data.len());
        self.snapshot_at = index;
        self.bytes_since_snapshot = 0;
        self.step(vec![Input::Snapshot { index, data }])?;
        info!(self.start.log, "snapshot written"; "index" => index, "bytes" => bytes,
            "ms" => u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX));
        Ok(())
    }

    fn report(&mut self) {
        let metrics = &self.start.metrics;
        let standing = (self.replica.role(), self.replica.term());
        metrics.leader_known.set(i64::from(self.replica.leader().is_some()));
        metrics.leading.set(i64::from(standing.0 == Role::Leader));
        metrics.term.set(i64::try_from(standing.1).unwrap_or(i64::MAX));
        metrics.applied.set(i64::try_from(self.applied).unwrap_or(i64::MAX));
        let revision = self.machine.config().revision;
        metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        if standing != self.last_standing {
            self.last_standing = standing;
            info!(self.start.log, "role changed"; "role" => ?standing.0, "term" => standing.1,
                "revision" => revision);
        }
    }
}

impl Drop for Owner {
    fn drop(&mut self) {
        if self.held.is_some() {
            error!(self.start.log, "stopped while the disk was full");
        }
    }
}

/// The members that the first entry names, if the log still has it.
fn first_members(entries: &[Entry]) -> Option<Members> {
    match entries.first() {
        Some(Entry { index: 1, payload: Payload::Members(members), .. }) => Some(members.clone()),
        _ => None,
    }
}
