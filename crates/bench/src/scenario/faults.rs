//! Each kind of fault alone, twice, and together with each other kind.

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

/// Start of the first fault, of an overlapping second fault and of a repetition of the first one,
/// duration of each fault, and time at which the run must meet its target again, in seconds.
const FIRST_START_S: u64 = 10;
const SECOND_START_S: u64 = 14;
const REPEAT_START_S: u64 = 28;
const FAULT_DURATION_S: u64 = 10;
const RECOVERY_END_S: f64 = 45.0;
const LENGTH_S: f64 = 60.0;

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

/// Adds a fault of kind `kind` that starts at `begin` seconds.
fn add(setup: &mut Setup, deployment: &Deployment, kind: &str, begin: u64) {
    let engines = deployment.engines;
    let delay = Duration::from_secs(5);
    let half: Vec<usize> = (0..engines / 2).collect();
    let (on, off) = match kind {
        "engine-crash" => (Fault::Down(vec![1]), Fault::Up(vec![1])),
        "half-pool" => (Fault::Down(half.clone()), Fault::Up(half)),
        "region-cut" => (Fault::Partition(2, true), Fault::Partition(2, false)),
        "slow-engine" => (Fault::Speed(engines - 1, 0.1), Fault::Speed(engines - 1, 1.0)),
        "silent-engine" => (Fault::Silent(engines - 2, true), Fault::Silent(engines - 2, false)),
        "late-reports" => (
            Fault::Reports { delay, loss: 0.3 },
            Fault::Reports { delay: Duration::ZERO, loss: 0.0 },
        ),
        "digest-lost" => (Fault::DigestLost(true), Fault::DigestLost(false)),
        _ => {
            *setup = setup.clone().surge(Rank::Bulk, begin, begin + FAULT_DURATION_S, 40.0);
            return;
        }
    };
    setup.faults.push((Duration::from_secs(begin), on));
    setup.faults.push((Duration::from_secs(begin + FAULT_DURATION_S), off));
}

/// Returns the rows of the scenario.
pub(crate) fn rows(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for (index, first) in KINDS.iter().enumerate() {
        let run = |kinds: &[(&str, u64)]| {
            let mut setup = failure::setup(deployment, seed, 0.5);
            kinds.iter().for_each(|(kind, begin)| add(&mut setup, deployment, kind, *begin));
            sim::run(&setup)
        };
        rows.extend(measures(name, first, &run(&[(first, FIRST_START_S)])));
        let twice = format!("{first} twice");
        rows.extend(measures(
            name,
            &twice,
            &run(&[(first, FIRST_START_S), (first, REPEAT_START_S)]),
        ));
        for second in &KINDS[index + 1..] {
            let pair = format!("{first} and {second}");
            rows.extend(measures(
                name,
                &pair,
                &run(&[(first, FIRST_START_S), (second, SECOND_START_S)]),
            ));
        }
    }
    rows
}

/// Measures that are bounded for every combination: the target is met again after the faults,
/// retries do not multiply the load, and every request ends.
fn measures(name: &str, label: &str, outcome: &Outcome) -> Vec<Row> {
    let after = outcome.within_target(Rank::Urgent, RECOVERY_END_S, LENGTH_S);
    let open = outcome.records.iter().filter(|record| record.end == End::Open).count();
    let during = outcome.within_target(Rank::Urgent, FIRST_START_S as f64, RECOVERY_END_S);
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
