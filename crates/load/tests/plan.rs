//! Plans of arrivals, and tallies of outcomes.

use std::time::Duration;

use hickoryreel_base::bundle::RankConfig;
use hickoryreel_base::rank::Rank;
use hickoryreel_load::mix::Preset;
use hickoryreel_load::plan;
use hickoryreel_load::plan::Flood;
use hickoryreel_load::plan::Settings;
use hickoryreel_load::tally::Outcome;
use hickoryreel_load::tally::Tally;
use yare::parameterized;

fn settings() -> Settings {
    Settings { rate: 100.0, length: Duration::from_secs(90), workspaces: 10, ..Settings::default() }
}

/// Guards against plans that differ between two runs with the same seed.
#[parameterized(registry = { Preset::Registry }, auctions = { Preset::Auctions })]
fn same_seed_gives_same_plan(preset: Preset) {
    let mix = preset.mix();

    let first = plan::arrivals(&mix, &settings());
    let second = plan::arrivals(&mix, &settings());

    assert_eq!(first, second);
    assert!(first.is_sorted_by_key(|arrival| arrival.at));
    // 9,000 arrivals are expected; four standard deviations are 380.
    assert!((8_620..=9_380).contains(&first.len()), "{}", first.len());
}

/// Guards against a flood that changes the rate of other ranks or at other times.
#[test]
fn flood_adds_only_its_rank_in_the_middle_third() {
    let mix = Preset::Registry.mix();
    let flood = Some(Flood { rank: Rank::Bulk, factor: 10.0 });
    let count = |settings: &Settings, rank: Rank, third: u64| {
        let arrivals = plan::arrivals(&mix, settings);
        let inside = arrivals
            .iter()
            .filter(|arrival| arrival.kind.rank == rank && arrival.at.as_secs() / 30 == third);
        inside.count() as f64
    };

    let flooded = Settings { flood, ..settings() };

    let ratio = |rank, third| count(&flooded, rank, third) / count(&settings(), rank, third);
    assert!((8.0..12.0).contains(&ratio(Rank::Bulk, 1)));
    assert!((0.8..1.25).contains(&ratio(Rank::Bulk, 2)));
    assert!((0.8..1.25).contains(&ratio(Rank::Urgent, 1)));
}

/// Guards against late or refused requests counting as good.
#[test]
fn only_answers_in_time_are_good() {
    let targets = Rank::ALL.map(RankConfig::default_for);
    let mut tally = Tally::new("registry".into(), targets).expect("bounds are valid");
    let outcome = |code: &str, first_ms| Outcome {
        rank: Rank::Urgent,
        code: code.to_owned(),
        first_token: Some(Duration::from_millis(first_ms)),
        token_gaps: Vec::new(),
    };

    for outcome in [outcome("ok", 100), outcome("ok", 400), outcome("queue_full", 1)] {
        tally.add(outcome);
    }

    let sample = &tally.samples(0)[Rank::Urgent.index()];
    assert_eq!((sample.good, sample.total), (1, 3));
}
