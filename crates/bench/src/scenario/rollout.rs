//! Version health: roll-outs of versions that turn bad, and of healthy versions.
//!
//! These runs simulate no engines. The outcome, the latency and the delayed, sampled rating of each
//! request are drawn at random and passed to the health test in order of time.

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
use crate::sim::RATING_SAMPLE;
use crate::workload::CHECK_ACCEPTANCE;

/// Number of runs with a version that turns bad, and of roll-outs of a healthy version.
const BAD_RUNS: u64 = 100;
const HEALTHY_RUNS: u64 = 1_000;
/// Time from a decision until it is in force at all entries, in seconds.
const PROPAGATION_S: f64 = 4.0;
/// Bound on the requests served after the onset, except for those during the propagation.
pub(crate) const MAX_EXPOSED: f64 = 40.0;
/// Share of the traffic at each step of a roll-out, and length of a step in seconds.
const STEP_SHARES: [f64; 4] = [0.05, 0.25, 0.50, 1.0];
const STEP_S: f64 = 60.0;
/// Time at which the version turns bad, and time at which the run ends if it is not detected, in
/// seconds.
const ONSET_S: f64 = 20.0;
const MAX_UNDETECTED_S: f64 = 200.0;
/// Seconds of traffic of the replaced version before the roll-out.
const BASELINE_S: f64 = 60.0;
/// Probability that a request fails on the replaced version, and that an answer of it meets the
/// quality bar.
const BASELINE_FAILURES: f64 = 0.01;
const BASELINE_GOOD: f64 = 0.96;
/// Range of the time to generate an answer, in seconds.
const ANSWER_S: (f64, f64) = (1.0, 5.0);
/// Parameters of [`FixedWindow`]: length in seconds, minimum number of requests and largest error
/// rate.
const FIXED_WINDOW: (f64, u32, f64) = (60.0, 20, 0.10);

/// Distribution of the answers of a version.
#[derive(Clone, Copy, Debug)]
struct Quality {
    /// Probability that a request fails.
    failures: f64,
    /// Probability that an answer meets the quality bar.
    good: f64,
    latency_factor: f64,
}

const BASELINE: Quality =
    Quality { failures: BASELINE_FAILURES, good: BASELINE_GOOD, latency_factor: 1.0 };
/// Ways in which a version turns bad.
const BAD_KINDS: [(&str, Quality); 3] = [
    ("errors", Quality { failures: 0.30, ..BASELINE }),
    ("latency", Quality { latency_factor: 3.0, ..BASELINE }),
    ("quality", Quality { good: 0.40, ..BASELINE }),
];

/// Time in microseconds, sequence number and index of each scheduled signal.
type SignalQueue = BinaryHeap<Reverse<(u64, u64, usize)>>;

/// Random traffic of one version, and the signals that it causes.
struct VersionTraffic {
    rng: Xoshiro256PlusPlus,
    due_signals: SignalQueue,
    signals: Vec<Signal>,
    /// Whether the run-time check is applied to the answers.
    checked: bool,
}

impl VersionTraffic {
    fn new(seed: u64) -> Self {
        let rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        Self { rng, due_signals: SignalQueue::new(), signals: Vec::new(), checked: true }
    }

    /// Draws the answer to a request that arrives at `at`, and schedules its signals.
    fn answer(&mut self, at: f64, quality: Quality) {
        let failed = self.rng.random_bool(quality.failures);
        let ratio = self.rng.random_range(0.6..1.4) * quality.latency_factor;
        let duration = self.rng.random_range(ANSWER_S.0..ANSWER_S.1);
        let first = at + 0.2 * ratio;
        self.schedule(first, Signal::Latency { ratio });
        self.schedule(first, Signal::Outcome { failed });
        let end = at + duration;
        let good = self.rng.random_bool(quality.good);
        let accepted =
            self.rng.random_bool(if good { CHECK_ACCEPTANCE.0 } else { CHECK_ACCEPTANCE.1 });
        if !failed && self.checked {
            self.schedule(end, Signal::Check { accepted });
        }
        if !failed && self.rng.random_bool(RATING_SAMPLE.0) {
            let delay = self.rng.random_range(RATING_SAMPLE.1..RATING_SAMPLE.2);
            self.schedule(end + delay, Signal::Rating { good });
        }
    }

    fn schedule(&mut self, at: f64, signal: Signal) {
        self.signals.push(signal);
        let index = self.signals.len() - 1;
        self.due_signals.push(Reverse(((at * 1e6) as u64, index as u64, index)));
    }

    /// Removes and returns the next signal that arrives until `now`, with its time.
    fn due(&mut self, now: f64) -> Option<(f64, Signal)> {
        let at = self.due_signals.peek().map(|Reverse((at, _, _))| *at as f64 / 1e6)?;
        if at > now {
            return None;
        }
        self.due_signals.pop().map(|Reverse((_, _, index))| (at, self.signals[index]))
    }

    fn interarrival(&mut self, rate: f64) -> f64 {
        -(1.0 - self.rng.random::<f64>()).ln() / rate
    }
}

/// What a detector decides about a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Decision {
    Continue,
    Pause,
    Slow,
    Withdraw,
}

/// Decides on pauses and on the withdrawal of a version.
trait Detector {
    fn observe(&mut self, at: f64, signal: Signal);
    fn decision(&mut self, at: f64) -> Decision;
    fn on_served(&mut self) {}
}

impl Detector for Test {
    fn observe(&mut self, at: f64, signal: Signal) {
        Self::observe(self, signal, Duration::from_secs_f64(at));
    }

    fn decision(&mut self, at: f64) -> Decision {
        match self.verdict(Duration::from_secs_f64(at)) {
            Verdict::Bad(_) => Decision::Withdraw,
            Verdict::Hold => Decision::Pause,
            Verdict::Slow => Decision::Slow,
            Verdict::Undecided | Verdict::Healthy => Decision::Continue,
        }
    }
}

/// Baseline detector: withdraws a version if its error rate in a fixed window exceeds a threshold.
#[derive(Default)]
struct FixedWindow {
    window: u64,
    count: u32,
    errors: u32,
    bad: bool,
}

impl Detector for FixedWindow {
    fn observe(&mut self, at: f64, signal: Signal) {
        let window = (at / FIXED_WINDOW.0) as u64;
        if window != self.window {
            *self = Self { window, bad: self.bad, ..Self::default() };
        }
        if let Signal::Outcome { failed } = signal {
            self.count += 1;
            self.errors += u32::from(failed);
        }
        let most = FIXED_WINDOW.2 * f64::from(self.count);
        self.bad |= self.count >= FIXED_WINDOW.1 && f64::from(self.errors) > most;
    }

    fn decision(&mut self, _at: f64) -> Decision {
        if self.bad { Decision::Withdraw } else { Decision::Continue }
    }
}

/// A roll-out that a detector controls. Decisions take effect after the propagation time.
struct RollOut<'a> {
    detector: &'a mut dyn Detector,
    traffic: VersionTraffic,
    /// Decisions that are not in force yet, with their times.
    decisions: VecDeque<(f64, Decision)>,
    in_force: Decision,
    at: f64,
    /// Times of the requests that the version served.
    served: Vec<f64>,
    offered: u32,
}

impl<'a> RollOut<'a> {
    fn new(detector: &'a mut dyn Detector, seed: u64) -> Self {
        Self {
            detector,
            traffic: VersionTraffic::new(seed),
            decisions: VecDeque::new(),
            in_force: Decision::Continue,
            at: 0.0,
            served: Vec::new(),
            offered: 0,
        }
    }

    /// Runs the roll-out until `end` with `rate` requests per second and answers of `quality`.
    /// Returns whether the withdrawal is in force.
    fn run_until(&mut self, end: f64, rate: f64, quality: Quality) -> bool {
        while self.at < end {
            self.at += self.traffic.interarrival(rate);
            while let Some((when, signal)) = self.traffic.due(self.at) {
                self.detector.observe(when, signal);
                self.update_decision(when);
            }
            self.update_decision(self.at);
            while let Some((_, decision)) =
                self.decisions.pop_front_if(|(when, _)| *when + PROPAGATION_S <= self.at)
            {
                self.in_force = decision;
            }
            match self.in_force {
                Decision::Withdraw => return true,
                Decision::Slow if !self.offered.is_multiple_of(health::SLOW_PACE_DIVISOR) => {}
                Decision::Pause => {}
                Decision::Slow | Decision::Continue => {
                    self.detector.on_served();
                    self.traffic.answer(self.at, quality);
                    self.served.push(self.at);
                }
            }
            self.offered += 1;
        }
        false
    }

    fn update_decision(&mut self, at: f64) {
        let decision = self.detector.decision(at);
        let last = self.decisions.back().map_or(self.in_force, |(_, last)| *last);
        if decision != last {
            self.decisions.push_back((at, decision));
        }
    }
}

/// Returns a health test that has observed the replaced version as its baseline.
fn test_with_baseline(settings: &health::Settings, rate: f64, seed: u64) -> Test {
    let mut test = Test::new(settings.clone());
    let mut traffic = VersionTraffic::new(seed ^ 0x5eed);
    let mut at = 0.0;
    while at < BASELINE_S {
        at += traffic.interarrival(rate);
        traffic.answer(at, BASELINE);
    }
    while let Some((_, signal)) = traffic.due(f64::INFINITY) {
        test.observe_baseline(signal);
    }
    test
}

/// Number of requests served after the onset, except for those in the propagation time before the
/// withdrawal; infinite if the version was not withdrawn.
fn exposed_requests(
    detector: &mut dyn Detector,
    bad: Quality,
    rate: f64,
    seed: u64,
    checked: bool,
) -> f64 {
    let mut roll_out_run = RollOut::new(detector, seed);
    roll_out_run.traffic.checked = checked;
    if roll_out_run.run_until(ONSET_S, rate, BASELINE) {
        return 0.0;
    }
    roll_out_run.served.clear();
    if !roll_out_run.run_until(MAX_UNDETECTED_S, rate, bad) {
        return f64::INFINITY;
    }
    let last = roll_out_run.served.last().copied().unwrap_or_default();
    roll_out_run.served.iter().filter(|at| **at < last - PROPAGATION_S).count() as f64
}

/// A version turns bad during the 5% step.
pub(crate) fn bad(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let settings = settings(deployment);
    let rate = traffic(deployment);
    let step = rate * share(&settings, STEP_SHARES[0], rate);
    let runs = |quality: Quality, checked: bool| {
        let run = |run| {
            let seed = seed * 1_000_003 + run;
            exposed_requests(
                &mut test_with_baseline(&settings, rate, seed),
                quality,
                step,
                seed,
                checked,
            )
        };
        p95((0..BAD_RUNS).map(run).collect())
    };
    let window = |quality: Quality| {
        let run = |run| {
            let seed = seed * 1_000_003 + run;
            exposed_requests(&mut FixedWindow::default(), quality, step, seed, true)
        };
        p95((0..BAD_RUNS).map(run).collect())
    };
    let kinds = BAD_KINDS.iter().map(|(kind, quality)| {
        let measure = format!("requests after the onset, p95, {kind}");
        let measured = runs(*quality, true);
        Row::new(name, &measure, measured, "requests", Bound::AtMost(MAX_EXPOSED))
            .with_baseline("fixed-window error threshold", window(*quality))
    });
    let mut rows: Vec<Row> = kinds.collect();
    let unchecked = runs(BAD_KINDS[2].1, false);
    let measure = "requests after the onset, p95, quality by ratings alone";
    rows.push(Row::new(name, measure, unchecked, "requests", None));
    let propagation = step * PROPAGATION_S;
    rows.push(Row::new(name, "requests of the propagation time", propagation, "requests", None));
    rows
}

/// Returns the largest exposure over all ways in which a version turns bad.
pub(crate) fn worst_exposure(deployment: &Deployment, seed: u64) -> f64 {
    let rows = bad("", deployment, seed);
    let values = rows.iter().filter(|row| row.bound.is_some()).map(|row| row.value);
    values.map(|value| value.unwrap_or(f64::INFINITY)).fold(0.0, f64::max)
}

fn p95(mut values: Vec<f64>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    values[(values.len() * 95).div_ceil(100) - 1]
}

/// Roll-outs of a version that is as good as the replaced one.
pub(crate) fn healthy(name: &str, deployment: &Deployment, seed: u64) -> Vec<Row> {
    let settings = settings(deployment);
    let rate = traffic(deployment);
    let runs = (0..HEALTHY_RUNS).map(|run| seed * 1_000_033 + run);
    let measured: Vec<_> = runs
        .clone()
        .map(|seed| roll_out(&mut test_with_baseline(&settings, rate, seed), &settings, rate, seed))
        .collect();
    let window = runs.map(|seed| roll_out(&mut FixedWindow::default(), &settings, rate, seed));
    let withdrawn = measured.iter().filter(|(withdrawn, _)| *withdrawn).count();
    let paused = measured.iter().map(|(_, paused)| paused).sum::<f64>() / measured.len() as f64;
    let window = window.filter(|(withdrawn, _)| *withdrawn).count();
    vec![
        Row::new(
            name,
            "false withdrawals in 1,000 roll-outs",
            withdrawn as f64,
            "roll-outs",
            Bound::AtMost(2.0),
        )
        .with_baseline("fixed-window error threshold", window as f64),
        Row::new(name, "traffic withheld by pauses", paused, "share", None)
            .with_baseline("fixed-window error threshold", 0.0),
    ]
}

/// Runs a whole roll-out of a healthy version. Returns whether the version was withdrawn, and the
/// share of its traffic that pauses withheld.
fn roll_out(
    detector: &mut dyn Detector,
    settings: &health::Settings,
    rate: f64,
    seed: u64,
) -> (bool, f64) {
    let mut roll_out_run = RollOut::new(detector, seed);
    let mut end = 0.0;
    let withdrawn = STEP_SHARES.iter().any(|fraction| {
        end += STEP_S;
        roll_out_run.run_until(end, rate * share(settings, *fraction, rate), BASELINE)
    });
    let served = roll_out_run.served.len() as f64 / f64::from(roll_out_run.offered.max(1));
    (withdrawn, 1.0 - served)
}

/// Share of the traffic that the version receives at a step.
fn share(settings: &health::Settings, step: f64, rate: f64) -> f64 {
    let delay = (ANSWER_S.0 + ANSWER_S.1 + RATING_SAMPLE.1 + RATING_SAMPLE.2) / 2.0;
    health::paced_share(settings, step, STEP_SHARES[0], rate, Duration::from_secs_f64(delay))
}

fn settings(deployment: &Deployment) -> health::Settings {
    Tuning::new(&deployment.weights).health(health::Settings::default())
}

/// Requests per second of the deployment: 60% of the capacity of its engines.
fn traffic(deployment: &Deployment) -> f64 {
    0.6 * Setup::one_model(deployment, 0, 0).capacity()
}
