//! Changes of the member set without an operator.
//!
//! A replica that is not a member asks to join. The leader removes a member whose address a new
//! identity has taken over, because its disk is gone; adds joiners as learners; and makes learners
//! voters once they are caught up, in exchange for a voter that is silent, if there is one. Beyond
//! that a silent voter is removed only from an even set: there it raises the quorum and bears no
//! loss. An odd set would shrink while replicas are only unreachable.

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

use crate::log::Agreed;
use crate::log::Log;
use crate::peers::Peers;

/// Time between two rounds of the controller.
const PERIOD: Duration = Duration::from_millis(150);

/// Silence after which a voter is exchanged for a learner that is caught up. Longer than an
/// election and shorter than the time that a new replica has to catch up.
const EXCHANGE_AFTER: Duration = Duration::from_millis(1_800);

/// Age at which a request to join is forgotten. Joiners repeat it.
const JOIN_AGE: Duration = Duration::from_millis(1_500);

/// Time within which a replica that is alive has been heard: several heartbeats.
const ALIVE: Duration = Duration::from_millis(900);

/// Silence after which a learner is removed.
const FORGET_LEARNER_AFTER: Duration = Duration::from_secs(10);

/// Time without being a member, or without a leader, after which a replica asks to join.
const LOST_AFTER: Duration = Duration::from_millis(1_500);

/// Longest wait for the answer to a request to join.
const JOIN_LIMIT: Duration = Duration::from_millis(500);

/// Replicas that asked to join.
#[derive(Default)]
pub struct Joiners(RefCell<HashMap<ReplicaId, (Identity, Duration)>>);

impl Joiners {
    /// Notes a request.
    pub fn note(&self, identity: Identity) {
        self.0.borrow_mut().insert(identity.id, (identity, boot_time()));
    }

    fn recent(&self) -> Vec<Identity> {
        let now = boot_time();
        let mut joiners = self.0.borrow_mut();
        joiners.retain(|_, (_, at)| now < *at + JOIN_AGE);
        joiners.values().map(|(identity, _)| identity.clone()).collect()
    }
}

/// Changes the members while this replica leads.
pub async fn control(log_handle: Log, peers: Rc<Peers>, joiners: Rc<Joiners>, log: Logger) {
    let mut led_since = None;
    loop {
        tokio::time::sleep(PERIOD).await;
        let agreed = log_handle.agreed.borrow().clone();
        if agreed.role != Role::Leader {
            led_since = None;
            continue;
        }
        let since = *led_since.get_or_insert_with(boot_time);
        let silence = |id| silence(&peers, id, since);
        let Some(change) = next_change(&agreed, &joiners.recent(), silence) else { continue };
        let reply = log_handle.change(change.clone()).await;
        info!(log, "members change"; "change" => format!("{change:?}"),
            "outcome" => format!("{reply:?}"), "voters" => agreed.members.voters().count());
    }
}

/// How long a replica has been silent, counted from the start of this leadership at most.
fn silence(peers: &Peers, id: ReplicaId, since: Duration) -> Duration {
    let heard = peers.heard(id).map_or(since, |at| at.max(since));
    boot_time().saturating_sub(heard)
}

/// The next change that brings the members closer to the replicas that are alive.
pub fn next_change(
    agreed: &Agreed,
    joiners: &[Identity],
    silence: impl Fn(ReplicaId) -> Duration,
) -> Option<MemberChange> {
    let members = &agreed.members;
    let others = || members.iter().filter(|member| member.id != agreed.id);
    for joiner in joiners {
        let replaced = others().find(|one| one.address == joiner.address && one.id != joiner.id);
        if let Some(old) = replaced {
            return Some(MemberChange::Remove { id: old.id });
        }
        if members.get(joiner.id).is_none() {
            let Identity { id, address } = joiner.clone();
            return Some(MemberChange::AddLearner { id, address });
        }
    }
    let learner = others().find(|one| !one.voter && silence(one.id) < ALIVE);
    let silent = others().filter(|one| one.voter && silence(one.id) >= EXCHANGE_AFTER);
    let even = members.voters().count().is_multiple_of(2);
    match (learner, silent.max_by_key(|one| silence(one.id))) {
        (Some(_), Some(voter)) => return Some(MemberChange::Remove { id: voter.id }),
        (None, Some(voter)) if even => return Some(MemberChange::Remove { id: voter.id }),
        (Some(learner), None) => return Some(MemberChange::Promote { id: learner.id }),
        (None, _) => {}
    }
    let forgotten = others().find(|one| !one.voter && silence(one.id) >= FORGET_LEARNER_AFTER);
    forgotten.map(|one| MemberChange::Remove { id: one.id })
}

/// Asks to join while this replica is not a member that hears a leader.
pub async fn join(
    log_handle: Log,
    peers: Rc<Peers>,
    seeds: Rc<RefCell<Vec<SocketAddrV4>>>,
    log: Logger,
) {
    let mut lost_since = Some(Duration::ZERO);
    loop {
        tokio::time::sleep(PERIOD).await;
        let agreed = log_handle.agreed.borrow().clone();
        let member = agreed.members.get(agreed.id).is_some();
        if member && agreed.leader.is_some() {
            lost_since = None;
            continue;
        }
        let now = boot_time();
        let since = *lost_since.get_or_insert(now);
        if now < since + LOST_AFTER {
            continue;
        }
        let known = agreed.members.iter().map(|one| one.address.to_string());
        let mut addresses: Vec<String> =
            seeds.borrow().iter().map(ToString::to_string).chain(known).collect();
        addresses.sort();
        addresses.dedup();
        info!(log, "asking to join"; "member" => member, "replicas" => addresses.join(","));
        for address in addresses.iter().filter(|one| **one != *peers.own().address) {
            if let Some(client) = peers.client(address) {
                client.notify(Request::Join(peers.own().clone()), JOIN_LIMIT);
            }
        }
    }
}
