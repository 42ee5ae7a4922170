//! The protocol as a state machine without I/O.
//!
//! [`Replica`] holds the log in memory. `election` elects leaders, `leader` replicates and commits
//! entries, `follower` accepts entries and snapshots, and `membership` changes the member set.
//! Each call of [`Replica::step_all`] processes inputs and returns one [`Output`].

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

/// Current role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives the log without voting: a learner, a new replica or a removed one.
    Learner,
    /// Voter that follows a leader or waits for an election.
    Follower,
    /// Voter that has requested pre-votes.
    PreCandidate,
    /// Voter that has requested votes.
    Candidate,
    /// Leader of its term.
    Leader,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    id: ReplicaId,
    settings: Settings,
    random: StdRng,
    now: Duration,
    term: u64,
    vote: Option<ReplicaId>,
    /// Whether the term or vote changed in this step and is not in `output.records` yet.
    hard_state_changed: bool,
    log: Log,
    snapshot: Option<Arc<Snapshot>>,
    commit: u64,
    /// Index up to which the local log is synced.
    synced: u64,
    sequence: u64,
    /// Sequence number and last log index of each output whose records are not synced.
    unsynced: VecDeque<(u64, u64)>,
    disk_full: bool,
    state: State,
    leader: Option<ReplicaId>,
    /// Time of the latest message from a leader. `None` if there was none since the start.
    leader_heard_at: Option<Duration>,
    /// When the election timeout expires. Set by the first step.
    election_at: Option<Duration>,
    incoming_snapshot: Option<follower::IncomingSnapshot>,
    output: Output,
}

#[derive(Debug)]
enum State {
    Follower,
    PreCandidate(Votes),
    Candidate(Votes),
    Leader(Box<leader::Leader>),
}

/// Votes granted to a candidate or pre-candidate.
#[derive(Debug)]
struct Votes {
    granted: SmallVec<[ReplicaId; 5]>,
    /// Sequence number of the output that must be synced before the candidate's own vote counts.
    own_vote_sequence: u64,
}

impl Replica {
    /// Creates a replica from the state read at startup. The caller must have restored the state
    /// machine from `restored.snapshot`. Later entries are returned for applying again once the
    /// replica learns that they are committed.
    pub fn new(settings: Settings, restored: Restored, seed: u64) -> Self {
        let snapshot = restored.snapshot;
        let base = snapshot.as_ref().map_or(Position::default(), |snapshot| Position {
            index: snapshot.index,
            term: snapshot.term,
        });
        let members =
            snapshot.as_ref().map(|snapshot| snapshot.members.clone()).unwrap_or_default();
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
            leader_heard_at: None,
            election_at: None,
            incoming_snapshot: None,
            output: Output::default(),
        }
    }

    /// Processes one input. `now` is a monotonic time with any origin.
    pub fn step(&mut self, input: Input, now: Duration) -> Output {
        self.step_all([input], now)
    }

    /// Processes several inputs and replicates the entries of all proposals among them as a batch.
    pub fn step_all(&mut self, inputs: impl IntoIterator<Item = Input>, now: Duration) -> Output {
        self.now = self.now.max(now);
        if self.election_at.is_none() {
            self.reset_election_timer();
        }
        for input in inputs {
            self.handle_input(input);
        }
        self.replicate();
        self.take_output()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Tick => self.tick(),
            Input::Message(message) => self.on_message(message),
            Input::Propose { token, payload } => self.propose(token, payload),
            Input::Read { token } => self.read(token),
            Input::Change { token, change } => self.change_members(token, change),
            Input::Persisted { up_to } => self.on_persisted(up_to),
            Input::Snapshot { index, data } => self.compact(index, data),
            Input::Bootstrap { members } => self.bootstrap(members),
            Input::Transfer { to } => self.start_transfer(to),
            Input::DiskFull(full) => self.disk_full = full,
        }
    }

    fn take_output(&mut self) -> Output {
        if mem::take(&mut self.hard_state_changed) {
            let hard_state = Record::HardState { term: self.term, vote: self.vote };
            self.output.records.insert(0, hard_state);
        }
        if !self.output.records.is_empty() {
            self.sequence += 1;
            self.unsynced.push_back((self.sequence, self.log.last().index));
        }
        self.output.sequence = self.sequence;
        mem::take(&mut self.output)
    }

    /// Sequence number of the output of this step, provided that it has records.
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

    /// Adds an entry to the log and to the records to write. The entries that it replaces no longer
    /// count as synced.
    fn append_entry(&mut self, entry: Entry) {
        let before = entry.index - 1;
        if self.log.last().index > before {
            self.limit_synced(before);
        }
        self.output.records.push(Record::Entry(entry.clone()));
        let members_changed = matches!(entry.payload, Payload::Members(_));
        self.log.put(entry);
        if members_changed {
            self.update_progress();
        }
    }

    /// Lowers the synced index after the entries after `index` were removed, so that a later
    /// `Input::Persisted` does not count them.
    fn limit_synced(&mut self, index: u64) {
        self.synced = self.synced.min(index);
        for (_, last) in &mut self.unsynced {
            *last = (*last).min(index);
        }
    }

    /// Advances the commit index and adds the newly committed entries to the output.
    fn commit_to(&mut self, index: u64) {
        while self.commit < index.min(self.log.last().index) {
            self.commit += 1;
            let entry = self.log.get(self.commit).expect("uncommitted entries are not compacted");
            self.output.committed.push(entry.clone());
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
        self.output.snapshot = Some(snapshot);
        let Settings { trailing_entries, trailing_bytes, .. } = self.settings;
        let kept = self.log.trailing_count(index, trailing_entries, trailing_bytes);
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
        self.output.messages.push(message);
    }

    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = Message { from: self.id, to, term: self.term, body };
        self.output.after_sync.push(message);
    }

    fn reply(&mut self, token: u64, outcome: Outcome) {
        self.output.replies.push(Reply { token, outcome });
    }

    pub fn id(&self) -> ReplicaId {
        self.id
    }

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

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Latest member set in the log, committed or not.
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

    /// Latest time at which a quorum is known to have followed this leader: when the latest
    /// heartbeat round that a quorum replied to was sent. `None` if this replica is not the leader
    /// or no round is confirmed.
    pub fn quorum_confirmed_at(&self) -> Option<Duration> {
        match &self.state {
            State::Leader(leader) => leader.confirmed_at(),
            _ => None,
        }
    }
}
