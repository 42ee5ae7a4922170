//! Elections, leader step-down, reads and leadership transfer.

mod common;

use std::time::Duration;

use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::Record;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Refusal;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::message;
use hickoryreel_consensus::message::Body;
use hickoryreel_consensus::message::Position;
use hickoryreel_consensus::sim::Sim;

use common::CommandLog;
use common::SECOND;
use common::commit_proposals;
use common::crash_and_restore;
use common::elect;
use common::message;
use common::propose;
use common::request;

fn cluster(voters: usize) -> (Sim<CommandLog>, ReplicaId, Vec<ReplicaId>) {
    let mut sim = Sim::new(3, Settings::default(), voters);
    let leader = elect(&mut sim);
    let voters = replica(&sim, leader).members().voters();
    let others = voters.filter(|id| *id != leader).collect();
    (sim, leader, others)
}

fn replica(sim: &Sim<CommandLog>, id: ReplicaId) -> &Replica {
    sim.get(id).expect("the replica runs").1
}

/// Disconnects a replica from the others in both directions.
fn isolate(sim: &mut Sim<CommandLog>, id: ReplicaId, others: &[ReplicaId]) {
    for other in others {
        sim.disconnect(id, *other);
        sim.disconnect(*other, id);
    }
}

/// Guards against a failover that takes longer than the entry lease of 3 s.
#[test]
fn new_leader_is_confirmed_within_the_lease_after_a_crash() {
    for seed in 0..50 {
        let mut sim: Sim<CommandLog> = Sim::new(seed, Settings::default(), 3);
        let leader = elect(&mut sim);
        commit_proposals(&mut sim, leader, 0..3);
        sim.crash(leader);
        let end = sim.now() + 3 * SECOND;
        let confirmed = sim.run_until(end, |sim| {
            let next = sim.leader().map(|id| replica(sim, id));
            next.is_some_and(|next| next.quorum_confirmed_at().is_some())
        });
        assert!(confirmed, "seed {seed}");
    }
}

/// Guards against replicas that wait for a full election timeout after all of them crashed. They
/// restart within a second, and requests wait for the election.
#[test]
fn replicas_that_all_restart_elect_a_leader_before_a_usual_timeout() {
    for seed in 0..50 {
        let mut sim: Sim<CommandLog> = Sim::new(seed, Settings::default(), 5);
        let leader = elect(&mut sim);
        let voters: Vec<ReplicaId> = replica(&sim, leader).members().voters().collect();
        voters.iter().for_each(|id| sim.crash(*id));
        sim.run_for(SECOND);
        voters.iter().for_each(|id| sim.start(*id));

        let end = sim.now() + Settings::default().election_min;
        assert!(sim.run_until(end, |sim| sim.leader().is_some()), "seed {seed}");
    }
}

/// Guards against a leader that keeps its role, and grants leases, without a quorum.
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

/// Guards against leases that start when the confirmation arrives instead of when the leader
/// requested it. Such leases would last too long.
#[test]
fn quorum_confirmation_has_the_time_of_the_request() {
    let (mut sim, leader, _) = cluster(3);
    sim.network.max_delay = Duration::from_millis(40);
    sim.run_for(SECOND);
    for _ in 0..100 {
        sim.run_for(Duration::from_millis(7));
        let at = replica(&sim, leader).quorum_confirmed_at().expect("a quorum followed");
        assert!(at < sim.now(), "the round took time");
    }
}

/// Guards against a replica that returns from a partition with a higher term and deposes a working
/// leader.
#[test]
fn isolated_follower_does_not_raise_the_term() {
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

/// Guards against repeated elections when a replica does not receive messages from the leader but
/// can send messages to the others.
#[test]
fn one_way_cut_does_not_depose_the_leader() {
    let (mut sim, leader, others) = cluster(3);
    let term = replica(&sim, leader).term();
    sim.disconnect(leader, others[0]);
    sim.run_for(20 * SECOND);
    assert_eq!(replica(&sim, leader).role(), Role::Leader);
    assert_eq!(replica(&sim, leader).term(), term);
}

/// Guards against stale reads: an isolated leader must not serve reads, because another leader may
/// have committed newer entries.
#[test]
fn isolated_leader_serves_no_read() {
    let (mut sim, leader, others) = cluster(3);
    isolate(&mut sim, leader, &others);
    let reply = request(&mut sim, leader, 1, Input::Read { token: 1 });
    assert_eq!(reply, Outcome::NotLeader { hint: None });
}

/// Guards against reads at a new leader that miss entries committed by its predecessor.
#[test]
fn new_leader_reads_everything_committed() {
    let (mut sim, leader, _) = cluster(3);
    commit_proposals(&mut sim, leader, 0..5);
    sim.crash(leader);
    let next = elect(&mut sim);
    let reply = request(&mut sim, next, 10, Input::Read { token: 10 });
    // Five proposals, the initial members, and the no-op entries of two leaders.
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
    let done = |sim: &Sim<CommandLog>| sim.replies.len() == 1_000;
    // The first read has its own round. All later ones share the next round, which takes at most
    // one round trip.
    assert!(sim.run_until(start + Duration::from_millis(25), done));
}

/// Guards against a vote that is lost in a restart: the replica could vote again, which could elect
/// two leaders in one term.
#[test]
fn vote_survives_a_restart() {
    let (mut sim, leader, others) = cluster(3);
    commit_proposals(&mut sim, leader, 0..2);
    sim.crash(leader);
    sim.crash(others[1]);
    sim.run_for(2 * SECOND);
    let voter = others[0];
    let term = replica(&sim, voter).term() + 1;
    let last = Position { index: 100, term };
    let vote = |from| message(from, voter, term, Body::Vote { last, transfer: true });
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

/// Guards against messages that acknowledge records before they are synced.
#[test]
fn votes_and_acknowledgements_wait_for_the_sync() {
    let (mut sim, leader, others) = cluster(3);
    let id = others[0];
    let mut follower = crash_and_restore(&mut sim, id, &Settings::default());
    let term = follower.term() + 1;
    let last = Position { index: 100, term };

    let vote = Body::Vote { last, transfer: true };
    let vote = follower.step(message(leader, id, term, vote), SECOND);
    assert!(vote.messages.is_empty() && vote.after_sync.len() == 1 && !vote.records.is_empty());

    let previous = Position { index: follower.last_index(), term: term - 1 };
    let entries = vec![Entry { index: previous.index + 1, term, payload: Payload::Empty }];
    let append = Body::Append { previous, entries, commit: 0, round: 1 };
    let append = follower.step(message(leader, id, term, append), SECOND);
    assert!(append.messages.is_empty() && append.after_sync.len() == 1);
    assert_eq!(append.records.len(), 1);
}

/// Guards against a vote that is not recorded because the term did not change with it.
#[test]
fn vote_in_a_known_term_is_recorded() {
    let (mut sim, leader, others) = cluster(3);
    let id = others[0];
    let mut voter = crash_and_restore(&mut sim, id, &Settings::default());
    let term = voter.term() + 1;
    let vote = |last| Body::Vote { last, transfer: true };
    voter.step(message(others[1], id, term, vote(Position::default())), SECOND);
    assert_eq!(voter.term(), term);
    let last = Position { index: 100, term };
    let output = voter.step(message(leader, id, term, vote(last)), SECOND);
    assert_eq!(output.after_sync[0].body, Body::VoteReply { granted: true });
    assert_eq!(output.records, [Record::HardState { term, vote: Some(leader) }]);
}

/// Crashes a replica, restores it and makes it the leader by hand-written messages. Returns it and
/// its first messages as the leader.
fn elect_by_hand(
    sim: &mut Sim<CommandLog>,
    id: ReplicaId,
    settings: &Settings,
) -> (Replica, Vec<Message>) {
    let mut candidate = crash_and_restore(sim, id, settings);
    let other_voter =
        candidate.members().voters().find(|other| *other != id).expect("another voter");
    let output = candidate
        .step(message(other_voter, id, candidate.term(), Body::TimeoutNow), Duration::ZERO);
    candidate.step(Input::Persisted { up_to: output.sequence }, Duration::ZERO);
    let vote = Body::VoteReply { granted: true };
    let output = candidate.step(message(other_voter, id, candidate.term(), vote), Duration::ZERO);
    assert_eq!(candidate.role(), Role::Leader);
    (candidate, output.messages)
}

/// Guards against committing an entry of an earlier term because a quorum holds it: a later leader
/// without the entry could still replace it.
#[test]
fn entries_of_earlier_terms_commit_with_one_of_the_own_term() {
    let (mut sim, leader, _) = cluster(3);
    commit_proposals(&mut sim, leader, 0..5);
    let (mut new_leader, messages) = elect_by_hand(&mut sim, leader, &Settings::default());
    let (noop, from) = (new_leader.last_index(), messages[0].to);
    let mut matched = |index| {
        let outcome = message::Outcome::Matched(index);
        let reply = Body::AppendReply { outcome, round: 1 };
        new_leader.step(message(from, leader, new_leader.term(), reply), Duration::ZERO);
        new_leader.step(Input::Persisted { up_to: u64::MAX }, Duration::ZERO);
        new_leader.commit_index()
    };
    assert_eq!(matched(noop - 1), 0);
    assert_eq!(matched(noop), noop);
}

/// Guards against a graceful shutdown that costs an election timeout, and against a proposal that
/// is lost during the transfer.
#[test]
fn transfer_hands_over_without_a_timeout() {
    let (mut sim, leader, others) = cluster(3);
    commit_proposals(&mut sim, leader, 0..5);
    sim.input(leader, Input::Propose { token: 9, payload: vec![9] });
    sim.input(leader, Input::Transfer { to: Some(others[1]) });
    let refused = propose(&mut sim, leader, 10);
    assert!(matches!(refused, Outcome::NotLeader { hint: Some(next) } if next.id == others[1]));
    let end = sim.now() + Duration::from_millis(100);
    let done = |sim: &Sim<CommandLog>| replica(sim, others[1]).role() == Role::Leader;
    assert!(sim.run_until(end, done), "the transfer took longer than 100 ms");
    assert_eq!(sim.replies[0].1.outcome, Outcome::Committed { index: 8 });
}

/// Guards against a leader that refuses requests forever after a transfer to a replica that does
/// not respond.
#[test]
fn transfer_to_a_crashed_replica_times_out() {
    let (mut sim, leader, others) = cluster(3);
    sim.crash(others[0]);
    sim.input(leader, Input::Transfer { to: Some(others[0]) });
    sim.run_for(2 * SECOND);
    assert!(matches!(propose(&mut sim, leader, 1), Outcome::Committed { .. }));
}

/// Guards against unbounded memory use when proposals arrive faster than they are committed.
#[test]
fn proposals_beyond_the_limits_are_refused() {
    let settings =
        Settings { max_payload_bytes: 100, max_uncommitted_bytes: 250, ..Settings::default() };
    let mut sim: Sim<CommandLog> = Sim::new(3, settings, 3);
    let leader = elect(&mut sim);
    let mut outcome = |token, size| {
        sim.input(leader, Input::Propose { token, payload: vec![0; size] });
        sim.replies
            .iter()
            .find(|(_, reply)| reply.token == token)
            .map(|(_, reply)| reply.outcome.clone())
    };
    assert_eq!(outcome(1, 101), Some(Outcome::Refused(Refusal::TooLarge)));
    assert_eq!(outcome(2, 100), None);
    assert_eq!(outcome(3, 100), None);
    assert_eq!(outcome(4, 100), Some(Outcome::Refused(Refusal::Busy)));
    sim.run_for(SECOND);
    assert!(matches!(propose(&mut sim, leader, 5), Outcome::Committed { .. }));
}

/// Guards against endless retransmission of many entries to a replica that rejects them because its
/// disk is full.
#[test]
fn rejecting_replica_is_sent_one_entry_at_a_time() {
    let (mut sim, leader, _) = cluster(3);
    let (mut new_leader, messages) = elect_by_hand(&mut sim, leader, &Settings::default());
    let (to, term, last) = (messages[0].to, new_leader.term(), new_leader.last_index() - 1);
    let proposals = (0..100).map(|token| Input::Propose { token, payload: vec![1; 400] });
    new_leader.step_all(proposals, Duration::ZERO);
    let mut sent = 0;
    for tick in 1..=20 {
        let now = tick * Settings::default().heartbeat;
        let matched = message::Outcome::Matched(last);
        let replies = [message::Outcome::Rejected { previous: last + 50, hint: last }, matched]
            .map(|outcome| Body::AppendReply { outcome, round: u64::from(tick) })
            .map(|body| message(to, leader, term, body));
        let output = new_leader.step_all([Input::Tick].into_iter().chain(replies), now);
        sent +=
            output.messages.iter().filter(|message| message.to == to).map(entries).sum::<usize>();
    }
    assert_eq!(new_leader.role(), Role::Leader);
    assert!((5..=20).contains(&sent), "{sent} entries in 20 heartbeats");
}

fn entries(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    }
}

/// Guards against messages above the size limits, which the transport would refuse.
#[test]
fn messages_are_bounded() {
    let settings =
        Settings { max_payload_bytes: 600, max_append_bytes: 1_000, ..Settings::default() };
    let mut sim: Sim<CommandLog> = Sim::new(3, settings.clone(), 3);
    let leader = elect(&mut sim);
    let (mut new_leader, messages) = elect_by_hand(&mut sim, leader, &settings);
    let Body::Append { previous, round, .. } = messages[0].body else { panic!("{messages:?}") };
    let outcome = message::Outcome::Matched(previous.index + 1);
    let reply = Body::AppendReply { outcome, round };
    new_leader.step(message(messages[0].to, leader, new_leader.term(), reply), Duration::ZERO);

    let proposals = (0..100).map(|token| Input::Propose { token, payload: vec![1; 400] });
    let output = new_leader.step_all(proposals, Duration::ZERO);
    let sizes: Vec<usize> = output.messages.iter().map(|message| message.encode().len()).collect();
    assert_eq!(sizes.len(), Settings::default().max_inflight, "pipelined appends");
    assert!(sizes.iter().all(|size| *size > 400 && *size <= 1_100), "{sizes:?}");
}
