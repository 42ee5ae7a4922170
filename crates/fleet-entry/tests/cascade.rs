//! When an answer is dropped and a larger model asked.

use std::time::Duration;

use hickoryreel_fleet_entry::cascade::Cascade;
use hickoryreel_fleet_entry::cascade::Outlook;
use yare::parameterized;

const TARGET_MS: u64 = 1_000;
const LEFT_MS: u64 = 10_000;

/// Guards against a sure answer that is dropped and a doubted one that is kept.
#[test]
fn doubt_asks_a_larger_model() {
    let models = ["small".into(), "middle".into(), "large".into()];
    let cascade = Cascade::default();

    assert_eq!(cascade.next(&models, 0, 90, 2), None);
    assert_eq!(cascade.next(&models, 0, 10, 2), Some(2));
    assert_eq!(cascade.next(&models, 0, 45, 2), Some(1));
    assert_eq!(cascade.next(&models, 2, 10, 2), None);
}

/// Guards against large models that are asked while their answers would be late, against urgent
/// questions that get a poor answer although a good one is still worth more, and against large
/// prompts that are refused for the time of their own reading.
#[parameterized(
    at_once = { 2, 0.0, 400.0, true },
    bulk_behind_a_queue = { 2, 400.0, 800.0, false },
    usual_behind_a_queue = { 1, 400.0, 800.0, true },
    usual_too_late = { 1, 700.0, 800.0, false },
    large_prompt = { 2, 200.0, 940.0, true },
    large_prompt_too_late = { 2, 200.0, 1_100.0, false },
    urgent_and_late = { 0, 3_000.0, 3_500.0, true },
    urgent_and_hopeless = { 0, 5_000.0, 5_500.0, false },
)]
fn larger_model_is_asked_if_its_answer_is_in_time(
    rank: u8,
    wait_ms: f64,
    answer_ms: f64,
    good: bool,
) {
    assert_eq!(Outlook { wait_ms, answer_ms }.is_good(rank, TARGET_MS, LEFT_MS), good);
}

/// Guards against waits under load that are taken for reading: then every request counts as a long
/// one, waits for a place, and gets no larger model.
#[test]
fn waits_under_load_hardly_change_the_reading_time() {
    let mut cascade = Cascade::default();
    let model = "small".into();
    (0..20).for_each(|_| cascade.observe(&model, 2_000, Duration::from_millis(20)));

    for _ in 0..10 {
        cascade.observe(&model, 2_000, Duration::from_millis(800));
        (0..4).for_each(|_| cascade.observe(&model, 2_000, Duration::from_millis(20)));
    }

    assert!(cascade.token_ms(&model) < 0.04, "{}", cascade.token_ms(&model));
}

/// Guards against a reading time that is learned from short prompts, most of which is the way.
#[test]
fn reading_time_is_learned_from_long_prompts() {
    let mut cascade = Cascade::default();
    let model = "large".into();
    cascade.observe(&model, 2_000, Duration::from_millis(80));

    cascade.observe(&model, 100, Duration::from_millis(60));

    assert!((cascade.token_ms(&model) - 0.04).abs() < 1e-9);
}
