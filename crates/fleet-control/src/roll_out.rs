//! Roll-outs: the counts of the entries, the verdict on a version, and the steps.

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

use crate::log::Log;
use crate::machine::Command;

/// Time between two looks at the counts.
const PERIOD: Duration = Duration::from_millis(250);

/// Time between two notes of the progress in the log: what a new leader may lose of it.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);

/// Part of a roll-out's time before the trial: the half in which sessions must stay.
const PENDING_PART: f64 = 0.51;

/// Part of a roll-out's time at which the trial ends.
const TRIAL_PART: f64 = 0.75;

/// Part of a roll-out's time by which it is complete. The rest is for lost acknowledgements.
const COMPLETE_PART: f64 = 0.90;

/// Part of a roll-out's time for which all work goes to the new version before it may replace the
/// old one.
const MOVE_PART: f64 = 0.06;

/// Requests of a route at the new version below which there is no verdict on the route.
const LEAST_SENT: u64 = 5;

/// Bad answers of a route at the new version below which there is no verdict on the route.
const LEAST_BAD: u64 = 3;

/// Failure rate above the rate of the old version at which a version is bad. Single endpoints
/// that fail part of their requests stay below it.
const EXCESS_RATE: f64 = 0.2;

/// Ratio of the mean times to the first part of an answer at which a version is bad. Bad versions
/// are several times slower.
const SLOW_RATIO: f64 = 3.0;

/// Difference of the mean times below which a version is not slow, in milliseconds.
const SLOW_MS: f64 = 150.0;

/// Age at which the counts of an entry are dropped.
const TALLY_AGE: Duration = Duration::from_secs(6);

struct Reported {
    at: Duration,
    tallies: Vec<Tally>,
}

/// Counts by entry and incarnation. They are running totals, so a report replaces the one before.
#[derive(Default)]
pub struct Tallies {
    reports: RefCell<HashMap<(Name, u64), Reported>>,
}

/// Totals of one route at the new version and at the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Comparison {
    /// The new version.
    pub new: Total,
    /// All other versions.
    pub old: Total,
}

/// Totals of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that ended.
    pub ended: u64,
    /// Requests that failed at the endpoint.
    pub bad: u64,
    /// Sum of the times to the first part of an answer, in milliseconds.
    pub time_ms: u64,
}

impl Total {
    fn bad_rate(self) -> f64 {
        self.bad as f64 / self.ended.max(1) as f64
    }

    fn mean_ms(self) -> f64 {
        let good = self.ended.saturating_sub(self.bad);
        self.time_ms as f64 / good.max(1) as f64
    }
}

impl Comparison {
    /// Why the new version is bad on this route, if it is.
    pub fn verdict(&self) -> Option<String> {
        let Self { new, old } = *self;
        if new.ended < LEAST_SENT {
            return None;
        }
        if new.bad >= LEAST_BAD && new.bad_rate() > 2.0 * old.bad_rate() + EXCESS_RATE {
            return Some(format!("{} of {} requests failed", new.bad, new.ended));
        }
        let slow = new.mean_ms() > SLOW_RATIO * old.mean_ms() + SLOW_MS;
        (slow && old.ended >= LEAST_SENT).then(|| {
            format!("{:.0} ms to the answer, {:.0} ms before", new.mean_ms(), old.mean_ms())
        })
    }
}

impl Tallies {
    /// Takes in the counts of an entry.
    pub fn report(&self, entry: &Name, incarnation: u64, tallies: Vec<Tally>) {
        let key = (entry.clone(), incarnation);
        self.reports.borrow_mut().insert(key, Reported { at: boot_time(), tallies });
    }

    fn each(&self, service: &str, mut visit: impl FnMut(&Tally)) {
        for report in self.reports.borrow().values() {
            report.tallies.iter().filter(|one| &*one.service == service).for_each(&mut visit);
        }
    }

    /// Totals of each route of a service.
    pub fn compare(&self, service: &str, target: &str) -> HashMap<Name, Comparison> {
        let mut routes: HashMap<Name, Comparison> = HashMap::new();
        self.each(service, |tally| {
            let route = routes.entry(tally.route.clone()).or_default();
            let total = if &*tally.version == target { &mut route.new } else { &mut route.old };
            total.ended += tally.succeeded + tally.failed;
            total.bad += tally.failed;
            total.time_ms += tally.latency_sum_ms;
        });
        routes
    }

    /// Requests under way at versions other than `target`.
    pub fn open_elsewhere(&self, service: &str, target: &str) -> u64 {
        let mut open = 0;
        self.each(service, |tally| {
            if &*tally.version != target {
                open += tally.outstanding;
            }
        });
        open
    }

    fn forget_old(&self) {
        let now = boot_time();
        self.reports.borrow_mut().retain(|_, one| now < one.at + TALLY_AGE);
    }
}

struct Counted {
    serial: u64,
    /// Time since the order, as of `from`.
    base: Duration,
    from: Duration,
    noted: Duration,
}

impl Counted {
    fn elapsed(&self, now: Duration) -> Duration {
        self.base + now.saturating_sub(self.from)
    }
}

/// Time since the orders of the roll-outs that run. Every replica counts it, so that a new leader
/// knows the time that passed without a leader.
#[derive(Default)]
pub struct Progress(Vec<Counted>);

impl Progress {
    /// Takes in what the log says of the roll-outs.
    pub fn track<'a>(&mut self, running: impl Iterator<Item = &'a RollOut>, now: Duration) {
        let mut kept = Vec::new();
        for one in running {
            let noted = Duration::from_millis(one.elapsed_ms);
            let known = self.0.iter().position(|own| own.serial == one.serial);
            let known = known.map(|index| self.0.swap_remove(index));
            kept.push(match known {
                // Another replica has counted longer: this one has restarted.
                Some(own) if own.elapsed(now) >= noted => own,
                _ => Counted { serial: one.serial, base: noted, from: now, noted: now },
            });
        }
        self.0 = kept;
    }

    /// Time since the order of a roll-out that is tracked, in milliseconds.
    pub fn elapsed_ms(&self, serial: u64, now: Duration) -> Option<u64> {
        let own = self.0.iter().find(|own| own.serial == serial)?;
        u64::try_from(own.elapsed(now).as_millis()).ok()
    }

    /// Whether the log should get to know the progress. It is then due again later.
    fn is_due(&mut self, serial: u64, now: Duration) -> bool {
        let Some(own) = self.0.iter_mut().find(|own| own.serial == serial) else { return false };
        let due = now >= own.noted + PROGRESS_INTERVAL;
        if due {
            own.noted = now;
        }
        due
    }
}

/// Steers the roll-outs while this replica leads.
pub async fn control(log_handle: Log, tallies: Rc<Tallies>, log: Logger) {
    let mut progress = Progress::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        tallies.forget_old();
        let agreed = log_handle.agreed.borrow().clone();
        let roll_outs = agreed.machine.roll_outs.clone();
        let now = boot_time();
        progress.track(roll_outs.newest.iter().filter(|one| one.phase.is_running()), now);
        if agreed.role != Role::Leader {
            continue;
        }
        for one in roll_outs.newest.iter().filter(|one| one.phase.is_running()) {
            let elapsed_ms = progress.elapsed_ms(one.serial, now).unwrap_or(one.elapsed_ms);
            let phase = next_phase(one, elapsed_ms, &tallies, &log);
            if phase.is_none() && !progress.is_due(one.serial, now) {
                continue;
            }
            let next = phase.unwrap_or(one.phase);
            let command = Command::Step { serial: one.serial, phase: next, elapsed_ms };
            let reply = log_handle.propose(command.encode()).await;
            if phase.is_some() {
                info!(log, "roll-out step"; "service" => &*one.service, "target" => &*one.target,
                    "phase" => ?next, "elapsed_ms" => elapsed_ms, "outcome" => ?reply);
            }
        }
    }
}

/// The next phase, if it is time for it.
fn next_phase(one: &RollOut, elapsed_ms: u64, tallies: &Tallies, log: &Logger) -> Option<Phase> {
    for (route, comparison) in tallies.compare(&one.service, &one.target) {
        if let Some(reason) = comparison.verdict() {
            info!(log, "version is bad"; "service" => &*one.service, "target" => &*one.target,
                "route" => &*route, "reason" => reason, "counts" => ?comparison);
            return Some(Phase::RolledBack);
        }
    }
    let part = elapsed_ms as f64 / one.length_ms.max(1) as f64;
    let idle = tallies.open_elsewhere(&one.service, &one.target) == 0;
    match one.phase {
        Phase::Pending if part >= PENDING_PART => Some(Phase::Trial),
        Phase::Trial if part >= TRIAL_PART => Some(Phase::Moving),
        Phase::Moving if part >= COMPLETE_PART || (idle && part >= TRIAL_PART + MOVE_PART) => {
            Some(Phase::Complete)
        }
        _ => None,
    }
}
