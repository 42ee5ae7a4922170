//! Requests: Poisson arrivals per workspace and rank, with sizes, prefixes and difficulty.

use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Task;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

/// Tokens of the prefix that all requests of a workspace share.
const WORKSPACE_PREFIX: u32 = 300;
/// Tokens of the prefix that all requests of a session share, the workspace's included.
const SESSION_PREFIX: u32 = 500;
/// Least and most prompt tokens after the prefixes.
const PROMPT_REST: (u32, u32) = (50, 250);
/// Sessions of each workspace.
const SESSIONS: u32 = 40;
/// Mean, least and most output tokens.
const OUTPUT: (f64, u32, u32) = (100.0, 8, 400);
/// Standard deviation of the logarithm of the output tokens.
const OUTPUT_SPREAD: f64 = 0.5;

/// Most factor between the output length and the limit that the caller states.
const OUTPUT_SLACK: f64 = 1.5;
/// Model name of the plain services.
pub const SERVICE_MODEL: &str = "ledger";

/// Task kinds: name, share of the requests, probability that the small model suffices.
pub const TASKS: [(&str, f64, f64); 4] =
    [("lookup", 0.40, 0.98), ("summary", 0.25, 0.90), ("draft", 0.25, 0.55), ("legal", 0.10, 0.15)];
/// Probability that the large model meets the quality bar.
pub const LARGE_GOOD: f64 = 0.985;
/// Probability that the check at run time accepts a good and a bad answer.
pub const CHECK: (f64, f64) = (0.93, 0.12);

/// Arrivals of one workspace and rank.
#[derive(Clone, Debug)]
pub struct Stream {
    /// Workspace.
    pub workspace: Workspace,
    /// Rank.
    pub rank: Rank,
    /// Requests per second.
    pub rate: f64,
    /// Amplitude of the variation over the run, 0 to 1.
    pub swing: f64,
    /// Factor on the rate in a window of time.
    pub surges: Vec<(Duration, Duration, f64)>,
    /// Weight of each entry in the load balancing.
    pub entries: Vec<f64>,
    /// The model that the requests name; without one the planner chooses.
    pub model: Option<Model>,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Request id.
    pub id: name::Request,
    /// Workspace.
    pub workspace: Workspace,
    /// Rank.
    pub rank: Rank,
    /// Entry that receives it.
    pub entry: usize,
    /// The model that it names.
    pub model: Option<Model>,
    /// Task kind.
    pub task: Task,
    /// Prompt length.
    pub prompt: u32,
    /// Output length.
    pub output: u32,
    /// Output length that the caller asked for at most.
    pub output_limit: u32,
    /// Whether it may run twice.
    pub repeatable: bool,
    /// Hash and length of the prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
    /// Whether the small and the large model meet the quality bar.
    pub good: [bool; 2],
    /// Whether the check accepts the answers of the two models.
    pub accepted: [bool; 2],
}

impl Stream {
    /// Rate at `now`.
    pub fn rate_at(&self, now: Duration, length: Duration) -> f64 {
        let phase = std::f64::consts::TAU * now.as_secs_f64() / length.as_secs_f64();
        let surge: f64 = self
            .surges
            .iter()
            .filter(|(from, to, _)| (*from..*to).contains(&now))
            .map(|(_, _, factor)| factor)
            .product();
        self.rate * (1.0 - self.swing * phase.cos()) * surge
    }

    /// Time to the next candidate arrival at the highest rate, and the highest rate, for thinning.
    pub fn next_gap(&self, random: &mut dyn Rng) -> (Duration, f64) {
        let surge = self.surges.iter().map(|(_, _, factor)| *factor).fold(1.0, f64::max);
        let highest = self.rate * (1.0 + self.swing) * surge;
        let gap = -(1.0 - random.random::<f64>()).ln() / highest;
        (Duration::from_secs_f64(gap.min(1e6)), highest)
    }

    /// Draws a request.
    pub fn draw(&self, index: usize, random: &mut dyn Rng) -> Request {
        if self.model.as_ref().is_some_and(|model| **model == *SERVICE_MODEL) {
            return self.draw_call(index, random);
        }
        let session = random.random_range(0..SESSIONS);
        let (task, small) = draw_task(random);
        let good = [random.random_bool(small), random.random_bool(LARGE_GOOD)];
        let accepted = good.map(|good| random.random_bool(if good { CHECK.0 } else { CHECK.1 }));
        let workspace_hash = xxh3_64(self.workspace.as_bytes());
        let session_hash = xxh3_64(format!("{}/{session}", self.workspace).as_bytes());
        let output = draw_output(random);
        let slack: f64 = random.random_range(1.0..OUTPUT_SLACK);
        Request {
            id: name::Request::from(format!("r{index}")),
            workspace: self.workspace.clone(),
            rank: self.rank,
            entry: weighted(&self.entries, random),
            model: self.model.clone(),
            task,
            prompt: SESSION_PREFIX + random.random_range(PROMPT_REST.0..PROMPT_REST.1),
            output,
            output_limit: (f64::from(output) * slack).ceil() as u32,
            repeatable: true,
            prefixes: vec![(session_hash, SESSION_PREFIX), (workspace_hash, WORKSPACE_PREFIX)],
            good,
            accepted,
        }
    }
}

impl Stream {
    /// A call to a plain service; half of them may not be repeated.
    fn draw_call(&self, index: usize, random: &mut dyn Rng) -> Request {
        Request {
            id: name::Request::from(format!("r{index}")),
            workspace: self.workspace.clone(),
            rank: self.rank,
            entry: weighted(&self.entries, random),
            model: self.model.clone(),
            task: Task::from(SERVICE_MODEL),
            prompt: 1,
            output: 1,
            output_limit: 1,
            repeatable: random.random_bool(0.5),
            prefixes: Vec::new(),
            good: [true; 2],
            accepted: [true; 2],
        }
    }
}

/// Mean prompt tokens that are not in the workspace's prefix.
pub fn mean_missing() -> f64 {
    f64::from(SESSION_PREFIX - WORKSPACE_PREFIX) + f64::from(PROMPT_REST.0 + PROMPT_REST.1) / 2.0
}

/// Mean output tokens.
pub fn mean_output() -> f64 {
    OUTPUT.0
}

fn draw_task(random: &mut dyn Rng) -> (Task, f64) {
    let mut point: f64 = random.random();
    for (task, share, small) in TASKS {
        if point < share {
            return (Task::from(task), small);
        }
        point -= share;
    }
    (Task::from(TASKS[0].0), TASKS[0].2)
}

fn draw_output(random: &mut dyn Rng) -> u32 {
    // Box-Muller; the mean of the lognormal is OUTPUT.0.
    let (a, b): (f64, f64) = (1.0 - random.random::<f64>(), random.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let mean = OUTPUT.0.ln() - 0.5 * OUTPUT_SPREAD * OUTPUT_SPREAD;
    ((mean + OUTPUT_SPREAD * normal).exp().round() as u32).clamp(OUTPUT.1, OUTPUT.2)
}

fn weighted(weights: &[f64], random: &mut dyn Rng) -> usize {
    let mut point = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}
