//! The part of the log that is held in memory.

use std::collections::VecDeque;

use crate::Entry;
use crate::Members;
use crate::Payload;
use crate::message::Position;

/// The log entries that are not compacted, and the member sets that they define.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Position directly before the first entry in memory.
    base: Position,
    entries: VecDeque<Entry>,
    /// Member sets with the index of the entry that defined each. The first one is in effect at
    /// `base`.
    members: VecDeque<(u64, Members)>,
}

impl Log {
    pub(super) fn new(base: Position, members: Members) -> Self {
        Self { base, entries: VecDeque::new(), members: VecDeque::from([(base.index, members)]) }
    }

    pub(super) fn base(&self) -> Position {
        self.base
    }

    pub(super) fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| Position { index: entry.index, term: entry.term })
    }

    pub(super) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Term of the entry at `index`. `None` if it is compacted or after the end of the log.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Inserts an entry at its index. Removes the entries at and after that index first.
    pub(super) fn put(&mut self, entry: Entry) {
        debug_assert!(entry.index > self.base.index && entry.index <= self.last().index + 1);
        self.truncate(entry.index);
        if let Payload::Members(members) = &entry.payload {
            self.members.push_back((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries at and after `index`.
    fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.base.index - 1) as usize);
        while self.members.len() > 1 && self.members.back().is_some_and(|(at, _)| *at >= index) {
            self.members.pop_back();
        }
    }

    /// Removes the entries up to and including `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = Position { index, term };
        while self.members.get(1).is_some_and(|(at, _)| *at <= index) {
            self.members.pop_front();
        }
    }

    /// The latest member set and the index of the entry that defined it.
    pub(super) fn members(&self) -> (u64, &Members) {
        let (index, members) = self.members.back().expect("the base has a member set");
        (*index, members)
    }

    /// The member set in effect at `index`, which must not be compacted.
    pub(super) fn members_at(&self, index: u64) -> &Members {
        let mut sets = self.members.iter().rev();
        let members = sets.find(|(at, _)| *at <= index).or(self.members.front());
        &members.expect("the base has a member set").1
    }

    /// Entries after `index` within both limits. Returns at least one entry if there is any.
    pub(super) fn batch(&self, index: u64, max_entries: usize, max_bytes: usize) -> Vec<Entry> {
        let from = (index - self.base.index) as usize;
        let mut bytes = 0;
        let mut batch = Vec::new();
        for entry in self.entries.range(from.min(self.entries.len())..).take(max_entries) {
            bytes += entry.size();
            if !batch.is_empty() && bytes > max_bytes {
                break;
            }
            batch.push(entry.clone());
        }
        batch
    }

    /// Number of entries that end at `index` and fit within both limits.
    pub(super) fn trailing_count(&self, index: u64, max_entries: u64, max_bytes: usize) -> u64 {
        let mut bytes = 0;
        let entries = self.entries.range(..(index - self.base.index) as usize).rev();
        let fitting = entries.take_while(|entry| {
            bytes += entry.size();
            bytes <= max_bytes
        });
        (fitting.count() as u64).min(max_entries)
    }

    /// Largest index up to `index` whose term is at most `term`. A rejected append returns it as a
    /// hint, so that the leader finds the common prefix in fewer round trips.
    pub(super) fn common_prefix_limit(&self, index: u64, term: u64) -> u64 {
        let mut index = index.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|own_term| own_term > term) {
            index -= 1;
        }
        index
    }
}
