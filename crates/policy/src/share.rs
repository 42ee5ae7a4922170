//! What each workspace and each entry is owed when demand exceeds capacity.
//!
//! The entries exchange a digest of their demand. From the sum every entry computes the same
//! max-min fair division of the capacity over ranks and workspaces, and from it its own share.

use std::collections::BTreeMap;

use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;

/// Demand by rank and workspace, in slots (seconds of slot time wanted per second).
pub type Demand = BTreeMap<(Rank, Workspace), f64>;

/// Division of `capacity` over ranks and workspaces.
///
/// Each rank first receives its floor, as far as it has demand; the rest goes to the ranks in
/// order. Inside a rank the division is weighted max-min fair.
pub fn divide(
    capacity: f64,
    floors: &[f64; 3],
    weight: &dyn Fn(&Workspace) -> f64,
    demand: &Demand,
) -> Demand {
    let wanted = Rank::ALL.map(|rank| ranked(demand, rank).map(|(_, want)| want).sum::<f64>());
    let mut granted = [0.0; 3];
    for (index, grant) in granted.iter_mut().enumerate() {
        *grant = wanted[index].min(floors[index] * capacity);
    }
    let mut left = capacity - granted.iter().sum::<f64>();
    for (index, grant) in granted.iter_mut().enumerate() {
        let more = (wanted[index] - *grant).min(left).max(0.0);
        *grant += more;
        left -= more;
    }
    let mut result = Demand::new();
    for rank in Rank::ALL {
        let wants: Vec<_> = ranked(demand, rank).collect();
        let grants = max_min(granted[rank.index()], &wants, weight);
        for ((workspace, _), grant) in wants.iter().zip(grants) {
            result.insert((rank, (*workspace).clone()), grant);
        }
    }
    result
}

fn ranked(demand: &Demand, rank: Rank) -> impl Iterator<Item = (&Workspace, f64)> {
    demand.iter().filter(move |((r, _), _)| *r == rank).map(|((_, w), want)| (w, *want))
}

/// Weighted max-min fair division: nobody receives more than wanted, and what one does not need is
/// divided among the others by weight.
fn max_min(
    capacity: f64,
    wants: &[(&Workspace, f64)],
    weight: &dyn Fn(&Workspace) -> f64,
) -> Vec<f64> {
    let weights: Vec<f64> = wants.iter().map(|(w, _)| weight(w).max(f64::EPSILON)).collect();
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| (wants[*a].1 / weights[*a]).total_cmp(&(wants[*b].1 / weights[*b])));
    let mut left = capacity;
    let mut left_weight: f64 = weights.iter().sum();
    let mut grants = vec![0.0; wants.len()];
    for index in order {
        grants[index] = wants[index].1.min(left * weights[index] / left_weight).max(0.0);
        left -= grants[index];
        left_weight = (left_weight - weights[index]).max(f64::EPSILON);
    }
    grants
}

/// Share of the whole grant that falls to the demand `own` of one entry, 0 to 1. `own` has to be
/// the entry's part of the same `total`.
pub fn of_entry(own: &Demand, total: &Demand, grants: &Demand) -> f64 {
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
