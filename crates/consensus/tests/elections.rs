//! Elections, step-down, reads and leadership transfer.

mod common;

use std::time::Duration;

use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Refusal;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::message::Body;
use hickoryreel_consensus::message::Position;
use hickoryreel_consensus::sim::Sim;

use common::Journal;
use common::SECOND;
use common::ask;
use common::elect;
use common::fill;
use common::propose;

fn cluster(voters: usize) -> (Sim<Journal>, ReplicaId, Vec<ReplicaId>) {
    let mut sim = Sim::new(3, Settings::default(), voters);
    let leader = elect(&mut sim);
    let voters = replica(&sim, leader).members().voters();
    let others = voters.filter(|id| *id != leader).collect();
    (sim, leader, others)
}

fn replica(sim: &Sim<Journal>, id: ReplicaId) -> &Replica {
    sim.get(id).expect("the replica runs").1
}

/// Cuts a replica off from the others in both directions.
fn isolate(sim: &mut Sim<Journal>, id: ReplicaId, others: &[ReplicaId]) {
    for other in others {
        sim.cut(id, *other);
        sim.cut(*other, id);
    }
}

/// Guards against a fail-over that outlasts the entry lease of 3 s.
#[test]
fn another_leader_follows_a_crash_within_the_lease() {
    for seed in 0..50 {
        let mut sim: Sim<Journal> = Sim::new(seed, Settings::default(), 3);
        let leader = elect(&mut sim);
        fill(&mut sim, leader, 0..3);
        sim.crash(leader);
        let end = sim.now() + 3 * SECOND;
        let confirmed = sim.run_until(end, |sim| {
            let next = sim.leader().map(|id| replica(sim, id));
            next.is_some_and(|next| next.quorum_confirmed_at().is_some())
        });
        assert!(confirmed, "seed {seed}");
    }
}

/// Guards against a leader that goes on leading, and granting leases, without a quorum.
#[test]
fn leader_without_quorum_steps_down_within_an_election_timeout() {
    let (mut sim, leader, others) = cluster(3);
    isolate(&mut sim, leader, &others);
    let confirmed = replica(&sim, leader).quorum_confirmed_at().expect("a quorum followed");
    let limit = confirmed + Settings::default().election_min + Duration::from_millis(200);
    sim.run_until(limit, |_| false);
    assert_ne!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).quorum_confirmed_at(), None);
    let reply = propose(&mut sim, leader, 1);
    assert_eq!(reply, Outcome::NotLeader { hint: None });
}

/// Guards against a lease that starts when the confirmation arrives instead of when it was asked
/// for.
#[test]
fn quorum_confirmation_is_dated_by_the_request() {
    let (mut sim, leader, _) = cluster(3);
    sim.network.max_delay = Duration::from_millis(40);
    sim.run_for(SECOND);
    for _ in 0..100 {
        sim.run_for(Duration::from_millis(7));
        let at = replica(&sim, leader).quorum_confirmed_at().expect("a quorum followed");
        assert!(at < sim.now(), "the round took time");
    }
}

/// Guards against a replica that was cut off and returns with a higher term, which would depose a
/// leader that works.
#[test]
fn isolated_follower_raises_no_term() {
    let (mut sim, leader, others) = cluster(3);
    let term = replica(&sim, leader).term();
    isolate(&mut sim, others[0], &[leader, others[1]]);
    sim.run_for(20 * SECOND);
    sim.heal();
    sim.run_for(5 * SECOND);
    assert_eq!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).term(), term);
    assert_eq!(replica(&sim, others[0]).leader(), Some(leader));
}

/// Guards against elections without end when one replica cannot hear the leader but reaches the
/// others.
#[test]
fn one_way_cut_does_not_depose_the_leader() {
    let (mut sim, leader, others) = cluster(3);
    let term = replica(&sim, leader).term();
    sim.cut(leader, others[0]);
    sim.run_for(20 * SECOND);
    assert_eq!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).term(), term);
}

/// Guards against a read that an isolated leader serves after another leader committed newer
/// entries.
#[test]
fn isolated_leader_answers_no_read() {
    let (mut sim, leader, others) = cluster(3);
    isolate(&mut sim, leader, &others);
    let reply = ask(&mut sim, leader, 1, Input::Read { token: 1 });
    assert_eq!(reply, Outcome::NotLeader { hint: None });
}

/// Guards against reads of a new leader that miss entries which its predecessor committed.
#[test]
fn new_leader_reads_everything_committed() {
    let (mut sim, leader, _) = cluster(3);
    fill(&mut sim, leader, 0..5);
    sim.crash(leader);
    let next = elect(&mut sim);
    let reply = ask(&mut sim, next, 10, Input::Read { token: 10 });
    // Five proposals, the first members and the first entries of two leaders.
    assert_eq!(reply, Outcome::ReadReady { index: 8 });
}

/// Guards against one quorum round per read.
#[test]
fn reads_share_a_round() {
    let (mut sim, leader, _) = cluster(3);
    for token in 0..1_000 {
        sim.input(leader, Input::Read { token });
    }
    let start = sim.now();
    let done = |sim: &Sim<Journal>| sim.replies.len() == 1_000;
    // The first read has a round of its own; all later ones share the next, of two delays.
    assert!(sim.run_until(start + Duration::from_millis(25), done));
}

/// Guards against a lost vote: a replica that forgets it across a restart could elect two leaders.
#[test]
fn vote_survives_a_restart() {
    let (mut sim, leader, others) = cluster(3);
    fill(&mut sim, leader, 0..2);
    sim.crash(leader);
    sim.crash(others[1]);
    sim.run_for(2 * SECOND);
    let voter = others[0];
    let term = replica(&sim, voter).term() + 1;
    let last = Position { index: 100, term };
    let vote = |from| {
        let body = Body::Vote { last, transfer: true };
        Input::Message(Message { from, to: voter, term, body })
    };
    sim.input(voter, vote(leader));
    sim.crash(voter);
    sim.start(voter);
    sim.input(voter, vote(others[1]));
    assert_eq!(replica(&sim, voter).term(), term);

    sim.crash(voter);
    let (_, restored) = hickoryreel_consensus::storage::Store::open_disk(
        Box::new(sim.disk(voter)),
        &Settings::default(),
        || voter,
    )
    .unwrap();
    assert_eq!((restored.term, restored.vote), (term, Some(leader)));
}

/// Guards against messages that claim durability before the sync.
#[test]
fn votes_and_acknowledgements_wait_for_the_sync() {
    let (mut sim, leader, others) = cluster(3);
    sim.crash(leader);
    sim.crash(others[0]);
    let (_, restored) = hickoryreel_consensus::storage::Store::open_disk(
        Box::new(sim.disk(others[0])),
        &Settings::default(),
        || others[0],
    )
    .unwrap();
    let mut follower = Replica::new(Settings::default(), restored, 1);
    let term = follower.term() + 1;
    let last = Position { index: 100, term };
    let message = |body| Input::Message(Message { from: leader, to: others[0], term, body });

    let vote = follower.step(message(Body::Vote { last, transfer: true }), SECOND);
    assert!(vote.messages.is_empty() && vote.after_sync.len() == 1 && !vote.records.is_empty());

    let previous = Position { index: follower.last_index(), term: term - 1 };
    let payload = hickoryreel_consensus::Payload::Empty;
    let entries = vec![hickoryreel_consensus::Entry { index: previous.index + 1, term, payload }];
    let append =
        follower.step(message(Body::Append { previous, entries, commit: 0, round: 1 }), SECOND);
    assert!(append.messages.is_empty() && append.after_sync.len() == 1);
    assert_eq!(append.records.len(), 1);
}

/// Guards against a graceful stop that costs an election timeout, and against a proposal that is
/// lost meanwhile.
#[test]
fn transfer_hands_over_without_a_timeout() {
    let (mut sim, leader, others) = cluster(3);
    fill(&mut sim, leader, 0..5);
    sim.input(leader, Input::Propose { token: 9, payload: vec![9] });
    sim.input(leader, Input::Transfer { to: Some(others[1]) });
    let refused = propose(&mut sim, leader, 10);
    assert!(matches!(refused, Outcome::NotLeader { hint: Some(next) } if next.id == others[1]));
    let end = sim.now() + Duration::from_millis(100);
    let done = |sim: &Sim<Journal>| replica(sim, others[1]).role() == Role::Leader;
    assert!(sim.run_until(end, done), "the transfer took longer than 100 ms");
    assert_eq!(sim.replies[0].1.outcome, Outcome::Committed { index: 8 });
}

/// Guards against a leader that stays silent after a transfer to a replica that does not answer.
#[test]
fn failed_transfer_ends() {
    let (mut sim, leader, others) = cluster(3);
    sim.crash(others[0]);
    sim.input(leader, Input::Transfer { to: Some(others[0]) });
    sim.run_for(2 * SECOND);
    assert!(matches!(propose(&mut sim, leader, 1), Outcome::Committed { .. }));
}

/// Guards against unbounded memory and messages under more work than the cluster can take.
#[test]
fn work_beyond_the_limits_is_refused() {
    let settings =
        Settings { max_payload_bytes: 100, max_uncommitted_bytes: 250, ..Settings::default() };
    let mut sim: Sim<Journal> = Sim::new(3, settings, 3);
    let leader = elect(&mut sim);
    let mut outcome = |token, size| {
        sim.input(leader, Input::Propose { token, payload: vec![0; size] });
        sim.replies.iter().find(|(_, one)| one.token == token).map(|(_, one)| one.outcome.clone())
    };
    assert_eq!(outcome(1, 101), Some(Outcome::Refused(Refusal::TooLarge)));
    assert_eq!(outcome(2, 100), None);
    assert_eq!(outcome(3, 100), None);
    assert_eq!(outcome(4, 100), Some(Outcome::Refused(Refusal::Busy)));
    sim.run_for(SECOND);
    assert!(matches!(propose(&mut sim, leader, 5), Outcome::Committed { .. }));
}

/// Guards against messages above the size limits, which a transport would refuse.
#[test]
fn messages_are_bounded() {
    let settings =
        Settings { max_payload_bytes: 600, max_append_bytes: 1_000, ..Settings::default() };
    let mut sim: Sim<Journal> = Sim::new(3, settings.clone(), 3);
    let leader = elect(&mut sim);
    sim.crash(leader);
    let disk = Box::new(sim.disk(leader));
    let (_, restored) =
        hickoryreel_consensus::storage::Store::open_disk(disk, &settings, || leader).unwrap();
    let mut one = Replica::new(settings, restored, 1);
    let members: Vec<_> = one.members().voters().filter(|id| *id != leader).collect();
    one.step(Input::Tick, Duration::ZERO);
    let body = Body::TakeOver;
    let take_over = Message { from: members[0], to: leader, term: one.term(), body };
    let campaign = one.step(Input::Message(take_over), Duration::ZERO);
    one.step(Input::Persisted { up_to: campaign.sequence }, Duration::ZERO);
    let body = Body::VoteReply { granted: true };
    let vote = Message { from: members[0], to: leader, term: one.term(), body };
    let sent = one.step(Input::Message(vote), Duration::ZERO);
    assert_eq!(one.role(), Role::Leader);
    let probe = sent.messages.iter().find(|message| message.to == members[0]).unwrap();
    let Body::Append { previous, round, .. } = &probe.body else { panic!("{probe:?}") };
    let outcome = hickoryreel_consensus::message::Outcome::Matched(previous.index + 1);
    let body = Body::AppendReply { outcome, round: *round };
    let reply = Message { from: members[0], to: leader, term: one.term(), body };
    one.step(Input::Message(reply), Duration::ZERO);

    let proposals = (0..100).map(|token| Input::Propose { token, payload: vec![1; 400] });
    let output = one.step_all(proposals, Duration::ZERO);
    let sizes: Vec<usize> = output.messages.iter().map(|one| one.encode().len()).collect();
    assert_eq!(sizes.len(), Settings::default().max_inflight, "pipelined appends");
    assert!(sizes.iter().all(|size| *size > 400 && *size <= 1_100), "{sizes:?}");
}
