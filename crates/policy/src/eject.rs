//! Ejection of slow and silent endpoints, and the careful return.
//!
//! Each outcome is the ratio of the observed to the expected time. An endpoint whose smoothed
//! ratio is too high, or that failed or went silent several times in a row, is ejected for a time
//! that doubles with each ejection. After that time it receives one probe at a time, and only a run
//! of good probes returns it to service.

use std::time::Duration;

/// Settings of ejection.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Smoothed ratio of observed to expected time that ejects.
    pub slow_ratio: f64,
    /// Observations before a slow endpoint can be ejected.
    pub least_samples: u32,
    /// Slow load reports in a row that eject.
    pub slow_reports: u32,
    /// Weight of a new observation in the smoothed ratio.
    pub smoothing: f64,
    /// Failures in a row that eject.
    pub failures: u32,
    /// Length of the first ejection.
    pub first: Duration,
    /// Longest ejection.
    pub longest: Duration,
    /// Good probes in a row that end probing.
    pub good_probes: u32,
    /// Time after which an unanswered probe permits another one.
    pub probe_timeout: Duration,
    /// Share of a version's endpoints that may be ejected. Above it ejection is ignored, because a
    /// common cause is then more likely than many bad endpoints.
    pub most: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slow_ratio: 4.0,
            least_samples: 3,
            slow_reports: 2,
            smoothing: 0.3,
            failures: 3,
            first: Duration::from_secs(2),
            longest: Duration::from_secs(60),
            good_probes: 3,
            probe_timeout: Duration::from_secs(10),
            most: 0.5,
        }
    }
}

/// What one request showed about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint answered in `ratio` times the expected time.
    Answered {
        /// Observed divided by expected time.
        ratio: f64,
    },
    /// The connection failed, the endpoint answered with an error, or a progress deadline passed.
    Failed,
    /// The request ended without saying anything about the endpoint, for example by the caller.
    Neutral,
}

/// Whether an endpoint may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Use {
    /// In service.
    Full,
    /// One request may be sent as a probe; it should not be urgent.
    Probe,
    /// Ejected, or a probe is open.
    No,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum State {
    #[default]
    Serving,
    Ejected {
        until: Duration,
    },
    Probing {
        good: u32,
        sent: Option<Duration>,
    },
}

/// Ejection state of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    state: State,
    ratio: f64,
    samples: u32,
    failures: u32,
    times: u32,
    slow_reports: u32,
}

impl Ejection {
    /// Whether the endpoint may be used at `now`.
    pub fn usable(&self, settings: &Settings, now: Duration) -> Use {
        match self.state {
            State::Serving => Use::Full,
            State::Ejected { until } if now >= until => Use::Probe,
            State::Probing { sent: None, .. } => Use::Probe,
            State::Probing { sent: Some(at), .. } if now >= at + settings.probe_timeout => {
                Use::Probe
            }
            State::Ejected { .. } | State::Probing { .. } => Use::No,
        }
    }

    /// Whether the endpoint is in full service.
    pub fn is_serving(&self) -> bool {
        self.state == State::Serving
    }

    /// Records that a request was sent; outside full service it is a probe.
    pub fn on_sent(&mut self, now: Duration) {
        match &mut self.state {
            State::Serving => {}
            State::Ejected { until } if now < *until => {}
            State::Ejected { .. } => self.state = State::Probing { good: 0, sent: Some(now) },
            State::Probing { sent, .. } => *sent = Some(now),
        }
    }

    /// Takes in one observation.
    pub fn observe(&mut self, settings: &Settings, outcome: Outcome, now: Duration) {
        let good = match outcome {
            Outcome::Answered { ratio } => self.on_ratio(settings, ratio),
            Outcome::Failed => self.on_failure(),
            Outcome::Neutral => return,
        };
        match self.state {
            State::Serving if self.is_bad(settings) => self.eject(settings, now),
            State::Probing { .. } if !good => self.eject(settings, now),
            State::Probing { good: before, .. } if before + 1 >= settings.good_probes => {
                *self = Self { times: self.times, ..Self::default() };
            }
            State::Probing { good: before, .. } => {
                self.state = State::Probing { good: before + 1, sent: None };
            }
            State::Serving | State::Ejected { .. } => {}
        }
    }

    /// Takes in the ratio of reported to expected time between tokens. A report alone ejects, since
    /// it covers all requests at the endpoint, but it never returns an endpoint to service.
    pub fn on_report(&mut self, settings: &Settings, ratio: f64, now: Duration) {
        if ratio <= settings.slow_ratio {
            self.slow_reports = 0;
            return;
        }
        self.slow_reports += 1;
        if self.is_serving() && self.slow_reports >= settings.slow_reports {
            self.eject(settings, now);
        }
    }

    fn on_ratio(&mut self, settings: &Settings, ratio: f64) -> bool {
        self.failures = 0;
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.ratio = ratio;
        }
        self.ratio += settings.smoothing * (ratio - self.ratio);
        if self.samples > 1_000 {
            // A long time in service earns back the short first ejection.
            self.times = 0;
        }
        ratio < settings.slow_ratio
    }

    fn on_failure(&mut self) -> bool {
        self.failures += 1;
        false
    }

    fn is_bad(&self, settings: &Settings) -> bool {
        let slow = self.samples >= settings.least_samples && self.ratio > settings.slow_ratio;
        slow || self.failures >= settings.failures
    }

    fn eject(&mut self, settings: &Settings, now: Duration) {
        let length = settings.first.saturating_mul(1 << self.times.min(16)).min(settings.longest);
        *self = Self {
            state: State::Ejected { until: now + length },
            times: self.times + 1,
            ..Self::default()
        };
    }
}
