//! The faults singly, in pairs and twice.

use std::time::Duration;

use hickoryreel_base::rank::Rank;

use crate::fault::Fault;
use crate::outcome::End;
use crate::outcome::Outcome;
use crate::row::Bound;
use crate::row::Row;
use crate::scenario::failure;
use crate::setup::Deployment;
use crate::setup::Setup;
use crate::sim;

/// When the first and the second fault begin, how long each lasts, and when the run has to be back
/// at its target, in seconds.
const FIRST_S: u64 = 10;
const SECOND_S: u64 = 14;
const AGAIN_S: u64 = 28;
const LASTS_S: u64 = 10;
const RECOVERED_S: f64 = 45.0;
const LENGTH_S: f64 = 60.0;

/// The kinds of fault.
const KINDS: [&str; 8] = [
    "engine-crash",
    "half-pool",
    "region-cut",
    "slow-engine",
    "silent-engine",
    "late-reports",
    "bulk-flood",
    "digest-lost",
];

/// Adds the fault `kind` that begins at `begin` seconds.
fn add(setup: &mut Setup, deployment: &Deployment, kind: &str, begin: u64) {
    let engines = deployment.engines;
    let late = Duration::from_secs(5);
    let half: Vec<usize> = (0..engines / 2).collect();
    let (on, off) = match kind {
        "engine-crash" => (Fault::Down(vec![1]), Fault::Up(vec![1])),
        "half-pool" => (Fault::Down(half.clone()), Fault::Up(half)),
        "region-cut" => (Fault::Cut(2, true), Fault::Cut(2, false)),
        "slow-engine" => (Fault::Speed(engines - 1, 0.1), Fault::Speed(engines - 1, 1.0)),
        "silent-engine" => (Fault::Silent(engines - 2, true), Fault::Silent(engines - 2, false)),
        "late-reports" => {
            (Fault::Reports { late, lost: 0.3 }, Fault::Reports { late: Duration::ZERO, lost: 0.0 })
        }
        "digest-lost" => (Fault::DigestLost(true), Fault::DigestLost(false)),
        _ => {
            *setup = setup.clone().surge(Rank::Bulk, begin, begin + LASTS_S, 40.0);
            return;
        }
    };
    setup.faults.push((Duration::from_secs(begin), on));
    setup.faults.push((Duration::from_secs(begin + LASTS_S), off));
}

/// The rows of the scenario.
pub(crate) fn rows(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (index, first) in KINDS.iter().enumerate() {
        let run = |kinds: &[(&str, u64)]| {
            let mut setup = failure::setup(deployment, seed, 0.5);
            kinds.iter().for_each(|(kind, begin)| add(&mut setup, deployment, kind, *begin));
            sim::run(&setup)
        };
        rows.extend(measures(name, first, &run(&[(first, FIRST_S)])));
        let twice = format!("{first} twice");
        rows.extend(measures(name, &twice, &run(&[(first, FIRST_S), (first, AGAIN_S)])));
        for second in &KINDS[index + 1..] {
            let pair = format!("{first} and {second}");
            rows.extend(measures(name, &pair, &run(&[(first, FIRST_S), (second, SECOND_S)])));
        }
    }
    rows
}

/// What has to hold whatever happened: the target is met again after the faults, retries do not
/// multiply the load, and no request is left without an answer.
fn measures(name: &str, label: &str, outcome: &Outcome) -> Vec<Row> {
    let after = outcome.within_target(Rank::Urgent, RECOVERED_S, LENGTH_S);
    let open = outcome.records.iter().filter(|record| record.end == End::Open).count();
    let during = outcome.within_target(Rank::Urgent, FIRST_S as f64, RECOVERED_S);
    let row = |measure: &str, value, unit, bound: Option<Bound>| {
        Row::new(name, &format!("{label}: {measure}"), value, unit, bound)
    };
    vec![
        row("urgent within target after recovery", after, "share", Some(Bound::AtLeast(0.995))),
        row(
            "extra requests caused by retries",
            outcome.extra_attempts(),
            "share",
            Some(Bound::AtMost(0.10)),
        ),
        row("requests without an end", open as f64, "requests", Some(Bound::AtMost(0.0))),
        row("urgent within target during the faults", during, "share", None),
    ]
}
