//! Snapshots of the machine and a digest for comparing replicas.
//!
//! A snapshot is one version byte and the contents in postcard encoding. What is derived from the
//! contents (parsed bundles, shared names) is built again by [`Machine::restore`].

use derive_more::Display;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use xxhash_rust::xxh3::Xxh3;

use crate::admission::Rules;
use crate::machine::Contents;
use crate::machine::Machine;

/// Version byte of the snapshot encoding; raised when [`Contents`] changes its shape.
const VERSION: u8 = 1;

/// Encoding to memory fails only for sequences of unknown length; the contents have none.
const ENCODES: &str = "the contents have only sequences of known length";

/// Why a snapshot could not be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Fault {
    /// The snapshot is empty.
    #[display("the snapshot is empty")]
    Empty,
    /// Another version wrote the snapshot.
    #[display("the snapshot has version {found}, expected {VERSION}")]
    Version {
        /// The version byte.
        found: u8,
    },
    /// The contents can't be decoded.
    #[display("the contents of the snapshot can't be decoded")]
    Contents,
}

impl Machine {
    /// The whole state in one buffer.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_extend(&self.contents, vec![VERSION]).expect(ENCODES)
    }

    /// The machine that wrote `snapshot`.
    pub fn restore(snapshot: &[u8]) -> Result<Self, Fault> {
        let (&found, contents) = snapshot.split_first().ok_or(Fault::Empty)?;
        if found != VERSION {
            return Err(Fault::Version { found });
        }
        let contents: Contents = postcard::from_bytes(contents).map_err(|_| Fault::Contents)?;
        Ok(Self::from(contents))
    }

    /// XXH3 hash of the state. Replicas that applied the same commands have the same digest.
    pub fn digest(&self) -> u64 {
        let hash = postcard::serialize_with_flavor(&self.contents, Hash(Xxh3::new()));
        hash.expect(ENCODES)
    }
}

impl From<Contents> for Machine {
    fn from(contents: Contents) -> Self {
        let rules = Rules::of(&contents.config);
        Self { contents, rules }
    }
}

/// Machines are equal when their contents are; the rest is derived.
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

/// Feeds the encoding to a hash instead of a buffer.
struct Hash(Xxh3);

impl postcard::ser_flavors::Flavor for Hash {
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
