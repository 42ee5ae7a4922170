//! Elections: timers, pre-votes and votes.

use rand::RngExt;
use smallvec::SmallVec;

use crate::Message;
use crate::ReplicaId;
use crate::message::Body;
use crate::message::Position;

use super::Ballot;
use super::Replica;
use super::State;
use super::leader::Leader;

/// How much shorter the timeouts of a replica are that has heard no leader since its start. Three
/// times the spread still separates two replicas by more than a round trip between regions.
const FRESH_DIVISOR: u32 = 3;

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

    /// A replica that has heard no leader since its start does not wait for the heartbeats that it
    /// missed: after a loss of all replicas the first ones to return elect a leader at once. A
    /// leader that the others hear is not disturbed, since they refuse the pre-vote.
    pub(super) fn reset_election_timer(&mut self) {
        let (min, max) = (self.settings.election_min, self.settings.election_max);
        let campaigns = matches!(self.state, State::Candidate(_) | State::Leader(_));
        let fresh = self.leader_heard.is_none() && !campaigns;
        let range = if fresh { min / FRESH_DIVISOR..=max / FRESH_DIVISOR } else { min..=max };
        self.election_at = Some(self.now + self.random.random_range(range));
    }

    /// A campaign writes the own vote, so a replica with a full disk does not start one.
    fn may_campaign(&self) -> bool {
        self.members().is_voter(self.id) && !self.disk_full
    }

    /// Enters `term`, or stays in it, as a follower.
    pub(super) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.hard_state_changed = true;
        }
        self.leader = leader;
        if let State::Leader(old) = std::mem::replace(&mut self.state, State::Follower) {
            self.drop_pending(*old);
            self.reset_election_timer();
        }
    }

    /// Asks for pre-votes, which raise no term: a replica that was cut off or removed cannot
    /// depose a leader that the others still hear.
    fn start_pre_vote(&mut self) {
        let ballot = Ballot { granted: SmallVec::from_slice(&[self.id]), own_vote: 0 };
        self.state = State::PreCandidate(ballot);
        let last = self.log.last();
        for to in self.other_voters() {
            let body = Body::PreVote(last);
            let message = Message { from: self.id, to, term: self.term + 1, body };
            self.out.messages.push(message);
        }
        self.count_votes();
    }

    pub(super) fn start_campaign(&mut self, transfer: bool) {
        self.term += 1;
        self.vote = Some(self.id);
        self.hard_state_changed = true;
        self.leader = None;
        self.reset_election_timer();
        let own_vote = self.next_sequence();
        self.state = State::Candidate(Ballot { granted: SmallVec::new(), own_vote });
        let last = self.log.last();
        for to in self.other_voters() {
            self.send_after_sync(to, Body::Vote { last, transfer });
        }
    }

    fn other_voters(&self) -> SmallVec<[ReplicaId; 5]> {
        self.members().voters().filter(|id| *id != self.id).collect()
    }

    /// The own vote counts once it is synced.
    pub(super) fn count_own_vote(&mut self, persisted: u64) {
        let own = self.id;
        if let State::Candidate(ballot) = &mut self.state
            && ballot.own_vote <= persisted
            && !ballot.granted.contains(&own)
        {
            ballot.granted.push(own);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        match &self.state {
            State::PreCandidate(ballot) if self.members().has_quorum(&ballot.granted) => {
                self.start_campaign(false);
            }
            State::Candidate(ballot) if self.members().has_quorum(&ballot.granted) => {
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

    /// Whether the sender's log contains everything that this replica's log might have committed.
    fn is_up_to_date(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Whether a leader was heard within the shortest election timeout, or this replica leads with
    /// a quorum. Votes are refused then, so that nobody deposes a leader that works.
    fn has_live_leader(&self) -> bool {
        let heard = match &self.state {
            State::Leader(leader) => Some(leader.quorum_since()),
            _ => self.leader_heard,
        };
        heard.is_some_and(|at| self.now < at + self.settings.election_min)
    }

    /// An empty log has seen nothing of the cluster, so its replica's vote protects nothing.
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
        if let State::PreCandidate(ballot) = &mut self.state
            && !ballot.granted.contains(&from)
        {
            ballot.granted.push(from);
            self.count_votes();
        }
    }

    pub(super) fn on_vote(&mut self, message: &Message, last: Position, transfer: bool) {
        let Message { from, term, .. } = *message;
        let disturbs = !transfer && self.has_live_leader();
        // A candidate outside the member set may be a removed one; it raises the term only if its
        // log shows that this replica's member set may be the older one.
        let stranger = self.members().get(from).is_none() && !self.may_vote(last);
        if term > self.term && !disturbs && !stranger {
            self.become_follower(term, None);
        }
        let free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term
            && free
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
        if let State::Candidate(ballot) = &mut self.state
            && granted
            && !ballot.granted.contains(&from)
        {
            ballot.granted.push(from);
            self.count_votes();
        }
    }

    pub(super) fn on_take_over(&mut self) {
        if self.may_campaign() && !matches!(self.state, State::Leader(_)) {
            self.start_campaign(true);
        }
    }
}
