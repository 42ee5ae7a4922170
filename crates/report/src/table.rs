//! Renders the report as plain text.

use std::fmt::Write;

use crate::burn::Report;
use crate::burn::Row;

/// Renders the report for a terminal.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut text = String::new();
    for row in &report.rows {
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", headline(row));
        for window in &row.windows {
            let length = duration(window.seconds as f64);
            let _ = writeln!(
                text,
                "  burn over {length:>4}  {:>8.2}  ({} requests)",
                window.burn, window.total
            );
        }
        for alert in &row.alerts {
            let _ = writeln!(
                text,
                "  ALERT {:?}: burn above {} over {} and {}",
                alert.severity,
                alert.threshold,
                duration(alert.short_s as f64),
                duration(alert.long_s as f64)
            );
        }
    }
    text
}

fn headline(row: &Row) -> String {
    let exhausted = row.exhausted_in_s.map_or_else(|| "never".to_owned(), duration);
    format!(
        "{} {}: objective {:.2}%, {} of {} missed, budget left {:.1}%, used up in {exhausted}",
        row.deployment,
        row.rank,
        row.objective * 100.0,
        row.bad,
        row.total,
        row.budget_left * 100.0,
    )
}

/// Formats a duration, rounded to the largest unit that it fills, such as `6h`.
#[must_use]
pub fn duration(seconds: f64) -> String {
    let units = [(86_400.0, "d"), (3_600.0, "h"), (60.0, "m")];
    let fitting = units.iter().find(|(length, _)| seconds >= *length);
    let (length, unit) = fitting.copied().unwrap_or((1.0, "s"));
    format!("{:.0}{unit}", seconds / length)
}
