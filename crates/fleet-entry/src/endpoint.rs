//! State of an endpoint at one entry: announcement, load, health and outstanding requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::WARM_UP_TOLERANCE;
use hickoryreel_fleet::explanation::Reason;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use smallvec::SmallVec;

use crate::availability::Admission;
use crate::availability::Availability;
use crate::dialect::Load;
use crate::exchange::Pool;
use crate::pace::Pace;

/// Consecutive failures after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;

/// Duration of the first ejection; it doubles with each further failure.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);

/// Maximum duration of an ejection; replaced and restarted endpoints are back sooner.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Maximum age of a reported load.
const LOAD_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Time since its last data for which an endpoint stays in use although no control replica receives
/// its announcements.
const ACTIVITY_MAX_AGE: Duration = Duration::from_secs(6);

/// Maximum age of the totals over all entries: several report periods.
const TOTALS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// Recent failures over all entries, with hardly any success, from which an endpoint gets no new
/// requests.
const SUSPECT_FAILURES: f64 = 3.0;

/// Failures for each success up to which an endpoint is not suspected.
const SUSPECT_RATIO: f64 = 4.0;

/// Successes added to the count, so that a few failures give no high failure share.
const PRIOR_SUCCESSES: f64 = 2.0;

/// Weight of the prefill of less urgent prompts in the wait of a request: the chunk in progress is
/// finished first, and their tokens are generated in the same batch.
const LESS_URGENT_WEIGHT: f64 = 0.4;

/// Smoothing factor of the failure share.
const FAILURE_SMOOTHING: f64 = 0.15;

/// Time for which an endpoint counts as cold after it could not be reached: it may have restarted, and
/// its first announcement is on its way. Two intervals between announcements and the way to an entry.
pub const RESTART_DOUBT: Duration = Duration::from_secs(3);

/// The same after its connection broke, until it is known whether it accepts another one: the time
/// after which an attempt to connect fails.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(300);

/// Which endpoints of a service get requests only with an admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdLimit {
    None,
    /// Those that say that they warm up.
    Announced,
    /// Also those that may have restarted and warm up without the entry having their announcement.
    Restarts,
}

/// End of the warm-up according to an announcement that has just arrived. The announcement may have
/// been under way for seconds, so the end is at this time or earlier.
fn warm_up_end(announcement: &Announcement) -> Duration {
    match announcement.warm_up_left() {
        Duration::ZERO => Duration::ZERO,
        left => boot_time() + left + WARM_UP_TOLERANCE,
    }
}

/// State of an endpoint.
pub struct Endpoint {
    /// Newest announcement.
    pub announcement: RefCell<Announcement>,
    /// Replicas that receive its announcements. The endpoint is silent only if there is none: a
    /// replica that is partitioned from the others does not receive all announcements.
    heard_by: RefCell<SmallVec<[SocketAddr; 5]>>,
    /// Earliest start of an endpoint with its version, as far as this entry knows, and the number of
    /// versions that it knew before. Differs between the versions of a service.
    pub version_since: Cell<(u64, usize)>,
    /// Whether it has deregistered, or a newer incarnation or address has replaced it.
    pub gone: Cell<bool>,
    pub pool: Pool,
    /// Outstanding requests of this entry.
    pub outstanding: Cell<u32>,
    /// Expected prefill time of this entry's requests without an answer, by rank.
    prefill_ms: Cell<[f64; RANKS]>,
    /// Prompt tokens of this entry's outstanding requests.
    prompt_tokens: Cell<u64>,
    load: Cell<Option<(Load, Duration)>>,
    pace: Cell<Pace>,
    /// Whether the endpoint has stated its pace since the latest report of this entry.
    pace_seen: Cell<bool>,
    key: EndpointKey,
    reported: Cell<Reported>,
    others: Cell<Option<(OtherEntries, Duration)>>,
    succeeded: Cell<u32>,
    failed: Cell<u32>,
    sent_since_load: Cell<u32>,
    consecutive_failures: Cell<u32>,
    failure_share: Cell<f64>,
    ejected_until: Cell<Duration>,
    /// Time until which it warms up, by what it has last said.
    cold_until: Cell<Duration>,
    /// Time until which it may have restarted without an announcement that has arrived.
    doubtful_until: Cell<Duration>,
    /// Shared by all addresses of the incarnation.
    availability: Rc<Cell<Availability>>,
    /// Time at which this entry last received data from the endpoint.
    pub last_activity: Cell<Option<Duration>>,
}

/// Load in the latest report of this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Reported {
    outstanding: u32,
    prefill_ms: [u32; RANKS],
    prompt_tokens: u32,
}

/// Load of the other entries at an endpoint, and ends of recent sends of all entries.
#[derive(Clone, Copy, Debug, Default)]
struct OtherEntries {
    outstanding: u32,
    prefill_ms: [u32; RANKS],
    prompt_tokens: u32,
    succeeded: f64,
    failed: f64,
}

impl Endpoint {
    pub fn new(announcement: Announcement) -> Self {
        let key = EndpointKey::of(&announcement.id);
        let cold_until = warm_up_end(&announcement);
        Self {
            pool: Pool::new(announcement.address),
            version_since: Cell::new((announcement.incarnation, 0)),
            announcement: RefCell::new(announcement),
            heard_by: RefCell::default(),
            gone: Cell::new(false),
            outstanding: Cell::new(0),
            prefill_ms: Cell::default(),
            prompt_tokens: Cell::new(0),
            load: Cell::new(None),
            pace: Cell::default(),
            pace_seen: Cell::new(false),
            key,
            reported: Cell::default(),
            others: Cell::new(None),
            succeeded: Cell::new(0),
            failed: Cell::new(0),
            sent_since_load: Cell::new(0),
            consecutive_failures: Cell::new(0),
            failure_share: Cell::new(0.0),
            ejected_until: Cell::new(Duration::ZERO),
            cold_until: Cell::new(cold_until),
            doubtful_until: Cell::default(),
            availability: Rc::default(),
            last_activity: Cell::new(None),
        }
    }

    /// Creates an endpoint that is the same incarnation at another address.
    pub fn moved(&self, announcement: Announcement) -> Self {
        Self { availability: Rc::clone(&self.availability), ..Self::new(announcement) }
    }

    /// Replaces the announcement by a newer one of the same incarnation.
    pub fn update(&self, announcement: Announcement) {
        self.cold_until.set(warm_up_end(&announcement));
        *self.announcement.borrow_mut() = announcement;
    }

    /// Time until which it warms up; not later than `now` if it has warmed up.
    pub fn cold_until(&self) -> Duration {
        self.cold_until.get()
    }

    /// Whether it warms up at time `now`.
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until.get()
    }

    /// Whether it gets requests at time `now` only with an admission.
    pub fn needs_admission(&self, limit: ColdLimit, now: Duration) -> bool {
        match limit {
            ColdLimit::None => false,
            ColdLimit::Announced => self.is_cold(now),
            ColdLimit::Restarts => self.is_cold(now) || now < self.doubtful_until.get(),
        }
    }

    fn doubt_until(&self, until: Duration) {
        self.doubtful_until.set(self.doubtful_until.get().max(until));
    }

    /// Records that a connection to it broke, which may be the end of it. Returns whether this is yet
    /// to be found out.
    pub fn record_break(&self) -> bool {
        let now = boot_time();
        let is_new = now >= self.doubtful_until.get();
        self.doubt_until(now + CRASH_CHECK_TIME);
        is_new
    }

    /// Records that it accepts no connection after one broke.
    pub fn record_crash(&self) {
        self.doubt_until(boot_time() + RESTART_DOUBT);
    }

    pub fn id(&self) -> Name {
        self.announcement.borrow().id.clone()
    }

    pub fn version(&self) -> Name {
        self.announcement.borrow().version.clone()
    }

    /// Whether it may get new requests.
    pub fn is_usable(&self) -> bool {
        self.reason(boot_time()).is_none()
    }

    /// Returns why it may not get new requests at time `now`, or `None` if it may.
    pub fn reason(&self, now: Duration) -> Option<Reason> {
        let recently_active =
            self.last_activity.get().is_some_and(|at| now < at + ACTIVITY_MAX_AGE);
        if self.gone.get() {
            Some(Reason::Gone)
        } else if self.announcement.borrow().draining {
            Some(Reason::Draining)
        } else if let Some(reason) = self.availability().reason(now) {
            Some(reason)
        } else if now < self.ejected_until.get() {
            let left = self.ejected_until.get().saturating_sub(now);
            Some(Reason::Ejected { left_ms: left.as_millis() as u64 })
        } else if self.is_silent() && !recently_active {
            Some(Reason::Silent)
        } else {
            self.is_suspect(now).then_some(Reason::Suspect)
        }
    }

    /// Its availability according to its answers.
    pub fn availability(&self) -> Availability {
        self.availability.get()
    }

    /// Whether it may get a request at time `now`, according to its answers.
    pub fn is_available(&self, now: Duration) -> bool {
        self.availability().is_available(now)
    }

    fn change_availability<T>(&self, change: impl FnOnce(&mut Availability) -> T) -> T {
        let mut availability = self.availability();
        let result = change(&mut availability);
        self.availability.set(availability);
        result
    }

    /// Records that it is leaving. Returns whether this is new.
    pub fn record_leaving(&self) -> bool {
        self.change_availability(Availability::leave)
    }

    /// Records that it wants no requests for a time. Returns whether this changes the end of its
    /// pause.
    pub fn record_pause(&self, length: Duration) -> bool {
        self.change_availability(|availability| availability.pause(boot_time(), length))
    }

    /// Records that the answer of a request began, or that the request ended without one. Returns
    /// whether this may have made the endpoint available.
    pub fn record_end(&self, admission: Admission, accepted: bool) -> bool {
        self.change_availability(|availability| availability.record_end(admission, accepted))
    }

    /// Whether no replica receives its announcements.
    pub fn is_silent(&self) -> bool {
        self.heard_by.borrow().is_empty()
    }

    /// Whether a replica receives its announcements.
    pub fn is_heard_by(&self, replica: SocketAddr) -> bool {
        self.heard_by.borrow().contains(&replica)
    }

    /// Records whether a replica receives its announcements. Returns whether this changes
    /// [`Self::is_silent`].
    pub fn set_heard_by(&self, replica: SocketAddr, hears: bool) -> bool {
        let was_silent = self.is_silent();
        let mut heard_by = self.heard_by.borrow_mut();
        heard_by.retain(|known| *known != replica);
        if hears {
            heard_by.push(replica);
        }
        heard_by.is_empty() != was_silent
    }

    /// Records that another endpoint answers at its address. It gets no requests until a replica
    /// receives its announcements again.
    pub fn mark_displaced(&self) {
        self.heard_by.borrow_mut().clear();
        self.last_activity.set(None);
    }

    /// Whether it may get new requests if no endpoint is usable.
    pub fn is_last_resort(&self) -> bool {
        self.is_present() && self.is_available(boot_time())
    }

    /// Whether it has neither deregistered nor announced that it drains.
    pub fn is_present(&self) -> bool {
        !self.gone.get() && !self.announcement.borrow().draining
    }

    /// Hash of its id for load reports.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// Hash of its id and incarnation, for reports of crashes.
    pub fn incarnation_key(&self) -> EndpointKey {
        let announcement = self.announcement.borrow();
        EndpointKey::of(&format!("{} {}", announcement.id, announcement.incarnation))
    }

    /// Returns the load of this entry for a report and resets the counts of ended sends. `None` if
    /// there is nothing to report.
    pub fn take_report(&self) -> Option<EndpointLoad> {
        let prefill_ms = self.prefill_ms.get().map(|time_ms| time_ms as u32);
        let prompt_tokens = u32::try_from(self.prompt_tokens.get()).unwrap_or(u32::MAX);
        let reported = Reported { outstanding: self.outstanding.get(), prefill_ms, prompt_tokens };
        self.reported.set(reported);
        let seen = self.pace_seen.take();
        let (pace, latest_pace) = if seen { self.pace.get().percent() } else { (0, 0) };
        let load = EndpointLoad {
            endpoint: self.key,
            outstanding: reported.outstanding,
            prefill_ms: reported.prefill_ms,
            prompt_tokens: reported.prompt_tokens,
            succeeded: self.succeeded.take(),
            failed: self.failed.take(),
            pace,
            latest_pace,
        };
        (load.outstanding + load.succeeded + load.failed > 0).then_some(load)
    }

    /// Applies the totals over all entries; `None` stands for no load.
    pub fn apply_totals(&self, total: Option<&EndpointLoad>) {
        let reported = self.reported.get();
        let others = total.map_or_else(OtherEntries::default, |total| OtherEntries {
            outstanding: total.outstanding.saturating_sub(reported.outstanding),
            prefill_ms: std::array::from_fn(|rank| {
                total.prefill_ms[rank].saturating_sub(reported.prefill_ms[rank])
            }),
            prompt_tokens: total.prompt_tokens.saturating_sub(reported.prompt_tokens),
            succeeded: f64::from(total.succeeded),
            failed: f64::from(total.failed),
        });
        self.others.set(Some((others, boot_time())));
        if let Some(total) = total {
            let mut pace = self.pace.get();
            pace.apply_totals(total.pace, total.latest_pace, boot_time());
            self.pace.set(pace);
        }
    }

    /// Usual pace of the endpoint, the same at all entries.
    pub fn usual_pace(&self) -> f64 {
        self.pace.get().usual()
    }

    /// Expected factor on the usual time of work that begins now and usually takes `length_ms`.
    pub fn pace(&self, length_ms: f64) -> f64 {
        let length = Duration::try_from_secs_f64(length_ms / 1_000.0).unwrap_or(Duration::MAX);
        self.pace.get().expected(boot_time(), length)
    }

    /// Load of the other entries, unless it is unknown or outdated.
    fn others(&self) -> Option<OtherEntries> {
        self.others_at(boot_time())
    }

    fn others_at(&self, now: Duration) -> Option<OtherEntries> {
        let (others, at) = self.others.get()?;
        (now < at + TOTALS_MAX_AGE).then_some(others)
    }

    /// Whether nearly all recent sends of all entries failed.
    fn is_suspect(&self, now: Duration) -> bool {
        self.others_at(now).is_some_and(|others| {
            others.failed >= SUSPECT_FAILURES && others.failed > SUSPECT_RATIO * others.succeeded
        })
    }

    /// Adds to the outstanding prefill time of this entry's requests of a rank.
    pub fn add_prefill(&self, rank: u8, time_ms: f64) {
        let mut prefill_ms = self.prefill_ms.get();
        let own = &mut prefill_ms[usize::from(rank).min(RANKS - 1)];
        *own = (*own + time_ms).max(0.0);
        self.prefill_ms.set(prefill_ms);
    }

    /// Adds the prompt of a request of this entry.
    pub fn add_prompt(&self, tokens: u32) {
        self.prompt_tokens.set(self.prompt_tokens.get() + u64::from(tokens));
    }

    /// Removes the prompt of a request that has ended.
    pub fn remove_prompt(&self, tokens: u32) {
        self.prompt_tokens.set(self.prompt_tokens.get().saturating_sub(u64::from(tokens)));
    }

    /// Prompt tokens of the outstanding requests of all entries; of this one alone if the totals are
    /// unknown or outdated.
    pub fn prompt_tokens(&self) -> u64 {
        let others = self.others().map_or(0, |others| others.prompt_tokens);
        self.prompt_tokens.get() + u64::from(others)
    }

    /// Whether this entry has no outstanding prefill there.
    pub fn is_prefill_done(&self) -> bool {
        self.prefill_ms.get().iter().all(|time_ms| *time_ms == 0.0)
    }

    /// Expected time in milliseconds for the prefill of the prompts that a request of a rank waits
    /// for: all of the same or a more urgent rank, and a part of the others. `waiting_ms` is the
    /// assumed prefill time of a request of another entry if there are no totals.
    pub fn prefill_wait_ms(&self, rank: u8, waiting_ms: f64) -> f64 {
        let own = self.prefill_ms.get();
        let others = self.others();
        let sum = (0..RANKS).map(|other_rank| {
            let others = others.map_or(0, |others| others.prefill_ms[other_rank]);
            let weight = if other_rank <= usize::from(rank) { 1.0 } else { LESS_URGENT_WEIGHT };
            weight * (own[other_rank] + f64::from(others))
        });
        let unknown = if others.is_some() { 0.0 } else { self.waiting() * waiting_ms };
        sum.sum::<f64>() + unknown
    }

    /// Expected time in milliseconds for the prefill of the prompts of the same or a more urgent rank
    /// that wait there. `None` without recent totals.
    pub fn rank_wait_ms(&self, rank: u8) -> Option<f64> {
        let (own, others) = (self.prefill_ms.get(), self.others()?);
        let ranks = 0..=usize::from(rank).min(RANKS - 1);
        Some(ranks.map(|rank| own[rank] + f64::from(others.prefill_ms[rank])).sum())
    }

    pub fn record_send(&self) -> Admission {
        self.outstanding.set(self.outstanding.get() + 1);
        self.sent_since_load.set(self.sent_since_load.get() + 1);
        self.change_availability(Availability::admit)
    }

    pub fn record_load(&self, load: Load) {
        let now = boot_time();
        self.load.set(Some((load, now)));
        self.sent_since_load.set(0);
        if let Some(percent) = load.pace {
            let mut pace = self.pace.get();
            pace.observe(percent, now);
            self.pace.set(pace);
            self.pace_seen.set(true);
        }
    }

    /// Records that data from the endpoint arrived.
    pub fn record_activity(&self) {
        self.last_activity.set(Some(boot_time()));
    }

    /// Records a success, which ends an ejection.
    pub fn record_success(&self) {
        self.consecutive_failures.set(0);
        self.succeeded.set(self.succeeded.get() + 1);
        self.failure_share.set(self.failure_share.get() * (1.0 - FAILURE_SMOOTHING));
        self.ejected_until.set(Duration::ZERO);
    }

    /// Records a failure. Returns the duration of the ejection if the endpoint is ejected.
    pub fn record_failure(&self) -> Option<Duration> {
        self.failed.set(self.failed.get() + 1);
        let consecutive_failures = self.consecutive_failures.get() + 1;
        self.consecutive_failures.set(consecutive_failures);
        let share = self.failure_share.get();
        self.failure_share.set(share + FAILURE_SMOOTHING * (1.0 - share));
        (consecutive_failures >= EJECTION_FAILURES)
            .then(|| self.eject(consecutive_failures - EJECTION_FAILURES))
    }

    /// Records that no connection could be opened, and ejects the endpoint. Returns the duration of
    /// the ejection.
    pub fn record_unreachable(&self) -> Duration {
        self.failed.set(self.failed.get() + 1);
        let consecutive_failures = self.consecutive_failures.get() + 1;
        self.consecutive_failures.set(consecutive_failures);
        let ejection = self.eject(consecutive_failures - 1);
        // It is not contacted before the end of the ejection, up to which it may restart.
        self.doubt_until(boot_time() + ejection + RESTART_DOUBT);
        ejection
    }

    fn eject(&self, doublings: u32) -> Duration {
        let ejection = (INITIAL_EJECTION * 2_u32.pow(doublings.min(4))).min(MAX_EJECTION);
        self.ejected_until.set(boot_time() + ejection);
        ejection
    }

    /// Share of recent sends that failed, by this entry or by all entries, whichever is higher.
    pub fn failure_share(&self) -> f64 {
        let own = self.failure_share.get();
        let shared = self
            .others()
            .map(|others| others.failed / (others.succeeded + others.failed + PRIOR_SUCCESSES));
        shared.map_or(own, |shared| shared.max(own))
    }

    /// Estimated number of outstanding requests of all entries.
    pub fn estimated_load(&self, entries: u32) -> f64 {
        let now = boot_time();
        let own = f64::from(self.outstanding.get());
        if let Some(others) = self.others() {
            return own + f64::from(others.outstanding);
        }
        match self.load.get().filter(|(_, at)| now < *at + LOAD_MAX_AGE) {
            Some((load, _)) => {
                let reported = f64::from(load.running) + f64::from(load.waiting);
                (reported + f64::from(self.sent_since_load.get())).max(own)
            }
            None => own * f64::from(entries.max(1)).sqrt(),
        }
    }

    /// Time since the endpoint last reported its load.
    pub fn load_age(&self) -> Option<Duration> {
        self.load.get().map(|(_, at)| boot_time().saturating_sub(at))
    }

    /// Time since the totals over all entries arrived.
    pub fn totals_age(&self) -> Option<Duration> {
        self.others.get().map(|(_, at)| boot_time().saturating_sub(at))
    }

    /// Time since the latest figure of its pace.
    pub fn pace_age(&self) -> Option<Duration> {
        self.pace.get().age(boot_time())
    }

    /// Requests that wait there according to the latest load that the endpoint reported.
    pub fn waiting(&self) -> f64 {
        let now = boot_time();
        let load = self.load.get().filter(|(_, at)| now < *at + LOAD_MAX_AGE);
        load.map_or(0.0, |(load, _)| f64::from(load.waiting))
    }

    /// Maximum number of concurrent requests.
    pub fn slots(&self) -> u32 {
        self.announcement.borrow().slots.max(1)
    }
}
