//! Renders the report as a self-contained HTML page with plots as inline SVG.

use std::fmt::Write;

use eyre::WrapErr;
use plotters::prelude::ChartBuilder;
use plotters::prelude::IntoDrawingArea;
use plotters::prelude::LineSeries;
use plotters::prelude::SVGBackend;
use plotters::style::RED;
use plotters::style::WHITE;

use crate::burn::Report;
use crate::burn::Row;
use crate::table::duration;

/// Width and height of one plot in pixels.
const PLOT_SIZE: (u32, u32) = (720, 220);

const STYLE: &str = "body{font-family:sans-serif;max-width:60em;margin:2em auto}\
    table{border-collapse:collapse}td,th{border:1px solid #999;padding:.2em .6em;text-align:right}\
    .alert{color:#b00;font-weight:bold}";

/// Renders the report as one HTML page without external resources.
pub fn render(report: &Report) -> eyre::Result<String> {
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\
         <h1>Service-level burn</h1><p>Error budget over {}, until {} ms since the epoch.</p>",
        duration(report.period_s as f64),
        report.until_ms
    );
    for row in &report.rows {
        section(&mut page, row)?;
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn section(page: &mut String, row: &Row) -> eyre::Result<()> {
    let exhausted = row.exhausted_in_s.map_or_else(|| "never".to_owned(), duration);
    write!(
        page,
        "<h2>{} &middot; {}</h2><p>Objective {:.2}%; {} of {} requests missed the target; \
         budget left {:.1}%; used up in {exhausted}.</p>",
        escape(&row.deployment),
        row.rank,
        row.objective * 100.0,
        row.bad,
        row.total,
        row.budget_left * 100.0
    )?;
    page.push_str("<table><tr><th>window</th><th>requests</th><th>burn rate</th></tr>");
    for window in &row.windows {
        write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{:.2}</td></tr>",
            duration(window.seconds as f64),
            window.total,
            window.burn
        )?;
    }
    page.push_str("</table>");
    for alert in &row.alerts {
        write!(
            page,
            "<p class=\"alert\">{:?}: burn above {} over {} and {}</p>",
            alert.severity,
            alert.threshold,
            duration(alert.short_s as f64),
            duration(alert.long_s as f64)
        )?;
    }
    page.push_str(&plot(row).wrap_err("cannot draw the plot")?);
    Ok(())
}

/// Plots the burn rate over time as SVG. The time axis is in seconds before the end of the history.
fn plot(row: &Row) -> eyre::Result<String> {
    let Some(last) = row.history.last() else { return Ok(String::new()) };
    let points: Vec<(f64, f64)> = row
        .history
        .iter()
        .map(|point| (-((last.at_ms - point.at_ms) as f64) / 1000.0, point.burn))
        .collect();
    let start = points.first().map_or(-1.0, |(x, _)| x.min(-1.0));
    let top = points.iter().map(|(_, burn)| *burn).fold(1.0, f64::max);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        let draw_error = |cause: &dyn std::fmt::Display| eyre::eyre!("{cause}");
        area.fill(&WHITE).map_err(|cause| draw_error(&cause))?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(50)
            .build_cartesian_2d(start..0.0, 0.0..top * 1.1)
            .map_err(|cause| draw_error(&cause))?;
        chart
            .configure_mesh()
            .x_desc("seconds before the end")
            .y_desc("burn rate")
            .draw()
            .map_err(|cause| draw_error(&cause))?;
        chart.draw_series(LineSeries::new(points, &RED)).map_err(|cause| draw_error(&cause))?;
        area.present().map_err(|cause| draw_error(&cause))?;
    }
    Ok(svg)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
