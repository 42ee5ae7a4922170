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
    /// Time between tokens above which the limit falls.
    pub target_gap: Duration,
    /// Factor on the limit for a report above the target.
    pub decrease: f64,
    /// Slots added for a report below the target while the limit is in use.
    pub increase: f64,
    /// Least limit of one endpoint.
    pub least: f64,
    /// Share of the limit that each rank may fill, indexed by rank. The rest stays free, so that
    /// an urgent request finds a slot without waiting for a completion.
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
            target_gap: Duration::from_millis(42),
            decrease: 0.92,
            increase: 1.0,
            least: 2.0,
            fill: [1.0, 0.9, 0.8],
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
            self.slots = most;
        } else if report.token_gap > settings.target_gap {
            self.slots *= settings.decrease;
        } else if f64::from(report.running + report.waiting) >= 0.8 * self.slots {
            self.slots += settings.increase;
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
/// `floor` is true when the rank is served from its floor; it may then fill the whole limit.
pub fn allowance(
    settings: &Settings,
    endpoint: &Endpoint,
    share: f64,
    rank: Rank,
    floor: bool,
    now: Duration,
) -> f64 {
    let Some(report) = endpoint.report else { return settings.unknown };
    let fill = if floor { 1.0 } else { settings.fill[rank.index()] };
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
