//! Measures of each deployment under its own weights and under those of the other deployment.

use hickoryreel_base::bundle::Weights;
use hickoryreel_base::rank::Rank;

use crate::row::Bound;
use crate::row::Row;
use crate::scenario::rollout;
use crate::setup::Deployment;
use crate::setup::FIRST_TOKEN_TARGETS;
use crate::setup::Policy;
use crate::setup::Setup;
use crate::setup::WORKSPACE_SHARES;
use crate::setup::auction;
use crate::setup::registry;
use crate::sim;

/// Seconds during which requests arrive, and start and end of the flood.
const LENGTH_S: u64 = 60;
const FLOOD_S: (u64, u64) = (10, 55);
const STEADY_START_S: f64 = 20.0;

/// Scores of the three measures that the weights apply to.
#[derive(Clone, Copy, Debug)]
struct Scores {
    /// Fraction of the target that the p95 time to first token of urgent requests leaves, times the
    /// share of them within the target.
    urgent: f64,
    /// Decreases with the worst exposure to a bad version, relative to the bound on it.
    exposure: f64,
    /// Service rate of the other ranks relative to the capacity that urgent requests leave. It is
    /// not capped at 1, because the weights would then have no effect on it.
    flood: f64,
}

impl Scores {
    fn weighted(&self, weights: &Weights) -> f64 {
        let sum = weights.urgent_latency + weights.exposure + weights.flood;
        (self.urgent * weights.urgent_latency
            + self.exposure * weights.exposure
            + self.flood * weights.flood)
            / sum
    }
}

/// Measures `deployment` with the policy tuned for `weights`.
fn measure(deployment: &Deployment, weights: &Weights, seed: u64) -> Scores {
    let mut setup = Setup::one_model(deployment, seed, LENGTH_S);
    setup.policy = Policy::new(&deployment.regions, weights);
    let capacity = setup.capacity();
    for (rank, load) in Rank::ALL.into_iter().zip([0.4, 0.3, 0.25]) {
        setup = setup.arrivals(rank, load * capacity, &WORKSPACE_SHARES, None);
    }
    let setup = setup.surge(Rank::Bulk, FLOOD_S.0, FLOOD_S.1, 20.0);
    let outcome = sim::run(&setup);
    let (from, to) = (STEADY_START_S, FLOOD_S.1 as f64);
    let served = outcome.served_rate(from, to, |record| record.rank != Rank::Urgent);
    let first = outcome.first_token(Rank::Urgent, from, to, 0.95);
    let target = FIRST_TOKEN_TARGETS[0].as_secs_f64();
    let tuned = Deployment { weights: *weights, ..deployment.clone() };
    let exposed = rollout::worst_exposure(&tuned, seed);
    Scores {
        urgent: outcome.within_target(Rank::Urgent, from, to) * (1.0 - first / target).max(0.0),
        exposure: 1.0 / (1.0 + exposed / rollout::MAX_EXPOSED),
        flood: served / (0.6 * capacity),
    }
}

/// Returns the rows of the scenario.
pub(crate) fn rows(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let other =
        [registry(), auction()].into_iter().find(|candidate| candidate.name != deployment.name);
    let other = other.map_or(Weights::default(), |other| other.weights);
    let own = measure(deployment, &deployment.weights, seed);
    let with_other = measure(deployment, &other, seed);
    let row = |label: &str, own: f64, with_other: f64| {
        Row::new(name, label, own, "score", None)
            .with_baseline("the other deployment's weights", with_other)
    };
    let result = own.weighted(&deployment.weights);
    let other_result = with_other.weighted(&deployment.weights);
    vec![
        row("urgent latency in a flood", own.urgent, with_other.urgent),
        row("containment of a bad version", own.exposure, with_other.exposure),
        row("service kept in a flood", own.flood, with_other.flood),
        Row::new(name, "weighted result", result, "score", Bound::AtLeast(other_result))
            .with_baseline("the other deployment's weights", other_result),
    ]
}
