//! Fake entry: holds the policy's state and turns requests into sends.

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

use crate::setup::ENTRIES;
use crate::setup::Plain;
use crate::setup::Policy;
use crate::setup::Pool;
use crate::setup::Setup;
use crate::setup::TARGETS;
use crate::setup::workspace;
use crate::workload;
use crate::workload::Request;

/// Rank and workspace under which all requests are queued by the plain policy "arrival order".
const ONE_RANK: Rank = Rank::Bulk;

/// Time that a cascade keeps for the first token of its second run.
const SECOND_FIRST_TOKEN: Duration = Duration::from_millis(200);

/// What is left to do for a request.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Its rank.
    pub rank: Rank,
    /// Model of the next run.
    pub model: Model,
    /// Version of the next run.
    pub version: Version,
    /// Model that runs when the check rejects the answer.
    pub then: Option<Model>,
    /// Endpoints that failed it.
    pub tried: Vec<name::Endpoint>,
    /// Failed sends so far.
    pub attempts: u32,
}

/// A request to send to an endpoint.
#[derive(Debug)]
pub struct Send {
    /// The request.
    pub job: Job,
    /// The endpoint.
    pub endpoint: name::Endpoint,
    /// Predicted time to the first token.
    pub predicted: Duration,
}

/// A fake entry.
#[derive(Debug)]
pub struct Entry {
    /// View of the endpoints.
    pub view: View,
    /// One queue for each model.
    pub queues: BTreeMap<Model, Queue<Job>>,
    /// Retry budgets.
    pub budget: Budget,
    /// Model choice.
    pub planner: Planner,
    policy: Policy,
    plain: Option<Plain>,
    pools: Vec<Pool>,
    bundle: Bundle,
    turn: usize,
}

impl Entry {
    /// The entry with index `index`, without endpoints.
    pub fn new(setup: &Setup, index: usize) -> Self {
        let region = name::Region::from(setup.regions[index % setup.regions.len()]);
        let id = name::Entry::from(format!("e{index}"));
        let mut view = View::new(&id, region, setup.policy.view.clone());
        view.default_share = 1.0 / ENTRIES as f64;
        let mut settings = setup.policy.queue.clone();
        if setup.plain == Some(Plain::ArrivalOrder) {
            settings.targets[ONE_RANK.index()] = TARGETS[ONE_RANK.index()];
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
            plain: setup.plain,
            pools: setup.pools.clone(),
            bundle: bundle(setup),
            turn: index,
        }
    }

    /// Chooses model and version, and queues the request. Returns the jobs that are refused.
    pub fn admit(
        &mut self,
        index: usize,
        request: &Request,
        now: Duration,
        random: &mut dyn Rng,
    ) -> Vec<Job> {
        let (model, then) = self.plan(request, random);
        let version = self.version(request, &model);
        let (rank, tried) = (request.rank, Vec::new());
        let job = Job { request: index, rank, model, version, then, tried, attempts: 0 };
        self.enqueue(job, request, now)
    }

    /// Queues the second run of a cascade. Returns the jobs that are refused.
    pub fn second_run(&mut self, mut job: Job, request: &Request, now: Duration) -> Vec<Job> {
        if let Some(model) = job.then.take() {
            job.version = self.version(request, &model);
            job.model = model;
        }
        self.enqueue(job, request, now)
    }

    /// Puts a failed request back at the head of its workspace's queue.
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
            Offer::Queued { displaced } => displaced.into_iter().map(|i| i.payload).collect(),
            Offer::Refused { item, .. } => vec![item.payload],
        }
    }

    fn item(&self, job: Job, request: &Request, now: Duration) -> Item<Job> {
        let one_queue = self.plain == Some(Plain::ArrivalOrder);
        Item {
            rank: if one_queue { ONE_RANK } else { job.rank },
            workspace: if one_queue { workspace(0) } else { request.workspace.clone() },
            cost: self.slot_seconds(&job.model),
            offered_at: now,
            payload: job,
        }
    }

    /// Predicted slot-seconds of a run: the mean output at the target speed.
    fn slot_seconds(&self, model: &Model) -> f64 {
        let pool = self.pools.iter().find(|pool| pool.model == *model);
        if model.as_bytes() == workload::SERVICE_MODEL.as_bytes() {
            return 0.02;
        }
        pool.map_or(1.0, |pool| workload::mean_output() / rates(pool).tokens_per_s)
    }

    /// Refuses the requests that waited too long.
    pub fn expire(&mut self, now: Duration) -> Vec<Job> {
        let expired = self.queues.values_mut().flat_map(|queue| queue.expire(now));
        expired.map(|item| item.payload).collect()
    }

    /// Takes as many requests from the queues as find a slot.
    pub fn dispatch(
        &mut self,
        requests: &[Request],
        now: Duration,
        random: &mut dyn Rng,
    ) -> Vec<Send> {
        let mut sends = Vec::new();
        for pool in 0..self.pools.len() {
            let model = self.pools[pool].model.clone();
            while let Some(send) = self.dispatch_one(&model, requests, now, random) {
                self.view.on_sent(&send.endpoint, now);
                sends.push(send);
            }
        }
        sends
    }

    fn dispatch_one(
        &mut self,
        model: &Model,
        requests: &[Request],
        now: Duration,
        random: &mut dyn Rng,
    ) -> Option<Send> {
        let in_turn = self.plain == Some(Plain::RoundRobin);
        let view = &self.view;
        let queue = self.queues.get_mut(model)?;
        let next = queue.next(&mut |item, floor| {
            in_turn || pick::any_free(view, &item.payload.version, item.rank, floor, now)
        })?;
        let job = &next.item.payload;
        if in_turn {
            return self.send_in_turn(next.item.payload);
        }
        let request = &requests[job.request];
        let ask = pick::Query {
            version: &job.version,
            rank: next.item.rank,
            floor: next.floor,
            prompt_tokens: request.prompt,
            prefixes: &request.prefixes,
            bytes: u64::from(request.prompt + request.output_limit) * 4,
            tried: &job.tried,
        };
        let Some(picked) = pick::pick(view, &self.policy.pick, &ask, now, random) else {
            queue.requeue(next.item);
            return None;
        };
        let job = next.item.payload;
        Some(Send { job, endpoint: picked.endpoint, predicted: picked.first_token })
    }

    fn send_in_turn(&mut self, job: Job) -> Option<Send> {
        let slots = self.view.serving(&job.version);
        if slots.is_empty() {
            return None;
        }
        self.turn += 1;
        let endpoint = self.view.endpoint_at(slots[self.turn % slots.len()]).id.clone();
        Some(Send { job, endpoint, predicted: Duration::from_millis(200) })
    }

    /// Demand for the digest, by model.
    pub fn demand(&self, now: Duration) -> BTreeMap<Model, Demand> {
        self.queues.iter().map(|(model, queue)| (model.clone(), queue.demand(now))).collect()
    }

    /// Takes in the demand of all entries, of which `own` is this entry's part.
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

    fn plan(&mut self, request: &Request, random: &mut dyn Rng) -> (Model, Option<Model>) {
        let models: Vec<&Pool> = self
            .pools
            .iter()
            .filter(|p| p.model.as_bytes() != workload::SERVICE_MODEL.as_bytes())
            .collect();
        if let Some(model) = &request.model {
            return (model.clone(), None);
        }
        if self.plain == Some(Plain::AlwaysLarge) || models.len() == 1 {
            return (models[models.len() - 1].model.clone(), None);
        }
        let tokens = f64::from(request.prompt + request.output_limit) / 1_000.0;
        let options: SmallVec<[choice::Candidate; 4]> = models
            .iter()
            .map(|p| choice::Candidate { model: p.model.clone(), cost: p.price * tokens })
            .collect();
        let usual = Duration::from_secs_f64(1.0 / rates(models[0]).tokens_per_s);
        let gap = self.view.token_gap(&version_of(&models[0].model)).unwrap_or(usual);
        let target = TARGETS[request.rank.index()];
        let settings = &self.policy.choice;
        let patient = request.rank != Rank::Urgent || self.policy.urgent_cascade;
        let two_runs = patient
            && settings.allows_two_runs(target, request.output_limit, gap, SECOND_FIRST_TOKEN);
        match self.planner.plan(&request.task, &options, two_runs, random.random()) {
            Some(Plan::Direct(model)) => (model, None),
            Some(Plan::Cascade { first, then }) => (first, Some(then)),
            None => (models[0].model.clone(), None),
        }
    }

    fn version(&self, request: &Request, model: &Model) -> Version {
        let withdrawn = BTreeSet::new();
        let config =
            choice::Config { active: &self.bundle, candidate: None, withdrawn: &withdrawn };
        let ask = choice::Query {
            workspace: &request.workspace,
            request: &request.id,
            session: None,
            pin: None,
        };
        choice::version(&config, &ask, model).map_or(version_of(model), |chosen| chosen.version)
    }
}

/// The only version of a model.
pub fn version_of(model: &Model) -> Version {
    Version::from(format!("{model}/1"))
}

/// The speed that an entry assumes of an engine: a batch at the target between tokens.
pub fn rates(pool: &Pool) -> hickoryreel_policy::view::Rates {
    let spec = &pool.spec;
    let typical =
        spec.base_s + 40.0 * spec.request_s + 0.5 * f64::from(spec.chunk) / spec.prefill_per_s;
    hickoryreel_policy::view::Rates {
        prefill_per_s: spec.prefill_per_s,
        tokens_per_s: 1.0 / typical,
    }
}

fn bundle(setup: &Setup) -> Bundle {
    let versions: SmallVec<[Share; 8]> = setup
        .pools
        .iter()
        .map(|pool| Share { version: version_of(&pool.model), weight: 100 })
        .collect();
    let terms = WorkspaceConfig { versions, weight: 1.0, ..WorkspaceConfig::default() };
    let workspaces = setup.streams.iter().map(|stream| (stream.workspace.clone(), terms.clone()));
    Bundle { workspaces: workspaces.collect(), ..Bundle::default() }
}
