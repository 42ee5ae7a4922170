//! Floods of bulk and of urgent requests.

use hickoryreel_base::rank::Rank;
use hickoryreel_policy::queue;
use hickoryreel_policy::share;
use hickoryreel_policy::share::Demand;

use crate::outcome::Outcome;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::BaselinePolicy;
use crate::setup::Deployment;
use crate::setup::Setup;
use crate::setup::WORKSPACE_SHARES;
use crate::setup::workspace;
use crate::sim;

/// Seconds during which requests arrive, and start and end of the flood.
const LENGTH_S: u64 = 60;
const FLOOD_S: (u64, u64) = (10, 55);
/// Start of the window in which served shares are measured, when the queues have filled.
const STEADY_START_S: f64 = 20.0;

/// Demand of a run with a flood.
struct Load {
    /// Demand of each rank outside the flood, relative to the capacity.
    base_load: [f64; 3],
    flooding_rank: Rank,
    /// Factor applied to the demand of the flooding rank during the flood.
    factor: f64,
}

impl Load {
    fn setup(&self, deployment: &Deployment, seed: u64) -> Setup {
        let mut setup = Setup::one_model(deployment, seed, LENGTH_S);
        let capacity = setup.capacity();
        for rank in Rank::ALL {
            setup = setup.arrivals(
                rank,
                self.base_load[rank.index()] * capacity,
                &WORKSPACE_SHARES,
                None,
            );
        }
        setup.surge(self.flooding_rank, FLOOD_S.0, FLOOD_S.1, self.factor)
    }
}

/// Returns the rate that each rank is entitled to in the steady window, in requests per second: its
/// allocation of the capacity under the demand that arrived in the window.
fn entitled_rates(outcome: &Outcome, capacity: f64) -> [f64; 3] {
    let floors = queue::Settings::default().floors;
    let (from, to) = (STEADY_START_S, FLOOD_S.1 as f64);
    let rate = |rank| outcome.window(rank, from, to).count() as f64 / (to - from);
    let demand: Demand = Rank::ALL.map(|rank| ((rank, workspace(0)), rate(rank))).into();
    let granted = share::allocate(capacity, &floors, &|_| 1.0, &demand);
    Rank::ALL.map(|rank| granted[&(rank, workspace(0))])
}

/// Flood of bulk requests at 10 times the capacity.
pub(crate) fn bulk(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let load = Load { base_load: [0.25, 0.3, 0.2], flooding_rank: Rank::Bulk, factor: 50.0 };
    let setup = load.setup(deployment, seed);
    let capacity = setup.capacity();
    let measured = sim::run(&setup);
    let arrival_order = sim::run(&setup.under_baseline(BaselinePolicy::ArrivalOrder));
    let urgent =
        |outcome: &Outcome| outcome.within_target(Rank::Urgent, FLOOD_S.0 as f64, FLOOD_S.1 as f64);
    let other_ranks = |outcome: &Outcome| {
        let entitled = entitled_rates(outcome, capacity);
        served_share(outcome, Rank::Normal, entitled).min(served_share(
            outcome,
            Rank::Bulk,
            entitled,
        ))
    };
    vec![
        Row::new(name, "urgent within target", urgent(&measured), "share", Bound::AtLeast(0.995))
            .with_baseline("arrival order", urgent(&arrival_order)),
        Row::new(
            name,
            "other ranks' served share of what they are owed",
            other_ranks(&measured),
            "share",
            Bound::AtLeast(0.95),
        )
        .with_baseline("arrival order", other_ranks(&arrival_order)),
    ]
}

/// Flood of urgent requests at 5 times the capacity.
pub(crate) fn urgent(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let load = Load { base_load: [0.25, 0.3, 0.3], flooding_rank: Rank::Urgent, factor: 20.0 };
    let setup = load.setup(deployment, seed);
    let capacity = setup.capacity();
    let floors = queue::Settings::default().floors.map(|floor| floor * capacity);
    let urgent_capacity = capacity - floors[1] - floors[2];
    let measured = sim::run(&setup);
    let arrival_order = sim::run(&setup.under_baseline(BaselinePolicy::ArrivalOrder));
    let lower_ranks = |outcome: &Outcome| {
        served_share(outcome, Rank::Normal, floors).min(served_share(outcome, Rank::Bulk, floors))
    };
    let goodput = |outcome: &Outcome| {
        outcome.goodput(Rank::Urgent, STEADY_START_S, FLOOD_S.1 as f64) / urgent_capacity
    };
    vec![
        Row::new(
            name,
            "lower ranks' served share of their floors",
            lower_ranks(&measured),
            "share",
            Bound::AtLeast(0.95),
        )
        .with_baseline("arrival order", lower_ranks(&arrival_order)),
        Row::new(
            name,
            "urgent goodput against the capacity left to it",
            goodput(&measured),
            "share",
            Bound::AtLeast(0.95),
        )
        .with_baseline("arrival order", goodput(&arrival_order)),
    ]
}

fn served_share(outcome: &Outcome, rank: Rank, entitled: [f64; 3]) -> f64 {
    let rate = outcome.served_rate(STEADY_START_S, FLOOD_S.1 as f64, |record| record.rank == rank);
    (rate / entitled[rank.index()]).min(1.0)
}
