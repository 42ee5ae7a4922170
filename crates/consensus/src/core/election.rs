//! Elections: timeouts, pre-votes and votes.

use rand::RngExt;
use smallvec::SmallVec;

use crate::Message;
use crate::ReplicaId;
use crate::message::Body;
use crate::message::Position;

use super::Replica;
use super::State;
use super::Votes;
use super::leader::Leader;

/// Divides the election timeout of a replica that has not heard from a leader since its start. A
/// third of the timeout range still separates two replicas by more than a round trip between
/// regions.
const STARTUP_TIMEOUT_DIVISOR: u32 = 3;

impl Replica {
    pub(super) fn tick(&mut self) {
        if matches!(self.state, State::Leader(_)) {
            self.leader_tick();
        } else if self.election_at.is_some_and(|at| self.now >= at) {
            self.reset_election_timer();
            self.leader = None;
            if self.may_campaign() {
                self.start_pre_vote();
            }
        }
    }

    /// Draws a new election timeout. It is shorter for a replica that has not heard from a leader
    /// since its start, so that a leader is elected soon after all replicas restarted. This does
    /// not depose a leader that the other voters hear from, since they refuse the pre-vote.
    pub(super) fn reset_election_timer(&mut self) {
        let (min, max) = (self.settings.election_min, self.settings.election_max);
        let campaigns = matches!(self.state, State::Candidate(_) | State::Leader(_));
        let no_leader_since_start = self.leader_heard_at.is_none() && !campaigns;
        let range = if no_leader_since_start {
            min / STARTUP_TIMEOUT_DIVISOR..=max / STARTUP_TIMEOUT_DIVISOR
        } else {
            min..=max
        };
        self.election_at = Some(self.now + self.random.random_range(range));
    }

    /// Whether this replica may start an election. A candidate must write its own vote, which is
    /// impossible while the disk is full.
    fn may_campaign(&self) -> bool {
        self.members().is_voter(self.id) && !self.disk_full
    }

    /// Becomes a follower in `term`, which is the current or a later term.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_state_changed = true;
        }
        self.leader = leader;
        if let State::Leader(old) = std::mem::replace(&mut self.state, State::Follower) {
            self.fail_pending(*old);
            self.reset_election_timer();
        }
    }

    /// Requests pre-votes. They do not raise the term, so a partitioned or removed replica cannot
    /// depose a leader that the other voters hear from.
    fn start_pre_vote(&mut self) {
        let votes = Votes { granted: SmallVec::from_slice(&[self.id]), own_vote_sequence: 0 };
        self.state = State::PreCandidate(votes);
        let last = self.log.last();
        for to in self.other_voters() {
            let body = Body::PreVote(last);
            let message = Message { from: self.id, to, term: self.term + 1, body };
            self.output.messages.push(message);
        }
        self.count_votes();
    }

    pub(super) fn start_campaign(&mut self, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.id);
        self.hard_state_changed = true;
        self.leader = None;
        self.reset_election_timer();
        let own_vote_sequence = self.next_sequence();
        self.state = State::Candidate(Votes { granted: SmallVec::new(), own_vote_sequence });
        let last = self.log.last();
        for to in self.other_voters() {
            self.send_after_sync(to, Body::Vote { last, transfer });
        }
    }

    fn other_voters(&self) -> SmallVec<[ReplicaId; 5]> {
        self.members().voters().filter(|id| *id != self.id).collect()
    }

    /// Counts the candidate's own vote if it is synced.
    pub(super) fn count_own_vote(&mut self, persisted: u64) {
        let own_id = self.id;
        if let State::Candidate(votes) = &mut self.state
            && votes.own_vote_sequence <= persisted
            && !votes.granted.contains(&own_id)
        {
            votes.granted.push(own_id);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        match &self.state {
            State::PreCandidate(votes) if self.members().has_quorum(&votes.granted) => {
                self.start_campaign(false);
            }
            State::Candidate(votes) if self.members().has_quorum(&votes.granted) => {
                self.become_leader();
            }
            _ => {}
        }
    }

    fn become_leader(&mut self) {
        let noop = self.log.last().index + 1;
        self.leader = Some(self.id);
        self.state = State::Leader(Box::new(Leader::new(noop, self.now)));
        self.update_progress();
        self.append_noop();
    }

    /// Whether a log that ends at `last` contains every entry of the local log that may be
    /// committed.
    fn is_up_to_date(&self, last: Position) -> bool {
        let own_last = self.log.last();
        (last.term, last.index) >= (own_last.term, own_last.index)
    }

    /// Whether this replica heard from a leader within the shortest election timeout, or is a
    /// leader that a quorum confirmed within it. Votes are then refused, which protects a working
    /// leader from disruptive candidates.
    fn has_live_leader(&self) -> bool {
        let heard_at = match &self.state {
            State::Leader(leader) => Some(leader.last_quorum_contact()),
            _ => self.leader_heard_at,
        };
        heard_at.is_some_and(|at| self.now < at + self.settings.election_min)
    }

    /// Whether this replica may vote for a candidate whose log ends at `last`. A replica with an
    /// empty log must not vote: it holds no committed entry, so its vote could not protect any.
    fn may_vote(&self, last: Position) -> bool {
        self.log.last().index > 0 && !self.disk_full && self.is_up_to_date(last)
    }

    pub(super) fn on_pre_vote(&mut self, from: ReplicaId, term: u64, last: Position) {
        let granted = term > self.term && !self.has_live_leader() && self.may_vote(last);
        self.send(from, Body::PreVoteReply { campaign: term, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: ReplicaId, campaign: u64, granted: bool) {
        if campaign != self.term + 1 || !granted {
            return;
        }
        if let State::PreCandidate(votes) = &mut self.state
            && !votes.granted.contains(&from)
        {
            votes.granted.push(from);
            self.count_votes();
        }
    }

    pub(super) fn on_vote(&mut self, message: &Message, last: Position, transfer: bool) {
        let Message { from, term, .. } = *message;
        let disruptive = !transfer && self.has_live_leader();
        // A candidate outside the member set may have been removed. It may raise the term only if
        // its log is up to date, because then the local member set may be outdated.
        let outdated_non_member = self.members().get(from).is_none() && !self.may_vote(last);
        if term > self.term && !disruptive && !outdated_non_member {
            self.become_follower(term, None);
        }
        let vote_available = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term
            && vote_available
            && matches!(self.state, State::Follower | State::PreCandidate(_))
            && self.may_vote(last);
        if granted {
            self.state = State::Follower;
            self.vote = Some(from);
            self.hard_state_changed = true;
            self.reset_election_timer();
        }
        self.send_after_sync(from, Body::VoteReply { granted });
    }

    pub(super) fn on_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let State::Candidate(votes) = &mut self.state
            && granted
            && !votes.granted.contains(&from)
        {
            votes.granted.push(from);
            self.count_votes();
        }
    }

    pub(super) fn on_timeout_now(&mut self) {
        if self.may_campaign() && !matches!(self.state, State::Leader(_)) {
            self.start_campaign(true);
        }
    }
}
