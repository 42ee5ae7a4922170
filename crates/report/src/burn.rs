//! Error budgets and burn rates.
//!
//! The error budget of a rank is the share of requests that may miss the target over a period. A
//! burn rate of 1 uses up the budget exactly at the end of the period. An alert needs a high burn
//! rate over a long and over a short window: the long window ignores short bursts of errors, and
//! the short window ends the alert soon after the errors stop.

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::sample::Sample;
use crate::series;
use crate::series::Increment;

const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// Parameters of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Period of the error budget, in seconds.
    pub period_s: u64,
    /// Alert rules; their windows are also the windows of the report.
    pub rules: Vec<Rule>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period_s: 28 * DAY_S,
            rules: vec![
                Rule::new(5 * MINUTE_S, HOUR_S, 14.4, Severity::Page),
                Rule::new(30 * MINUTE_S, 6 * HOUR_S, 6.0, Severity::Page),
                Rule::new(2 * HOUR_S, DAY_S, 3.0, Severity::Ticket),
                Rule::new(6 * HOUR_S, 3 * DAY_S, 1.0, Severity::Ticket),
            ],
        }
    }
}

/// An alert rule over two windows. It fires while the burn rate is high over both.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Length of the short window, in seconds.
    pub short_s: u64,
    /// Length of the long window, in seconds.
    pub long_s: u64,
    /// The rule fires if the burn rate over both windows is above this.
    pub threshold: f64,
    pub severity: Severity,
}

impl Rule {
    const fn new(short_s: u64, long_s: u64, threshold: f64, severity: Severity) -> Self {
        Self { short_s, long_s, threshold, severity }
    }
}

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// Pages the person on call.
    Page,
    /// Opens a ticket to be handled on the next working day.
    Ticket,
}

/// Error budgets and burn rates at one time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// End of all windows, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Period of the error budget, in seconds.
    pub period_s: u64,
    /// One row for each deployment and rank.
    pub rows: Vec<Row>,
}

/// Error budget and burn rates of one deployment and rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub deployment: Deployment,
    pub rank: Rank,
    /// Share of requests that should be within target, 0 to 1.
    pub objective: f64,
    /// Requests in the period.
    pub total: u64,
    /// Requests in the period that missed the target or failed.
    pub bad: u64,
    /// Share of the budget that is left, at most 1; negative when it is overspent.
    pub budget_left: f64,
    /// Seconds until the budget is used up at the burn rate of the last hour; absent if that is 0.
    pub exhausted_in_s: Option<f64>,
    /// Burn rate over each window, shortest first.
    pub windows: Vec<Window>,
    /// Rules that fire.
    pub alerts: Vec<Rule>,
    /// Burn rate over the shortest window at regular times, oldest first.
    pub history: Vec<Point>,
}

/// Burn rate over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Requests in the window.
    pub total: u64,
    /// Burn rate: 1 uses up the budget exactly in one period.
    pub burn: f64,
}

/// Burn rate over the shortest window at one time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub burn: f64,
}

/// Intervals between the points in the history of one row.
const HISTORY_INTERVALS: u64 = 120;

/// Computes the report at the time of the newest sample.
#[must_use]
pub fn report(samples: &[Sample], bundle: &Bundle, settings: &Settings) -> Report {
    let until_ms = samples.iter().map(|sample| sample.at_ms).max().unwrap_or(0);
    let rows = series::increments(samples)
        .into_iter()
        .map(|(key, increments)| {
            let objective = bundle.rank(key.rank).objective;
            row(key, &increments, objective, until_ms, settings)
        })
        .collect();
    Report { until_ms, period_s: settings.period_s, rows }
}

fn row(
    key: series::Key,
    increments: &[Increment],
    objective: f64,
    until_ms: u64,
    settings: &Settings,
) -> Row {
    let window_at = |seconds: u64, at_ms: u64| window(increments, objective, seconds, at_ms);
    let mut lengths: Vec<u64> =
        settings.rules.iter().flat_map(|rule| [rule.short_s, rule.long_s]).collect();
    lengths.sort_unstable();
    lengths.dedup();
    let fires = |rule: &&Rule| {
        let windows_s = [rule.short_s, rule.long_s];
        windows_s.iter().all(|seconds| window_at(*seconds, until_ms).burn > rule.threshold)
    };
    let (bad, total) = count(increments, settings.period_s, until_ms);
    let allowed_bad = (1.0 - objective) * total as f64;
    let budget_left = if total == 0 { 1.0 } else { 1.0 - ratio(bad as f64, allowed_bad) };
    let shortest_s = lengths.first().copied().unwrap_or(HOUR_S);
    let hourly_burn = window_at(HOUR_S, until_ms).burn;
    Row {
        deployment: key.deployment,
        rank: key.rank,
        objective,
        total,
        bad,
        budget_left,
        exhausted_in_s: (hourly_burn > 0.0)
            .then(|| budget_left.max(0.0) * settings.period_s as f64 / hourly_burn),
        windows: lengths.iter().map(|seconds| window_at(*seconds, until_ms)).collect(),
        alerts: settings.rules.iter().filter(fires).copied().collect(),
        history: history(increments, until_ms, |at_ms| window_at(shortest_s, at_ms).burn),
    }
}

fn window(increments: &[Increment], objective: f64, seconds: u64, at_ms: u64) -> Window {
    let (bad, total) = count(increments, seconds, at_ms);
    let error_rate = ratio(bad as f64, total as f64);
    Window { seconds, total, burn: ratio(error_rate, 1.0 - objective) }
}

/// Returns the number of bad requests and of all requests in the window of `seconds` that ends at
/// `at_ms`.
fn count(increments: &[Increment], seconds: u64, at_ms: u64) -> (u64, u64) {
    let since_ms = at_ms.saturating_sub(seconds * 1000);
    // The start is exclusive, except that a window that reaches back to the epoch includes it.
    let is_inside = |increment: &&Increment| {
        increment.at_ms <= at_ms && (increment.at_ms > since_ms || since_ms == 0)
    };
    let inside = increments.iter().filter(is_inside);
    inside.fold((0, 0), |(bad, total), increment| (bad + increment.bad, total + increment.total))
}

/// Returns `part / whole`, or 0 if `part` is 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if part == 0.0 { 0.0 } else { part / whole }
}

fn history(increments: &[Increment], until_ms: u64, burn: impl Fn(u64) -> f64) -> Vec<Point> {
    let Some(first) = increments.first() else { return Vec::new() };
    let interval_ms = ((until_ms - first.at_ms) / HISTORY_INTERVALS).max(1);
    let times = (0..=HISTORY_INTERVALS).map(|point| first.at_ms + point * interval_ms);
    times
        .take_while(|at_ms| *at_ms <= until_ms)
        .map(|at_ms| Point { at_ms, burn: burn(at_ms) })
        .collect()
}
