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

use derive_more::Display;
use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::Tally;
use hickoryreel_fleet::roll_out::Timing;
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

/// Fraction of the planned duration at which the share of a sound version becomes [`EVEN_SHARE`].
const EVEN_START_FRACTION: f64 = 0.63;

/// Minimum fraction of the planned duration for which the versions are compared with even shares.
const MIN_EVEN_FRACTION: f64 = 0.09;

/// Share of the requests, in thousandths, with which both versions have the same load, if they have
/// as many endpoints. A version that is slower only under its full load shows it.
const EVEN_SHARE: u32 = 500;

/// Maximum ratio of [`EVEN_SHARE`] to the share of the trial. With a smaller share, the exposure limit
/// leaves no room for even shares.
const MAX_SHARE_RATIO: u32 = 3;

/// Fraction of the planned duration at which the trial of a sound version ends.
const TRIAL_END_FRACTION: f64 = 0.75;

/// Fraction of the planned duration up to which the trial goes on without a verdict.
const MAX_TRIAL_FRACTION: f64 = 0.84;

/// Fraction of the planned duration after which the roll-out completes although requests are
/// outstanding at the old version. The rest allows for lost acknowledgements.
const COMPLETE_FRACTION: f64 = 0.90;

/// Fraction of the planned duration up to which a version that is not known to be sound is held: it
/// does not replace the old one. Then a suspect one is rolled back. The rest allows for lost acknowledgements.
const MAX_HOLD_FRACTION: f64 = 0.94;

/// Minimum fraction of the planned duration for which all new requests go to the new version before
/// it may replace the old one.
const MIN_MOVING_FRACTION: f64 = 0.06;

/// Minimum number of requests of a route at a version to compare the versions on that route.
const MIN_REQUESTS: u64 = 5;

/// Minimum number of failed requests of a route at the new version to compare the failure rates.
const MIN_FAILED: u64 = 3;

/// Margin by which the failure rate of the new version must exceed twice that of the old one to
/// count as a regression. A single endpoint that fails some of its requests stays below it.
const FAILURE_RATE_MARGIN: f64 = 0.2;

/// Ratio to the median at the old version above which a time to the first part of an answer counts
/// as slow.
const FIRST_RATIO: f64 = 2.5;

/// Margin above that: the prefill of a prompt that the old version has in its caches.
const FIRST_MARGIN_MS: f64 = 100.0;

/// Ratio to the median at the old version above which the mean time between the events of a stream
/// counts as slow. It varies less between requests than the time to the first part.
const GAP_RATIO: f64 = 2.0;

/// The same ratio once all new requests go to the new version. A sound one slows down as well when
/// the load has grown since the trial.
const MOVING_GAP_RATIO: f64 = 3.0;

/// Margin above that.
const GAP_MARGIN_MS: f64 = 10.0;

/// Margins during the trial.
const TRIAL_MARGINS: Margins = Margins { regression: 0.2, suspicion: 0.1 };

/// Margins once all new requests go to the new version. Its caches are cold for most of them, and it
/// is compared with the old version at another time.
const MOVING_MARGINS: Margins = Margins { regression: 0.4, suspicion: 0.35 };

/// Minimum number of slow requests for a regression or a suspicion.
const MIN_SLOW: u64 = 5;

/// Standard errors that the share of slow requests must exceed a margin by to count as a regression.
const REGRESSION_ERRORS: f64 = 2.0;

/// The same for a suspicion.
const SUSPICION_ERRORS: f64 = 1.0;

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
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Comparison {
    pub new: Total,
    /// All other versions together.
    pub old: Total,
}

/// Request totals of one route.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Total {
    /// Requests that succeeded or failed.
    pub ended: u64,
    /// Requests that failed at the endpoint.
    pub bad: u64,
    /// Times to the first part of an answer.
    pub first: Timing,
    /// Mean times between the events of a stream.
    pub gap: Timing,
}

impl Total {
    fn add(&mut self, tally: &Tally) {
        self.ended += tally.succeeded + tally.failed;
        self.bad += tally.failed;
        self.first.merge(&tally.first);
        self.gap.merge(&tally.gap);
    }

    fn failure_rate(&self) -> f64 {
        self.bad as f64 / self.ended.max(1) as f64
    }
}

/// Margins by which the share of slow requests of the new version must exceed that of the old one.
#[derive(Clone, Copy, Debug)]
struct Margins {
    /// To count as worse.
    regression: f64,
    /// To count as suspect.
    suspicion: f64,
}

impl Margins {
    fn of(phase: Phase) -> Self {
        if phase == Phase::Moving { MOVING_MARGINS } else { TRIAL_MARGINS }
    }
}

/// Requests of which it is known whether they are slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Speed {
    slow: u64,
    known: u64,
}

impl Speed {
    /// A request that is under way counts once it is slow.
    fn of(timing: &Timing, limit_ms: f64) -> Self {
        let pending = timing.at_least.count_from(limit_ms);
        Self {
            slow: timing.measured.count_from(limit_ms) + pending,
            known: timing.measured.count() + pending,
        }
    }

    fn add(&mut self, other: Self) {
        self.slow += other.slow;
        self.known += other.known;
    }

    fn share(self) -> f64 {
        self.slow as f64 / self.known.max(1) as f64
    }

    /// Largest standard error of a share among so many requests.
    fn max_error(self) -> f64 {
        0.5 / (self.known.max(1) as f64).sqrt()
    }
}

/// Slow requests at both versions, over one route or several.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[display("{} of {}, at the old version {} of {}", new.slow, new.known, old.slow, old.known)]
struct Slowdown {
    new: Speed,
    old: Speed,
}

impl Slowdown {
    /// Compares durations of one route. Without a median of the old version nothing is known.
    fn of(new: &Timing, old: &Timing, limit_ms: impl Fn(f64) -> f64) -> Self {
        let median_ms = old.measured.median_ms();
        let Some(median_ms) = median_ms.filter(|_| old.measured.count() >= MIN_REQUESTS) else {
            return Self::default();
        };
        let limit_ms = limit_ms(median_ms);
        Self { new: Speed::of(new, limit_ms), old: Speed::of(old, limit_ms) }
    }

    fn add(&mut self, other: Self) {
        self.new.add(other.new);
        self.old.add(other.old);
    }

    /// Whether the share of slow requests exceeds that of the old version by more than a margin and a
    /// number of standard errors.
    fn exceeds(self, margin: f64, errors: f64) -> bool {
        let excess = self.new.share() - self.old.share();
        let error = self.new.max_error().hypot(self.old.max_error());
        self.new.slow >= MIN_SLOW && excess > margin + errors * error
    }

    fn is_regression(self, margins: Margins) -> bool {
        self.exceeds(margins.regression, REGRESSION_ERRORS)
    }

    fn is_suspect(self, margins: Margins) -> bool {
        self.exceeds(margins.suspicion, SUSPICION_ERRORS)
    }

    /// Compares the times to the first part and the times between events, over all routes.
    fn of_routes(routes: &HashMap<Name, Comparison>, phase: Phase) -> (Self, Self) {
        let (mut first, mut gap) = (Self::default(), Self::default());
        for comparison in routes.values() {
            first.add(comparison.first());
            gap.add(comparison.gap(phase));
        }
        (first, gap)
    }
}

impl Comparison {
    fn first(&self) -> Slowdown {
        let limit_ms = |median_ms| FIRST_RATIO * median_ms + FIRST_MARGIN_MS;
        Slowdown::of(&self.new.first, &self.old.first, limit_ms)
    }

    fn gap(&self, phase: Phase) -> Slowdown {
        let ratio = if phase == Phase::Moving { MOVING_GAP_RATIO } else { GAP_RATIO };
        let limit_ms = |median_ms| ratio * median_ms + GAP_MARGIN_MS;
        Slowdown::of(&self.new.gap, &self.old.gap, limit_ms)
    }

    /// Returns why the new version is worse than the old one on this route, if it is.
    pub fn regression(&self, phase: Phase) -> Option<String> {
        let Self { new, old } = self;
        if new.ended >= MIN_REQUESTS
            && new.bad >= MIN_FAILED
            && new.failure_rate() > 2.0 * old.failure_rate() + FAILURE_RATE_MARGIN
        {
            return Some(format!("{} of {} requests failed", new.bad, new.ended));
        }
        let margins = Margins::of(phase);
        slow_reason(self.first(), self.gap(phase), |slowdown| slowdown.is_regression(margins))
    }
}

/// Returns which durations are slow at the new version by `test`, if any.
fn slow_reason(first: Slowdown, gap: Slowdown, test: impl Fn(Slowdown) -> bool) -> Option<String> {
    if test(first) {
        return Some(format!("first part of the answer slow: {first}"));
    }
    test(gap).then(|| format!("events of the stream slow: {gap}"))
}

/// Verdict on a new version.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Verdict {
    /// Worse than the old version, with the reason.
    #[display("worse: {_0}")]
    Worse(String),
    /// Possibly worse.
    #[display("suspect: {_0}")]
    Suspect(String),
    /// Too few requests.
    #[display("unknown")]
    Unknown,
    #[display("sound")]
    Sound,
}

impl Verdict {
    /// Compares the versions on each route, and over all routes together for those with few
    /// requests.
    pub fn of(routes: &HashMap<Name, Comparison>, phase: Phase) -> Self {
        let margins = Margins::of(phase);
        let mut suspicion = None;
        for (route, comparison) in routes {
            if let Some(reason) = comparison.regression(phase) {
                return Self::Worse(format!("route {route}: {reason}"));
            }
            let (first, gap) = (comparison.first(), comparison.gap(phase));
            let reason = slow_reason(first, gap, |slowdown| slowdown.is_suspect(margins));
            suspicion = reason.map(|reason| format!("route {route}: {reason}")).or(suspicion);
        }
        let (first, gap) = Slowdown::of_routes(routes, phase);
        if let Some(reason) = slow_reason(first, gap, |slowdown| slowdown.is_regression(margins)) {
            return Self::Worse(format!("all routes: {reason}"));
        }
        match suspicion {
            Some(suspicion) => Self::Suspect(suspicion),
            None if first.new.known < MIN_REQUESTS => Self::Unknown,
            None => Self::Sound,
        }
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

/// State of a roll-out that decides on its next phase.
pub struct Stage<'a> {
    pub roll_out: &'a RollOut,
    /// Time since the operator ordered the roll-out.
    pub elapsed_ms: u64,
    /// Time for which the shares of the versions have been even.
    pub even_ms: u64,
    /// Time for which all new requests have gone to the new version.
    pub moving_ms: u64,
    /// Whether no request is outstanding at the old version.
    pub drained: bool,
    pub verdict: &'a Verdict,
}

impl Stage<'_> {
    /// Fraction of the planned duration.
    fn fraction(&self, time_ms: u64) -> f64 {
        time_ms as f64 / self.roll_out.length_ms.max(1) as f64
    }

    /// Whether the exposure limit leaves room for even shares that are not in force yet.
    fn may_raise_share(&self) -> bool {
        let share = self.roll_out.share;
        share < EVEN_SHARE && share * MAX_SHARE_RATIO >= EVEN_SHARE
    }
}

/// Whether the shares of both versions become even now.
pub fn raises_share(stage: &Stage<'_>) -> bool {
    let fraction = stage.fraction(stage.elapsed_ms);
    stage.roll_out.phase == Phase::Trial
        && *stage.verdict == Verdict::Sound
        && stage.may_raise_share()
        && (EVEN_START_FRACTION..MAX_TRIAL_FRACTION).contains(&fraction)
}

/// Returns the phase that follows now, or `None` if the roll-out stays in its phase.
///
/// A version that is suspect at the end of the longest trial is rolled back: the old version still
/// serves most requests. After the move it is held, because its caches fill up, and rolled back if
/// it is still suspect at the end: once it is complete, the old version is gone.
pub fn next_phase(stage: &Stage<'_>) -> Option<Phase> {
    if matches!(stage.verdict, Verdict::Worse(_)) {
        return Some(Phase::RolledBack);
    }
    let fraction = stage.fraction(stage.elapsed_ms);
    let moved = stage.fraction(stage.moving_ms) >= MIN_MOVING_FRACTION;
    let suspect = matches!(stage.verdict, Verdict::Suspect(_));
    match stage.roll_out.phase {
        Phase::Pending => (fraction >= TRIAL_START_FRACTION).then_some(Phase::Trial),
        Phase::Trial if fraction >= MAX_TRIAL_FRACTION => {
            Some(if suspect { Phase::RolledBack } else { Phase::Moving })
        }
        Phase::Trial => {
            let even = stage.fraction(stage.even_ms) >= MIN_EVEN_FRACTION;
            let compared = even || stage.roll_out.share * MAX_SHARE_RATIO < EVEN_SHARE;
            let sound = *stage.verdict == Verdict::Sound;
            (sound && compared && fraction >= TRIAL_END_FRACTION).then_some(Phase::Moving)
        }
        Phase::Moving => {
            let held = fraction >= MAX_HOLD_FRACTION;
            let ended = stage.drained || fraction >= COMPLETE_FRACTION;
            match stage.verdict {
                Verdict::Sound if moved && ended => Some(Phase::Complete),
                Verdict::Suspect(_) => held.then_some(Phase::RolledBack),
                _ => held.then_some(Phase::Complete),
            }
        }
        Phase::Complete | Phase::RolledBack => None,
    }
}
