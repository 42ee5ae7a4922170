//! Random simulation runs with all kinds of faults. [`sim::Invariants`] checks that each term has
//! one leader, committed entries never change, reads are linearizable and acknowledged proposals
//! are not lost.
//!
//! [`sim::Invariants`]: hickoryreel_consensus::sim::Invariants

mod common;

use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;

use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::sim::Network;
use hickoryreel_consensus::sim::Sim;

use common::CommandLog;
use common::SECOND;

/// A cluster under random faults.
struct Run {
    sim: Sim<CommandLog>,
    members: Vec<ReplicaId>,
    /// Replica whose disk was lost, and its replacement, until the membership changes are
    /// committed.
    repair: Option<(ReplicaId, ReplicaId)>,
    /// Token of the latest request.
    token: u64,
}

impl Run {
    fn new(seed: u64, voters: usize) -> Self {
        let mut sim = Sim::new(seed, common::small_settings(), voters);
        sim.network =
            Network { loss: 0.05, duplication: 0.05, max_delay: Duration::from_millis(60) };
        sim.snapshot_every = Some(16);
        let leader = common::elect(&mut sim);
        let members = sim.get(leader).expect("it runs").1.members().voters().collect();
        Self { sim, members, repair: None, token: 0 }
    }

    fn random_member(&mut self) -> ReplicaId {
        *self.members.choose(&mut self.sim.random).expect("there are members")
    }

    /// Sends a proposal and a read to each replica that considers itself the leader, including
    /// deposed leaders.
    fn send_requests(&mut self) {
        for id in self.members.clone() {
            let leads = self.sim.get(id).is_some_and(|(_, replica)| replica.role() == Role::Leader);
            if leads {
                self.token += 2;
                let token = self.token;
                let payload = token.to_le_bytes().to_vec();
                self.sim.input(id, Input::Propose { token, payload });
                self.sim.input(id, Input::Read { token: token + 1 });
            }
        }
    }

    fn inject_fault(&mut self) {
        let (id, other) = (self.random_member(), self.random_member());
        match self.sim.random.random_range(0..16) {
            0 => self.sim.crash(id),
            1 => {
                let operations = self.sim.random.random_range(0..6);
                self.sim.disk(id).stop_after(operations);
            }
            2 => self.sim.pause(id, Duration::from_millis(700)),
            3 => self.sim.disconnect(id, other),
            4 | 5 => self.sim.heal(),
            6 => self.sim.input(id, Input::Transfer { to: None }),
            7 => self.lose_disk(id),
            8 => {
                let free = self.sim.random.random_range(0..600);
                self.sim.disk(id).set_capacity(Some(self.sim.disk(id).size() + free));
            }
            9 => self.free_disks(),
            _ => self.restart_all(),
        }
    }

    fn free_disks(&mut self) {
        for id in &self.members {
            self.sim.disk(*id).set_capacity(None);
        }
    }

    /// Restarts the stopped replicas. Their disks get unlimited capacity, since a store needs some
    /// space to open.
    fn restart_all(&mut self) {
        for id in self.members.clone() {
            if !self.sim.is_running(id) {
                self.sim.crash(id);
                self.sim.disk(id).set_capacity(None);
                self.sim.start(id);
            }
        }
    }

    /// Replaces a replica with a new one, as after the loss of its disk. Does nothing while another
    /// repair is in progress.
    fn lose_disk(&mut self, id: ReplicaId) {
        if self.repair.is_none() {
            self.sim.crash(id);
            self.members.retain(|member| *member != id);
            let new = self.sim.add();
            self.members.push(new);
            self.repair = Some((id, new));
        }
    }

    /// Requests the next membership change of the repair.
    fn repair(&mut self) {
        let Some((old, new)) = self.repair else { return };
        let Some(leader) = self.sim.leader() else { return };
        let (_, replica) = self.sim.get(leader).expect("it runs");
        let members = replica.members();
        let change = match members.get(new) {
            None => MemberChange::AddLearner { id: new, address: "".into() },
            Some(member) if !member.voter => MemberChange::Promote { id: new },
            Some(_) if members.get(old).is_some() => MemberChange::Remove { id: old },
            Some(_) => return self.finish_repair(leader),
        };
        self.sim.input(leader, Input::Change { token: 0, change });
    }

    /// Completes the repair if the removal of the old replica is committed.
    fn finish_repair(&mut self, leader: ReplicaId) {
        let (_, replica) = self.sim.get(leader).expect("it runs");
        if replica.commit_index() == replica.last_index() {
            self.repair = None;
        }
    }

    /// Stops all faults. Checks that the cluster recovers and that all replicas have the same
    /// state.
    fn recover_and_compare(&mut self) {
        self.sim.network = Network::default();
        self.sim.heal();
        self.free_disks();
        for id in self.members.clone() {
            self.sim.crash(id);
        }
        self.restart_all();
        self.sim.run_for(10 * SECOND);
        for _ in 0..100 {
            self.repair();
            self.sim.run_for(SECOND / 10);
        }
        let leader = common::elect(&mut self.sim);
        common::commit_proposals(&mut self.sim, leader, 1_000_000..1_000_010);
        let read = common::request(&mut self.sim, leader, 1, Input::Read { token: 1 });
        assert!(matches!(read, Outcome::ReadReady { .. }), "{read:?}");
        self.sim.run_for(2 * SECOND);
        let expected = self.sim.get(leader).expect("it runs").0;
        for id in &self.members {
            assert_eq!(self.sim.get(*id).expect("it runs").0, expected, "content of {id}");
        }
        let committed = self.sim.invariants.committed().values();
        let commands = committed.filter_map(|entry| match &entry.payload {
            hickoryreel_consensus::Payload::Command(bytes) => Some((entry.index, bytes.to_vec())),
            _ => None,
        });
        assert_eq!(commands.collect::<Vec<_>>(), expected.0, "content against the committed log");
    }
}

/// Runs one seed. Returns the number of acknowledged proposals and answered reads.
fn run(seed: u64, voters: usize, steps: usize) -> (usize, usize) {
    eprintln!("seed {seed}");
    let mut run = Run::new(seed, voters);
    for _ in 0..steps {
        run.send_requests();
        if run.sim.random.random_bool(0.15) {
            run.inject_fault();
        }
        run.repair();
        let pause = run.sim.random.random_range(5..60);
        run.sim.run_for(Duration::from_millis(pause));
    }
    let counts = (run.sim.invariants.acknowledged, run.sim.invariants.answered);
    run.recover_and_compare();
    counts
}

/// Runs all seeds. A single run may lack a quorum for most of its time, but over all runs there
/// must be at least one acknowledged proposal and one answered read per 20 steps.
fn run_all(seeds: std::ops::Range<u64>, voters: usize, steps: usize) {
    let minimum = (seeds.end - seeds.start) as usize * steps / 20;
    let counts: Vec<_> = seeds.map(|seed| run(seed, voters, steps)).collect();
    let acknowledged: usize = counts.iter().map(|(acknowledged, _)| acknowledged).sum();
    let answered: usize = counts.iter().map(|(_, answered)| answered).sum();
    eprintln!("{acknowledged} proposals acknowledged, {answered} reads answered, least {minimum}");
    assert!(acknowledged >= minimum && answered >= minimum, "the faults leave too little progress");
}

/// Guards against a sequence of faults that violates one of the invariants.
#[test]
fn three_voters_under_faults() {
    run_all(0..seeds(40), 3, 400);
}

/// Guards against a sequence of faults that violates one of the invariants in a larger cluster.
#[test]
fn five_voters_under_faults() {
    run_all(1_000_000..1_000_000 + seeds(15), 5, 300);
}

/// Guards against runs that cannot be reproduced from their seed.
#[test]
fn runs_are_deterministic() {
    assert_eq!(run(7, 3, 200), run(7, 3, 200));
}

/// Number of seeds. The environment variable `CONSENSUS_SEEDS` overrides the default.
fn seeds(default: u64) -> u64 {
    std::env::var("CONSENSUS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
