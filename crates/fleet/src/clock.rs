//! The clock of leases and bounds.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// Time since the VM booted, including time in which it was suspended.
///
/// `std::time::Instant` stands still while a VM is suspended, so a lease measured with it would
/// outlive its length.
pub fn boot_time() -> Duration {
    // The call fails only for a clock that the kernel does not know.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// Milliseconds of [`boot_time`].
pub fn boot_millis() -> u64 {
    u64::try_from(boot_time().as_millis()).unwrap_or(u64::MAX)
}
