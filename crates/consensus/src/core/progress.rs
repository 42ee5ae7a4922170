//! What a leader knows about one other replica.

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
    /// Its log is unknown: one message at a time.
    Probe,
    /// Its log matches: messages are sent ahead of the replies.
    Replicate,
    /// It needs entries that are compacted: one snapshot chunk at a time.
    Snapshot { snapshot: Arc<Snapshot>, checksum: u32, offset: u64 },
}

/// State of one other replica at the leader.
#[derive(Debug)]
pub(super) struct Progress {
    mode: Mode,
    /// Index up to which the replica's log is equal and synced.
    pub(super) matched: u64,
    /// Next index to send.
    next: u64,
    /// Index that a reply must reach to end the probe.
    probed: u64,
    /// Last index of each append that has no reply yet.
    inflight: VecDeque<u64>,
    /// When the request of the one-at-a-time modes was sent, if it has no reply yet.
    waiting: Option<Duration>,
    /// Newest round the replica replied to.
    pub(super) round: u64,
    /// Time of its newest reply.
    pub(super) heard: Option<Duration>,
}

/// Values of the leader that messages carry.
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
            probed: last,
            inflight: VecDeque::new(),
            waiting: None,
            round: 0,
            heard: None,
        }
    }

    /// Next message with content, if one may be sent now.
    pub(super) fn next_body(&mut self, context: &Context) -> Option<Body> {
        if self.waiting.is_some() {
            return None;
        }
        if self.next <= context.log.base().index && !matches!(self.mode, Mode::Snapshot { .. }) {
            self.start_snapshot(context.snapshot?);
        }
        match &self.mode {
            Mode::Snapshot { .. } => Some(self.chunk(context)),
            Mode::Probe => self.probe(context),
            Mode::Replicate => self.pipelined(context),
        }
    }

    /// One entry at most: a replica with a full disk refuses it, and stays in this mode.
    fn probe(&mut self, context: &Context) -> Option<Body> {
        self.waiting = Some(context.now);
        let body = self.append(context, 1)?;
        if let Body::Append { previous, entries, .. } = &body {
            self.probed = previous.index + entries.len() as u64;
        }
        Some(body)
    }

    fn pipelined(&mut self, context: &Context) -> Option<Body> {
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

    /// A message without entries that confirms leadership and detects lost appends.
    pub(super) fn heartbeat(&mut self, context: &Context) -> Body {
        // A lost request of the one-at-a-time modes is sent again after two heartbeats.
        if self.waiting.is_some_and(|at| context.now >= at + 2 * context.settings.heartbeat) {
            self.waiting = None;
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
        self.waiting = Some(context.now);
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
        self.heard = Some(now);
    }

    /// The replica's log matches up to `index`.
    pub(super) fn on_matched(&mut self, index: u64) {
        self.matched = self.matched.max(index);
        while self.inflight.front().is_some_and(|last| *last <= self.matched) {
            self.inflight.pop_front();
        }
        let found = match &self.mode {
            Mode::Probe => index >= self.probed,
            Mode::Snapshot { snapshot, .. } => index >= snapshot.index,
            Mode::Replicate => false,
        };
        if found {
            self.mode = Mode::Replicate;
            self.next = self.matched + 1;
            self.waiting = None;
        }
        self.next = self.next.max(self.matched + 1);
    }

    /// The replica has no entry that equals the one at `previous`.
    pub(super) fn on_rejected(&mut self, previous: u64, hint: u64) {
        let stale = previous <= self.matched
            || previous >= self.next
            || matches!(self.mode, Mode::Snapshot { .. });
        if stale {
            return;
        }
        self.mode = Mode::Probe;
        self.next = hint.min(previous - 1).max(self.matched) + 1;
        self.probed = self.next - 1;
        self.inflight.clear();
        self.waiting = None;
    }

    /// The replica received the snapshot up to `received` bytes.
    pub(super) fn on_chunk(&mut self, index: u64, received: u64) {
        if let Mode::Snapshot { snapshot, offset, .. } = &mut self.mode
            && snapshot.index == index
            && *offset != received
        {
            *offset = received;
            self.waiting = None;
        }
    }
}
