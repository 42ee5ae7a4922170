//! Replicas in virtual time, with faults of network, machines and disks.
//!
//! One seed gives one run. [`Sim`] owns the replicas and a queue of events; the caller feeds
//! inputs, injects faults and lets time pass. [`Check`] panics when a property is violated.

mod check;
mod disk;

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

pub use check::Check;
pub use disk::MemoryDisk;

const TICK: Duration = Duration::from_millis(20);

/// A replicated state machine.
pub trait Machine: Default {
    /// Applies a committed command.
    fn apply(&mut self, index: u64, command: &[u8]);
    /// Whole content.
    fn snapshot(&self) -> Vec<u8>;
    /// Reads what `snapshot` wrote.
    fn restore(data: &[u8]) -> Self;
}

/// Faults of the network.
#[derive(Clone, Debug)]
pub struct Network {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message arrives twice.
    pub duplication: f64,
    /// Longest one-way delay. Delays differ, so messages overtake each other.
    pub max_delay: Duration,
}

impl Default for Network {
    fn default() -> Self {
        Self { loss: 0.0, duplication: 0.0, max_delay: Duration::from_millis(5) }
    }
}

/// A process that runs a replica.
struct Process<M> {
    replica: Replica,
    store: Store,
    machine: M,
    applied: u64,
    incarnation: u64,
}

/// One machine of the cluster.
struct Node<M> {
    disk: MemoryDisk,
    process: Option<Process<M>>,
    paused_until: Duration,
}

enum Event {
    Tick(ReplicaId, u64),
    Deliver(Message),
    Input(ReplicaId, u64, Input),
}

/// Replicas in virtual time.
pub struct Sim<M> {
    /// Faults of the network.
    pub network: Network,
    /// Longest duration of a sync.
    pub max_sync: Duration,
    /// Applied entries after which a replica takes a snapshot, if it does so at all.
    pub snapshot_every: Option<u64>,
    /// Observed properties.
    pub check: Check,
    /// Replies that the caller has not taken.
    pub replies: Vec<(ReplicaId, Reply)>,
    /// Random numbers of this run.
    pub random: StdRng,
    settings: Settings,
    now: Duration,
    nodes: BTreeMap<ReplicaId, Node<M>>,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    events: BTreeMap<(Duration, u64), Event>,
    counter: u64,
}

impl<M: Machine> Sim<M> {
    /// A cluster of `voters` replicas, started.
    pub fn new(seed: u64, settings: Settings, voters: usize) -> Self {
        let mut sim = Self {
            network: Network::default(),
            max_sync: Duration::from_millis(2),
            snapshot_every: None,
            check: Check::default(),
            replies: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            settings,
            now: Duration::ZERO,
            nodes: BTreeMap::new(),
            cuts: BTreeSet::new(),
            events: BTreeMap::new(),
            counter: 0,
        };
        let ids: Vec<ReplicaId> = (0..voters).map(|_| sim.add()).collect();
        let member = |id: &ReplicaId| Member { id: *id, address: "".into(), voter: true };
        let members: Members = ids.iter().map(member).collect();
        for id in ids {
            sim.input(id, Input::Bootstrap { members: members.clone() });
        }
        sim
    }

    /// Starts a replica with an empty disk and returns its identity.
    pub fn add(&mut self) -> ReplicaId {
        let disk = MemoryDisk::default();
        let id = ReplicaId(self.next_number().into());
        self.nodes.insert(id, Node { disk, process: None, paused_until: Duration::ZERO });
        self.start(id);
        id
    }

    /// Starts the process of a replica. Panics if its store does not open.
    pub fn start(&mut self, id: ReplicaId) {
        let disk = Box::new(self.disk(id));
        let (store, restored) =
            Store::open_disk(disk, &self.settings, || id).expect("the store opens");
        let snapshot = restored.snapshot.clone();
        let (applied, machine) =
            snapshot.map_or_else(|| (0, M::default()), |one| (one.index, M::restore(&one.data)));
        let replica = Replica::new(self.settings.clone(), restored, self.random.random());
        let incarnation = self.next_number();
        let process = Process { replica, store, machine, applied, incarnation };
        self.node(id).process = Some(process);
        self.schedule(TICK, Event::Tick(id, incarnation));
    }

    /// Stops the process at once and loses unsynced bytes.
    pub fn crash(&mut self, id: ReplicaId) {
        self.node(id).process = None;
        self.disk(id).crash(&mut self.random);
    }

    /// Whether the process runs.
    pub fn is_running(&self, id: ReplicaId) -> bool {
        self.nodes[&id].process.is_some()
    }

    /// The process does nothing for this long; messages for it wait.
    pub fn pause(&mut self, id: ReplicaId, time: Duration) {
        let until = self.now + time;
        self.node(id).paused_until = until;
    }

    /// Drops messages in one direction.
    pub fn cut(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cuts.insert((from, to));
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Disk of a replica.
    pub fn disk(&self, id: ReplicaId) -> MemoryDisk {
        self.nodes[&id].disk.clone()
    }

    /// State machine and replica of a running process.
    pub fn get(&self, id: ReplicaId) -> Option<(&M, &Replica)> {
        self.nodes[&id].process.as_ref().map(|process| (&process.machine, &process.replica))
    }

    /// The running leader with the newest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let leaders = self.nodes.keys().filter_map(|id| self.get(*id)).map(|(_, replica)| replica);
        let leaders = leaders.filter(|replica| replica.role() == Role::Leader);
        leaders.max_by_key(|replica| replica.term()).map(Replica::id)
    }

    /// Virtual time.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Lets time pass.
    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
    }

    /// Lets time pass until `done` or `end`. Returns whether it was done.
    pub fn run_until(&mut self, end: Duration, done: impl Fn(&Self) -> bool) -> bool {
        while !done(self) {
            let Some(event) = self.events.first_entry().filter(|event| event.key().0 <= end) else {
                self.now = end;
                return false;
            };
            let ((at, _), event) = event.remove_entry();
            self.now = at;
            self.handle(event);
        }
        true
    }

    fn handle(&mut self, event: Event) {
        let id = match &event {
            Event::Tick(id, _) | Event::Input(id, ..) => *id,
            Event::Deliver(message) => message.to,
        };
        let now = self.now;
        let node = self.node(id);
        let Some(current) = node.process.as_ref().map(|one| one.incarnation) else { return };
        if node.paused_until > now {
            let wait = node.paused_until - now;
            return self.schedule(wait, event);
        }
        match event {
            Event::Tick(_, incarnation) if incarnation == current => {
                self.schedule(TICK, event);
                self.input(id, Input::Tick);
            }
            Event::Input(_, incarnation, input) if incarnation == current => {
                self.input(id, input);
            }
            Event::Deliver(message) => self.input(id, Input::Message(message)),
            _ => {}
        }
    }

    /// Feeds an input to a replica and carries out the output. Ignored if it does not run.
    pub fn input(&mut self, id: ReplicaId, input: Input) {
        match &input {
            Input::Propose { token, payload } => self.check.on_propose(*token, payload),
            Input::Read { token } => self.check.on_read(*token),
            _ => {}
        }
        let now = self.now;
        let Some(process) = &mut self.node(id).process else { return };
        let output = process.replica.step(input, now);
        if process.replica.role() == Role::Leader {
            let term = process.replica.term();
            self.check.on_leader(term, id);
        }
        self.carry_out(id, output);
    }

    fn carry_out(&mut self, id: ReplicaId, mut output: Output) {
        for message in output.messages.drain(..) {
            self.transmit(&message, Duration::ZERO);
        }
        let Some(process) = &mut self.node(id).process else { return };
        let incarnation = process.incarnation;
        let Ok(written) = process.store.write(&mut output) else { return self.crash(id) };
        let synced = written.inputs.iter().any(|input| matches!(input, Input::Persisted { .. }));
        let longest = if synced { self.max_sync } else { Duration::ZERO };
        let sync = self.random.random_range(Duration::ZERO..=longest);
        for message in &written.after_sync {
            self.transmit(message, sync);
        }
        for input in written.inputs {
            self.schedule(sync, Event::Input(id, incarnation, input));
        }
        self.apply(id, output);
    }

    fn apply(&mut self, id: ReplicaId, output: Output) {
        output.committed.iter().for_each(|entry| self.check.on_committed(entry));
        let every = self.snapshot_every;
        let Some(process) = &mut self.node(id).process else { return };
        let before = process.applied;
        if let Some(snapshot) = &output.install {
            process.machine = M::restore(&snapshot.data);
            process.applied = snapshot.index;
        }
        for entry in &output.committed {
            assert_eq!(entry.index, process.applied + 1, "entries are applied in order");
            process.applied = entry.index;
            if let Payload::Command(command) = &entry.payload {
                process.machine.apply(entry.index, command);
            }
        }
        let applied = process.applied;
        let due = every.is_some_and(|every| applied / every > before / every);
        let data = due.then(|| process.machine.snapshot());
        for reply in output.replies {
            self.check.on_reply(&reply, applied);
            self.replies.push((id, reply));
        }
        if let Some(data) = data {
            self.input(id, Input::Snapshot { index: applied, data });
        }
    }

    fn transmit(&mut self, message: &Message, wait: Duration) {
        let message = Message::decode(&message.encode()).expect("a message survives encoding");
        let known = self.nodes.contains_key(&message.to);
        if !known || self.cuts.contains(&(message.from, message.to)) {
            return;
        }
        let lost = self.random.random_bool(self.network.loss);
        let twice = self.random.random_bool(self.network.duplication);
        for _ in 0..(usize::from(!lost) + usize::from(twice)) {
            let delay = self.random.random_range(Duration::ZERO..=self.network.max_delay);
            self.schedule(wait + delay, Event::Deliver(message.clone()));
        }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        let key = (self.now + wait, self.next_number());
        self.events.insert(key, event);
    }

    fn next_number(&mut self) -> u64 {
        self.counter += 1;
        self.counter
    }

    fn node(&mut self, id: ReplicaId) -> &mut Node<M> {
        self.nodes.get_mut(&id).expect("the replica exists")
    }
}
