//! Which prompt part is blocked after crashes of endpoints.

use std::time::Duration;

use hickoryreel_fleet::crash::Answered;
use hickoryreel_fleet::crash::BLOCK_TIME;
use hickoryreel_fleet::crash::Judge;
use hickoryreel_fleet::crash::Ledger;
use hickoryreel_fleet::crash::Loss;
use hickoryreel_fleet::crash::Report;
use hickoryreel_fleet::load::EndpointKey;
use yare::parameterized;

const START: Duration = Duration::from_secs(1_000);

/// Parts of the prompts in these tests.
const SYSTEM: u64 = 1;
const DEADLY: u64 = 2;
const SUBJECT: u64 = 3;

/// Time after a crash at which all evidence has arrived.
const SETTLED: Duration = Duration::from_secs(1);

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

fn loss(endpoint: &str, parts: &[u64]) -> Loss {
    Loss { endpoint: EndpointKey::of(endpoint), age_ms: 0, parts: parts.iter().copied().collect() }
}

fn losses(endpoint: &str, prompts: &[&[u64]]) -> Report {
    let losses = prompts.iter().map(|parts| loss(endpoint, parts)).collect();
    Report { losses, ..Report::default() }
}

fn answer(part: u64) -> Report {
    Report { answered: vec![Answered { part, age_ms: 0 }], ..Report::default() }
}

/// A ledger after crashes a second apart, each with these prompts.
fn ledger(crashes: usize, prompts: &[&[u64]]) -> (Ledger, Duration) {
    let mut ledger = Ledger::default();
    for number in 0..crashes {
        ledger.add_report(&losses(&format!("e{number}"), prompts), at(number as f64));
    }
    (ledger, at(crashes as f64 - 1.0) + SETTLED)
}

fn blocked(ledger: &mut Ledger, now: Duration) -> Vec<u64> {
    ledger.judge(now).iter().map(|finding| finding.part).collect()
}

/// Guards against a prompt that crashes one endpoint after the other.
#[test]
fn part_that_explains_several_crashes_is_blocked() {
    let (mut ledger, now) = ledger(3, &[&[DEADLY]]);

    assert_eq!(blocked(&mut ledger, now), [DEADLY]);
    assert!(ledger.blocked_until(DEADLY, now).is_some());
}

/// Guards against a sound part that is refused because it was lost with the one at fault.
#[test]
fn parts_that_were_answered_meanwhile_are_not_blocked() {
    let mut ledger = Ledger::default();
    for number in 0..5 {
        let second = f64::from(number);
        let prompts: [&[u64]; 2] = [&[SYSTEM, DEADLY], &[SYSTEM, SUBJECT]];
        ledger.add_report(&losses(&format!("e{number}"), &prompts), at(second));
        ledger.add_report(&answer(SYSTEM), at(second + 0.2));
        ledger.add_report(&answer(SUBJECT), at(second + 0.4));
    }

    assert_eq!(blocked(&mut ledger, at(4.0) + SETTLED), [DEADLY]);
}

/// Guards against a rare sound part that is refused because its retries met other crashes.
#[test]
fn part_that_was_lost_in_fewer_crashes_is_not_blocked() {
    let (mut ledger, _) = ledger(3, &[&[DEADLY], &[SUBJECT]]);
    ledger.add_report(&losses("e3", &[&[DEADLY]]), at(3.0));

    assert_eq!(blocked(&mut ledger, at(3.0) + SETTLED), [DEADLY]);
    assert_eq!(blocked(&mut ledger, at(9.0)), [] as [u64; 0]);
}

/// Guards against refusing prompts because several endpoints lost power at once.
#[parameterized(at_once = { 0.0 }, in_turn = { 0.02 })]
fn crashes_with_a_common_cause_count_once(gap_s: f64) {
    let mut ledger = Ledger::default();
    for number in 0..8 {
        let time = at(gap_s * f64::from(number));
        ledger.add_report(&losses(&format!("e{number}"), &[&[SYSTEM, SUBJECT]]), time);
    }

    assert_eq!(blocked(&mut ledger, at(1.0) + SETTLED), [] as [u64; 0]);
}

/// Guards against several reports of one crash that count as several crashes.
#[test]
fn losses_at_one_endpoint_are_one_crash() {
    let mut ledger = Ledger::default();
    for number in 0..6 {
        ledger.add_report(&losses("e", &[&[SUBJECT]]), at(0.1 * f64::from(number)));
    }

    assert_eq!(blocked(&mut ledger, at(1.0) + SETTLED), [] as [u64; 0]);
}

/// Guards against a verdict before the reports of the other entries and the answers to retries are in.
#[test]
fn last_crash_counts_only_after_it_has_settled() {
    let (mut ledger, now) = ledger(3, &[&[DEADLY]]);

    assert_eq!(blocked(&mut ledger, now - SETTLED + Duration::from_millis(100)), [] as [u64; 0]);
}

/// Guards against blocking a part that all callers share if a part of fewer requests explains as much.
#[test]
fn deepest_of_parts_with_the_same_crashes_is_blocked() {
    let (mut three, now) = ledger(3, &[&[SYSTEM, DEADLY]]);
    assert_eq!(blocked(&mut three, now), [] as [u64; 0]);

    let (mut four, now) = ledger(4, &[&[SYSTEM, DEADLY]]);

    assert_eq!(blocked(&mut four, now), [DEADLY]);
}

/// Guards against a popular part that is refused because sound requests with it are rare.
#[test]
fn part_with_earlier_answers_needs_more_crashes() {
    let mut ledger = Ledger::default();
    let crash = |number: u32| Report {
        // Always the same answer, one second before the first crash.
        answered: vec![Answered { part: SUBJECT, age_ms: 1_000 * (number + 1) }],
        ..losses(&format!("e{number}"), &[&[SUBJECT]])
    };
    for number in 0..5 {
        ledger.add_report(&crash(number), at(f64::from(number)));
    }
    assert_eq!(blocked(&mut ledger, at(4.0) + SETTLED), [] as [u64; 0]);

    ledger.add_report(&crash(5), at(5.0));

    assert_eq!(blocked(&mut ledger, at(5.0) + SETTLED), [SUBJECT]);
}

/// Guards against crashes of requests that were under way at the time of a block and are held against
/// other parts.
#[test]
fn crashes_of_a_blocked_part_do_not_count_against_others() {
    let (mut ledger, now) = ledger(3, &[&[DEADLY]]);
    blocked(&mut ledger, now);
    for number in 0..6 {
        let prompts: [&[u64]; 2] = [&[DEADLY], &[SUBJECT]];
        ledger.add_report(
            &losses(&format!("f{number}"), &prompts),
            now + Duration::from_secs(number),
        );
    }

    assert_eq!(blocked(&mut ledger, now + Duration::from_secs(9)), [] as [u64; 0]);
}

/// Guards against a part that is refused for good, and against three more crashes after its block.
#[test]
fn part_is_blocked_again_after_one_crash() {
    let (mut ledger, now) = ledger(3, &[&[DEADLY]]);
    blocked(&mut ledger, now);
    let later = now + BLOCK_TIME + Duration::from_secs(1);
    assert!(ledger.blocked_until(DEADLY, later).is_none());

    ledger.add_report(&losses("e9", &[&[DEADLY]]), later);

    assert_eq!(blocked(&mut ledger, later + SETTLED), [DEADLY]);
}

/// Guards against a replica that takes over and lets a blocked part through.
#[test]
fn replica_learns_blocks_from_the_entries() {
    let (mut old, now) = ledger(3, &[&[DEADLY]]);
    blocked(&mut old, now);
    let report = Report { blocks: old.verdict(now).blocks, ..Report::default() };

    let mut new = Ledger::default();
    new.add_report(&report, now);

    assert!(new.blocked_until(DEADLY, now + BLOCK_TIME / 2).is_some());
}

/// Guards against a second bad part that hides behind the first one.
#[test]
fn two_parts_are_blocked_side_by_side() {
    let mut ledger = Ledger::default();
    for number in 0..6 {
        let part = if number % 2 == 0 { DEADLY } else { SUBJECT };
        ledger.add_report(&losses(&format!("e{number}"), &[&[part]]), at(f64::from(number)));
    }

    let mut found = blocked(&mut ledger, at(5.0) + SETTLED);

    found.sort_unstable();
    assert_eq!(found, [DEADLY, SUBJECT]);
}

/// Guards against a crash that counts twice because a report of it was delayed.
#[test]
fn late_report_of_a_crash_is_no_new_crash() {
    let mut ledger = Ledger::default();
    for number in 0..2 {
        let report = losses(&format!("e{number}"), &[&[SUBJECT]]);
        ledger.add_report(&report, at(f64::from(number)));
        ledger.add_report(&report, at(f64::from(number) + 5.0));
    }

    assert_eq!(blocked(&mut ledger, at(6.0) + SETTLED), [] as [u64; 0]);
}

/// Guards against a block that never ends because entry and replica report it to each other.
#[test]
fn reported_block_keeps_its_end() {
    let (mut ledger, now) = ledger(3, &[&[DEADLY]]);
    blocked(&mut ledger, now);
    let end = ledger.blocked_until(DEADLY, now);

    let report = Report { blocks: ledger.verdict(now).blocks, ..Report::default() };
    ledger.add_report(&report, now + Duration::from_secs(60));

    assert_eq!(ledger.blocked_until(DEADLY, now), end);
}

/// Guards against a part that is not blocked because the judge looks only from time to time.
#[test]
fn judge_blocks_a_part_with_one_of_the_next_reports() {
    let mut judge = Judge::default();
    for number in 0..3 {
        judge.answer(&losses(&format!("e{number}"), &[&[DEADLY]]), at(f64::from(number)));
    }

    let (verdict, findings) = judge.answer(&Report::default(), at(2.0) + SETTLED);
    let (repeated, none) = judge.answer(&Report::default(), at(2.001) + SETTLED);

    assert_eq!(findings.len(), 1);
    assert_eq!(verdict.blocks.len(), 1);
    assert_eq!((repeated, none.len()), (verdict, 0));
}
