//! Snapshot files, written in steps.
//!
//! A file consists of a magic number, the length of the metadata, the metadata, the snapshot data
//! and a CRC-32 of everything after the magic number. Integers are little-endian.
//!
//! A local snapshot is not needed until the log segments that it replaces are removed, so it is
//! written in small steps. One step per output keeps the pause of the caller below the heartbeat
//! interval for snapshots of any size.

use std::sync::Arc;

use bytes::Buf;
use bytes::Bytes;
use crc32fast::Hasher;

use crate::Members;
use crate::Snapshot;

use super::Error;
use super::Store;
use super::TEMPORARY_SUFFIX;
use super::snapshot_name;

const MAGIC: [u8; 8] = *b"hrsnap\0\x01";
const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
/// Step size for a snapshot that is written in one call. It bounds the buffer in memory.
const BLOCKING_STEP_BYTES: usize = 16 << 20;

/// A partially written snapshot file.
pub(super) struct SnapshotWriter {
    snapshot: Arc<Snapshot>,
    hasher: Hasher,
    /// Bytes of the snapshot data already written, or `None` before the file exists.
    written: Option<usize>,
}

impl SnapshotWriter {
    fn new(snapshot: Arc<Snapshot>) -> Self {
        Self { snapshot, hasher: Hasher::new(), written: None }
    }

    fn temporary_name(&self) -> String {
        format!("{}{TEMPORARY_SUFFIX}", snapshot_name(self.snapshot.index))
    }

    /// Encodes the magic number, the length of the metadata and the metadata, and adds them to the
    /// checksum as far as it covers them.
    fn header(&mut self) -> Vec<u8> {
        let Snapshot { index, term, members, data } = &*self.snapshot;
        let metadata = postcard::to_stdvec(&(index, term, members, data.len()))
            .expect("snapshot metadata is serializable");
        let mut bytes = MAGIC.to_vec();
        bytes.extend((metadata.len() as u32).to_le_bytes());
        bytes.extend(metadata);
        self.hasher.update(&bytes[MAGIC.len()..]);
        bytes
    }

    /// Returns the next part of the snapshot data, at most `limit` bytes. The last part is followed
    /// by the checksum.
    fn next_part(&mut self, limit: usize) -> Vec<u8> {
        let data = &self.snapshot.data;
        let from = self.written.unwrap_or(0);
        let to = data.len().min(from.saturating_add(limit));
        let mut part = data[from..to].to_vec();
        self.hasher.update(&part);
        self.written = Some(to);
        if self.is_complete() {
            part.extend(self.hasher.clone().finalize().to_le_bytes());
        }
        part
    }

    fn is_complete(&self) -> bool {
        self.written == Some(self.snapshot.data.len())
    }
}

impl Store {
    /// Writes and syncs a snapshot, then removes the files that it replaces.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.ensure_usable()?;
        self.queued_snapshot = None;
        if let Some(older) = self.snapshot_writer.take() {
            self.discard(&older);
        }
        let mut writer = SnapshotWriter::new(Arc::new(snapshot.clone()));
        while !self.write_part(&mut writer, BLOCKING_STEP_BYTES)? {}
        Ok(())
    }

    /// Schedules the local snapshot to be written in steps. A snapshot that is being written is
    /// completed first.
    pub(super) fn queue_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.queued_snapshot = Some(snapshot);
    }

    /// Writes the next part of the local snapshot, if there is one. If the disk is full, discards
    /// the snapshot, so that the log can use the space.
    pub(super) fn continue_snapshot(&mut self) -> Result<(), Error> {
        let next = self
            .snapshot_writer
            .take()
            .or_else(|| self.queued_snapshot.take().map(SnapshotWriter::new));
        let Some(mut writer) = next else { return Ok(()) };
        match self.write_part(&mut writer, self.snapshot_step_bytes) {
            Ok(false) => self.snapshot_writer = Some(writer),
            Ok(true) | Err(Error::Full) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Writes and syncs one part. Returns whether the snapshot is complete and has its final name.
    fn write_part(&mut self, writer: &mut SnapshotWriter, limit: usize) -> Result<bool, Error> {
        let name = writer.temporary_name();
        let mut part = Vec::new();
        let mut result = Ok(());
        if writer.written.is_none() {
            result = self.disk.create(&name);
            part = writer.header();
        }
        part.extend(writer.next_part(limit));
        if let Err(source) = result.and_then(|()| self.disk.append(&name, &part)) {
            self.discard(writer);
            return Err(Error::from_io("write", &name, source));
        }
        self.sync_file(&name)?;
        if !writer.is_complete() {
            return Ok(false);
        }
        self.rename(&name, &snapshot_name(writer.snapshot.index))?;
        self.replace_snapshot(writer.snapshot.index)?;
        Ok(true)
    }

    /// Removes the temporary file. If this fails, it is removed when the store is opened again.
    fn discard(&mut self, writer: &SnapshotWriter) {
        let _ = self.disk.remove(&writer.temporary_name());
    }

    /// Removes the previous snapshot and the log segments that the snapshot at `index` covers.
    fn replace_snapshot(&mut self, index: u64) -> Result<(), Error> {
        let old = self.snapshot_index.replace(index);
        if let Some(old) = old.filter(|old| *old != index) {
            self.remove(&snapshot_name(old))?;
        }
        self.remove_segments(index)
    }
}

/// Decodes a snapshot file. Returns `None` if it is damaged.
pub(super) fn decode(bytes: Vec<u8>) -> Option<Snapshot> {
    let mut bytes = Bytes::from(bytes);
    if bytes.len() < MAGIC.len() + LENGTH_BYTES + CHECKSUM_BYTES || !bytes.starts_with(&MAGIC) {
        return None;
    }
    bytes.advance(MAGIC.len());
    let checksum = bytes.split_off(bytes.len() - CHECKSUM_BYTES).get_u32_le();
    if checksum != crc32fast::hash(&bytes) {
        return None;
    }
    let length = bytes.get_u32_le() as usize;
    let (index, term, members, size): (u64, u64, Members, usize) =
        postcard::from_bytes(bytes.get(..length)?).ok()?;
    let data = bytes.slice(length..);
    (data.len() == size).then_some(Snapshot { index, term, members, data })
}
