//! Membership changes without an operator.
//!
//! All replicas vote. `held_voters` of the settings is the number of voters that the fault tolerance
//! needs, and the set is never shrunk below it because replicas are silent: they may only be down,
//! and the log that they keep counts once they return.
//!
//! A replica that is not a member asks to join. The leader makes these changes, one at a time:
//!
//! - It removes a member if a replica with another id asks to join from the member's address,
//!   because the disk of that member is lost.
//! - It adds other replicas that ask to join as learners.
//! - Below the number of held voters, it promotes learners that are alive at once. The promotion is
//!   refused until the learner has caught up. If there are too few learners to reach that number, a
//!   lost voter is removed first, so that the number of voters stays odd.
//! - From this number on, a newcomer takes the place of a voter that is gone: the newcomer is
//!   promoted, then the voter is removed. The promotion waits until it is known which voters were
//!   silent when the newcomer arrived, so that the removal follows immediately.
//! - Above this number, it removes voters that are silent: those that are left bear the losses, and one
//!   that was only down joins again. See [`departed_voter`].
//! - It removes a learner that has been silent for a long time.
//!
//! While such a change is under way, the quorum may be larger than the voters that a loss leaves.
//! Acknowledgements wait for it. See [`is_fault_tolerant`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::mem;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Refusal;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet::link::Request;
use slog::Logger;
use slog::info;
use smallvec::SmallVec;

use crate::control::Control;
use crate::peers::Peers;
use crate::replicated_log::LogHandle;
use crate::replicated_log::ReplicaState;
use crate::replicated_log::Reply;

/// Interval of the controllers.
const PERIOD: Duration = Duration::from_millis(150);

/// Silence after which a voter may be removed. Longer than an election and shorter than the time
/// that a new replica has to catch up.
const REMOVE_VOTER_AFTER: Duration = Duration::from_millis(1_800);

/// Time that a newcomer is a member before it takes the place of a voter. By then voters that were
/// silent at its arrival count as lost, and an operator who adds a VM first has usually stopped the
/// one that it replaces. It is shorter than the time that a new replica has to catch up.
const SETTLE_TIME: Duration = Duration::from_millis(2_600);

/// Age at which a join request is dropped. Replicas repeat it while they are not members.
const JOIN_REQUEST_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Maximum silence of a replica that counts as alive: several heartbeats.
pub const MAX_ALIVE_SILENCE: Duration = Duration::from_millis(900);

/// Time in which a new leader hears all replicas that are alive: several heartbeats.
const LEADER_SETTLE_TIME: Duration = Duration::from_millis(600);

/// Interval at which each replica shows the other members that it is alive.
const PRESENCE_PERIOD: Duration = Duration::from_millis(300);

/// Timeout of a message that shows that a replica is alive.
const PRESENCE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after a refused promotion in which other learners are preferred.
const LAGGING_TIME: Duration = Duration::from_millis(600);

/// Time after which the address of a former member counts as new: a lost disk is replaced sooner.
const ARRIVAL_MAX_AGE: Duration = Duration::from_secs(60);

/// Age at which the notice of a replica that leaves is dropped if the replica is still heard.
const LEAVE_NOTICE_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Interval at which a replica that leaves repeats its notice.
const LEAVE_NOTICE_PERIOD: Duration = Duration::from_millis(100);

/// Timeout of a notice of leaving.
const LEAVE_NOTICE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a replica waits at a stop until it is no longer a voter.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Silence after which a learner is removed.
const REMOVE_LEARNER_AFTER: Duration = Duration::from_secs(10);

/// Time after which a replica that is not a member, or knows no leader, asks to join.
const JOIN_AFTER: Duration = Duration::from_millis(1_500);

/// Timeout of a join request.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);

/// The latest join request from each address, with its time. An earlier one from the address is of a
/// replica whose disk is lost.
#[derive(Default)]
pub struct JoinRequests(RefCell<HashMap<Name, (Identity, Duration)>>);

impl JoinRequests {
    pub fn record(&self, identity: Identity) {
        self.0.borrow_mut().insert(identity.address.clone(), (identity, boot_time()));
    }

    /// Returns the replicas that have asked to join recently.
    pub fn recent(&self) -> Vec<Identity> {
        let now = boot_time();
        let mut requests = self.0.borrow_mut();
        requests.retain(|_, (_, received_at)| now < *received_at + JOIN_REQUEST_MAX_AGE);
        requests.values().map(|(identity, _)| identity.clone()).collect()
    }
}

/// The time of the latest notice of each replica that stops.
#[derive(Default)]
pub struct LeaveNotices(RefCell<HashMap<ReplicaId, Duration>>);

impl LeaveNotices {
    pub fn record(&self, id: ReplicaId) {
        self.0.borrow_mut().insert(id, boot_time());
    }

    /// Whether a replica is about to stop or has stopped. A replica that is heard long after its
    /// notice has started again.
    fn is_leaving(&self, id: ReplicaId, last_heard: Option<Duration>) -> bool {
        let notices = self.0.borrow();
        let Some(notice) = notices.get(&id) else { return false };
        last_heard.is_none_or(|last_heard| last_heard < *notice + LEAVE_NOTICE_MAX_AGE)
    }
}

/// What the leader has observed of another replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Time without a message from the replica. See [`silence`].
    pub silence: Duration,
    /// Whether this process has ever had a message from the replica.
    pub heard: bool,
    /// Time for which its address has been that of a member, as far as this process knows.
    pub member_for: Duration,
    /// Whether the replica has announced its stop and has not started again since.
    pub leaving: bool,
    /// Whether its promotion was refused a short time ago because it had not caught up.
    pub lagging: bool,
}

impl Observation {
    fn is_alive(&self) -> bool {
        self.silence < MAX_ALIVE_SILENCE
    }

    /// Whether it may be promoted, if it is a learner.
    fn is_ready(&self) -> bool {
        self.is_alive() && !self.leaving
    }

    fn is_lost(&self) -> bool {
        self.silence >= REMOVE_VOTER_AFTER
    }

    /// Neither certainly alive nor certainly lost.
    fn is_doubtful(&self) -> bool {
        !self.is_alive() && !self.is_lost()
    }

    /// Whether the replica had already fallen silent when a replica arrived that has been a member
    /// for the given time.
    fn was_silent_at_arrival(&self, newcomer_for: Duration) -> bool {
        self.is_lost() && (!self.heard || self.silence >= newcomer_for)
    }
}

/// When a member with each address was first and last seen. A replica that starts with an empty disk
/// at the address of a member has another id, but replaces no other member.
#[derive(Default)]
struct Arrivals(HashMap<Name, (Duration, Duration)>);

impl Arrivals {
    fn update(&mut self, members: &Members, now: Duration) {
        for member in members.iter() {
            self.0.entry(member.address.clone()).or_insert((now, now)).1 = now;
        }
        self.0.retain(|_, (_, last_seen)| now < *last_seen + ARRIVAL_MAX_AGE);
    }

    /// Time since a member with the address of the member `id` was first seen.
    fn member_for(&self, members: &Members, id: ReplicaId, now: Duration) -> Duration {
        let address = members.get(id).map(|member| &member.address);
        let arrival = address.and_then(|address| self.0.get(address));
        arrival.map_or(Duration::ZERO, |(first_seen, _)| now.saturating_sub(*first_seen))
    }
}

/// Changes the member set while this replica is the leader.
pub async fn run_controller(control: Rc<Control>) {
    let Control { log_handle, peers, join_requests, leave_notices, log, .. } = &*control;
    let held_voters = control.settings.held_voters;
    let mut leader_since = None;
    let mut arrivals = Arrivals::default();
    let mut lagging_since: HashMap<ReplicaId, Duration> = HashMap::new();
    let mut changed = false;
    // Ends with the thread that owns the log.
    while log_handle.state.has_changed().is_ok() {
        // The removal of a voter follows the promotion of its successor without a pause.
        if !mem::take(&mut changed) {
            tokio::time::sleep(PERIOD).await;
        }
        let state = log_handle.state.borrow().clone();
        let now = boot_time();
        arrivals.update(&state.members, now);
        lagging_since.retain(|id, _| state.members.get(*id).is_some());
        if state.role != Role::Leader {
            leader_since = None;
            continue;
        }
        let since = *leader_since.get_or_insert(now);
        let observe = |id| {
            let last_heard = peers.last_heard(id);
            Observation {
                silence: silence(last_heard, since, now),
                heard: last_heard.is_some(),
                member_for: arrivals.member_for(&state.members, id, now),
                leaving: leave_notices.is_leaving(id, last_heard),
                lagging: lagging_since.get(&id).is_some_and(|since| now < *since + LAGGING_TIME),
            }
        };
        control.consensus.record_promotion_due(state.term, is_promotion_due(&state, observe));
        let next = next_change(&state, held_voters, &join_requests.recent(), observe);
        let Some(change) = next else { continue };
        let silent = silent_members(&state, observe);
        let reply = log_handle.change_members(change.clone()).await;
        changed = matches!(reply, Reply::At(_));
        if let (MemberChange::Promote { id }, Reply::Refused(Refusal::NotCaughtUp)) =
            (&change, &reply)
        {
            lagging_since.insert(*id, now);
        }
        let learners = state.members.iter().filter(|member| !member.voter);
        info!(log, "member change proposed"; "change" => format!("{change:?}"),
            "outcome" => format!("{reply:?}"), "voters" => state.members.voters().count(),
            "learners" => learners.map(|learner| &*learner.address).collect::<Vec<_>>().join(","),
            "silent" => silent);
    }
}

/// Returns the silent members with their silence, for the log.
fn silent_members(state: &ReplicaState, observe: impl Fn(ReplicaId) -> Observation) -> String {
    let others = state.members.iter().filter(|member| member.id != state.id);
    let silent = others.filter_map(|member| {
        let observed = observe(member.id);
        let leaving = if observed.leaving { " leaving" } else { "" };
        (!observed.is_alive() || observed.leaving)
            .then(|| format!("{} {}ms{leaving}", member.address, observed.silence.as_millis()))
    });
    silent.collect::<Vec<_>>().join(",")
}

/// Returns at time `now` how long a replica has been silent. Soon after this replica became leader
/// at `since`, one that has not been heard since then is neither alive nor silent.
pub fn silence(last_heard: Option<Duration>, since: Duration, now: Duration) -> Duration {
    match last_heard {
        Some(last_heard) if last_heard >= since => now.saturating_sub(last_heard),
        _ if now < since + LEADER_SETTLE_TIME => MAX_ALIVE_SILENCE,
        _ => now.saturating_sub(last_heard.unwrap_or(since)).max(MAX_ALIVE_SILENCE),
    }
}

/// Whether the `heard_voters` are a quorum after the loss of as many disks as are tolerated.
pub fn is_fault_tolerant(members: &Members, held_voters: usize, heard_voters: usize) -> bool {
    let tolerated = held_voters.saturating_sub(1) / 2;
    heard_voters >= members.quorum() + tolerated
}

/// Whether a learner may be promoted as soon as it is known which voters are silent. The one that it
/// replaces may be gone already.
pub fn is_promotion_due(state: &ReplicaState, observe: impl Fn(ReplicaId) -> Observation) -> bool {
    let mut learners = state.members.iter().filter(|member| !member.voter);
    learners.any(|learner| {
        let learner = observe(learner.id);
        learner.is_ready() && !learner.lagging && learner.member_for >= SETTLE_TIME
    })
}

/// Returns the next change of the member set, by the rules of the module.
pub fn next_change(
    state: &ReplicaState,
    held_voters: usize,
    joiners: &[Identity],
    observe: impl Fn(ReplicaId) -> Observation,
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
    let observed = |is_voter: bool| -> SmallVec<[(ReplicaId, Observation); 8]> {
        let wanted = others().filter(|member| member.voter == is_voter);
        wanted.map(|member| (member.id, observe(member.id))).collect()
    };
    let (other_voters, learners) = (observed(true), observed(false));
    let change = if members.voters().count() < held_voters {
        fill_up(&other_voters, &learners, held_voters)
    } else {
        let newest_for = members.voters().map(|id| observe(id).member_for).min();
        replace(&other_voters, &learners, held_voters, newest_for)
    };
    change.or_else(|| {
        let lost = learners.iter().find(|(_, learner)| learner.silence >= REMOVE_LEARNER_AFTER);
        lost.map(|(id, _)| MemberChange::Remove { id: *id })
    })
}

/// The learner that is promoted next, if there is one that may be.
fn longest_ready(learners: &[(ReplicaId, Observation)]) -> Option<(MemberChange, Observation)> {
    let ready = learners.iter().filter(|(_, learner)| learner.is_ready());
    let longest = ready.max_by_key(|(_, learner)| (!learner.lagging, learner.member_for));
    longest.map(|(id, learner)| (MemberChange::Promote { id: *id }, *learner))
}

/// Whether it is not known of a voter whether it is alive.
fn in_doubt(other_voters: &[(ReplicaId, Observation)]) -> bool {
    other_voters.iter().any(|(_, voter)| voter.is_doubtful())
}

/// Returns the next change of a leader while fewer replicas vote than are held.
fn fill_up(
    other_voters: &[(ReplicaId, Observation)],
    learners: &[(ReplicaId, Observation)],
    held_voters: usize,
) -> Option<MemberChange> {
    let (promotion, _) = longest_ready(learners)?;
    let voters = other_voters.len() + 1;
    let ready = learners.iter().filter(|(_, learner)| learner.is_ready()).count();
    let lost = other_voters.iter().filter(|(_, voter)| voter.is_lost());
    let longest_lost = lost.max_by_key(|(_, voter)| voter.silence);
    match longest_lost {
        _ if voters.is_multiple_of(2) || voters + ready >= held_voters => Some(promotion),
        Some((id, _)) => Some(MemberChange::Remove { id: *id }),
        None => (!in_doubt(other_voters)).then_some(promotion),
    }
}

/// Returns the next change of a leader while as many replicas vote as are held, or more. `newest_for`
/// is the time for which the newest voter has been a member.
fn replace(
    other_voters: &[(ReplicaId, Observation)],
    learners: &[(ReplicaId, Observation)],
    held_voters: usize,
    newest_for: Option<Duration>,
) -> Option<MemberChange> {
    let newest_for = newest_for.filter(|newest_for| *newest_for >= SETTLE_TIME);
    if other_voters.len() + 1 > held_voters
        && let Some(id) = departed_voter(other_voters, newest_for)
    {
        return Some(MemberChange::Remove { id });
    }
    let (promotion, learner) = longest_ready(learners)?;
    let is_leaving = other_voters.iter().any(|(_, voter)| voter.leaving);
    let is_settled =
        !in_doubt(other_voters) && newest_for.is_some() && learner.member_for >= SETTLE_TIME;
    (is_leaving || is_settled).then_some(promotion)
}

/// Returns the voter that is most likely gone for good. `newest_for` is the time for which the newest
/// voter has been a member; `None` if it isn't known yet which voters were silent at its arrival.
///
/// - A voter that has announced its stop.
/// - A voter that had fallen silent before that newest voter arrived; the latest one, because a
///   successor follows its predecessor soon.
/// - The voter that has been silent for the longest time.
fn departed_voter(
    voters: &[(ReplicaId, Observation)],
    newest_for: Option<Duration>,
) -> Option<ReplicaId> {
    let leaving = voters.iter().find(|(_, voter)| voter.leaving);
    let replaced = voters
        .iter()
        .filter(|(_, voter)| newest_for.is_some_and(|newest| voter.was_silent_at_arrival(newest)))
        .min_by_key(|(_, voter)| voter.silence);
    let lost =
        voters.iter().filter(|(_, voter)| voter.is_lost()).max_by_key(|(_, voter)| voter.silence);
    leaving.or(replaced).or(lost).map(|(id, _)| *id)
}

/// Shows the other members periodically that this replica is alive. Followers hear each other only
/// through this, so that a new leader knows at once how long each of them has been silent. Ends with
/// the thread that owns the log.
pub async fn show_presence(log_handle: LogHandle, peers: Rc<Peers>) {
    while log_handle.state.has_changed().is_ok() {
        tokio::time::sleep(PRESENCE_PERIOD).await;
        let state = log_handle.state.borrow().clone();
        for client in peers.other_members(&state) {
            client.notify(Request::Log(peers.own().clone(), Vec::new()), PRESENCE_TIMEOUT);
        }
    }
}

/// Returns the voter that takes over the leadership. Any may, unless another one stops as well: then
/// it is one that is alive and does not.
pub fn successor(control: &Control) -> Option<ReplicaId> {
    let Control { log_handle, peers, leave_notices, .. } = control;
    let (state, now) = (log_handle.state.borrow(), boot_time());
    let others = || state.members.voters().filter(|id| *id != state.id);
    let is_leaving = |id: &ReplicaId| leave_notices.is_leaving(*id, peers.last_heard(*id));
    if !others().any(|id| is_leaving(&id)) {
        return None;
    }
    let is_alive = |id: &ReplicaId| {
        peers.last_heard(*id).is_some_and(|last_heard| now < last_heard + MAX_ALIVE_SILENCE)
    };
    others().find(|id| is_alive(id) && !is_leaving(id))
}

/// Announces the stop of this replica to the other members. If there are enough other voters, or a
/// learner to replace this one, waits until this replica is no longer a voter, so that a replica that
/// does not come back leaves no voter behind.
pub async fn leave(control: &Control) {
    let Control { log_handle, peers, .. } = control;
    let started = boot_time();
    loop {
        let state = log_handle.state.borrow().clone();
        if state.role == Role::Leader {
            // Another replica that stops has made this one the leader.
            log_handle.transfer_leadership(successor(control));
        }
        let notice = Request::Leave(peers.own().clone());
        let members = peers.other_members(&state);
        let calls = members.iter().map(|client| client.call(notice.clone(), LEAVE_NOTICE_TIMEOUT));
        // Members that have not answered by then get the next notice.
        let _ = tokio::time::timeout(LEAVE_NOTICE_PERIOD, join_all(calls)).await;
        let state = log_handle.state.borrow().clone();
        let is_needed = state.members.voters().count() <= control.settings.held_voters
            && state.members.iter().all(|member| member.voter);
        if is_needed || !state.members.is_voter(state.id) {
            return;
        }
        if boot_time() >= started + LEAVE_TIMEOUT {
            info!(control.log, "still a voter at the stop");
            return;
        }
        tokio::time::sleep(LEAVE_NOTICE_PERIOD).await;
    }
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
