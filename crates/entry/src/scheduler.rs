//! Admission, queueing and endpoint selection: connects requests to the algorithms of `policy`.
//!
//! A [`SlotRequest`] waits in the queue of its pool (one per model or plain service) until
//! [`policy::pick`](hickoryreel_policy::pick) finds an endpoint with a free slot. The returned
//! [`Slot`] counts as an outstanding request at the endpoint until it is dropped, and reports the
//! observed latency and outcome back to the view.

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
use crate::metrics::rank_labels;

/// Share of a rank's target for time to first token that a request may spend in the queue, by rank;
/// the rest is reserved for the engine. The shares are the longest waits of `policy::queue` (130
/// ms, 1.5 s, 25 s) divided by the default targets (350 ms, 2 s, 30 s). With longer waits, urgent
/// requests miss their target after they leave the queue.
const QUEUE_TARGET_SHARES: [f64; 3] = [130.0 / 350.0, 1.5 / 2.0, 25.0 / 30.0];

/// Lower bound of an expected time that an observed one is compared with. Below it, network and
/// scheduling jitter dominates.
const MIN_EXPECTED_TIME: Duration = Duration::from_millis(50);

/// Maximum prefixes that are tracked as cached. Engines keep them for a limited time only.
const MAX_CACHED_PREFIXES: usize = 16_384;

/// Smoothing factor of the learned cost factor.
const SMOOTHING_FACTOR: f64 = 0.05;

/// Units of [`Usage`] per slot.
const USAGE_UNITS_PER_SLOT: f64 = 1e6;

/// What a request requires of an endpoint.
#[derive(Clone, Debug)]
pub struct SlotRequest {
    pub rank: Rank,
    pub workspace: Workspace,
    /// Version to run, or the name of a plain service.
    pub version: Version,
    /// Prompt length in tokens; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Hash and length in tokens of the prompt's prefixes, longest first.
    pub prefixes: Vec<(u64, u32)>,
    /// Expected bytes between entry and endpoint, used to price traffic between regions.
    pub bytes: u64,
    /// Endpoints that failed this request in an earlier attempt.
    pub tried: Vec<Endpoint>,
}

struct Waiter {
    request: SlotRequest,
    reply: oneshot::Sender<error::Result<Slot>>,
}

/// Queues, endpoint view and retry budgets of one entry.
pub struct Scheduler {
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
    cached_prefixes: VecDeque<(Endpoint, u64)>,
}

struct Pool {
    queue: Queue<Waiter>,
    /// Ratio of the observed slot time to the one predicted from the token counts.
    cost_factor: f64,
}

/// A slot at an endpoint. It is released on drop.
pub struct Slot {
    scheduler: Arc<Scheduler>,
    pub endpoint: Arc<Announcement>,
    /// Predicted time to first token.
    pub first_token: Duration,
    pool: Model,
    /// Predicted slot-seconds, without the learned cost factor.
    base_cost: f64,
    granted_at: Instant,
    outcome: Outcome,
}

impl Scheduler {
    /// Creates a scheduler without endpoints. `share` is this entry's share of the slots of each
    /// endpoint.
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
            cached_prefixes: VecDeque::new(),
        };
        Self { origin: Instant::now(), metrics, inner: Mutex::new(inner) }
    }

    /// Applies the ranks, workspace weights, region prices and limit headroom of `bundle`.
    pub fn configure(self: &Arc<Self>, bundle: &Bundle, capacity: [usize; 3]) {
        let now = self.now();
        let mut inner = self.inner.lock();
        inner.queue = queue::Settings {
            capacity,
            floors: Rank::ALL.map(|rank| bundle.rank(rank).floor),
            targets: Rank::ALL.map(|rank| {
                let target = Duration::from_millis(bundle.rank(rank).first_token_ms.into());
                target.mul_f64(QUEUE_TARGET_SHARES[rank.index()])
            }),
            ..queue::Settings::default()
        };
        inner.weights =
            bundle.workspaces.iter().map(|(name, config)| (name.clone(), config.weight)).collect();
        inner.pick.region_prices = bundle.region_prices.clone();
        let limit = inner.view.settings.limit.clone();
        inner.view.settings.limit = Tuning::new(&bundle.weights).limit(limit);
        let refused = inner.rebuild(now);
        drop(inner);
        refuse(refused);
        self.dispatch_queued();
    }

    /// Adds or updates an announced endpoint.
    pub fn announce(&self, announcement: Announcement) {
        let now = self.now();
        let mut inner = self.inner.lock();
        let versions = match &announcement.role {
            Role::Engine { versions, .. } => versions.iter().cloned().collect(),
            Role::Service { service } => [Version::from(&**service)].into_iter().collect(),
        };
        let id = announcement.endpoint.clone();
        let restarted = inner.announced.get(&id).is_some_and(|known| {
            known.incarnation != announcement.incarnation || known.address != announcement.address
        });
        if restarted {
            // State measured for the previous process does not apply to the new one.
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

    pub fn known_endpoints(&self) -> Vec<Endpoint> {
        self.inner.lock().announced.keys().cloned().collect()
    }

    /// Records that `endpoint` served a prompt with these prefixes and thus caches them.
    pub fn on_prefixes(&self, endpoint: &Endpoint, prefixes: &[(u64, u32)]) {
        let mut inner = self.inner.lock();
        let Inner { view, cached_prefixes, .. } = &mut *inner;
        for (prefix, _) in prefixes {
            view.on_cache_event(endpoint, *prefix, true);
            cached_prefixes.push_back((endpoint.clone(), *prefix));
        }
        while cached_prefixes.len() > MAX_CACHED_PREFIXES
            && let Some((endpoint, prefix)) = cached_prefixes.pop_front()
        {
            view.on_cache_event(&endpoint, prefix, false);
        }
    }

    /// Whether some endpoint serves `version` that is not leaving and not in `tried`.
    pub fn serves(&self, version: &Version, tried: &[Endpoint]) -> bool {
        self.inner.lock().serves(version, tried)
    }

    /// Waits for a slot. A refused request has not run.
    pub async fn acquire(self: &Arc<Self>, request: SlotRequest) -> error::Result<Slot> {
        let (reply, granted) = oneshot::channel();
        self.enqueue(request, reply)?;
        self.dispatch_queued();
        granted.await.map_err(|_| Error::new(Kind::Internal, "the queue dropped the request"))?
    }

    fn enqueue(
        &self,
        request: SlotRequest,
        reply: oneshot::Sender<error::Result<Slot>>,
    ) -> error::Result<()> {
        let now = self.now();
        let mut inner = self.inner.lock();
        if !inner.serves(&request.version, &request.tried) {
            let message = format!("no endpoint serves {}", request.version);
            return Err(Error::new(Kind::NoEndpoint, message));
        }
        let rank = request.rank;
        let pool = inner.pool(&request.version.model());
        let item = Item {
            rank,
            workspace: request.workspace.clone(),
            cost: base_cost(&request) * pool.cost_factor,
            offered_at: now,
            payload: Waiter { request, reply },
        };
        let offer = pool.queue.offer(item, now);
        drop(inner);
        match offer {
            Offer::Queued { displaced } => {
                self.metrics.queued.get_or_create(&rank_labels(rank)).inc();
                if let Some(item) = displaced {
                    self.metrics.queued.get_or_create(&rank_labels(rank)).dec();
                    let message =
                        "displaced from the full queue by a workspace with a smaller backlog";
                    refuse([(item, Error::new(Kind::QueueFull, message))]);
                }
                Ok(())
            }
            Offer::Refused { reason, .. } => Err(refusal(rank, reason)),
        }
    }

    /// Grants slots to the queued requests for which an endpoint has a free one.
    fn dispatch_queued(self: &Arc<Self>) {
        let now = self.now();
        let mut undelivered = Vec::new();
        let mut inner = self.inner.lock();
        let Inner { view, pools, pick, random, announced, .. } = &mut *inner;
        for (name, pool) in pools {
            loop {
                let mut picked = None;
                let next = pool.queue.next(&mut |item, floor| {
                    let request = &item.payload.request;
                    picked = pick::pick(view, pick, &query(request, floor), now, random);
                    picked.is_some() || item.payload.reply.is_closed()
                });
                let Some(Waiter { request, reply }) = next.map(|next| next.item.payload) else {
                    break;
                };
                self.metrics.queued.get_or_create(&rank_labels(request.rank)).dec();
                let picked = picked.filter(|_| !reply.is_closed());
                let Some(picked) = picked else { continue };
                let Some(endpoint) = announced.get(&picked.endpoint).cloned() else { continue };
                view.on_sent(&picked.endpoint, now);
                let slot = Slot {
                    scheduler: Arc::clone(self),
                    endpoint,
                    first_token: picked.first_token,
                    pool: name.clone(),
                    base_cost: base_cost(&request),
                    granted_at: Instant::now(),
                    outcome: Outcome::Neutral,
                };
                undelivered.extend(reply.send(Ok(slot)).err());
            }
        }
        drop(inner);
        // Dropping a slot acquires the lock again.
        drop(undelivered);
    }

    /// Refuses requests that waited too long and grants free slots. Must be called several times
    /// per second.
    pub fn tick(self: &Arc<Self>) {
        let now = self.now();
        let mut inner = self.inner.lock();
        let mut expired = Vec::new();
        let Inner { view, pools, .. } = &mut *inner;
        for (name, pool) in pools {
            pool.queue.set_slots(expected_slots(view, name));
            expired.extend(pool.queue.expire(now));
        }
        let ejected =
            view.endpoints().iter().filter(|endpoint| !endpoint.ejection.is_serving()).count();
        drop(inner);
        self.metrics.ejected.set(i64::try_from(ejected).unwrap_or(i64::MAX));
        for item in &expired {
            self.metrics.queued.get_or_create(&rank_labels(item.rank)).dec();
        }
        refuse(expired.into_iter().map(|item| {
            let message = format!("no slot became free within the target of rank {}", item.rank);
            (item, Error::new(Kind::DeadlineUnmet, message))
        }));
        self.dispatch_queued();
    }

    /// Takes one retry from the budget of `workspace`. Returns false if the retry is not allowed.
    pub fn take_retry(&self, workspace: &Workspace, attempts: u32) -> bool {
        let allowed = self.inner.lock().budget.take(workspace, attempts, true);
        if allowed {
            self.metrics.retries.inc();
        }
        allowed
    }

    /// Records a success of `workspace`, which earns retry budget.
    pub fn on_success(&self, workspace: &Workspace) {
        self.inner.lock().budget.on_success(workspace);
    }

    /// This entry's demand, to be published for the next digest.
    pub fn usage(&self) -> Usage {
        let now = self.now();
        let mut usage = Usage::new();
        for (name, pool) in &self.inner.lock().pools {
            for ((rank, workspace), slots) in pool.queue.demand(now) {
                let amount = (slots * USAGE_UNITS_PER_SLOT) as u64;
                if amount > 0 {
                    let ranks = usage.entry(name.clone()).or_default();
                    ranks.entry(rank).or_default().insert(workspace, amount);
                }
            }
        }
        usage
    }

    /// Applies the latest digest. Without one, every workspace has its full weight at this entry.
    pub fn on_digest(&self, digest: Option<&Digest>) {
        let mut inner = self.inner.lock();
        for (name, pool) in &mut inner.pools {
            let Some(digest) = digest else {
                pool.queue.clear_digest();
                continue;
            };
            let (mut own, mut total) = (Demand::new(), Demand::new());
            for (rank, workspaces) in digest.get(name).into_iter().flatten() {
                for (workspace, (own_demand, total_demand)) in workspaces {
                    let key = (*rank, workspace.clone());
                    own.insert(key.clone(), *own_demand as f64 / USAGE_UNITS_PER_SLOT);
                    total.insert(key, *total_demand as f64 / USAGE_UNITS_PER_SLOT);
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
        let indices = self.view.serving(version).iter();
        indices
            .map(|index| self.view.endpoint_at(*index))
            .any(|endpoint| !endpoint.leaving && !tried.contains(&endpoint.id))
    }

    fn pool(&mut self, name: &Model) -> &mut Pool {
        let Self { pools, queue, weights, view, .. } = self;
        pools.entry(name.clone()).or_insert_with(|| {
            let mut queue = Queue::new(queue.clone(), weights.clone());
            queue.set_slots(expected_slots(view, name));
            Pool { queue, cost_factor: 1.0 }
        })
    }

    /// Moves the queued requests to new queues with the current settings, and returns those that do
    /// not fit.
    fn rebuild(&mut self, now: Duration) -> Vec<(Item<Waiter>, Error)> {
        let mut refused = Vec::new();
        for (name, pool) in &mut self.pools {
            let waiting = pool.queue.expire(Duration::MAX);
            pool.queue = Queue::new(self.queue.clone(), self.weights.clone());
            pool.queue.set_slots(expected_slots(&self.view, name));
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

/// Slots that this entry can expect to use at the endpoints of a pool.
fn expected_slots(view: &View, pool: &Model) -> f64 {
    let default_slots = view.settings.limit.slots_without_report;
    let endpoints = view.endpoints().iter().filter(|endpoint| !endpoint.leaving);
    let slots = endpoints.filter_map(|endpoint| {
        let version = endpoint.versions.iter().find(|version| version.model() == *pool)?;
        Some(match endpoint.report {
            Some(_) => endpoint.limit.slots() * view.share(version),
            None => default_slots,
        })
    });
    slots.sum()
}

fn query(request: &SlotRequest, floor: bool) -> pick::Query<'_> {
    pick::Query {
        version: &request.version,
        rank: request.rank,
        floor,
        prompt_tokens: request.prompt_tokens,
        prefixes: &request.prefixes,
        bytes: request.bytes,
        tried: &request.tried,
    }
}

/// Predicted slot-seconds of a request at an endpoint of default speed.
fn base_cost(request: &SlotRequest) -> f64 {
    let rates = view::Rates::default();
    f64::from(request.prompt_tokens) / rates.prefill_per_s
        + f64::from(request.max_tokens) / rates.tokens_per_s
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
        // The caller may have disconnected.
        let _ = item.payload.reply.send(Err(error));
    }
}

impl Slot {
    /// Records the time from the dispatch to the first token.
    pub fn on_first_token(&mut self, elapsed: Duration) {
        let expected = self.first_token.max(MIN_EXPECTED_TIME);
        let ratio = elapsed.as_secs_f64() / expected.as_secs_f64();
        self.report_progress(Outcome::Answered { ratio });
    }

    /// Records the time from the dispatch to the complete response of a plain service. It is
    /// compared with the usual time of the service.
    pub fn on_service_response(&mut self, elapsed: Duration) {
        let observed = elapsed.as_secs_f64() / self.base_cost.max(f64::EPSILON);
        let mut inner = self.scheduler.inner.lock();
        let Some(pool) = inner.pools.get_mut(&self.pool) else { return };
        let usual = (pool.cost_factor * self.base_cost).max(MIN_EXPECTED_TIME.as_secs_f64());
        self.outcome = Outcome::Answered { ratio: elapsed.as_secs_f64() / usual };
        pool.cost_factor += SMOOTHING_FACTOR * (observed - pool.cost_factor);
    }

    /// Records a failure of the endpoint.
    pub fn on_failure(&mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Records the end of a complete response of `events` events, the first of which arrived
    /// `first` after the dispatch.
    pub fn on_complete(&mut self, first: Duration, events: u64) {
        let total = self.granted_at.elapsed();
        if events > 1 {
            let expected = 1.0 / view::Rates::default().tokens_per_s;
            let gap = total.saturating_sub(first).as_secs_f64() / (events - 1) as f64;
            self.outcome = Outcome::Answered { ratio: gap / expected };
        }
        let mut inner = self.scheduler.inner.lock();
        if let Some(pool) = inner.pools.get_mut(&self.pool) {
            let observed = total.as_secs_f64() / self.base_cost.max(f64::EPSILON);
            pool.cost_factor += SMOOTHING_FACTOR * (observed - pool.cost_factor);
        }
    }

    fn report_progress(&self, outcome: Outcome) {
        let now = self.scheduler.now();
        self.scheduler.inner.lock().view.on_progress(&self.endpoint.endpoint, outcome, now);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.scheduler.now();
        let id = &self.endpoint.endpoint;
        self.scheduler.inner.lock().view.on_done(id, self.outcome, now);
        self.scheduler.dispatch_queued();
    }
}
