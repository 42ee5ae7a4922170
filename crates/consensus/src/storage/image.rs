//! Snapshot files, written in steps.
//!
//! A file has a magic number, the length of the description, the description, the content and a
//! CRC-32 of everything after the magic number. Integers are little-endian.
//!
//! A replica's own snapshot protects nothing until segments are removed, so it may be written
//! slowly: one step per output keeps the pause below the heartbeat interval for any size.

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
/// Step of a snapshot that is written at once. It bounds the copy in memory.
const BLOCKING_STEP_BYTES: usize = 16 << 20;

/// A snapshot file that is being written.
pub(super) struct Writing {
    snapshot: Arc<Snapshot>,
    hasher: Hasher,
    /// Bytes of the content that are written; `None` before the file exists.
    written: Option<usize>,
}

impl Writing {
    fn new(snapshot: Arc<Snapshot>) -> Self {
        Self { snapshot, hasher: Hasher::new(), written: None }
    }

    fn temporary_name(&self) -> String {
        format!("{}{TEMPORARY_SUFFIX}", snapshot_name(self.snapshot.index))
    }

    /// Magic number, length and description. Starts the checksum.
    fn head(&mut self) -> Vec<u8> {
        let Snapshot { index, term, members, data } = &*self.snapshot;
        let description = postcard::to_stdvec(&(index, term, members, data.len()))
            .expect("a description has only serializable parts");
        let mut bytes = MAGIC.to_vec();
        bytes.extend((description.len() as u32).to_le_bytes());
        bytes.extend(description);
        self.hasher.update(&bytes[MAGIC.len()..]);
        bytes
    }

    /// The next part of the content of at most `limit` bytes, followed by the checksum if it is
    /// the last one.
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
    /// Writes a snapshot durably, then removes the files that it replaces.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.check()?;
        self.queued = None;
        if let Some(older) = self.writing.take() {
            self.discard(&older);
        }
        let mut writing = Writing::new(Arc::new(snapshot.clone()));
        while !self.write_part(&mut writing, BLOCKING_STEP_BYTES)? {}
        Ok(())
    }

    /// Starts to write the own snapshot in steps, after one that is not finished.
    pub(super) fn queue_snapshot(&mut self, snapshot: Arc<Snapshot>) {
        self.queued = Some(snapshot);
    }

    /// Writes the next part of the own snapshot, if there is one. On a full disk the snapshot is
    /// dropped, which leaves the space to the log; the next one may succeed.
    pub(super) fn continue_snapshot(&mut self) -> Result<(), Error> {
        let next = self.writing.take().or_else(|| self.queued.take().map(Writing::new));
        let Some(mut writing) = next else { return Ok(()) };
        match self.write_part(&mut writing, self.snapshot_step_bytes) {
            Ok(false) => self.writing = Some(writing),
            Ok(true) | Err(Error::Full) => {}
            Err(error) => return Err(error),
        }
        Ok(())
    }

    /// Writes and syncs one part. Returns whether the snapshot is complete and in place.
    fn write_part(&mut self, writing: &mut Writing, limit: usize) -> Result<bool, Error> {
        let name = writing.temporary_name();
        let mut part = Vec::new();
        let mut result = Ok(());
        if writing.written.is_none() {
            result = self.disk.create(&name);
            part = writing.head();
        }
        part.extend(writing.next_part(limit));
        if let Err(source) = result.and_then(|()| self.disk.append(&name, &part)) {
            self.discard(writing);
            return Err(Error::from_io("write", &name, source));
        }
        self.sync_file(&name)?;
        if !writing.is_complete() {
            return Ok(false);
        }
        self.rename(&name, &snapshot_name(writing.snapshot.index))?;
        self.replace_snapshot(writing.snapshot.index)?;
        Ok(true)
    }

    /// Frees the space. What cannot be removed now is removed when the store is opened.
    fn discard(&mut self, writing: &Writing) {
        let _ = self.disk.remove(&writing.temporary_name());
    }

    fn replace_snapshot(&mut self, index: u64) -> Result<(), Error> {
        let old = self.snapshot_index.replace(index);
        if let Some(old) = old.filter(|old| *old != index) {
            self.remove(&snapshot_name(old))?;
        }
        self.remove_segments(index)
    }
}

/// Reads a snapshot file. `None` if it is damaged.
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
