//! Pace of an endpoint: the time that work takes there, relative to the service's usual time.
//!
//! Answers the load on uneven servers: hardware differs by more than a factor of two, and neighbours
//! on the same machine slow an endpoint down for some hundred milliseconds. The hardware is known from
//! the average of what all entries have seen. The latest figure counts for about as long as neighbours
//! stay, so that a long prompt is placed by the hardware and a short one by the moment.

use std::time::Duration;

/// Pace that endpoints without a stated one have.
const USUAL: f64 = 1.0;

/// Time after which the latest figure has lost most of its weight. Endpoints state figures that
/// change several times per second.
const MEMORY: Duration = Duration::from_millis(500);

/// Age of a figure that arrives with the totals over all entries: half of the time between reports,
/// and the way to the replica and back.
pub const TOTALS_AGE: Duration = Duration::from_millis(200);

/// Weight of a new figure in the average of one entry, which sees an endpoint every few seconds.
const SMOOTHING: f64 = 0.2;

/// Resolution of the usual pace: hardware differs by more, and the averages of entries by less.
const STEP: f64 = 0.25;

/// Largest and smallest pace that is believed, in percent.
const PERCENT: std::ops::RangeInclusive<u16> = 10..=2_000;

/// What is known of the pace of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
    average: Option<f64>,
    /// Latest figure and its time.
    latest: Option<(f64, Duration)>,
}

/// Converts a stated pace in percent, if it is plausible.
fn factor(percent: u16) -> Option<f64> {
    PERCENT.contains(&percent).then(|| f64::from(percent) / 100.0)
}

impl Pace {
    /// Records a figure, in percent, that the endpoint stated at time `now`.
    pub fn observe(&mut self, percent: u16, now: Duration) {
        let Some(figure) = factor(percent) else { return };
        let average = self.average.unwrap_or(figure);
        self.average = Some(average + SMOOTHING * (figure - average));
        self.latest = Some((figure, now));
    }

    /// Applies the average and the latest figure, in percent, over all entries.
    pub fn apply_totals(&mut self, average: u16, latest: u16, now: Duration) {
        if let Some(average) = factor(average) {
            self.average = Some(average);
        }
        let at = now.saturating_sub(TOTALS_AGE);
        if let Some(latest) = factor(latest)
            && self.latest.is_none_or(|(_, known_at)| known_at < at)
        {
            self.latest = Some((latest, at));
        }
    }

    /// Expected pace of work that begins at time `now` and takes `length` at the usual pace.
    pub fn expected(&self, now: Duration, length: Duration) -> f64 {
        let average = self.average.unwrap_or(USUAL);
        let Some((latest, at)) = self.latest else { return average };
        let memory = MEMORY.as_secs_f64();
        let age = now.saturating_sub(at).as_secs_f64();
        let length = (length.as_secs_f64() / memory).max(f64::EPSILON);
        // Mean of an exponential decay over the length of the work.
        let weight = (-age / memory).exp() * (1.0 - (-length).exp()) / length;
        average + weight * (latest - average)
    }

    /// Age at time `now` of the latest figure, if there is one.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.latest.map(|(_, at)| now.saturating_sub(at))
    }

    /// Average in steps of [`STEP`], so that entries that know slightly different averages agree.
    pub fn usual(&self) -> f64 {
        (self.average.unwrap_or(USUAL) / STEP).round().max(1.0) * STEP
    }

    /// Average and latest figure in percent, for a report; 0 if unknown.
    pub fn percent(&self) -> (u16, u16) {
        let percent = |figure: f64| (100.0 * figure).round() as u16;
        (self.average.map_or(0, percent), self.latest.map_or(0, |(latest, _)| percent(latest)))
    }
}
