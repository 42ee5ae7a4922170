//! Entries in memory.

use std::collections::VecDeque;

use crate::Entry;
use crate::Members;
use crate::Payload;
use crate::message::Position;

/// The suffix of the log that is not compacted, and the member sets it defines.
#[derive(Debug, Default)]
pub(super) struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    /// Member sets by the index that defined them; the first one is in force at the base.
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

    /// Term of an index, `None` if it is compacted or after the end.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Adds an entry at its index and removes what was there and after.
    pub(super) fn put(&mut self, entry: Entry) {
        debug_assert!(entry.index > self.base.index && entry.index <= self.last().index + 1);
        self.truncate(entry.index);
        if let Payload::Members(members) = &entry.payload {
            self.members.push_back((entry.index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes the entries from `index` on.
    fn truncate(&mut self, index: u64) {
        self.entries.truncate((index - self.base.index - 1) as usize);
        while self.members.len() > 1 && self.members.back().is_some_and(|(at, _)| *at >= index) {
            self.members.pop_back();
        }
    }

    /// Removes the entries up to `index`.
    pub(super) fn compact(&mut self, index: u64) {
        let Some(term) = self.term(index) else { return };
        self.entries.drain(..(index - self.base.index) as usize);
        self.base = Position { index, term };
        while self.members.get(1).is_some_and(|(at, _)| *at <= index) {
            self.members.pop_front();
        }
    }

    /// The newest member set and the index that defined it.
    pub(super) fn members(&self) -> (u64, &Members) {
        let (index, members) = self.members.back().expect("the base has a member set");
        (*index, members)
    }

    /// The member set in force at `index`, which is not compacted.
    pub(super) fn members_at(&self, index: u64) -> &Members {
        let mut sets = self.members.iter().rev();
        let found = sets.find(|(at, _)| *at <= index).or(self.members.front());
        &found.expect("the base has a member set").1
    }

    /// Entries after `index` up to both limits, and at least one if there is any.
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

    /// Number of entries up to and including `index` that fit both limits.
    pub(super) fn count_before(&self, index: u64, max_entries: u64, max_bytes: usize) -> u64 {
        let mut bytes = 0;
        let entries = self.entries.range(..(index - self.base.index) as usize).rev();
        let fitting = entries.take_while(|entry| {
            bytes += entry.size();
            bytes <= max_bytes
        });
        (fitting.count() as u64).min(max_entries)
    }

    /// Largest index below `index` whose term is at most `term`, for a fast search of the common
    /// prefix.
    pub(super) fn common_prefix_limit(&self, index: u64, term: u64) -> u64 {
        let mut index = index.min(self.last().index);
        while index > self.base.index && self.term(index).is_some_and(|own| own > term) {
            index -= 1;
        }
        index
    }
}
