//! Work at endpoints, as entries share it with each other through a control replica.
//!
//! An entry posts what it has open and how its sends ended since the post before; the replica
//! answers with the sums over all entries. The sums are soft state: they may be late or incomplete,
//! and an entry that gets none decides from what it sees itself.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::Name;

/// Short identity of an endpoint within a post. Two endpoints with the same key share their sums,
/// which misplaces some work and breaks nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Key(u32);

impl Key {
    /// The key of the endpoint `id`.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// Ranks of routes that are told apart; less urgent ones count as the last.
pub const RANKS: usize = 3;

/// Work at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The endpoint.
    pub endpoint: Key,
    /// Requests under way there.
    pub open: u32,
    /// Expected time to read the prompts that wait there, by rank of the route, in milliseconds.
    pub unread_ms: [u32; RANKS],
    /// Sends that ended well: since the post before, or recently over all entries.
    pub good: u32,
    /// Sends that failed, likewise.
    pub bad: u32,
}

/// What one entry posts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Post {
    /// Name of the entry.
    pub entry: Name,
    /// Endpoints at which it has work, or had since the post before.
    pub works: Vec<Work>,
}
