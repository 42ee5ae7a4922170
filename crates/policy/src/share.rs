//! Fair allocation of capacity to workspaces and entries when demand exceeds it.
//!
//! The entries exchange a digest of their demand. From the total every entry computes the same
//! max-min fair allocation of the capacity to ranks and workspaces, and from that its own share.

use std::collections::BTreeMap;

use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

/// Demand or grant by rank and workspace, in slots (slot-seconds per second).
pub type Demand = BTreeMap<(Rank, Workspace), f64>;

/// Allocates `capacity` to ranks and workspaces.
///
/// Each rank first receives its floor, as far as it has demand. The remaining capacity goes to the
/// ranks in order, most urgent first. Within a rank the allocation is weighted max-min fair.
pub fn allocate(
    capacity: f64,
    floors: &[f64; 3],
    weight: &dyn Fn(&Workspace) -> f64,
    demand: &Demand,
) -> Demand {
    let demanded_by_rank =
        Rank::ALL.map(|rank| of_rank(demand, rank).map(|(_, demanded)| demanded).sum::<f64>());
    let mut granted = [0.0; 3];
    for (index, grant) in granted.iter_mut().enumerate() {
        *grant = demanded_by_rank[index].min(floors[index] * capacity);
    }
    let mut remaining = capacity - granted.iter().sum::<f64>();
    for (index, grant) in granted.iter_mut().enumerate() {
        let extra = (demanded_by_rank[index] - *grant).min(remaining).max(0.0);
        *grant += extra;
        remaining -= extra;
    }
    let mut result = Demand::new();
    for rank in Rank::ALL {
        let demands: Vec<_> = of_rank(demand, rank).collect();
        let grants = max_min_fair(granted[rank.index()], &demands, weight);
        for ((workspace, _), grant) in demands.iter().zip(grants) {
            result.insert((rank, (*workspace).clone()), grant);
        }
    }
    result
}

fn of_rank(demand: &Demand, rank: Rank) -> impl Iterator<Item = (&Workspace, f64)> {
    demand
        .iter()
        .filter(move |((other, _), _)| *other == rank)
        .map(|((_, workspace), demanded)| (workspace, *demanded))
}

/// Weighted max-min fair allocation: no workspace receives more than its demand, and unused
/// capacity is distributed among the others by weight.
fn max_min_fair(
    capacity: f64,
    demands: &[(&Workspace, f64)],
    weight: &dyn Fn(&Workspace) -> f64,
) -> Vec<f64> {
    let weights: Vec<f64> =
        demands.iter().map(|(workspace, _)| weight(workspace).max(f64::EPSILON)).collect();
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| (demands[*a].1 / weights[*a]).total_cmp(&(demands[*b].1 / weights[*b])));
    let mut remaining = capacity;
    let mut remaining_weight: f64 = weights.iter().sum();
    let mut grants = vec![0.0; demands.len()];
    for index in order {
        grants[index] =
            demands[index].1.min(remaining * weights[index] / remaining_weight).max(0.0);
        remaining -= grants[index];
        remaining_weight = (remaining_weight - weights[index]).max(f64::EPSILON);
    }
    grants
}

/// Share of all `grants` that is due to one entry with demand `own`, 0 to 1. `own` must be the
/// entry's part of the same `total`.
pub fn entry_share(own: &Demand, total: &Demand, grants: &Demand) -> f64 {
    let sum: f64 = grants.values().sum();
    if sum <= 0.0 {
        return 0.0;
    }
    let part = |(key, grant): (&(Rank, Workspace), &f64)| {
        let (own, total) = (own.get(key), total.get(key));
        own.zip(total).map_or(0.0, |(own, total)| grant * own / total.max(f64::EPSILON))
    };
    grants.iter().map(part).sum::<f64>() / sum
}
