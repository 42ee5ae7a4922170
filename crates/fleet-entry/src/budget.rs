//! Retry budget of one service at one entry.
//!
//! Every send of a request after its first one counts as a retry. All entries share the budget of a
//! service. Each has a share of its own: the ratio applies to its own first sends, and the slack is
//! divided by the number of entries. With hundreds of entries, each of which has a few requests in a
//! window, many exceed their shares by chance. An entry therefore also uses what the others leave,
//! as long as recent totals over all entries show that there is enough.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowed ratio and slack that is used. The rest covers sends that fall into
/// another window elsewhere than here.
const USABLE_FRACTION: f64 = 0.9;

/// Fraction of the budget that retries without a failure may use; the rest is for failures.
const SPARE_FRACTION: f64 = 0.85;

/// Fraction of the usable budget of all entries up to which an entry may exceed its share. The rest
/// covers the retries of all entries since the totals were summed.
const SHARED_FRACTION: f64 = 0.92;

/// Part of the slack that entries beyond their shares use together. A replica whose totals begin
/// anew does not know of the slack that was used before.
const SHARED_SLACK: f64 = 0.5;

/// Maximum age of the totals over all entries: several report periods.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(1_000);

/// Number of time slices in a window.
const SLICES: u32 = 10;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    start: Duration,
    first: u32,
    retries: u32,
}

/// Counts of first sends and retries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub first: u32,
    pub retries: u32,
}

/// Counts of first sends and retries in the latest window.
#[derive(Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    /// Sends since the latest report to the other entries.
    unreported: Counts,
    /// Sends of all entries in the window, and when this entry learned of them.
    totals: Option<(Counts, Duration)>,
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
        self.unreported.first += 1;
    }

    /// Returns the sends since the previous call, for a report.
    pub fn take_report(&mut self) -> Counts {
        std::mem::take(&mut self.unreported)
    }

    /// Applies the sends of all entries in the window.
    pub fn apply_totals(&mut self, totals: Counts, now: Duration) {
        self.totals = Some((totals, now));
    }

    /// Fraction of the budget in use after one more retry: of this entry's share, or of what all
    /// entries share if that is less.
    fn used(&mut self, now: Duration, limits: &Limits) -> f64 {
        self.share_used(now, limits).min(self.total_used(now, limits).unwrap_or(f64::INFINITY))
    }

    /// `None` without recent totals.
    fn total_used(&self, now: Duration, limits: &Limits) -> Option<f64> {
        let (totals, _) = self.totals.filter(|(_, at)| now < *at + TOTALS_MAX_AGE)?;
        let retries = f64::from(totals.retries) + f64::from(self.unreported.retries) + 1.0;
        let slack = SHARED_SLACK * limits.slack;
        let allowed = USABLE_FRACTION * (limits.ratio * f64::from(totals.first) + slack);
        Some(retries / (SHARED_FRACTION * allowed).max(f64::MIN_POSITIVE))
    }

    fn share_used(&mut self, now: Duration, limits: &Limits) -> f64 {
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

    /// Whether the budget has a retry left.
    pub fn has_left(&mut self, now: Duration, limits: &Limits) -> bool {
        self.used(now, limits) <= 1.0
    }

    /// Takes one retry from the budget. Returns whether there was one left.
    pub fn take(&mut self, now: Duration, limits: &Limits) -> bool {
        if !self.has_left(now, limits) {
            return false;
        }
        self.slice(now, limits.window).retries += 1;
        self.unreported.retries += 1;
        true
    }
}
