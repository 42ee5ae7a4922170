//! The lease of an entry on a VM that is suspended.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hickoryreel_base::time::Clock;
use hickoryreel_entry::blackboard::Blackboard;
use hickoryreel_state::command::Holder;

/// A clock that goes on while the VM is suspended, as the boot clock does.
#[derive(Debug, Default)]
struct Suspended(AtomicU64);

impl Clock for Suspended {
    fn now(&self) -> Duration {
        Duration::from_millis(self.0.load(Ordering::Relaxed))
    }
}

/// Guards against a lease that is believed after a suspension longer than the lease. Counted with
/// `std::time::Instant`, which stands still meanwhile, the lease was still valid afterwards.
#[test]
fn lease_ends_during_a_suspension() {
    let clock = Arc::new(Suspended::default());
    let holder = Holder { entry: "e1".parse().unwrap(), incarnation: 1 };
    let blackboard = Blackboard::new(holder, Arc::clone(&clock) as Arc<dyn Clock>);
    blackboard.extend_lease(blackboard.now() + Duration::from_secs(3));
    assert!(blackboard.check_lease().is_ok());

    // Suspended for 10 s: no code runs and the steady clock stands still.
    clock.0.store(10_000, Ordering::Relaxed);

    assert!(blackboard.check_lease().is_err());
    assert_eq!(blackboard.lease_left(), Duration::ZERO);
}
