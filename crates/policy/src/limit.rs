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
    pub decrease: f64,
    /// Part of the limit that one report below the target adds while the limit is in use.
    pub increase: f64,
    /// Part of the largest batch at which the limit starts. A limit that starts at the largest
    /// batch has to fall during the first flood, when every slot is taken and urgent work waits.
    pub start: f64,
    /// Part of the limit that counts as in use. Bulk work alone fills no more than its own part.
    pub in_use: f64,
    /// Part of the time between tokens that does not depend on the batch, used to project the gap
    /// at the limit from the gap at the reported batch.
    pub fixed_gap: f64,
    /// Least limit of one endpoint.
    pub least: f64,
    /// Share of the limit that each rank may fill, indexed by rank. The rest stays free, so that
    /// an urgent request finds a slot without waiting for a completion. Urgent work may pass the
    /// limit by a little: one more request lengthens the step by less than a millisecond.
    pub fill: [f64; 3],
    /// Part of the difference to the fair partition that is corrected with each fresh report.
    pub correction: f64,
    /// Report age at which the entry relies on the fair partition alone.
    pub stale: Duration,
    /// Requests per endpoint and entry while no report is known.
    pub unknown: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            target_gap: Duration::from_millis(40),
            decrease: 0.92,
            increase: 0.05,
            start: 0.5,
            in_use: 0.6,
            fixed_gap: 0.5,
            least: 2.0,
            fill: [1.15, 0.9, 0.8],
            correction: 0.25,
            stale: Duration::from_secs(2),
            unknown: 2.0,
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
        let most = f64::from(report.max_running);
        if self.slots == 0.0 {
            self.slots = most * settings.start;
        }
        let load = f64::from(report.running + report.waiting);
        if load >= settings.in_use * self.slots {
            let scale = settings.fixed_gap + (1.0 - settings.fixed_gap) * self.slots / load;
            let projected = report.token_gap.as_secs_f64() * scale;
            let ratio = settings.target_gap.as_secs_f64() / projected.max(f64::EPSILON);
            self.slots *= ratio.clamp(settings.decrease, 1.0 + settings.increase);
        }
        self.slots = self.slots.clamp(settings.least.min(most), most);
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
    let Some(report) = endpoint.report else { return settings.unknown };
    let fill = settings.fill[if floor { Rank::Urgent.index() } else { rank.index() }];
    let slots = endpoint.limit.slots * fill;
    let open = f64::from(endpoint.open);
    let own_at_report = open - endpoint.own_change() as f64;
    let free = slots - f64::from(report.running + report.waiting);
    let age = now.saturating_sub(endpoint.measured_at);
    let trust = 1.0 - age.as_secs_f64() / settings.stale.as_secs_f64();
    let correction = settings.correction.max(1.0 - trust).min(1.0);
    let dynamic = own_at_report + free * share;
    dynamic + correction * (slots * share - dynamic)
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
    f64::from(endpoint.open) + 1.0 <= allowance + endpoint.limit.dither
}
