//! Format of log segments.
//!
//! A segment is a header and frames, each with one record. Integers are little-endian. Frames are
//! numbered through all segments, and each frame names the newest frame that was synced when it
//! was written. That tells a torn tail from corruption: a damaged frame was synced if a later
//! frame says so. A mark, which is a frame without a record, follows each synced batch for that.

use crate::Record;
use crate::ReplicaId;

const MAGIC: [u8; 8] = *b"hrlog\0\0\x01";
pub(super) const HEADER_BYTES: usize = 44;
const FRAME_BYTES: usize = 24;

/// Header of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) id: ReplicaId,
    /// Number of the segment.
    pub(super) segment: u64,
    /// Number of its first frame.
    pub(super) first_frame: u64,
}

impl Header {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(self.id.0.to_le_bytes());
        bytes.extend(self.segment.to_le_bytes());
        bytes.extend(self.first_frame.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    /// `None` if the header is damaged.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (content, checksum) = bytes.get(..HEADER_BYTES)?.split_last_chunk::<4>()?;
        let valid = content.starts_with(&MAGIC)
            && crc32fast::hash(content) == u32::from_le_bytes(*checksum);
        let (id, numbers) = content.get(MAGIC.len()..)?.split_first_chunk::<16>()?;
        valid.then_some(Self {
            id: ReplicaId(u128::from_le_bytes(*id)),
            segment: u64_at(numbers, 0)?,
            first_frame: u64_at(numbers, 8)?,
        })
    }
}

/// A frame found in a segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame<'a> {
    pub(super) number: u64,
    /// Newest frame that was synced when this one was written.
    synced: u64,
    payload: &'a [u8],
}

impl Frame<'_> {
    pub(super) fn size(&self) -> usize {
        FRAME_BYTES + self.payload.len()
    }

    pub(super) fn is_mark(&self) -> bool {
        self.payload.is_empty()
    }

    pub(super) fn record(&self) -> Option<Record> {
        postcard::from_bytes(self.payload).ok()
    }
}

/// Adds a frame with a record to `bytes`.
pub(super) fn encode(bytes: &mut Vec<u8>, number: u64, synced: u64, record: &Record) {
    let start = begin(bytes, number, synced);
    let written = postcard::to_extend(record, std::mem::take(bytes));
    *bytes = written.expect("a record has only serializable parts");
    finish(bytes, start);
}

/// A frame without a record.
pub(super) fn encode_mark(number: u64, synced: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_BYTES);
    let start = begin(&mut bytes, number, synced);
    finish(&mut bytes, start);
    bytes
}

/// Adds a frame's header without length and checksum. Returns its offset.
fn begin(bytes: &mut Vec<u8>, number: u64, synced: u64) -> usize {
    let start = bytes.len();
    bytes.extend([0; 8]);
    bytes.extend(number.to_le_bytes());
    bytes.extend(synced.to_le_bytes());
    start
}

/// Fills in length and checksum of the frame at `start`, which is the last one.
fn finish(bytes: &mut [u8], start: usize) {
    let length = (bytes.len() - start - FRAME_BYTES) as u32;
    bytes[start..start + 4].copy_from_slice(&length.to_le_bytes());
    let checksum = checksum(length, &bytes[start + 8..]);
    bytes[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// The checksum covers the length and everything after the checksum.
fn checksum(length: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// The frame at the start of `bytes`, if it is whole and its number is in the given range.
pub(super) fn decode(bytes: &[u8], numbers: std::ops::RangeInclusive<u64>) -> Option<Frame<'_>> {
    let number = u64_at(bytes, 8)?;
    if !numbers.contains(&number) {
        return None;
    }
    let length = u32_at(bytes, 0)?;
    let content = bytes.get(8..FRAME_BYTES.checked_add(length as usize)?)?;
    let valid = checksum(length, content) == u32_at(bytes, 4)?;
    let synced = u64_at(bytes, 16)?;
    valid.then_some(Frame { number, synced, payload: &content[FRAME_BYTES - 8..] })
}

/// Whether `tail`, which starts with a damaged frame, shows that this frame had been synced.
pub(super) fn was_synced(tail: &[u8], number: u64) -> bool {
    let last = number + (tail.len() / FRAME_BYTES) as u64;
    let mut offset = 1;
    while offset < tail.len() {
        match decode(&tail[offset..], number + 1..=last) {
            Some(frame) if frame.synced >= number => return true,
            Some(frame) => offset += frame.size(),
            None => offset += 1,
        }
    }
    false
}

fn u32_at(bytes: &[u8], offset: usize) -> Option<u32> {
    bytes.get(offset..offset + 4)?.try_into().ok().map(u32::from_le_bytes)
}

fn u64_at(bytes: &[u8], offset: usize) -> Option<u64> {
    bytes.get(offset..offset + 8)?.try_into().ok().map(u64::from_le_bytes)
}
