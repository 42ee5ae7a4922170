//! Sequential test of a version against the one that it replaces.
//!
//! Four signals are tested: ratings, errors, checks at run time and latency. Each is a sequence of yes or no, and each
//! has a cumulative sum of log-likelihood ratios against several sizes of deterioration. The sums
//! never fall below zero, so that a version that turns bad after a long good time is found as fast
//! as one that is bad from the start.

use std::collections::VecDeque;
use std::time::Duration;

/// Failure probabilities assumed of the replaced version before it is observed: ratings, errors,
/// checks.
const PRIOR_FAILURE_PROBABILITIES: [f64; 3] = [0.05, 0.01, 0.1];
/// Latencies of the replaced version that are kept to estimate their quantile.
const MAX_LATENCIES: usize = 1_024;
/// Ratio that counts as slow before the replaced version is observed.
const INITIAL_SLOW_RATIO: f64 = 2.0;

/// One in this many requests of a step goes to the tested version while a suspicion is unsettled.
pub const SLOW_PACE_DIVISOR: u32 = 8;

/// Signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// A rating.
    Rating {
        /// Whether the answer meets the quality bar.
        good: bool,
    },
    /// The first token arrived, or the version failed the request. Good outcomes are counted at the
    /// first token and not at the end: failures show early, and counting successes later would make
    /// each increase of the traffic look like a wave of failures.
    Outcome {
        /// Whether the version failed it.
        failed: bool,
    },
    /// The result of the check that cascades run on an answer. It is less certain than a rating, but
    /// every answer has one as soon as it is complete.
    Check {
        /// Whether the check accepts the answer.
        accepted: bool,
    },
    /// A latency, as the observed divided by the expected time.
    Latency {
        /// Observed divided by expected time.
        ratio: f64,
    },
}

/// Which signal withdrew a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Ratings.
    Ratings,
    /// Errors.
    Errors,
    /// Latency.
    Latency,
    /// Results of the check at run time.
    Checks,
}

/// State of a roll-out step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough is known; the step goes on.
    Undecided,
    /// The step takes no new requests for now: the exposure budget is spent without enough
    /// evidence, or the ratings raise a suspicion that those on their way will settle.
    Hold,
    /// A pause settled nothing: the step takes one in [`SLOW_PACE_DIVISOR`] of its requests.
    Slow,
    /// The evidence suffices for the next step.
    Healthy,
    /// The version is worse than the one it replaces.
    Bad(Cause),
}

/// Settings of the test.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Sum of log-likelihood ratios that withdraws the version: for ratings, errors, checks
    /// and latency.
    pub thresholds: [f64; 4],
    /// Sum of the ratings or of the checks at which the version takes no new requests until the ratings that are on
    /// their way have arrived. Ratings are late, so most of the exposure to a version that answers
    /// badly falls between its answers and the ratings.
    pub suspicion_threshold: f64,
    /// Longest pause for one suspicion: the propagation of the pause, then the longest usual time
    /// from an answer's request to its rating.
    pub max_pause: Duration,
    /// Requests of the first step that may wait for their ratings at a time.
    pub max_pending: f64,
    /// Failure probabilities tested against, as the part of the way from the baseline to 1.
    pub effect_sizes: [f64; 3],
    /// Lowest baseline failure probability, so that a baseline without failures makes one failure
    /// no proof.
    pub min_baseline: f64,
    /// Share of the replaced version's latencies that count as slow.
    pub slow_share: f64,
    /// Outcomes and ratings that are needed before a step counts as healthy.
    pub min_samples: [u32; 2],
    /// Requests of one step before its health is known.
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

/// Baseline of one signal, from the replaced version.
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
    /// the error of a short baseline causes no withdrawal.
    fn upper_estimate(&self, min: f64) -> f64 {
        let mean = (self.failures + 0.5) / (self.count + 1.0);
        let deviation = (mean * (1.0 - mean) / (self.count + 1.0)).sqrt();
        (mean + 2.0 * deviation).clamp(min, 0.9)
    }
}

/// Latencies of the replaced version, and the quantile above which one counts as slow.
#[derive(Clone, Debug)]
struct Latencies {
    recent: VecDeque<f64>,
    slow_share: f64,
    slow_ratio: f64,
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

    /// Upper estimate of the slow share: three deviations of the estimated quantile.
    fn upper_estimate(&self, share: f64) -> f64 {
        let count = self.recent.len().max(20) as f64;
        share + 3.0 * (share * (1.0 - share) / count).sqrt()
    }
}

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
/// `step` is the share of the bundle and `first` that of its first step. Where the traffic is so
/// high that more than the pending requests would wait for their ratings, the share is smaller:
/// whatever the test does, the requests of one rating delay are exposed.
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
    requests: u32,
    outcomes: u32,
    ratings: u32,
    failed: Option<Cause>,
    /// Since when ratings or checks raise a suspicion.
    suspicious_since: Option<Duration>,
}

impl Test {
    /// A test without observations.
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

    /// Takes in a signal of the replaced version.
    pub fn observe_baseline(&mut self, signal: Signal) {
        match signal {
            Signal::Rating { good } => self.baseline[0].observe(!good),
            Signal::Outcome { failed } => self.baseline[1].observe(failed),
            Signal::Check { accepted } => self.baseline[2].observe(!accepted),
            Signal::Latency { ratio } => self.latencies.observe(ratio),
        }
    }

    /// Takes in a signal of the tested version.
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
        let normal = match self.baseline.get(index) {
            Some(baseline) => baseline.upper_estimate(self.settings.min_baseline),
            None => self.latencies.upper_estimate(self.settings.slow_share),
        };
        let sum = self.cusums[index].add(bad, normal, &self.settings.effect_sizes);
        if sum >= self.settings.thresholds[index] && self.failed.is_none() {
            self.failed = Some(cause);
        }
        self.verdict(now)
    }

    /// Records that the tested version received a request.
    pub fn on_served(&mut self) {
        self.requests = self.requests.saturating_add(1);
    }

    /// Starts the next step: the sums are kept, the exposure and the evidence are counted anew.
    pub fn next_step(&mut self) {
        self.requests = 0;
        self.outcomes = 0;
        self.ratings = 0;
    }

    /// The verdict while ratings or checks raise a suspicion: a pause first, which waits for the ratings
    /// on their way, then a reduced rate until more ratings settle it.
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

    /// The present verdict.
    pub fn verdict(&mut self, now: Duration) -> Verdict {
        if let Some(cause) = self.failed {
            return Verdict::Bad(cause);
        }
        if let Some(verdict) = self.suspicion_verdict(now) {
            return verdict;
        }
        let Settings { min_samples, exposure_budget, .. } = &self.settings;
        let below_noise = self.cusums.iter().flat_map(|cusums| cusums.0).all(|sum| sum < 2.0);
        if self.outcomes >= min_samples[0] && self.ratings >= min_samples[1] && below_noise {
            Verdict::Healthy
        } else if self.requests >= *exposure_budget {
            Verdict::Hold
        } else {
            Verdict::Undecided
        }
    }
}
