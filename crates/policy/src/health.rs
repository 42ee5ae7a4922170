//! Sequential test of a version against the one that it replaces.
//!
//! Three signals are tested: ratings, errors and latency. Each is a sequence of yes or no, and each
//! has a cumulative sum of log-likelihood ratios against several sizes of deterioration. The sums
//! never fall below zero, so that a version that turns bad after a long good time is found as fast
//! as one that is bad from the start.

/// Signals of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Signal {
    /// A rating.
    Rating {
        /// Whether the answer meets the quality bar.
        good: bool,
    },
    /// The request ended.
    Outcome {
        /// Whether the version failed it.
        failed: bool,
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
}

/// State of a roll-out step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough is known; the step goes on.
    Learning,
    /// The exposure budget is spent without enough evidence; the step takes no further requests.
    Hold,
    /// The evidence suffices for the next step.
    Healthy,
    /// The version is worse than the one it replaces.
    Bad(Cause),
}

/// Settings of the test.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Sum of log-likelihood ratios that withdraws the version.
    pub threshold: f64,
    /// Failure probabilities tested against, as the part of the way from the baseline to 1.
    pub sizes: [f64; 3],
    /// Lowest baseline failure probability, so that a baseline without failures makes one failure
    /// no proof.
    pub least: f64,
    /// Share of the replaced version's latencies that count as slow.
    pub slow_share: f64,
    /// Outcomes and ratings that are needed before a step counts as healthy.
    pub enough: [u32; 2],
    /// Requests of one step before its health is known.
    pub exposure_budget: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            threshold: 11.0,
            sizes: [0.15, 0.35, 0.65],
            least: 0.01,
            slow_share: 0.1,
            enough: [60, 15],
            exposure_budget: 200,
        }
    }
}

/// Baseline of one signal, from the replaced version.
#[derive(Clone, Copy, Debug)]
struct Baseline {
    bad: f64,
    count: f64,
}

impl Baseline {
    fn observe(&mut self, bad: bool) {
        self.bad += f64::from(u8::from(bad));
        self.count += 1.0;
    }

    /// Upper estimate of the failure probability: the mean plus two standard deviations, so that
    /// the error of a short baseline causes no withdrawal.
    fn upper(&self, least: f64) -> f64 {
        let mean = (self.bad + 0.5) / (self.count + 1.0);
        let deviation = (mean * (1.0 - mean) / (self.count + 1.0)).sqrt();
        (mean + 2.0 * deviation).clamp(least, 0.9)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Sums([f64; 3]);

impl Sums {
    fn add(&mut self, bad: bool, normal: f64, sizes: &[f64; 3]) -> f64 {
        for (sum, size) in self.0.iter_mut().zip(sizes) {
            let worse = normal + size * (1.0 - normal);
            let ratio =
                if bad { (worse / normal).ln() } else { ((1.0 - worse) / (1.0 - normal)).ln() };
            *sum = (*sum + ratio).max(0.0);
        }
        self.0.iter().copied().fold(0.0, f64::max)
    }
}

/// The sequential test of one version in one roll-out.
#[derive(Clone, Debug)]
pub struct Test {
    settings: Settings,
    /// Ratings, errors, latency of the replaced version.
    baseline: [Baseline; 3],
    sums: [Sums; 3],
    /// Ratio above which a latency counts as slow.
    slow: f64,
    served: u32,
    outcomes: u32,
    ratings: u32,
    bad: Option<Cause>,
}

impl Test {
    /// A test without observations.
    pub fn new(settings: Settings) -> Self {
        let expected = [0.05, 0.01, settings.slow_share];
        Self {
            settings,
            baseline: expected.map(|bad| Baseline { bad: 20.0 * bad, count: 20.0 }),
            sums: Default::default(),
            slow: 1.5,
            served: 0,
            outcomes: 0,
            ratings: 0,
            bad: None,
        }
    }

    /// Takes in a signal of the replaced version.
    pub fn observe_baseline(&mut self, signal: Signal) {
        match signal {
            Signal::Rating { good } => self.baseline[0].observe(!good),
            Signal::Outcome { failed } => self.baseline[1].observe(failed),
            Signal::Latency { ratio } => {
                let slow = ratio > self.slow;
                self.baseline[2].observe(slow);
                // Stochastic approximation of the quantile.
                let step = 0.02 * self.slow;
                let share = self.settings.slow_share;
                self.slow += if slow { step * (1.0 - share) } else { -step * share };
            }
        }
    }

    /// Takes in a signal of the tested version.
    pub fn observe(&mut self, signal: Signal) -> Verdict {
        let (index, cause, bad) = match signal {
            Signal::Rating { good } => {
                self.ratings += 1;
                (0, Cause::Ratings, !good)
            }
            Signal::Outcome { failed } => {
                self.outcomes += 1;
                (1, Cause::Errors, failed)
            }
            Signal::Latency { ratio } => (2, Cause::Latency, ratio > self.slow),
        };
        let normal = self.baseline[index].upper(self.settings.least);
        let sum = self.sums[index].add(bad, normal, &self.settings.sizes);
        if sum >= self.settings.threshold && self.bad.is_none() {
            self.bad = Some(cause);
        }
        self.verdict()
    }

    /// Records that the tested version received a request.
    pub fn on_served(&mut self) {
        self.served = self.served.saturating_add(1);
    }

    /// Starts the next step: the sums are kept, the exposure and the evidence are counted anew.
    pub fn next_step(&mut self) {
        self.served = 0;
        self.outcomes = 0;
        self.ratings = 0;
    }

    /// The present verdict.
    pub fn verdict(&self) -> Verdict {
        let Settings { enough, exposure_budget, .. } = &self.settings;
        if let Some(cause) = self.bad {
            return Verdict::Bad(cause);
        }
        let calm = self.sums.iter().flat_map(|sums| sums.0).all(|sum| sum < 2.0);
        if self.outcomes >= enough[0] && self.ratings >= enough[1] && calm {
            Verdict::Healthy
        } else if self.served >= *exposure_budget {
            Verdict::Hold
        } else {
            Verdict::Learning
        }
    }
}
