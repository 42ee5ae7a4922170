//! Deterministic simulation of a cluster, with network, machine and disk faults.
//!
//! [`Sim`] owns the replicas and a queue of events in virtual time. The caller sends inputs,
//! injects faults and advances the time. [`Invariants`] panics if an invariant is violated. Runs
//! with the same seed and the same calls are identical.

mod disk;
mod invariants;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::Member;
use crate::Members;
use crate::Message;
use crate::Payload;
use crate::ReplicaId;
use crate::Settings;
use crate::core::Input;
use crate::core::Output;
use crate::core::Replica;
use crate::core::Reply;
use crate::core::Role;
use crate::storage::Store;

pub use disk::MemoryDisk;
pub use invariants::Invariants;

/// Interval between ticks of a replica.
const TICK: Duration = Duration::from_millis(20);

/// State machine that the simulated replicas apply the log to.
pub trait StateMachine: Default {
    /// Applies a committed command.
    fn apply(&mut self, index: u64, command: &[u8]);
    /// Serializes the state.
    fn snapshot(&self) -> Vec<u8>;
    /// Restores the state from data written by `snapshot`.
    fn restore(data: &[u8]) -> Self;
}

/// Network faults.
#[derive(Clone, Debug)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
    /// Largest one-way delay. Delays are random, so messages can be reordered.
    pub max_delay: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self { loss: 0.0, duplication: 0.0, max_delay: Duration::from_millis(5) }
    }
}

/// A running process of a replica.
struct Process<M> {
    replica: Replica,
    store: Store,
    state_machine: M,
    /// Last applied index.
    applied: u64,
    /// Distinguishes events for this process from events for earlier ones of the same replica.
    incarnation: u64,
}

/// A machine that hosts a replica.
struct Node<M> {
    disk: MemoryDisk,
    /// `None` while the process is stopped.
    process: Option<Process<M>>,
    paused_until: Duration,
}

/// A scheduled event. Ticks and inputs name the incarnation of the process that they are for.
enum Event {
    Tick(ReplicaId, u64),
    Deliver(Message),
    Input(ReplicaId, u64, Input),
}

/// A simulated cluster.
pub struct Sim<M> {
    /// Network faults from now on.
    pub network: Network,
    /// Largest duration of a sync.
    pub max_sync: Duration,
    /// Number of applied entries between snapshots of a replica. `None` disables snapshots.
    pub snapshot_every: Option<u64>,
    /// Checked invariants and their counters.
    pub invariants: Invariants,
    /// Replies from replicas. The caller removes those that it has processed.
    pub replies: Vec<(ReplicaId, Reply)>,
    /// Random number generator of this run.
    pub random: StdRng,
    settings: Settings,
    now: Duration,
    nodes: BTreeMap<ReplicaId, Node<M>>,
    /// Sender and receiver of links that drop all messages.
    disconnected: BTreeSet<(ReplicaId, ReplicaId)>,
    /// Scheduled events by time, then by order of creation.
    events: BTreeMap<(Duration, u64), Event>,
    /// Last number used for a replica id, an incarnation or an event.
    last_number: u64,
}

impl<M: StateMachine> Sim<M> {
    /// Creates and starts a cluster of `voters` replicas.
    pub fn new(seed: u64, settings: Settings, voters: usize) -> Self {
        let mut sim = Self {
            network: Network::default(),
            max_sync: Duration::from_millis(2),
            snapshot_every: None,
            invariants: Invariants::default(),
            replies: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            settings,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            disconnected: BTreeSet::new(),
            events: BTreeMap::new(),
            last_number: 0,
        };
        let ids: Vec<ReplicaId> = (0..voters).map(|_| sim.add()).collect();
        let member =
            |id: &ReplicaId| Member { id: *id, address: id.to_string().into(), voter: true };
        let members: Members = ids.iter().map(member).collect();
        for id in ids {
            sim.input(id, Input::Bootstrap { members: members.clone() });
        }
        sim
    }

    /// Adds and starts a replica with an empty disk. Returns its id.
    pub fn add(&mut self) -> ReplicaId {
        let disk = MemoryDisk::default();
        let id = ReplicaId(self.next_number().into());
        self.nodes.insert(id, Node { disk, process: None, paused_until: Duration::ZERO });
        self.start(id);
        id
    }

    /// Starts the process of a replica. Panics if its store cannot be opened.
    pub fn start(&mut self, id: ReplicaId) {
        let disk = Box::new(self.disk(id));
        let (store, restored) =
            Store::open_disk(disk, &self.settings, || id).expect("the store opens");
        let snapshot = restored.snapshot.clone();
        let (applied, state_machine) = snapshot.map_or_else(
            || (0, M::default()),
            |snapshot| (snapshot.index, M::restore(&snapshot.data)),
        );
        let replica = Replica::new(self.settings.clone(), restored, self.random.random());
        let incarnation = self.next_number();
        let process = Process { replica, store, state_machine, applied, incarnation };
        self.node(id).process = Some(process);
        self.schedule(TICK, Event::Tick(id, incarnation));
    }

    /// Crashes the machine of a replica: stops the process and drops unsynced data.
    pub fn crash(&mut self, id: ReplicaId) {
        self.node(id).process = None;
        self.disk(id).crash(&mut self.random);
    }

    /// Whether the process of a replica is running.
    pub fn is_running(&self, id: ReplicaId) -> bool {
        self.nodes[&id].process.is_some()
    }

    /// Pauses the process of a replica. Its events are delayed until it resumes.
    pub fn pause(&mut self, id: ReplicaId, time: Duration) {
        let until = self.now + time;
        self.node(id).paused_until = until;
    }

    /// Drops all messages in one direction from now on.
    pub fn disconnect(&mut self, from: ReplicaId, to: ReplicaId) {
        self.disconnected.insert((from, to));
    }

    /// Restores all links dropped by [`Self::disconnect`].
    pub fn heal(&mut self) {
        self.disconnected.clear();
    }

    pub fn disk(&self, id: ReplicaId) -> MemoryDisk {
        self.nodes[&id].disk.clone()
    }

    /// State machine and replica of a running process. `None` if it is stopped.
    pub fn get(&self, id: ReplicaId) -> Option<(&M, &Replica)> {
        self.nodes[&id].process.as_ref().map(|process| (&process.state_machine, &process.replica))
    }

    /// The running leader with the highest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let leaders = self.nodes.keys().filter_map(|id| self.get(*id)).map(|(_, replica)| replica);
        let leaders = leaders.filter(|replica| replica.role() == Role::Leader);
        leaders.max_by_key(|replica| replica.term()).map(Replica::id)
    }

    /// Current virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Advances the time.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Advances the time until `done` returns true or `end` is reached. Returns whether `done` did.
    pub fn run_until(&mut self, end: Duration, done: impl Fn(&Self) -> bool) -> bool {
        while !done(self) {
            let Some(event) = self.events.first_entry().filter(|event| event.key().0 <= end) else {
                self.now = end;
                return false;
            };
            let ((at, _), event) = event.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        true
    }

    fn handle_event(&mut self, event: Event) {
        let id = match &event {
            Event::Tick(id, _) | Event::Input(id, ..) => *id,
            Event::Deliver(message) => message.to,
        };
        let now = self.now;
        let node = self.node(id);
        let Some(active) = node.process.as_ref().map(|process| process.incarnation) else { return };
        if node.paused_until > now {
            let delay = node.paused_until - now;
            return self.schedule(delay, event);
        }
        match event {
            Event::Tick(_, incarnation) if incarnation == active => {
                self.schedule(TICK, event);
                self.input(id, Input::Tick);
            }
            Event::Input(_, incarnation, input) if incarnation == active => {
                self.input(id, input);
            }
            Event::Deliver(message) => self.input(id, Input::Message(message)),
            _ => {}
        }
    }

    /// Sends an input to a replica and processes the output. Ignored if the replica is not running.
    pub fn input(&mut self, id: ReplicaId, input: Input) {
        match &input {
            Input::Propose { token, payload } => self.invariants.on_propose(*token, payload),
            Input::Read { token } => self.invariants.on_read(*token),
            _ => {}
        }
        let now = self.now;
        let Some(process) = &mut self.node(id).process else { return };
        let output = process.replica.step(input, now);
        if process.replica.role() == Role::Leader {
            let term = process.replica.term();
            self.invariants.on_leader(term, id);
        }
        self.process_output(id, output);
    }

    fn process_output(&mut self, id: ReplicaId, mut output: Output) {
        for message in output.messages.drain(..) {
            self.transmit(&message, Duration::ZERO);
        }
        let Some(process) = &mut self.node(id).process else { return };
        let incarnation = process.incarnation;
        let Ok(written) = process.store.write(&mut output) else { return self.crash(id) };
        let synced = written.inputs.iter().any(|input| matches!(input, Input::Persisted { .. }));
        let max_sync_delay = if synced { self.max_sync } else { Duration::ZERO };
        let sync_delay = self.random.random_range(Duration::ZERO..=max_sync_delay);
        for message in &written.after_sync {
            self.transmit(message, sync_delay);
        }
        for input in written.inputs {
            self.schedule(sync_delay, Event::Input(id, incarnation, input));
        }
        self.apply(id, output);
    }

    fn apply(&mut self, id: ReplicaId, output: Output) {
        output.committed.iter().for_each(|entry| self.invariants.on_committed(entry));
        let snapshot_every = self.snapshot_every;
        let Some(process) = &mut self.node(id).process else { return };
        let applied_before = process.applied;
        if let Some(snapshot) = &output.install {
            process.state_machine = M::restore(&snapshot.data);
            process.applied = snapshot.index;
        }
        for entry in &output.committed {
            assert_eq!(entry.index, process.applied + 1, "entries are applied in order");
            process.applied = entry.index;
            if let Payload::Command(command) = &entry.payload {
                process.state_machine.apply(entry.index, command);
            }
        }
        let applied = process.applied;
        let due =
            snapshot_every.is_some_and(|interval| applied / interval > applied_before / interval);
        let data = due.then(|| process.state_machine.snapshot());
        for reply in output.replies {
            self.invariants.on_reply(&reply, applied);
            self.replies.push((id, reply));
        }
        if let Some(data) = data {
            self.input(id, Input::Snapshot { index: applied, data });
        }
    }

    /// Sends a message after `sync_delay`, subject to the network faults.
    fn transmit(&mut self, message: &Message, sync_delay: Duration) {
        let message =
            Message::decode(&message.encode()).expect("an encoded message can be decoded");
        let exists = self.nodes.contains_key(&message.to);
        if !exists || self.disconnected.contains(&(message.from, message.to)) {
            return;
        }
        let lost = self.random.random_bool(self.network.loss);
        let duplicated = self.random.random_bool(self.network.duplication);
        for _ in 0..(usize::from(!lost) + usize::from(duplicated)) {
            let delay = self.random.random_range(Duration::ZERO..=self.network.max_delay);
            self.schedule(sync_delay + delay, Event::Deliver(message.clone()));
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let key = (self.now + delay, self.next_number());
        self.events.insert(key, event);
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn node(&mut self, id: ReplicaId) -> &mut Node<M> {
        self.nodes.get_mut(&id).expect("the replica exists")
    }
}
