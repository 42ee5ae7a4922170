//! Error budgets, burn rates and alerts.

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::rank::Rank;
use hickoryreel_report::burn;
use hickoryreel_report::burn::Report;
use hickoryreel_report::burn::Settings;
use hickoryreel_report::burn::Severity;
use hickoryreel_report::html;
use hickoryreel_report::sample;
use hickoryreel_report::sample::Sample;
use hickoryreel_report::table;

const MINUTE_MS: u64 = 60_000;
const START_MS: u64 = 1_000_000_000;

fn sample(minute: u64, good: u64, total: u64) -> Sample {
    Sample {
        at_ms: START_MS + minute * MINUTE_MS,
        source: "entry0".into(),
        deployment: "registry".into(),
        rank: Rank::Urgent,
        good,
        total,
    }
}

/// A bundle whose urgent objective is 99%.
fn bundle() -> Bundle {
    let text = "[bundle]\ndeployment = registry\n[rank urgent]\nobjective = 0.99\n";
    bundle::parse("test", text).expect("the bundle is valid")
}

fn report(samples: &[Sample]) -> Report {
    burn::report(samples, &bundle(), &Settings::default())
}

/// Guards against a burn rate that isn't relative to the objective.
#[test]
fn burn_rate_is_error_rate_divided_by_allowed_error_rate() {
    let samples = [sample(0, 0, 0), sample(4, 950, 1000)];

    let report = report(&samples);

    let five_minutes = report.rows[0].windows[0];
    assert_eq!(five_minutes.total, 1000);
    assert!((five_minutes.burn - 5.0).abs() < 1e-9, "{five_minutes:?}");
}

/// Guards against old errors counting in a short window.
#[test]
fn old_errors_count_only_in_long_windows() {
    let samples = [sample(0, 0, 1000), sample(50, 1000, 2000)];

    let report = report(&samples);

    let burns: Vec<f64> = report.rows[0].windows.iter().map(|window| window.burn).collect();
    assert_eq!(burns[0], 0.0);
    assert!(burns[2] > 49.0, "{burns:?}");
    let severities: Vec<Severity> =
        report.rows[0].alerts.iter().map(|alert| alert.severity).collect();
    // The short windows of both paging rules have no errors; the 2 h and 6 h windows have.
    assert_eq!(severities, [Severity::Ticket, Severity::Ticket]);
}

/// Guards against a missing page while errors use up the budget.
#[test]
fn high_burn_rate_in_both_windows_raises_a_page() {
    let samples: Vec<Sample> = (0..=60).map(|minute| sample(minute, 0, minute * 10)).collect();

    let report = report(&samples);

    assert_eq!(report.rows[0].alerts[0].severity, Severity::Page);
    assert!(report.rows[0].budget_left < 0.0);
    assert_eq!(report.rows[0].exhausted_in_s, Some(0.0));
}

/// Guards against a restart of a source that hides requests or counts them twice.
#[test]
fn restarted_source_counts_from_zero() {
    let samples = [sample(0, 100, 100), sample(1, 10, 20), sample(2, 15, 25)];

    let report = report(&samples);

    assert_eq!((report.rows[0].bad, report.rows[0].total), (10, 125));
}

/// Guards against division by zero on ranks without traffic.
#[test]
fn rank_without_requests_has_a_burn_rate_of_zero() {
    let report = report(&[sample(0, 0, 0)]);

    let row = &report.rows[0];
    assert_eq!((row.budget_left, row.exhausted_in_s), (1.0, None));
    assert!(row.windows.iter().all(|window| window.burn == 0.0));
}

/// Guards against metrics of running entries that the report can't read.
#[test]
fn prometheus_text_gives_samples() {
    let text = "# TYPE hickoryreel_slo_requests counter\n\
        hickoryreel_slo_requests_total{deployment=\"registry\",rank=\"urgent\"} 12\n\
        # TYPE hickoryreel_slo_good_requests counter\n\
        hickoryreel_slo_good_requests_total{deployment=\"registry\",rank=\"urgent\"} 11\n";

    let samples = sample::scrape(START_MS, "entry0", text).expect("the text is valid");

    assert_eq!(samples, [Sample { at_ms: START_MS, ..sample(0, 11, 12) }]);
}

/// Guards against impossible counters in a file of samples.
#[test]
fn sample_with_more_good_than_total_is_rejected() {
    let line = serde_json::to_string(&sample(0, 2, 1)).expect("a sample is JSON");

    let result = sample::read(line.as_bytes());

    let message = result.expect_err("2 of 1 is impossible").to_string();
    assert!(message.contains("line 1"), "{message}");
}

/// Guards against an HTML page that loads other resources, and against outputs without the rank.
#[test]
fn html_page_is_self_contained_and_outputs_name_the_rank() {
    let report = report(&[sample(0, 0, 0), sample(4, 950, 1000)]);

    let page = html::render(&report).expect("the page renders");
    let text = table::render(&report);

    assert!(page.contains("<svg") && page.contains("urgent"));
    assert!(!page.contains("src=") && !page.contains("href="), "the page loads something");
    assert!(text.contains("registry urgent: objective 99.00%, 50 of 1000 missed"), "{text}");
}
