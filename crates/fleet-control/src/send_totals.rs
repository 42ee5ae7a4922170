//! Sends of all entries to each service, in the window of the retry budget.
//!
//! With hundreds of entries, each has a few requests per window, so that a share of the budget for
//! each entry is exceeded by chance while the budget as a whole is hardly used. The totals let an
//! entry use what the others leave.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::ServiceSends;

/// Number of time slices in a window.
const SLICES: u32 = 20;

#[derive(Clone, Copy, Debug, Default)]
struct Sends {
    first: u32,
    retries: u32,
}

/// Sends by service in the latest window.
#[derive(Debug)]
pub struct SendTotals {
    window: Duration,
    /// Start of each slice, and the sends in it.
    slices: VecDeque<(Duration, HashMap<Name, Sends>)>,
}

impl SendTotals {
    /// Creates empty totals of a window.
    pub fn new(window: Duration) -> Self {
        Self { window, slices: VecDeque::new() }
    }

    /// Adds the sends of a report that arrived at time `now`.
    pub fn add(&mut self, sends: &[ServiceSends], now: Duration) {
        let slice_length = self.window / SLICES;
        let is_current = self.slices.back().is_some_and(|(start, _)| now < *start + slice_length);
        if !is_current {
            self.slices.push_back((now, HashMap::new()));
        }
        let Some((_, slice)) = self.slices.back_mut() else { return };
        for sent in sends {
            let sum = slice.entry(sent.service.clone()).or_default();
            sum.first = sum.first.saturating_add(sent.first);
            sum.retries = sum.retries.saturating_add(sent.retries);
        }
    }

    /// Returns the sums over the window that ends at time `now`.
    pub fn totals(&mut self, now: Duration) -> Vec<ServiceSends> {
        while self.slices.front().is_some_and(|(start, _)| now >= *start + self.window) {
            self.slices.pop_front();
        }
        let mut sums: HashMap<&Name, Sends> = HashMap::new();
        for (service, sent) in self.slices.iter().flat_map(|(_, slice)| slice) {
            let sum = sums.entry(service).or_default();
            sum.first = sum.first.saturating_add(sent.first);
            sum.retries = sum.retries.saturating_add(sent.retries);
        }
        let totals = sums.into_iter().map(|(service, sum)| ServiceSends {
            service: service.clone(),
            first: sum.first,
            retries: sum.retries,
        });
        totals.collect()
    }
}
