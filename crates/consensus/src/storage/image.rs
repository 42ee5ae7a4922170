//! Format of snapshot files: magic, checksum, length of the description, the description and the
//! content. Integers are little-endian; the checksum covers everything after it.

use bytes::Buf;
use bytes::Bytes;

use crate::Members;
use crate::Snapshot;

const MAGIC: [u8; 8] = *b"hrsnap\0\x01";
const HEADER_BYTES: usize = 16;

/// Header and description, to be followed by the content.
pub(super) fn encode_head(snapshot: &Snapshot) -> Vec<u8> {
    let description = (snapshot.index, snapshot.term, &snapshot.members, snapshot.data.len());
    let description =
        postcard::to_stdvec(&description).expect("a description has only serializable parts");
    let length = (description.len() as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&description);
    hasher.update(&snapshot.data);
    let mut bytes = MAGIC.to_vec();
    bytes.extend(hasher.finalize().to_le_bytes());
    bytes.extend(length);
    bytes.extend(description);
    bytes
}

/// Reads a snapshot file. `None` if it is damaged.
pub(super) fn decode(bytes: Vec<u8>) -> Option<Snapshot> {
    let mut bytes = Bytes::from(bytes);
    if bytes.len() < HEADER_BYTES || !bytes.starts_with(&MAGIC) {
        return None;
    }
    bytes.advance(MAGIC.len());
    if bytes.get_u32_le() != crc32fast::hash(&bytes) {
        return None;
    }
    let length = bytes.get_u32_le() as usize;
    let (index, term, members, size): (u64, u64, Members, usize) =
        postcard::from_bytes(bytes.get(..length)?).ok()?;
    let data = bytes.slice(length..);
    (data.len() == size).then_some(Snapshot { index, term, members, data })
}
