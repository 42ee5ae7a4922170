//! Plan of a run: all arrivals with their times, generated in advance from a seed.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::mix::Kind;
use crate::mix::Mix;

/// Settings of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the random number generator. The same settings and seed give the same plan.
    pub seed: u64,
    /// Mean requests per second, without the flood.
    pub rate: f64,
    /// Length of the run.
    pub length: Duration,
    /// Number of workspaces to send as, at most those of the mix.
    pub workspaces: usize,
    /// Higher rate of one rank in the middle third of the run.
    pub flood: Option<Flood>,
}

impl Default for Settings {
    fn default() -> Self {
        Self { seed: 1, rate: 20.0, length: Duration::from_secs(10), workspaces: 1, flood: None }
    }
}

/// Raised rate of one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    pub rank: Rank,
    /// Multiple of the ordinary rate of the rank, at least 1.
    pub factor: f64,
}

impl std::str::FromStr for Flood {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (rank, factor) = text.split_once(':').ok_or("expected RANK:FACTOR")?;
        let factor: f64 = factor.parse().map_err(|_| format!("{factor:?} is not a number"))?;
        if !(factor.is_finite() && factor >= 1.0) {
            return Err(format!("factor {factor} is below 1"));
        }
        Ok(Self { rank: rank.parse()?, factor })
    }
}

/// One planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run.
    pub at: Duration,
    pub kind: Kind,
    /// Index of the workspace in the weights of the mix.
    pub workspace: usize,
    /// Position in the plan; unique within the run.
    pub number: u64,
    /// Number of the session within the workspace.
    pub session: u32,
}

/// Number of sessions that the requests of a workspace are spread over.
const SESSIONS_PER_WORKSPACE: u32 = 20;

/// Generates the arrivals of a run, in order of time.
#[must_use]
pub fn arrivals(mix: &Mix, settings: &Settings) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(settings.seed);
    let total_weight: f64 = mix.kinds.iter().map(|kind| kind.weight).sum();
    let mut arrivals = Vec::new();
    for kind in &mix.kinds {
        let rate = settings.rate * kind.weight / total_weight;
        let whole_run = (Duration::ZERO, settings.length);
        poisson(&mut rng, rate, whole_run, |rng, at| {
            arrivals.push(arrival(rng, mix, settings, *kind, at));
        });
        if let Some(flood) = settings.flood.filter(|flood| flood.rank == kind.rank) {
            let middle_third = (settings.length / 3, settings.length * 2 / 3);
            poisson(&mut rng, rate * (flood.factor - 1.0), middle_third, |rng, at| {
                arrivals.push(arrival(rng, mix, settings, *kind, at));
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (arrival, number) in arrivals.iter_mut().zip(0..) {
        arrival.number = number;
    }
    arrivals
}

/// Calls `on_arrival` for every arrival of a Poisson process with `rate` arrivals per second between
/// two times.
fn poisson<R: Rng>(
    rng: &mut R,
    rate: f64,
    (from, to): (Duration, Duration),
    mut on_arrival: impl FnMut(&mut R, Duration),
) {
    let mut at = from;
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / rate;
        // A rate of zero gives no finite gap, so there are no arrivals.
        let Ok(gap) = Duration::try_from_secs_f64(gap) else { return };
        at = at.saturating_add(gap);
        if at >= to {
            return;
        }
        on_arrival(rng, at);
    }
}

fn arrival(
    rng: &mut impl Rng,
    mix: &Mix,
    settings: &Settings,
    kind: Kind,
    at: Duration,
) -> Arrival {
    let weights = &mix.workspace_weights[..settings.workspaces.min(mix.workspace_weights.len())];
    let mut remaining = rng.random::<f64>() * weights.iter().sum::<f64>();
    let position = weights.iter().position(|weight| {
        remaining -= weight;
        remaining < 0.0
    });
    let workspace = position.unwrap_or(0);
    Arrival { at, kind, workspace, number: 0, session: rng.random_range(0..SESSIONS_PER_WORKSPACE) }
}
