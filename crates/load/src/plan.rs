//! The plan of a run: every arrival with its time, drawn ahead from a seed.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::mix::Kind;
use crate::mix::Mix;

/// Settings of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Seed of the plan.
    pub seed: u64,
    /// Mean requests a second, floods not counted.
    pub rate: f64,
    /// Length of the run.
    pub length: Duration,
    /// Number of workspaces that have a key.
    pub workspaces: usize,
    /// Additional requests of one rank in the middle third of the run.
    pub flood: Option<Flood>,
}

impl Default for Settings {
    fn default() -> Self {
        Self { seed: 1, rate: 20.0, length: Duration::from_secs(10), workspaces: 1, flood: None }
    }
}

/// A flood of one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Flood {
    /// The rank that floods in.
    pub rank: Rank,
    /// Multiple of the rank's ordinary rate.
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
    /// What is asked for.
    pub kind: Kind,
    /// Position of the workspace.
    pub workspace: usize,
    /// Number that sets this request apart from all others of the run.
    pub number: u64,
    /// Session within the workspace.
    pub session: u32,
}

/// Sessions a workspace has at a time.
const SESSIONS: u32 = 20;

/// Draws the arrivals of a run, in order of time.
#[must_use]
pub fn arrivals(mix: &Mix, settings: &Settings) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let total: f64 = mix.kinds.iter().map(|kind| kind.weight).sum();
    let mut arrivals = Vec::new();
    for kind in &mix.kinds {
        let rate = settings.rate * kind.weight / total;
        let whole = (Duration::ZERO, settings.length);
        poisson(&mut random, rate, whole, |random, at| {
            arrivals.push(arrival(random, mix, settings, *kind, at));
        });
        if let Some(flood) = settings.flood.filter(|flood| flood.rank == kind.rank) {
            let middle = (settings.length / 3, settings.length * 2 / 3);
            poisson(&mut random, rate * (flood.factor - 1.0), middle, |random, at| {
                arrivals.push(arrival(random, mix, settings, *kind, at));
            });
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    for (arrival, number) in arrivals.iter_mut().zip(0..) {
        arrival.number = number;
    }
    arrivals
}

/// Calls `each` for the arrivals of a Poisson process with `rate` a second between two times.
fn poisson<R: Rng>(
    random: &mut R,
    rate: f64,
    (from, to): (Duration, Duration),
    mut each: impl FnMut(&mut R, Duration),
) {
    let mut at = from;
    loop {
        let gap = -(1.0 - random.random::<f64>()).ln() / rate;
        // A rate of zero gives no arrival at all.
        let Ok(gap) = Duration::try_from_secs_f64(gap) else { return };
        at = at.saturating_add(gap);
        if at >= to {
            return;
        }
        each(random, at);
    }
}

fn arrival(
    random: &mut impl Rng,
    mix: &Mix,
    settings: &Settings,
    kind: Kind,
    at: Duration,
) -> Arrival {
    let weights = &mix.workspace_weights[..settings.workspaces.min(mix.workspace_weights.len())];
    let mut point = random.random::<f64>() * weights.iter().sum::<f64>();
    let chosen = weights.iter().position(|weight| {
        point -= weight;
        point < 0.0
    });
    let workspace = chosen.unwrap_or(0);
    Arrival { at, kind, workspace, number: 0, session: random.random_range(0..SESSIONS) }
}
