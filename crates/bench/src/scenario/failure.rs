//! Single failures with bounds of their own.

use std::time::Duration;

use hickoryreel_base::rank::Rank;

use crate::fault::Fault;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::outcome::share;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::Deployment;
use crate::setup::PARTS;
use crate::setup::Plain;
use crate::setup::Setup;
use crate::sim;

/// Seconds of arrivals, and when the failure begins and ends.
const LENGTH_S: u64 = 60;
const BEGIN_S: u64 = 20;
const END_S: u64 = 40;
/// Windows in which recovery is looked for, in seconds, and the share within target that counts. A
/// shorter window holds fewer than 20 requests, of which one miss is more than 5%.
const WINDOW_S: f64 = 1.0;
/// Recovery that the bound allows, in seconds, and the objective for urgent work after it.
const RECOVERY_S: f64 = 5.0;
const OBJECTIVE: f64 = 0.995;
const RECOVERED: f64 = 0.95;
/// The engine that becomes slow.
const SLOW: usize = 3;

/// A run at `load` of the capacity: 35% urgent, 40% normal, 25% bulk.
pub(crate) fn setup(deployment: &Deployment, seed: u64, load: f64) -> Setup {
    let setup = Setup::one_model(deployment, seed, LENGTH_S);
    let rate = load * setup.capacity();
    setup
        .arrivals(Rank::Urgent, 0.35 * rate, &PARTS, None)
        .arrivals(Rank::Normal, 0.40 * rate, &PARTS, None)
        .arrivals(Rank::Bulk, 0.25 * rate, &PARTS, None)
}

fn seconds(at: u64) -> Duration {
    Duration::from_secs(at)
}

/// Half of the engines crash at once and stay away.
pub(crate) fn half_pool(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.6);
    let half = (0..deployment.engines / 2).collect();
    setup.faults = vec![(seconds(BEGIN_S), Fault::Down(half))];
    let ours = sim::run(&setup);
    let in_turn = sim::run(&setup.under(Plain::RoundRobin));
    let after = |outcome: &Outcome| {
        outcome.within_target(Rank::Urgent, BEGIN_S as f64 + RECOVERY_S, LENGTH_S as f64)
    };
    vec![
        Row::new(
            name,
            "recovery to the target for urgent work",
            recovery(&ours),
            "s",
            Bound::AtMost(RECOVERY_S),
        )
        .against("round robin", recovery(&in_turn)),
        Row::new(
            name,
            "urgent within target after the recovery time",
            after(&ours),
            "share",
            Bound::AtLeast(OBJECTIVE),
        )
        .against("round robin", after(&in_turn)),
    ]
}

/// Seconds from the failure to the end of the last window that missed the target.
fn recovery(outcome: &Outcome) -> f64 {
    let (begin, end) = (BEGIN_S as f64, LENGTH_S as f64);
    let windows = ((end - begin) / WINDOW_S) as u32;
    let missed = (0..windows).rev().find(|window| {
        let from = begin + f64::from(*window) * WINDOW_S;
        outcome.within_target(Rank::Urgent, from, from + WINDOW_S) < RECOVERED
    });
    match missed {
        Some(last) if last + 1 == windows => f64::INFINITY,
        Some(last) => f64::from(last + 1) * WINDOW_S,
        None => 0.0,
    }
}

/// One region is cut off silently, and comes back.
pub(crate) fn region_cut(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.5);
    setup.faults =
        vec![(seconds(BEGIN_S), Fault::Cut(2, true)), (seconds(END_S), Fault::Cut(2, false))];
    let ours = sim::run(&setup);
    let in_turn = sim::run(&setup.under(Plain::RoundRobin));
    let cut_off = |record: &Record| record.entry % 3 == 2;
    let within = |outcome: &Outcome| {
        let side = |inside: bool| {
            let window = outcome.window(Rank::Urgent, BEGIN_S as f64, LENGTH_S as f64);
            share(window.filter(|r| cut_off(r) == inside), Record::within_target)
        };
        side(true).min(side(false))
    };
    vec![
        Row::new(
            name,
            "urgent within target, worse side",
            within(&ours),
            "share",
            Bound::AtLeast(0.99),
        )
        .against("round robin", within(&in_turn)),
        Row::new(
            name,
            "extra requests caused by retries",
            ours.extra_attempts(),
            "share",
            Bound::AtMost(0.10),
        )
        .against("round robin", in_turn.extra_attempts()),
    ]
}

/// One engine falls to a tenth of its speed.
pub(crate) fn slow_engine(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.5);
    setup.faults = vec![(seconds(BEGIN_S), Fault::Speed(SLOW, 0.1))];
    let ours = sim::run(&setup);
    let in_turn = sim::run(&setup.under(Plain::RoundRobin));
    // Round robin never detects anything; its share is taken from the same moment.
    let detected = ours.ejected[SLOW].map_or(f64::INFINITY, |at| at.as_secs_f64());
    let caught = |outcome: &Outcome| {
        let all = outcome.window(Rank::Urgent, detected, LENGTH_S as f64);
        if detected.is_finite() { share(all, |r| r.engine == Some(SLOW)) } else { 1.0 }
    };
    let delay = detected - BEGIN_S as f64;
    vec![
        Row::new(
            name,
            "urgent requests caught after detection",
            caught(&ours),
            "share",
            Bound::AtMost(0.01),
        )
        .against("round robin", caught(&in_turn)),
        Row::new(name, "time to detection", delay, "s", None),
    ]
}

/// Load reports arrive 5 s late and three in ten are lost.
pub(crate) fn late_reports(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let fresh = setup(deployment, seed, 0.6);
    let mut late = fresh.clone();
    late.faults = vec![(Duration::ZERO, Fault::Reports { late: seconds(5), lost: 0.3 })];
    let p95 =
        |setup: &Setup| sim::run(setup).first_token(Rank::Urgent, 10.0, LENGTH_S as f64, 0.95);
    let ratio = |fresh: &Setup, late: &Setup| p95(late) / p95(fresh);
    let in_turn = ratio(&fresh.under(Plain::RoundRobin), &late.under(Plain::RoundRobin));
    vec![
        Row::new(
            name,
            "first token p95 urgent against fresh reports",
            ratio(&fresh, &late),
            "ratio",
            Bound::AtMost(1.25),
        )
        .against("round robin", in_turn),
        Row::new(name, "first token p95 urgent", p95(&late), "s", None)
            .against("round robin", p95(&late.under(Plain::RoundRobin))),
    ]
}
