//! Simulated entry: holds the state of the routing policy. Requests pass through model choice,
//! admission queue and endpoint choice, and leave as dispatches to endpoints.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::Share;
use hickoryreel_base::bundle::WorkspaceConfig;
use hickoryreel_base::name;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Version;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::choice;
use hickoryreel_policy::choice::Plan;
use hickoryreel_policy::choice::Planner;
use hickoryreel_policy::pick;
use hickoryreel_policy::queue::Item;
use hickoryreel_policy::queue::Offer;
use hickoryreel_policy::queue::Queue;
use hickoryreel_policy::retry::Budget;
use hickoryreel_policy::share;
use hickoryreel_policy::share::Demand;
use hickoryreel_policy::view::View;
use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

use crate::setup::BaselinePolicy;
use crate::setup::ENTRIES;
use crate::setup::FIRST_TOKEN_TARGETS;
use crate::setup::Policy;
use crate::setup::Pool;
use crate::setup::Setup;
use crate::setup::workspace;
use crate::workload;
use crate::workload::Request;

/// Rank under which the baseline policy "arrival order" queues all requests.
const SHARED_RANK: Rank = Rank::Bulk;

/// Time to first token that is reserved for the second run of a cascade.
const SECOND_RUN_FIRST_TOKEN: Duration = Duration::from_millis(200);

/// The next run of a request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request in the simulation.
    pub request: usize,
    pub rank: Rank,
    pub model: Model,
    pub version: Version,
    /// Model of a second run, which starts if the check rejects the answer of this one.
    pub fallback: Option<Model>,
    /// Endpoints on which runs of the request failed.
    pub tried: Vec<name::Endpoint>,
    /// Number of failed dispatches so far.
    pub attempts: u32,
}

/// A job with the endpoint chosen for it.
#[derive(Debug)]
pub struct Dispatch {
    pub job: Job,
    pub endpoint: name::Endpoint,
    /// Predicted time to first token.
    pub predicted: Duration,
}

/// A simulated entry.
#[derive(Debug)]
pub struct Entry {
    /// The entry's view of the endpoints.
    pub view: View,
    /// Admission queues by model.
    pub queues: BTreeMap<Model, Queue<Job>>,
    /// Retry budgets of the workspaces.
    pub budget: Budget,
    pub planner: Planner,
    policy: Policy,
    baseline: Option<BaselinePolicy>,
    pools: Vec<Pool>,
    bundle: Bundle,
    /// Position of the last dispatch of the baseline policy "round robin".
    round_robin_index: usize,
}

impl Entry {
    /// Creates the entry with index `index`, whose view has no endpoints.
    pub fn new(setup: &Setup, index: usize) -> Self {
        let region = name::Region::from(setup.regions[index % setup.regions.len()]);
        let id = name::Entry::from(format!("e{index}"));
        let mut view = View::new(&id, region, setup.policy.view.clone());
        view.default_share = 1.0 / ENTRIES as f64;
        let mut settings = setup.policy.queue.clone();
        if setup.baseline == Some(BaselinePolicy::ArrivalOrder) {
            settings.targets[SHARED_RANK.index()] = FIRST_TOKEN_TARGETS[SHARED_RANK.index()];
        }
        let queues = setup
            .pools
            .iter()
            .map(|pool| (pool.model.clone(), Queue::new(settings.clone(), BTreeMap::new())));
        Self {
            view,
            queues: queues.collect(),
            budget: Budget::new(setup.policy.retry.clone()),
            planner: Planner::new(setup.policy.choice.clone()),
            policy: setup.policy.clone(),
            baseline: setup.baseline,
            pools: setup.pools.clone(),
            bundle: bundle(setup),
            round_robin_index: index,
        }
    }

    /// Chooses model and version, and queues the request. Returns the jobs that the queue refuses
    /// or displaces.
    pub fn admit(
        &mut self,
        index: usize,
        request: &Request,
        now: Duration,
        rng: &mut dyn Rng,
    ) -> Vec<Job> {
        let (model, fallback) = self.plan(request, rng);
        let version = self.version(request, &model);
        let (rank, tried) = (request.rank, Vec::new());
        let job = Job { request: index, rank, model, version, fallback, tried, attempts: 0 };
        self.enqueue(job, request, now)
    }

    /// Queues the second run of a cascade. Returns the jobs that the queue refuses or displaces.
    pub fn second_run(&mut self, mut job: Job, request: &Request, now: Duration) -> Vec<Job> {
        if let Some(model) = job.fallback.take() {
            job.version = self.version(request, &model);
            job.model = model;
        }
        self.enqueue(job, request, now)
    }

    /// Returns a failed request to the head of its workspace's queue.
    pub fn retry(&mut self, job: Job, request: &Request, now: Duration) {
        let item = self.item(job, request, now);
        if let Some(queue) = self.queues.get_mut(&item.payload.model.clone()) {
            queue.requeue(item);
        }
    }

    fn enqueue(&mut self, job: Job, request: &Request, now: Duration) -> Vec<Job> {
        let item = self.item(job, request, now);
        let version = item.payload.version.clone();
        let slots = self.view.total_slots(&version) * self.view.share(&version);
        let Some(queue) = self.queues.get_mut(&item.payload.model) else {
            return vec![item.payload];
        };
        queue.set_slots(slots);
        match queue.offer(item, now) {
            Offer::Queued { displaced } => displaced.into_iter().map(|item| item.payload).collect(),
            Offer::Refused { item, .. } => vec![item.payload],
        }
    }

    fn item(&self, job: Job, request: &Request, now: Duration) -> Item<Job> {
        let arrival_order = self.baseline == Some(BaselinePolicy::ArrivalOrder);
        Item {
            rank: if arrival_order { SHARED_RANK } else { job.rank },
            workspace: if arrival_order { workspace(0) } else { request.workspace.clone() },
            cost: self.slot_seconds(&job.model),
            offered_at: now,
            payload: job,
        }
    }

    /// Predicted slot-seconds of a run: the mean output length at the assumed token rate.
    fn slot_seconds(&self, model: &Model) -> f64 {
        let pool = self.pools.iter().find(|pool| pool.model == *model);
        if model.as_bytes() == workload::SERVICE_MODEL.as_bytes() {
            return 0.02;
        }
        pool.map_or(1.0, |pool| workload::mean_output_tokens() / rates(pool).tokens_per_s)
    }

    /// Removes and returns the jobs that exceeded their time in the queue.
    pub fn expire(&mut self, now: Duration) -> Vec<Job> {
        let expired = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        expired.map(|item| item.payload).collect()
    }

    /// Dispatches queued requests until no further one finds a free slot.
    pub fn dispatch(
        &mut self,
        requests: &[Request],
        now: Duration,
        rng: &mut dyn Rng,
    ) -> Vec<Dispatch> {
        let mut dispatches = Vec::new();
        for pool in 0..self.pools.len() {
            let model = self.pools[pool].model.clone();
            while let Some(dispatch) = self.dispatch_one(&model, requests, now, rng) {
                self.view.on_sent(&dispatch.endpoint, now);
                dispatches.push(dispatch);
            }
        }
        dispatches
    }

    fn dispatch_one(
        &mut self,
        model: &Model,
        requests: &[Request],
        now: Duration,
        rng: &mut dyn Rng,
    ) -> Option<Dispatch> {
        let round_robin = self.baseline == Some(BaselinePolicy::RoundRobin);
        let view = &self.view;
        let queue = self.queues.get_mut(model)?;
        let next = queue.next(&mut |item, floor| {
            round_robin || pick::any_free(view, &item.payload.version, item.rank, floor, now)
        })?;
        let job = &next.item.payload;
        if round_robin {
            return self.dispatch_round_robin(next.item.payload);
        }
        let request = &requests[job.request];
        let query = pick::Query {
            version: &job.version,
            rank: next.item.rank,
            floor: next.floor,
            prompt_tokens: request.prompt_tokens,
            prefixes: &request.prefixes,
            bytes: u64::from(request.prompt_tokens + request.max_output_tokens) * 4,
            tried: &job.tried,
        };
        let Some(picked) = pick::pick(view, &self.policy.pick, &query, now, rng) else {
            queue.requeue(next.item);
            return None;
        };
        let job = next.item.payload;
        Some(Dispatch { job, endpoint: picked.endpoint, predicted: picked.first_token })
    }

    fn dispatch_round_robin(&mut self, job: Job) -> Option<Dispatch> {
        let serving = self.view.serving(&job.version);
        if serving.is_empty() {
            return None;
        }
        self.round_robin_index += 1;
        let endpoint =
            self.view.endpoint_at(serving[self.round_robin_index % serving.len()]).id.clone();
        Some(Dispatch { job, endpoint, predicted: Duration::from_millis(200) })
    }

    /// Returns the demand of this entry by model, for the digest.
    pub fn demand(&self, now: Duration) -> BTreeMap<Model, Demand> {
        self.queues.iter().map(|(model, queue)| (model.clone(), queue.demand(now))).collect()
    }

    /// Applies a digest: `total` is the demand of all entries, `own` the part of this entry.
    pub fn on_digest(&mut self, own: &BTreeMap<Model, Demand>, total: &BTreeMap<Model, Demand>) {
        for (model, queue) in &mut self.queues {
            let Some((own, total)) = own.get(model).zip(total.get(model)) else { continue };
            queue.on_digest(own, total);
            let version = version_of(model);
            let slots = self.view.total_slots(&version);
            let grants = share::allocate(slots, &self.policy.queue.floors, &|_| 1.0, total);
            let share = share::entry_share(own, total, &grants);
            self.view.set_share(&version, share);
        }
    }

    fn plan(&mut self, request: &Request, rng: &mut dyn Rng) -> (Model, Option<Model>) {
        let models: Vec<&Pool> = self
            .pools
            .iter()
            .filter(|pool| pool.model.as_bytes() != workload::SERVICE_MODEL.as_bytes())
            .collect();
        if let Some(model) = &request.model {
            return (model.clone(), None);
        }
        if self.baseline == Some(BaselinePolicy::AlwaysLarge) || models.len() == 1 {
            return (models[models.len() - 1].model.clone(), None);
        }
        let tokens = f64::from(request.prompt_tokens + request.max_output_tokens) / 1_000.0;
        let options: SmallVec<[choice::Candidate; 4]> = models
            .iter()
            .map(|pool| choice::Candidate { model: pool.model.clone(), cost: pool.price * tokens })
            .collect();
        let expected_gap = Duration::from_secs_f64(1.0 / rates(models[0]).tokens_per_s);
        let gap = self.view.token_gap(&version_of(&models[0].model)).unwrap_or(expected_gap);
        let target = FIRST_TOKEN_TARGETS[request.rank.index()];
        let settings = &self.policy.choice;
        let may_cascade = request.rank != Rank::Urgent || self.policy.urgent_cascade;
        let two_runs = may_cascade
            && settings.allows_two_runs(
                target,
                request.max_output_tokens,
                gap,
                SECOND_RUN_FIRST_TOKEN,
            );
        match self.planner.plan(&request.task, &options, two_runs, rng.random()) {
            Some(Plan::Direct(model)) => (model, None),
            Some(Plan::Cascade { first, then }) => (first, Some(then)),
            None => (models[0].model.clone(), None),
        }
    }

    fn version(&self, request: &Request, model: &Model) -> Version {
        let withdrawn = BTreeSet::new();
        let config =
            choice::Config { active: &self.bundle, candidate: None, withdrawn: &withdrawn };
        let query = choice::Query {
            workspace: &request.workspace,
            request: &request.id,
            session: None,
            pin: None,
        };
        choice::version(&config, &query, model).map_or(version_of(model), |chosen| chosen.version)
    }
}

/// Returns the only version of a model.
pub fn version_of(model: &Model) -> Version {
    Version::from(format!("{model}/1"))
}

/// Returns the rates that entries assume for an engine: a batch of 40 requests, and half of the
/// largest prefill chunk in each step.
pub fn rates(pool: &Pool) -> hickoryreel_policy::view::Rates {
    let spec = &pool.spec;
    let step_s = spec.base_s
        + 40.0 * spec.request_s
        + 0.5 * f64::from(spec.prefill_chunk) / spec.prefill_per_s;
    hickoryreel_policy::view::Rates {
        prefill_per_s: spec.prefill_per_s,
        tokens_per_s: 1.0 / step_s,
    }
}

fn bundle(setup: &Setup) -> Bundle {
    let versions: SmallVec<[Share; 8]> = setup
        .pools
        .iter()
        .map(|pool| Share { version: version_of(&pool.model), weight: 100 })
        .collect();
    let config = WorkspaceConfig { versions, weight: 1.0, ..WorkspaceConfig::default() };
    let workspaces = setup.streams.iter().map(|stream| (stream.workspace.clone(), config.clone()));
    Bundle { workspaces: workspaces.collect(), ..Bundle::default() }
}
