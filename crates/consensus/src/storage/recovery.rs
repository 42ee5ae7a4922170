//! Recovery of a store when it is opened.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::Entry;
use crate::Record;
use crate::ReplicaId;
use crate::Snapshot;

use super::Error;
use super::Restored;
use super::SEGMENT_PREFIX;
use super::SNAPSHOT_PREFIX;
use super::Segment;
use super::Store;
use super::TEMPORARY_SUFFIX;
use super::frame;
use super::segment_name;
use super::snapshot_file;
use super::snapshot_name;

/// Log entries that result from the records read so far.
#[derive(Debug, Default)]
struct Replay {
    /// Index before the first entry. `None` until the first entry or reset record.
    base: Option<u64>,
    entries: VecDeque<Entry>,
}

impl Replay {
    fn last(&self) -> Option<u64> {
        self.base.map(|base| base + self.entries.len() as u64)
    }

    /// Inserts an entry at its index and removes the entries at and after it. Returns false if
    /// entries are missing before it.
    fn put(&mut self, entry: Entry, snapshot_index: u64) -> bool {
        let next = self.last().unwrap_or(snapshot_index) + 1;
        if entry.index == 0 || entry.index > next {
            return false;
        }
        let base = *self.base.get_or_insert(entry.index - 1);
        if entry.index <= base {
            self.base = Some(entry.index - 1);
            self.entries.clear();
        } else {
            self.entries.truncate((entry.index - base - 1) as usize);
        }
        self.entries.push_back(entry);
        true
    }

    /// Discards the entries that the snapshot includes. Returns false if the log does not contain
    /// the snapshot's position, and then discards all entries. This happens if the process stopped
    /// after it had written an installed snapshot and before it reset the log.
    fn discard_through(&mut self, snapshot: &Snapshot) -> bool {
        let Some(base) = self.base else { return true };
        if base == snapshot.index {
            return true;
        }
        let offset = snapshot.index.checked_sub(base + 1).map(|offset| offset as usize);
        let entry = offset.and_then(|offset| self.entries.get(offset));
        let contained = entry.is_some_and(|entry| entry.term == snapshot.term);
        let count = offset.map_or(0, |offset| offset + 1);
        if contained {
            self.entries.drain(..count);
        } else {
            self.entries.clear();
        }
        self.base = Some(snapshot.index);
        contained
    }
}

impl Store {
    /// Reads the snapshot and the log, truncates a torn tail, and creates the first segment in an
    /// empty folder.
    pub(super) fn recover(
        &mut self,
        new_id: impl FnOnce() -> ReplicaId,
    ) -> Result<Restored, Error> {
        let (segments, snapshots) = self.scan_folder()?;
        let snapshot = self.read_snapshot(&snapshots)?;
        let mut replay = Replay::default();
        match segments.as_slice() {
            [] => self.create(snapshot.as_deref(), new_id)?,
            [.., last] => {
                let snapshot_index = self.snapshot_index.unwrap_or(0);
                for number in &segments {
                    self.read_segment(*number, number == last, snapshot_index, &mut replay)?;
                }
                // The records that were read may not have reached the disk yet.
                self.sync()?;
            }
        }
        if replay.base > Some(self.snapshot_index.unwrap_or(0)) {
            return Err(corrupt(
                self.last_segment(),
                0,
                "the snapshot that precedes the log is missing",
            ));
        }
        if let Some(snapshot) = snapshot.as_deref() {
            if !replay.discard_through(snapshot) {
                self.append(&[Record::Reset { index: snapshot.index, term: snapshot.term }])?;
                self.sync()?;
            }
            self.remove_segments(snapshot.index)?;
        }
        let (term, vote) = self.hard_state;
        Ok(Restored { id: self.id, term, vote, snapshot, entries: replay.entries.into() })
    }

    /// Creates the first segment. Fails if there is a snapshot, which means that the log was lost.
    fn create(
        &mut self,
        snapshot: Option<&Snapshot>,
        new_id: impl FnOnce() -> ReplicaId,
    ) -> Result<(), Error> {
        if let Some(snapshot) = snapshot {
            return Err(corrupt(
                snapshot_name(snapshot.index),
                0,
                "the log that belongs to the snapshot is missing",
            ));
        }
        self.id = new_id();
        self.start_segment()
    }

    /// Returns the sorted numbers of the segments and indexes of the snapshots. Removes temporary
    /// files of the store.
    fn scan_folder(&mut self) -> Result<(Vec<u64>, Vec<u64>), Error> {
        let names = self.disk.list().map_err(|source| Error::from_io("list", ".", source))?;
        let (mut segments, mut snapshots) = (Vec::new(), Vec::new());
        for name in names {
            if let Some(content) = name.strip_suffix(TEMPORARY_SUFFIX) {
                if parse_number(content, SEGMENT_PREFIX)
                    .or(parse_number(content, SNAPSHOT_PREFIX))
                    .is_some()
                {
                    self.remove(&name)?;
                }
            } else if let Some(number) = parse_number(&name, SEGMENT_PREFIX) {
                segments.push(number);
            } else if let Some(index) = parse_number(&name, SNAPSHOT_PREFIX) {
                snapshots.push(index);
            }
        }
        segments.sort_unstable();
        snapshots.sort_unstable();
        Ok((segments, snapshots))
    }

    /// Reads the latest snapshot and removes older ones.
    fn read_snapshot(&mut self, indexes: &[u64]) -> Result<Option<Arc<Snapshot>>, Error> {
        let Some((newest, older)) = indexes.split_last() else { return Ok(None) };
        let name = snapshot_name(*newest);
        let snapshot = snapshot_file::decode(self.read(&name)?);
        // Snapshots are synced before they get their final name, so an invalid one was damaged
        // later and is not a torn write.
        let snapshot = snapshot
            .filter(|snapshot| snapshot.index == *newest)
            .ok_or_else(|| corrupt(name, 0, "the snapshot's checksum does not match"))?;
        for index in older {
            self.remove(&snapshot_name(*index))?;
        }
        self.snapshot_index = Some(*newest);
        Ok(Some(Arc::new(snapshot)))
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>, Error> {
        self.disk.read(name).map_err(|source| Error::from_io("read", name, source))
    }

    fn read_segment(
        &mut self,
        number: u64,
        last: bool,
        snapshot_index: u64,
        replay: &mut Replay,
    ) -> Result<(), Error> {
        let name = segment_name(number);
        let bytes = self.read(&name)?;
        self.read_header(&name, number, &bytes)?;
        self.segments.push_back(Segment { number, max_index: 0 });
        let mut offset = frame::SEGMENT_HEADER_BYTES;
        while offset < bytes.len() {
            let tail = &bytes[offset..];
            let Some(frame) = frame::decode(tail, self.next_frame..=self.next_frame) else {
                // The first frame is synced before the segment gets its final name.
                let first = offset == frame::SEGMENT_HEADER_BYTES;
                if !last || first || frame::was_synced(tail, self.next_frame) {
                    return Err(corrupt(name, offset, "a synced record is damaged"));
                }
                self.truncate(&name, offset)?;
                break;
            };
            if !frame.is_sync_marker() {
                let record = frame.record();
                let record = record.ok_or_else(|| {
                    corrupt(name.clone(), offset, "the record has an unknown format")
                })?;
                self.track_record(&record);
                if !replay_record(replay, record, snapshot_index) {
                    return Err(corrupt(name, offset, "entries before this one are missing"));
                }
            }
            self.next_frame = frame.number + 1;
            offset += frame.size();
        }
        self.segment_length = offset as u64;
        Ok(())
    }

    fn read_header(&mut self, name: &str, number: u64, bytes: &[u8]) -> Result<(), Error> {
        let header = frame::SegmentHeader::decode(bytes)
            .filter(|header| header.segment == number)
            .ok_or_else(|| corrupt(name.to_owned(), 0, "the segment's header is damaged"))?;
        let Some(previous) = self.segments.back() else {
            self.id = header.id;
            self.next_frame = header.first_frame;
            return Ok(());
        };
        if header.id != self.id {
            return Err(corrupt(name.to_owned(), 0, "the segment belongs to another replica"));
        }
        if previous.number + 1 != number || header.first_frame != self.next_frame {
            return Err(corrupt(name.to_owned(), 0, "records before this segment are missing"));
        }
        Ok(())
    }

    fn truncate(&mut self, name: &str, offset: usize) -> Result<(), Error> {
        let result = self.disk.truncate(name, offset as u64);
        result.map_err(|source| Error::from_io("truncate", name, source))
    }
}

/// Returns false if entries before this record are missing.
fn replay_record(replay: &mut Replay, record: Record, snapshot_index: u64) -> bool {
    match record {
        Record::HardState { .. } => true,
        Record::Entry(entry) => replay.put(entry, snapshot_index),
        Record::Reset { index, .. } => {
            *replay = Replay { base: Some(index), entries: VecDeque::new() };
            true
        }
    }
}

fn parse_number(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}

fn corrupt(file: String, offset: usize, reason: &'static str) -> Error {
    Error::Corrupt { file, offset: offset as u64, reason }
}
