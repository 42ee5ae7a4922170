//! Retry budget of one service at one entry.
//!
//! Every send of a request after its first one counts as a retry. All entries share the budget of a
//! service: for each entry the ratio applies to its own first sends, and the slack is divided by the
//! number of entries.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowed ratio and slack that is used. The rest covers sends that fall into
/// another window elsewhere than here.
const USABLE_FRACTION: f64 = 0.9;

/// Fraction of the budget that retries without a failure may use; the rest is for failures.
const SPARE_FRACTION: f64 = 0.85;

/// Number of time slices in a window.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    start: Duration,
    first: u32,
    retries: u32,
}

/// Counts of first sends and retries in the latest window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of retries per first send.
    pub ratio: f64,
    /// Retries beyond the ratio, over all entries.
    pub slack: f64,
    pub window: Duration,
    /// Number of entries that share the slack.
    pub entries: u32,
}

impl RetryBudget {
    fn slice(&mut self, now: Duration, window: Duration) -> &mut Slice {
        while self.slices.front().is_some_and(|slice| slice.start + window <= now) {
            self.slices.pop_front();
        }
        let current = self.slices.back().is_some_and(|slice| now < slice.start + window / SLICES);
        if !current {
            self.slices.push_back(Slice { start: now, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was added")
    }

    pub fn record_first_send(&mut self, now: Duration, limits: &Limits) {
        self.slice(now, limits.window).first += 1;
    }

    fn used(&mut self, now: Duration, limits: &Limits) -> f64 {
        self.slice(now, limits.window);
        let (first, retries) = self
            .slices
            .iter()
            .fold((0, 0), |(first, retries), slice| (first + slice.first, retries + slice.retries));
        let slack = limits.slack / f64::from(limits.entries.max(1));
        let allowed = USABLE_FRACTION * (limits.ratio * f64::from(first) + slack);
        (f64::from(retries) + 1.0) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Whether the budget allows a retry that no failure demands.
    pub fn has_spare(&mut self, now: Duration, limits: &Limits) -> bool {
        self.used(now, limits) <= SPARE_FRACTION
    }

    /// Takes one retry from the budget. Returns whether there was one left.
    pub fn take(&mut self, now: Duration, limits: &Limits) -> bool {
        if self.used(now, limits) > 1.0 {
            return false;
        }
        self.slice(now, limits.window).retries += 1;
        true
    }
}
