//! Faults that a run can contain.

use std::time::Duration;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The engines crash.
    Down(Vec<usize>),
    /// The engines come back with empty caches.
    Up(Vec<usize>),
    /// The engine runs at a part of its speed.
    Speed(usize, f64),
    /// The engine accepts work and makes no progress.
    Silent(usize, bool),
    /// The region with this index is cut off from the others, or connected again.
    Cut(usize, bool),
    /// Load reports arrive late, and this part of them is lost.
    Reports {
        /// Delay of each report.
        late: Duration,
        /// Part that is lost, 0 to 1.
        lost: f64,
    },
    /// The digests between entries are lost, or arrive again.
    DigestLost(bool),
}

/// A fault at a time.
pub type Planned = (Duration, Fault);
