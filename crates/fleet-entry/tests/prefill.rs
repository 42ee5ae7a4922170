//! Limit on the number of long prompts in prefill.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_fleet_entry::prefill::PrefillLimiter;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against concurrent prefill of all long prompts, and against one that waits although a
/// permit is free.
#[tokio::test(start_paused = true)]
async fn long_prompts_wait_for_a_permit() {
    let limiter = Rc::new(PrefillLimiter::default());
    let began = Instant::now();
    let first = limiter.acquire(1, TIMEOUT).await;
    assert_eq!(began.elapsed(), Duration::ZERO);

    let release = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(first);
    };
    let (_second, ()) = tokio::join!(limiter.acquire(1, TIMEOUT), release);

    assert_eq!(began.elapsed(), Duration::from_secs(1));
}

/// Guards against a request that waits beyond its timeout, and against a permit that is lost to a
/// request that has stopped waiting.
#[tokio::test(start_paused = true)]
async fn wait_for_a_permit_times_out() {
    let limiter = Rc::new(PrefillLimiter::default());
    let began = Instant::now();
    let first = limiter.acquire(1, TIMEOUT).await;

    let second = limiter.acquire(1, TIMEOUT).await;
    assert_eq!(began.elapsed(), TIMEOUT);

    drop((first, second));
    let _third = limiter.acquire(1, TIMEOUT).await;
    assert_eq!(began.elapsed(), TIMEOUT);
}
