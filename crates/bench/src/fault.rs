//! Faults that are injected into a run.

use std::time::Duration;

/// Start or end of a fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The engines crash.
    Down(Vec<usize>),
    /// The engines run again, with empty caches.
    Up(Vec<usize>),
    /// The engine runs at this fraction of its speed.
    Speed(usize, f64),
    /// The engine hangs, or resumes.
    Silent(usize, bool),
    /// The network between the region with this index and the others is partitioned, or healed.
    Partition(usize, bool),
    /// Load reports are delayed, and some of them are lost.
    Reports {
        delay: Duration,
        /// Fraction that is lost, from 0 to 1.
        loss: f64,
    },
    /// All digests between entries are lost, or delivered again.
    DigestLost(bool),
}

/// A fault and the time at which it takes effect.
pub type ScheduledFault = (Duration, Fault);
