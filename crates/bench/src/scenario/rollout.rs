//! Version health: a version that turns bad, and healthy versions.
//!
//! These runs need no engines: requests of the two versions are drawn with their outcome, latency
//! and (late, sampled) rating, and fed to the health test in order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::time::Duration;

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
use crate::workload::CHECK;

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
/// Ways to turn bad: errors, latency, quality of the answers.
const BAD: [(&str, Quality); 3] = [
    ("errors", Quality { failures: 0.30, ..USUAL }),
    ("latency", Quality { slowness: 3.0, ..USUAL }),
    ("quality", Quality { good: 0.40, ..USUAL }),
];

type Signals = BinaryHeap<Reverse<(u64, u64, usize)>>;

/// One version under test: arrivals, signals on their way, and who judges them.
struct Trial {
    random: Xoshiro256PlusPlus,
    signals: Signals,
    facts: Vec<Signal>,
    /// Whether the check at run time is applied to the answers.
    checked: bool,
}

impl Trial {
    fn new(seed: u64) -> Self {
        let random = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { random, signals: Signals::new(), facts: Vec::new(), checked: true }
    }

    /// Draws an answer that was asked for at `at` and schedules its signals.
    fn answer(&mut self, at: f64, quality: Quality) {
        let failed = self.random.random_bool(quality.failures);
        let ratio = self.random.random_range(0.6..1.4) * quality.slowness;
        let took = self.random.random_range(ANSWER_S.0..ANSWER_S.1);
        let first = at + 0.2 * ratio;
        self.schedule(first, Signal::Latency { ratio });
        self.schedule(first, Signal::Outcome { failed });
        let end = at + took;
        let good = self.random.random_bool(quality.good);
        let accepted = self.random.random_bool(if good { CHECK.0 } else { CHECK.1 });
        if !failed && self.checked {
            self.schedule(end, Signal::Check { accepted });
        }
        if !failed && self.random.random_bool(RATED.0) {
            let late = self.random.random_range(RATED.1..RATED.2);
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

/// What a judge says after a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ruling {
    GoOn,
    Pause,
    Slow,
    Withdraw,
}

/// Who decides on pauses and the withdrawal.
trait Judge {
    fn observe(&mut self, at: f64, signal: Signal);
    fn ruling(&mut self, at: f64) -> Ruling;
    fn on_served(&mut self) {}
}

impl Judge for Test {
    fn observe(&mut self, at: f64, signal: Signal) {
        Self::observe(self, signal, Duration::from_secs_f64(at));
    }

    fn ruling(&mut self, at: f64) -> Ruling {
        match self.verdict(Duration::from_secs_f64(at)) {
            Verdict::Bad(_) => Ruling::Withdraw,
            Verdict::Hold => Ruling::Pause,
            Verdict::Slow => Ruling::Slow,
            Verdict::Undecided | Verdict::Healthy => Ruling::GoOn,
        }
    }
}

/// Withdraws when the errors in a fixed window pass a threshold.
#[derive(Default)]
struct FixedWindow {
    window: u64,
    count: u32,
    errors: u32,
    bad: bool,
}

impl Judge for FixedWindow {
    fn observe(&mut self, at: f64, signal: Signal) {
        let window = (at / WINDOW.0) as u64;
        if window != self.window {
            *self = Self { window, bad: self.bad, ..Self::default() };
        }
        if let Signal::Outcome { failed } = signal {
            self.count += 1;
            self.errors += u32::from(failed);
        }
        let most = WINDOW.2 * f64::from(self.count);
        self.bad |= self.count >= WINDOW.1 && f64::from(self.errors) > most;
    }

    fn ruling(&mut self, _at: f64) -> Ruling {
        if self.bad { Ruling::Withdraw } else { Ruling::GoOn }
    }
}

/// A roll-out under a judge. Rulings are in force everywhere after the propagation time.
struct Pilot<'a> {
    judge: &'a mut dyn Judge,
    trial: Trial,
    rulings: VecDeque<(f64, Ruling)>,
    in_force: Ruling,
    at: f64,
    /// Times of the requests that the version received.
    served: Vec<f64>,
    offered: u32,
}

impl<'a> Pilot<'a> {
    fn new(judge: &'a mut dyn Judge, seed: u64) -> Self {
        Self {
            judge,
            trial: Trial::new(seed),
            rulings: VecDeque::new(),
            in_force: Ruling::GoOn,
            at: 0.0,
            served: Vec::new(),
            offered: 0,
        }
    }

    /// Carries out the roll-out at `rate` requests per second until `end`, with answers of
    /// `quality`. Returns whether a withdrawal is in force.
    fn until(&mut self, end: f64, rate: f64, quality: Quality) -> bool {
        while self.at < end {
            self.at += self.trial.gap(rate);
            while let Some((when, signal)) = self.trial.due(self.at) {
                self.judge.observe(when, signal);
                self.rule(when);
            }
            self.rule(self.at);
            while let Some((_, ruling)) =
                self.rulings.pop_front_if(|(when, _)| *when + PROPAGATION_S <= self.at)
            {
                self.in_force = ruling;
            }
            match self.in_force {
                Ruling::Withdraw => return true,
                Ruling::Slow if !self.offered.is_multiple_of(health::SLOW_PACE_DIVISOR) => {}
                Ruling::Pause => {}
                Ruling::Slow | Ruling::GoOn => {
                    self.judge.on_served();
                    self.trial.answer(self.at, quality);
                    self.served.push(self.at);
                }
            }
            self.offered += 1;
        }
        false
    }

    fn rule(&mut self, at: f64) {
        let ruling = self.judge.ruling(at);
        let last = self.rulings.back().map_or(self.in_force, |(_, last)| *last);
        if ruling != last {
            self.rulings.push_back((at, ruling));
        }
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

/// Requests served after the onset, without those in the propagation time before the last one.
fn exposed(judge: &mut dyn Judge, bad: Quality, rate: f64, seed: u64, checked: bool) -> f64 {
    let mut pilot = Pilot::new(judge, seed);
    pilot.trial.checked = checked;
    if pilot.until(ONSET_S, rate, USUAL) {
        return 0.0;
    }
    pilot.served.clear();
    if !pilot.until(GIVE_UP_S, rate, bad) {
        return f64::INFINITY;
    }
    let last = pilot.served.last().copied().unwrap_or_default();
    pilot.served.iter().filter(|at| **at < last - PROPAGATION_S).count() as f64
}

/// The version turns bad at a 5% step.
pub(crate) fn bad(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let settings = settings(deployment);
    let rate = traffic(deployment);
    let step = rate * share(&settings, STEPS[0], rate);
    let runs = |quality: Quality, checked: bool| {
        let run = |run| {
            let seed = seed * 1_000_003 + run;
            exposed(&mut trained(&settings, rate, seed), quality, step, seed, checked)
        };
        p95((0..BAD_RUNS).map(run).collect())
    };
    let window = |quality: Quality| {
        let run = |run| {
            let seed = seed * 1_000_003 + run;
            exposed(&mut FixedWindow::default(), quality, step, seed, true)
        };
        p95((0..BAD_RUNS).map(run).collect())
    };
    let kinds = BAD.iter().map(|(kind, quality)| {
        let measure = format!("requests after the onset, p95, {kind}");
        let ours = runs(*quality, true);
        Row::new(name, &measure, ours, "requests", Bound::AtMost(EXPOSED))
            .against("fixed-window error threshold", window(*quality))
    });
    let mut rows: Vec<Row> = kinds.collect();
    let unchecked = runs(BAD[2].1, false);
    let measure = "requests after the onset, p95, quality by ratings alone";
    rows.push(Row::new(name, measure, unchecked, "requests", None));
    let propagation = step * PROPAGATION_S;
    rows.push(Row::new(name, "requests of the propagation time", propagation, "requests", None));
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
    let ours: Vec<_> = runs
        .clone()
        .map(|s| roll_out(&mut trained(&settings, rate, s), &settings, rate, s))
        .collect();
    let window = runs.map(|s| roll_out(&mut FixedWindow::default(), &settings, rate, s));
    let withdrawn = ours.iter().filter(|(withdrawn, _)| *withdrawn).count();
    let paused = ours.iter().map(|(_, paused)| paused).sum::<f64>() / ours.len() as f64;
    let window = window.filter(|(withdrawn, _)| *withdrawn).count();
    vec![
        Row::new(
            name,
            "false withdrawals in 1,000 roll-outs",
            withdrawn as f64,
            "roll-outs",
            Bound::AtMost(2.0),
        )
        .against("fixed-window error threshold", window as f64),
        Row::new(name, "traffic withheld by pauses", paused, "share", None)
            .against("fixed-window error threshold", 0.0),
    ]
}

/// A whole roll-out of a healthy version: whether it was withdrawn, and the share of its traffic
/// that pauses withheld.
fn roll_out(
    judge: &mut dyn Judge,
    settings: &health::Settings,
    rate: f64,
    seed: u64,
) -> (bool, f64) {
    let mut pilot = Pilot::new(judge, seed);
    let mut end = 0.0;
    let withdrawn = STEPS.iter().any(|fraction| {
        end += STEP_S;
        pilot.until(end, rate * share(settings, *fraction, rate), USUAL)
    });
    let served = pilot.served.len() as f64 / f64::from(pilot.offered.max(1));
    (withdrawn, 1.0 - served)
}

/// Share of the traffic at a step.
fn share(settings: &health::Settings, step: f64, rate: f64) -> f64 {
    let delay = (ANSWER_S.0 + ANSWER_S.1 + RATED.1 + RATED.2) / 2.0;
    health::paced_share(settings, step, STEPS[0], rate, Duration::from_secs_f64(delay))
}

fn settings(deployment: &Deployment) -> health::Settings {
    Tuning::new(&deployment.weights).health(health::Settings::default())
}

/// Requests per second of the deployment: 60% of what its engines can serve.
fn traffic(deployment: &Deployment) -> f64 {
    0.6 * Setup::one_model(deployment, 0, 0).capacity()
}
