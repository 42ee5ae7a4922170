//! Each deployment's measures under its own weights and under the other deployment's.

use hickoryreel_base::bundle::Weights;
use hickoryreel_base::rank::Rank;

use crate::row::Bound;
use crate::row::Row;
use crate::scenario::rollout;
use crate::setup::Deployment;
use crate::setup::PARTS;
use crate::setup::Policy;
use crate::setup::Setup;
use crate::setup::TARGETS;
use crate::setup::auction;
use crate::setup::registry;
use crate::sim;

/// Seconds of arrivals, and start and end of the flood.
const LENGTH_S: u64 = 60;
const FLOOD_S: (u64, u64) = (10, 55);
const STEADY_S: f64 = 20.0;

/// The three measures that the weights apply to, each as a score: the part of the
/// target that the first token p95 of urgent work leaves, times the share within the target; the
/// worst exposure to a bad version against its bound; and the service of the other ranks against
/// the capacity that urgent work leaves. The last is not cut off at 1, or the weights would make no
/// difference to it.
#[derive(Clone, Copy, Debug)]
struct Scores {
    urgent: f64,
    exposure: f64,
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
    for (rank, part) in Rank::ALL.into_iter().zip([0.4, 0.3, 0.25]) {
        setup = setup.arrivals(rank, part * capacity, &PARTS, None);
    }
    let setup = setup.surge(Rank::Bulk, FLOOD_S.0, FLOOD_S.1, 20.0);
    let outcome = sim::run(&setup);
    let (from, to) = (STEADY_S, FLOOD_S.1 as f64);
    let served = outcome.served_rate(from, to, |record| record.rank != Rank::Urgent);
    let first = outcome.first_token(Rank::Urgent, from, to, 0.95);
    let target = TARGETS[0].as_secs_f64();
    let tuned = Deployment { weights: *weights, ..deployment.clone() };
    let exposed = rollout::worst_exposure(&tuned, seed);
    Scores {
        urgent: outcome.within_target(Rank::Urgent, from, to) * (1.0 - first / target).max(0.0),
        exposure: 1.0 / (1.0 + exposed / rollout::EXPOSED),
        flood: served / (0.6 * capacity),
    }
}

/// The rows of the scenario.
pub(crate) fn rows(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let other = [registry(), auction()].into_iter().find(|d| d.name != deployment.name);
    let other = other.map_or(Weights::default(), |other| other.weights);
    let own = measure(deployment, &deployment.weights, seed);
    let foreign = measure(deployment, &other, seed);
    let row = |label: &str, own: f64, foreign: f64| {
        Row::new(name, label, own, "score", None).against("the other deployment's weights", foreign)
    };
    let result = own.weighted(&deployment.weights);
    let foreign_result = foreign.weighted(&deployment.weights);
    vec![
        row("urgent latency in a flood", own.urgent, foreign.urgent),
        row("containment of a bad version", own.exposure, foreign.exposure),
        row("service kept in a flood", own.flood, foreign.flood),
        Row::new(name, "weighted result", result, "score", Bound::AtLeast(foreign_result))
            .against("the other deployment's weights", foreign_result),
    ]
}
