//! Roll-outs: the request counts of the entries, and the controller that advances the phases.
//!
//! Each entry sends its [`Tally`]s with its long polls. The controller of the leader adds them up,
//! compares the new version of a service with the old ones ([`comparison`]), and proposes the phase
//! that follows from the [`stage`] to the replicated log.

pub mod comparison;
pub mod stage;

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
use crate::roll_out::comparison::Comparison;
use crate::roll_out::comparison::Slowdown;
use crate::roll_out::comparison::Verdict;
use crate::roll_out::stage::EVEN_SHARE;
use crate::roll_out::stage::Stage;
use crate::roll_out::stage::next_phase;
use crate::roll_out::stage::raises_share;

/// Interval at which the controller checks the roll-outs.
const PERIOD: Duration = Duration::from_millis(250);

/// Interval at which the elapsed time of a roll-out is written to the replicated log. A new leader
/// may lose this much of it.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(1_000);

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

    /// Returns the totals of each route of a service since the start of the trial. Entries that have
    /// not learned of it are left out.
    pub fn compare(&self, roll_out: &RollOut) -> HashMap<Name, Comparison> {
        let mut routes: HashMap<Name, Comparison> = HashMap::new();
        self.for_each_tally(&roll_out.service, |tally| {
            if tally.serial != roll_out.serial {
                return;
            }
            let route = routes.entry(tally.route.clone()).or_default();
            let is_new = tally.version == roll_out.target;
            let total = if is_new { &mut route.new } else { &mut route.old };
            total.add(tally);
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
    /// When this replica saw that the shares of the versions are even.
    even_since: Option<Duration>,
    /// When this replica saw that all new requests go to the new version.
    moving_since: Option<Duration>,
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
            let mut timer = match timer {
                // The timer is behind the log if another replica has measured for longer, for
                // example because this one has restarted.
                Some(timer) if timer.elapsed(now) >= logged => timer,
                _ => Timer {
                    serial: roll_out.serial,
                    initial: logged,
                    started_at: now,
                    recorded_at: now,
                    even_since: None,
                    moving_since: None,
                },
            };
            if roll_out.phase == Phase::Trial && roll_out.share >= EVEN_SHARE {
                timer.even_since.get_or_insert(now);
            }
            if roll_out.phase == Phase::Moving {
                timer.moving_since.get_or_insert(now);
            }
            kept.push(timer);
        }
        self.0 = kept;
    }

    /// Returns the time since the operator ordered a roll-out, if it is tracked.
    pub fn elapsed_ms(&self, serial: u64, now: Duration) -> Option<u64> {
        let timer = self.0.iter().find(|timer| timer.serial == serial)?;
        u64::try_from(timer.elapsed(now).as_millis()).ok()
    }

    fn since(&self, serial: u64, at: impl Fn(&Timer) -> Option<Duration>, now: Duration) -> u64 {
        let timer = self.0.iter().find(|timer| timer.serial == serial);
        let since = timer.and_then(at).unwrap_or(now);
        u64::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u64::MAX)
    }

    /// Returns the time for which the shares of the versions have been even, as far as this replica
    /// has seen.
    pub fn even_ms(&self, serial: u64, now: Duration) -> u64 {
        self.since(serial, |timer| timer.even_since, now)
    }

    /// Returns the time for which all new requests have gone to the new version, as far as this
    /// replica has seen.
    pub fn moving_ms(&self, serial: u64, now: Duration) -> u64 {
        self.since(serial, |timer| timer.moving_since, now)
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
    let mut verdicts = HashMap::new();
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
        verdicts.retain(|serial, _| progress.elapsed_ms(*serial, now).is_some());
        for roll_out in roll_outs.newest.iter().filter(|roll_out| roll_out.phase.is_running()) {
            let elapsed_ms =
                progress.elapsed_ms(roll_out.serial, now).unwrap_or(roll_out.elapsed_ms);
            let routes = tallies.compare(roll_out);
            let verdict = Verdict::of(&routes, roll_out.phase);
            let kind = std::mem::discriminant(&verdict);
            if verdicts.insert(roll_out.serial, kind) != Some(kind) {
                info!(log, "roll-out verdict"; "service" => &*roll_out.service,
                    "target" => &*roll_out.target, "phase" => ?roll_out.phase,
                    "verdict" => %verdict, "elapsed_ms" => elapsed_ms);
            }
            let stage = Stage {
                roll_out,
                elapsed_ms,
                even_ms: progress.even_ms(roll_out.serial, now),
                moving_ms: progress.moving_ms(roll_out.serial, now),
                drained: tallies.outstanding_elsewhere(&roll_out.service, &roll_out.target) == 0,
                verdict: &verdict,
            };
            if raises_share(&stage) {
                let command = Command::RaiseShare { serial: roll_out.serial, share: EVEN_SHARE };
                let reply = log_handle.propose(command.encode()).await;
                info!(log, "roll-out share raised"; "service" => &*roll_out.service,
                    "target" => &*roll_out.target, "share" => EVEN_SHARE,
                    "elapsed_ms" => elapsed_ms, "verdict" => %verdict, "outcome" => ?reply);
                continue;
            }
            let phase = next_phase(&stage);
            if phase.is_none() && !progress.take_due(roll_out.serial, now) {
                continue;
            }
            if roll_out.phase > Phase::Pending {
                let (first, gap) = Slowdown::of_routes(&routes, roll_out.phase);
                info!(log, "versions compared"; "service" => &*roll_out.service,
                    "first" => %first, "gap" => %gap, "verdict" => %verdict);
            }
            if phase == Some(Phase::RolledBack) {
                info!(log, "new version is worse than the old one; rolling back";
                    "service" => &*roll_out.service, "target" => &*roll_out.target,
                    "reason" => %verdict);
            }
            let next = phase.unwrap_or(roll_out.phase);
            let command =
                Command::UpdateRollOut { serial: roll_out.serial, phase: next, elapsed_ms };
            let reply = log_handle.propose(command.encode()).await;
            if phase.is_some() {
                info!(log, "roll-out step"; "service" => &*roll_out.service,
                    "target" => &*roll_out.target, "phase" => ?next, "elapsed_ms" => elapsed_ms,
                    "verdict" => %verdict, "outcome" => ?reply);
            }
        }
    }
}
