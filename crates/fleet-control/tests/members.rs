//! The changes that the leader makes to the member set.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet_control::log::Agreed;
use hickoryreel_fleet_control::machine::Machine;
use hickoryreel_fleet_control::members::next_change;

const LEADER: u128 = 1;

fn agreed(members: &[(u128, &str, bool)]) -> Agreed {
    let members = members.iter().map(|(id, address, voter)| Member {
        id: ReplicaId(*id),
        address: Arc::from(*address),
        voter: *voter,
    });
    Agreed {
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

fn change(
    members: &[(u128, &str, bool)],
    joiners: &[(u128, &str)],
    silent_ms: &[(u128, u64)],
) -> Option<MemberChange> {
    let joiners: Vec<Identity> = joiners
        .iter()
        .map(|(id, address)| Identity { id: ReplicaId(*id), address: (*address).into() })
        .collect();
    let silent: HashMap<u128, u64> = silent_ms.iter().copied().collect();
    next_change(&agreed(members), &joiners, |id| {
        Duration::from_millis(silent.get(&id.0).copied().unwrap_or(0))
    })
}

const THREE: [(u128, &str, bool); 3] = [(1, "a", true), (2, "b", true), (3, "c", true)];

/// Guards against a member whose disk is gone and that still counts for quorums.
#[test]
fn new_identity_at_an_address_replaces_the_old_one() {
    assert_eq!(change(&THREE, &[(9, "b")], &[]), Some(MemberChange::Remove { id: ReplicaId(2) }));
}

/// Guards against a newcomer that votes before it has the log.
#[test]
fn newcomer_becomes_a_learner_first() {
    let added = MemberChange::AddLearner { id: ReplicaId(9), address: "d".into() };
    assert_eq!(change(&THREE, &[(9, "d")], &[]), Some(added));
}

/// Guards against a set that shrinks because replicas can't be reached.
#[test]
fn silent_voter_stays_without_a_replacement() {
    assert_eq!(change(&THREE, &[], &[(2, 60_000), (3, 60_000)]), None);
}

/// Guards against a lost voter that keeps its place beside a replacement that is alive.
#[test]
fn silent_voter_is_exchanged_for_a_learner() {
    let members = [(1, "a", true), (2, "b", true), (3, "c", true), (9, "d", false)];

    assert_eq!(
        change(&members, &[], &[(3, 5_000)]),
        Some(MemberChange::Remove { id: ReplicaId(3) })
    );
    assert_eq!(change(&members, &[], &[]), Some(MemberChange::Promote { id: ReplicaId(9) }));
}

/// Guards against a lost voter whose replacement became a voter before the silence was noticed:
/// six voters of which five live bear one loss, five bear two.
#[test]
fn silent_voter_leaves_an_even_set() {
    let members = [(1, "a", true), (2, "b", true), (3, "c", true), (4, "d", true)];

    assert_eq!(
        change(&members, &[], &[(4, 5_000)]),
        Some(MemberChange::Remove { id: ReplicaId(4) })
    );
    assert_eq!(change(&members, &[], &[(4, 100)]), None);
}

/// Guards against a learner that is gone and stays in the set for good.
#[test]
fn lost_learner_is_removed() {
    let members = [(1, "a", true), (2, "b", true), (9, "d", false)];

    assert_eq!(change(&members, &[], &[(9, 2_000)]), None);
    assert_eq!(
        change(&members, &[], &[(9, 60_000)]),
        Some(MemberChange::Remove { id: ReplicaId(9) })
    );
}
