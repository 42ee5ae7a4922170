//! The scenarios. Each turns a deployment and a seed into rows.

mod deployments;
mod failure;
mod faults;
mod flood;
mod ordinary;
mod rollout;
mod workspaces;

use crate::row::Row;
use crate::setup::Deployment;
use crate::setup::auction;
use crate::setup::registry;

/// A scenario: its name and what measures it.
type Scenario = (&'static str, fn(&str, &Deployment, u64) -> Vec<Row>);

/// Scenarios in the order of the design page's table, then the faults and the weights.
const SCENARIOS: &[Scenario] = &[
    ("ordinary-day", ordinary::rows),
    ("bulk-flood", flood::bulk),
    ("urgent-flood", flood::urgent),
    ("large-workspace", workspaces::large),
    ("large-workspace-uneven", workspaces::uneven),
    ("bad-version", rollout::bad),
    ("healthy-version", rollout::healthy),
    ("half-pool-lost", failure::half_pool),
    ("region-cut", failure::region_cut),
    ("slow-engine", failure::slow_engine),
    ("late-reports", failure::late_reports),
    ("faults", faults::rows),
    ("weights", deployments::rows),
];

/// Full names of all scenarios.
pub fn names() -> Vec<String> {
    let both = [registry(), auction()];
    let of = |deployment: &Deployment| {
        let name = deployment.name;
        SCENARIOS.iter().map(move |(scenario, _)| format!("{name}/{scenario}")).collect::<Vec<_>>()
    };
    both.iter().flat_map(of).collect()
}

/// Runs the scenarios whose full name is `wanted` or ends in it; all when there is no name. Rows
/// are handed to `emit` as soon as they are known.
pub fn run(seed: u64, wanted: Option<&str>, emit: &mut dyn FnMut(Row)) {
    for deployment in [registry(), auction()] {
        for (scenario, measure) in SCENARIOS {
            let name = format!("{}/{scenario}", deployment.name);
            let selected = wanted.is_none_or(|wanted| name == wanted || *scenario == wanted);
            if selected {
                measure(&name, &deployment, seed).into_iter().for_each(&mut *emit);
            }
        }
    }
}
