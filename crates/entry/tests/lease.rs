//! The lease of an entry on a VM that is suspended.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryreel_base::time::Clock;
use hickoryreel_entry::blackboard::Blackboard;
use hickoryreel_state::command::Holder;

/// A clock that advances while the VM is suspended, like `BootClock`.
#[derive(Debug, Default)]
struct TestClock(AtomicU64);

impl Clock for TestClock {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against a lease that is still considered valid after a suspension longer than the lease.
/// `std::time::Instant` does not advance during a suspension, so a lease measured with it did not
/// end.
#[test]
fn lease_ends_during_a_suspension() {
    let clock = Arc::new(TestClock::default());
    let holder = Holder { entry: "e1".parse().unwrap(), incarnation: 1 };
    let blackboard = Blackboard::new(holder, Arc::clone(&clock) as Arc<dyn Clock>);
    blackboard.extend_lease(blackboard.now() + Duration::from_secs(3));
    assert!(blackboard.check_lease().is_ok());

    // A suspension of 10 s: no code runs, and a monotonic clock would not advance.
    clock.0.store(10_000, Ordering::Relaxed);

    assert!(blackboard.check_lease().is_err());
    assert_eq!(blackboard.lease_left(), Duration::ZERO);
}
