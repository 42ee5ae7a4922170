//! Error budgets and burn rates.
//!
//! The error budget of a rank is the share of requests that may miss the target over a period. A
//! burn rate of 1 uses up the budget exactly at the end of the period. An alert needs a high rate
//! over a long and over a short window: the long one shows that it matters, the short one that it
//! still goes on.

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use serde::Deserialize;
use serde::Serialize;

use crate::sample::Sample;
use crate::series;
use crate::series::Increment;

/// Seconds in a minute, an hour and a day.
const MINUTE_S: u64 = 60;
const HOUR_S: u64 = 60 * MINUTE_S;
const DAY_S: u64 = 24 * HOUR_S;

/// How to compute a report.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Period of the error budget, in seconds.
    pub period_s: u64,
    /// Pairs of windows to watch.
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

/// An alert rule over two windows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// Short window, in seconds.
    pub short_s: u64,
    /// Long window, in seconds.
    pub long_s: u64,
    /// Burn rate above which both windows must be.
    pub threshold: f64,
    /// How urgent the alert is.
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
    /// Wake someone.
    Page,
    /// Look at it on the next working day.
    Ticket,
}

/// A burn report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// End of all windows, in milliseconds since the Unix epoch.
    pub until_ms: u64,
    /// Period of the error budget, in seconds.
    pub period_s: u64,
    /// One row for each deployment and rank.
    pub rows: Vec<Row>,
}

/// Budget and burn of one deployment and rank.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The deployment.
    pub deployment: Deployment,
    /// The rank.
    pub rank: Rank,
    /// Share of requests to be within target, 0 to 1.
    pub objective: f64,
    /// Requests in the period.
    pub total: u64,
    /// Requests in the period that missed the target or failed.
    pub bad: u64,
    /// Share of the budget that is left; negative when it is overspent.
    pub budget_left: f64,
    /// Seconds until the budget is used up at the present rate; absent when it isn't burning.
    pub exhausted_in_s: Option<f64>,
    /// Burn over each window, shortest first.
    pub windows: Vec<Window>,
    /// Rules that fire.
    pub alerts: Vec<Rule>,
    /// Burn rate over time, for plots.
    pub history: Vec<Point>,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// Length in seconds.
    pub seconds: u64,
    /// Requests in the window.
    pub total: u64,
    /// Burn rate: 1 uses up the budget exactly in one period.
    pub burn: f64,
}

/// Burn over the shortest window at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Burn rate over the shortest window.
    pub burn: f64,
}

/// Points in the history of one row.
const HISTORY_POINTS: u64 = 120;

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
    let burn = |seconds: u64, at_ms: u64| window(increments, objective, seconds, at_ms);
    let mut lengths: Vec<u64> =
        settings.rules.iter().flat_map(|rule| [rule.short_s, rule.long_s]).collect();
    lengths.sort_unstable();
    lengths.dedup();
    let fires = |rule: &&Rule| {
        let both = [rule.short_s, rule.long_s];
        both.iter().all(|seconds| burn(*seconds, until_ms).burn > rule.threshold)
    };
    let (bad, total) = count(increments, settings.period_s, until_ms);
    let allowed = (1.0 - objective) * total as f64;
    let budget_left = if total == 0 { 1.0 } else { 1.0 - ratio(bad as f64, allowed) };
    let shortest = lengths.first().copied().unwrap_or(HOUR_S);
    let present = burn(HOUR_S, until_ms).burn;
    Row {
        deployment: key.deployment,
        rank: key.rank,
        objective,
        total,
        bad,
        budget_left,
        exhausted_in_s: (present > 0.0)
            .then(|| budget_left.max(0.0) * settings.period_s as f64 / present),
        windows: lengths.iter().map(|seconds| burn(*seconds, until_ms)).collect(),
        alerts: settings.rules.iter().filter(fires).copied().collect(),
        history: history(increments, until_ms, |at_ms| burn(shortest, at_ms).burn),
    }
}

fn window(increments: &[Increment], objective: f64, seconds: u64, at_ms: u64) -> Window {
    let (bad, total) = count(increments, seconds, at_ms);
    let error_rate = ratio(bad as f64, total as f64);
    Window { seconds, total, burn: ratio(error_rate, 1.0 - objective) }
}

/// Bad and all requests in the window of `seconds` that ends at `at_ms`.
fn count(increments: &[Increment], seconds: u64, at_ms: u64) -> (u64, u64) {
    let since_ms = at_ms.saturating_sub(seconds * 1000);
    // A window that reaches back to the epoch includes its first millisecond.
    let inside = |of: &&Increment| of.at_ms <= at_ms && (of.at_ms > since_ms || since_ms == 0);
    let inside = increments.iter().filter(inside);
    inside.fold((0, 0), |(bad, total), of| (bad + of.bad, total + of.total))
}

/// `part / whole`, with nothing out of nothing as 0.
fn ratio(part: f64, whole: f64) -> f64 {
    if part == 0.0 { 0.0 } else { part / whole }
}

fn history(increments: &[Increment], until_ms: u64, burn: impl Fn(u64) -> f64) -> Vec<Point> {
    let Some(first) = increments.first() else { return Vec::new() };
    let step = ((until_ms - first.at_ms) / HISTORY_POINTS).max(1);
    let times = (0..=HISTORY_POINTS).map(|point| first.at_ms + point * step);
    times
        .take_while(|at_ms| *at_ms <= until_ms)
        .map(|at_ms| Point { at_ms, burn: burn(at_ms) })
        .collect()
}
