//! Adaptive concurrency limit of one endpoint.
//!
//! Inputs are the endpoint's delayed load reports and this entry's own sends. Each report adjusts
//! the limit by the ratio of target to projected time between tokens, within bounds per report. An
//! entry uses only its share of the slots that a report shows as free, because the other entries
//! act on the same report.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;

use crate::view::Endpoint;
use crate::view::Report;

/// Settings of the concurrency limits.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Target time between tokens when the limit is fully used.
    pub target_gap: Duration,
    /// Lowest factor that one report above the target applies to the limit.
    pub decrease_factor: f64,
    /// Highest relative increase by one report below the target while the limit is in use.
    pub max_increase: f64,
    /// Initial limit as a fraction of the largest batch. A limit that starts at the largest batch
    /// has to fall during the first flood, when all slots are taken and urgent requests wait.
    pub initial_fraction: f64,
    /// Fraction of the limit from which the limit counts as in use. It must be below the fill
    /// fraction of bulk, since bulk requests alone fill no more than that.
    pub in_use_fraction: f64,
    /// Fraction of the time between tokens that does not depend on the batch size, used to project
    /// the gap at the limit from the gap at the reported batch.
    pub fixed_gap_fraction: f64,
    /// Lower bound of the limit.
    pub min_slots: f64,
    /// Fraction of the limit that each rank may fill, indexed by rank. The rest stays free, so that
    /// an urgent request finds a slot without waiting for a completion. Urgent requests may exceed
    /// the limit slightly: one more request lengthens a decoding step by less than a millisecond.
    pub fill_fractions: [f64; 3],
    /// Fraction of the difference to this entry's fair share of the limit that is corrected while
    /// the report is fresh. It rises to 1 as the report ages.
    pub correction_fraction: f64,
    /// Report age from which only the fair share of the limit is used.
    pub stale_after: Duration,
    /// Outstanding requests per endpoint and entry before the first report.
    pub slots_without_report: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            target_gap: Duration::from_millis(40),
            decrease_factor: 0.92,
            max_increase: 0.05,
            initial_fraction: 0.5,
            in_use_fraction: 0.6,
            fixed_gap_fraction: 0.5,
            min_slots: 2.0,
            fill_fractions: [1.15, 0.9, 0.8],
            correction_fraction: 0.25,
            stale_after: Duration::from_secs(2),
            slots_without_report: 2.0,
        }
    }
}

/// Concurrency limit of one endpoint, shared by all entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    slots: f64,
    /// Random rounding offset in `[0, 1)`. It is fixed until the next report, so that repeated
    /// attempts do not round up a fractional allowance each time.
    dither: f64,
}

impl Limit {
    /// Adjusts the limit to a new load report.
    pub fn on_report(&mut self, settings: &Settings, report: &Report, random: &mut dyn Rng) {
        let max_batch = f64::from(report.max_running);
        if self.slots == 0.0 {
            self.slots = max_batch * settings.initial_fraction;
        }
        let load = f64::from(report.running + report.waiting);
        if load >= settings.in_use_fraction * self.slots {
            let scale = settings.fixed_gap_fraction
                + (1.0 - settings.fixed_gap_fraction) * self.slots / load;
            let projected = report.token_gap.as_secs_f64() * scale;
            let ratio = settings.target_gap.as_secs_f64() / projected.max(f64::EPSILON);
            self.slots *= ratio.clamp(settings.decrease_factor, 1.0 + settings.max_increase);
        }
        self.slots = self.slots.clamp(settings.min_slots.min(max_batch), max_batch);
        self.dither = random.random();
    }

    /// Requests that all entries together may have at the endpoint; 0 before the first report.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}

/// Outstanding requests that this entry, with `share` of the slots, may have at the endpoint for
/// `rank`.
///
/// `floor` is true when the request is dispatched from its rank's floor; it then competes with
/// urgent requests and may fill the limit as far as they do.
pub fn allowance(
    settings: &Settings,
    endpoint: &Endpoint,
    share: f64,
    rank: Rank,
    floor: bool,
    now: Duration,
) -> f64 {
    let Some(report) = endpoint.report else { return settings.slots_without_report };
    let fill = settings.fill_fractions[if floor { Rank::Urgent.index() } else { rank.index() }];
    let slots = endpoint.limit.slots * fill;
    let outstanding = f64::from(endpoint.outstanding);
    let outstanding_at_report = outstanding - endpoint.own_load_change() as f64;
    let free = slots - f64::from(report.running + report.waiting);
    let age = now.saturating_sub(endpoint.measured_at);
    let freshness = 1.0 - age.as_secs_f64() / settings.stale_after.as_secs_f64();
    let correction = settings.correction_fraction.max(1.0 - freshness).min(1.0);
    let from_report = outstanding_at_report + free * share;
    from_report + correction * (slots * share - from_report)
}

/// Whether this entry may send one more request of `rank` to the endpoint.
pub fn admits(
    settings: &Settings,
    endpoint: &Endpoint,
    share: f64,
    rank: Rank,
    floor: bool,
    now: Duration,
) -> bool {
    let allowance = allowance(settings, endpoint, share, rank, floor, now);
    f64::from(endpoint.outstanding) + 1.0 <= allowance + endpoint.limit.dither
}
