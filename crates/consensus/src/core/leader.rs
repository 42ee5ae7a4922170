//! Leader: replication, commits, linearizable reads and leadership transfer.
//!
//! Each heartbeat starts a round, whose number is in all messages to followers and in their
//! replies. Once a quorum has replied to a round, it is confirmed that this replica was still the
//! leader when the round started. Reads wait for such a confirmation.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::Entry;
use crate::Message;
use crate::Payload;
use crate::ReplicaId;
use crate::message::Body;
use crate::message::Outcome as AppendOutcome;

use super::Outcome;
use super::Refusal;
use super::Replica;
use super::State;
use super::progress::Context;
use super::progress::Progress;

/// Time between two attempts of a leader with a full disk to hand over, in longest election timeouts.
/// An attempt takes one of them at most.
const HAND_OVER_PERIODS: u32 = 4;

#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the no-op entry that starts the term. Reads and membership changes wait for its
    /// commit.
    pub(super) noop: u64,
    elected_at: Duration,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Index and token of each uncommitted proposal and membership change.
    pub(super) tokens: VecDeque<(u64, u64)>,
    uncommitted_bytes: usize,
    /// Number of the latest round. Append messages and snapshot chunks carry it, and replies echo
    /// it.
    round: u64,
    /// Number and start time of each round that is not confirmed yet.
    unconfirmed_rounds: VecDeque<(u64, Duration)>,
    /// Start time of the latest round that a quorum replied to.
    confirmed_at: Option<Duration>,
    next_heartbeat: Duration,
    /// Tokens of reads that are not assigned to a round yet.
    queued_reads: Vec<u64>,
    pending_reads: Option<PendingReads>,
    transfer: Option<Transfer>,
    /// Earliest time of the next transfer because the disk is full.
    next_hand_over: Duration,
}

/// Reads that wait until a quorum has replied to a round.
#[derive(Debug)]
struct PendingReads {
    round: u64,
    /// Commit index when the round started.
    index: u64,
    tokens: Vec<u64>,
}

/// A leadership transfer in progress.
#[derive(Debug)]
struct Transfer {
    to: ReplicaId,
    deadline: Duration,
    /// Whether the target was asked to campaign.
    requested: bool,
}

impl Leader {
    pub(super) fn new(noop: u64, now: Duration) -> Self {
        Self {
            noop,
            elected_at: now,
            progress: BTreeMap::new(),
            tokens: VecDeque::new(),
            uncommitted_bytes: 0,
            round: 0,
            unconfirmed_rounds: VecDeque::new(),
            confirmed_at: None,
            next_heartbeat: now,
            queued_reads: Vec::new(),
            pending_reads: None,
            transfer: None,
            next_hand_over: now,
        }
    }

    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Time since which no quorum has confirmed this leader: the start of the latest confirmed
    /// round, or the election.
    pub(super) fn last_quorum_contact(&self) -> Duration {
        self.confirmed_at.map_or(self.elected_at, |at| at.max(self.elected_at))
    }

    /// Starts a round if a heartbeat is due or reads are queued. Returns whether it did. Reads that
    /// arrive while other reads wait for a round are batched into the next round.
    fn begin_round(&mut self, now: Duration, heartbeat: Duration, commit: u64) -> bool {
        let read_due =
            !self.queued_reads.is_empty() && self.pending_reads.is_none() && commit >= self.noop;
        if !read_due && now < self.next_heartbeat {
            return false;
        }
        self.round += 1;
        self.unconfirmed_rounds.push_back((self.round, now));
        self.next_heartbeat = now + heartbeat;
        if read_due {
            let tokens = std::mem::take(&mut self.queued_reads);
            self.pending_reads = Some(PendingReads { round: self.round, index: commit, tokens });
        }
        true
    }

    /// Marks all rounds up to `round` as confirmed by a quorum. Returns the reads that may be
    /// served.
    fn confirm(&mut self, round: u64) -> Option<PendingReads> {
        while let Some((_, start)) =
            self.unconfirmed_rounds.pop_front_if(|(number, _)| *number <= round)
        {
            self.confirmed_at = Some(start);
        }
        self.pending_reads.take_if(|pending| pending.round <= round)
    }

    /// The replica in `voters` with the longest synced log.
    fn successor(&self, voters: impl Iterator<Item = ReplicaId>) -> Option<ReplicaId> {
        voters
            .filter_map(|id| self.progress.get(&id).map(|progress| (progress.matched, id)))
            .max()
            .map(|(_, id)| id)
    }
}

impl Replica {
    pub(super) fn reply_not_leader(&mut self, token: u64) {
        let hint = match &self.state {
            State::Leader(leader) => leader.transfer.as_ref().map(|transfer| transfer.to),
            _ => self.leader,
        };
        let hint = hint.and_then(|id| self.members().get(id)).cloned();
        self.reply(token, Outcome::NotLeader { hint });
    }

    /// The leader state, unless a leadership transfer is in progress.
    pub(super) fn active_leader(&mut self) -> Option<&mut Leader> {
        match &mut self.state {
            State::Leader(leader) if leader.transfer.is_none() => Some(leader),
            _ => None,
        }
    }

    pub(super) fn propose(&mut self, token: u64, payload: Vec<u8>) {
        let (disk_full, term) = (self.disk_full, self.term);
        let (max_payload, max_uncommitted) =
            (self.settings.max_payload_bytes, self.settings.max_uncommitted_bytes);
        let index = self.log.last().index + 1;
        let Some(leader) = self.active_leader() else { return self.reply_not_leader(token) };
        let refusal = if payload.len() > max_payload {
            Some(Refusal::TooLarge)
        } else if disk_full {
            Some(Refusal::DiskFull)
        } else if leader.uncommitted_bytes + payload.len() > max_uncommitted {
            Some(Refusal::Busy)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            return self.reply(token, Outcome::Refused(refusal));
        }
        leader.uncommitted_bytes += payload.len();
        leader.tokens.push_back((index, token));
        self.append_entry(Entry { index, term, payload: Payload::Command(payload.into()) });
    }

    pub(super) fn append_noop(&mut self) {
        let index = self.log.last().index + 1;
        self.append_entry(Entry { index, term: self.term, payload: Payload::Empty });
    }

    pub(super) fn read(&mut self, token: u64) {
        let max_reads = self.settings.max_reads;
        let Some(leader) = self.active_leader() else { return self.reply_not_leader(token) };
        if leader.queued_reads.len() >= max_reads {
            return self.reply(token, Outcome::Refused(Refusal::Busy));
        }
        leader.queued_reads.push(token);
    }

    pub(super) fn leader_tick(&mut self) {
        let is_sole_quorum = self.members().has_quorum(&[self.id]);
        let (now, timeout) = (self.now, self.settings.election_min);
        let State::Leader(leader) = &mut self.state else { return };
        leader.transfer.take_if(|transfer| now >= transfer.deadline);
        if !is_sole_quorum && now >= leader.last_quorum_contact() + timeout {
            return self.become_follower(self.term, None);
        }
        if self.disk_full && leader.transfer.is_none() && now >= leader.next_hand_over {
            // Another replica may have space. If none takes over, reads are served between the
            // attempts.
            leader.next_hand_over = now + HAND_OVER_PERIODS * self.settings.election_max;
            self.start_transfer(None);
        }
    }

    /// Starts and stops tracking replicas according to the latest member set.
    pub(super) fn update_progress(&mut self) {
        let last = self.log.last().index;
        let members = self.log.members().1;
        let State::Leader(leader) = &mut self.state else { return };
        leader.progress.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|member| member.id != self.id) {
            leader.progress.entry(member.id).or_insert_with(|| Progress::new(last));
        }
    }

    /// Sends missing entries or snapshot chunks to the other members. If a heartbeat is due, sends
    /// one to each member that gets nothing else.
    pub(super) fn replicate(&mut self) {
        let removed = self.is_removed();
        let State::Leader(leader) = &mut self.state else { return };
        let heartbeat_due =
            leader.begin_round(self.now, self.settings.heartbeat, self.commit) || removed;
        let context = Context {
            log: &self.log,
            snapshot: self.snapshot.as_ref(),
            settings: &self.settings,
            commit: self.commit,
            round: leader.round,
            now: self.now,
        };
        let (from, term) = (self.id, self.term);
        for (to, progress) in &mut leader.progress {
            let sent_before = self.output.messages.len();
            while let Some(body) = progress.next_body(&context) {
                self.output.messages.push(Message { from, to: *to, term, body });
            }
            if heartbeat_due && self.output.messages.len() == sent_before {
                let body = progress.heartbeat(&context);
                self.output.messages.push(Message { from, to: *to, term, body });
            }
        }
        self.confirm_round();
        self.continue_transfer(heartbeat_due);
        if removed {
            self.step_down_after_removal();
        }
    }

    /// Whether a committed membership change removed this leader.
    fn is_removed(&self) -> bool {
        let (index, members) = self.log.members();
        index <= self.commit && !members.is_voter(self.id)
    }

    /// Steps down as a removed leader. Asks the most up-to-date voter to campaign, so that the
    /// cluster does not have to wait for an election timeout.
    fn step_down_after_removal(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        if let Some(to) = leader.successor(self.members().voters()) {
            self.send(to, Body::TimeoutNow);
        }
        self.become_follower(self.term, None);
    }

    pub(super) fn start_transfer(&mut self, to: Option<ReplicaId>) {
        let deadline = self.now + self.settings.election_max;
        let own_id = self.id;
        let State::Leader(leader) = &self.state else { return };
        let voters = self.members().voters().filter(|id| to.is_none_or(|to| to == *id));
        let Some(to) = leader.successor(voters.filter(|id| *id != own_id)) else { return };
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = Some(Transfer { to, deadline, requested: false });
        }
    }

    /// Asks the target of the transfer to campaign once it has the whole log. Repeats the request
    /// with each heartbeat, since messages can be lost.
    fn continue_transfer(&mut self, heartbeat_due: bool) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        let to = transfer.to;
        let ready = leader.progress.get(&to).is_some_and(|progress| progress.matched == last);
        if ready && (heartbeat_due || !transfer.requested) {
            transfer.requested = true;
            self.send(to, Body::TimeoutNow);
        }
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, outcome: AppendOutcome, round: u64) {
        let now = self.now;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.on_reply(round, now);
        match outcome {
            AppendOutcome::Matched(index) => progress.on_matched(index),
            AppendOutcome::Rejected { previous, hint } => progress.on_rejected(previous, hint),
        }
        self.advance_commit();
        self.confirm_round();
    }

    pub(super) fn on_chunk_reply(&mut self, from: ReplicaId, index: u64, offset: u64, round: u64) {
        let now = self.now;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(progress) = leader.progress.get_mut(&from) else { return };
        progress.on_reply(round, now);
        progress.on_chunk(index, offset);
        self.confirm_round();
    }

    /// Commits the entries that a quorum of voters has synced. Entries of earlier terms are only
    /// committed together with an entry of the current term, because a later leader could still
    /// replace them.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let synced_index = |id| match leader.progress.get(&id) {
            Some(progress) => progress.matched,
            None => self.synced,
        };
        let Some(index) = self.members().quorum_value(synced_index) else { return };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            let committed_before = self.output.committed.len();
            self.commit_to(index);
            self.reply_committed(committed_before);
        }
    }

    /// Replies to committed proposals and changes. `committed_before` is the number of entries that
    /// this step had committed before.
    fn reply_committed(&mut self, committed_before: usize) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else { return };
        let sizes =
            self.output.committed[committed_before..].iter().map(|entry| match &entry.payload {
                Payload::Command(bytes) => bytes.len(),
                _ => 0,
            });
        leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(sizes.sum());
        while let Some((index, token)) = leader.tokens.pop_front_if(|(index, _)| *index <= commit) {
            let outcome = Outcome::Committed { index };
            self.output.replies.push(super::Reply { token, outcome });
        }
    }

    /// Replies to the reads of all rounds that a quorum of voters has replied to.
    fn confirm_round(&mut self) {
        let members = self.log.members().1;
        let State::Leader(leader) = &mut self.state else { return };
        let replied_round =
            |id| leader.progress.get(&id).map_or(leader.round, |progress| progress.round);
        let Some(round) = members.quorum_value(replied_round) else { return };
        let Some(pending) = leader.confirm(round) else { return };
        for token in pending.tokens {
            self.reply(token, Outcome::ReadReady { index: pending.index });
        }
    }

    /// Replies to all pending requests after this leader stepped down.
    pub(super) fn fail_pending(&mut self, leader: Leader) {
        for (_, token) in leader.tokens {
            self.reply(token, Outcome::LeadershipLost);
        }
        let pending = leader.pending_reads.into_iter().flat_map(|pending| pending.tokens);
        for token in pending.chain(leader.queued_reads) {
            self.reply_not_leader(token);
        }
    }
}
