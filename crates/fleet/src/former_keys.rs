//! API keys that a configuration no longer has.
//!
//! Clients may still send them, and no endpoint may get them. Control replicas keep them in the
//! replicated state, so that an entry that starts later knows them as well.

use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;

/// Maximum number of keys that are remembered.
pub const MAX_KEYS: usize = 1 << 16;

/// Returns the hash by which a key is remembered.
pub fn hash(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// A key that was removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    pub hash: u64,
    /// Number of the configuration that removed it first.
    pub removed_by: u64,
}

/// Removed keys, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History(Vec<Key>);

impl History {
    /// Adds the keys of a configuration that its successor doesn't have. Forgets the oldest ones if
    /// there are too many.
    pub fn add_removed(&mut self, configuration: &Configuration, successor: &Configuration) {
        let kept: HashSet<&str> = successor.keys().collect();
        let mut known: HashSet<u64> = self.0.iter().map(|key| key.hash).collect();
        let removed = configuration.keys().filter(|key| !kept.contains(key)).map(hash);
        let new = removed.filter(|hash| known.insert(*hash));
        self.0.extend(new.map(|hash| Key { hash, removed_by: successor.number }));
        self.0.drain(..self.0.len().saturating_sub(MAX_KEYS));
    }

    /// Returns the hashes of the keys that configurations after the one with this number removed
    /// first.
    pub fn removed_after(&self, number: u64) -> Vec<u64> {
        let later = self.0.iter().filter(|key| key.removed_by > number);
        later.map(|key| key.hash).collect()
    }
}
