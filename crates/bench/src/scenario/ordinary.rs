//! An ordinary day: both models, and traffic that varies around 55% of the capacity of the large
//! pool.

use hickoryreel_base::rank::Rank;

use crate::outcome::End;
use crate::outcome::Outcome;
use crate::outcome::share;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::BaselinePolicy;
use crate::setup::Deployment;
use crate::setup::FIRST_TOKEN_TARGETS;
use crate::setup::Setup;
use crate::setup::TOKEN_GAP_TARGET_S;
use crate::setup::WORKSPACE_SHARES;
use crate::sim;
use crate::workload::SERVICE_MODEL;

/// Seconds during which requests arrive, and seconds at the start that are not measured because the
/// posteriors are still being learned.
const LENGTH_S: u64 = 360;
const WARM_UP_S: f64 = 60.0;
/// Mean arrival rate relative to the capacity of the large pool. About a third of the requests need
/// the large model.
const LOAD: f64 = 1.5;
/// Share of the answers that must meet the quality bar.
const QUALITY_TARGET: f64 = 0.95;

fn setup(deployment: &Deployment, seed: u64) -> Setup {
    let setup = Setup::two_models(deployment, seed, LENGTH_S);
    let rate = LOAD * setup.pools[1].capacity();
    let mut setup = setup
        .arrivals(Rank::Urgent, 0.3 * rate, &WORKSPACE_SHARES, None)
        .arrivals(Rank::Normal, 0.5 * rate, &WORKSPACE_SHARES, None)
        .arrivals(Rank::Bulk, 0.2 * rate, &WORKSPACE_SHARES, None)
        .arrivals(Rank::Normal, 20.0, &WORKSPACE_SHARES, Some(SERVICE_MODEL));
    setup.streams.iter_mut().for_each(|stream| stream.swing = 0.25);
    setup
}

/// Returns the rows of the scenario.
pub(crate) fn rows(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let setup = setup(deployment, seed);
    let measured = sim::run(&setup);
    let round_robin = sim::run(&setup.under_baseline(BaselinePolicy::RoundRobin));
    let large = sim::run(&setup.under_baseline(BaselinePolicy::AlwaysLarge));
    let target = FIRST_TOKEN_TARGETS[0].as_secs_f64();
    vec![
        Row::new(
            name,
            "first token p95, urgent",
            urgent_first_token(&measured),
            "s",
            Bound::AtMost(target),
        )
        .with_baseline("round robin", urgent_first_token(&round_robin)),
        Row::new(
            name,
            "between tokens p95",
            token_gap(&measured),
            "s",
            Bound::AtMost(TOKEN_GAP_TARGET_S),
        )
        .with_baseline("round robin", token_gap(&round_robin)),
        Row::new(
            name,
            "cost against cheapest sufficient",
            cost(&measured),
            "ratio",
            Bound::AtMost(1.15),
        )
        .with_baseline("always the large model", cost(&large)),
        Row::new(
            name,
            "answers at the quality target",
            quality(&measured),
            "share",
            Bound::AtLeast(QUALITY_TARGET),
        )
        .with_baseline("always the large model", quality(&large)),
        Row::new(name, "urgent within target", within(&measured, Rank::Urgent), "share", None)
            .with_baseline("round robin", within(&round_robin, Rank::Urgent)),
        Row::new(name, "normal within target", within(&measured, Rank::Normal), "share", None)
            .with_baseline("round robin", within(&round_robin, Rank::Normal)),
    ]
}

fn urgent_first_token(outcome: &Outcome) -> f64 {
    outcome.first_token(Rank::Urgent, WARM_UP_S, LENGTH_S as f64, 0.95)
}

fn within(outcome: &Outcome, rank: Rank) -> f64 {
    outcome.within_target(rank, WARM_UP_S, LENGTH_S as f64)
}

fn token_gap(outcome: &Outcome) -> f64 {
    outcome.token_gaps.value_at_quantile(0.95) as f64 / 1e6
}

fn served(outcome: &Outcome) -> impl Iterator<Item = &crate::outcome::Record> {
    outcome.records.iter().filter(|record| {
        record.end == End::Served && !record.service && record.arrived.as_secs_f64() >= WARM_UP_S
    })
}

fn cost(outcome: &Outcome) -> f64 {
    let sums = served(outcome).fold((0.0, 0.0), |(cost, oracle), record| {
        (cost + record.cost, oracle + record.oracle_cost)
    });
    sums.0 / sums.1
}

fn quality(outcome: &Outcome) -> f64 {
    share(served(outcome), |record| record.good)
}
