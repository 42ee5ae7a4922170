//! Tests of the concurrency limits, which follow delayed load reports.

use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::limit;
use hickoryreel_policy::limit::Settings;
use hickoryreel_policy::view;
use hickoryreel_policy::view::Endpoint;
use hickoryreel_policy::view::Rates;
use hickoryreel_policy::view::Report;
use hickoryreel_policy::view::View;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

const SHARE: f64 = 0.125;

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn id() -> name::Endpoint {
    "engine".into()
}

fn view() -> View {
    let mut view = View::new(&"entry".into(), "khomas".into(), view::Settings::default());
    view.extend([Endpoint::new(id(), "khomas".into(), "a".into(), Rates::default())]);
    view
}

fn report(view: &mut View, running: u32, gap_ms: u64, measured_at: Duration) {
    let report = Report { running, max_running: 64, token_gap: at(gap_ms), ..Report::default() };
    let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
    view.on_report(&id(), report, measured_at, measured_at + at(24), &mut random);
}

fn allowance(view: &View, rank: Rank, floor: bool, now: Duration) -> f64 {
    let endpoint = view.get(&id()).expect("the endpoint is in the view");
    limit::allowance(&Settings::default(), endpoint, SHARE, rank, floor, now)
}

/// Guards against eight entries that each fill all free slots of the same report.
#[test]
fn entries_together_stay_within_the_limit() {
    let mut view = view();
    report(&mut view, 0, 20, at(1_000));

    let slots = view.get(&id()).map(|endpoint| endpoint.limit.slots());
    let allowed = 8.0 * allowance(&view, Rank::Normal, false, at(1_100));

    assert_eq!(slots, Some(32.0));
    assert!(allowed <= 32.0, "allowed {allowed}");
}

/// Guards against sends since the report whose slots still count as free.
#[test]
fn own_sends_use_up_the_allowance() {
    let mut view = view();
    report(&mut view, 16, 20, at(1_000));
    let before = allowance(&view, Rank::Normal, false, at(1_100));

    (0..3).for_each(|_| view.on_sent(&id(), at(1_100)));
    let endpoint = view.get(&id()).expect("the endpoint is in the view");

    assert_eq!(allowance(&view, Rank::Normal, false, at(1_100)), before);
    assert_eq!((endpoint.outstanding, endpoint.load()), (3, 19));
}

/// Guards against an old report that is trusted like a fresh one.
#[test]
fn an_old_report_leaves_only_the_fair_share() {
    let mut view = view();
    report(&mut view, 0, 20, at(1_000));
    (0..20).for_each(|_| view.on_sent(&id(), at(900)));

    let old = allowance(&view, Rank::Urgent, false, at(6_000));

    let fair = 32.0 * Settings::default().fill_fractions[0] * SHARE;
    assert!((old - fair).abs() < 1e-9, "allowed {old}, fair {fair}");
}

/// Guards against a limit that ignores slow decoding at the present batch size.
#[test]
fn the_limit_falls_when_tokens_come_too_slowly() {
    let mut view = view();

    (1..=10).for_each(|index| report(&mut view, 32, 60, at(500 * index)));

    let slots = view.get(&id()).map(|endpoint| endpoint.limit.slots()).unwrap_or_default();
    assert!(slots < 20.0, "limit {slots}");
}

/// Guards against a limit that never grows to the capacity of the engine.
#[test]
fn the_limit_rises_while_it_is_used() {
    let mut view = view();

    (1..=40).for_each(|index| report(&mut view, 30, 25, at(500 * index)));

    let slots = view.get(&id()).map(|endpoint| endpoint.limit.slots()).unwrap_or_default();
    assert!(slots > 40.0, "limit {slots}");
}

/// Guards against bulk requests that take the slots reserved for urgent requests, and against
/// requests served from a floor that can't use them.
#[test]
fn each_rank_fills_its_own_fraction_of_the_limit() {
    let mut view = view();
    report(&mut view, 16, 20, at(1_000));
    let allowed = |rank, floor| allowance(&view, rank, floor, at(1_100));

    assert!(allowed(Rank::Bulk, false) < allowed(Rank::Normal, false));
    assert!(allowed(Rank::Normal, false) < allowed(Rank::Urgent, false));
    assert_eq!(allowed(Rank::Bulk, true), allowed(Rank::Urgent, false));
}

/// Guards against reports that arrive out of order.
#[test]
fn an_older_report_is_ignored() {
    let mut view = view();
    report(&mut view, 16, 20, at(1_000));

    report(&mut view, 3, 20, at(500));

    let running = view.get(&id()).and_then(|endpoint| endpoint.report).map(|report| report.running);
    assert_eq!(running, Some(16));
}
