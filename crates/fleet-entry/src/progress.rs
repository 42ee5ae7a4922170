//! Progress of an answer from an endpoint.
//!
//! An answer progresses with each event, or with a number of bytes if its body has no events. A
//! pause is the time since the last progress, so that a source that sends a byte now and then
//! stalls, and one that sends whole events slowly does not. The bytes between two steps of progress
//! are limited, because a faulty endpoint may send them without end.

use std::time::Duration;

/// Progress of one answer from one endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Time of the last progress.
    at: Duration,
    /// Bytes received since then.
    bytes: usize,
}

impl Progress {
    /// Begins with the head of the answer at time `now`.
    pub fn new(now: Duration) -> Self {
        Self { at: now, bytes: 0 }
    }

    /// Records progress at time `now`.
    pub fn advance(&mut self, now: Duration) {
        *self = Self::new(now);
    }

    /// Excludes a time from the pause, in which the endpoint could not send.
    pub fn exclude(&mut self, time: Duration) {
        self.at += time;
    }

    /// Counts bytes without progress and returns their number since the last progress.
    pub fn receive(&mut self, bytes: usize) -> usize {
        self.bytes = self.bytes.saturating_add(bytes);
        self.bytes
    }

    /// Time at which the answer counts as stalled.
    pub fn stalls_at(&self, max_pause: Duration) -> Duration {
        self.at + max_pause
    }
}
