//! Roll-outs: the request counts of the entries, the comparison of the versions, and the controller
//! that advances the phases.
//!
//! Each entry sends its [`Tally`]s with its long polls. The controller of the leader adds them up,
//! compares the new version of a service with the old ones, and proposes the next phase to the
//! replicated log.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::Tally;
use slog::Logger;
use slog::info;

use crate::machine::Command;
use crate::replicated_log::LogHandle;

/// Interval at which the controller checks the roll-outs.
const PERIOD: Duration = Duration::from_millis(250);

/// Interval at which the elapsed time of a roll-out is written to the replicated log. A new leader
/// may lose this much of it.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Fraction of the planned duration at which the trial starts. Sessions must stay at their version
/// during the first half.
const TRIAL_START_FRACTION: f64 = 0.51;

/// Fraction of the planned duration at which the trial ends.
const TRIAL_END_FRACTION: f64 = 0.75;

/// Fraction of the planned duration after which the roll-out completes in any case. The rest allows
/// for lost acknowledgements.
const COMPLETE_FRACTION: f64 = 0.90;

/// Minimum fraction of the planned duration for which all new requests go to the new version before
/// it may replace the old one.
const MIN_MOVING_FRACTION: f64 = 0.06;

/// Minimum number of ended requests of a route at a version to compare the versions on that route.
const MIN_ENDED: u64 = 5;

/// Minimum number of failed requests of a route at the new version to compare the failure rates.
const MIN_FAILED: u64 = 3;

/// Margin by which the failure rate of the new version must exceed twice that of the old one to
/// count as a regression. A single endpoint that fails some of its requests stays below it.
const FAILURE_RATE_MARGIN: f64 = 0.2;

/// Ratio of the mean times to the first part of an answer above which the new version counts as
/// slow. Faulty versions are several times slower.
const SLOW_RATIO: f64 = 3.0;

/// Margin above `SLOW_RATIO` times the mean of the old version up to which the new version does not
/// count as slow.
const SLOW_MARGIN_MS: f64 = 150.0;

/// Age at which the report of an entry is dropped.
const REPORT_MAX_AGE: Duration = Duration::from_secs(6);

struct TallyReport {
    received_at: Duration,
    tallies: Vec<Tally>,
}

/// Latest report of each incarnation of an entry. The counts are running totals, so a report
/// replaces the previous one.
#[derive(Default)]
pub struct Tallies {
    reports: RefCell<HashMap<(Name, u64), TallyReport>>,
}

/// Totals of one route at the new version and at all others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    pub new: Total,
    /// All other versions together.
    pub old: Total,
}

/// Request totals of one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that succeeded or failed.
    pub ended: u64,
    /// Requests that failed at the endpoint.
    pub bad: u64,
    /// Sum of the times to the first part of an answer, over the requests that succeeded.
    pub time_ms: u64,
}

impl Total {
    fn failure_rate(self) -> f64 {
        self.bad as f64 / self.ended.max(1) as f64
    }

    fn mean_latency_ms(self) -> f64 {
        let succeeded = self.ended.saturating_sub(self.bad);
        self.time_ms as f64 / succeeded.max(1) as f64
    }
}

impl Comparison {
    /// Returns why the new version is worse than the old one on this route, if it is.
    pub fn regression(&self) -> Option<String> {
        let Self { new, old } = *self;
        if new.ended < MIN_ENDED {
            return None;
        }
        if new.bad >= MIN_FAILED
            && new.failure_rate() > 2.0 * old.failure_rate() + FAILURE_RATE_MARGIN
        {
            return Some(format!("{} of {} requests failed", new.bad, new.ended));
        }
        let slow = new.mean_latency_ms() > SLOW_RATIO * old.mean_latency_ms() + SLOW_MARGIN_MS;
        (slow && old.ended >= MIN_ENDED).then(|| {
            format!(
                "{:.0} ms to the answer, {:.0} ms before",
                new.mean_latency_ms(),
                old.mean_latency_ms()
            )
        })
    }
}

impl Tallies {
    /// Replaces the report of an incarnation of an entry.
    pub fn report(&self, entry: &Name, incarnation: u64, tallies: Vec<Tally>) {
        let key = (entry.clone(), incarnation);
        self.reports.borrow_mut().insert(key, TallyReport { received_at: boot_time(), tallies });
    }

    fn for_each_tally(&self, service: &str, mut visit: impl FnMut(&Tally)) {
        for report in self.reports.borrow().values() {
            report.tallies.iter().filter(|tally| &*tally.service == service).for_each(&mut visit);
        }
    }

    /// Returns the totals of each route of a service.
    pub fn compare(&self, service: &str, target: &str) -> HashMap<Name, Comparison> {
        let mut routes: HashMap<Name, Comparison> = HashMap::new();
        self.for_each_tally(service, |tally| {
            let route = routes.entry(tally.route.clone()).or_default();
            let total = if &*tally.version == target { &mut route.new } else { &mut route.old };
            total.ended += tally.succeeded + tally.failed;
            total.bad += tally.failed;
            total.time_ms += tally.latency_sum_ms;
        });
        routes
    }

    /// Returns the number of outstanding requests at versions other than `target`.
    pub fn outstanding_elsewhere(&self, service: &str, target: &str) -> u64 {
        let mut outstanding = 0;
        self.for_each_tally(service, |tally| {
            if &*tally.version != target {
                outstanding += tally.outstanding;
            }
        });
        outstanding
    }

    fn drop_expired(&self) {
        let now = boot_time();
        self.reports.borrow_mut().retain(|_, report| now < report.received_at + REPORT_MAX_AGE);
    }
}

/// Elapsed time of one roll-out.
struct Timer {
    serial: u64,
    /// Elapsed time when the timer was started.
    initial: Duration,
    started_at: Duration,
    /// When the elapsed time was last written to the replicated log, or the timer was started.
    recorded_at: Duration,
}

impl Timer {
    fn elapsed(&self, now: Duration) -> Duration {
        self.initial + now.saturating_sub(self.started_at)
    }
}

/// Elapsed times of the running roll-outs. Every replica measures them, so that a new leader also
/// counts the time without a leader.
#[derive(Default)]
pub struct Progress(Vec<Timer>);

impl Progress {
    /// Starts a timer for each new roll-out, drops those of roll-outs that ended, and restarts a
    /// timer that is behind the elapsed time in the replicated log.
    pub fn track<'a>(&mut self, running: impl Iterator<Item = &'a RollOut>, now: Duration) {
        let mut kept = Vec::new();
        for roll_out in running {
            let logged = Duration::from_millis(roll_out.elapsed_ms);
            let timer = self.0.iter().position(|timer| timer.serial == roll_out.serial);
            let timer = timer.map(|index| self.0.swap_remove(index));
            kept.push(match timer {
                // The timer is behind the log if another replica has measured for longer, for
                // example because this one has restarted.
                Some(timer) if timer.elapsed(now) >= logged => timer,
                _ => Timer {
                    serial: roll_out.serial,
                    initial: logged,
                    started_at: now,
                    recorded_at: now,
                },
            });
        }
        self.0 = kept;
    }

    /// Returns the time since the operator ordered a roll-out, if it is tracked.
    pub fn elapsed_ms(&self, serial: u64, now: Duration) -> Option<u64> {
        let timer = self.0.iter().find(|timer| timer.serial == serial)?;
        u64::try_from(timer.elapsed(now).as_millis()).ok()
    }

    /// Whether the elapsed time is due to be written to the replicated log. If so, it is next due
    /// after another interval.
    fn take_due(&mut self, serial: u64, now: Duration) -> bool {
        let Some(timer) = self.0.iter_mut().find(|timer| timer.serial == serial) else {
            return false;
        };
        let due = now >= timer.recorded_at + PROGRESS_INTERVAL;
        if due {
            timer.recorded_at = now;
        }
        due
    }
}

/// Advances the roll-outs while this replica is the leader.
pub async fn run_controller(log_handle: LogHandle, tallies: Rc<Tallies>, log: Logger) {
    let mut progress = Progress::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        tallies.drop_expired();
        let state = log_handle.state.borrow().clone();
        let roll_outs = state.machine.roll_outs.clone();
        let now = boot_time();
        progress.track(roll_outs.newest.iter().filter(|roll_out| roll_out.phase.is_running()), now);
        if state.role != Role::Leader {
            continue;
        }
        for roll_out in roll_outs.newest.iter().filter(|roll_out| roll_out.phase.is_running()) {
            let elapsed_ms =
                progress.elapsed_ms(roll_out.serial, now).unwrap_or(roll_out.elapsed_ms);
            let phase = next_phase(roll_out, elapsed_ms, &tallies, &log);
            if phase.is_none() && !progress.take_due(roll_out.serial, now) {
                continue;
            }
            let next = phase.unwrap_or(roll_out.phase);
            let command =
                Command::UpdateRollOut { serial: roll_out.serial, phase: next, elapsed_ms };
            let reply = log_handle.propose(command.encode()).await;
            if phase.is_some() {
                info!(log, "roll-out step"; "service" => &*roll_out.service,
                    "target" => &*roll_out.target, "phase" => ?next, "elapsed_ms" => elapsed_ms,
                    "outcome" => ?reply);
            }
        }
    }
}

/// Returns the phase that follows now, or `None` if the roll-out stays in its phase.
fn next_phase(
    roll_out: &RollOut,
    elapsed_ms: u64,
    tallies: &Tallies,
    log: &Logger,
) -> Option<Phase> {
    for (route, comparison) in tallies.compare(&roll_out.service, &roll_out.target) {
        if let Some(reason) = comparison.regression() {
            info!(log, "new version is worse than the old one; rolling back";
                "service" => &*roll_out.service, "target" => &*roll_out.target,
                "route" => &*route, "reason" => reason, "counts" => ?comparison);
            return Some(Phase::RolledBack);
        }
    }
    let fraction = elapsed_ms as f64 / roll_out.length_ms.max(1) as f64;
    let drained = tallies.outstanding_elsewhere(&roll_out.service, &roll_out.target) == 0;
    match roll_out.phase {
        Phase::Pending if fraction >= TRIAL_START_FRACTION => Some(Phase::Trial),
        Phase::Trial if fraction >= TRIAL_END_FRACTION => Some(Phase::Moving),
        Phase::Moving
            if fraction >= COMPLETE_FRACTION
                || (drained && fraction >= TRIAL_END_FRACTION + MIN_MOVING_FRACTION) =>
        {
            Some(Phase::Complete)
        }
        _ => None,
    }
}
