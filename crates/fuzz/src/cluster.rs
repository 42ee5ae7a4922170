//! Runs the machine on the replicated log in virtual time, under the faults of the consensus
//! simulation.
//!
//! Control replicas run in [`Sim`]. [`Cluster`] adds entries with leases ([`entries`]) and the
//! leader's tasks: granting leases, declaring withdrawals in force, and settling the records of
//! lapsed holders ([`control`]). The [`observer`] applies the committed log to its own machine,
//! compares the answers with the oracle's and checks the guarantees.

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

use control::LeaderState;
use entries::Entry;
use entries::Run;
use observer::Observer;

use crate::event::VERSIONS;
use crate::world::bundles;

/// Length of an entry's lease. The entry counts it from when it sent the renewal, the leader from
/// when it grants the lease, so that the lease ends at the entry first.
pub(crate) const LEASE_LENGTH: Duration = Duration::from_secs(3);

/// Time at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// Longest delay of a message between an entry and control.
const MAX_DELAY: Duration = Duration::from_millis(80);

/// Probability that a message between an entry and control is lost.
const LOSS_PROBABILITY: f64 = 0.05;

/// Number of newest outcomes that a replica keeps for answers to entries.
const MAX_OUTCOMES: usize = 256;

/// The control state machine as the state machine of a simulated replica.
#[derive(Debug, Default)]
pub(crate) struct Replicated {
    pub(crate) machine: Machine,
    outcomes: BTreeMap<u64, machine::Outcome>,
}

impl sim::StateMachine for Replicated {
    fn apply(&mut self, index: u64, command: &[u8]) {
        let command: Command =
            postcard::from_bytes(command).expect("a committed command can be decoded");
        self.outcomes.insert(index, self.machine.apply(index, &command));
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_first();
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        self.machine.snapshot()
    }

    fn restore(data: &[u8]) -> Self {
        let machine = Machine::restore(data).expect("the machine's own snapshot can be restored");
        Self { machine, outcomes: BTreeMap::new() }
    }
}

/// Recipient of the log's reply to a proposal or read.
#[derive(Clone, Debug)]
pub(crate) enum ReplyTo {
    /// An entry that renews its lease. It sent the renewal at `sent` and had applied `revision`.
    Renewal { entry: usize, incarnation: u64, sent: Duration, revision: Revision },
    /// An entry that opens a record.
    Open { entry: usize, incarnation: u64, attempt: u64 },
    /// The reply is ignored.
    Nobody,
}

/// An answer from control to an entry.
#[derive(Clone, Debug)]
pub(crate) enum Answer {
    /// A lease, with the configuration at the time of the grant.
    Grant { sent: Duration, revision: Revision, withdrawn: Vec<Version> },
    /// The outcome of an open.
    Open { attempt: u64, outcome: hickoryreel_state::record::Outcome },
}

/// Counts that show what a run covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::AddAssign)]
pub struct Coverage {
    /// Number of committed commands.
    pub committed: u64,
    /// Number of granted leases.
    pub grants: u64,
    /// Number of dispatches to endpoints.
    pub dispatches: u64,
    /// Number of withdrawals that were declared in force.
    pub in_force: u64,
    /// Number of proposed settles of records.
    pub settled: u64,
    /// Number of replicas that were replaced after they lost their disk.
    pub repairs: u64,
    /// Number of checks of guarantees.
    pub checks: u64,
}

/// Simulates control, entries and endpoints in virtual time.
pub struct Cluster {
    pub(crate) sim: Sim<Replicated>,
    pub(crate) replicas: Vec<ReplicaId>,
    pub(crate) entries: Vec<Entry>,
    /// A replica that lost its disk and the one that replaces it, while the replacement is in
    /// progress.
    repair: Option<(ReplicaId, ReplicaId)>,
    /// State of each replica's newest term as the leader.
    pub(crate) leader_states: BTreeMap<ReplicaId, LeaderState>,
    /// Recipients of outstanding replies, by token.
    pub(crate) reply_targets: BTreeMap<u64, ReplyTo>,
    /// Answers with their time of arrival, entry and incarnation.
    pub(crate) answers_in_flight: Vec<(Duration, usize, u64, Answer)>,
    pub(crate) observer: Observer,
    pub(crate) coverage: Coverage,
    /// Text of the bundle that all operators submit.
    pub(crate) bundle_text: Arc<str>,
    pub(crate) request_times: BTreeMap<Key, u64>,
    pub(crate) runs: Vec<Run>,
    token: u64,
}

impl Cluster {
    /// Starts three control replicas and three entries and puts a first bundle into force, without
    /// faults.
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
        let replicas = sim
            .get(leader)
            .expect("the replica is running")
            .1
            .members()
            .voters()
            .collect::<Vec<ReplicaId>>();
        let mut observer = Observer::default();
        let bundle_text = bundles::register(&mut observer.oracle, [(1 << VERSIONS) - 1; 2], None);
        let mut cluster = Self {
            sim,
            replicas,
            entries: (0..3).map(Entry::new).collect(),
            repair: None,
            leader_states: BTreeMap::new(),
            reply_targets: BTreeMap::new(),
            answers_in_flight: Vec::new(),
            observer,
            coverage: Coverage::default(),
            bundle_text,
            request_times: BTreeMap::new(),
            runs: Vec::new(),
            token: 0,
        };
        cluster.publish_first_bundle();
        cluster
    }

    /// Runs `steps` steps under faults, then ends the faults and checks that all replicas recover
    /// to the same state. Panics if a check fails.
    pub fn run(mut self, steps: usize) -> Coverage {
        self.sim.network =
            Network { loss: 0.03, duplication: 0.05, max_delay: Duration::from_millis(40) };
        for _ in 0..steps {
            if self.sim.random.random_bool(0.03) {
                self.inject_fault();
            }
            self.step();
        }
        self.recover();
        self.compare_replicas();
        Coverage { checks: self.observer.checks(), ..self.coverage }
    }

    fn step(&mut self) {
        let pause = Duration::from_millis(self.sim.random.random_range(5..60));
        self.sim.run_for(pause);
        self.handle_replies();
        self.observe();
        self.run_leader_tasks();
        self.repair_disk();
        self.deliver_answers();
        self.run_entries_and_endpoints();
    }

    fn inject_fault(&mut self) {
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

    /// Crashes a replica, discards its disk and starts a new replica to replace it. Has no effect
    /// while an earlier replacement is in progress.
    fn lose_disk(&mut self, id: ReplicaId) {
        if self.repair.is_none() {
            self.sim.crash(id);
            self.replicas.retain(|replica| *replica != id);
            let new = self.sim.add();
            self.replicas.push(new);
            self.repair = Some((id, new));
        }
    }

    /// Proposes the next membership change of the replacement: the new replica joins as a learner
    /// and is promoted, then the old one is removed.
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
                    self.coverage.repairs += 1;
                }
                return;
            }
        };
        let token = self.next_token(ReplyTo::Nobody);
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
        self.handle_replies();
        self.observe();
    }

    fn compare_replicas(&self) {
        let expected = self.observer.digest();
        for id in &self.replicas {
            let (replicated, _) = self.sim.get(*id).expect("the replica is running");
            assert_eq!(replicated.machine.digest(), expected, "digest of replica {id}");
        }
    }

    /// Proposes a command at replica `to`, whose clock sets the time of the command. The clocks of
    /// the replicas differ.
    pub(crate) fn propose(&mut self, to: ReplicaId, action: Action, reply_to: ReplyTo) {
        let skew_ms = self.replicas.iter().position(|id| *id == to).unwrap_or(0) as u64 * 300;
        let now_ms = u64::try_from(self.sim.now().as_millis()).unwrap_or(u64::MAX);
        let command = Command { at_ms: START_MS + now_ms + skew_ms, action };
        let payload = postcard::to_stdvec(&command).expect("a command is encoded");
        let token = self.next_token(reply_to);
        self.sim.input(to, Input::Propose { token, payload });
    }

    pub(crate) fn next_token(&mut self, reply_to: ReplyTo) -> u64 {
        self.token += 1;
        self.reply_targets.insert(self.token, reply_to);
        self.token
    }

    /// Time at the callers, in milliseconds since the Unix epoch.
    pub(crate) fn caller_ms(&self) -> u64 {
        START_MS + u64::try_from(self.sim.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// Draws at random whether a message between an entry and control is lost.
    pub(crate) fn draw_loss(&mut self) -> bool {
        self.sim.random.random_bool(LOSS_PROBABILITY)
    }

    fn handle_replies(&mut self) {
        for (id, reply) in std::mem::take(&mut self.sim.replies) {
            let Some(reply_to) = self.reply_targets.remove(&reply.token) else { continue };
            match (reply_to, reply.outcome) {
                (
                    ReplyTo::Renewal { entry, incarnation, sent, revision },
                    Outcome::ReadReady { .. },
                ) => self.grant(id, (entry, incarnation), sent, revision),
                (ReplyTo::Open { entry, incarnation, attempt }, Outcome::Committed { index }) => {
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
        if !self.draw_loss() {
            let delay = self.sim.random.random_range(Duration::ZERO..MAX_DELAY);
            self.answers_in_flight.push((self.sim.now() + delay, entry, incarnation, answer));
        }
    }

    /// Passes the newly committed log entries to the observer.
    fn observe(&mut self) {
        self.coverage.committed += self.observer.apply_committed(self.sim.invariants.committed());
    }
}
