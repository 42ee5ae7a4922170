//! Comparison of a new version with the old one by the request counts of the entries.

use std::collections::HashMap;

use derive_more::Display;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::Tally;
use hickoryreel_fleet::roll_out::Timing;

/// Minimum number of requests of a route at a version to compare the versions on that route.
const MIN_REQUESTS: u64 = 5;

/// Minimum number of failed requests of a route at the new version to compare the failure rates.
const MIN_FAILED: u64 = 3;

/// Margin by which the failure rate of the new version must exceed twice that of the old one to
/// count as a regression. A single endpoint that fails some of its requests stays below it.
const FAILURE_RATE_MARGIN: f64 = 0.2;

/// Margin by which the rate of failures that are spread over endpoints must exceed twice the failure
/// rate of the old version to count as a regression.
const SPREAD_RATE_MARGIN: f64 = 0.03;

/// Minimum number of such failures.
const MIN_SPREAD: u64 = 4;

/// The same margin for a suspicion.
const SUSPECT_SPREAD_RATE_MARGIN: f64 = 0.02;

/// Minimum number of such failures for a suspicion.
const MIN_SUSPECT_SPREAD: u64 = 1;

/// Ratio to the median at the old version above which a time to the first part of an answer counts
/// as slow.
const FIRST_RATIO: f64 = 2.5;

/// Margin above that: the prefill of a prompt that the old version has in its caches.
const FIRST_MARGIN_MS: f64 = 100.0;

/// Ratio to the median at the old version above which the mean time between the events of a stream
/// counts as slow. It varies less between requests than the time to the first part.
const GAP_RATIO: f64 = 2.0;

/// The same ratio once all new requests go to the new version. A sound one slows down as well when
/// the load has grown since the trial.
const MOVING_GAP_RATIO: f64 = 3.0;

/// Margin above that.
const GAP_MARGIN_MS: f64 = 10.0;

/// Margins during the trial.
const TRIAL_MARGINS: Margins = Margins { regression: 0.2, suspicion: 0.1 };

/// Margins once all new requests go to the new version. Its caches are cold for most of them, and it
/// is compared with the old version at another time.
const MOVING_MARGINS: Margins = Margins { regression: 0.4, suspicion: 0.35 };

/// Minimum number of slow requests for a regression or a suspicion.
const MIN_SLOW: u64 = 5;

/// Standard errors that the share of slow requests must exceed a margin by to count as a regression.
const REGRESSION_ERRORS: f64 = 2.0;

/// The same for a suspicion.
const SUSPICION_ERRORS: f64 = 1.0;

/// Totals of one route at the new version and at all others.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    pub new: Total,
    /// All other versions together.
    pub old: Total,
}

/// Request totals of one route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that succeeded or failed.
    pub ended: u64,
    /// Requests that failed at the endpoint.
    pub bad: u64,
    /// The same by endpoint.
    pub failed_at: HashMap<EndpointKey, u64>,
    /// Times to the first part of an answer.
    pub first: Timing,
    /// Mean times between the events of a stream.
    pub gap: Timing,
}

impl Total {
    pub fn add(&mut self, tally: &Tally) {
        self.ended += tally.succeeded + tally.failed;
        self.bad += tally.failed;
        for (endpoint, failed) in &tally.failed_at {
            *self.failed_at.entry(*endpoint).or_default() += u64::from(*failed);
        }
        self.first.merge(&tally.first);
        self.gap.merge(&tally.gap);
    }

    fn failure_rate(&self) -> f64 {
        self.rate(self.bad)
    }

    fn rate(&self, count: u64) -> f64 {
        count as f64 / self.ended.max(1) as f64
    }

    /// Failures without those of the endpoint that has the most. A fault of one endpoint says nothing
    /// about the version.
    fn spread_failures(&self) -> u64 {
        let by_endpoint = || self.failed_at.values().copied();
        by_endpoint().sum::<u64>() - by_endpoint().max().unwrap_or(0)
    }
}

/// Margins by which the share of slow requests of the new version must exceed that of the old one.
#[derive(Clone, Copy, Debug)]
pub struct Margins {
    /// To count as worse.
    regression: f64,
    /// To count as suspect.
    suspicion: f64,
}

impl Margins {
    fn of(phase: Phase) -> Self {
        if phase == Phase::Moving { MOVING_MARGINS } else { TRIAL_MARGINS }
    }
}

/// Requests of which it is known whether they are slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Speed {
    slow: u64,
    known: u64,
}

impl Speed {
    /// A request that is under way counts once it is slow.
    fn of(timing: &Timing, limit_ms: f64) -> Self {
        let pending = timing.at_least.count_from(limit_ms);
        Self {
            slow: timing.measured.count_from(limit_ms) + pending,
            known: timing.measured.count() + pending,
        }
    }

    fn add(&mut self, other: Self) {
        self.slow += other.slow;
        self.known += other.known;
    }

    fn share(self) -> f64 {
        self.slow as f64 / self.known.max(1) as f64
    }

    /// Largest standard error of a share among so many requests.
    fn max_error(self) -> f64 {
        0.5 / (self.known.max(1) as f64).sqrt()
    }
}

/// Slow requests at both versions, over one route or several.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{} of {}, at the old version {} of {}", new.slow, new.known, old.slow, old.known)]
pub struct Slowdown {
    new: Speed,
    old: Speed,
}

impl Slowdown {
    /// Compares durations of one route. Without a median of the old version nothing is known.
    fn of(new: &Timing, old: &Timing, limit_ms: impl Fn(f64) -> f64) -> Self {
        let median_ms = old.measured.median_ms();
        let Some(median_ms) = median_ms.filter(|_| old.measured.count() >= MIN_REQUESTS) else {
            return Self::default();
        };
        let limit_ms = limit_ms(median_ms);
        Self { new: Speed::of(new, limit_ms), old: Speed::of(old, limit_ms) }
    }

    fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Whether the share of slow requests exceeds that of the old version by more than a margin and a
    /// number of standard errors.
    fn exceeds(self, margin: f64, errors: f64) -> bool {
        let excess = self.new.share() - self.old.share();
        let error = self.new.max_error().hypot(self.old.max_error());
        self.new.slow >= MIN_SLOW && excess > margin + errors * error
    }

    fn is_regression(self, margins: Margins) -> bool {
        self.exceeds(margins.regression, REGRESSION_ERRORS)
    }

    fn is_suspect(self, margins: Margins) -> bool {
        self.exceeds(margins.suspicion, SUSPICION_ERRORS)
    }

    /// Compares the times to the first part and the times between events, over all routes.
    pub fn of_routes(routes: &HashMap<Name, Comparison>, phase: Phase) -> (Self, Self) {
        let (mut first, mut gap) = (Self::default(), Self::default());
        for comparison in routes.values() {
            first.add(comparison.first());
            gap.add(comparison.gap(phase));
        }
        (first, gap)
    }
}

impl Comparison {
    fn first(&self) -> Slowdown {
        let limit_ms = |median_ms| FIRST_RATIO * median_ms + FIRST_MARGIN_MS;
        Slowdown::of(&self.new.first, &self.old.first, limit_ms)
    }

    fn gap(&self, phase: Phase) -> Slowdown {
        let ratio = if phase == Phase::Moving { MOVING_GAP_RATIO } else { GAP_RATIO };
        let limit_ms = |median_ms| ratio * median_ms + GAP_MARGIN_MS;
        Slowdown::of(&self.new.gap, &self.old.gap, limit_ms)
    }

    /// Describes the failures of the new version if enough of them are at different endpoints.
    fn failure_reason(&self, min: u64, margin: f64) -> Option<String> {
        let Self { new, old } = self;
        let spread = new.spread_failures();
        let is_exceeded = spread >= min && new.rate(spread) > 2.0 * old.failure_rate() + margin;
        is_exceeded
            .then(|| format!("{} of {} requests failed at several endpoints", new.bad, new.ended))
    }

    /// Returns why the new version may be worse than the old one on this route, if it may.
    fn suspicion(&self, phase: Phase) -> Option<String> {
        let margins = Margins::of(phase);
        self.failure_reason(MIN_SUSPECT_SPREAD, SUSPECT_SPREAD_RATE_MARGIN).or_else(|| {
            slow_reason(self.first(), self.gap(phase), |slowdown| slowdown.is_suspect(margins))
        })
    }

    /// Returns why the new version is worse than the old one on this route, if it is.
    pub fn regression(&self, phase: Phase) -> Option<String> {
        let Self { new, old } = self;
        if new.ended >= MIN_REQUESTS
            && new.bad >= MIN_FAILED
            && new.failure_rate() > 2.0 * old.failure_rate() + FAILURE_RATE_MARGIN
        {
            return Some(format!("{} of {} requests failed", new.bad, new.ended));
        }
        if let Some(reason) = self.failure_reason(MIN_SPREAD, SPREAD_RATE_MARGIN) {
            return Some(reason);
        }
        let margins = Margins::of(phase);
        slow_reason(self.first(), self.gap(phase), |slowdown| slowdown.is_regression(margins))
    }
}

/// Returns which durations are slow at the new version by `test`, if any.
fn slow_reason(first: Slowdown, gap: Slowdown, test: impl Fn(Slowdown) -> bool) -> Option<String> {
    if test(first) {
        return Some(format!("first part of the answer slow: {first}"));
    }
    test(gap).then(|| format!("events of the stream slow: {gap}"))
}

/// Verdict on a new version.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Worse than the old version, with the reason.
    #[display("worse: {_0}")]
    Worse(String),
    /// Possibly worse.
    #[display("suspect: {_0}")]
    Suspect(String),
    /// Too few requests.
    #[display("unknown")]
    Unknown,
    #[display("sound")]
    Sound,
}

impl Verdict {
    /// Compares the versions on each route, and over all routes together for those with few
    /// requests.
    pub fn of(routes: &HashMap<Name, Comparison>, phase: Phase) -> Self {
        let margins = Margins::of(phase);
        let mut suspicion = None;
        for (route, comparison) in routes {
            if let Some(reason) = comparison.regression(phase) {
                return Self::Worse(format!("route {route}: {reason}"));
            }
            let reason = comparison.suspicion(phase);
            suspicion = reason.map(|reason| format!("route {route}: {reason}")).or(suspicion);
        }
        let (first, gap) = Slowdown::of_routes(routes, phase);
        if let Some(reason) = slow_reason(first, gap, |slowdown| slowdown.is_regression(margins)) {
            return Self::Worse(format!("all routes: {reason}"));
        }
        match suspicion {
            Some(suspicion) => Self::Suspect(suspicion),
            None if first.new.known < MIN_REQUESTS => Self::Unknown,
            None => Self::Sound,
        }
    }
}
