//! Admission, queueing and endpoint choice: the adapter between requests and `policy`.
//!
//! A request asks with a [`Job`] and waits in the queue of its pool (one per model or service)
//! until [`policy::pick`](hickoryreel_policy::pick) finds an endpoint with a free slot. The
//! [`Grant`] it gets counts as an open request at the endpoint until it is dropped, and carries
//! what the request showed about the endpoint back into the view.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::eject::Outcome;
use hickoryreel_policy::pick;
use hickoryreel_policy::queue;
use hickoryreel_policy::queue::Item;
use hickoryreel_policy::queue::Offer;
use hickoryreel_policy::queue::Queue;
use hickoryreel_policy::queue::Refusal;
use hickoryreel_policy::retry::Budget;
use hickoryreel_policy::share::Demand;
use hickoryreel_policy::view;
use hickoryreel_policy::view::View;
use hickoryreel_policy::weights::Tuning;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;
use hickoryreel_wire::rpc::Digest;
use hickoryreel_wire::rpc::Usage;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::metrics::ranked;

/// Share of a rank's first-token target that may be spent in the queue, by rank; the rest is for
/// the engine. These are the longest waits of `policy::queue` (130 ms, 1.5 s, 25 s) against the
/// standard targets (350 ms, 2 s, 30 s): with longer waits urgent work misses its target afterwards.
const QUEUE_PARTS: [f64; 3] = [130.0 / 350.0, 1.5 / 2.0, 25.0 / 30.0];

/// Expected times below this are not compared with observed ones: the difference is noise of
/// network and scheduling.
const LEAST_EXPECTED: Duration = Duration::from_millis(50);

/// Most prefixes remembered as served; engines keep them for a limited time only.
const MAX_SERVED: usize = 16_384;

/// Weight of a new observation in the learned cost factor.
const SMOOTHING: f64 = 0.05;

/// Units of [`Usage`] in one slot.
const USAGE_UNITS: f64 = 1e6;

/// What a request needs from an endpoint.
#[derive(Clone, Debug)]
pub struct Job {
    /// Rank.
    pub rank: Rank,
    /// Workspace.
    pub workspace: Workspace,
    /// Version to run, or the name of a plain service.
    pub version: Version,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Most tokens to generate.
    pub max_tokens: u32,
    /// Hash and length in tokens of the prompt's prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
    /// Bytes expected to cross between entry and endpoint.
    pub bytes: u64,
    /// Endpoints that failed this request before.
    pub tried: Vec<Endpoint>,
}

struct Waiter {
    job: Job,
    reply: oneshot::Sender<error::Result<Grant>>,
}

/// Queues, view and budgets of one entry.
pub struct Schedule {
    origin: Instant,
    metrics: Arc<Metrics>,
    inner: Mutex<Inner>,
}

struct Inner {
    view: View,
    pools: BTreeMap<Model, Pool>,
    queue: queue::Settings,
    weights: BTreeMap<Workspace, f64>,
    pick: pick::Settings,
    budget: Budget,
    random: StdRng,
    announced: HashMap<Endpoint, Arc<Announcement>>,
    served: VecDeque<(Endpoint, u64)>,
}

struct Pool {
    queue: Queue<Waiter>,
    /// Observed slot time divided by the time predicted from the token counts.
    factor: f64,
}

/// A slot at an endpoint.
pub struct Grant {
    schedule: Arc<Schedule>,
    /// The endpoint.
    pub endpoint: Arc<Announcement>,
    /// Predicted time to the first token.
    pub first_token: Duration,
    pool: Model,
    /// Predicted slot-seconds before the learned factor.
    base: f64,
    granted: Instant,
    outcome: Outcome,
}

impl Schedule {
    /// An empty schedule. `share` is the part of each endpoint's slots that this entry uses.
    pub fn new(
        entry: &Entry,
        region: Region,
        share: f64,
        seed: u64,
        metrics: Arc<Metrics>,
    ) -> Self {
        let mut view = View::new(entry, region, view::Settings::default());
        view.default_share = share;
        let inner = Inner {
            view,
            pools: BTreeMap::new(),
            queue: queue::Settings::default(),
            weights: BTreeMap::new(),
            pick: pick::Settings::default(),
            budget: Budget::default(),
            random: StdRng::seed_from_u64(seed),
            announced: HashMap::new(),
            served: VecDeque::new(),
        };
        Self { origin: Instant::now(), metrics, inner: Mutex::new(inner) }
    }

    /// Takes over what `bundle` says about ranks, workspaces and region prices.
    pub fn configure(self: &Arc<Self>, bundle: &Bundle, capacity: [usize; 3]) {
        let now = self.now();
        let mut inner = self.inner.lock();
        inner.queue = queue::Settings {
            capacity,
            floors: Rank::ALL.map(|rank| bundle.rank(rank).floor),
            targets: Rank::ALL.map(|rank| {
                let target = Duration::from_millis(bundle.rank(rank).first_token_ms.into());
                target.mul_f64(QUEUE_PARTS[rank.index()])
            }),
            ..queue::Settings::default()
        };
        inner.weights =
            bundle.workspaces.iter().map(|(name, terms)| (name.clone(), terms.weight)).collect();
        inner.pick.region_prices = bundle.region_prices.clone();
        let limit = inner.view.settings.limit.clone();
        inner.view.settings.limit = Tuning::new(&bundle.weights).limit(limit);
        let refused = inner.rebuild(now);
        drop(inner);
        refuse(refused);
        self.dispatch_queued();
    }

    /// Takes in an announcement.
    pub fn announce(&self, announcement: Announcement) {
        let now = self.now();
        let mut inner = self.inner.lock();
        let versions = match &announcement.role {
            Role::Engine { versions, .. } => versions.iter().cloned().collect(),
            Role::Service { service } => [Version::from(&**service)].into_iter().collect(),
        };
        let id = announcement.endpoint.clone();
        let fresh = inner.announced.get(&id).is_some_and(|known| {
            known.incarnation != announcement.incarnation || known.address != announcement.address
        });
        if fresh {
            // What was learned about the former process does not hold for the new one.
            inner.view.remove(&id);
        }
        let (region, zone) = (announcement.region.clone(), announcement.zone.clone());
        let mut endpoint = view::Endpoint::new(id.clone(), region, zone, view::Rates::default());
        endpoint.versions = versions;
        endpoint.leaving = announcement.state == State::Leaving;
        inner.view.announce(endpoint);
        let load = announcement.load;
        inner.announced.insert(id.clone(), Arc::new(announcement));
        if load.slots > 0 {
            let report = view::Report {
                running: load.running,
                waiting: load.queued,
                max_running: load.slots,
                prefill_backlog: load.prefill_backlog,
                token_gap: Duration::from_micros(load.token_gap_us.into()),
            };
            let measured = now.saturating_sub(Duration::from_millis(load.age_ms.into()));
            let Inner { view, random, .. } = &mut *inner;
            view.on_report(&id, report, measured, now, random);
        }
    }

    /// Removes an endpoint that left the directory.
    pub fn remove(&self, endpoint: &Endpoint) {
        let mut inner = self.inner.lock();
        inner.view.remove(endpoint);
        inner.announced.remove(endpoint);
    }

    /// Known endpoints.
    pub fn known(&self) -> Vec<Endpoint> {
        self.inner.lock().announced.keys().cloned().collect()
    }

    /// Records that `endpoint` served a prompt with these prefixes.
    pub fn on_prefixes(&self, endpoint: &Endpoint, prefixes: &[(u64, u32)]) {
        let mut inner = self.inner.lock();
        let Inner { view, served, .. } = &mut *inner;
        for (prefix, _) in prefixes {
            view.on_cache_event(endpoint, *prefix, true);
            served.push_back((endpoint.clone(), *prefix));
        }
        while served.len() > MAX_SERVED
            && let Some((endpoint, prefix)) = served.pop_front()
        {
            view.on_cache_event(&endpoint, prefix, false);
        }
    }

    /// Whether an endpoint that is not leaving and not in `tried` serves `version`.
    pub fn serves(&self, version: &Version, tried: &[Endpoint]) -> bool {
        self.inner.lock().serves(version, tried)
    }

    /// Waits for a slot. Nothing ran when it is refused.
    pub async fn acquire(self: &Arc<Self>, job: Job) -> error::Result<Grant> {
        let (reply, granted) = oneshot::channel();
        self.offer(job, reply)?;
        self.dispatch_queued();
        granted.await.map_err(|_| Error::new(Kind::Internal, "the queue lost the request"))?
    }

    fn offer(&self, job: Job, reply: oneshot::Sender<error::Result<Grant>>) -> error::Result<()> {
        let now = self.now();
        let mut inner = self.inner.lock();
        if !inner.serves(&job.version, &job.tried) {
            let message = format!("no endpoint serves {}", job.version);
            return Err(Error::new(Kind::NoEndpoint, message));
        }
        let rank = job.rank;
        let pool = inner.pool(&job.version.model());
        let item = Item {
            rank,
            workspace: job.workspace.clone(),
            cost: base_cost(&job) * pool.factor,
            offered_at: now,
            payload: Waiter { job, reply },
        };
        let offer = pool.queue.offer(item, now);
        drop(inner);
        match offer {
            Offer::Queued { displaced } => {
                self.metrics.queued.get_or_create(&ranked(rank)).inc();
                if let Some(item) = displaced {
                    self.metrics.queued.get_or_create(&ranked(rank)).dec();
                    let message = "a request of a smaller workspace took the place in the queue";
                    refuse([(item, Error::new(Kind::QueueFull, message))]);
                }
                Ok(())
            }
            Offer::Refused { reason, .. } => Err(refusal(rank, reason)),
        }
    }

    /// Dispatches what fits now.
    fn dispatch_queued(self: &Arc<Self>) {
        let now = self.now();
        let mut given_up = Vec::new();
        let mut inner = self.inner.lock();
        let Inner { view, pools, pick, random, announced, .. } = &mut *inner;
        for (name, pool) in pools {
            loop {
                let mut chosen = None;
                let next = pool.queue.next(&mut |item, floor| {
                    let job = &item.payload.job;
                    chosen = pick::pick(view, pick, &ask(job, floor), now, random);
                    chosen.is_some() || item.payload.reply.is_closed()
                });
                let Some(Waiter { job, reply }) = next.map(|next| next.item.payload) else {
                    break;
                };
                self.metrics.queued.get_or_create(&ranked(job.rank)).dec();
                let picked = chosen.filter(|_| !reply.is_closed());
                let Some(picked) = picked else { continue };
                let Some(endpoint) = announced.get(&picked.endpoint).cloned() else { continue };
                view.on_sent(&picked.endpoint, now);
                let grant = Grant {
                    schedule: Arc::clone(self),
                    endpoint,
                    first_token: picked.first_token,
                    pool: name.clone(),
                    base: base_cost(&job),
                    granted: Instant::now(),
                    outcome: Outcome::Neutral,
                };
                given_up.extend(reply.send(Ok(grant)).err());
            }
        }
        drop(inner);
        // Dropping a grant takes the lock again.
        drop(given_up);
    }

    /// Refuses what waited too long and dispatches what fits; called several times a second.
    pub fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut inner = self.inner.lock();
        let mut expired = Vec::new();
        let Inner { view, pools, .. } = &mut *inner;
        for (name, pool) in pools {
            pool.queue.set_slots(slots(view, name));
            expired.extend(pool.queue.expire(now));
        }
        let ejected = view.endpoints().iter().filter(|known| !known.ejection.is_serving()).count();
        drop(inner);
        self.metrics.ejected.set(i64::try_from(ejected).unwrap_or(i64::MAX));
        for item in &expired {
            self.metrics.queued.get_or_create(&ranked(item.rank)).dec();
        }
        refuse(expired.into_iter().map(|item| {
            let message = format!("no slot became free within the target of rank {}", item.rank);
            (item, Error::new(Kind::DeadlineUnmet, message))
        }));
        self.dispatch_queued();
    }

    /// Takes one retry from the budget of `workspace`.
    pub fn take_retry(&self, workspace: &Workspace, attempts: u32) -> bool {
        let allowed = self.inner.lock().budget.take(workspace, attempts, true);
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Records a success of `workspace`, which earns it retries.
    pub fn on_success(&self, workspace: &Workspace) {
        self.inner.lock().budget.on_success(workspace);
    }

    /// This entry's demand, to be published for the next digest.
    pub fn usage(&self) -> Usage {
        let now = self.now();
        let mut usage = Usage::new();
        for (name, pool) in &self.inner.lock().pools {
            for ((rank, workspace), slots) in pool.queue.demand(now) {
                let amount = (slots * USAGE_UNITS) as u64;
                if amount > 0 {
                    let ranks = usage.entry(name.clone()).or_default();
                    ranks.entry(rank).or_default().insert(workspace, amount);
                }
            }
        }
        usage
    }

    /// Takes in the newest digest. Without one, every workspace has its whole weight here.
    pub fn on_digest(&self, digest: Option<&Digest>) {
        let mut inner = self.inner.lock();
        for (name, pool) in &mut inner.pools {
            let Some(digest) = digest else {
                pool.queue.clear_digest();
                continue;
            };
            let (mut own, mut total) = (Demand::new(), Demand::new());
            for (rank, workspaces) in digest.get(name).into_iter().flatten() {
                for (workspace, (part, sum)) in workspaces {
                    let key = (*rank, workspace.clone());
                    own.insert(key.clone(), *part as f64 / USAGE_UNITS);
                    total.insert(key, *sum as f64 / USAGE_UNITS);
                }
            }
            pool.queue.on_digest(&own, &total);
        }
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }
}

impl Inner {
    fn serves(&self, version: &Version, tried: &[Endpoint]) -> bool {
        let slots = self.view.serving(version).iter();
        slots
            .map(|slot| self.view.endpoint_at(*slot))
            .any(|known| !known.leaving && !tried.contains(&known.id))
    }

    fn pool(&mut self, name: &Model) -> &mut Pool {
        let Self { pools, queue, weights, view, .. } = self;
        pools.entry(name.clone()).or_insert_with(|| {
            let mut queue = Queue::new(queue.clone(), weights.clone());
            queue.set_slots(slots(view, name));
            Pool { queue, factor: 1.0 }
        })
    }

    /// Moves what is queued to new queues with the present settings; returns what no longer fits.
    fn rebuild(&mut self, now: Duration) -> Vec<(Item<Waiter>, Error)> {
        let mut refused = Vec::new();
        for (name, pool) in &mut self.pools {
            let waiting = pool.queue.expire(Duration::MAX);
            pool.queue = Queue::new(self.queue.clone(), self.weights.clone());
            pool.queue.set_slots(slots(&self.view, name));
            for item in waiting {
                let rank = item.rank;
                match pool.queue.offer(item, now) {
                    Offer::Queued { displaced: None } => {}
                    Offer::Queued { displaced: Some(item) } => {
                        refused.push((item, Error::new(Kind::QueueFull, "the queue is full")));
                    }
                    Offer::Refused { reason, item } => refused.push((item, refusal(rank, reason))),
                }
            }
        }
        refused
    }
}

/// Slots that this entry can expect at the endpoints of a pool.
fn slots(view: &View, pool: &Model) -> f64 {
    let unknown = view.settings.limit.slots_without_report;
    let known = view.endpoints().iter().filter(|known| !known.leaving);
    let slots = known.filter_map(|known| {
        let version = known.versions.iter().find(|version| version.model() == *pool)?;
        Some(match known.report {
            Some(_) => known.limit.slots() * view.share(version),
            None => unknown,
        })
    });
    slots.sum()
}

fn ask(job: &Job, floor: bool) -> pick::Query<'_> {
    pick::Query {
        version: &job.version,
        rank: job.rank,
        floor,
        prompt_tokens: job.prompt_tokens,
        prefixes: &job.prefixes,
        bytes: job.bytes,
        tried: &job.tried,
    }
}

/// Predicted slot-seconds of a request at an endpoint of standard speed.
fn base_cost(job: &Job) -> f64 {
    let rates = view::Rates::default();
    f64::from(job.prompt_tokens) / rates.prefill_per_s
        + f64::from(job.max_tokens) / rates.tokens_per_s
}

fn refusal(rank: Rank, reason: Refusal) -> Error {
    match reason {
        Refusal::Full => Error::new(Kind::QueueFull, format!("the queue of rank {rank} is full")),
        Refusal::Wait { predicted, target } => {
            let (predicted, target) = (predicted.as_millis(), target.as_millis());
            let message = format!("the predicted wait is {predicted} ms, the target {target} ms");
            Error::new(Kind::DeadlineUnmet, message)
        }
    }
}

fn refuse(items: impl IntoIterator<Item = (Item<Waiter>, Error)>) {
    for (item, error) in items {
        // The caller may be gone.
        let _ = item.payload.reply.send(Err(error));
    }
}

impl Grant {
    /// Records the first token, or the whole answer of a service, `elapsed` after the dispatch.
    pub fn on_first(&mut self, elapsed: Duration) {
        let expected = self.first_token.max(LEAST_EXPECTED);
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64();
        self.progress(Outcome::Answered { ratio });
    }

    /// Records the whole answer of a plain service, `elapsed` after the dispatch. The time is
    /// compared with what is usual for the service.
    pub fn on_service(&mut self, elapsed: Duration) {
        let observed = elapsed.as_secs_f64() / self.base.max(f64::EPSILON);
        let mut inner = self.schedule.inner.lock();
        let Some(pool) = inner.pools.get_mut(&self.pool) else { return };
        let usual = (pool.factor * self.base).max(LEAST_EXPECTED.as_secs_f64());
        self.outcome = Outcome::Answered { ratio: elapsed.as_secs_f64() / usual };
        pool.factor += SMOOTHING * (observed - pool.factor);
    }

    /// Records a failure of the endpoint.
    pub fn on_failure(&mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Records the end of a whole answer of `pieces` events, the first one after `first`.
    pub fn on_end(&mut self, first: Duration, pieces: u64) {
        let total = self.granted.elapsed();
        if pieces > 1 {
            let expected = 1.0 / view::Rates::default().tokens_per_s;
            let gap = total.saturating_sub(first).as_secs_f64() / (pieces - 1) as f64;
            self.outcome = Outcome::Answered { ratio: gap / expected };
        }
        let mut inner = self.schedule.inner.lock();
        if let Some(pool) = inner.pools.get_mut(&self.pool) {
            let observed = total.as_secs_f64() / self.base.max(f64::EPSILON);
            pool.factor += SMOOTHING * (observed - pool.factor);
        }
    }

    fn progress(&self, outcome: Outcome) {
        let now = self.schedule.now();
        self.schedule.inner.lock().view.on_progress(&self.endpoint.endpoint, outcome, now);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let now = self.schedule.now();
        let id = &self.endpoint.endpoint;
        self.schedule.inner.lock().view.on_done(id, self.outcome, now);
        self.schedule.dispatch_queued();
    }
}
