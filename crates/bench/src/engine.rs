//! Fake engine: continuous batching with chunked prefill, prefix memory and priorities.

use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_base::rank::Rank;
use hickoryreel_policy::view::Report;

/// Speed and size of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Spec {
    /// Time of a step without any request, in seconds.
    pub base_s: f64,
    /// Added time for each request in the batch, in seconds.
    pub request_s: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_per_s: f64,
    /// Most prompt tokens in one step.
    pub chunk: u32,
    /// Largest batch.
    pub max_running: usize,
    /// Prefixes that fit into the cache.
    pub prefixes: usize,
}

/// One run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Index of the run.
    pub id: usize,
    /// Rank.
    pub rank: Rank,
    /// Prompt tokens still to be prefilled.
    pub prefill: u32,
    /// Output tokens still to be generated.
    pub output: u32,
    /// Hash and length of the prompt's prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
}

/// What a step produced for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Emit {
    /// The first token.
    First(usize),
    /// The last token.
    Done(usize),
}

/// A fake engine.
#[derive(Debug)]
pub struct Engine {
    /// Speed and size.
    pub spec: Spec,
    /// Factor on the speed; 1 when healthy.
    pub speed: f64,
    /// Whether the process runs.
    pub up: bool,
    /// Whether the engine accepts work but makes no progress and answers nothing.
    pub silent: bool,
    /// Whether a step is in progress.
    pub stepping: bool,
    waiting: [VecDeque<Run>; 3],
    running: Vec<Run>,
    cache: VecDeque<u64>,
    planned: u32,
    gap_s: f64,
    step_s: f64,
}

impl Engine {
    /// An idle engine.
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
            planned: 0,
            gap_s: 0.0,
            step_s: 0.0,
        }
    }

    /// Queues a run.
    pub fn accept(&mut self, mut run: Run) {
        let held = run.prefixes.iter().find(|(hash, _)| self.cache.contains(hash));
        run.prefill = run.prefill.saturating_sub(held.map_or(0, |(_, tokens)| *tokens)).max(1);
        self.waiting[run.rank.index()].push_back(run);
    }

    /// Drops a run.
    pub fn cancel(&mut self, id: usize) {
        self.running.retain(|run| run.id != id);
        self.waiting.iter_mut().for_each(|queue| queue.retain(|run| run.id != id));
    }

    /// Drops all runs and returns them.
    pub fn crash(&mut self) -> Vec<usize> {
        let waiting = self.waiting.iter_mut().flat_map(std::mem::take);
        let runs = self.running.drain(..).chain(waiting).map(|run| run.id).collect();
        self.cache.clear();
        self.gap_s = 0.0;
        runs
    }

    /// Starts a step and returns its length; `None` when there is nothing to do.
    pub fn start_step(&mut self) -> Option<Duration> {
        while self.running.len() < self.spec.max_running {
            let Some(run) = self.waiting.iter_mut().find_map(VecDeque::pop_front) else { break };
            self.running.push(run);
        }
        if self.running.is_empty() {
            self.gap_s = 0.0;
            return None;
        }
        let backlog: u32 = self.running.iter().map(|run| run.prefill).sum();
        self.planned = backlog.min(self.spec.chunk);
        let seconds = self.spec.base_s
            + self.spec.request_s * self.running.len() as f64
            + f64::from(self.planned) / self.spec.prefill_per_s;
        let seconds = seconds / self.speed;
        self.gap_s = if self.gap_s == 0.0 { seconds } else { 0.8 * self.gap_s + 0.2 * seconds };
        self.step_s = seconds;
        self.stepping = true;
        Some(Duration::from_secs_f64(seconds))
    }

    /// Length of the last step.
    pub fn last_step(&self) -> Duration {
        Duration::from_secs_f64(self.step_s)
    }

    /// Ends the step. Returns what it produced and how many runs received a further token.
    pub fn end_step(&mut self) -> (Vec<Emit>, u64) {
        self.stepping = false;
        let mut emits = Vec::new();
        let mut gaps = 0;
        let mut finished_prefill = Vec::new();
        let mut left = self.planned;
        for run in self.running.iter_mut().filter(|run| run.prefill == 0) {
            run.output -= 1;
            gaps += 1;
            if run.output == 0 {
                emits.push(Emit::Done(run.id));
            }
        }
        for rank in Rank::ALL {
            for run in self.running.iter_mut().filter(|run| run.rank == rank && run.prefill > 0) {
                let part = run.prefill.min(left);
                run.prefill -= part;
                left -= part;
                if run.prefill == 0 {
                    emits.push(Emit::First(run.id));
                    finished_prefill.push(run.prefixes.clone());
                }
            }
        }
        self.running.retain(|run| run.output > 0);
        finished_prefill.iter().flatten().for_each(|(hash, _)| self.remember(*hash));
        (emits, gaps)
    }

    /// The load report at this moment.
    pub fn report(&self) -> Report {
        let waiting: usize = self.waiting.iter().map(VecDeque::len).sum();
        let all = self.running.iter().chain(self.waiting.iter().flatten());
        Report {
            running: self.running.len() as u32,
            waiting: waiting as u32,
            max_running: self.spec.max_running as u32,
            prefill_backlog: all.map(|run| run.prefill).sum(),
            token_gap: Duration::from_secs_f64(self.gap_s),
        }
    }

    fn remember(&mut self, hash: u64) {
        self.cache.retain(|held| *held != hash);
        self.cache.push_back(hash);
        if self.cache.len() > self.spec.prefixes {
            self.cache.pop_front();
        }
    }
}
