//! The machine on the replicated log in virtual time, under the faults of the consensus harness.
//!
//! Control replicas run in [`Sim`]. [`Cluster`] adds entries with leases ([`entries`]) and the
//! leader's duties: granting leases, declaring withdrawals in force, and settling the records of
//! lapsed holders ([`control`]). An observer applies the committed log to a machine of its own,
//! compares it with the oracle and feeds the ledger.

mod control;
mod entries;
mod observer;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::name::Version;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::sim;
use hickoryreel_consensus::sim::Network;
use hickoryreel_consensus::sim::Sim;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Revision;
use hickoryreel_state::machine;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::record::Key;
use rand::RngExt;

use control::Duties;
use entries::Entry;
use entries::Run;
use observer::Observer;

use crate::event::VERSIONS;
use crate::world::bundles;

/// Length of an entry's lease, counted from before the renewal was sent.
pub(crate) const LEASE: Duration = Duration::from_secs(3);

/// Time at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// Longest delay of a message between an entry and control.
const MAX_DELAY: Duration = Duration::from_millis(80);

/// Share of messages between entries and control that are lost.
const LOSS: f64 = 0.05;

/// Outcomes a replica remembers for its callers.
const OUTCOMES: usize = 256;

/// The control state machine as a replicated one.
#[derive(Debug, Default)]
pub(crate) struct Replicated {
    pub(crate) machine: Machine,
    outcomes: BTreeMap<u64, machine::Outcome>,
}

impl sim::StateMachine for Replicated {
    fn apply(&mut self, index: u64, command: &[u8]) {
        let command: Command = postcard::from_bytes(command).expect("a command is decoded");
        self.outcomes.insert(index, self.machine.apply(index, &command));
        if self.outcomes.len() > OUTCOMES {
            self.outcomes.pop_first();
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }

    fn restore(data: &[u8]) -> Self {
        let machine = Machine::restore(data).expect("the snapshot is read");
        Self { machine, outcomes: BTreeMap::new() }
    }
}

/// What waits for a reply of the log.
#[derive(Clone, Debug)]
pub(crate) enum Wait {
    /// An entry waits for a lease; the renewal was sent at this time with this revision.
    Renewal { entry: usize, incarnation: u64, sent: Duration, revision: Revision },
    /// An entry waits for the answer to an open.
    Open { entry: usize, incarnation: u64, attempt: u64 },
    /// Nobody waits.
    Nothing,
}

/// An answer on its way to an entry.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A lease with the configuration of its grant.
    Grant { sent: Duration, revision: Revision, withdrawn: Vec<Version> },
    /// The outcome of an open.
    Open { attempt: u64, outcome: hickoryreel_state::record::Outcome },
}

/// Counts of what a run reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct Reached {
    /// Committed commands.
    pub committed: u64,
    /// Granted leases.
    pub grants: u64,
    /// Dispatches to endpoints.
    pub dispatches: u64,
    /// Withdrawals that were declared in force.
    pub in_force: u64,
    /// Records settled.
    pub settled: u64,
    /// Replicas whose disk was lost and that were replaced.
    pub repairs: u64,
    /// Checks of guarantees.
    pub checks: u64,
}

/// Control, entries and endpoints in virtual time.
pub struct Cluster {
    pub(crate) sim: Sim<Replicated>,
    pub(crate) replicas: Vec<ReplicaId>,
    pub(crate) entries: Vec<Entry>,
    /// A replica whose disk was lost, and the new one in its place.
    repair: Option<(ReplicaId, ReplicaId)>,
    /// What each replica knows from its newest term as the leader.
    pub(crate) duties: BTreeMap<ReplicaId, Duties>,
    pub(crate) waits: BTreeMap<u64, Wait>,
    pub(crate) answers: Vec<(Duration, usize, u64, Answer)>,
    pub(crate) observer: Observer,
    pub(crate) reached: Reached,
    /// Text of the bundle.
    pub(crate) text: Arc<str>,
    pub(crate) request_times: BTreeMap<Key, u64>,
    pub(crate) runs: Vec<Run>,
    token: u64,
}

impl Cluster {
    /// Three control replicas and some entries, without faults yet.
    pub fn new(seed: u64) -> Self {
        let settings = hickoryreel_consensus::Settings {
            trailing_entries: 8,
            snapshot_chunk_bytes: 512,
            segment_bytes: 4096,
            ..Default::default()
        };
        let mut sim = Sim::new(seed, settings, 3);
        sim.snapshot_every = Some(32);
        sim.run_until(Duration::from_secs(20), |sim| sim.leader().is_some());
        let leader = sim.leader().expect("there is a leader");
        let replicas =
            sim.get(leader).expect("it runs").1.members().voters().collect::<Vec<ReplicaId>>();
        let mut observer = Observer::default();
        let text = bundles::register(&mut observer.oracle, [(1 << VERSIONS) - 1; 2], None);
        let mut cluster = Self {
            sim,
            replicas,
            entries: (0..3).map(Entry::new).collect(),
            repair: None,
            duties: BTreeMap::new(),
            waits: BTreeMap::new(),
            answers: Vec::new(),
            observer,
            reached: Reached::default(),
            text,
            request_times: BTreeMap::new(),
            runs: Vec::new(),
            token: 0,
        };
        cluster.publish_first();
        cluster
    }

    /// Runs `steps` steps under faults, then lets everything recover and compares the replicas.
    pub fn run(mut self, steps: usize) -> Reached {
        self.sim.network =
            Network { loss: 0.03, duplication: 0.05, max_delay: Duration::from_millis(40) };
        for _ in 0..steps {
            if self.sim.random.random_bool(0.03) {
                self.fault();
            }
            self.step();
        }
        self.recover();
        self.compare_replicas();
        Reached { checks: self.observer.checks(), ..self.reached }
    }

    fn step(&mut self) {
        let pause = Duration::from_millis(self.sim.random.random_range(5..60));
        self.sim.run_for(pause);
        self.take_replies();
        self.observe();
        self.perform_duties();
        self.repair_disk();
        self.hear_answers();
        self.act();
    }

    fn fault(&mut self) {
        let any = self.sim.random.random_range(0..self.replicas.len());
        let other = self.sim.random.random_range(0..self.replicas.len());
        let (id, other) = (self.replicas[any], self.replicas[other]);
        match self.sim.random.random_range(0..13) {
            0 => self.sim.crash(id),
            1 | 2 => {
                let time = self.sim.random.random_range(200..4_000);
                self.sim.pause(id, Duration::from_millis(time));
            }
            3 | 4 => self.sim.disconnect(id, other),
            5 | 6 => self.sim.heal(),
            7 | 8 => self.restart_replicas(),
            9 => self.kill_entry(),
            10 => self.lose_disk(id),
            _ => self.pause_entry(),
        }
    }

    /// The disk of a replica is lost; a new replica takes its place. The next loss waits for the
    /// repair.
    fn lose_disk(&mut self, id: ReplicaId) {
        if self.repair.is_none() {
            self.sim.crash(id);
            self.replicas.retain(|replica| *replica != id);
            let new = self.sim.add();
            self.replicas.push(new);
            self.repair = Some((id, new));
        }
    }

    /// Asks for the next step of the repair, one membership change at a time.
    fn repair_disk(&mut self) {
        let Some((old, new)) = self.repair else { return };
        let Some(leader) = self.sim.leader() else { return };
        let Some((_, replica)) = self.sim.get(leader) else { return };
        let members = replica.members();
        let change = match members.get(new) {
            None => MemberChange::AddLearner { id: new, address: "".into() },
            Some(member) if !member.voter => MemberChange::Promote { id: new },
            Some(_) if members.get(old).is_some() => MemberChange::Remove { id: old },
            Some(_) => {
                if replica.commit_index() == replica.last_index() {
                    self.repair = None;
                    self.reached.repairs += 1;
                }
                return;
            }
        };
        let token = self.next_token(Wait::Nothing);
        self.sim.input(leader, Input::Change { token, change });
    }

    fn restart_replicas(&mut self) {
        for id in self.replicas.clone() {
            if !self.sim.is_running(id) {
                self.sim.start(id);
            }
        }
    }

    fn recover(&mut self) {
        self.sim.network = Network::default();
        self.sim.heal();
        self.restart_replicas();
        for _ in 0..400 {
            self.step();
        }
        self.sim.run_for(Duration::from_secs(5));
        self.take_replies();
        self.observe();
    }

    fn compare_replicas(&self) {
        let expected = self.observer.digest();
        for id in &self.replicas {
            let (replicated, _) = self.sim.get(*id).expect("it runs");
            assert_eq!(replicated.machine.digest(), expected, "state of {id}");
        }
    }

    /// Proposes a command to `to`, with the clock of that replica.
    pub(crate) fn propose(&mut self, to: ReplicaId, action: Action, wait: Wait) {
        let skew_ms = self.replicas.iter().position(|id| *id == to).unwrap_or(0) as u64 * 300;
        let now_ms = u64::try_from(self.sim.now().as_millis()).unwrap_or(u64::MAX);
        let command = Command { at_ms: START_MS + now_ms + skew_ms, action };
        let payload = postcard::to_stdvec(&command).expect("a command is encoded");
        let token = self.next_token(wait);
        self.sim.input(to, Input::Propose { token, payload });
    }

    pub(crate) fn next_token(&mut self, wait: Wait) -> u64 {
        self.token += 1;
        self.waits.insert(self.token, wait);
        self.token
    }

    /// Milliseconds since the Unix epoch at a caller.
    pub(crate) fn caller_ms(&self) -> u64 {
        START_MS + u64::try_from(self.sim.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// A message between an entry and control is lost.
    pub(crate) fn is_lost(&mut self) -> bool {
        self.sim.random.random_bool(LOSS)
    }

    fn take_replies(&mut self) {
        for (id, reply) in std::mem::take(&mut self.sim.replies) {
            let Some(wait) = self.waits.remove(&reply.token) else { continue };
            match (wait, reply.outcome) {
                (
                    Wait::Renewal { entry, incarnation, sent, revision },
                    Outcome::ReadReady { .. },
                ) => self.grant(id, (entry, incarnation), sent, revision),
                (Wait::Open { entry, incarnation, attempt }, Outcome::Committed { index }) => {
                    self.answer_open(id, (entry, incarnation), attempt, index);
                }
                _ => {}
            }
        }
    }

    fn answer_open(&mut self, id: ReplicaId, to: (usize, u64), attempt: u64, index: u64) {
        let Some((replicated, _)) = self.sim.get(id) else { return };
        let Some(machine::Outcome::Records(outcomes)) = replicated.outcomes.get(&index) else {
            return;
        };
        let Some(outcome) = outcomes.first().cloned() else { return };
        self.send_answer(to, Answer::Open { attempt, outcome });
    }

    pub(crate) fn send_answer(&mut self, (entry, incarnation): (usize, u64), answer: Answer) {
        if !self.is_lost() {
            let delay = self.sim.random.random_range(Duration::ZERO..MAX_DELAY);
            self.answers.push((self.sim.now() + delay, entry, incarnation, answer));
        }
    }

    /// The newest committed entries reach the observer.
    fn observe(&mut self) {
        self.reached.committed += self.observer.follow(self.sim.invariants.committed());
    }
}
