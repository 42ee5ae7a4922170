//! Places for long prompts.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_fleet_entry::bulk::Places;
use tokio::time::Instant;

const LIMIT: Duration = Duration::from_secs(4);

/// Guards against long prompts that are read all at once, and against one that waits although a
/// place is free.
#[tokio::test(start_paused = true)]
async fn long_prompts_take_turns() {
    let places = Rc::new(Places::default());
    let began = Instant::now();
    let first = places.take(1, LIMIT).await;
    assert_eq!(began.elapsed(), Duration::ZERO);

    let release = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        drop(first);
    };
    let (_second, ()) = tokio::join!(places.take(1, LIMIT), release);

    assert_eq!(began.elapsed(), Duration::from_secs(1));
}

/// Guards against a request that waits beyond its time, and against a place that is handed to one
/// that has stopped waiting.
#[tokio::test(start_paused = true)]
async fn wait_for_a_place_is_limited() {
    let places = Rc::new(Places::default());
    let began = Instant::now();
    let first = places.take(1, LIMIT).await;

    let second = places.take(1, LIMIT).await;
    assert_eq!(began.elapsed(), LIMIT);

    drop((first, second));
    let _third = places.take(1, LIMIT).await;
    assert_eq!(began.elapsed(), LIMIT);
}
