//! Floods of the least urgent and of the most urgent work.

use hickoryreel_base::rank::Rank;
use hickoryreel_policy::queue;
use hickoryreel_policy::share;
use hickoryreel_policy::share::Demand;

use crate::outcome::Outcome;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::Deployment;
use crate::setup::PARTS;
use crate::setup::Plain;
use crate::setup::Setup;
use crate::setup::workspace;
use crate::sim;

/// Seconds of arrivals, and start and end of the flood.
const LENGTH_S: u64 = 60;
const FLOOD_S: (u64, u64) = (10, 55);
/// Start of the window in which served shares are measured: the queues have filled by then.
const STEADY_S: f64 = 20.0;

/// Demand of each rank outside and inside the flood, as part of the capacity.
struct Load {
    usual: [f64; 3],
    flooded: Rank,
    factor: f64,
}

impl Load {
    fn setup(&self, deployment: &Deployment, seed: u64) -> Setup {
        let mut setup = Setup::one_model(deployment, seed, LENGTH_S);
        let capacity = setup.capacity();
        for rank in Rank::ALL {
            setup = setup.arrivals(rank, self.usual[rank.index()] * capacity, &PARTS, None);
        }
        setup.surge(self.flooded, FLOOD_S.0, FLOOD_S.1, self.factor)
    }
}

/// What each rank is owed in the steady window, in requests per second: the division of the
/// capacity for the demand that arrived there.
fn owed(outcome: &Outcome, capacity: f64) -> [f64; 3] {
    let floors = queue::Settings::default().floors;
    let (from, to) = (STEADY_S, FLOOD_S.1 as f64);
    let rate = |rank| outcome.window(rank, from, to).count() as f64 / (to - from);
    let demand: Demand = Rank::ALL.map(|rank| ((rank, workspace(0)), rate(rank))).into();
    let granted = share::allocate(capacity, &floors, &|_| 1.0, &demand);
    Rank::ALL.map(|rank| granted[&(rank, workspace(0))])
}

/// Flood of bulk work, 10 times the capacity.
pub(crate) fn bulk(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let load = Load { usual: [0.25, 0.3, 0.2], flooded: Rank::Bulk, factor: 50.0 };
    let setup = load.setup(deployment, seed);
    let capacity = setup.capacity();
    let ours = sim::run(&setup);
    let arrival = sim::run(&setup.under(Plain::ArrivalOrder));
    let urgent = |o: &Outcome| o.within_target(Rank::Urgent, FLOOD_S.0 as f64, FLOOD_S.1 as f64);
    let others = |o: &Outcome| {
        let owed = owed(o, capacity);
        served_share(o, Rank::Normal, owed).min(served_share(o, Rank::Bulk, owed))
    };
    vec![
        Row::new(name, "urgent within target", urgent(&ours), "share", Bound::AtLeast(0.995))
            .against("arrival order", urgent(&arrival)),
        Row::new(
            name,
            "other ranks' served share of what they are owed",
            others(&ours),
            "share",
            Bound::AtLeast(0.95),
        )
        .against("arrival order", others(&arrival)),
    ]
}

/// Flood of urgent work, 5 times the capacity.
pub(crate) fn urgent(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let load = Load { usual: [0.25, 0.3, 0.3], flooded: Rank::Urgent, factor: 20.0 };
    let setup = load.setup(deployment, seed);
    let capacity = setup.capacity();
    let floors = queue::Settings::default().floors.map(|floor| floor * capacity);
    let left = capacity - floors[1] - floors[2];
    let ours = sim::run(&setup);
    let arrival = sim::run(&setup.under(Plain::ArrivalOrder));
    let lower = |o: &Outcome| {
        served_share(o, Rank::Normal, floors).min(served_share(o, Rank::Bulk, floors))
    };
    let goodput = |o: &Outcome| o.goodput(Rank::Urgent, STEADY_S, FLOOD_S.1 as f64) / left;
    vec![
        Row::new(
            name,
            "lower ranks' served share of their floors",
            lower(&ours),
            "share",
            Bound::AtLeast(0.95),
        )
        .against("arrival order", lower(&arrival)),
        Row::new(
            name,
            "urgent goodput against the capacity left to it",
            goodput(&ours),
            "share",
            Bound::AtLeast(0.95),
        )
        .against("arrival order", goodput(&arrival)),
    ]
}

fn served_share(outcome: &Outcome, rank: Rank, owed: [f64; 3]) -> f64 {
    let rate = outcome.served_rate(STEADY_S, FLOOD_S.1 as f64, |record| record.rank == rank);
    (rate / owed[rank.index()]).min(1.0)
}
