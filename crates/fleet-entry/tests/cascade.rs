//! Choice of a larger model after an answer with low confidence.

use std::time::Duration;

use hickoryreel_fleet_entry::cascade::AnswerEstimate;
use hickoryreel_fleet_entry::cascade::Cascade;
use yare::parameterized;

const TARGET_MS: u64 = 1_000;
const LEFT_MS: u64 = 10_000;

/// Guards against dropping an answer with high confidence and accepting one with low confidence.
#[test]
fn low_confidence_selects_a_larger_model() {
    let models = ["small".into(), "middle".into(), "large".into()];
    let cascade = Cascade::default();

    assert_eq!(cascade.next_model(&models, 0, 90, 2), None);
    assert_eq!(cascade.next_model(&models, 0, 10, 2), Some(2));
    assert_eq!(cascade.next_model(&models, 0, 45, 2), Some(1));
    assert_eq!(cascade.next_model(&models, 2, 10, 2), None);
}

/// Guards against asking a larger model whose answer would be late, against a poor answer to an
/// urgent request when a good one after the target is worth more, and against denying large prompts
/// a larger model because of their own prefill time.
#[parameterized(
    no_queue = { 2, 0.0, 400.0, true },
    bulk_behind_a_queue = { 2, 400.0, 800.0, false },
    normal_behind_a_queue = { 1, 400.0, 800.0, true },
    normal_too_late = { 1, 700.0, 800.0, false },
    large_prompt = { 2, 200.0, 940.0, true },
    large_prompt_too_late = { 2, 200.0, 1_100.0, false },
    urgent_after_target = { 0, 3_000.0, 3_500.0, true },
    urgent_near_deadline = { 0, 5_000.0, 5_500.0, false },
)]
fn larger_model_is_asked_if_its_answer_is_in_time(
    rank: u8,
    wait_ms: f64,
    answer_ms: f64,
    good: bool,
) {
    assert_eq!(AnswerEstimate { wait_ms, answer_ms }.is_in_time(rank, TARGET_MS, LEFT_MS), good);
}

/// Guards against taking queueing under load for prefill: then every prompt counts as long, waits
/// for a permit and gets no larger model.
#[test]
fn queueing_hardly_changes_the_prefill_estimate() {
    let mut cascade = Cascade::default();
    let model = "small".into();
    (0..20).for_each(|_| cascade.observe(&model, 2_000, Duration::from_millis(20)));

    for _ in 0..10 {
        cascade.observe(&model, 2_000, Duration::from_millis(800));
        (0..4).for_each(|_| cascade.observe(&model, 2_000, Duration::from_millis(20)));
    }

    assert!(cascade.token_ms(&model) < 0.04, "{}", cascade.token_ms(&model));
}

/// Guards against learning the prefill time from short prompts, whose time is mostly network delay.
#[test]
fn prefill_estimate_ignores_short_prompts() {
    let mut cascade = Cascade::default();
    let model = "large".into();
    cascade.observe(&model, 2_000, Duration::from_millis(80));

    cascade.observe(&model, 100, Duration::from_millis(60));

    assert!((cascade.token_ms(&model) - 0.04).abs() < 1e-9);
}
