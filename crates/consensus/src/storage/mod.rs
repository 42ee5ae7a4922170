//! Write-ahead log and snapshots of one replica.
//!
//! The folder has segments `log-NUMBER` and the newest snapshot `snapshot-INDEX`. The replica's
//! identity is in the header of each segment, so it cannot outlive the log: an empty folder always
//! gets a new identity. Each segment starts with the hard state, so older segments can be removed.
//! Files are written under a temporary name, synced and renamed, and the folder is synced.

mod disk;
mod frame;
mod image;
mod recovery;

use std::collections::VecDeque;
use std::io;
use std::path::Path;
use std::sync::Arc;

use derive_more::Display;
use derive_more::Error;

use crate::Entry;
use crate::Message;
use crate::Record;
use crate::ReplicaId;
use crate::Settings;
use crate::Snapshot;
use crate::core::Input;
use crate::core::Output;

pub use disk::Disk;
pub use disk::Folder;

const TEMPORARY_SUFFIX: &str = ".tmp";

/// What went wrong in the store.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Data that had been synced is damaged or missing. The process must stop.
    #[display("{file} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// File name in the folder.
        file: String,
        /// Offset in bytes.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A sync failed, so it is unknown what is durable. The process must stop; this store refuses
    /// everything from now on.
    #[display("a sync failed")]
    SyncFailed,
    /// The disk is full. Nothing of the call was kept; it may be repeated when there is space.
    #[display("the disk is full")]
    Full,
    /// Another process uses the folder.
    #[display("the folder is in use by another process")]
    InUse,
    /// Another error of the file system.
    #[display("{operation} {file}: {source}")]
    Io {
        /// Operation.
        operation: &'static str,
        /// File name in the folder.
        file: String,
        /// Cause.
        source: io::Error,
    },
}

impl Error {
    fn from_io(operation: &'static str, file: &str, source: io::Error) -> Self {
        match source.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Self::Full,
            io::ErrorKind::WouldBlock => Self::InUse,
            _ => Self::Io { operation, file: file.to_owned(), source },
        }
    }
}

/// What a store held when it was opened.
#[derive(Clone, Debug)]
pub struct Restored {
    /// Identity of the replica.
    pub id: ReplicaId,
    /// Newest term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
    /// Newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// A segment and the largest index in it.
#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    max_index: u64,
}

/// Write-ahead log and snapshots of one replica.
pub struct Store {
    disk: Box<dyn Disk>,
    id: ReplicaId,
    segment_bytes: u64,
    /// All segments; records go to the last one.
    segments: VecDeque<Segment>,
    /// Length of the last segment in bytes.
    length: u64,
    /// Number of the next frame.
    next_frame: u64,
    /// Number of the newest synced frame.
    synced_frame: u64,
    hard_state: (u64, Option<ReplicaId>),
    snapshot_index: Option<u64>,
    snapshot_step_bytes: usize,
    /// Own snapshot that is being written, and the one to write next.
    writing: Option<image::Writing>,
    queued: Option<Arc<Snapshot>>,
    /// What a full disk keeps from being written.
    unwritten: Output,
    full: bool,
    failed: bool,
}

/// What the owner of a store must do after a write.
#[derive(Debug, Default)]
pub struct Written {
    /// Messages to send now.
    pub after_sync: Vec<Message>,
    /// Inputs to feed to the replica.
    pub inputs: Vec<Input>,
}

impl Store {
    /// Opens or creates the store in `folder`.
    pub fn open(folder: &Path, settings: &Settings) -> Result<(Self, Restored), Error> {
        let name = folder.display().to_string();
        let disk = Folder::open(folder).map_err(|source| Error::from_io("open", &name, source))?;
        Self::open_disk(Box::new(disk), settings, || ReplicaId(rand::random()))
    }

    /// Opens or creates the store on `disk`. `new_id` gives the identity of a new store.
    pub fn open_disk(
        disk: Box<dyn Disk>,
        settings: &Settings,
        new_id: impl FnOnce() -> ReplicaId,
    ) -> Result<(Self, Restored), Error> {
        let mut store = Self {
            disk,
            id: ReplicaId(0),
            segment_bytes: settings.segment_bytes,
            segments: VecDeque::new(),
            length: 0,
            next_frame: 1,
            synced_frame: 0,
            hard_state: (0, None),
            snapshot_index: None,
            snapshot_step_bytes: settings.snapshot_step_bytes,
            writing: None,
            queued: None,
            unwritten: Output::default(),
            full: false,
            failed: false,
        };
        let restored = store.recover(new_id)?;
        Ok((store, restored))
    }

    /// Carries out the storage part of an output, which it takes out of `output`. While the disk is
    /// full the part is kept and tried again with each call; the rest of the output does not
    /// depend on it.
    pub fn write(&mut self, output: &mut Output) -> Result<Written, Error> {
        let mut unwritten = std::mem::take(&mut self.unwritten);
        unwritten.merge(output.take_storage_part());
        let full = match self.persist(&unwritten) {
            Ok(()) => false,
            Err(Error::Full) => true,
            Err(error) => return Err(error),
        };
        let mut written = Written::default();
        if std::mem::replace(&mut self.full, full) != full {
            written.inputs.push(Input::DiskFull(full));
        }
        if full {
            self.unwritten = unwritten;
            return Ok(written);
        }
        if !unwritten.records.is_empty() {
            written.inputs.push(Input::Persisted { up_to: unwritten.sequence });
        }
        written.after_sync = unwritten.after_sync;
        Ok(written)
    }

    /// Carries out the storage part of an output: writes an installed snapshot, appends records,
    /// syncs, and writes the next part of the own snapshot. Expected for every output, so that
    /// the own snapshot advances. After `Error::Full` the whole call may be repeated.
    pub fn persist(&mut self, output: &Output) -> Result<(), Error> {
        let newest = self.snapshot_index;
        if let Some(snapshot) = output.install.as_ref().filter(|one| newest < Some(one.index)) {
            self.write_snapshot(snapshot)?;
        }
        if !output.records.is_empty() {
            self.append(&output.records)?;
            self.sync()?;
        }
        if let Some(snapshot) = &output.snapshot {
            self.queue_snapshot(snapshot.clone());
        }
        self.continue_snapshot()
    }

    /// Index of the newest durable snapshot.
    pub fn snapshot_index(&self) -> Option<u64> {
        self.snapshot_index
    }

    /// Adds records to the log. They are durable after [`Store::sync`].
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.check()?;
        if self.length >= self.segment_bytes {
            self.start_segment()?;
        }
        let mut bytes = Vec::new();
        for (record, number) in records.iter().zip(self.next_frame..) {
            frame::encode(&mut bytes, number, self.synced_frame, record);
        }
        self.write_tail(&bytes)?;
        self.length += bytes.len() as u64;
        self.next_frame += records.len() as u64;
        for record in records {
            self.note(record);
        }
        Ok(())
    }

    /// Writes to the last segment. After an error nothing of `bytes` is left in it.
    fn write_tail(&mut self, bytes: &[u8]) -> Result<(), Error> {
        let name = self.last_segment();
        let Err(source) = self.disk.append(&name, bytes) else { return Ok(()) };
        if self.disk.truncate(&name, self.length).is_err() {
            self.failed = true;
        }
        Err(Error::from_io("write", &name, source))
    }

    fn note(&mut self, record: &Record) {
        match record {
            Record::HardState { term, vote } => self.hard_state = (*term, *vote),
            Record::Entry(entry) => {
                if let Some(segment) = self.segments.back_mut() {
                    segment.max_index = segment.max_index.max(entry.index);
                }
            }
            Record::Reset { .. } => {}
        }
    }

    /// Makes all appended records durable.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.sync_segment()?;
        self.mark();
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<(), Error> {
        self.check()?;
        let name = self.last_segment();
        self.sync_file(&name)?;
        self.synced_frame = self.next_frame - 1;
        Ok(())
    }

    /// Notes in the log that the last batch is synced, so that a bit error in it is not taken for a
    /// torn tail. The mark itself becomes durable later; it costs no sync and may be lost.
    fn mark(&mut self) {
        let bytes = frame::encode_mark(self.next_frame, self.synced_frame);
        if self.write_tail(&bytes).is_ok() {
            self.length += bytes.len() as u64;
            self.next_frame += 1;
        }
    }

    /// Removes the oldest segments while they hold nothing after `index`. Each removal is synced
    /// before the next, so that a crash leaves no gap.
    fn remove_segments(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            self.remove(&segment_name(self.segments[0].number))?;
            self.segments.pop_front();
            self.sync_folder()?;
        }
        Ok(())
    }

    /// Starts a segment. The current one is synced first and gets no mark after that, so only the
    /// last segment can have a torn tail.
    fn start_segment(&mut self) -> Result<(), Error> {
        if !self.segments.is_empty() {
            self.sync_segment()?;
        }
        let number = self.segments.back().map_or(1, |segment| segment.number + 1);
        let header = frame::Header { id: self.id, segment: number, first_frame: self.next_frame };
        let mut bytes = header.encode();
        let (term, vote) = self.hard_state;
        let record = Record::HardState { term, vote };
        frame::encode(&mut bytes, self.next_frame, self.synced_frame, &record);
        self.create_file(&segment_name(number), &bytes)?;
        self.synced_frame = self.next_frame;
        self.next_frame += 1;
        self.length = bytes.len() as u64;
        self.segments.push_back(Segment { number, max_index: 0 });
        Ok(())
    }

    /// Creates a durable file with the given content.
    fn create_file(&mut self, name: &str, content: &[u8]) -> Result<(), Error> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let created = self.disk.create(&temporary);
        if let Err(source) = created.and_then(|()| self.disk.append(&temporary, content)) {
            // Frees the space; a leftover is removed when the store is opened.
            let _ = self.disk.remove(&temporary);
            return Err(Error::from_io("write", &temporary, source));
        }
        self.sync_file(&temporary)?;
        self.rename(&temporary, name)
    }

    /// Gives a synced file its final name, durably.
    fn rename(&mut self, temporary: &str, name: &str) -> Result<(), Error> {
        let renamed = self.disk.rename(temporary, name);
        renamed.map_err(|source| Error::from_io("rename", name, source))?;
        self.sync_folder()
    }

    fn sync_file(&mut self, name: &str) -> Result<(), Error> {
        let result = self.disk.sync(name);
        self.fail_on(result)
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let result = self.disk.sync_folder();
        self.fail_on(result)
    }

    /// After a failed sync the system may have dropped the data, so a second sync proves nothing.
    fn fail_on(&mut self, result: io::Result<()>) -> Result<(), Error> {
        self.failed |= result.is_err();
        self.check()
    }

    fn check(&self) -> Result<(), Error> {
        if self.failed { Err(Error::SyncFailed) } else { Ok(()) }
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        self.disk.remove(name).map_err(|source| Error::from_io("remove", name, source))
    }

    fn last_segment(&self) -> String {
        segment_name(self.segments.back().map_or(0, |segment| segment.number))
    }
}

const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

fn snapshot_name(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:016x}")
}
