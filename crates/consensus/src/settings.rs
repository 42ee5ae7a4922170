//! Timing and size limits of the replicated log.

use std::time::Duration;

/// Settings of a replica and its store. All replicas of a cluster use the same values.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Interval between the leader's heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout. A leader steps down after this time without contact to a quorum,
    /// and a replica refuses votes for this time after a message from the leader.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
    /// Largest payload of one proposal in bytes.
    pub max_payload_bytes: usize,
    /// Largest total size of the entries in one append message, in bytes. A larger entry is sent
    /// in a message of its own, so the size of a message is bounded by the larger of this limit
    /// and `max_payload_bytes`, plus headers.
    pub max_append_bytes: usize,
    /// Largest number of entries in one append message.
    pub max_append_entries: usize,
    /// Largest number of in-flight append messages to one replica.
    pub max_inflight: usize,
    /// Largest total size of uncommitted proposals in bytes. The leader refuses proposals beyond
    /// it.
    pub max_uncommitted_bytes: usize,
    /// Largest number of reads that wait for the next heartbeat round. The leader refuses reads
    /// beyond it.
    pub max_reads: usize,
    /// Largest number of members, learners included.
    pub max_members: usize,
    /// Largest length of a member's address in bytes.
    pub max_address_bytes: usize,
    /// Size of a snapshot chunk in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Largest snapshot a replica accepts in bytes.
    pub max_snapshot_bytes: u64,
    /// Bytes of the local snapshot that the store writes per output. Each step blocks the caller,
    /// so larger steps cause longer pauses.
    pub snapshot_step_bytes: usize,
    /// Number of entries kept in memory after they are included in a snapshot, so that a replica
    /// that is slightly behind can catch up without a snapshot.
    pub trailing_entries: u64,
    /// Largest total size of these entries in bytes.
    pub trailing_bytes: usize,
    /// Number of entries by which a learner may lag behind the leader when it is promoted. Under
    /// load some entries are always in flight: 1,024 entries correspond to about 10 round trips of
    /// 24 ms at 4,000 entries/s.
    pub promote_lag_entries: u64,
    /// Size in bytes at which the store starts a new log segment.
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
