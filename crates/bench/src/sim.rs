//! Discrete-event simulation in virtual time: an event queue, simulated engines and simulated
//! entries.

mod soft;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use hdrhistogram::Histogram;
use hickoryreel_base::name;
use hickoryreel_base::name::Model;
use hickoryreel_policy::eject;
use hickoryreel_policy::share::Demand;
use hickoryreel_policy::view::Endpoint;
use hickoryreel_policy::view::Report;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

use crate::engine::Engine;
use crate::engine::Run;
use crate::engine::TokenEvent;
use crate::entry::Dispatch;
use crate::entry::Entry;
use crate::entry::Job;
use crate::entry::rates;
use crate::entry::version_of;
use crate::outcome::End;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::setup::BaselinePolicy;
use crate::setup::CALLER_LATENCY;
use crate::setup::ENTRIES;
use crate::setup::REGION_LATENCY;
use crate::setup::Setup;
use crate::setup::ZONE_LATENCY;
use crate::workload::Request;

/// Time between two load reports of an engine, and between two digests of the entries.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks of the queues for expired requests.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Deadline for the acknowledgement of a request by an endpoint.
const ACK_DEADLINE: Duration = Duration::from_millis(100);
/// Minimum deadline for the first token.
const MIN_FIRST_TOKEN_DEADLINE: Duration = Duration::from_secs(1);
/// Deadline for the whole stream after the first token.
const STREAM_DEADLINE: Duration = Duration::from_secs(40);
/// Added to an expected time before a ratio to it is computed, so that a small delay does not count
/// as slowness.
const RATIO_SLACK_S: f64 = 0.15;
/// Fraction of the answers that are rated, and minimum and maximum delay of a rating in seconds.
pub const RATING_SAMPLE: (f64, f64, f64) = (0.3, 1.0, 3.0);
/// Delay of cache events, and the fraction that is lost.
const CACHE_EVENT_DELAY_AND_LOSS: (Duration, f64) = (Duration::from_secs(1), 0.1);
/// Time from the end of the arrivals to the end of the run.
const DRAIN_TIME: Duration = Duration::from_secs(45);
/// Time without announcements after which entries remove an endpoint.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest time between tokens that the histogram records, in microseconds.
const MAX_TOKEN_GAP_US: u64 = 100_000_000;

/// What happens at a point in virtual time. Runs, engines, requests, streams and faults are given
/// by their indices.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A candidate arrival of the stream.
    Arrival(usize),
    /// The run reaches its engine.
    ArriveAtEngine(usize),
    /// The acknowledgement of the run reaches the entry.
    Acknowledged(usize),
    AckDeadline(usize),
    /// The first token of the run reaches the entry.
    FirstToken(usize),
    FirstTokenDeadline(usize),
    /// The last token of the run reaches the entry.
    Done(usize),
    /// The entry sees the run fail: the engine is down or the stream exceeded its deadline.
    RunFailed(usize),
    /// The engine ends a step that it started in the epoch.
    StepEnd(usize, u64),
    /// The engine sends a load report.
    Report(usize),
    /// The load report that the engine sent at the time reaches the entries.
    DeliverReport(usize, Duration),
    /// The entries learn that the engine cached the prefixes of the request.
    PrefixesCached(usize, usize),
    /// The announcements of the engine time out.
    RemoveEndpoint(usize),
    /// The rating of the run's answer reaches the entries.
    Rating(usize),
    /// The entries exchange digests.
    Digest,
    ExpiryCheck,
    /// The fault with this index takes effect.
    Fault(usize),
}

/// Demand by model.
type ByModel = BTreeMap<Model, Demand>;
/// Demand of one entry, and the total demand that it knows of.
type Digest = (ByModel, ByModel);

/// A dispatched run as its entry sees it.
#[derive(Debug)]
struct RunState {
    job: Job,
    entry: usize,
    engine: usize,
    sent_at: Duration,
    predicted: Duration,
    accepted: bool,
    first_at: Option<Duration>,
    open: bool,
}

/// State of a simulation.
#[derive(Debug)]
pub struct Sim {
    setup: Setup,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Number of scheduled events; orders events with the same time.
    sequence: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    endpoint_names: Vec<name::Endpoint>,
    engine_index: BTreeMap<name::Endpoint, usize>,
    /// Index of the pool of each engine.
    pool_of: Vec<usize>,
    /// Incremented when an engine aborts its step, so that the end of that step is ignored.
    epochs: Vec<u64>,
    /// Load reports in transit, by engine and time of measurement.
    reports: BTreeMap<(usize, Duration), Report>,
    requests: Vec<Request>,
    runs: Vec<RunState>,
    /// Whether each region is partitioned from the others.
    partitioned: [bool; 3],
    /// Delay of load reports, and the fraction that is lost.
    report_faults: (Duration, f64),
    digest_lost: bool,
    /// Digests in transit, by receiving entry; they are applied at the next exchange.
    pending_digest: Vec<Digest>,
    outcome: Outcome,
    arrival_rng: Xoshiro256PlusPlus,
    policy_rng: Xoshiro256PlusPlus,
    environment_rng: Xoshiro256PlusPlus,
}

/// Simulates a run.
pub fn run(setup: &Setup) -> Outcome {
    let mut sim = Sim::new(setup);
    let end = setup.length + DRAIN_TIME;
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > end {
            break;
        }
        sim.now = at;
        sim.handle(event);
    }
    sim.outcome
}

impl Sim {
    fn new(setup: &Setup) -> Self {
        let seeded_rng = |stream: u64| Xoshiro256PlusPlus::seed_from_u64(setup.seed * 16 + stream);
        let mut sim = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..ENTRIES).map(|index| Entry::new(setup, index)).collect(),
            engines: Vec::new(),
            endpoint_names: Vec::new(),
            engine_index: BTreeMap::new(),
            pool_of: Vec::new(),
            epochs: Vec::new(),
            reports: BTreeMap::new(),
            requests: Vec::new(),
            runs: Vec::new(),
            partitioned: [false; 3],
            report_faults: (Duration::ZERO, 0.0),
            digest_lost: false,
            pending_digest: Vec::new(),
            outcome: Outcome {
                records: Vec::new(),
                token_gaps: Histogram::new_with_bounds(1, MAX_TOKEN_GAP_US, 3)
                    .expect("the bounds and three digits are valid"),
                first_ejections: Vec::new(),
                urgent_after_ejection: Vec::new(),
            },
            arrival_rng: seeded_rng(1),
            policy_rng: seeded_rng(2),
            environment_rng: seeded_rng(3),
            setup: setup.clone(),
        };
        sim.add_engines();
        sim.schedule_first_events();
        sim
    }

    fn add_engines(&mut self) {
        for (pool_index, pool) in self.setup.pools.clone().iter().enumerate() {
            for _ in 0..pool.engines {
                let index = self.engines.len();
                let id = name::Endpoint::from(format!("{}-{index}", pool.model));
                self.engines.push(Engine::new(pool.spec));
                self.endpoint_names.push(id.clone());
                self.engine_index.insert(id, index);
                self.pool_of.push(pool_index);
                self.epochs.push(0);
                self.outcome.first_ejections.push(None);
                self.outcome.urgent_after_ejection.push(0);
                (0..ENTRIES).for_each(|entry| self.announce(entry, index));
            }
        }
    }

    fn announce(&mut self, entry: usize, engine: usize) {
        let pool = &self.setup.pools[self.pool_of[engine]];
        let region = name::Region::from(self.setup.regions[self.region_of(engine)]);
        let zone = name::Zone::from(self.setup.regions[self.region_of(engine)]);
        let id = self.endpoint_names[engine].clone();
        let endpoint =
            Endpoint::new(id, region, zone, rates(pool)).with_version(version_of(&pool.model));
        self.entries[entry].view.announce(endpoint);
    }

    fn schedule_first_events(&mut self) {
        for stream in 0..self.setup.streams.len() {
            self.schedule_arrival(stream);
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT_INTERVAL.mul_f64(self.environment_rng.random());
            self.schedule(offset, Event::Report(engine));
        }
        for (fault, (at, _)) in self.setup.faults.clone().iter().enumerate() {
            self.schedule(*at, Event::Fault(fault));
        }
        self.schedule(EXPIRY_CHECK_INTERVAL, Event::ExpiryCheck);
        self.schedule(REPORT_INTERVAL, Event::Digest);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let (gap, _) = self.setup.streams[stream].next_gap(&mut self.arrival_rng);
        if self.now + gap < self.setup.length {
            self.schedule(gap, Event::Arrival(stream));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(stream) => self.on_arrival(stream),
            Event::ArriveAtEngine(run) => self.on_arrival_at_engine(run),
            Event::Acknowledged(run) => self.runs[run].accepted = true,
            Event::AckDeadline(run) if !self.runs[run].accepted => self.fail(run, true),
            Event::AckDeadline(_) => {}
            Event::FirstToken(run) => self.on_first_token(run),
            Event::FirstTokenDeadline(run) if self.runs[run].first_at.is_none() => {
                self.fail(run, true)
            }
            Event::FirstTokenDeadline(_) => {}
            Event::Done(run) => self.on_done(run),
            Event::RunFailed(run) => self.fail(run, true),
            Event::StepEnd(engine, epoch) => self.on_step_end(engine, epoch),
            Event::Report(engine) => self.on_report(engine),
            Event::DeliverReport(engine, at) => self.on_report_delivered(engine, at),
            Event::PrefixesCached(engine, request) => self.on_cache_event(engine, request),
            Event::RemoveEndpoint(engine) => self.on_announcement_timeout(engine),
            Event::Rating(run) => self.on_rating(run),
            Event::Digest => self.on_digest(),
            Event::ExpiryCheck => self.on_expiry_check(),
            Event::Fault(fault) => self.on_fault(fault),
        }
    }

    fn region_of(&self, engine: usize) -> usize {
        engine % 3
    }

    fn connected(&self, entry: usize, engine: usize) -> bool {
        let (a, b) = (entry % 3, self.region_of(engine));
        a == b || !(self.partitioned[a] || self.partitioned[b])
    }

    fn latency(&self, entry: usize, engine: usize) -> Duration {
        if entry % 3 == self.region_of(engine) { ZONE_LATENCY } else { REGION_LATENCY }
    }

    fn on_arrival(&mut self, stream: usize) {
        self.schedule_arrival(stream);
        let source = &self.setup.streams[stream];
        let (_, highest) = source.next_gap(&mut self.environment_rng.clone());
        let rate = source.rate_at(self.now, self.setup.length);
        if self.arrival_rng.random::<f64>() * highest > rate {
            return;
        }
        let index = self.requests.len();
        let request = source.draw(index, &mut self.arrival_rng);
        self.outcome.records.push(self.record(&request));
        let entry = &mut self.entries[request.entry];
        let refused = entry.admit(index, &request, self.now, &mut self.policy_rng);
        let entry = request.entry;
        self.requests.push(request);
        self.refuse(refused);
        self.dispatch(entry);
    }

    fn record(&self, request: &Request) -> Record {
        let tokens = f64::from(request.prompt_tokens + request.output_tokens) / 1_000.0;
        let models = &self.setup.pools[..self.setup.pools.len() - 1];
        let cheapest = if request.good[0] { models.first() } else { models.last() };
        Record {
            arrived: self.now,
            rank: request.rank,
            workspace: request.workspace.clone(),
            entry: request.entry,
            first_token: None,
            end: End::Open,
            attempts: 0,
            engine: None,
            sent: None,
            done: None,
            cost: 0.0,
            oracle_cost: cheapest.map_or(0.0, |pool| pool.price * tokens),
            good: false,
            service: request.prefixes.is_empty(),
        }
    }

    fn refuse(&mut self, jobs: Vec<Job>) {
        for job in jobs {
            self.outcome.records[job.request].end = End::Refused;
        }
    }

    fn dispatch(&mut self, entry: usize) {
        let dispatches =
            self.entries[entry].dispatch(&self.requests, self.now, &mut self.policy_rng);
        for dispatch in dispatches {
            self.send(entry, dispatch);
        }
    }

    fn send(&mut self, entry: usize, dispatch: Dispatch) {
        let engine = self.engine_index[&dispatch.endpoint];
        let run = self.runs.len();
        let record = &mut self.outcome.records[dispatch.job.request];
        record.engine = Some(engine);
        record.sent = Some(self.now);
        record.attempts = record.attempts.max(dispatch.job.attempts + 1);
        if record.rank.index() == 0 && self.outcome.first_ejections[engine].is_some() {
            self.outcome.urgent_after_ejection[engine] += 1;
        }
        let predicted = dispatch.predicted;
        let deadline = MIN_FIRST_TOKEN_DEADLINE.max(predicted * 6);
        self.runs.push(RunState {
            job: dispatch.job,
            entry,
            engine,
            sent_at: self.now,
            predicted,
            accepted: false,
            first_at: None,
            open: true,
        });
        if self.connected(entry, engine) {
            self.schedule(self.latency(entry, engine), Event::ArriveAtEngine(run));
        }
        if self.setup.baseline != Some(BaselinePolicy::RoundRobin) {
            self.schedule(deadline, Event::FirstTokenDeadline(run));
        }
        self.schedule(ACK_DEADLINE, Event::AckDeadline(run));
    }

    fn on_arrival_at_engine(&mut self, run: usize) {
        let RunState { entry, engine, open, ref job, .. } = self.runs[run];
        if !open {
            return;
        }
        let latency = self.latency(entry, engine);
        if !self.engines[engine].up {
            return self.schedule(latency, Event::RunFailed(run));
        }
        if self.engines[engine].silent {
            return;
        }
        let request = &self.requests[job.request];
        let work = Run {
            id: run,
            rank: request.rank,
            prefill_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            prefixes: request.prefixes.clone(),
        };
        self.engines[engine].accept(work);
        if self.connected(entry, engine) {
            self.schedule(latency, Event::Acknowledged(run));
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let simulated = &mut self.engines[engine];
        if simulated.stepping || simulated.silent || !simulated.up {
            return;
        }
        if let Some(length) = simulated.start_step() {
            let epoch = self.epochs[engine];
            self.schedule(length, Event::StepEnd(engine, epoch));
        }
    }

    fn on_step_end(&mut self, engine: usize, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let length = self.engines[engine].last_step();
        let (token_events, gaps) = self.engines[engine].end_step();
        if self.setup.pools[self.pool_of[engine]].spec.cache_capacity > 0 {
            self.outcome.token_gaps.saturating_record_n(length.as_micros() as u64, gaps);
        }
        for token_event in token_events {
            let (run, event) = match token_event {
                TokenEvent::First(run) => (run, Event::FirstToken(run)),
                TokenEvent::Done(run) => (run, Event::Done(run)),
            };
            let entry = self.runs[run].entry;
            if self.connected(entry, engine) {
                self.schedule(self.latency(entry, engine), event);
            }
        }
        self.start_step(engine);
    }

    fn on_first_token(&mut self, run: usize) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.first_at = Some(self.now);
        let elapsed = (self.now - state.sent_at).as_secs_f64();
        let expected = state.predicted.as_secs_f64() + RATIO_SLACK_S;
        let (entry, engine, request) = (state.entry, state.engine, state.job.request);
        let cascade = state.job.fallback.is_some();
        let outcome = eject::Outcome::Answered { ratio: elapsed / expected };
        self.entries[entry].view.on_progress(&self.endpoint_names[engine], outcome, self.now);
        self.record_ejection(entry, engine);
        for (hash, _) in self.requests[request].prefixes.clone() {
            self.entries[entry].view.on_cache_event(&self.endpoint_names[engine], hash, true);
        }
        if !self.environment_rng.random_bool(CACHE_EVENT_DELAY_AND_LOSS.1) {
            self.schedule(CACHE_EVENT_DELAY_AND_LOSS.0, Event::PrefixesCached(engine, request));
        }
        if !cascade {
            self.record_first_token(request);
        }
        self.schedule(STREAM_DEADLINE, Event::RunFailed(run));
    }

    fn record_first_token(&mut self, request: usize) {
        let record = &mut self.outcome.records[request];
        let elapsed = self.now - record.arrived + CALLER_LATENCY * 2;
        record.first_token.get_or_insert(elapsed);
    }

    fn record_ejection(&mut self, entry: usize, engine: usize) {
        let view = &self.entries[entry].view;
        let serving = view
            .get(&self.endpoint_names[engine])
            .is_none_or(|endpoint| endpoint.ejection.is_serving());
        if !serving && self.outcome.first_ejections[engine].is_none() {
            self.outcome.first_ejections[engine] = Some(self.now);
        }
    }

    fn on_done(&mut self, run: usize) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.open = false;
        let (entry, engine, job) = (state.entry, state.engine, state.job.clone());
        let stream_time_s = (self.now - state.first_at.unwrap_or(self.now)).as_secs_f64();
        let request = &self.requests[job.request];
        let pool = &self.setup.pools[self.pool_of[engine]];
        let expected = f64::from(request.output_tokens) / rates(pool).tokens_per_s + RATIO_SLACK_S;
        let outcome = eject::Outcome::Answered { ratio: stream_time_s / expected };
        let record = &mut self.outcome.records[job.request];
        record.cost +=
            pool.price * f64::from(request.prompt_tokens + request.output_tokens) / 1_000.0;
        let model_index = usize::from(self.pool_of[engine] > 0);
        let accepted = request.accepted[model_index];
        let entry_state = &mut self.entries[entry];
        entry_state.view.on_done(&self.endpoint_names[engine], outcome, self.now);
        entry_state.budget.on_success(&request.workspace);
        if !record.service {
            entry_state.planner.on_check(&request.task, &job.model, accepted);
        }
        if job.fallback.is_some() && !accepted {
            let request = request.clone();
            let refused = entry_state.second_run(job, &request, self.now);
            self.refuse(refused);
        } else {
            record.end = End::Served;
            record.done = Some(self.now);
            record.good = request.good[model_index];
            self.record_first_token(job.request);
            self.schedule_rating(run);
        }
        self.record_ejection(entry, engine);
        self.dispatch(entry);
    }

    fn schedule_rating(&mut self, run: usize) {
        let (rated, least, most) = RATING_SAMPLE;
        if self.environment_rng.random_bool(rated)
            && !self.requests[self.runs[run].job.request].prefixes.is_empty()
        {
            let delay = Duration::from_secs_f64(self.environment_rng.random_range(least..most));
            self.schedule(delay, Event::Rating(run));
        }
    }

    /// Ends a failed run, and retries the request if the retry budget allows it. `endpoint_failed`
    /// says whether the failure counts against the endpoint.
    fn fail(&mut self, run: usize, endpoint_failed: bool) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.open = false;
        let (entry, engine, mut job) = (state.entry, state.engine, state.job.clone());
        let started = state.first_at.is_some() && job.fallback.is_none();
        let outcome =
            if endpoint_failed { eject::Outcome::Failed } else { eject::Outcome::Neutral };
        self.entries[entry].view.on_done(&self.endpoint_names[engine], outcome, self.now);
        self.record_ejection(entry, engine);
        if self.connected(entry, engine) {
            self.engines[engine].cancel(run);
        }
        job.attempts += 1;
        job.tried.push(self.endpoint_names[engine].clone());
        let request = self.requests[job.request].clone();
        let budget = &mut self.entries[entry].budget;
        let retry = !started
            && self.setup.baseline != Some(BaselinePolicy::RoundRobin)
            && budget.take(&request.workspace, job.attempts, request.retryable);
        if retry {
            self.entries[entry].retry(job, &request, self.now);
        } else {
            self.outcome.records[job.request].end = End::Failed;
        }
        self.dispatch(entry);
    }
}
