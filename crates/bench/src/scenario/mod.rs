//! Scenarios. Each one turns a deployment and a seed into rows.

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

/// Name of a scenario and the function that measures it.
type Scenario = (&'static str, fn(&str, &Deployment, u64) -> Vec<Row>);

/// Scenarios in the order of the table on the design page, then the faults and the weights.
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

/// Returns the full names of all scenarios, such as `registry/bulk-flood`.
pub fn names() -> Vec<String> {
    let deployments = [registry(), auction()];
    let names_of = |deployment: &Deployment| {
        let name = deployment.name;
        SCENARIOS.iter().map(move |(scenario, _)| format!("{name}/{scenario}")).collect::<Vec<_>>()
    };
    deployments.iter().flat_map(names_of).collect()
}

/// Runs the scenarios whose full name or plain name is `wanted`, or all scenarios if it is `None`.
/// Passes the rows of each scenario to `emit` as soon as the scenario ends.
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
