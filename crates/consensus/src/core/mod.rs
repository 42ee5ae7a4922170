//! The protocol as a pure state machine.
//!
//! [`Replica`] holds the log in memory. `election` decides who leads, `leader` replicates and
//! commits, `follower` accepts entries and snapshots, `membership` changes the members.

mod election;
mod follower;
mod io;
mod leader;
mod log;
mod membership;
mod progress;

use std::collections::VecDeque;
use std::mem;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

use crate::Entry;
use crate::Member;
use crate::Members;
use crate::Message;
use crate::Payload;
use crate::Record;
use crate::ReplicaId;
use crate::Settings;
use crate::Snapshot;
use crate::message::Body;
use crate::message::Position;
use crate::storage::Restored;

use log::Log;

pub use io::Input;
pub use io::MemberChange;
pub use io::Outcome;
pub use io::Output;
pub use io::Refusal;
pub use io::Reply;

/// What a replica does at the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log without a vote: a learner, a new replica or a removed one.
    Learner,
    /// Voter that follows a leader or waits for one.
    Follower,
    /// Voter that asks whether it could win an election.
    PreCandidate,
    /// Voter that stands for election.
    Candidate,
    /// Leader of its term.
    Leader,
}

/// One replica of the log.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    random: StdRng,
    now: Duration,
    term: u64,
    vote: Option<ReplicaId>,
    /// The term or vote changed in this step and is not in `out.records` yet.
    hard_state_changed: bool,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    commit: u64,
    /// Index up to which the own log is synced.
    synced: u64,
    sequence: u64,
    /// Sequence number and last index of each output with records that are not synced.
    unsynced: VecDeque<(u64, u64)>,
    disk_full: bool,
    state: State,
    leader: Option<ReplicaId>,
    /// Time of the newest message from the leader.
    leader_heard: Option<Duration>,
    /// When to campaign, set at the first step.
    election_at: Option<Duration>,
    incoming: Option<follower::Incoming>,
    out: Output,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Box<leader::Leader>),
}

/// Votes received by a candidate.
#[derive(Debug)]
struct Ballot {
    granted: SmallVec<[ReplicaId; 5]>,
    /// Output whose sync makes the own vote count.
    own_vote: u64,
}

impl Replica {
    /// A replica that continues from `restored`. The owner has restored its state machine from
    /// `restored.snapshot`; later entries are given out again as they are known to be committed.
    pub fn new(settings: Settings, restored: Restored, seed: u64) -> Self {
        let snapshot = restored.snapshot;
        let base = snapshot.as_ref().map_or(Position::default(), |snapshot| Position {
            index: snapshot.index,
            term: snapshot.term,
        });
        let members = snapshot.as_ref().map(|one| one.members.clone()).unwrap_or_default();
        let mut log = Log::new(base, members);
        for entry in restored.entries {
            log.put(entry);
        }
        Self {
            id: restored.id,
            settings,
            random: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            term: restored.term,
            vote: restored.vote,
            hard_state_changed: false,
            synced: log.last().index,
            log,
            snapshot,
            commit: base.index,
            sequence: 0,
            unsynced: VecDeque::new(),
            disk_full: false,
            state: State::Follower,
            leader: None,
            leader_heard: None,
            election_at: None,
            incoming: None,
            out: Output::default(),
        }
    }

    /// Handles one input. `now` is monotonic from any origin.
    pub fn step(&mut self, input: Input, now: Duration) -> Output {
        self.step_all([input], now)
    }

    /// Handles several inputs and sends the entries of all proposals among them together.
    pub fn step_all(&mut self, inputs: impl IntoIterator<Item = Input>, now: Duration) -> Output {
        self.now = self.now.max(now);
        if self.election_at.is_none() {
            self.reset_election_timer();
        }
        for input in inputs {
            self.handle(input);
        }
        self.replicate();
        self.finish()
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Message(message) => self.on_message(message),
            Input::Propose { token, payload } => self.propose(token, payload),
            Input::Read { token } => self.read(token),
            Input::Change { token, change } => self.change(token, change),
            Input::Persisted { up_to } => self.on_persisted(up_to),
            Input::Snapshot { index, data } => self.compact(index, data),
            Input::Bootstrap { members } => self.bootstrap(members),
            Input::Transfer { to } => self.start_transfer(to),
            Input::DiskFull(full) => self.disk_full = full,
        }
    }

    fn finish(&mut self) -> Output {
        if mem::take(&mut self.hard_state_changed) {
            let hard_state = Record::HardState { term: self.term, vote: self.vote };
            self.out.records.insert(0, hard_state);
        }
        if !self.out.records.is_empty() {
            self.sequence += 1;
            self.unsynced.push_back((self.sequence, self.log.last().index));
        }
        self.out.sequence = self.sequence;
        mem::take(&mut self.out)
    }

    /// Sequence number of the output that this step will return, if it has records.
    fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    fn on_persisted(&mut self, up_to: u64) {
        while let Some((sequence, last)) = self.unsynced.front().copied()
            && sequence <= up_to
        {
            self.synced = last;
            self.unsynced.pop_front();
        }
        self.count_own_vote(up_to);
        self.advance_commit();
    }

    /// Adds an entry to the log and the records. What it replaces no longer counts as synced.
    fn append_entry(&mut self, entry: Entry) {
        let before = entry.index - 1;
        if self.log.last().index > before {
            self.limit_synced(before);
        }
        self.out.records.push(Record::Entry(entry.clone()));
        let members_changed = matches!(entry.payload, Payload::Members(_));
        self.log.put(entry);
        if members_changed {
            self.update_progress();
        }
    }

    /// The entries after `index` are gone, so a later sync report must not count them.
    fn limit_synced(&mut self, index: u64) {
        self.synced = self.synced.min(index);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(index);
        }
    }

    /// Raises the commit index and gives out the entries.
    fn commit_to(&mut self, index: u64) {
        while self.commit < index.min(self.log.last().index) {
            self.commit += 1;
            let entry = self.log.get(self.commit).expect("uncommitted entries are not compacted");
            self.out.committed.push(entry.clone());
        }
    }

    fn compact(&mut self, index: u64, data: Vec<u8>) {
        let newest = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let Some(term) = self.log.term(index) else { return };
        if index <= newest || index > self.commit {
            return;
        }
        let members = self.log.members_at(index).clone();
        let snapshot = Arc::new(Snapshot { index, term, members, data: data.into() });
        self.snapshot = Some(snapshot.clone());
        self.out.snapshot = Some(snapshot);
        let Settings { trailing_entries, trailing_bytes, .. } = self.settings;
        let kept = self.log.count_before(index, trailing_entries, trailing_bytes);
        self.log.compact(index - kept);
    }

    fn bootstrap(&mut self, members: Members) {
        if self.log.last().index > 0 || self.term > 0 || !members.is_voter(self.id) {
            return;
        }
        self.term = 1;
        self.hard_state_changed = true;
        self.append_entry(Entry { index: 1, term: 1, payload: Payload::Members(members) });
    }

    fn send(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.id, to, term: self.term, body };
        self.out.messages.push(message);
    }

    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.id, to, term: self.term, body };
        self.out.after_sync.push(message);
    }

    fn reply(&mut self, token: u64, outcome: Outcome) {
        self.out.replies.push(Reply { token, outcome });
    }

    /// Identity of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match &self.state {
            State::Leader(_) => Role::Leader,
            State::Candidate(_) => Role::Candidate,
            State::PreCandidate(_) => Role::PreCandidate,
            State::Follower if self.log.members().1.is_voter(self.id) => Role::Follower,
            State::Follower => Role::Learner,
        }
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// The leader with its address, if known.
    pub fn leader_member(&self) -> Option<&Member> {
        self.members().get(self.leader?)
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Newest member set in the log, committed or not.
    pub fn members(&self) -> &Members {
        self.log.members().1
    }

    /// Last index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Last index of the log, committed or not.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// Latest time at which a quorum is known to have followed this leader: the time when the
    /// newest round that a quorum answered was sent. `None` if this replica does not lead or no
    /// round is confirmed.
    pub fn quorum_confirmed_at(&self) -> Option<Duration> {
        match &self.state {
            State::Leader(leader) => leader.confirmed_at(),
            _ => None,
        }
    }
}
