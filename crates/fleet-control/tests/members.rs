//! Changes that the leader makes to the member set.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet_control::machine::Machine;
use hickoryreel_fleet_control::members::JoinRequests;
use hickoryreel_fleet_control::members::Observation;
use hickoryreel_fleet_control::members::is_fault_tolerant;
use hickoryreel_fleet_control::members::is_promotion_due;
use hickoryreel_fleet_control::members::next_change;
use hickoryreel_fleet_control::members::silence;
use hickoryreel_fleet_control::replicated_log::ReplicaState;
use yare::parameterized;

const LEADER: u128 = 1;

fn leader_state(members: &[(u128, &str, bool)]) -> ReplicaState {
    let members = members.iter().map(|(id, address, voter)| Member {
        id: ReplicaId(*id),
        address: Arc::from(*address),
        voter: *voter,
    });
    ReplicaState {
        id: ReplicaId(LEADER),
        applied: 1,
        last: 1,
        machine: Machine::default(),
        members: members.collect(),
        role: Role::Leader,
        term: 1,
        leader: None,
    }
}

/// A replica that has long been a member and is heard.
fn alive() -> Observation {
    Observation { heard: true, member_for: Duration::from_secs(600), ..Observation::default() }
}

fn silent(ms: u64) -> Observation {
    Observation { silence: Duration::from_millis(ms), ..alive() }
}

fn newcomer(ms: u64) -> Observation {
    Observation { member_for: Duration::from_millis(ms), ..alive() }
}

fn leaving() -> Observation {
    Observation { leaving: true, ..alive() }
}

/// Returns the change of a leader that holds three voters. Replicas that are not observed are
/// [`alive`].
fn change_for(
    members: &[(u128, &str, bool)],
    joiners: &[(u128, &str)],
    observed: &[(u128, Observation)],
) -> Option<MemberChange> {
    let joiners: Vec<Identity> = joiners
        .iter()
        .map(|(id, address)| Identity { id: ReplicaId(*id), address: (*address).into() })
        .collect();
    let observed: HashMap<u128, Observation> = observed.iter().copied().collect();
    next_change(&leader_state(members), 3, &joiners, |id| {
        observed.get(&id.0).copied().unwrap_or_else(alive)
    })
}

fn remove(id: u128) -> Option<MemberChange> {
    Some(MemberChange::Remove { id: ReplicaId(id) })
}

fn promote(id: u128) -> Option<MemberChange> {
    Some(MemberChange::Promote { id: ReplicaId(id) })
}

const THREE_VOTERS: [(u128, &str, bool); 3] = [(1, "a", true), (2, "b", true), (3, "c", true)];

/// Guards against a member that still counts for quorums after its disk was lost and a replica with
/// a new id started at its address.
#[test]
fn member_is_removed_if_a_new_replica_has_its_address() {
    assert_eq!(
        change_for(&THREE_VOTERS, &[(9, "b")], &[]),
        Some(MemberChange::Remove { id: ReplicaId(2) })
    );
}

/// Guards against a new replica that votes before it has the log.
#[test]
fn new_replica_is_added_as_a_learner() {
    let added = MemberChange::AddLearner { id: ReplicaId(9), address: "d".into() };
    assert_eq!(change_for(&THREE_VOTERS, &[(9, "d")], &[]), Some(added));
}

/// Guards against a member set that shrinks because replicas are unreachable.
#[test]
fn silent_voter_stays_without_a_replacement() {
    assert_eq!(change_for(&THREE_VOTERS, &[], &[(2, silent(60_000)), (3, silent(60_000))]), None);
}

/// Guards against a lost voter that stays a member although a learner can replace it. The learner is
/// promoted first: three voters of which one is down tolerate the loss of one disk once it is back,
/// the two others alone do not.
#[test]
fn silent_voter_is_replaced_by_a_learner() {
    let with_learner = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", false)];
    let promoted = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", true)];
    let observed = [(3, silent(5_000)), (9, newcomer(3_000))];

    assert_eq!(change_for(&with_learner, &[], &observed), promote(9));
    assert_eq!(change_for(&promoted, &[], &observed), remove(3));
    assert_eq!(change_for(&with_learner, &[], &[]), promote(9));
}

/// Guards against a voter that is gone for good and stays a member because its replacement was promoted
/// before the silence was noticed: of four voters, three are a quorum.
#[test]
fn silent_voter_is_removed_from_a_set_that_is_too_large() {
    let members = [(1, "a", true), (2, "b", true), (3, "c", true), (4, "d", true)];
    let before_arrival = [(4, silent(5_000)), (3, newcomer(4_000))];

    assert_eq!(change_for(&members, &[], &before_arrival), remove(4));
    assert_eq!(change_for(&members, &[], &[(4, silent(9_000))]), remove(4));
    assert_eq!(change_for(&members, &[], &[(4, silent(100))]), None);
}

/// Guards against voters that are gone for good in a set with an odd number of voters: two planned
/// replacements at once.
#[test]
fn silent_voters_are_removed_from_an_odd_set_that_is_too_large() {
    let five = [(1, "a", true), (2, "b", true), (3, "c", true), (4, "d", true), (5, "e", true)];
    let four = [(1, "a", true), (2, "b", true), (3, "c", true), (5, "e", true)];
    let observed = [(4, silent(9_000)), (5, silent(8_500))];

    assert_eq!(change_for(&five, &[], &observed), remove(4));
    assert_eq!(change_for(&four, &[], &observed), remove(5));
}

/// Guards against a set that shrinks because a voter is down while the replacement of another one does
/// not answer.
#[test]
fn silent_voter_stays_while_too_few_vote() {
    let members = [(1, "a", true), (3, "c", true), (9, "b", false)];
    let paused = [(3, silent(60_000)), (9, silent(2_500))];

    assert_eq!(change_for(&members, &[], &paused), None);
    assert_eq!(change_for(&members, &[], &[(3, silent(60_000))]), promote(9));
}

/// Guards against a replica that waits to be promoted while too few vote.
#[test]
fn newcomer_is_promoted_at_once_while_too_few_vote() {
    let one_voter_left = [(1, "a", true), (9, "b", false)];

    assert_eq!(change_for(&one_voter_left, &[], &[(9, newcomer(100))]), promote(9));
}

/// Guards against lost voters that stay members of a deployment that has too few replicas for the voters
/// that it should hold: three of five. The set stays odd, and shrinks for a newcomer only.
#[test]
fn lost_voter_of_a_small_deployment_is_replaced() {
    let change = |members: &[(u128, &str, bool)]| {
        next_change(&leader_state(members), 5, &[], |id| {
            if id == ReplicaId(3) { silent(5_000) } else { alive() }
        })
    };
    let with_newcomer = [&THREE_VOTERS[..], &[(9, "d", false)]].concat();
    let after_removal = [&THREE_VOTERS[..2], &[(9, "d", false)]].concat();
    let with_enough_newcomers = [&with_newcomer[..], &[(8, "e", false)]].concat();

    assert_eq!(change(&THREE_VOTERS), None);
    assert_eq!(change(&with_newcomer), remove(3));
    assert_eq!(change(&after_removal), promote(9));
    assert!(matches!(change(&with_enough_newcomers), Some(MemberChange::Promote { .. })));
}

/// Guards against a lost learner that stays a member forever.
#[test]
fn lost_learner_is_removed() {
    let members = [(1, "a", true), (2, "b", true), (9, "d", false)];

    assert_eq!(change_for(&members, &[], &[(9, silent(2_000))]), None);
    assert_eq!(change_for(&members, &[], &[(9, silent(60_000))]), remove(9));
}

/// Guards against a newcomer that displaces a voter that is only down, while the one that it replaces
/// stays a member.
#[test]
fn newcomer_displaces_the_voter_that_was_lost_last() {
    let members = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", false)];
    let promoted = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", true)];
    let observed = [(2, silent(9_000)), (3, silent(4_000)), (9, newcomer(3_000))];

    assert_eq!(change_for(&members, &[], &observed), promote(9));
    assert_eq!(change_for(&promoted, &[], &observed), remove(3));
}

/// Guards against a voter that is gone for good and still counts for the quorum beside its successor,
/// because it was heard after the successor had arrived. The set is not shrunk for it below the voters
/// that are held.
#[test]
fn silent_voter_leaves_at_once_while_more_vote_than_are_held() {
    let four = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", true)];
    let three = [(1, "a", true), (2, "b", true), (9, "d", true)];
    let observed = |ms| [(3, silent(ms)), (9, newcomer(6_000))];

    assert_eq!(change_for(&four, &[], &observed(1_700)), None);
    assert_eq!(change_for(&four, &[], &observed(1_800)), remove(3));
    assert_eq!(change_for(&three, &[], &[(2, silent(60_000)), (9, newcomer(6_000))]), None);
}

/// Guards against an acknowledgement that the tolerated loss of disks takes back: of six voters, of which
/// one is gone, three are left, but four are a quorum.
#[parameterized(
    five_of_five = { 5, 5, true },
    four_of_five = { 5, 4, false },
    six_of_six = { 6, 6, true },
    five_of_six = { 6, 5, false },
    six_of_seven = { 7, 6, true },
    five_of_seven = { 7, 5, false },
)]
fn heard_voters_bear_the_loss_of_two_disks(voters: u128, heard: usize, bear: bool) {
    let members = (1..=voters).map(|id| Member {
        id: ReplicaId(id),
        address: id.to_string().into(),
        voter: true,
    });

    assert_eq!(is_fault_tolerant(&members.collect(), 5, heard), bear);
}

/// Guards against acknowledgements that don't wait for the promotion of a learner whose predecessor may
/// be gone, and against some that wait for one that can't be promoted.
#[parameterized(
    settled = { newcomer(3_000), true },
    new = { newcomer(1_000), false },
    not_heard = { silent(2_000), false },
    stopping = { leaving(), false },
    behind = { Observation { lagging: true, ..newcomer(3_000) }, false },
)]
fn promotion_is_due(learner: Observation, is_due: bool) {
    let members = [&THREE_VOTERS[..], &[(9, "d", false)]].concat();
    let observe = |id| if id == ReplicaId(9) { learner } else { silent(1_000) };

    assert_eq!(is_promotion_due(&leader_state(&members), observe), is_due);
}

/// Guards against a voter that is replaced as planned and is still a member when it is gone. Another one
/// that is only down keeps its vote.
#[test]
fn voter_that_announces_its_stop_is_replaced() {
    let with_learner = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", false)];
    let promoted = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", true)];
    let observed = [(2, leaving()), (3, silent(9_000)), (9, newcomer(500))];

    assert_eq!(change_for(&with_learner, &[], &observed), promote(9));
    assert_eq!(change_for(&promoted, &[], &observed), remove(2));
    assert_eq!(change_for(&THREE_VOTERS, &[], &observed), None);
}

/// Guards against a newcomer that is promoted before it is known which voter it replaces.
#[test]
fn newcomer_waits_until_it_is_known_who_is_silent() {
    let members = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", false)];

    assert_eq!(change_for(&members, &[], &[(3, silent(1_000))]), None);
    assert_eq!(change_for(&members, &[], &[(9, newcomer(1_000))]), None);
}

/// Guards against a learner that never catches up, for example because its disk is full, and keeps
/// another one from being promoted.
#[test]
fn learner_that_has_caught_up_is_preferred() {
    let members = [(1, "a", true), (2, "b", true), (8, "c", false), (9, "d", false)];
    let lagging = Observation { lagging: true, ..alive() };

    assert_eq!(change_for(&members, &[], &[(8, lagging), (9, newcomer(5_000))]), promote(9));
    assert_eq!(change_for(&members, &[], &[(8, alive()), (9, newcomer(5_000))]), promote(8));
}

/// Guards against a new leader that takes a lost voter for alive, or one that it has not heard yet
/// for lost.
#[parameterized(
    heard_by_the_leader = { Some(10_500), 11_000, 500 },
    not_heard_yet = { Some(2_000), 10_100, 900 },
    lost_before_the_election = { Some(2_000), 10_600, 8_600 },
    unknown = { None, 10_100, 900 },
    never_heard = { None, 12_000, 2_000 },
)]
fn silence_of_a_replica(last_heard_ms: Option<u64>, now_ms: u64, silence_ms: u64) {
    let since = Duration::from_secs(10);

    let silence =
        silence(last_heard_ms.map(Duration::from_millis), since, Duration::from_millis(now_ms));

    assert_eq!(silence, Duration::from_millis(silence_ms));
}

/// Guards against the request of a replica whose disk is lost that removes its successor at the same
/// address, because both are kept for a while.
#[test]
fn later_join_request_from_an_address_replaces_the_earlier_one() {
    let requests = JoinRequests::default();
    for id in [7, 8] {
        requests.record(Identity { id: ReplicaId(id), address: "d".into() });
    }

    let recent: Vec<ReplicaId> = requests.recent().iter().map(|joiner| joiner.id).collect();

    assert_eq!(recent, [ReplicaId(8)]);
}
