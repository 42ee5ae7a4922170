//! An endpoint as one entry knows it: announcement, load, health and open work.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use smallvec::SmallVec;

use crate::dialect::Load;
use crate::exchange::Pool;

/// Failures in a row after which an endpoint gets no new work for a while.
const EJECT_FAILURES: u32 = 3;

/// First pause of an endpoint that failed; it doubles with each failure after that.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause of an endpoint that failed: replaced and restarted endpoints are back sooner.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// Age at which a reported load no longer counts.
const LOAD_AGE: Duration = Duration::from_millis(1_500);

/// Time since an answer for which an endpoint that is silent towards control stays in use.
const PROVED_AGE: Duration = Duration::from_secs(6);

/// Age at which the work of the other entries no longer counts: several posts.
const SHARED_AGE: Duration = Duration::from_millis(1_500);

/// Recent failures over all entries, beside hardly any good answer, from which an endpoint gets no
/// new work.
const SUSPECT_FAILURES: f64 = 3.0;

/// Failures for each good answer up to which an endpoint is not suspected.
const SUSPECT_RATIO: f64 = 4.0;

/// Good answers that are assumed of an endpoint with few ended sends.
const ASSUMED_GOOD: f64 = 2.0;

/// Part of the reading of less urgent prompts that a request waits for: the piece that is being
/// read is finished first, and their tokens are produced beside its own.
const LESS_URGENT_PART: f64 = 0.4;

/// Weight of a new observation in the smoothed failure share.
const FAILURE_SMOOTHING: f64 = 0.15;

/// An endpoint.
pub struct Endpoint {
    /// Newest announcement.
    pub announcement: RefCell<Announcement>,
    /// Replicas that hear its announcements. It is silent when there is none: a replica that is cut
    /// off from the others does not hear every endpoint.
    heard_by: RefCell<SmallVec<[SocketAddr; 5]>>,
    /// Whether it left for good, or its address belongs to another endpoint.
    pub gone: Cell<bool>,
    /// Idle connections.
    pub pool: Pool,
    /// Requests of this entry under way there.
    pub open: Cell<u32>,
    /// Expected reading time of this entry's requests that have not answered yet, by rank, in
    /// milliseconds.
    prefill_ms: Cell<[f64; RANKS]>,
    load: Cell<Option<(Load, Duration)>>,
    key: EndpointKey,
    posted: Cell<Posted>,
    others: Cell<Option<(Others, Duration)>>,
    good: Cell<u32>,
    bad: Cell<u32>,
    sent_since_load: Cell<u32>,
    failures: Cell<u32>,
    failure_share: Cell<f64>,
    paused_until: Cell<Duration>,
    /// When the endpoint sent anything to this entry.
    pub heard: Cell<Option<Duration>>,
}

/// What this entry posted last.
#[derive(Clone, Copy, Debug, Default)]
struct Posted {
    open: u32,
    prefill_ms: [u32; RANKS],
}

/// What the other entries have at an endpoint, and how recent sends of all entries ended.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    open: u32,
    prefill_ms: [u32; RANKS],
    good: f64,
    bad: f64,
}

impl Endpoint {
    /// An endpoint of which nothing but its announcement is known.
    pub fn new(announcement: Announcement) -> Self {
        let key = EndpointKey::of(&announcement.id);
        Self {
            pool: Pool::new(announcement.address),
            announcement: RefCell::new(announcement),
            heard_by: RefCell::default(),
            gone: Cell::new(false),
            open: Cell::new(0),
            prefill_ms: Cell::default(),
            load: Cell::new(None),
            key,
            posted: Cell::default(),
            others: Cell::new(None),
            good: Cell::new(0),
            bad: Cell::new(0),
            sent_since_load: Cell::new(0),
            failures: Cell::new(0),
            failure_share: Cell::new(0.0),
            paused_until: Cell::new(Duration::ZERO),
            heard: Cell::new(None),
        }
    }

    /// Identity.
    pub fn id(&self) -> Name {
        self.announcement.borrow().id.clone()
    }

    /// Version of its software.
    pub fn version(&self) -> Name {
        self.announcement.borrow().version.clone()
    }

    /// Whether it may get new work.
    pub fn is_usable(&self) -> bool {
        let now = boot_time();
        let proved = self.heard.get().is_some_and(|at| now < at + PROVED_AGE);
        !self.gone.get()
            && !self.announcement.borrow().draining
            && now >= self.paused_until.get()
            && (!self.is_silent() || proved)
            && !self.is_suspect()
    }

    /// Whether no replica hears its announcements.
    pub fn is_silent(&self) -> bool {
        self.heard_by.borrow().is_empty()
    }

    /// Notes whether a replica hears its announcements. Returns whether that made it silent, or
    /// ended its silence.
    pub fn note_hearing(&self, replica: SocketAddr, hears: bool) -> bool {
        let was_silent = self.is_silent();
        let mut heard_by = self.heard_by.borrow_mut();
        heard_by.retain(|one| *one != replica);
        if hears {
            heard_by.push(replica);
        }
        heard_by.is_empty() != was_silent
    }

    /// Notes that another endpoint answers at its address. It stays unused until a replica hears
    /// of it again.
    pub fn displace(&self) {
        self.heard_by.borrow_mut().clear();
        self.heard.set(None);
    }

    /// Whether it may get new work when no usable endpoint is left.
    pub fn is_last_resort(&self) -> bool {
        !self.gone.get() && !self.announcement.borrow().draining
    }

    /// Short identity among the entries.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// The work of this entry for the other entries; `None` if there is none.
    pub fn post(&self) -> Option<EndpointLoad> {
        let prefill_ms = self.prefill_ms.get().map(|one| one as u32);
        let posted = Posted { open: self.open.get(), prefill_ms };
        self.posted.set(posted);
        let work = EndpointLoad {
            endpoint: self.key,
            outstanding: posted.open,
            prefill_ms: posted.prefill_ms,
            succeeded: self.good.take(),
            failed: self.bad.take(),
        };
        (work.outstanding + work.succeeded + work.failed > 0).then_some(work)
    }

    /// Takes in the work of all entries; `None` if there is none.
    pub fn take_in(&self, sum: Option<&EndpointLoad>) {
        let posted = self.posted.get();
        let others = sum.map_or_else(Others::default, |sum| Others {
            open: sum.outstanding.saturating_sub(posted.open),
            prefill_ms: std::array::from_fn(|rank| {
                sum.prefill_ms[rank].saturating_sub(posted.prefill_ms[rank])
            }),
            good: f64::from(sum.succeeded),
            bad: f64::from(sum.failed),
        });
        self.others.set(Some((others, boot_time())));
    }

    /// What the other entries have there, if it is known.
    fn others(&self) -> Option<Others> {
        let (others, at) = self.others.get()?;
        (boot_time() < at + SHARED_AGE).then_some(others)
    }

    /// Whether the entries together see it fail only.
    fn is_suspect(&self) -> bool {
        self.others().is_some_and(|others| {
            others.bad >= SUSPECT_FAILURES && others.bad > SUSPECT_RATIO * others.good
        })
    }

    /// Adds to the reading time of this entry's requests of a rank.
    pub fn add_unread(&self, rank: u8, time_ms: f64) {
        let mut prefill_ms = self.prefill_ms.get();
        let own = &mut prefill_ms[usize::from(rank).min(RANKS - 1)];
        *own = (*own + time_ms).max(0.0);
        self.prefill_ms.set(prefill_ms);
    }

    /// Whether this entry has nothing there that is not read yet.
    pub fn is_read(&self) -> bool {
        self.prefill_ms.get().iter().all(|one| *one == 0.0)
    }

    /// Expected time to read the prompts there that a request of a rank waits for, in milliseconds,
    /// as far as known: those of its own rank and more urgent ones, and a part of the others.
    /// `waiting_ms` is the time for a request of another entry of which nothing else is known.
    pub fn ahead_ms(&self, rank: u8, waiting_ms: f64) -> f64 {
        let own = self.prefill_ms.get();
        let others = self.others();
        let sum = (0..RANKS).map(|one| {
            let others = others.map_or(0, |others| others.prefill_ms[one]);
            let weight = if one <= usize::from(rank) { 1.0 } else { LESS_URGENT_PART };
            weight * (own[one] + f64::from(others))
        });
        let unknown = if others.is_some() { 0.0 } else { self.waiting() * waiting_ms };
        sum.sum::<f64>() + unknown
    }

    /// Notes a send.
    pub fn sent(&self) {
        self.open.set(self.open.get() + 1);
        self.sent_since_load.set(self.sent_since_load.get() + 1);
    }

    /// Notes a reported load.
    pub fn report(&self, load: Load) {
        self.load.set(Some((load, boot_time())));
        self.sent_since_load.set(0);
    }

    /// Notes that the endpoint sent something.
    pub fn hear(&self) {
        self.heard.set(Some(boot_time()));
    }

    /// Notes a good answer.
    pub fn succeeded(&self) {
        self.failures.set(0);
        self.good.set(self.good.get() + 1);
        self.failure_share.set(self.failure_share.get() * (1.0 - FAILURE_SMOOTHING));
        self.paused_until.set(Duration::ZERO);
    }

    /// Notes a failure. Returns the pause if the endpoint gets one.
    pub fn failed(&self) -> Option<Duration> {
        self.bad.set(self.bad.get() + 1);
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        let share = self.failure_share.get();
        self.failure_share.set(share + FAILURE_SMOOTHING * (1.0 - share));
        (failures >= EJECT_FAILURES).then(|| self.pause(failures - EJECT_FAILURES))
    }

    /// Notes that no connection could be opened.
    pub fn unreachable(&self) -> Duration {
        self.bad.set(self.bad.get() + 1);
        let failures = self.failures.get() + 1;
        self.failures.set(failures);
        self.pause(failures - 1)
    }

    fn pause(&self, doublings: u32) -> Duration {
        let pause = (FIRST_PAUSE * 2_u32.pow(doublings.min(4))).min(LONGEST_PAUSE);
        self.paused_until.set(boot_time() + pause);
        pause
    }

    /// Share of recent requests that failed there.
    pub fn failure_share(&self) -> f64 {
        let own = self.failure_share.get();
        let shared = self.others().map(|one| one.bad / (one.good + one.bad + ASSUMED_GOOD));
        shared.map_or(own, |shared| shared.max(own))
    }

    /// Requests at the endpoint, over all entries, as far as known.
    pub fn estimated_load(&self, entries: u32) -> f64 {
        let now = boot_time();
        let own = f64::from(self.open.get());
        if let Some(others) = self.others() {
            return own + f64::from(others.open);
        }
        match self.load.get().filter(|(_, at)| now < *at + LOAD_AGE) {
            Some((load, _)) => {
                let reported = f64::from(load.running + load.waiting);
                (reported + f64::from(self.sent_since_load.get())).max(own)
            }
            None => own * f64::from(entries.max(1)).sqrt(),
        }
    }

    /// Time since the endpoint reported its load.
    pub fn load_age(&self) -> Option<Duration> {
        self.load.get().map(|(_, at)| boot_time().saturating_sub(at))
    }

    /// Requests of other entries that wait there, as far as known.
    pub fn waiting(&self) -> f64 {
        let now = boot_time();
        let load = self.load.get().filter(|(_, at)| now < *at + LOAD_AGE);
        load.map_or(0.0, |(load, _)| f64::from(load.waiting))
    }

    /// Requests that the endpoint runs at once.
    pub fn slots(&self) -> u32 {
        self.announcement.borrow().slots.max(1)
    }
}
