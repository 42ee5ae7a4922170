//! Membership changes, learners, lost disks and removed members.

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

use common::CommandLog;
use common::SECOND;
use common::change;
use common::commit_proposals;
use common::elect;

fn cluster(voters: usize) -> (Sim<CommandLog>, ReplicaId, Vec<ReplicaId>) {
    let mut sim = Sim::new(3, common::small_settings(), voters);
    let leader = elect(&mut sim);
    let voters = replica(&sim, leader).members().voters();
    let others = voters.filter(|id| *id != leader).collect();
    (sim, leader, others)
}

fn replica(sim: &Sim<CommandLog>, id: ReplicaId) -> &Replica {
    sim.get(id).expect("the replica runs").1
}

fn add_learner(id: ReplicaId) -> MemberChange {
    MemberChange::AddLearner { id, address: "new".into() }
}

/// Requests a membership change until it is committed.
fn commit_change(sim: &mut Sim<CommandLog>, token: u64, requested_change: MemberChange) {
    for _ in 0..50 {
        let leader = elect(sim);
        if let Outcome::Committed { .. } = change(sim, leader, token, requested_change.clone()) {
            return;
        }
        sim.run_for(Duration::from_millis(100));
    }
    panic!("{requested_change:?} is not committed");
}

/// Replaces a replica whose disk was lost. Returns the id of the new replica.
fn replace(sim: &mut Sim<CommandLog>, lost: ReplicaId, token: u64) -> ReplicaId {
    let new = sim.add();
    commit_change(sim, token, add_learner(new));
    commit_change(sim, token + 1, MemberChange::Promote { id: new });
    commit_change(sim, token + 2, MemberChange::Remove { id: lost });
    new
}

/// Guards against a repair that leaves voters without a full copy of the log. The three original
/// disks are lost one after the other, each after the previous repair, so that in the end only
/// replacements hold the data.
#[test]
fn every_disk_may_be_lost_after_a_repair() {
    let (mut sim, leader, others) = cluster(3);
    sim.snapshot_every = Some(10);
    commit_proposals(&mut sim, leader, 0..35);
    let expected = sim.get(leader).unwrap().0.clone();
    for (round, lost) in (0..).zip([leader, others[0], others[1]]) {
        sim.crash(lost);
        replace(&mut sim, lost, 1_000 + 10 * round);
    }
    let leader = elect(&mut sim);
    assert_eq!(sim.get(leader).unwrap().0, &expected);
    assert_eq!(replica(&sim, leader).members().len(), 3);
    commit_proposals(&mut sim, leader, 100..105);
}

/// Guards against a replica with an empty disk that votes or campaigns. It may lack entries that
/// its predecessor acknowledged.
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

/// Guards against processing messages for a lost replica at the new replica with the same address.
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

/// Guards against promoting a learner that lacks entries: a quorum that counts it could lose data,
/// and one that needs its vote could not elect a leader.
#[test]
fn learner_is_promoted_only_when_caught_up() {
    let (mut sim, leader, _) = cluster(3);
    commit_proposals(&mut sim, leader, 0..10);
    let new = sim.add();
    sim.disconnect(leader, new);
    commit_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    let promote = MemberChange::Promote { id: new };
    let silent = change(&mut sim, leader, 101, promote.clone());
    assert_eq!(silent, Outcome::Refused(Refusal::NotCaughtUp));

    // The learner receives the log now, but its replies are lost.
    sim.heal();
    sim.disconnect(new, leader);
    sim.run_for(SECOND);
    let unknown = change(&mut sim, leader, 102, promote.clone());
    assert_eq!(unknown, Outcome::Refused(Refusal::NotCaughtUp));

    sim.heal();
    sim.run_for(SECOND);
    assert!(matches!(change(&mut sim, leader, 103, promote), Outcome::Committed { .. }));
}

/// Guards against promoting a learner that lags so far behind that commits would wait for it.
#[test]
fn learner_that_fell_behind_is_not_promoted() {
    let (mut sim, leader, _) = cluster(3);
    let new = sim.add();
    commit_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    sim.disconnect(leader, new);
    for token in 0..5 {
        sim.input(leader, Input::Propose { token, payload: vec![1] });
    }
    let late = change(&mut sim, leader, 101, MemberChange::Promote { id: new });
    assert_eq!(late, Outcome::Refused(Refusal::NotCaughtUp));
    sim.heal();
    commit_change(&mut sim, 102, MemberChange::Promote { id: new });
}

/// Guards against a single replica that cannot be extended to a cluster. Only the first replica is
/// started with a member set; the others are added as members.
#[test]
fn cluster_grows_from_one_voter() {
    let (mut sim, first, _) = cluster(1);
    commit_proposals(&mut sim, first, 0..5);
    for round in 0..2 {
        let new = sim.add();
        commit_change(&mut sim, 100 + 10 * round, add_learner(new));
        commit_change(&mut sim, 101 + 10 * round, MemberChange::Promote { id: new });
    }
    sim.crash(first);
    let next = elect(&mut sim);
    assert_eq!(sim.get(next).unwrap().0.0.len(), 5);
    commit_proposals(&mut sim, next, 10..12);
}

/// Guards against promoting a learner that replies but has no entries yet, while the log is shorter
/// than the permitted lag.
#[test]
fn learner_without_entries_is_not_promoted() {
    let (mut sim, leader, _) = cluster(3);
    let new = sim.add();
    sim.max_sync = 2 * SECOND;
    sim.input(leader, Input::Change { token: 1, change: add_learner(new) });
    let attempts = (0..40).map(|token| {
        sim.run_for(Duration::from_millis(50));
        let promote = MemberChange::Promote { id: new };
        sim.input(leader, Input::Change { token: 100 + token, change: promote });
        (replica(&sim, leader).members().is_voter(new), replica(&sim, new).last_index())
    });
    let early: Vec<_> = attempts.filter(|(voter, last)| *voter && *last == 0).collect();
    assert!(early.is_empty(), "{early:?}");
}

/// Guards against quorums that require or count learners.
#[test]
fn learners_do_not_count() {
    let (mut sim, leader, others) = cluster(3);
    let new = sim.add();
    commit_change(&mut sim, 100, add_learner(new));
    sim.run_for(SECOND);
    assert_eq!(replica(&sim, new).role(), Role::Learner);
    sim.crash(others[0]);
    sim.crash(new);
    commit_proposals(&mut sim, leader, 0..3);
    sim.start(new);
    sim.crash(others[1]);
    sim.run_for(2 * SECOND);
    assert_ne!(replica(&sim, leader).role(), Role::Leader);
}

/// Guards against concurrent changes, whose quorums may not overlap, and against a change by a new
/// leader that does not know yet whether its predecessor's change is committed.
#[test]
fn concurrent_changes_are_refused() {
    let (mut sim, leader, others) = cluster(3);
    commit_proposals(&mut sim, leader, 0..1);
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

/// Guards against changes that are invalid or exceed the limits.
#[test]
fn invalid_changes_are_refused() {
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
    commit_proposals(&mut sim, leader, 0..1);
    for (token, (requested_change, refusal)) in (10..).zip(cases) {
        assert_eq!(change(&mut sim, leader, token, requested_change), Outcome::Refused(refusal));
    }
    commit_change(&mut sim, 20, MemberChange::Remove { id: others[0] });
    commit_change(&mut sim, 21, MemberChange::Remove { id: others[1] });
    let last = change(&mut sim, leader, 22, MemberChange::Remove { id: leader });
    assert_eq!(last, Outcome::Refused(Refusal::LastVoter));
}

/// Guards against a removed member that does not know of its removal and campaigns repeatedly.
#[test]
fn removed_member_does_not_disrupt_the_cluster() {
    let (mut sim, leader, others) = cluster(4);
    let removed = others[0];
    sim.disconnect(leader, removed);
    commit_change(&mut sim, 1, MemberChange::Remove { id: removed });
    sim.heal();
    let term = replica(&sim, leader).term();
    sim.run_for(20 * SECOND);
    assert_eq!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).term(), term);

    // It must not win or raise the term while the others elect a new leader either.
    sim.crash(leader);
    sim.run_for(5 * SECOND);
    let next = sim.leader().expect("a new leader");
    assert_ne!(next, removed);
    assert_eq!(replica(&sim, next).term(), replica(&sim, removed).term().max(term + 1));
}

/// Guards against a removed member whose vote requests raise the term while there is no leader,
/// which would make the elections of the members fail.
#[test]
fn outdated_non_member_does_not_raise_the_term() {
    let (mut sim, leader, others) = cluster(3);
    commit_proposals(&mut sim, leader, 0..3);
    sim.run_for(SECOND);
    let id = others[0];
    let mut voter = common::crash_and_restore(&mut sim, id, &common::small_settings());
    let (term, last) = (voter.term(), voter.last_index());
    let vote = |index| Body::Vote { last: Position { index, term }, transfer: false };
    let non_member = ReplicaId(12_345);
    voter.step(common::message(non_member, id, term + 5, vote(last - 1)), SECOND);
    assert_eq!(voter.term(), term);
    voter.step(common::message(others[1], id, term + 5, vote(last - 1)), SECOND);
    assert_eq!(voter.term(), term + 5);
}

/// Guards against a removed leader that keeps its role, or that leaves the cluster without a leader
/// for an election timeout.
#[test]
fn removed_leader_transfers_leadership() {
    let (mut sim, leader, _) = cluster(3);
    commit_proposals(&mut sim, leader, 0..3);
    let removal = change(&mut sim, leader, 10, MemberChange::Remove { id: leader });
    assert!(matches!(removal, Outcome::Committed { .. }));
    sim.run_for(Duration::from_millis(200));
    assert_eq!(replica(&sim, leader).role(), Role::Learner);
    let next = sim.leader().expect("a new leader without a timeout");
    assert_eq!(replica(&sim, next).members().len(), 2);
    commit_proposals(&mut sim, next, 20..23);
}

/// Guards against a member set that stays in effect after the log entry that defined it was
/// replaced.
#[test]
fn replaced_membership_change_is_reverted() {
    let (mut sim, leader, others) = cluster(3);
    commit_proposals(&mut sim, leader, 0..1);
    for other in &others {
        sim.disconnect(leader, *other);
    }
    sim.input(leader, Input::Change { token: 1, change: MemberChange::Remove { id: others[0] } });
    assert_eq!(replica(&sim, leader).members().len(), 2);
    sim.run_for(3 * SECOND);
    sim.heal();
    let next = elect(&mut sim);
    assert_ne!(next, leader);
    commit_proposals(&mut sim, next, 10..12);
    sim.run_for(SECOND);
    assert_eq!(replica(&sim, leader).members(), replica(&sim, next).members());
    assert_eq!(replica(&sim, leader).members().len(), 3);
}
