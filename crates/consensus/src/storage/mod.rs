//! Write-ahead log and snapshots of one replica.
//!
//! The folder contains log segments `log-NUMBER` and the latest snapshot `snapshot-INDEX`. The
//! replica id is stored in the segment headers, so a replica that lost its log also loses its
//! identity, and an empty folder always gets a new one. Each segment starts with the hard state, so
//! that older segments can be removed. New files are written under a temporary name, synced and
//! renamed, and then the folder is synced.

mod disk;
mod frame;
mod recovery;
mod snapshot_file;

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

/// Error of a store.
#[derive(Debug, Display, Error)]
pub enum Error {
    /// Synced data is damaged or missing. The process must stop.
    #[display("{file} is corrupt at byte {offset}: {reason}")]
    Corrupt {
        /// File name in the folder.
        file: String,
        /// Offset of the damage in the file, in bytes.
        offset: u64,
        reason: &'static str,
    },
    /// A sync failed, so it is unknown which data is durable. The process must stop. All later
    /// calls return this error too.
    #[display("failed to sync the store; it is unknown which data is durable")]
    SyncFailed,
    /// The disk is full. The call had no effect and may be repeated when there is space.
    #[display("the disk is full")]
    Full,
    /// Another process uses the folder.
    #[display("the folder is in use by another process")]
    InUse,
    /// Another I/O error. The process must stop.
    #[display("failed to {operation} {file}: {source}")]
    Io {
        /// Failed operation, a verb.
        operation: &'static str,
        /// File name in the folder.
        file: String,
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

/// State that a store recovered when it was opened.
#[derive(Clone, Debug)]
pub struct Restored {
    pub id: ReplicaId,
    /// Current term.
    pub term: u64,
    /// Vote in that term.
    pub vote: Option<ReplicaId>,
    /// Latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug)]
struct Segment {
    number: u64,
    /// Largest log index in the segment, or 0 if it has no entries.
    max_index: u64,
}

/// Write-ahead log and snapshots of one replica.
pub struct Store {
    disk: Box<dyn Disk>,
    id: ReplicaId,
    segment_bytes: u64,
    /// All segments. Records are appended to the last one.
    segments: VecDeque<Segment>,
    /// Length of the last segment in bytes.
    segment_length: u64,
    /// Number of the next frame.
    next_frame: u64,
    /// Number of the latest synced frame.
    synced_frame: u64,
    /// Current term and vote.
    hard_state: (u64, Option<ReplicaId>),
    /// Index of the latest durable snapshot.
    snapshot_index: Option<u64>,
    snapshot_step_bytes: usize,
    /// Local snapshot that is being written.
    snapshot_writer: Option<snapshot_file::SnapshotWriter>,
    /// Local snapshot to write next.
    queued_snapshot: Option<Arc<Snapshot>>,
    /// Output that could not be written because the disk is full.
    pending_output: Output,
    disk_full: bool,
    /// Whether the last segment may end with a part of a write that failed, which could not be
    /// removed because the disk refuses all changes while it is full.
    torn_tail: bool,
    /// A sync or truncation failed, so every later call fails.
    failed: bool,
}

/// Result of [`Store::write`], for the caller to act on.
#[derive(Debug, Default)]
pub struct Written {
    /// Messages to send now.
    pub after_sync: Vec<Message>,
    /// Inputs for the replica.
    pub inputs: Vec<Input>,
}

impl Store {
    /// Opens or creates the store in `folder`.
    pub fn open(folder: &Path, settings: &Settings) -> Result<(Self, Restored), Error> {
        let name = folder.display().to_string();
        let disk = Folder::open(folder).map_err(|source| Error::from_io("open", &name, source))?;
        Self::open_disk(Box::new(disk), settings, || ReplicaId(rand::random()))
    }

    /// Opens or creates the store on `disk`. `new_id` generates the id of a new store.
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
            segment_length: 0,
            next_frame: 1,
            synced_frame: 0,
            hard_state: (0, None),
            snapshot_index: None,
            snapshot_step_bytes: settings.snapshot_step_bytes,
            snapshot_writer: None,
            queued_snapshot: None,
            pending_output: Output::default(),
            disk_full: false,
            torn_tail: false,
            failed: false,
        };
        let restored = store.recover(new_id)?;
        Ok((store, restored))
    }

    /// Takes the storage part out of `output` and persists it. While the disk is full, the store
    /// keeps this part and retries it with each call. The caller can process the rest of the output
    /// in the meantime.
    pub fn write(&mut self, output: &mut Output) -> Result<Written, Error> {
        let mut pending = std::mem::take(&mut self.pending_output);
        pending.merge(output.take_storage_output());
        let full = match self.persist(&pending) {
            Ok(()) => false,
            Err(Error::Full) => true,
            Err(error) => return Err(error),
        };
        let mut written = Written::default();
        if std::mem::replace(&mut self.disk_full, full) != full {
            written.inputs.push(Input::DiskFull(full));
        }
        if full {
            self.pending_output = pending;
            return Ok(written);
        }
        if !pending.records.is_empty() {
            written.inputs.push(Input::Persisted { up_to: pending.sequence });
        }
        written.after_sync = pending.after_sync;
        Ok(written)
    }

    /// Persists the storage part of an output: writes an installed snapshot, appends and syncs the
    /// records, and writes the next part of the local snapshot. Must be called for every output, so
    /// that the local snapshot is completed. May be repeated after [`Error::Full`].
    pub fn persist(&mut self, output: &Output) -> Result<(), Error> {
        let newest = self.snapshot_index;
        if let Some(snapshot) =
            output.install.as_ref().filter(|snapshot| newest < Some(snapshot.index))
        {
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

    /// Index of the latest durable snapshot.
    pub fn snapshot_index(&self) -> Option<u64> {
        self.snapshot_index
    }

    /// Appends records to the log. They are durable after [`Store::sync`].
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        self.ensure_usable()?;
        self.repair_tail()?;
        if self.segment_length >= self.segment_bytes {
            self.start_segment()?;
        }
        let mut bytes = Vec::new();
        for (record, number) in records.iter().zip(self.next_frame..) {
            frame::encode(&mut bytes, number, self.synced_frame, record);
        }
        self.write_tail(&bytes)?;
        self.segment_length += bytes.len() as u64;
        self.next_frame += records.len() as u64;
        for record in records {
            self.track_record(record);
        }
        Ok(())
    }

    /// Appends `bytes` to the last segment. On an error, removes a partial write, now or before the
    /// next one.
    fn write_tail(&mut self, bytes: &[u8]) -> Result<(), Error> {
        self.repair_tail()?;
        let name = self.last_segment();
        let Err(source) = self.disk.append(&name, bytes) else { return Ok(()) };
        self.torn_tail = true;
        // A failure shows again at the next write.
        let _ = self.repair_tail();
        Err(Error::from_io("write", &name, source))
    }

    /// Removes a partial write from the end of the last segment.
    fn repair_tail(&mut self) -> Result<(), Error> {
        if !self.torn_tail {
            return Ok(());
        }
        let name = self.last_segment();
        let truncated = self.disk.truncate(&name, self.segment_length);
        let truncated = truncated.map_err(|source| Error::from_io("truncate", &name, source));
        self.torn_tail = truncated.is_err();
        self.failed |= truncated.as_ref().is_err_and(|error| !matches!(error, Error::Full));
        truncated
    }

    /// Updates the in-memory state for a record in the last segment.
    fn track_record(&mut self, record: &Record) {
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
        self.append_sync_marker();
        Ok(())
    }

    fn sync_segment(&mut self) -> Result<(), Error> {
        self.ensure_usable()?;
        let name = self.last_segment();
        self.sync_file(&name)?;
        self.synced_frame = self.next_frame - 1;
        Ok(())
    }

    /// Appends a frame that states that the last batch is synced, so that recovery does not mistake
    /// a bit error in the batch for a torn tail. The marker is not synced itself and may be lost in
    /// a crash.
    fn append_sync_marker(&mut self) {
        let bytes = frame::encode_sync_marker(self.next_frame, self.synced_frame);
        if self.write_tail(&bytes).is_ok() {
            self.segment_length += bytes.len() as u64;
            self.next_frame += 1;
        }
    }

    /// Removes the oldest segments that have no entries after `index`. Each removal is synced
    /// before the next one, so that a crash leaves no gap between segments.
    fn remove_segments(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].max_index <= index {
            self.remove(&segment_name(self.segments[0].number))?;
            self.segments.pop_front();
            self.sync_folder()?;
        }
        Ok(())
    }

    /// Starts a new segment. The current one is synced first and not written to afterwards, so only
    /// the last segment can have a torn tail.
    fn start_segment(&mut self) -> Result<(), Error> {
        if !self.segments.is_empty() {
            self.sync_segment()?;
        }
        let number = self.segments.back().map_or(1, |segment| segment.number + 1);
        let header =
            frame::SegmentHeader { id: self.id, segment: number, first_frame: self.next_frame };
        let mut bytes = header.encode();
        let (term, vote) = self.hard_state;
        let record = Record::HardState { term, vote };
        frame::encode(&mut bytes, self.next_frame, self.synced_frame, &record);
        self.create_file(&segment_name(number), &bytes)?;
        self.synced_frame = self.next_frame;
        self.next_frame += 1;
        self.segment_length = bytes.len() as u64;
        self.segments.push_back(Segment { number, max_index: 0 });
        Ok(())
    }

    /// Creates a file with the given content and makes it durable.
    fn create_file(&mut self, name: &str, content: &[u8]) -> Result<(), Error> {
        let temporary = format!("{name}{TEMPORARY_SUFFIX}");
        let created = self.disk.create(&temporary);
        if let Err(source) = created.and_then(|()| self.disk.append(&temporary, content)) {
            // Frees the space. If this fails, the file is removed when the store is opened again.
            let _ = self.disk.remove(&temporary);
            return Err(Error::from_io("write", &temporary, source));
        }
        self.sync_file(&temporary)?;
        self.rename(&temporary, name)
    }

    /// Renames a synced file and makes the new name durable.
    fn rename(&mut self, temporary: &str, name: &str) -> Result<(), Error> {
        let renamed = self.disk.rename(temporary, name);
        renamed.map_err(|source| Error::from_io("rename", name, source))?;
        self.sync_folder()
    }

    fn sync_file(&mut self, name: &str) -> Result<(), Error> {
        let result = self.disk.sync(name);
        self.check_sync(result)
    }

    fn sync_folder(&mut self) -> Result<(), Error> {
        let result = self.disk.sync_folder();
        self.check_sync(result)
    }

    /// Makes the store unusable if a sync failed. The operating system may have dropped the
    /// unsynced data, so a later successful sync would not make it durable.
    fn check_sync(&mut self, result: io::Result<()>) -> Result<(), Error> {
        self.failed |= result.is_err();
        self.ensure_usable()
    }

    /// Returns an error if an earlier failure made the store unusable.
    fn ensure_usable(&self) -> Result<(), Error> {
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
