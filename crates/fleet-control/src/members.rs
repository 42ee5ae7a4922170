//! Membership changes without an operator.
//!
//! A replica that is not a member asks to join. The leader makes these changes, one at a time:
//!
//! - It removes a member if a replica with another id asks to join from the member's address,
//!   because the disk of that member is lost.
//! - It adds other replicas that ask to join as learners.
//! - It promotes a learner that is alive. The promotion is refused until the learner has caught up.
//!   If a voter is silent, the leader removes that voter first.
//! - Without a learner that is alive, it removes a silent voter only if the number of voters is
//!   even. There, the silent voter makes the quorum larger without tolerating one more failure. An
//!   odd set would shrink although its replicas may only be unreachable.
//! - It removes a learner that has been silent for a long time.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet::link::Request;
use slog::Logger;
use slog::info;

use crate::peers::Peers;
use crate::replicated_log::LogHandle;
use crate::replicated_log::ReplicaState;

/// Interval of the controllers.
const PERIOD: Duration = Duration::from_millis(150);

/// Silence after which a voter may be removed. Longer than an election and shorter than the time
/// that a new replica has to catch up.
const REMOVE_VOTER_AFTER: Duration = Duration::from_millis(1_800);

/// Age at which a join request is dropped. Replicas repeat it while they are not members.
const JOIN_REQUEST_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum silence of a replica that counts as alive: several heartbeats.
const MAX_ALIVE_SILENCE: Duration = Duration::from_millis(900);

/// Silence after which a learner is removed.
const REMOVE_LEARNER_AFTER: Duration = Duration::from_secs(10);

/// Time after which a replica that is not a member, or knows no leader, asks to join.
const JOIN_AFTER: Duration = Duration::from_millis(1_500);

/// Timeout of a join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// Requests of replicas to join, with the time of the latest one from each.
#[derive(Default)]
pub struct JoinRequests(RefCell<HashMap<ReplicaId, (Identity, Duration)>>);

impl JoinRequests {
    pub fn record(&self, identity: Identity) {
        self.0.borrow_mut().insert(identity.id, (identity, boot_time()));
    }

    fn recent(&self) -> Vec<Identity> {
        let now = boot_time();
        let mut requests = self.0.borrow_mut();
        requests.retain(|_, (_, received_at)| now < *received_at + JOIN_REQUEST_MAX_AGE);
        requests.values().map(|(identity, _)| identity.clone()).collect()
    }
}

/// Changes the member set while this replica is the leader.
pub async fn run_controller(
    log_handle: LogHandle,
    peers: Rc<Peers>,
    join_requests: Rc<JoinRequests>,
    log: Logger,
) {
    let mut leader_since = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        let state = log_handle.state.borrow().clone();
        if state.role != Role::Leader {
            leader_since = None;
            continue;
        }
        let since = *leader_since.get_or_insert_with(boot_time);
        let silence = |id| silence(&peers, id, since);
        let Some(change) = next_change(&state, &join_requests.recent(), silence) else { continue };
        let reply = log_handle.change_members(change.clone()).await;
        info!(log, "member change proposed"; "change" => format!("{change:?}"),
            "outcome" => format!("{reply:?}"), "voters" => state.members.voters().count());
    }
}

/// Returns how long a replica has been silent. Time before `since`, when this replica became
/// leader, does not count.
fn silence(peers: &Peers, id: ReplicaId, since: Duration) -> Duration {
    let silent_since = peers.last_heard(id).map_or(since, |last_heard| last_heard.max(since));
    boot_time().saturating_sub(silent_since)
}

/// Returns the next change of the member set, by the rules of the module.
pub fn next_change(
    state: &ReplicaState,
    joiners: &[Identity],
    silence: impl Fn(ReplicaId) -> Duration,
) -> Option<MemberChange> {
    let members = &state.members;
    let others = || members.iter().filter(|member| member.id != state.id);
    for joiner in joiners {
        let replaced =
            others().find(|member| member.address == joiner.address && member.id != joiner.id);
        if let Some(replaced) = replaced {
            return Some(MemberChange::Remove { id: replaced.id });
        }
        if members.get(joiner.id).is_none() {
            let Identity { id, address } = joiner.clone();
            return Some(MemberChange::AddLearner { id, address });
        }
    }
    let learner = others().find(|member| !member.voter && silence(member.id) < MAX_ALIVE_SILENCE);
    let silent_voters =
        others().filter(|member| member.voter && silence(member.id) >= REMOVE_VOTER_AFTER);
    let even = members.voters().count().is_multiple_of(2);
    match (learner, silent_voters.max_by_key(|voter| silence(voter.id))) {
        (Some(_), Some(voter)) => return Some(MemberChange::Remove { id: voter.id }),
        (None, Some(voter)) if even => return Some(MemberChange::Remove { id: voter.id }),
        (Some(learner), None) => return Some(MemberChange::Promote { id: learner.id }),
        (None, _) => {}
    }
    let lost_learner =
        others().find(|member| !member.voter && silence(member.id) >= REMOVE_LEARNER_AFTER);
    lost_learner.map(|learner| MemberChange::Remove { id: learner.id })
}

/// Sends join requests to all known replicas while this replica is not a member or knows no leader.
pub async fn request_join(
    log_handle: LogHandle,
    peers: Rc<Peers>,
    seeds: Rc<RefCell<Vec<SocketAddrV4>>>,
    log: Logger,
) {
    let mut isolated_since = Some(Duration::ZERO);
    loop {
        tokio::time::sleep(PERIOD).await;
        let state = log_handle.state.borrow().clone();
        let member = state.members.get(state.id).is_some();
        if member && state.leader.is_some() {
            isolated_since = None;
            continue;
        }
        let now = boot_time();
        let since = *isolated_since.get_or_insert(now);
        if now < since + JOIN_AFTER {
            continue;
        }
        let known = state.members.iter().map(|member| member.address.to_string());
        let mut addresses: Vec<String> =
            seeds.borrow().iter().map(ToString::to_string).chain(known).collect();
        addresses.sort();
        addresses.dedup();
        info!(log, "asking to join"; "member" => member, "replicas" => addresses.join(","));
        for address in addresses.iter().filter(|address| **address != *peers.own().address) {
            if let Some(client) = peers.client(address) {
                client.notify(Request::Join(peers.own().clone()), JOIN_TIMEOUT);
            }
        }
    }
}
