//! One workspace that asks far more than the others.

use hickoryreel_base::rank::Rank;

use crate::outcome::End;
use crate::outcome::Outcome;
use crate::outcome::share;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::Deployment;
use crate::setup::ENTRIES;
use crate::setup::Plain;
use crate::setup::Setup;
use crate::setup::WORKSPACES;
use crate::setup::workspace;
use crate::sim;

/// Seconds of arrivals, and seconds at the start in which the digests settle.
const LENGTH_S: u64 = 60;
const SETTLED_S: f64 = 10.0;
/// Factor of the large workspace on the demand of each other one.
const FACTOR: f64 = 50.0;

/// Parts of the traffic: the first workspace asks [`FACTOR`] times the others.
fn parts() -> [f64; WORKSPACES] {
    let mut parts = [1.0; WORKSPACES];
    parts[0] = FACTOR;
    parts
}

/// A run in which each small workspace asks `small` of its fair share.
fn setup(deployment: &Deployment, seed: u64, small: f64) -> Setup {
    let setup = Setup::one_model(deployment, seed, LENGTH_S);
    let fair = setup.capacity() / WORKSPACES as f64;
    let sum: f64 = parts().iter().sum();
    setup.arrivals(Rank::Normal, small * fair * sum, &parts(), None)
}

/// Small workspaces inside their fair share.
pub(crate) fn large(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let setup = setup(deployment, seed, 0.5);
    let served = |outcome: &Outcome| {
        let small = outcome.window(Rank::Normal, SETTLED_S, LENGTH_S as f64);
        share(small.filter(|r| r.workspace != workspace(0)), |r| r.end == End::Served)
    };
    let ours = sim::run(&setup);
    let arrival = sim::run(&setup.under(Plain::ArrivalOrder));
    vec![
        Row::new(
            name,
            "small workspaces' served share",
            served(&ours),
            "share",
            Bound::AtLeast(0.99),
        )
        .against("arrival order", served(&arrival)),
    ]
}

/// All workspaces ask more than their fair share; the large one arrives unevenly at all entries,
/// each small one at two of them.
pub(crate) fn uneven(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 1.5);
    for stream in &mut setup.streams {
        let index = (0..WORKSPACES).find(|index| stream.workspace == workspace(*index));
        let index = index.unwrap_or_default();
        stream.entries = match index {
            0 => vec![8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0],
            _ => (0..ENTRIES).map(|entry| small_part(index, entry)).collect(),
        };
    }
    let excess = |outcome: &Outcome| {
        let to = LENGTH_S as f64;
        let all = outcome.served_rate(SETTLED_S, to, |_| true);
        let large = outcome.served_rate(SETTLED_S, to, |r| r.workspace == workspace(0));
        large / (all / WORKSPACES as f64) - 1.0
    };
    let ours = sim::run(&setup);
    let arrival = sim::run(&setup.under(Plain::ArrivalOrder));
    vec![
        Row::new(
            name,
            "large workspace's excess over its fair share",
            excess(&ours),
            "share",
            Bound::AtMost(0.05),
        )
        .against("arrival order", excess(&arrival)),
    ]
}

fn small_part(index: usize, entry: usize) -> f64 {
    match (entry + ENTRIES - index % ENTRIES) % ENTRIES {
        0 => 2.0,
        1 => 1.0,
        _ => 0.0,
    }
}
