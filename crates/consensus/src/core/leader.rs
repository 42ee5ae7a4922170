//! What a leader does: replication, commits, reads and leadership transfer.

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

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the entry that starts the term. Reads and member changes wait for its commit.
    pub(super) noop: u64,
    since: Duration,
    pub(super) progress: BTreeMap<ReplicaId, Progress>,
    /// Index and token of each proposal and change that is not committed.
    pub(super) tokens: VecDeque<(u64, u64)>,
    uncommitted_bytes: usize,
    /// Number of the newest round. Every message carries it and every reply echoes it.
    round: u64,
    /// Start of each round after the confirmed one.
    rounds: VecDeque<(u64, Duration)>,
    confirmed_at: Option<Duration>,
    next_heartbeat: Duration,
    /// Reads that wait for a round.
    reads: Vec<u64>,
    asked: Option<AskedReads>,
    transfer: Option<Transfer>,
}

/// Reads that wait for the confirmation of a round.
#[derive(Debug)]
struct AskedReads {
    round: u64,
    index: u64,
    tokens: Vec<u64>,
}

#[derive(Debug)]
struct Transfer {
    to: ReplicaId,
    until: Duration,
    asked: bool,
}

impl Leader {
    pub(super) fn new(noop: u64, now: Duration) -> Self {
        Self {
            noop,
            since: now,
            progress: BTreeMap::new(),
            tokens: VecDeque::new(),
            uncommitted_bytes: 0,
            round: 0,
            rounds: VecDeque::new(),
            confirmed_at: None,
            next_heartbeat: now,
            reads: Vec::new(),
            asked: None,
            transfer: None,
        }
    }

    pub(super) fn confirmed_at(&self) -> Option<Duration> {
        self.confirmed_at
    }

    /// Start of the time without a confirmation by a quorum.
    pub(super) fn quorum_since(&self) -> Duration {
        self.confirmed_at.map_or(self.since, |at| at.max(self.since))
    }

    /// Starts a round if a heartbeat is due or reads wait for one. Reads that arrive while a round
    /// is under way wait for the next one, so a round serves many reads.
    fn begin_round(&mut self, now: Duration, heartbeat: Duration, commit: u64) -> bool {
        let read = !self.reads.is_empty() && self.asked.is_none() && commit >= self.noop;
        if !read && now < self.next_heartbeat {
            return false;
        }
        self.round += 1;
        self.rounds.push_back((self.round, now));
        self.next_heartbeat = now + heartbeat;
        if read {
            let tokens = std::mem::take(&mut self.reads);
            self.asked = Some(AskedReads { round: self.round, index: commit, tokens });
        }
        true
    }

    /// A quorum replied to `round`. Returns the reads that it confirms.
    fn confirm(&mut self, round: u64) -> Option<AskedReads> {
        while let Some((_, start)) = self.rounds.pop_front_if(|(number, _)| *number <= round) {
            self.confirmed_at = Some(start);
        }
        self.asked.take_if(|asked| asked.round <= round)
    }

    /// The follower among `voters` with the longest synced log.
    fn successor(&self, voters: impl Iterator<Item = ReplicaId>) -> Option<ReplicaId> {
        voters
            .filter_map(|id| self.progress.get(&id).map(|progress| (progress.matched, id)))
            .max()
            .map(|(_, id)| id)
    }
}

impl Replica {
    pub(super) fn not_leader(&mut self, token: u64) {
        let hint = match &self.state {
            State::Leader(leader) => leader.transfer.as_ref().map(|transfer| transfer.to),
            _ => self.leader,
        };
        let hint = hint.and_then(|id| self.members().get(id)).cloned();
        self.reply(token, Outcome::NotLeader { hint });
    }

    /// The leader state, unless leadership is being handed over.
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
        let Some(leader) = self.active_leader() else { return self.not_leader(token) };
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
        let Some(leader) = self.active_leader() else { return self.not_leader(token) };
        if leader.reads.len() >= max_reads {
            return self.reply(token, Outcome::Refused(Refusal::Busy));
        }
        leader.reads.push(token);
    }

    pub(super) fn leader_tick(&mut self) {
        let alone = self.members().has_quorum(&[self.id]);
        let (now, limit) = (self.now, self.settings.election_min);
        let State::Leader(leader) = &mut self.state else { return };
        leader.transfer.take_if(|transfer| now >= transfer.until);
        if !alone && now >= leader.quorum_since() + limit {
            self.become_follower(self.term, None);
        }
    }

    /// Adds and removes replicas according to the newest member set.
    pub(super) fn update_progress(&mut self) {
        let last = self.log.last().index;
        let members = self.log.members().1;
        let State::Leader(leader) = &mut self.state else { return };
        leader.progress.retain(|id, _| members.get(*id).is_some());
        for member in members.iter().filter(|member| member.id != self.id) {
            leader.progress.entry(member.id).or_insert_with(|| Progress::new(last));
        }
    }

    /// Sends what the other replicas lack, and a heartbeat if one is due.
    pub(super) fn replicate(&mut self) {
        let resigns = self.is_removed();
        let State::Leader(leader) = &mut self.state else { return };
        let heartbeat =
            leader.begin_round(self.now, self.settings.heartbeat, self.commit) || resigns;
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
            let before = self.out.messages.len();
            while let Some(body) = progress.next_body(&context) {
                self.out.messages.push(Message { from, to: *to, term, body });
            }
            if heartbeat && self.out.messages.len() == before {
                let body = progress.heartbeat(&context);
                self.out.messages.push(Message { from, to: *to, term, body });
            }
        }
        self.confirm_round();
        self.hand_over(heartbeat);
        if resigns {
            self.resign();
        }
    }

    /// Whether the commit of a member change removed this leader.
    fn is_removed(&self) -> bool {
        let (index, members) = self.log.members();
        index <= self.commit && !members.is_voter(self.id)
    }

    /// A removed leader asks the best follower to take over, so that no timeout has to pass.
    fn resign(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        if let Some(to) = leader.successor(self.members().voters()) {
            self.send(to, Body::TakeOver);
        }
        self.become_follower(self.term, None);
    }

    pub(super) fn start_transfer(&mut self, to: Option<ReplicaId>) {
        let until = self.now + self.settings.election_max;
        let own = self.id;
        let State::Leader(leader) = &self.state else { return };
        let voters = self.members().voters().filter(|id| to.is_none_or(|to| to == *id));
        let Some(to) = leader.successor(voters.filter(|id| *id != own)) else { return };
        if let State::Leader(leader) = &mut self.state {
            leader.transfer = Some(Transfer { to, until, asked: false });
        }
    }

    /// Asks the transfer's target to campaign once it has the whole log, and again with each
    /// heartbeat in case the request is lost.
    fn hand_over(&mut self, heartbeat: bool) {
        let last = self.log.last().index;
        let State::Leader(leader) = &mut self.state else { return };
        let Some(transfer) = &mut leader.transfer else { return };
        let to = transfer.to;
        let ready = leader.progress.get(&to).is_some_and(|progress| progress.matched == last);
        if ready && (heartbeat || !transfer.asked) {
            transfer.asked = true;
            self.send(to, Body::TakeOver);
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

    /// Commits what a quorum of voters has synced. Entries of earlier terms commit only together
    /// with one of the own term, since a later leader could still replace them.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else { return };
        let synced = |id| match leader.progress.get(&id) {
            Some(progress) => progress.matched,
            None => self.synced,
        };
        let Some(index) = self.members().quorum_value(synced) else { return };
        if index > self.commit && self.log.term(index) == Some(self.term) {
            let answered = self.out.committed.len();
            self.commit_to(index);
            self.answer_committed(answered);
        }
    }

    /// Answers the proposals and changes that are committed. `answered` counts the entries of this
    /// step that were committed before.
    fn answer_committed(&mut self, answered: usize) {
        let commit = self.commit;
        let State::Leader(leader) = &mut self.state else { return };
        let sizes = self.out.committed[answered..].iter().map(|entry| match &entry.payload {
            Payload::Command(bytes) => bytes.len(),
            _ => 0,
        });
        leader.uncommitted_bytes = leader.uncommitted_bytes.saturating_sub(sizes.sum());
        while let Some((index, token)) = leader.tokens.pop_front_if(|(index, _)| *index <= commit) {
            let outcome = Outcome::Committed { index };
            self.out.replies.push(super::Reply { token, outcome });
        }
    }

    /// Answers the reads of the newest round that a quorum of voters replied to.
    fn confirm_round(&mut self) {
        let members = self.log.members().1;
        let State::Leader(leader) = &mut self.state else { return };
        let replied = |id| leader.progress.get(&id).map_or(leader.round, |one| one.round);
        let Some(round) = members.quorum_value(replied) else { return };
        let Some(asked) = leader.confirm(round) else { return };
        for token in asked.tokens {
            self.reply(token, Outcome::ReadReady { index: asked.index });
        }
    }

    /// Answers everything that waits for a leader that stepped down.
    pub(super) fn drop_pending(&mut self, leader: Leader) {
        for (_, token) in leader.tokens {
            self.reply(token, Outcome::Dropped);
        }
        let asked = leader.asked.into_iter().flat_map(|asked| asked.tokens);
        for token in asked.chain(leader.reads) {
            self.not_leader(token);
        }
    }
}
