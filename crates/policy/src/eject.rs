//! Outlier ejection of slow and failing endpoints.
//!
//! A completed request yields the ratio of observed to expected time. An endpoint is ejected when
//! its smoothed ratio is too high, or after consecutive failures, missed progress deadlines or slow
//! load reports. The ejection time doubles with each ejection. Afterwards the endpoint receives one
//! probe at a time, and only consecutive successful probes return it to service.

use std::time::Duration;

/// Settings of outlier ejection.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Smoothed ratio of observed to expected time above which an endpoint is ejected.
    pub slow_ratio: f64,
    /// Minimum observations before an endpoint can be ejected as slow.
    pub min_samples: u32,
    /// Consecutive slow load reports after which an endpoint is ejected.
    pub consecutive_slow_reports: u32,
    /// Weight of a new observation in the smoothed ratio, 0 to 1.
    pub smoothing_factor: f64,
    /// Consecutive failures after which an endpoint is ejected.
    pub consecutive_failures: u32,
    /// Duration of the first ejection.
    pub base_duration: Duration,
    /// Upper bound of the ejection time, which doubles with each ejection.
    pub max_duration: Duration,
    /// Consecutive successful probes that return an endpoint to service.
    pub successful_probes: u32,
    /// Time after which an unanswered probe counts as lost and another one may be sent.
    pub probe_timeout: Duration,
    /// Share of a version's reporting endpoints that may be ejected. Above it ejection is ignored,
    /// because a common cause is then more likely than many faulty endpoints.
    pub max_ejected_share: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slow_ratio: 4.0,
            min_samples: 3,
            consecutive_slow_reports: 2,
            smoothing_factor: 0.3,
            consecutive_failures: 3,
            base_duration: Duration::from_secs(2),
            max_duration: Duration::from_secs(60),
            successful_probes: 3,
            probe_timeout: Duration::from_secs(10),
            max_ejected_share: 0.5,
        }
    }
}

/// Result of one request as evidence about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in `ratio` times the expected time.
    Answered {
        /// Observed divided by expected time.
        ratio: f64,
    },
    /// The connection failed, the endpoint answered with an error, or a progress deadline passed.
    Failed,
    /// The request ended without evidence about the endpoint, for example by cancellation.
    Neutral,
}

/// Whether an endpoint may receive requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    Available,
    /// One request may be sent as a probe; it should not be urgent.
    Probe,
    /// Ejected, or a probe is in flight.
    Unavailable,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Serving,
    Ejected {
        until: Duration,
    },
    Probing {
        successes: u32,
        sent_at: Option<Duration>,
    },
}

/// Ejection state of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    state: State,
    smoothed_ratio: f64,
    samples: u32,
    failures: u32,
    /// Ejections since the backoff last started at the base duration.
    ejections: u32,
    slow_reports: u32,
}

impl Ejection {
    pub fn availability(&self, settings: &Settings, now: Duration) -> Availability {
        match self.state {
            State::Serving => Availability::Available,
            State::Ejected { until } if now >= until => Availability::Probe,
            State::Probing { sent_at: None, .. } => Availability::Probe,
            State::Probing { sent_at: Some(at), .. } if now >= at + settings.probe_timeout => {
                Availability::Probe
            }
            State::Ejected { .. } | State::Probing { .. } => Availability::Unavailable,
        }
    }

    /// Whether the endpoint is neither ejected nor being probed.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Records that a request was sent. Unless the endpoint is in full service, it is a probe.
    pub fn on_sent(&mut self, now: Duration) {
        match &mut self.state {
            State::Serving => {}
            State::Ejected { until } if now < *until => {}
            State::Ejected { .. } => {
                self.state = State::Probing { successes: 0, sent_at: Some(now) }
            }
            State::Probing { sent_at, .. } => *sent_at = Some(now),
        }
    }

    /// Updates the state with the result of one request.
    pub fn observe(&mut self, settings: &Settings, outcome: Outcome, now: Duration) {
        let good = match outcome {
            Outcome::Answered { ratio } => self.on_ratio(settings, ratio),
            Outcome::Failed => self.on_failure(),
            Outcome::Neutral => return,
        };
        match self.state {
            State::Serving if self.is_bad(settings) => self.eject(settings, now),
            State::Probing { .. } if !good => self.eject(settings, now),
            State::Probing { successes, .. } if successes + 1 >= settings.successful_probes => {
                *self = Self { ejections: self.ejections, ..Self::default() };
            }
            State::Probing { successes, .. } => {
                self.state = State::Probing { successes: successes + 1, sent_at: None };
            }
            State::Serving | State::Ejected { .. } => {}
        }
    }

    /// Updates the state with the ratio of reported to expected time between tokens. Reports alone
    /// can eject, since they cover all requests at the endpoint, but they never return an endpoint
    /// to service.
    pub fn on_report(&mut self, settings: &Settings, ratio: f64, now: Duration) {
        if ratio <= settings.slow_ratio {
            self.slow_reports = 0;
            return;
        }
        self.slow_reports += 1;
        if self.is_serving() && self.slow_reports >= settings.consecutive_slow_reports {
            self.eject(settings, now);
        }
    }

    fn on_ratio(&mut self, settings: &Settings, ratio: f64) -> bool {
        self.failures = 0;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.smoothed_ratio = ratio;
        }
        self.smoothed_ratio += settings.smoothing_factor * (ratio - self.smoothed_ratio);
        if self.samples > 1_000 {
            // After a long time in service the backoff starts again at the base duration.
            self.ejections = 0;
        }
        ratio < settings.slow_ratio
    }

    fn on_failure(&mut self) -> bool {
        self.failures += 1;
        false
    }

    fn is_bad(&self, settings: &Settings) -> bool {
        let slow =
            self.samples >= settings.min_samples && self.smoothed_ratio > settings.slow_ratio;
        slow || self.failures >= settings.consecutive_failures
    }

    fn eject(&mut self, settings: &Settings, now: Duration) {
        let length = settings
            .base_duration
            .saturating_mul(1 << self.ejections.min(16))
            .min(settings.max_duration);
        *self = Self {
            state: State::Ejected { until: now + length },
            ejections: self.ejections + 1,
            ..Self::default()
        };
    }
}
