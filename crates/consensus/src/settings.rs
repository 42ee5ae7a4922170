//! Timing and size limits of the replicated log.

use std::time::Duration;

/// Settings of a replica and its store. All replicas of a cluster use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval between heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest election timeout. Also the time without a quorum after which a leader steps down,
    /// and the time after a leader's message during which a replica refuses votes.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Largest payload of one proposal in bytes.
    pub max_payload_bytes: usize,
    /// Target size of the entries of one append message in bytes. A single larger entry is sent
    /// alone, so a message has at most the larger of this and the payload limit, and its headers.
    pub max_append_bytes: usize,
    /// Largest number of entries of one append message.
    pub max_append_entries: usize,
    /// Append messages sent to one replica ahead of its replies.
    pub max_inflight: usize,
    /// Bytes of proposals a leader holds that are not committed. More proposals are refused.
    pub max_uncommitted_bytes: usize,
    /// Reads a leader holds that are not confirmed. More reads are refused.
    pub max_reads: usize,
    /// Largest number of members, learners included.
    pub max_members: usize,
    /// Longest address of a member in bytes.
    pub max_address_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot a replica accepts in bytes.
    pub max_snapshot_bytes: u64,
    /// Bytes of the own snapshot that the store writes per output. A larger step pauses the owner
    /// for longer.
    pub snapshot_step_bytes: usize,
    /// Entries kept in memory before the snapshot, so that a slow replica needs no snapshot.
    pub trailing_entries: u64,
    /// Largest size of these entries in bytes.
    pub trailing_bytes: usize,
    /// Entries by which a learner may trail the leader's log when it is promoted. Under load there
    /// are always some on their way: 1,024 are about 10 round trips of 24 ms at 4,000 entries/s.
    pub promote_lag_entries: u64,
    /// Size in bytes at which the store starts a new segment.
    pub segment_bytes: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(1_000),
            max_payload_bytes: 1 << 20,
            max_append_bytes: 256 << 10,
            max_append_entries: 1_024,
            max_inflight: 16,
            max_uncommitted_bytes: 64 << 20,
            max_reads: 65_536,
            max_members: 16,
            max_address_bytes: 256,
            snapshot_chunk_bytes: 256 << 10,
            max_snapshot_bytes: 4 << 30,
            snapshot_step_bytes: 1 << 20,
            trailing_entries: 4_096,
            trailing_bytes: 16 << 20,
            promote_lag_entries: 1_024,
            segment_bytes: 16 << 20,
        }
    }
}
