//! Simulated engine: continuous batching with chunked prefill, a prefix cache and priorities.

use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_base::rank::Rank;
use hickoryreel_policy::view::Report;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Fixed time of a step, in seconds.
    pub base_s: f64,
    /// Time that each request in the batch adds to a step, in seconds.
    pub request_s: f64,
    /// Prefill rate, in prompt tokens per second.
    pub prefill_per_s: f64,
    /// Largest number of prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Largest number of runs in the batch.
    pub max_running: usize,
    /// Number of prefixes that fit into the cache.
    pub cache_capacity: usize,
}

/// A run of a request on an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the run in the simulation.
    pub id: usize,
    pub rank: Rank,
    /// Prompt tokens that remain to be prefilled.
    pub prefill_tokens: u32,
    /// Output tokens that remain to be generated.
    pub output_tokens: u32,
    /// Hash and length in tokens of the prompt's prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
}

/// Token that a step produced for the run with this index. Tokens between the first and the last
/// one are only counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenEvent {
    /// The prefill finished, and the first token was generated.
    First(usize),
    /// The last token was generated.
    Done(usize),
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    pub spec: Spec,
    /// Factor applied to the speed; 1 when healthy.
    pub speed: f64,
    /// Whether the process is running.
    pub up: bool,
    /// Whether the engine hangs: it makes no progress and sends nothing.
    pub silent: bool,
    /// Whether a step is in progress.
    pub stepping: bool,
    /// Queues by rank.
    waiting: [VecDeque<Run>; 3],
    running: Vec<Run>,
    /// Hashes of the cached prefixes, the least recently used one first.
    cache: VecDeque<u64>,
    /// Prompt tokens to prefill in the current step.
    step_prefill: u32,
    /// Exponentially smoothed step time; 0 if the batch was empty.
    token_gap_s: f64,
    /// Duration of the last started step.
    step_s: f64,
}

impl Engine {
    /// Creates an idle engine.
    pub fn new(spec: Spec) -> Self {
        Self {
            spec,
            speed: 1.0,
            up: true,
            silent: false,
            stepping: false,
            waiting: Default::default(),
            running: Vec::new(),
            cache: VecDeque::new(),
            step_prefill: 0,
            token_gap_s: 0.0,
            step_s: 0.0,
        }
    }

    /// Queues a run. The longest cached prefix of its prompt needs no prefill.
    pub fn accept(&mut self, mut run: Run) {
        let cached = run.prefixes.iter().find(|(hash, _)| self.cache.contains(hash));
        run.prefill_tokens =
            run.prefill_tokens.saturating_sub(cached.map_or(0, |(_, tokens)| *tokens)).max(1);
        self.waiting[run.rank.index()].push_back(run);
    }

    /// Removes a run from the batch and the queues.
    pub fn cancel(&mut self, id: usize) {
        self.running.retain(|run| run.id != id);
        self.waiting.iter_mut().for_each(|queue| queue.retain(|run| run.id != id));
    }

    /// Removes all runs, clears the cache and returns the indices of the runs.
    pub fn crash(&mut self) -> Vec<usize> {
        let waiting = self.waiting.iter_mut().flat_map(std::mem::take);
        let runs = self.running.drain(..).chain(waiting).map(|run| run.id).collect();
        self.cache.clear();
        self.token_gap_s = 0.0;
        runs
    }

    /// Fills the batch, starts a step and returns its duration. Returns `None` if there are no
    /// runs.
    pub fn start_step(&mut self) -> Option<Duration> {
        while self.running.len() < self.spec.max_running {
            let Some(run) = self.waiting.iter_mut().find_map(VecDeque::pop_front) else { break };
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.token_gap_s = 0.0;
            return None;
        }
        let backlog: u32 = self.running.iter().map(|run| run.prefill_tokens).sum();
        self.step_prefill = backlog.min(self.spec.prefill_chunk);
        let seconds = self.spec.base_s
            + self.spec.request_s * self.running.len() as f64
            + f64::from(self.step_prefill) / self.spec.prefill_per_s;
        let seconds = seconds / self.speed;
        self.token_gap_s =
            if self.token_gap_s == 0.0 { seconds } else { 0.8 * self.token_gap_s + 0.2 * seconds };
        self.step_s = seconds;
        self.stepping = true;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Duration of the last started step.
    pub fn last_step(&self) -> Duration {
        Duration::from_secs_f64(self.step_s)
    }

    /// Ends the step. Returns the first and last tokens that it produced, and the number of runs
    /// that received a token after their first one.
    pub fn end_step(&mut self) -> (Vec<TokenEvent>, u64) {
        self.stepping = false;
        let mut events = Vec::new();
        let mut token_gaps = 0;
        let mut finished_prefill = Vec::new();
        let mut remaining = self.step_prefill;
        for run in self.running.iter_mut().filter(|run| run.prefill_tokens == 0) {
            run.output_tokens -= 1;
            token_gaps += 1;
            if run.output_tokens == 0 {
                events.push(TokenEvent::Done(run.id));
            }
        }
        for rank in Rank::ALL {
            for run in
                self.running.iter_mut().filter(|run| run.rank == rank && run.prefill_tokens > 0)
            {
                let tokens = run.prefill_tokens.min(remaining);
                run.prefill_tokens -= tokens;
                remaining -= tokens;
                if run.prefill_tokens == 0 {
                    events.push(TokenEvent::First(run.id));
                    finished_prefill.push(run.prefixes.clone());
                }
            }
        }
        self.running.retain(|run| run.output_tokens > 0);
        finished_prefill.iter().flatten().for_each(|(hash, _)| self.cache_prefix(*hash));
        (events, token_gaps)
    }

    /// Returns the current load report.
    pub fn report(&self) -> Report {
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        let runs = self.running.iter().chain(self.waiting.iter().flatten());
        Report {
            running: self.running.len() as u32,
            waiting: waiting as u32,
            max_running: self.spec.max_running as u32,
            prefill_backlog: runs.map(|run| run.prefill_tokens).sum(),
            token_gap: Duration::from_secs_f64(self.token_gap_s),
        }
    }

    fn cache_prefix(&mut self, hash: u64) {
        self.cache.retain(|cached| *cached != hash);
        self.cache.push_back(hash);
        if self.cache.len() > self.spec.cache_capacity {
            self.cache.pop_front();
        }
    }
}
