//! Snapshots of the machine, and a digest for comparing replicas.
//!
//! A snapshot is one version byte followed by the contents in postcard encoding. Data derived from
//! the contents, such as parsed bundles, is rebuilt by [`Machine::restore`].

use derive_more::Display;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::Xxh3;

use crate::admission::ParsedBundles;
use crate::machine::Contents;
use crate::machine::Machine;

/// Version byte of the snapshot encoding; incremented when the fields of [`Contents`] change.
const VERSION: u8 = 1;

/// Why encoding can't fail: in memory, postcard only rejects sequences of unknown length.
const ENCODING_EXPECTATION: &str = "the contents have only sequences of known length";

/// Error of [`Machine::restore`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum RestoreError {
    #[display("the snapshot is empty")]
    Empty,
    /// The snapshot was written in another encoding.
    #[display("the snapshot has version {found}, expected {VERSION}")]
    Version {
        /// Version byte of the snapshot.
        found: u8,
    },
    /// The contents are truncated or corrupt.
    #[display("the contents of the snapshot can't be decoded")]
    Contents,
}

impl Machine {
    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(&self.contents, vec![VERSION]).expect(ENCODING_EXPECTATION)
    }

    /// Decodes the state of the machine that wrote `snapshot`.
    pub fn restore(snapshot: &[u8]) -> Result<Self, RestoreError> {
        let (&found, contents) = snapshot.split_first().ok_or(RestoreError::Empty)?;
        if found != VERSION {
            return Err(RestoreError::Version { found });
        }
        let contents: Contents =
            postcard::from_bytes(contents).map_err(|_| RestoreError::Contents)?;
        Ok(Self::from(contents))
    }

    /// XXH3 hash of the state. Replicas that applied the same commands have the same digest.
    pub fn digest(&self) -> u64 {
        let hash = postcard::serialize_with_flavor(&self.contents, HashFlavor(Xxh3::new()));
        hash.expect(ENCODING_EXPECTATION)
    }
}

impl From<Contents> for Machine {
    fn from(contents: Contents) -> Self {
        let parsed = ParsedBundles::of(&contents.config);
        Self { contents, parsed }
    }
}

/// Compares the contents only; everything else is derived from them.
impl PartialEq for Machine {
    fn eq(&self, other: &Self) -> bool {
        self.contents == other.contents
    }
}

impl Serialize for Machine {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.contents.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Machine {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Contents::deserialize(deserializer).map(Self::from)
    }
}

/// Hashes the encoding instead of writing it to a buffer.
struct HashFlavor(Xxh3);

impl postcard::ser_flavors::Flavor for HashFlavor {
    type Output = u64;

    fn try_push(&mut self, byte: u8) -> postcard::Result<()> {
        self.0.update(&[byte]);
        Ok(())
    }

    fn try_extend(&mut self, bytes: &[u8]) -> postcard::Result<()> {
        self.0.update(bytes);
        Ok(())
    }

    fn finalize(self) -> postcard::Result<u64> {
        Ok(self.0.digest())
    }
}
