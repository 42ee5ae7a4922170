//! Single failures, each with its own bounds.

use std::time::Duration;

use hickoryreel_base::rank::Rank;

use crate::fault::Fault;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::outcome::share;
use crate::row::Bound;
use crate::row::Row;
use crate::setup::BaselinePolicy;
use crate::setup::Deployment;
use crate::setup::Setup;
use crate::setup::WORKSPACE_SHARES;
use crate::sim;

/// Seconds during which requests arrive, and start and end of the failure in seconds.
const LENGTH_S: u64 = 60;
const BEGIN_S: u64 = 20;
const END_S: u64 = 40;
/// Length in seconds of the windows that recovery is measured in. A shorter window holds fewer than
/// 20 requests, so that a single miss exceeds the 5% that [`RECOVERED`] allows.
const WINDOW_S: f64 = 1.0;
/// Bound on the recovery time in seconds, and objective for urgent requests after it.
const RECOVERY_S: f64 = 5.0;
const OBJECTIVE: f64 = 0.995;
/// Share of urgent requests within the target that a recovered window reaches.
const RECOVERED: f64 = 0.95;
/// Index of the engine that becomes slow.
const SLOW_ENGINE: usize = 3;

/// Creates a run at `load` times the capacity: 35% urgent, 40% normal and 25% bulk.
pub(crate) fn setup(deployment: &Deployment, seed: u64, load: f64) -> Setup {
    let setup = Setup::one_model(deployment, seed, LENGTH_S);
    let rate = load * setup.capacity();
    setup
        .arrivals(Rank::Urgent, 0.35 * rate, &WORKSPACE_SHARES, None)
        .arrivals(Rank::Normal, 0.40 * rate, &WORKSPACE_SHARES, None)
        .arrivals(Rank::Bulk, 0.25 * rate, &WORKSPACE_SHARES, None)
}

fn seconds(at: u64) -> Duration {
    Duration::from_secs(at)
}

/// Half of the engines crash at the same time and do not come back.
pub(crate) fn half_pool(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.6);
    let half = (0..deployment.engines / 2).collect();
    setup.faults = vec![(seconds(BEGIN_S), Fault::Down(half))];
    let measured = sim::run(&setup);
    let round_robin = sim::run(&setup.under_baseline(BaselinePolicy::RoundRobin));
    let after = |outcome: &Outcome| {
        outcome.within_target(Rank::Urgent, BEGIN_S as f64 + RECOVERY_S, LENGTH_S as f64)
    };
    vec![
        Row::new(
            name,
            "recovery to the target for urgent work",
            recovery(&measured),
            "s",
            Bound::AtMost(RECOVERY_S),
        )
        .with_baseline("round robin", recovery(&round_robin)),
        Row::new(
            name,
            "urgent within target after the recovery time",
            after(&measured),
            "share",
            Bound::AtLeast(OBJECTIVE),
        )
        .with_baseline("round robin", after(&round_robin)),
    ]
}

/// Seconds from the failure to the end of the last window that missed the target; infinite if that
/// is the last window of the run.
fn recovery(outcome: &Outcome) -> f64 {
    let (begin, end) = (BEGIN_S as f64, LENGTH_S as f64);
    let window_count = ((end - begin) / WINDOW_S) as u32;
    let missed = (0..window_count).rev().find(|window| {
        let from = begin + f64::from(*window) * WINDOW_S;
        outcome.within_target(Rank::Urgent, from, from + WINDOW_S) < RECOVERED
    });
    match missed {
        Some(last) if last + 1 == window_count => f64::INFINITY,
        Some(last) => f64::from(last + 1) * WINDOW_S,
        None => 0.0,
    }
}

/// A network partition separates one region from the others, without connection errors, and heals.
pub(crate) fn region_cut(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.5);
    setup.faults = vec![
        (seconds(BEGIN_S), Fault::Partition(2, true)),
        (seconds(END_S), Fault::Partition(2, false)),
    ];
    let measured = sim::run(&setup);
    let round_robin = sim::run(&setup.under_baseline(BaselinePolicy::RoundRobin));
    let partitioned = |record: &Record| record.entry % 3 == 2;
    let within = |outcome: &Outcome| {
        let side = |in_region: bool| {
            let window = outcome.window(Rank::Urgent, BEGIN_S as f64, LENGTH_S as f64);
            share(window.filter(|record| partitioned(record) == in_region), Record::within_target)
        };
        side(true).min(side(false))
    };
    vec![
        Row::new(
            name,
            "urgent within target, worse side",
            within(&measured),
            "share",
            Bound::AtLeast(0.99),
        )
        .with_baseline("round robin", within(&round_robin)),
        Row::new(
            name,
            "extra requests caused by retries",
            measured.extra_attempts(),
            "share",
            Bound::AtMost(0.10),
        )
        .with_baseline("round robin", round_robin.extra_attempts()),
    ]
}

/// One engine slows down to a tenth of its speed.
pub(crate) fn slow_engine(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut setup = setup(deployment, seed, 0.5);
    setup.faults = vec![(seconds(BEGIN_S), Fault::Speed(SLOW_ENGINE, 0.1))];
    let measured = sim::run(&setup);
    let round_robin = sim::run(&setup.under_baseline(BaselinePolicy::RoundRobin));
    // Round robin has no detection, so its share is measured from the same time on.
    let detected =
        measured.first_ejections[SLOW_ENGINE].map_or(f64::INFINITY, |at| at.as_secs_f64());
    let sent_to_slow = |outcome: &Outcome| {
        let urgent = outcome.window(Rank::Urgent, detected, LENGTH_S as f64);
        if detected.is_finite() {
            share(urgent, |record| record.engine == Some(SLOW_ENGINE))
        } else {
            1.0
        }
    };
    let delay = detected - BEGIN_S as f64;
    vec![
        Row::new(
            name,
            "urgent requests caught after detection",
            sent_to_slow(&measured),
            "share",
            Bound::AtMost(0.01),
        )
        .with_baseline("round robin", sent_to_slow(&round_robin)),
        Row::new(name, "time to detection", delay, "s", None),
    ]
}

/// Load reports are delayed by 5 s, and 30% of them are lost.
pub(crate) fn late_reports(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let fresh = setup(deployment, seed, 0.6);
    let mut late = fresh.clone();
    late.faults = vec![(Duration::ZERO, Fault::Reports { delay: seconds(5), loss: 0.3 })];
    let p95 =
        |setup: &Setup| sim::run(setup).first_token(Rank::Urgent, 10.0, LENGTH_S as f64, 0.95);
    let p95_ratio = |fresh: &Setup, late: &Setup| p95(late) / p95(fresh);
    let round_robin = p95_ratio(
        &fresh.under_baseline(BaselinePolicy::RoundRobin),
        &late.under_baseline(BaselinePolicy::RoundRobin),
    );
    vec![
        Row::new(
            name,
            "first token p95 urgent against fresh reports",
            p95_ratio(&fresh, &late),
            "ratio",
            Bound::AtMost(1.25),
        )
        .with_baseline("round robin", round_robin),
        Row::new(name, "first token p95 urgent", p95(&late), "s", None)
            .with_baseline("round robin", p95(&late.under_baseline(BaselinePolicy::RoundRobin))),
    ]
}
