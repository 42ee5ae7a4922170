//! Member changes, learners, lost disks and removed members.

mod common;

use std::time::Duration;

use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Refusal;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::message::Body;
use hickoryreel_consensus::message::Position;
use hickoryreel_consensus::sim::MemoryDisk;
use hickoryreel_consensus::sim::Sim;
use hickoryreel_consensus::storage::Store;

use common::Journal;
use common::SECOND;
use common::change;
use common::elect;
use common::fill;

fn cluster(voters: usize) -> (Sim<Journal>, ReplicaId, Vec<ReplicaId>) {
    let mut sim = Sim::new(3, common::small_settings(), voters);
    let leader = elect(&mut sim);
    let voters = replica(&sim, leader).members().voters();
    let others = voters.filter(|id| *id != leader).collect();
    (sim, leader, others)
}

fn replica(sim: &Sim<Journal>, id: ReplicaId) -> &Replica {
    sim.get(id).expect("the replica runs").1
}

fn add_learner(id: ReplicaId) -> MemberChange {
    MemberChange::AddLearner { id, address: "new".into() }
}

/// Asks until the change is committed.
fn must_change(sim: &mut Sim<Journal>, token: u64, what: MemberChange) {
    for _ in 0..50 {
        let leader = elect(sim);
        if let Outcome::Committed { .. } = change(sim, leader, token, what.clone()) {
            return;
        }
        sim.run_for(Duration::from_millis(100));
    }
    panic!("{what:?} is not committed");
}

/// Replaces a replica whose disk was lost and returns the new one.
fn replace(sim: &mut Sim<Journal>, lost: ReplicaId, token: u64) -> ReplicaId {
    let new = sim.add();
    must_change(sim, token, add_learner(new));
    must_change(sim, token + 1, MemberChange::Promote { id: new });
    must_change(sim, token + 2, MemberChange::Remove { id: lost });
    new
}

/// Guards against a repair that leaves fewer working copies than voters: each of three disks is
/// lost right after the previous repair, so that only repaired replicas hold the data.
#[test]
fn every_disk_may_be_lost_after_a_repair() {
    let (mut sim, leader, others) = cluster(3);
    sim.snapshot_every = Some(10);
    fill(&mut sim, leader, 0..35);
    let expected = sim.get(leader).unwrap().0.clone();
    for (round, lost) in (0..).zip([leader, others[0], others[1]]) {
        sim.crash(lost);
        replace(&mut sim, lost, 1_000 + 10 * round);
    }
    let leader = elect(&mut sim);
    assert_eq!(sim.get(leader).unwrap().0, &expected);
    assert_eq!(replica(&sim, leader).members().len(), 3);
    fill(&mut sim, leader, 100..105);
}

/// Guards against a replica with an empty disk that votes, or stands for election, as if it still
/// held what its predecessor acknowledged.
#[test]
fn empty_replica_neither_votes_nor_campaigns() {
    let (mut store, restored) =
        Store::open_disk(Box::new(MemoryDisk::default()), &Settings::default(), || ReplicaId(9))
            .unwrap();
    let mut empty = Replica::new(Settings::default(), restored, 1);
    let last = Position { index: 50, term: 4 };
    for body in [Body::PreVote(last), Body::Vote { last, transfer: false }] {
        let message = Message { from: ReplicaId(1), to: ReplicaId(9), term: 5, body };
        let output = empty.step(Input::Message(message), SECOND);
        store.persist(&output).unwrap();
        for answer in output.messages.iter().chain(&output.after_sync) {
            let granted = matches!(
                answer.body,
                Body::PreVoteReply { granted: true, .. } | Body::VoteReply { granted: true }
            );
            assert!(!granted, "{answer:?}");
        }
    }
    for second in 2..20 {
        let output = empty.step(Input::Tick, second * SECOND);
        assert!(output.messages.is_empty() && output.after_sync.is_empty());
    }
    assert_eq!(empty.role(), Role::Learner);
}

/// Guards against messages for a lost replica that reach the new one at its address.
#[test]
fn messages_for_another_identity_are_dropped() {
    let (mut sim, leader, others) = cluster(3);
    let new = sim.add();
    let previous = Position::default();
    let append = Body::Append { previous, entries: Vec::new(), commit: 0, round: 1 };
    sim.input(new, common::message(leader, others[0], 9, append.clone()));
    assert_eq!(replica(&sim, new).term(), 0);
    sim.input(new, common::message(leader, new, 9, append));
    assert_eq!(replica(&sim, new).term(), 9);
}

/// Guards against a voter that holds nothing: a quorum that counts it could lose data, and a
/// quorum that needs its vote could not elect.
#[test]
fn learner_is_promoted_only_when_caught_up() {
    let (mut sim, leader, _) = cluster(3);
    fill(&mut sim, leader, 0..10);
    let new = sim.add();
    sim.cut(leader, new);
    must_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    let promote = MemberChange::Promote { id: new };
    let silent = change(&mut sim, leader, 101, promote.clone());
    assert_eq!(silent, Outcome::Refused(Refusal::NotCaughtUp));

    // It receives the log now, but its acknowledgements are lost.
    sim.heal();
    sim.cut(new, leader);
    sim.run_for(SECOND);
    let unknown = change(&mut sim, leader, 102, promote.clone());
    assert_eq!(unknown, Outcome::Refused(Refusal::NotCaughtUp));

    sim.heal();
    sim.run_for(SECOND);
    assert!(matches!(change(&mut sim, leader, 103, promote), Outcome::Committed { .. }));
}

/// Guards against a voter that trails so far that commits wait for its catch-up.
#[test]
fn learner_that_fell_behind_is_not_promoted() {
    let (mut sim, leader, _) = cluster(3);
    let new = sim.add();
    must_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    sim.cut(leader, new);
    for token in 0..5 {
        sim.input(leader, Input::Propose { token, payload: vec![1] });
    }
    let late = change(&mut sim, leader, 101, MemberChange::Promote { id: new });
    assert_eq!(late, Outcome::Refused(Refusal::NotCaughtUp));
    sim.heal();
    must_change(&mut sim, 102, MemberChange::Promote { id: new });
}

/// Guards against a first replica that cannot become a cluster. Only the first one is started with
/// a member set; the others join it.
#[test]
fn cluster_grows_from_one_voter() {
    let (mut sim, first, _) = cluster(1);
    fill(&mut sim, first, 0..5);
    for round in 0..2 {
        let new = sim.add();
        must_change(&mut sim, 100 + 10 * round, add_learner(new));
        must_change(&mut sim, 101 + 10 * round, MemberChange::Promote { id: new });
    }
    sim.crash(first);
    let next = elect(&mut sim);
    assert_eq!(sim.get(next).unwrap().0.0.len(), 5);
    fill(&mut sim, next, 10..12);
}

/// Guards against a learner that answers but holds nothing yet, while the log is shorter than the
/// permitted lag.
#[test]
fn learner_without_entries_is_not_promoted() {
    let (mut sim, leader, _) = cluster(3);
    let new = sim.add();
    sim.max_sync = 2 * SECOND;
    sim.input(leader, Input::Change { token: 1, change: add_learner(new) });
    let asked = (0..40).map(|token| {
        sim.run_for(Duration::from_millis(50));
        let promote = MemberChange::Promote { id: new };
        sim.input(leader, Input::Change { token: 100 + token, change: promote });
        (replica(&sim, leader).members().is_voter(new), replica(&sim, new).last_index())
    });
    let early: Vec<_> = asked.filter(|(voter, last)| *voter && *last == 0).collect();
    assert!(early.is_empty(), "{early:?}");
}

/// Guards against quorums that need learners or count them.
#[test]
fn learners_do_not_count() {
    let (mut sim, leader, others) = cluster(3);
    let new = sim.add();
    must_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    assert_eq!(replica(&sim, new).role(), Role::Learner);
    sim.crash(others[0]);
    sim.crash(new);
    fill(&mut sim, leader, 0..3);
    sim.start(new);
    sim.crash(others[1]);
    sim.run_for(2 * SECOND);
    assert_ne!(replica(&sim, leader).role(), Role::Leader);
}

/// Guards against two changes at once, whose quorums need not overlap, and against a change by a
/// leader that does not know yet whether its predecessor's change is committed.
#[test]
fn changes_are_made_one_at_a_time() {
    let (mut sim, leader, others) = cluster(3);
    fill(&mut sim, leader, 0..1);
    let (first, second) = (sim.add(), sim.add());
    sim.input(leader, Input::Change { token: 1, change: add_learner(first) });
    let pending = change(&mut sim, leader, 2, add_learner(second));
    assert_eq!(pending, Outcome::Refused(Refusal::ChangePending));
    sim.run_for(SECOND);

    sim.input(leader, Input::Transfer { to: Some(others[0]) });
    let end = sim.now() + SECOND;
    sim.run_until(end, |sim| replica(sim, others[0]).role() == Role::Leader);
    let new_leader = change(&mut sim, others[0], 3, add_learner(second));
    assert_eq!(new_leader, Outcome::Refused(Refusal::ChangePending));
}

/// Guards against changes that make no sense or exceed the limits.
#[test]
fn impossible_changes_are_refused() {
    let (mut sim, leader, others) = cluster(3);
    let unknown = ReplicaId(12_345);
    let long: std::sync::Arc<str> = "x".repeat(300).into();
    let cases = [
        (add_learner(others[0]), Refusal::CannotAdd),
        (MemberChange::AddLearner { id: unknown, address: long }, Refusal::TooLarge),
        (MemberChange::Promote { id: unknown }, Refusal::NoSuchMember),
        (MemberChange::Promote { id: others[0] }, Refusal::NoSuchMember),
        (MemberChange::Remove { id: unknown }, Refusal::NoSuchMember),
    ];
    fill(&mut sim, leader, 0..1);
    for (token, (what, refusal)) in (10..).zip(cases) {
        assert_eq!(change(&mut sim, leader, token, what), Outcome::Refused(refusal));
    }
    must_change(&mut sim, 20, MemberChange::Remove { id: others[0] });
    must_change(&mut sim, 21, MemberChange::Remove { id: others[1] });
    let last = change(&mut sim, leader, 22, MemberChange::Remove { id: leader });
    assert_eq!(last, Outcome::Refused(Refusal::LastVoter));
}

/// Guards against a removed member that does not know of its removal and campaigns for ever.
#[test]
fn removed_member_does_not_disturb() {
    let (mut sim, leader, others) = cluster(4);
    let removed = others[0];
    sim.cut(leader, removed);
    must_change(&mut sim, 1, MemberChange::Remove { id: removed });
    sim.heal();
    let term = replica(&sim, leader).term();
    sim.run_for(20 * SECOND);
    assert_eq!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).term(), term);

    // Neither may it win, or raise the term, while the others elect a new leader.
    sim.crash(leader);
    sim.run_for(5 * SECOND);
    let next = sim.leader().expect("a new leader");
    assert_ne!(next, removed);
    assert_eq!(replica(&sim, next).term(), replica(&sim, removed).term().max(term + 1));
}

/// Guards against a removed member whose vote requests raise the term while there is no leader, so
/// that the others' elections fail.
#[test]
fn outdated_stranger_does_not_raise_the_term() {
    let (mut sim, leader, others) = cluster(3);
    fill(&mut sim, leader, 0..3);
    sim.run_for(SECOND);
    let id = others[0];
    let mut voter = common::take(&mut sim, id, &common::small_settings());
    let (term, last) = (voter.term(), voter.last_index());
    let vote = |index| Body::Vote { last: Position { index, term }, transfer: false };
    let stranger = ReplicaId(12_345);
    voter.step(common::message(stranger, id, term + 5, vote(last - 1)), SECOND);
    assert_eq!(voter.term(), term);
    voter.step(common::message(others[1], id, term + 5, vote(last - 1)), SECOND);
    assert_eq!(voter.term(), term + 5);
}

/// Guards against a leader that stays in office, or leaves a gap of an election timeout, after its
/// own removal.
#[test]
fn removed_leader_hands_over() {
    let (mut sim, leader, _) = cluster(3);
    fill(&mut sim, leader, 0..3);
    let removal = change(&mut sim, leader, 10, MemberChange::Remove { id: leader });
    assert!(matches!(removal, Outcome::Committed { .. }));
    sim.run_for(Duration::from_millis(200));
    assert_eq!(replica(&sim, leader).role(), Role::Learner);
    let next = sim.leader().expect("a new leader without a timeout");
    assert_eq!(replica(&sim, next).members().len(), 2);
    fill(&mut sim, next, 20..23);
}

/// Guards against a member set that stays in force after the entry that defined it was replaced.
#[test]
fn replaced_change_is_undone() {
    let (mut sim, leader, others) = cluster(3);
    fill(&mut sim, leader, 0..1);
    for other in &others {
        sim.cut(leader, *other);
    }
    sim.input(leader, Input::Change { token: 1, change: MemberChange::Remove { id: others[0] } });
    assert_eq!(replica(&sim, leader).members().len(), 2);
    sim.run_for(3 * SECOND);
    sim.heal();
    let next = elect(&mut sim);
    assert_ne!(next, leader);
    fill(&mut sim, next, 10..12);
    sim.run_for(SECOND);
    assert_eq!(replica(&sim, leader).members(), replica(&sim, next).members());
    assert_eq!(replica(&sim, leader).members().len(), 3);
}
