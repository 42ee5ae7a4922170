//! Concurrency limit of one endpoint, from its lagged load reports and the entry's own sends.
//!
//! Each report moves the endpoint's limit (additive increase, multiplicative decrease on the time
//! between tokens). Of the slots that the report shows as free, each entry takes only its share,
//! because the other entries read the same report.

use std::time::Duration;

use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;

use crate::view::Endpoint;
use crate::view::Report;

/// Settings of the concurrency limits.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Time between tokens that a full limit should give.
    pub target_gap: Duration,
    /// Least factor on the limit for one report above the target.
    pub decrease_factor: f64,
    /// Part of the limit that one report below the target adds while the limit is in use.
    pub max_increase: f64,
    /// Part of the largest batch at which the limit starts. A limit that starts at the largest
    /// batch has to fall during the first flood, when every slot is taken and urgent work waits.
    pub initial_fraction: f64,
    /// Part of the limit that counts as in use. Bulk work alone fills no more than its own part.
    pub in_use_fraction: f64,
    /// Part of the time between tokens that does not depend on the batch, used to project the gap
    /// at the limit from the gap at the reported batch.
    pub fixed_gap_fraction: f64,
    /// Least limit of one endpoint.
    pub min_slots: f64,
    /// Share of the limit that each rank may fill, indexed by rank. The rest stays free, so that
    /// an urgent request finds a slot without waiting for a completion. Urgent work may pass the
    /// limit by a little: one more request lengthens the step by less than a millisecond.
    pub fill_fractions: [f64; 3],
    /// Part of the difference to the fair partition that is corrected with each fresh report.
    pub correction_fraction: f64,
    /// Report age at which the entry relies on the fair partition alone.
    pub stale_after: Duration,
    /// Requests per endpoint and entry while no report is known.
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

/// Limit of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    slots: f64,
    /// Fixed until the next report, so that repeated attempts do not round up every time.
    dither: f64,
}

impl Limit {
    /// Adjusts the limit to a new report.
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

    /// Slots of the endpoint that all entries together may use.
    pub fn slots(&self) -> f64 {
        self.slots
    }
}

/// Open requests that this entry, with `share` of the slots, may have at the endpoint for `rank`.
///
/// `floor` is true when the rank is served from its floor; it then competes with urgent work and may
/// fill as much as that.
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
    let trust = 1.0 - age.as_secs_f64() / settings.stale_after.as_secs_f64();
    let correction = settings.correction_fraction.max(1.0 - trust).min(1.0);
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
