//! Format of log segments.
//!
//! A segment consists of a header and frames with one record each. Integers are little-endian.
//! Frames are numbered consecutively across segments. Each frame contains the number of the latest
//! frame that was synced when it was written, which distinguishes a torn tail from corruption: a
//! damaged frame was synced if a later frame says so. For this purpose each synced batch is
//! followed by a sync marker, a frame without a record.
//!
//! A frame has the length of its payload and a CRC-32 (4 bytes each), its number and the number of
//! the latest synced frame (8 bytes each), and the payload.

use crate::Record;
use crate::ReplicaId;

const MAGIC: [u8; 8] = *b"hrlog\0\0\x01";
pub(super) const SEGMENT_HEADER_BYTES: usize = 44;
const FRAME_HEADER_BYTES: usize = 24;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SegmentHeader {
    pub(super) id: ReplicaId,
    /// Number of the segment.
    pub(super) segment: u64,
    /// Number of the first frame in the segment.
    pub(super) first_frame: u64,
}

impl SegmentHeader {
    pub(super) fn encode(&self) -> Vec<u8> {
        let mut bytes = MAGIC.to_vec();
        bytes.extend(self.id.0.to_le_bytes());
        bytes.extend(self.segment.to_le_bytes());
        bytes.extend(self.first_frame.to_le_bytes());
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    /// Returns `None` if the header is damaged.
    pub(super) fn decode(bytes: &[u8]) -> Option<Self> {
        let (content, checksum) = bytes.get(..SEGMENT_HEADER_BYTES)?.split_last_chunk::<4>()?;
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

/// A decoded frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame<'a> {
    pub(super) number: u64,
    /// Number of the latest frame that was synced when this one was written.
    synced: u64,
    /// Encoded record. Empty in a sync marker.
    payload: &'a [u8],
}

impl Frame<'_> {
    pub(super) fn size(&self) -> usize {
        FRAME_HEADER_BYTES + self.payload.len()
    }

    pub(super) fn is_sync_marker(&self) -> bool {
        self.payload.is_empty()
    }

    pub(super) fn record(&self) -> Option<Record> {
        postcard::from_bytes(self.payload).ok()
    }
}

/// Appends a frame with a record to `bytes`.
pub(super) fn encode(bytes: &mut Vec<u8>, number: u64, synced: u64, record: &Record) {
    let start = begin_frame(bytes, number, synced);
    let written = postcard::to_extend(record, std::mem::take(bytes));
    *bytes = written.expect("records are serializable");
    finish_frame(bytes, start);
}

/// Encodes a sync marker.
pub(super) fn encode_sync_marker(number: u64, synced: u64) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(FRAME_HEADER_BYTES);
    let start = begin_frame(&mut bytes, number, synced);
    finish_frame(&mut bytes, start);
    bytes
}

/// Appends a frame header, with length and checksum left empty. Returns the offset of the frame.
fn begin_frame(bytes: &mut Vec<u8>, number: u64, synced: u64) -> usize {
    let start = bytes.len();
    bytes.extend([0; 8]);
    bytes.extend(number.to_le_bytes());
    bytes.extend(synced.to_le_bytes());
    start
}

/// Fills in the length and checksum of the frame at `start`, which extends to the end of `bytes`.
fn finish_frame(bytes: &mut [u8], start: usize) {
    let length = (bytes.len() - start - FRAME_HEADER_BYTES) as u32;
    bytes[start..start + 4].copy_from_slice(&length.to_le_bytes());
    let checksum = checksum(length, &bytes[start + 8..]);
    bytes[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
}

/// Computes the checksum of a frame, which covers its length field and everything after the
/// checksum field.
fn checksum(length: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}

/// Decodes the frame at the start of `bytes`. Returns `None` if it is incomplete or damaged, or if
/// its number is not in `numbers`.
pub(super) fn decode(bytes: &[u8], numbers: std::ops::RangeInclusive<u64>) -> Option<Frame<'_>> {
    let number = u64_at(bytes, 8)?;
    if !numbers.contains(&number) {
        return None;
    }
    let length = u32_at(bytes, 0)?;
    let content = bytes.get(8..FRAME_HEADER_BYTES.checked_add(length as usize)?)?;
    let valid = checksum(length, content) == u32_at(bytes, 4)?;
    let synced = u64_at(bytes, 16)?;
    valid.then_some(Frame { number, synced, payload: &content[FRAME_HEADER_BYTES - 8..] })
}

/// Whether `tail`, which starts with the damaged frame `number`, contains a later frame that shows
/// that it had been synced.
pub(super) fn was_synced(tail: &[u8], number: u64) -> bool {
    let last = number + (tail.len() / FRAME_HEADER_BYTES) as u64;
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
