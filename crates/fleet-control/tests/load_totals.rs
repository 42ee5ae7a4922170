//! Totals of the load that the entries report.

use std::time::Duration;

use hickoryreel_fleet::crash;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::Report;
use hickoryreel_fleet_control::load_totals::LoadTotals;

fn load(outstanding: u32, prefill_ms: u32, succeeded: u32, failed: u32) -> EndpointLoad {
    EndpointLoad {
        endpoint: EndpointKey::of("e1"),
        outstanding,
        prefill_ms: [0, prefill_ms, 0],
        prompt_tokens: 0,
        succeeded,
        failed,
        pace: 0,
        latest_pace: 0,
    }
}

fn report(entry: &str, loads: &[EndpointLoad]) -> Report {
    Report {
        entry: entry.into(),
        loads: loads.to_vec(),
        sends: Vec::new(),
        crashes: crash::Report::default(),
    }
}

const START: Duration = Duration::from_secs(100);

/// Guards against a report that is added to the previous report of the entry instead of replacing
/// it.
#[test]
fn report_replaces_the_previous_one_of_the_entry() {
    let mut load_totals = LoadTotals::default();
    load_totals.add_report(report("a", &[load(2, 300, 0, 0)]), START);
    load_totals.add_report(report("b", &[load(1, 50, 0, 0)]), START);

    let totals = load_totals.add_report(report("a", &[load(4, 100, 0, 0)]), START);

    assert_eq!(totals, [load(5, 150, 0, 0)]);
}

/// Guards against prompts of one entry that the others do not learn of, and against those of a previous
/// report that still count.
#[test]
fn prompt_tokens_are_summed_over_the_latest_reports() {
    let with_prompts = |prompt_tokens| EndpointLoad { prompt_tokens, ..load(1, 0, 0, 0) };
    let mut load_totals = LoadTotals::default();
    load_totals.add_report(report("a", &[with_prompts(4_000)]), START);
    load_totals.add_report(report("b", &[with_prompts(u32::MAX)]), START);

    let highest = load_totals.add_report(report("a", &[with_prompts(3_000)]), START);
    let totals = load_totals.add_report(report("b", &[with_prompts(500)]), START);
    let rest = load_totals.add_report(report("a", &[]), START);

    let tokens = |totals: &[EndpointLoad]| totals[0].prompt_tokens;
    assert_eq!([&highest, &totals, &rest].map(|totals| tokens(totals)), [u32::MAX, 3_500, 500]);
}

/// Guards against an endpoint that seems busy because of requests of an entry that has stopped.
#[test]
fn load_of_an_entry_that_stopped_reporting_is_dropped() {
    let mut load_totals = LoadTotals::default();
    load_totals.add_report(report("a", &[load(2, 300, 0, 0)]), START);

    let totals = load_totals.add_report(report("b", &[]), START + Duration::from_secs(2));

    assert!(totals.is_empty());
}

/// Guards against old failures that count against an endpoint after it has recovered.
#[test]
fn weight_of_ended_sends_decays() {
    let mut load_totals = LoadTotals::default();
    load_totals.add_report(report("a", &[load(0, 0, 0, 8)]), START);

    let totals =
        load_totals.add_report(report("b", &[load(0, 0, 4, 0)]), START + Duration::from_secs(4));

    assert_eq!(totals, [load(0, 0, 4, 2)]);
    let totals = load_totals.add_report(report("b", &[]), START + Duration::from_secs(40));
    assert!(totals.is_empty());
}
