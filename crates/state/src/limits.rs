//! Limits on what the replicated state keeps.

use serde::Deserialize;
use serde::Serialize;

const HOUR_MS: u64 = 60 * 60 * 1000;

/// Limits that are part of the replicated state, so that every replica prunes in the same way.
///
/// The leader proposes them with [`crate::command::Action::SetLimits`] when its settings differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Closed records kept per workspace. The limit applies per workspace so that a large workspace
    /// doesn't displace the records of a small one.
    pub records: u32,
    /// How long closed records are kept, in milliseconds.
    pub record_age_ms: u64,
    /// Session pins kept per workspace; the least recently used ones are dropped first.
    pub pins: u32,
    /// How long pins are kept after their last use, in milliseconds.
    pub pin_age_ms: u64,
    /// Answers to operator writes kept for resends.
    pub answers: u32,
    /// How long answers to operator writes are kept, in milliseconds.
    pub answer_age_ms: u64,
    /// Submitted bundles kept, in addition to the active one, the one before it and the candidate.
    pub bundles: u32,
    /// Finished orders kept.
    pub orders: u32,
    /// Largest answer of a run-once call that is stored for resends, in bytes.
    pub stored_bytes: u32,
    /// Longest delay between recording and sending an order, in milliseconds.
    pub order_send_ms: u64,
    /// Largest assumed difference between the clocks of two proposers, or of a proposer and a
    /// caller, in milliseconds.
    pub clock_skew_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            records: 100_000,
            record_age_ms: 24 * HOUR_MS,
            pins: 100_000,
            pin_age_ms: 24 * HOUR_MS,
            answers: 10_000,
            answer_age_ms: 24 * HOUR_MS,
            bundles: 200,
            orders: 10_000,
            stored_bytes: 4096,
            order_send_ms: 2_000,
            clock_skew_ms: 60_000,
        }
    }
}
