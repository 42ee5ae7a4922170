//! What an entry knows of kept prompt parts, in virtual time.

use std::time::Duration;

use hickoryreel_fleet_entry::kept::Fleet;
use hickoryreel_fleet_entry::kept::Outlook;
use hickoryreel_fleet_entry::kept::Uses;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const PROMPT_TOKENS: u64 = 12_000;

fn fleet(entries: u32, memory_tokens: u64) -> Fleet {
    Fleet { entries, endpoints: 60, memory_tokens }
}

/// Uses by one entry that sends `per_s` requests a second for 60 s, each with one of `parts` shared
/// parts, of which the first one gets `hot` of all requests.
fn uses(per_s: u64, parts: u64, hot: f64, seed: u64) -> (Uses, Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut uses = Uses::default();
    let sent = 60 * per_s;
    for number in 0..sent {
        let now = Duration::from_millis(1_000 * number / per_s);
        let is_hot = random.random::<f64>() < hot;
        let key = if is_hot { 0 } else { 1 + random.random_range(0..parts) };
        uses.record(key, PROMPT_TOKENS, now);
    }
    (uses, Duration::from_secs(60))
}

/// Guards against entries that can't tell a part that all of them use from one that nobody uses,
/// because each sees it once a minute.
#[parameterized(
    few_parts = { 50 },
    many_parts = { 600 },
    very_many_parts = { 5_000 },
)]
fn rate_of_a_part_is_estimated_from_repetitions(parts: u64) {
    let entries = 70;
    let expected = f64::from(entries) * 5.0 / parts as f64;
    for seed in 1..6 {
        let (uses, now) = uses(5, parts, 0.0, seed);

        let unknown = uses.outlook(None, &fleet(entries, 600_000), now);

        let ratio = unknown.uses_per_s / expected;
        assert!((0.4..2.5).contains(&ratio), "seed {seed}: {ratio}");
    }
}

/// Guards against a hot part that is treated like any other.
#[test]
fn hot_part_is_used_more_often_than_others() {
    let (uses, now) = uses(5, 600, 0.2, 1);
    let outlook = |key| uses.outlook(Some(key), &fleet(70, 600_000), now);

    let (hot, lukewarm) = (outlook(0), outlook(u64::MAX));

    assert!(hot.uses_per_s > 3.0 * lukewarm.uses_per_s, "{hot:?}, {lukewarm:?}");
    assert!(hot.probability(1.0 / 60.0) > lukewarm.probability(1.0 / 60.0));
}

/// Guards against a wait for parts that full endpoints have dropped: many lukewarm parts with too
/// little memory for them.
#[test]
fn parts_are_kept_for_less_time_in_less_memory() {
    let (uses, now) = uses(5, 600, 0.0, 1);
    let outlook = |memory| uses.outlook(Some(1), &fleet(70, memory), now);

    let [ample, scarce, none] = [outlook(6_000_000), outlook(60_000), outlook(0)];

    assert!(ample.probability(1.0) > 0.9, "{ample:?}");
    assert!(scarce.retention_s < 1.0 && scarce.probability(1.0) < 0.5, "{scarce:?}");
    assert_eq!(none.probability(1.0), 0.0);
}

/// Guards against uses that are counted for ever, and against memory that grows with them.
#[test]
fn old_uses_are_forgotten() {
    let (mut uses, now) = uses(50, 1, 0.0, 1);
    let later = now + Duration::from_secs(120);
    uses.record(7, PROMPT_TOKENS, later);

    let outlook = uses.outlook(Some(1), &fleet(70, 600_000), later);

    let mut fresh = Uses::default();
    fresh.record(7, PROMPT_TOKENS, later);
    assert_eq!(outlook, fresh.outlook(Some(1), &fleet(70, 600_000), later));
}

/// Guards against a probability that is none.
#[parameterized(
    nothing_known = { 0.0, 0.0 },
    often_but_dropped_at_once = { 100.0, 0.0 },
    extreme = { f64::MAX, f64::MAX },
)]
fn probability_is_between_0_and_1(uses_per_s: f64, retention_s: f64) {
    let outlook = Outlook { uses_per_s, retention_s };

    for share in [0.0, 0.3, 1.0] {
        assert!((0.0..=1.0).contains(&outlook.probability(share)), "{share}");
    }
}
