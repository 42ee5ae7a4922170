//! Version health: a version that turns bad, and healthy versions.
//!
//! These runs need no engines: requests of the two versions are drawn with their outcome, latency
//! and (late, sampled) rating, and fed to the health test in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use hickoryreel_policy::health;
use hickoryreel_policy::health::Signal;
use hickoryreel_policy::health::Test;
use hickoryreel_policy::health::Verdict;
use hickoryreel_policy::weights::Tuning;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use crate::row::Bound;
use crate::row::Row;
use crate::setup::Deployment;
use crate::setup::Setup;
use crate::sim::RATED;

/// Runs of a version that turns bad, and roll-outs of a healthy version.
const BAD_RUNS: u64 = 100;
const HEALTHY_RUNS: u64 = 1_000;
/// Time from the verdict until the withdrawal is in force everywhere, in seconds.
const PROPAGATION_S: f64 = 4.0;
/// Bound on the requests served after the onset, those of the propagation time excluded.
pub(crate) const EXPOSED: f64 = 40.0;
/// Share of the traffic at the steps of a roll-out, and the length of a step in seconds.
const STEPS: [f64; 4] = [0.05, 0.25, 0.50, 1.0];
const STEP_S: f64 = 60.0;
/// Seconds at 5% until the version turns bad, and until an undetected version ends the run.
const ONSET_S: f64 = 20.0;
const GIVE_UP_S: f64 = 200.0;
/// Seconds of traffic of the replaced version before the roll-out.
const BASELINE_S: f64 = 60.0;
/// Part of the requests that the replaced version fails, and that meet the quality bar.
const USUAL_FAILURES: f64 = 0.01;
const USUAL_GOOD: f64 = 0.96;
/// Time of an answer in seconds.
const ANSWER_S: (f64, f64) = (1.0, 5.0);
/// The fixed-window baseline: window in seconds, least requests and part of errors.
const WINDOW: (f64, u32, f64) = (60.0, 20, 0.10);

/// How answers of a version turn out.
#[derive(Clone, Copy, Debug)]
struct Quality {
    failures: f64,
    good: f64,
    slowness: f64,
}

const USUAL: Quality = Quality { failures: USUAL_FAILURES, good: USUAL_GOOD, slowness: 1.0 };
/// Ways to turn bad: errors, latency, ratings.
const BAD: [(&str, Quality); 3] = [
    ("errors", Quality { failures: 0.30, ..USUAL }),
    ("latency", Quality { slowness: 3.0, ..USUAL }),
    ("ratings", Quality { good: 0.40, ..USUAL }),
];

type Signals = BinaryHeap<Reverse<(u64, u64, usize)>>;

/// One version under test: arrivals, signals on their way, and who judges them.
struct Trial {
    random: Xoshiro256PlusPlus,
    signals: Signals,
    facts: Vec<Signal>,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { random, signals: Signals::new(), facts: Vec::new() }
    }

    /// Draws an answer that was asked for at `at` and schedules its signals.
    fn answer(&mut self, at: f64, quality: Quality) {
        let failed = self.random.random_bool(quality.failures);
        let ratio = self.random.random_range(0.6..1.4) * quality.slowness;
        let took = self.random.random_range(ANSWER_S.0..ANSWER_S.1);
        let first = at + 0.2 * ratio;
        self.schedule(first, Signal::Latency { ratio });
        // An error shows early; a good outcome only at the end.
        let end = if failed { first } else { at + took };
        self.schedule(end, Signal::Outcome { failed });
        if !failed && self.random.random_bool(RATED.0) {
            let late = self.random.random_range(RATED.1..RATED.2);
            let good = self.random.random_bool(quality.good);
            self.schedule(end + late, Signal::Rating { good });
        }
    }

    fn schedule(&mut self, at: f64, signal: Signal) {
        self.facts.push(signal);
        let index = self.facts.len() - 1;
        self.signals.push(Reverse(((at * 1e6) as u64, index as u64, index)));
    }

    /// Signals that arrive until `now`.
    fn due(&mut self, now: f64) -> Option<(f64, Signal)> {
        let at = self.signals.peek().map(|Reverse((at, _, _))| *at as f64 / 1e6)?;
        if at > now {
            return None;
        }
        self.signals.pop().map(|Reverse((_, _, index))| (at, self.facts[index]))
    }

    fn gap(&mut self, rate: f64) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln() / rate
    }
}

/// Who decides on the withdrawal.
trait Judge {
    fn observe(&mut self, at: f64, signal: Signal) -> bool;
    fn next_step(&mut self) {}
}

impl Judge for Test {
    fn observe(&mut self, _at: f64, signal: Signal) -> bool {
        matches!(Self::observe(self, signal), Verdict::Bad(_))
    }

    fn next_step(&mut self) {
        Self::next_step(self);
    }
}

/// Withdraws when the errors in a fixed window pass a threshold.
#[derive(Default)]
struct FixedWindow {
    window: u64,
    count: u32,
    errors: u32,
}

impl Judge for FixedWindow {
    fn observe(&mut self, at: f64, signal: Signal) -> bool {
        let window = (at / WINDOW.0) as u64;
        if window != self.window {
            *self = Self { window, ..Self::default() };
        }
        let Signal::Outcome { failed } = signal else { return false };
        self.count += 1;
        self.errors += u32::from(failed);
        self.count >= WINDOW.1 && f64::from(self.errors) > WINDOW.2 * f64::from(self.count)
    }
}

/// A health test that has seen the replaced version.
fn trained(settings: &health::Settings, rate: f64, seed: u64) -> Test {
    let mut test = Test::new(settings.clone());
    let mut trial = Trial::new(seed ^ 0x5eed);
    let mut at = 0.0;
    while at < BASELINE_S {
        at += trial.gap(rate);
        trial.answer(at, USUAL);
    }
    while let Some((_, signal)) = trial.due(f64::INFINITY) {
        test.observe_baseline(signal);
    }
    test
}

/// Requests served after the onset, without those in the propagation time.
fn exposed(judge: &mut dyn Judge, bad: Quality, rate: f64, seed: u64) -> f64 {
    let mut trial = Trial::new(seed);
    let (mut at, mut served) = (0.0, 0.0);
    while at < GIVE_UP_S {
        at += trial.gap(rate);
        while let Some((when, signal)) = trial.due(at) {
            if judge.observe(when, signal) && when > ONSET_S {
                return served;
            }
        }
        trial.answer(at, if at < ONSET_S { USUAL } else { bad });
        served += f64::from(u8::from(at >= ONSET_S));
    }
    f64::INFINITY
}

/// The version turns bad at a 5% step.
pub(crate) fn bad(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let settings = settings(deployment);
    let rate = traffic(deployment);
    let step = rate * STEPS[0];
    let kinds = BAD.iter().map(|(kind, quality)| {
        let runs = (0..BAD_RUNS).map(|run| seed * 1_000_003 + run);
        let ours = runs
            .clone()
            .map(|seed| exposed(&mut trained(&settings, rate, seed), *quality, step, seed));
        let window = runs.map(|seed| exposed(&mut FixedWindow::default(), *quality, step, seed));
        let measure = format!("requests after the onset, p95, {kind}");
        Row::new(name, &measure, p95(ours.collect()), "requests", Bound::AtMost(EXPOSED))
            .against("fixed-window error threshold", p95(window.collect()))
    });
    let mut rows: Vec<Row> = kinds.collect();
    rows.push(Row::new(
        name,
        "requests of the propagation time",
        step * PROPAGATION_S,
        "requests",
        None,
    ));
    rows
}

/// The largest of the exposures over the ways to turn bad.
pub(crate) fn worst_exposure(deployment: &Deployment, seed: u64) -> f64 {
    let rows = bad("", deployment, seed);
    let values = rows.iter().filter(|row| row.bound.is_some()).map(|row| row.value);
    values.map(|value| value.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
}

fn p95(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[(values.len() * 95).div_ceil(100) - 1]
}

/// Roll-outs of a version as good as the replaced one.
pub(crate) fn healthy(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let settings = settings(deployment);
    let rate = traffic(deployment);
    let runs = (0..HEALTHY_RUNS).map(|run| seed * 1_000_033 + run);
    let ours = runs
        .clone()
        .filter(|seed| withdrawn(&mut trained(&settings, rate, *seed), rate, *seed))
        .count();
    let window = runs.filter(|seed| withdrawn(&mut FixedWindow::default(), rate, *seed)).count();
    vec![
        Row::new(
            name,
            "false withdrawals in 1,000 roll-outs",
            ours as f64,
            "roll-outs",
            Bound::AtMost(2.0),
        )
        .against("fixed-window error threshold", window as f64),
    ]
}

fn withdrawn(judge: &mut dyn Judge, rate: f64, seed: u64) -> bool {
    let mut trial = Trial::new(seed);
    let mut at = 0.0;
    for (step, fraction) in (0_u8..).zip(STEPS) {
        let end = f64::from(step + 1) * STEP_S;
        while at < end {
            at += trial.gap(rate * fraction);
            while let Some((when, signal)) = trial.due(at) {
                if judge.observe(when, signal) {
                    return true;
                }
            }
            trial.answer(at, USUAL);
        }
        judge.next_step();
    }
    false
}

fn settings(deployment: &Deployment) -> health::Settings {
    Tuning::new(&deployment.weights).health(health::Settings::default())
}

/// Requests per second of the deployment: 60% of what its engines can serve.
fn traffic(deployment: &Deployment) -> f64 {
    0.6 * Setup::one_model(deployment, 0, 0).capacity()
}
