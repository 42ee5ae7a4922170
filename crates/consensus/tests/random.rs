//! Random runs with every kind of fault. [`sim::Check`] observes the properties: one leader per
//! term, committed entries never change, reads are linearizable, acknowledged proposals survive.

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

use common::Journal;
use common::SECOND;

/// A cluster under random faults.
struct Run {
    sim: Sim<Journal>,
    members: Vec<ReplicaId>,
    /// Replica whose disk was lost and the new one in its place.
    repair: Option<(ReplicaId, ReplicaId)>,
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

    fn any(&mut self) -> ReplicaId {
        *self.members.choose(&mut self.sim.random).expect("there are members")
    }

    /// Everyone who believes to lead gets work, deposed leaders too.
    fn work(&mut self) {
        for id in self.members.clone() {
            let leads = self.sim.get(id).is_some_and(|(_, one)| one.role() == Role::Leader);
            if leads {
                self.token += 2;
                let token = self.token;
                let payload = token.to_le_bytes().to_vec();
                self.sim.input(id, Input::Propose { token, payload });
                self.sim.input(id, Input::Read { token: token + 1 });
            }
        }
    }

    fn fault(&mut self) {
        let (id, other) = (self.any(), self.any());
        match self.sim.random.random_range(0..16) {
            0 => self.sim.crash(id),
            1 => {
                let operations = self.sim.random.random_range(0..6);
                self.sim.disk(id).stop_after(operations);
            }
            2 => self.sim.pause(id, Duration::from_millis(700)),
            3 => self.sim.cut(id, other),
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

    /// A store needs some space to open.
    fn restart_all(&mut self) {
        for id in self.members.clone() {
            if !self.sim.is_running(id) {
                self.sim.crash(id);
                self.sim.disk(id).set_capacity(None);
                self.sim.start(id);
            }
        }
    }

    /// The disk of a replica is lost. One at a time: the next loss waits for the repair.
    fn lose_disk(&mut self, id: ReplicaId) {
        if self.repair.is_none() {
            self.sim.crash(id);
            self.members.retain(|member| *member != id);
            let new = self.sim.add();
            self.members.push(new);
            self.repair = Some((id, new));
        }
    }

    /// Asks for the next step of the repair.
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

    /// The repair is done once the removal is committed.
    fn finish_repair(&mut self, leader: ReplicaId) {
        let (_, replica) = self.sim.get(leader).expect("it runs");
        if replica.commit_index() == replica.last_index() {
            self.repair = None;
        }
    }

    /// Without faults everything recovers, and all replicas have the same content.
    fn settle(&mut self) {
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
        common::fill(&mut self.sim, leader, 1_000_000..1_000_010);
        let read = common::ask(&mut self.sim, leader, 1, Input::Read { token: 1 });
        assert!(matches!(read, Outcome::ReadReady { .. }), "{read:?}");
        self.sim.run_for(2 * SECOND);
        let expected = self.sim.get(leader).expect("it runs").0;
        for id in &self.members {
            assert_eq!(self.sim.get(*id).expect("it runs").0, expected, "content of {id}");
        }
        let committed = self.sim.check.committed().values();
        let commands = committed.filter_map(|entry| match &entry.payload {
            hickoryreel_consensus::Payload::Command(bytes) => Some((entry.index, bytes.to_vec())),
            _ => None,
        });
        assert_eq!(commands.collect::<Vec<_>>(), expected.0, "content against the committed log");
    }
}

/// Runs one seed and returns the number of acknowledged proposals and answered reads.
fn run(seed: u64, voters: usize, steps: usize) -> (usize, usize) {
    eprintln!("seed {seed}");
    let mut run = Run::new(seed, voters);
    for _ in 0..steps {
        run.work();
        if run.sim.random.random_bool(0.15) {
            run.fault();
        }
        run.repair();
        let pause = run.sim.random.random_range(5..60);
        run.sim.run_for(Duration::from_millis(pause));
    }
    let done = (run.sim.check.acknowledged, run.sim.check.answered);
    run.settle();
    done
}

/// Runs many seeds. A single one may have no quorum for most of its time, but a twentieth of the
/// steps must bring an acknowledgement and an answered read over all of them.
fn run_all(seeds: std::ops::Range<u64>, voters: usize, steps: usize) {
    let least = (seeds.end - seeds.start) as usize * steps / 20;
    let done: Vec<_> = seeds.map(|seed| run(seed, voters, steps)).collect();
    let acknowledged: usize = done.iter().map(|(acknowledged, _)| acknowledged).sum();
    let answered: usize = done.iter().map(|(_, answered)| answered).sum();
    eprintln!("{acknowledged} proposals acknowledged, {answered} reads answered, least {least}");
    assert!(acknowledged >= least && answered >= least, "the faults leave too little progress");
}

/// Guards against any sequence of faults that breaks one of the properties above.
#[test]
fn three_voters_under_faults() {
    run_all(0..seeds(40), 3, 400);
}

/// The same with a larger quorum.
#[test]
fn five_voters_under_faults() {
    run_all(1_000_000..1_000_000 + seeds(15), 5, 300);
}

/// Guards against runs that cannot be repeated from their seed.
#[test]
fn runs_are_deterministic() {
    assert_eq!(run(7, 3, 200), run(7, 3, 200));
}

/// Number of seeds; `CONSENSUS_SEEDS` asks for more of them.
fn seeds(default: u64) -> u64 {
    std::env::var("CONSENSUS_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
