//! Totals of the load that the entries report.
//!
//! Each report of an entry replaces its previous one. Every report is answered with the totals over
//! all entries.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet::load::Report;

/// Age at which the latest report of an entry is dropped: several report intervals.
const REPORT_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time in which the weight of an ended send halves. Long enough for all entries together to send
/// several requests to an endpoint, short enough to retry a recovered endpoint soon.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The same for the average pace of an endpoint: many times as long as neighbours slow it down.
const PACE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Weight of ended sends below which an endpoint without outstanding requests is dropped.
const MIN_WEIGHT: f64 = 0.05;

struct LatestReport {
    received_at: Duration,
    loads: Vec<EndpointLoad>,
}

#[derive(Clone, Copy, Default)]
struct EndpointTotals {
    outstanding: i64,
    prefill_ms: [i64; RANKS],
    prompt_tokens: i64,
    /// Sends that succeeded, weighted by their age.
    succeeded: f64,
    /// Sends that failed, weighted by their age.
    failed: f64,
    /// Sum and weight of the paces that entries reported.
    pace: (f64, f64),
    latest_pace: u16,
    decayed_at: Duration,
}

impl EndpointTotals {
    fn decay(&mut self, now: Duration) {
        let half_lives =
            now.saturating_sub(self.decayed_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.succeeded *= factor;
        self.failed *= factor;
        let factor = factor.powf(HALF_LIFE.as_secs_f64() / PACE_HALF_LIFE.as_secs_f64());
        self.pace = (self.pace.0 * factor, self.pace.1 * factor);
        self.decayed_at = now;
    }

    fn add_pace(&mut self, load: &EndpointLoad) {
        if load.pace > 0 {
            self.pace = (self.pace.0 + f64::from(load.pace), self.pace.1 + 1.0);
            self.latest_pace = load.latest_pace;
        }
    }

    fn average_pace(&self) -> u16 {
        let (sum, weight) = self.pace;
        if weight > 0.0 { (sum / weight).round() as u16 } else { 0 }
    }

    fn is_empty(&self) -> bool {
        self.outstanding <= 0
            && self.prefill_ms.iter().all(|prefill_ms| *prefill_ms <= 0)
            && self.prompt_tokens <= 0
            && self.succeeded + self.failed < MIN_WEIGHT
    }
}

/// Load of every endpoint, summed over all entries.
#[derive(Default)]
pub struct LoadTotals {
    latest_reports: HashMap<Name, LatestReport>,
    totals: HashMap<EndpointKey, EndpointTotals>,
}

impl LoadTotals {
    /// Replaces the previous report of the entry and returns the totals over all entries.
    pub fn add_report(&mut self, report: Report, now: Duration) -> Vec<EndpointLoad> {
        for load in &report.loads {
            let total = self.totals.entry(load.endpoint).or_default();
            total.decay(now);
            total.succeeded += f64::from(load.succeeded);
            total.failed += f64::from(load.failed);
            total.add_pace(load);
        }
        self.add_outstanding(&report.loads, 1);
        if let Some(previous) = self
            .latest_reports
            .insert(report.entry, LatestReport { received_at: now, loads: report.loads })
        {
            self.add_outstanding(&previous.loads, -1);
        }
        self.expire(now);
        let totals = self.totals.iter().map(|(endpoint, total)| EndpointLoad {
            endpoint: *endpoint,
            outstanding: u32::try_from(total.outstanding).unwrap_or(0),
            prefill_ms: total.prefill_ms.map(|prefill_ms| u32::try_from(prefill_ms).unwrap_or(0)),
            // More than any endpoint holds.
            prompt_tokens: u32::try_from(total.prompt_tokens.max(0)).unwrap_or(u32::MAX),
            succeeded: total.succeeded.round() as u32,
            failed: total.failed.round() as u32,
            pace: total.average_pace(),
            latest_pace: total.latest_pace,
        });
        totals.collect()
    }

    fn add_outstanding(&mut self, loads: &[EndpointLoad], sign: i64) {
        for load in loads {
            let total = self.totals.entry(load.endpoint).or_default();
            total.outstanding += sign * i64::from(load.outstanding);
            total.prompt_tokens += sign * i64::from(load.prompt_tokens);
            for (total_ms, prefill_ms) in total.prefill_ms.iter_mut().zip(load.prefill_ms) {
                *total_ms += sign * i64::from(prefill_ms);
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        let expired: Vec<Name> = self
            .latest_reports
            .iter()
            .filter(|(_, report)| now >= report.received_at + REPORT_MAX_AGE)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in expired {
            if let Some(report) = self.latest_reports.remove(&entry) {
                self.add_outstanding(&report.loads, -1);
            }
        }
        self.totals.retain(|_, total| {
            total.decay(now);
            !total.is_empty()
        });
    }
}
