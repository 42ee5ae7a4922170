//! Message dispatch, and how a follower accepts entries and snapshots.

use std::sync::Arc;

use bytes::Bytes;

use crate::Message;
use crate::Record;
use crate::ReplicaId;
use crate::Snapshot;
use crate::message::Body;
use crate::message::Chunk;
use crate::message::Outcome;
use crate::message::Position;

use super::Entry;
use super::Log;
use super::Replica;
use super::State;

/// A partially received snapshot.
#[derive(Debug)]
pub(super) struct IncomingSnapshot {
    /// Term of the leader that sent the latest chunk.
    term: u64,
    last: Position,
    checksum: u32,
    data: Vec<u8>,
}

impl Replica {
    pub(super) fn on_message(&mut self, message: Message) {
        if message.to != self.id || message.from == self.id {
            return;
        }
        let Message { from, term, .. } = message;
        match message.body {
            Body::PreVote(last) => self.on_pre_vote(from, term, last),
            Body::Vote { last, transfer } => self.on_vote(&message, last, transfer),
            Body::Append { .. } | Body::Chunk(_) | Body::TimeoutNow => {
                self.on_leader_message(message)
            }
            Body::PreVoteReply { .. }
            | Body::VoteReply { .. }
            | Body::AppendReply { .. }
            | Body::ChunkReply { .. } => self.on_reply(message),
        }
    }

    fn on_reply(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        if term > self.term && self.members().get(from).is_some() {
            self.become_follower(term, None);
        }
        if let Body::PreVoteReply { campaign, granted } = body {
            return self.on_pre_vote_reply(from, campaign, granted);
        }
        if term != self.term {
            return;
        }
        match body {
            Body::VoteReply { granted } => self.on_vote_reply(from, granted),
            Body::AppendReply { outcome, round } => self.on_append_reply(from, outcome, round),
            Body::ChunkReply { index, offset, round } => {
                self.on_chunk_reply(from, index, offset, round);
            }
            _ => {}
        }
    }

    /// Handles a message that only leaders send.
    fn on_leader_message(&mut self, message: Message) {
        let Message { from, term, body, .. } = message;
        if term < self.term {
            // The higher term in the reply makes the deposed leader step down.
            let outcome = Outcome::Rejected { previous: 0, hint: 0 };
            return self.send_after_sync(from, Body::AppendReply { outcome, round: 0 });
        }
        if term == self.term && matches!(self.state, State::Leader(_)) {
            return;
        }
        self.become_follower(term, Some(from));
        self.leader_heard_at = Some(self.now);
        self.reset_election_timer();
        match body {
            Body::Append { previous, entries, commit, round } => {
                self.on_append(from, previous, entries, commit, round);
            }
            Body::Chunk(chunk) => self.on_chunk(from, chunk),
            _ => self.on_timeout_now(),
        }
    }

    fn on_append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
        round: u64,
    ) {
        let outcome = self.accept(previous, entries, commit);
        if !self.disk_full {
            return self.send_after_sync(from, Body::AppendReply { outcome, round });
        }
        // Nothing is synced while the disk is full, so the reply only acknowledges entries that
        // were synced before. It still confirms the leader, so that reads and leases keep working.
        let outcome = match outcome {
            Outcome::Matched(index) => Outcome::Matched(index.min(self.synced)),
            rejected => rejected,
        };
        self.send(from, Body::AppendReply { outcome, round });
    }

    fn accept(&mut self, previous: Position, entries: Vec<Entry>, commit: u64) -> Outcome {
        // Committed entries are the same on all replicas, so only later positions are compared.
        if previous.index > self.commit && self.log.term(previous.index) != Some(previous.term) {
            let hint = self.log.common_prefix_limit(previous.index - 1, previous.term);
            return Outcome::Rejected { previous: previous.index, hint };
        }
        let mut matched = previous.index;
        for entry in entries {
            let index = entry.index;
            if index != matched + 1 || !self.accept_entry(entry) {
                break;
            }
            matched = index;
        }
        self.commit_to(commit.min(matched));
        Outcome::Matched(matched.max(self.commit))
    }

    /// Appends an entry from the leader unless the log already contains it. Returns false if the
    /// disk is full.
    fn accept_entry(&mut self, entry: Entry) -> bool {
        if entry.index <= self.commit || self.log.term(entry.index) == Some(entry.term) {
            return true;
        }
        if self.disk_full {
            return false;
        }
        self.append_entry(entry);
        true
    }

    fn on_chunk(&mut self, from: ReplicaId, chunk: Chunk) {
        let Chunk { last, round, .. } = chunk;
        if last.index <= self.commit {
            self.incoming_snapshot = None;
            let outcome = Outcome::Matched(self.commit);
            return self.send_after_sync(from, Body::AppendReply { outcome, round });
        }
        if self.disk_full || chunk.total > self.settings.max_snapshot_bytes {
            return;
        }
        // A delayed chunk of an older snapshot must not discard a newer one.
        let delayed = |incoming: &IncomingSnapshot| {
            incoming.term == self.term && incoming.last.index > last.index
        };
        if self.incoming_snapshot.as_ref().is_some_and(delayed) {
            return;
        }
        let (total, members, checksum) = (chunk.total, chunk.members.clone(), chunk.checksum);
        let received = self.collect(chunk);
        if received < total {
            let body = Body::ChunkReply { index: last.index, offset: received, round };
            return self.send(from, body);
        }
        let data = self.incoming_snapshot.take().map(|incoming| incoming.data).unwrap_or_default();
        if crc32fast::hash(&data) != checksum {
            let body = Body::ChunkReply { index: last.index, offset: 0, round };
            return self.send(from, body);
        }
        let Position { index, term } = last;
        self.install(Snapshot { index, term, members, data: Bytes::from(data) });
        let outcome = Outcome::Matched(index);
        self.send_after_sync(from, Body::AppendReply { outcome, round });
    }

    /// Adds a chunk to the incoming snapshot. Returns the number of bytes received so far.
    fn collect(&mut self, chunk: Chunk) -> u64 {
        let same_snapshot = self.incoming_snapshot.as_ref().is_some_and(|incoming| {
            incoming.last == chunk.last && incoming.checksum == chunk.checksum
        });
        if !same_snapshot {
            let Chunk { last, checksum, .. } = chunk;
            self.incoming_snapshot =
                Some(IncomingSnapshot { term: self.term, last, checksum, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming_snapshot else { return 0 };
        incoming.term = self.term;
        if chunk.offset == incoming.data.len() as u64
            && chunk.offset + chunk.data.len() as u64 <= chunk.total
        {
            incoming.data.extend_from_slice(&chunk.data);
        }
        incoming.data.len() as u64
    }

    /// Replaces the state machine and the log by a snapshot. Later entries are kept if the log
    /// contains the snapshot's position.
    fn install(&mut self, snapshot: Snapshot) {
        let base = Position { index: snapshot.index, term: snapshot.term };
        let snapshot = Arc::new(snapshot);
        if self.log.term(base.index) == Some(base.term) {
            self.log.compact(base.index);
        } else {
            self.limit_synced(base.index);
            self.log = Log::new(base, snapshot.members.clone());
            let Position { index, term } = base;
            self.output.records.push(Record::Reset { index, term });
        }
        self.commit = base.index;
        self.output.committed.clear();
        self.snapshot = Some(snapshot.clone());
        self.output.install = Some(snapshot);
    }
}
