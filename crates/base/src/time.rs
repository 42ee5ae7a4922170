//! Clocks: the time of day for records and logs, and the time since boot for leases and bounds.

use std::fmt;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

/// Time since the VM booted, including time in which it was suspended.
///
/// `std::time::Instant` stands still while a VM is suspended, so a lease measured with it would
/// outlive its length.
pub fn boot_time() -> Duration {
    // The call fails only for a clock that the kernel does not know.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// A clock that is handed in, so that tests can suspend it.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Time from a fixed origin; it never goes back and includes time in suspension.
    fn now(&self) -> Duration;
}

/// The clock of [`boot_time`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        boot_time()
    }
}
