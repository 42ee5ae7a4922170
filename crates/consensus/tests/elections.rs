//! Elections, step-down, reads and leadership transfer.

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

use common::Journal;
use common::SECOND;
use common::ask;
use common::elect;
use common::fill;
use common::message;
use common::propose;
use common::take;

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

/// Guards against replicas that wait for a whole election timeout after all of them were lost at
/// once: they are back within a second, and requests wait for them.
#[test]
fn replicas_that_all_restart_elect_a_leader_before_a_usual_timeout() {
    for seed in 0..50 {
        let mut sim: Sim<Journal> = Sim::new(seed, Settings::default(), 5);
        let leader = elect(&mut sim);
        let voters: Vec<ReplicaId> = replica(&sim, leader).members().voters().collect();
        voters.iter().for_each(|id| sim.crash(*id));
        sim.run_for(SECOND);
        voters.iter().for_each(|id| sim.start(*id));

        let end = sim.now() + Settings::default().election_min;
        assert!(sim.run_until(end, |sim| sim.leader().is_some()), "seed {seed}");
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

/// Guards against messages that claim durability before the sync.
#[test]
fn votes_and_acknowledgements_wait_for_the_sync() {
    let (mut sim, leader, others) = cluster(3);
    let id = others[0];
    let mut follower = take(&mut sim, id, &Settings::default());
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

/// Guards against a vote that is not recorded because the replica knew the term before.
#[test]
fn vote_in_a_known_term_is_recorded() {
    let (mut sim, leader, others) = cluster(3);
    let id = others[0];
    let mut voter = take(&mut sim, id, &Settings::default());
    let term = voter.term() + 1;
    let vote = |last| Body::Vote { last, transfer: true };
    voter.step(message(others[1], id, term, vote(Position::default())), SECOND);
    assert_eq!(voter.term(), term);
    let last = Position { index: 100, term };
    let output = voter.step(message(leader, id, term, vote(last)), SECOND);
    assert_eq!(output.after_sync[0].body, Body::VoteReply { granted: true });
    assert_eq!(output.records, [Record::HardState { term, vote: Some(leader) }]);
}

/// Makes a crashed replica the leader by hand. Returns it and its first messages.
fn lead(sim: &mut Sim<Journal>, id: ReplicaId, settings: &Settings) -> (Replica, Vec<Message>) {
    let mut one = take(sim, id, settings);
    let helper = one.members().voters().find(|other| *other != id).expect("another voter");
    let output = one.step(message(helper, id, one.term(), Body::TakeOver), Duration::ZERO);
    one.step(Input::Persisted { up_to: output.sequence }, Duration::ZERO);
    let vote = Body::VoteReply { granted: true };
    let output = one.step(message(helper, id, one.term(), vote), Duration::ZERO);
    assert_eq!(one.role(), Role::Leader);
    (one, output.messages)
}

/// Guards against a commit of an earlier term's entry by counting copies: a later leader without
/// the entry could still replace it.
#[test]
fn entries_of_earlier_terms_commit_with_one_of_the_own_term() {
    let (mut sim, leader, _) = cluster(3);
    fill(&mut sim, leader, 0..5);
    let (mut one, messages) = lead(&mut sim, leader, &Settings::default());
    let (noop, from) = (one.last_index(), messages[0].to);
    let mut matched = |index| {
        let outcome = message::Outcome::Matched(index);
        let reply = Body::AppendReply { outcome, round: 1 };
        one.step(message(from, leader, one.term(), reply), Duration::ZERO);
        one.step(Input::Persisted { up_to: u64::MAX }, Duration::ZERO);
        one.commit_index()
    };
    assert_eq!(matched(noop - 1), 0);
    assert_eq!(matched(noop), noop);
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

/// Guards against traffic without end to a replica that takes no entries because its disk is full.
#[test]
fn refusing_replica_is_sent_one_entry_at_a_time() {
    let (mut sim, leader, _) = cluster(3);
    let (mut one, messages) = lead(&mut sim, leader, &Settings::default());
    let (to, term, last) = (messages[0].to, one.term(), one.last_index() - 1);
    let proposals = (0..100).map(|token| Input::Propose { token, payload: vec![1; 400] });
    one.step_all(proposals, Duration::ZERO);
    let mut sent = 0;
    for beat in 1..=20 {
        let now = beat * Settings::default().heartbeat;
        let matched = message::Outcome::Matched(last);
        let replies = [message::Outcome::Rejected { previous: last + 50, hint: last }, matched]
            .map(|outcome| Body::AppendReply { outcome, round: u64::from(beat) })
            .map(|body| message(to, leader, term, body));
        let output = one.step_all([Input::Tick].into_iter().chain(replies), now);
        sent += output.messages.iter().filter(|one| one.to == to).map(entries).sum::<usize>();
    }
    assert_eq!(one.role(), Role::Leader);
    assert!((5..=20).contains(&sent), "{sent} entries in 20 heartbeats");
}

fn entries(message: &Message) -> usize {
    match &message.body {
        Body::Append { entries, .. } => entries.len(),
        _ => 0,
    }
}

/// Guards against messages above the size limits, which a transport would refuse.
#[test]
fn messages_are_bounded() {
    let settings =
        Settings { max_payload_bytes: 600, max_append_bytes: 1_000, ..Settings::default() };
    let mut sim: Sim<Journal> = Sim::new(3, settings.clone(), 3);
    let leader = elect(&mut sim);
    let (mut one, messages) = lead(&mut sim, leader, &settings);
    let Body::Append { previous, round, .. } = messages[0].body else { panic!("{messages:?}") };
    let outcome = message::Outcome::Matched(previous.index + 1);
    let reply = Body::AppendReply { outcome, round };
    one.step(message(messages[0].to, leader, one.term(), reply), Duration::ZERO);

    let proposals = (0..100).map(|token| Input::Propose { token, payload: vec![1; 400] });
    let output = one.step_all(proposals, Duration::ZERO);
    let sizes: Vec<usize> = output.messages.iter().map(|one| one.encode().len()).collect();
    assert_eq!(sizes.len(), Settings::default().max_inflight, "pipelined appends");
    assert!(sizes.iter().all(|size| *size > 400 && *size <= 1_100), "{sizes:?}");
}
