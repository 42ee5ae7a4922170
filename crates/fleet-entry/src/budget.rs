//! Budget of second sends for one service at one entry.
//!
//! All entries share the budget of a service. Each uses at most its part: the ratio applies to its
//! own first sends, and the slack is divided by the number of entries.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the allowed ratio and slack that is used; the rest covers sends that are counted in
/// another window than here.
const USED_PART: f64 = 0.9;

/// Part of the budget that choices may use; the rest is for failures.
const SPARE_PART: f64 = 0.85;

/// Time slices of the window.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    start: Duration,
    first: u32,
    again: u32,
}

/// First and second sends of the last window.
#[derive(Debug, Default)]
pub struct Budget {
    slices: VecDeque<Slice>,
}

/// The limits of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Second sends per first send.
    pub ratio: f64,
    /// Second sends beyond the ratio, over all entries.
    pub slack: f64,
    /// Window.
    pub window: Duration,
    /// Entries that share the slack.
    pub entries: u32,
}

impl Budget {
    fn slice(&mut self, now: Duration, window: Duration) -> &mut Slice {
        while self.slices.front().is_some_and(|one| one.start + window <= now) {
            self.slices.pop_front();
        }
        let current = self.slices.back().is_some_and(|one| now < one.start + window / SLICES);
        if !current {
            self.slices.push_back(Slice { start: now, ..Slice::default() });
        }
        self.slices.back_mut().expect("a slice was added")
    }

    /// Notes the first send of a request.
    pub fn first(&mut self, now: Duration, limits: &Limits) {
        self.slice(now, limits.window).first += 1;
    }

    fn used(&mut self, now: Duration, limits: &Limits) -> f64 {
        self.slice(now, limits.window);
        let (first, again) = self
            .slices
            .iter()
            .fold((0, 0), |(first, again), one| (first + one.first, again + one.again));
        let slack = limits.slack / f64::from(limits.entries.max(1));
        let allowed = USED_PART * (limits.ratio * f64::from(first) + slack);
        (f64::from(again) + 1.0) / allowed.max(f64::MIN_POSITIVE)
    }

    /// Whether enough is left for second sends that are a choice and not a necessity.
    pub fn has_spare(&mut self, now: Duration, limits: &Limits) -> bool {
        self.used(now, limits) <= SPARE_PART
    }

    /// Takes one second send out of the budget, if there is one left.
    pub fn take(&mut self, now: Duration, limits: &Limits) -> bool {
        if self.used(now, limits) > 1.0 {
            return false;
        }
        self.slice(now, limits.window).again += 1;
        true
    }
}
