//! Sequential test of a version against the version that it replaces.
//!
//! Four signals are tested: ratings, errors, run-time checks and latency. Each is a sequence of
//! binary outcomes with one cumulative sum (CUSUM) of log-likelihood ratios for each of several
//! effect sizes. The sums never fall below zero, so a version that degrades after a long healthy
//! time is detected as fast as one that is bad from the start.

use std::collections::VecDeque;
use std::time::Duration;

/// Prior failure probabilities of the replaced version: ratings, errors, checks.
const PRIOR_FAILURE_PROBABILITIES: [f64; 3] = [0.05, 0.01, 0.1];
/// Most recent latencies of the replaced version that are kept to estimate their quantile.
const MAX_LATENCIES: usize = 1_024;
/// Ratio of observed to expected time above which a latency counts as slow before the replaced
/// version has been observed.
const INITIAL_SLOW_RATIO: f64 = 2.0;

/// With [`Verdict::Slow`], one in this many requests of the step goes to the tested version.
pub const SLOW_PACE_DIVISOR: u32 = 8;

/// One observation of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    Rating {
        /// Whether the answer meets the quality bar.
        good: bool,
    },
    /// The first token arrived, or the version failed the request. Successes are counted at the
    /// first token and not at the end: failures occur early, so with later successes each increase
    /// of the traffic would look like a rise in the failure rate.
    Outcome { failed: bool },
    /// The result of the check that cascades run on an answer. It is less reliable than a rating,
    /// but available for every answer as soon as it is complete.
    Check { accepted: bool },
    /// A latency relative to the expected time.
    Latency {
        /// Observed divided by expected time.
        ratio: f64,
    },
}

/// The signal that led to a withdrawal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Ratings,
    Errors,
    Latency,
    Checks,
}

/// Assessment of the tested version in a roll-out step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The evidence is insufficient; the step continues.
    Undecided,
    /// The step accepts no new requests for now: the exposure budget is spent without sufficient
    /// evidence, or ratings or checks raise a suspicion that pending ratings may confirm or clear.
    Hold,
    /// A suspicion remains after the pause: the step accepts one in [`SLOW_PACE_DIVISOR`] of its
    /// requests.
    Slow,
    /// The evidence is sufficient for the next step.
    Healthy,
    /// The version is worse than the one it replaces.
    Bad(Cause),
}

/// Settings of the test.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Sum of log-likelihood ratios from which the version counts as bad: for ratings, errors,
    /// checks and latency.
    pub thresholds: [f64; 4],
    /// Sum of the ratings or of the checks from which the version accepts no new requests until
    /// pending ratings have arrived. Ratings are delayed, so most of the exposure to a bad version
    /// occurs between its answers and their ratings.
    pub suspicion_threshold: f64,
    /// Longest pause for one suspicion. It covers the propagation of the pause and then the longest
    /// usual time from a request to the rating of its answer.
    pub max_pause: Duration,
    /// Requests of the first step that may be pending a rating at the same time.
    pub max_pending: f64,
    /// Failure probabilities of the alternative hypotheses, as fractions of the distance from the
    /// baseline to 1.
    pub effect_sizes: [f64; 3],
    /// Lower bound of the baseline failure probability. Without it, a single failure would be
    /// strong evidence against a version whose predecessor had none.
    pub min_baseline: f64,
    /// Share of the replaced version's latencies that counts as slow, 0 to 1.
    pub slow_share: f64,
    /// Minimum numbers of outcomes and of ratings before a step counts as healthy.
    pub min_samples: [u32; 2],
    /// Requests that one step may send to the version before its health is established.
    pub exposure_budget: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            thresholds: [14.0, 14.0, 15.0, 18.0],
            suspicion_threshold: 5.0,
            max_pause: Duration::from_secs(12),
            max_pending: 12.0,
            effect_sizes: [0.2, 0.4, 0.65],
            min_baseline: 0.01,
            slow_share: 0.1,
            min_samples: [60, 15],
            exposure_budget: 200,
        }
    }
}

/// Failure statistics of one signal of the replaced version.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    failures: f64,
    count: f64,
}

impl Baseline {
    fn observe(&mut self, bad: bool) {
        self.failures += f64::from(u8::from(bad));
        self.count += 1.0;
    }

    /// Upper estimate of the failure probability: the mean plus two standard deviations, so that
    /// the estimation error of a short baseline causes no withdrawal.
    fn upper_estimate(&self, min: f64) -> f64 {
        let mean = (self.failures + 0.5) / (self.count + 1.0);
        let deviation = (mean * (1.0 - mean) / (self.count + 1.0)).sqrt();
        (mean + 2.0 * deviation).clamp(min, 0.9)
    }
}

/// Latencies of the replaced version and the quantile above which a latency counts as slow.
#[derive(Clone, Debug)]
struct Latencies {
    recent: VecDeque<f64>,
    slow_share: f64,
    slow_ratio: f64,
    /// Observations since `slow_ratio` was last computed.
    since_update: usize,
}

impl Latencies {
    fn new(slow_share: f64) -> Self {
        Self {
            recent: VecDeque::new(),
            slow_share,
            slow_ratio: INITIAL_SLOW_RATIO,
            since_update: 0,
        }
    }

    fn observe(&mut self, ratio: f64) {
        self.recent.push_back(ratio);
        if self.recent.len() > MAX_LATENCIES {
            self.recent.pop_front();
        }
        self.since_update += 1;
        if self.since_update >= MAX_LATENCIES / 16 {
            self.since_update = 0;
            let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
            sorted.sort_unstable_by(f64::total_cmp);
            let rank = (sorted.len() as f64 * (1.0 - self.slow_share)) as usize;
            self.slow_ratio = sorted[rank.min(sorted.len() - 1)];
        }
    }

    /// Upper estimate of the slow share: the share plus three standard deviations of the estimated
    /// quantile.
    fn upper_estimate(&self, share: f64) -> f64 {
        let count = self.recent.len().max(20) as f64;
        share + 3.0 * (share * (1.0 - share) / count).sqrt()
    }
}

/// Cumulative sums of log-likelihood ratios, one for each effect size.
#[derive(Clone, Copy, Debug, Default)]
struct Cusums([f64; 3]);

impl Cusums {
    fn add(&mut self, bad: bool, baseline: f64, effect_sizes: &[f64; 3]) -> f64 {
        for (sum, size) in self.0.iter_mut().zip(effect_sizes) {
            let worse = baseline + size * (1.0 - baseline);
            let ratio =
                if bad { (worse / baseline).ln() } else { ((1.0 - worse) / (1.0 - baseline)).ln() };
            *sum = (*sum + ratio).max(0.0);
        }
        self.largest()
    }

    fn largest(&self) -> f64 {
        self.0.iter().copied().fold(0.0, f64::max)
    }
}

/// Share of the traffic that a step may send to the tested version.
///
/// `step` is the share that the bundle states for this step and `first` that of its first step. The
/// share is reduced if more than [`Settings::max_pending`] requests, scaled by the step, would be
/// pending a rating: the requests of one rating delay are exposed whatever the test concludes.
pub fn paced_share(
    settings: &Settings,
    step: f64,
    first: f64,
    traffic_per_s: f64,
    rating_delay: Duration,
) -> f64 {
    let max_pending = settings.max_pending * step / first;
    let max_share = max_pending / (traffic_per_s * rating_delay.as_secs_f64()).max(f64::EPSILON);
    if step >= 1.0 { step } else { step.min(max_share) }
}

/// The sequential test of one version in one roll-out.
#[derive(Clone, Debug)]
pub struct Test {
    settings: Settings,
    /// Ratings, errors and checks of the replaced version.
    baseline: [Baseline; 3],
    cusums: [Cusums; 4],
    latencies: Latencies,
    /// Requests, outcomes and ratings of the tested version in the present step.
    requests: u32,
    outcomes: u32,
    ratings: u32,
    failed: Option<Cause>,
    /// Start of the present suspicion from ratings or checks.
    suspicious_since: Option<Duration>,
}

impl Test {
    pub fn new(settings: Settings) -> Self {
        let slow_share = settings.slow_share;
        Self {
            baseline: PRIOR_FAILURE_PROBABILITIES
                .map(|probability| Baseline { failures: 20.0 * probability, count: 20.0 }),
            cusums: Default::default(),
            latencies: Latencies::new(slow_share),
            requests: 0,
            outcomes: 0,
            ratings: 0,
            failed: None,
            suspicious_since: None,
            settings,
        }
    }

    /// Adds an observation of the replaced version.
    pub fn observe_baseline(&mut self, signal: Signal) {
        match signal {
            Signal::Rating { good } => self.baseline[0].observe(!good),
            Signal::Outcome { failed } => self.baseline[1].observe(failed),
            Signal::Check { accepted } => self.baseline[2].observe(!accepted),
            Signal::Latency { ratio } => self.latencies.observe(ratio),
        }
    }

    /// Adds an observation of the tested version and returns the new verdict.
    pub fn observe(&mut self, signal: Signal, now: Duration) -> Verdict {
        let (index, cause, bad) = match signal {
            Signal::Rating { good } => {
                self.ratings += 1;
                (0, Cause::Ratings, !good)
            }
            Signal::Outcome { failed } => {
                self.outcomes += 1;
                (1, Cause::Errors, failed)
            }
            Signal::Check { accepted } => (2, Cause::Checks, !accepted),
            Signal::Latency { ratio } => (3, Cause::Latency, ratio > self.latencies.slow_ratio),
        };
        let baseline_probability = match self.baseline.get(index) {
            Some(baseline) => baseline.upper_estimate(self.settings.min_baseline),
            None => self.latencies.upper_estimate(self.settings.slow_share),
        };
        let sum = self.cusums[index].add(bad, baseline_probability, &self.settings.effect_sizes);
        if sum >= self.settings.thresholds[index] && self.failed.is_none() {
            self.failed = Some(cause);
        }
        self.verdict(now)
    }

    /// Records that the tested version received a request.
    pub fn on_served(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Starts the next step: keeps the sums and resets the counts of exposure and evidence.
    pub fn next_step(&mut self) {
        self.requests = 0;
        self.outcomes = 0;
        self.ratings = 0;
    }

    /// The verdict while ratings or checks raise a suspicion: first a pause that waits for pending
    /// ratings, then a reduced rate until more ratings confirm or clear the suspicion.
    fn suspicion_verdict(&mut self, now: Duration) -> Option<Verdict> {
        let sum = self.cusums[0].largest().max(self.cusums[2].largest());
        if sum < self.settings.suspicion_threshold {
            self.suspicious_since = None;
            return None;
        }
        let since = *self.suspicious_since.get_or_insert(now);
        let pausing = now.saturating_sub(since) <= self.settings.max_pause;
        Some(if pausing { Verdict::Hold } else { Verdict::Slow })
    }

    /// Returns the verdict at `now`, and records when a suspicion starts or ends.
    pub fn verdict(&mut self, now: Duration) -> Verdict {
        if let Some(cause) = self.failed {
            return Verdict::Bad(cause);
        }
        if let Some(verdict) = self.suspicion_verdict(now) {
            return verdict;
        }
        let Settings { min_samples, exposure_budget, .. } = &self.settings;
        let sums_low = self.cusums.iter().flat_map(|cusums| cusums.0).all(|sum| sum < 2.0);
        if self.outcomes >= min_samples[0] && self.ratings >= min_samples[1] && sums_low {
            Verdict::Healthy
        } else if self.requests >= *exposure_budget {
            Verdict::Hold
        } else {
            Verdict::Undecided
        }
    }
}
