//! Limit on the number of long prompts in prefill.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_fleet_entry::prefill::PrefillLimiter;
use hickoryreel_fleet_entry::prefill::permits;
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

/// Guards against prompts that wait for a permit at one entry while hundreds of others, and endpoints,
/// are idle, and against entries that together permit far more long prompts than there are endpoints.
#[test]
fn entries_limit_long_prompts_to_about_one_per_endpoint() {
    for entries in 1..=400_u32 {
        for endpoints in (0..=800).step_by(7) {
            match permits(endpoints, entries) {
                None => assert!(endpoints < entries as usize),
                Some(permits) => {
                    let total = (permits * entries) as usize;
                    assert!((endpoints..endpoints + entries as usize).contains(&total));
                }
            }
        }
    }
}
