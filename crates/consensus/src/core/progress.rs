//! Replication progress of one replica, as tracked by the leader.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use crate::Settings;
use crate::Snapshot;
use crate::message::Body;
use crate::message::Chunk;
use crate::message::Position;

use super::log::Log;

/// How entries are sent to a replica.
#[derive(Debug)]
enum Mode {
    /// The common prefix of the logs is unknown: one append message at a time.
    Probe,
    /// The logs match: append messages are pipelined.
    Replicate,
    /// The replica needs compacted entries: one snapshot chunk at a time.
    Snapshot { snapshot: Arc<Snapshot>, checksum: u32, offset: u64 },
}

/// The leader's view of one replica's log.
#[derive(Debug)]
pub(super) struct Progress {
    mode: Mode,
    /// Index up to which the replica's log is known to match and to be synced.
    pub(super) matched: u64,
    /// Next index to send.
    next: u64,
    /// Index that a reply must confirm to leave probe mode.
    probe_target: u64,
    /// Last index of each in-flight append message.
    inflight: VecDeque<u64>,
    /// When the outstanding request of probe or snapshot mode was sent, if there is one.
    request_sent_at: Option<Duration>,
    /// Latest heartbeat round that the replica replied to.
    pub(super) round: u64,
    /// Time of the latest reply.
    pub(super) heard_at: Option<Duration>,
}

/// State of the leader from which messages are built.
pub(super) struct Context<'a> {
    pub(super) log: &'a Log,
    pub(super) snapshot: Option<&'a Arc<Snapshot>>,
    pub(super) settings: &'a Settings,
    pub(super) commit: u64,
    pub(super) round: u64,
    pub(super) now: Duration,
}

impl Progress {
    pub(super) fn new(last: u64) -> Self {
        Self {
            mode: Mode::Probe,
            matched: 0,
            next: last + 1,
            probe_target: last,
            inflight: VecDeque::new(),
            request_sent_at: None,
            round: 0,
            heard_at: None,
        }
    }

    /// Next append or snapshot chunk, if one may be sent now.
    pub(super) fn next_body(&mut self, context: &Context) -> Option<Body> {
        if self.request_sent_at.is_some() {
            return None;
        }
        if self.next <= context.log.base().index && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.start_snapshot(context.snapshot?);
        }
        match &self.mode {
            Mode::Snapshot { .. } => Some(self.chunk(context)),
            Mode::Probe => self.probe(context),
            Mode::Replicate => self.pipeline(context),
        }
    }

    /// Sends at most one entry, because a replica with a full disk rejects entries and stays in
    /// probe mode.
    fn probe(&mut self, context: &Context) -> Option<Body> {
        self.request_sent_at = Some(context.now);
        let body = self.append(context, 1)?;
        if let Body::Append { previous, entries, .. } = &body {
            self.probe_target = previous.index + entries.len() as u64;
        }
        Some(body)
    }

    fn pipeline(&mut self, context: &Context) -> Option<Body> {
        if self.next > context.log.last().index
            || self.inflight.len() >= context.settings.max_inflight
        {
            return None;
        }
        let body = self.append(context, context.settings.max_append_entries)?;
        if let Body::Append { entries, .. } = &body {
            self.next += entries.len() as u64;
            self.inflight.push_back(self.next - 1);
        }
        Some(body)
    }

    fn append(&self, context: &Context, max_entries: usize) -> Option<Body> {
        let index = self.next - 1;
        let previous = Position { index, term: context.log.term(index)? };
        let entries = context.log.batch(index, max_entries, context.settings.max_append_bytes);
        Some(Body::Append { previous, entries, commit: context.commit, round: context.round })
    }

    /// An append message without entries, which confirms leadership and detects lost append
    /// messages. Instead retries an outstanding request of probe or snapshot mode that timed out.
    pub(super) fn heartbeat(&mut self, context: &Context) -> Body {
        // In probe and snapshot mode, a request without a reply is retried after two heartbeats.
        if self.request_sent_at.is_some_and(|at| context.now >= at + 2 * context.settings.heartbeat)
        {
            self.request_sent_at = None;
            if let Some(body) = self.next_body(context) {
                return body;
            }
        }
        let index = match self.mode {
            Mode::Replicate => self.next - 1,
            _ => self.matched,
        };
        let previous =
            context.log.term(index).map_or(Position::default(), |term| Position { index, term });
        Body::Append { previous, entries: Vec::new(), commit: context.commit, round: context.round }
    }

    fn start_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        let checksum = crc32fast::hash(&snapshot.data);
        self.inflight.clear();
        self.mode = Mode::Snapshot { snapshot: snapshot.clone(), checksum, offset: 0 };
    }

    fn chunk(&mut self, context: &Context) -> Body {
        let Mode::Snapshot { snapshot, checksum, offset } = &self.mode else {
            unreachable!("chunks are sent in snapshot mode")
        };
        self.request_sent_at = Some(context.now);
        let total = snapshot.data.len();
        let from = (*offset as usize).min(total);
        let to = total.min(from + context.settings.snapshot_chunk_bytes);
        Body::Chunk(Chunk {
            last: Position { index: snapshot.index, term: snapshot.term },
            members: snapshot.members.clone(),
            total: total as u64,
            checksum: *checksum,
            offset: from as u64,
            data: snapshot.data.slice(from..to),
            round: context.round,
        })
    }

    pub(super) fn on_reply(&mut self, round: u64, now: Duration) {
        self.round = self.round.max(round);
        self.heard_at = Some(now);
    }

    /// Handles a reply that the replica's log matches up to `index`.
    pub(super) fn on_matched(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        while self.inflight.front().is_some_and(|last| *last <= self.matched) {
            self.inflight.pop_front();
        }
        let is_confirmed = match &self.mode {
            Mode::Probe => index >= self.probe_target,
            Mode::Snapshot { snapshot, .. } => index >= snapshot.index,
            Mode::Replicate => false,
        };
        if is_confirmed {
            self.mode = Mode::Replicate;
            self.next = self.matched + 1;
            self.request_sent_at = None;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// Handles a reply that the replica has no entry that matches the one at `previous`.
    pub(super) fn on_rejected(&mut self, previous: u64, hint: u64) {
        let stale = previous <= self.matched
            || previous >= self.next
            || matches!(self.mode, Mode::Snapshot { .. });
        if stale {
            return;
        }
        self.mode = Mode::Probe;
        self.next = hint.min(previous - 1).max(self.matched) + 1;
        self.probe_target = self.next - 1;
        self.inflight.clear();
        self.request_sent_at = None;
    }

    /// Handles a reply that the replica received the first `received` bytes of the snapshot.
    pub(super) fn on_chunk(&mut self, index: u64, received: u64) {
        if let Mode::Snapshot { snapshot, offset, .. } = &mut self.mode
            && snapshot.index == index
            && *offset != received
        {
            *offset = received;
            self.request_sent_at = None;
        }
    }
}
