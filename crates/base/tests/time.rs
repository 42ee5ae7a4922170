//! Permissions on a VM that is suspended.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryreel_base::time::Clock;
use hickoryreel_base::time::Permission;

/// A clock that advances while the VM is suspended, like `BootClock`.
#[derive(Debug, Default)]
struct TestClock(AtomicU64);

impl Clock for TestClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against an order that is sent after a suspension, when another replica may hold the order
/// lease.
#[test]
fn permission_ends_during_a_suspension() {
    let clock = Arc::new(TestClock::default());
    let permission = Permission::new(Arc::clone(&clock) as Arc<dyn Clock>, Duration::from_secs(1));
    assert!(permission.holds());

    // A suspension: no code runs, and a monotonic clock would not advance.
    clock.0.store(1_000, Ordering::Relaxed);

    assert!(!permission.holds());
}
