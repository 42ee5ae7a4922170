//! One workspace sends far more requests than the others.

use hickoryreel_base::rank::Rank;

use crate::outcome::End;
use crate::outcome::Outcome;
use crate::outcome::share;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::BaselinePolicy;
use crate::setup::Deployment;
use crate::setup::ENTRIES;
use crate::setup::Setup;
use crate::setup::WORKSPACES;
use crate::setup::workspace;
use crate::sim;

/// Seconds during which requests arrive, and seconds at the start that are not measured because the
/// digests are still converging.
const LENGTH_S: u64 = 60;
const SETTLE_TIME_S: f64 = 10.0;
/// Demand of the large workspace relative to that of each other workspace.
const LARGE_FACTOR: f64 = 50.0;

/// Returns the relative traffic of the workspaces; the first one is the large workspace.
fn traffic_weights() -> [f64; WORKSPACES] {
    let mut traffic_weights = [1.0; WORKSPACES];
    traffic_weights[0] = LARGE_FACTOR;
    traffic_weights
}

/// Creates a run in which the demand of each small workspace is `small` times its fair share.
fn setup(deployment: &Deployment, seed: u64, small: f64) -> Setup {
    let setup = Setup::one_model(deployment, seed, LENGTH_S);
    let fair = setup.capacity() / WORKSPACES as f64;
    let sum: f64 = traffic_weights().iter().sum();
    setup.arrivals(Rank::Normal, small * fair * sum, &traffic_weights(), None)
}

/// The small workspaces demand less than their fair share.
pub(crate) fn large(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let setup = setup(deployment, seed, 0.5);
    let served = |outcome: &Outcome| {
        let small = outcome.window(Rank::Normal, SETTLE_TIME_S, LENGTH_S as f64);
        share(small.filter(|record| record.workspace != workspace(0)), |record| {
            record.end == End::Served
        })
    };
    let measured = sim::run(&setup);
    let arrival_order = sim::run(&setup.under_baseline(BaselinePolicy::ArrivalOrder));
    vec![
        Row::new(
            name,
            "small workspaces' served share",
            served(&measured),
            "share",
            Bound::AtLeast(0.99),
        )
        .with_baseline("arrival order", served(&arrival_order)),
    ]
}

/// All workspaces demand more than their fair share. Requests of the large workspace are
/// distributed unevenly over all entries, those of each small one over two entries.
pub(crate) fn uneven(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 1.5);
    for stream in &mut setup.streams {
        let index = (0..WORKSPACES).find(|index| stream.workspace == workspace(*index));
        let index = index.unwrap_or_default();
        stream.entries = match index {
            0 => vec![8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            _ => (0..ENTRIES).map(|entry| small_entry_weight(index, entry)).collect(),
        };
    }
    let excess = |outcome: &Outcome| {
        let to = LENGTH_S as f64;
        let all = outcome.served_rate(SETTLE_TIME_S, to, |_| true);
        let large =
            outcome.served_rate(SETTLE_TIME_S, to, |record| record.workspace == workspace(0));
        large / (all / WORKSPACES as f64) - 1.0
    };
    let measured = sim::run(&setup);
    let arrival_order = sim::run(&setup.under_baseline(BaselinePolicy::ArrivalOrder));
    vec![
        Row::new(
            name,
            "large workspace's excess over its fair share",
            excess(&measured),
            "share",
            Bound::AtMost(0.05),
        )
        .with_baseline("arrival order", excess(&arrival_order)),
    ]
}

fn small_entry_weight(index: usize, entry: usize) -> f64 {
    match (entry + ENTRIES - index % ENTRIES) % ENTRIES {
        0 => 2.0,
        1 => 1.0,
        _ => 0.0,
    }
}
