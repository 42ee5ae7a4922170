//! Clocks: wall-clock time for records and logs, and time since boot for leases and timeouts.

use std::fmt;
use std::sync::Arc;
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

/// Time since the VM booted, including time spent suspended.
///
/// `std::time::Instant` does not advance while a VM is suspended, so a lease measured with it would
/// be considered valid after its expiry.
pub fn boot_time() -> Duration {
    // The call fails only if the kernel does not support the clock.
    clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
}

/// An injectable clock, so that tests can simulate a suspended VM.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Time since a fixed origin. It is monotonic and includes time spent suspended.
    fn now(&self) -> Duration;
}

/// A [`Clock`] that reads [`boot_time`].
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        boot_time()
    }
}

/// A permission that ends after a time, also while the VM is suspended.
#[derive(Clone, Debug)]
pub struct Permission {
    clock: Arc<dyn Clock>,
    ends_at: Duration,
}

impl Permission {
    /// Creates a permission that ends after `length`.
    pub fn new(clock: Arc<dyn Clock>, length: Duration) -> Self {
        let ends_at = clock.now() + length;
        Self { clock, ends_at }
    }

    /// Whether it has not ended yet.
    pub fn holds(&self) -> bool {
        self.clock.now() < self.ends_at
    }
}
