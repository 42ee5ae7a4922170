//! Workload: Poisson arrivals for each workspace and rank, with sizes, prefixes and difficulty of
//! the requests.

use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Task;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

/// Length of the prefix that all requests of a workspace share.
const WORKSPACE_PREFIX_TOKENS: u32 = 300;
/// Length of the prefix that all requests of a session share, including the prefix of the
/// workspace.
const SESSION_PREFIX_TOKENS: u32 = 500;
/// Range of the prompt length after the prefixes.
const PROMPT_SUFFIX_TOKENS: (u32, u32) = (50, 250);
const SESSIONS_PER_WORKSPACE: u32 = 40;
/// Mean, minimum and maximum of the output length.
const OUTPUT_TOKENS: (f64, u32, u32) = (100.0, 8, 400);
/// Standard deviation of the logarithm of the output length.
const OUTPUT_LOG_STD_DEV: f64 = 0.5;

/// Largest ratio of the output limit stated by the caller to the output length.
const MAX_OUTPUT_SLACK: f64 = 1.5;
/// Name under which the plain service is modelled as a model.
pub const SERVICE_MODEL: &str = "ledger";

/// Task kinds: name, share of the requests, probability that the small model meets the quality bar.
pub const TASKS: [(&str, f64, f64); 4] =
    [("lookup", 0.40, 0.98), ("summary", 0.25, 0.90), ("draft", 0.25, 0.55), ("legal", 0.10, 0.15)];
/// Probability that the large model meets the quality bar.
pub const LARGE_MODEL_GOOD: f64 = 0.985;
/// Probabilities that the run-time check accepts a good and a bad answer.
pub const CHECK_ACCEPTANCE: (f64, f64) = (0.93, 0.12);

/// Arrival process of one workspace and rank.
#[derive(Clone, Debug)]
pub struct Stream {
    pub workspace: Workspace,
    pub rank: Rank,
    /// Mean arrival rate, in requests per second.
    pub rate: f64,
    /// Relative amplitude of the sinusoidal variation over the run, from 0 to 1.
    pub swing: f64,
    /// Start and end of a window of time, and the factor applied to the rate within it.
    pub surges: Vec<(Duration, Duration, f64)>,
    /// Weights by which requests are distributed over the entries.
    pub entries: Vec<f64>,
    /// Model that the requests name; if absent, the planner chooses one.
    pub model: Option<Model>,
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: name::Request,
    pub workspace: Workspace,
    pub rank: Rank,
    /// Index of the entry that receives the request.
    pub entry: usize,
    /// Model that the request names; if absent, the planner chooses one.
    pub model: Option<Model>,
    pub task: Task,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
    /// Output limit that the caller states.
    pub max_output_tokens: u32,
    /// Whether the request may be retried after a failure.
    pub retryable: bool,
    /// Hash and length in tokens of the prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
    /// Whether the answers of the small and the large model meet the quality bar.
    pub good: [bool; 2],
    /// Whether the run-time check accepts the answers of the small and the large model.
    pub accepted: [bool; 2],
}

impl Stream {
    /// Returns the arrival rate at `now` in a run of length `length`.
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

    /// Returns the time to the next candidate arrival at the highest rate, and that rate. The
    /// caller thins the candidates to the current rate.
    pub fn next_gap(&self, rng: &mut dyn Rng) -> (Duration, f64) {
        let surge = self.surges.iter().map(|(_, _, factor)| *factor).fold(1.0, f64::max);
        let highest = self.rate * (1.0 + self.swing) * surge;
        let gap = -(1.0 - rng.random::<f64>()).ln() / highest;
        (Duration::from_secs_f64(gap.min(1e6)), highest)
    }

    /// Draws the request with index `index`.
    pub fn draw(&self, index: usize, rng: &mut dyn Rng) -> Request {
        if self.model.as_ref().is_some_and(|model| **model == *SERVICE_MODEL) {
            return self.draw_call(index, rng);
        }
        let session = rng.random_range(0..SESSIONS_PER_WORKSPACE);
        let (task, small) = draw_task(rng);
        let good = [rng.random_bool(small), rng.random_bool(LARGE_MODEL_GOOD)];
        let accepted = good.map(|good| {
            rng.random_bool(if good { CHECK_ACCEPTANCE.0 } else { CHECK_ACCEPTANCE.1 })
        });
        let workspace_hash = xxh3_64(self.workspace.as_bytes());
        let session_hash = xxh3_64(format!("{}/{session}", self.workspace).as_bytes());
        let output = draw_output(rng);
        let slack: f64 = rng.random_range(1.0..MAX_OUTPUT_SLACK);
        Request {
            id: name::Request::from(format!("r{index}")),
            workspace: self.workspace.clone(),
            rank: self.rank,
            entry: weighted(&self.entries, rng),
            model: self.model.clone(),
            task,
            prompt_tokens: SESSION_PREFIX_TOKENS
                + rng.random_range(PROMPT_SUFFIX_TOKENS.0..PROMPT_SUFFIX_TOKENS.1),
            output_tokens: output,
            max_output_tokens: (f64::from(output) * slack).ceil() as u32,
            retryable: true,
            prefixes: vec![
                (session_hash, SESSION_PREFIX_TOKENS),
                (workspace_hash, WORKSPACE_PREFIX_TOKENS),
            ],
            good,
            accepted,
        }
    }
}

impl Stream {
    /// Draws a call to a plain service. Half of the calls must not be retried.
    fn draw_call(&self, index: usize, rng: &mut dyn Rng) -> Request {
        Request {
            id: name::Request::from(format!("r{index}")),
            workspace: self.workspace.clone(),
            rank: self.rank,
            entry: weighted(&self.entries, rng),
            model: self.model.clone(),
            task: Task::from(SERVICE_MODEL),
            prompt_tokens: 1,
            output_tokens: 1,
            max_output_tokens: 1,
            retryable: rng.random_bool(0.5),
            prefixes: Vec::new(),
            good: [true; 2],
            accepted: [true; 2],
        }
    }
}

/// Mean prompt length after the prefix of the workspace, in tokens.
pub fn mean_uncached_prompt() -> f64 {
    f64::from(SESSION_PREFIX_TOKENS - WORKSPACE_PREFIX_TOKENS)
        + f64::from(PROMPT_SUFFIX_TOKENS.0 + PROMPT_SUFFIX_TOKENS.1) / 2.0
}

pub fn mean_output_tokens() -> f64 {
    OUTPUT_TOKENS.0
}

fn draw_task(rng: &mut dyn Rng) -> (Task, f64) {
    let mut point: f64 = rng.random();
    for (task, share, small) in TASKS {
        if point < share {
            return (Task::from(task), small);
        }
        point -= share;
    }
    (Task::from(TASKS[0].0), TASKS[0].2)
}

fn draw_output(rng: &mut dyn Rng) -> u32 {
    // Box-Muller transform; the mean of the log-normal distribution is OUTPUT_TOKENS.0.
    let (a, b): (f64, f64) = (1.0 - rng.random::<f64>(), rng.random());
    let normal = (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos();
    let mean = OUTPUT_TOKENS.0.ln() - 0.5 * OUTPUT_LOG_STD_DEV * OUTPUT_LOG_STD_DEV;
    ((mean + OUTPUT_LOG_STD_DEV * normal).exp().round() as u32)
        .clamp(OUTPUT_TOKENS.1, OUTPUT_TOKENS.2)
}

fn weighted(weights: &[f64], rng: &mut dyn Rng) -> usize {
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        if point < *weight {
            return index;
        }
        point -= weight;
    }
    weights.len() - 1
}
