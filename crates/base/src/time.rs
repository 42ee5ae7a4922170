//! Wall-clock time for records and logs. Leases and deadlines use the monotonic clock instead.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
