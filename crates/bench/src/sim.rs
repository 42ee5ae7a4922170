//! The virtual-time run: an event queue, fake engines and fake entries.

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

use crate::engine::Emit;
use crate::engine::Engine;
use crate::engine::Run;
use crate::entry::Entry;
use crate::entry::Job;
use crate::entry::Send;
use crate::entry::rates;
use crate::entry::version_of;
use crate::outcome::End;
use crate::outcome::Outcome;
use crate::outcome::Record;
use crate::setup::CALLER;
use crate::setup::ENTRIES;
use crate::setup::Plain;
use crate::setup::REGIONS;
use crate::setup::Setup;
use crate::setup::ZONES;
use crate::workload::Request;

/// Time between two load reports of an engine, and between two digests.
const REPORT_EVERY: Duration = Duration::from_millis(500);
/// Time between two checks of the queues for expired requests.
const TICK: Duration = Duration::from_millis(20);
/// Deadline for an endpoint's acknowledgement.
const ACCEPT_DEADLINE: Duration = Duration::from_millis(100);
/// Least deadline for the first token.
const FIRST_DEADLINE: Duration = Duration::from_secs(1);
/// Deadline for the whole stream after the first token.
const STREAM_DEADLINE: Duration = Duration::from_secs(40);
/// Added to expected times before ratios are taken, so that small delays do not look like slowness.
const RATIO_SLACK_S: f64 = 0.15;
/// Part of the answers that are rated, and the least and most delay of a rating, in seconds.
pub const RATED: (f64, f64, f64) = (0.3, 1.0, 3.0);
/// Delay and lost part of the cache events.
const CACHE_EVENTS: (Duration, f64) = (Duration::from_secs(1), 0.1);
/// Time after the last arrival until the run ends.
const DRAIN: Duration = Duration::from_secs(45);
/// Time without announcement after which an endpoint leaves the directory.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time between tokens that is told apart, in microseconds.
const LONGEST_GAP_US: u64 = 100_000_000;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    AtEngine(usize),
    Accepted(usize),
    AcceptDeadline(usize),
    First(usize),
    FirstDeadline(usize),
    Done(usize),
    Broken(usize),
    Step(usize, u64),
    Report(usize),
    Deliver(usize, Duration),
    Cached(usize, usize),
    Forget(usize),
    Rating(usize),
    Digest,
    Tick,
    Fault(usize),
}

/// Demand by model.
type ByModel = BTreeMap<Model, Demand>;
/// An entry's own demand and that of all entries.
type Digest = (ByModel, ByModel);

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

/// A run in progress.
#[derive(Debug)]
pub struct Sim {
    setup: Setup,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    sequence: u64,
    entries: Vec<Entry>,
    engines: Vec<Engine>,
    names: Vec<name::Endpoint>,
    index: BTreeMap<name::Endpoint, usize>,
    pool_of: Vec<usize>,
    epochs: Vec<u64>,
    reports: BTreeMap<(usize, Duration), Report>,
    requests: Vec<Request>,
    runs: Vec<RunState>,
    cut: [bool; 3],
    late: (Duration, f64),
    digest_lost: bool,
    pending_digest: Vec<Digest>,
    outcome: Outcome,
    arrivals: Xoshiro256PlusPlus,
    policy: Xoshiro256PlusPlus,
    world: Xoshiro256PlusPlus,
}

/// Carries out a run.
pub fn run(setup: &Setup) -> Outcome {
    let mut sim = Sim::new(setup);
    let end = setup.length + DRAIN;
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
        let random = |stream: u64| Xoshiro256PlusPlus::seed_from_u64(setup.seed * 16 + stream);
        let mut sim = Self {
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            sequence: 0,
            entries: (0..ENTRIES).map(|index| Entry::new(setup, index)).collect(),
            engines: Vec::new(),
            names: Vec::new(),
            index: BTreeMap::new(),
            pool_of: Vec::new(),
            epochs: Vec::new(),
            reports: BTreeMap::new(),
            requests: Vec::new(),
            runs: Vec::new(),
            cut: [false; 3],
            late: (Duration::ZERO, 0.0),
            digest_lost: false,
            pending_digest: Vec::new(),
            outcome: Outcome {
                records: Vec::new(),
                gaps: Histogram::new_with_bounds(1, LONGEST_GAP_US, 3)
                    .expect("the bounds and three digits are valid"),
                ejected: Vec::new(),
                urgent_after_ejection: Vec::new(),
            },
            arrivals: random(1),
            policy: random(2),
            world: random(3),
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
                self.names.push(id.clone());
                self.index.insert(id, index);
                self.pool_of.push(pool_index);
                self.epochs.push(0);
                self.outcome.ejected.push(None);
                self.outcome.urgent_after_ejection.push(0);
                (0..ENTRIES).for_each(|entry| self.announce(entry, index));
            }
        }
    }

    fn announce(&mut self, entry: usize, engine: usize) {
        let pool = &self.setup.pools[self.pool_of[engine]];
        let region = name::Region::from(self.setup.regions[self.region_of(engine)]);
        let zone = name::Zone::from(self.setup.regions[self.region_of(engine)]);
        let id = self.names[engine].clone();
        let endpoint =
            Endpoint::new(id, region, zone, rates(pool)).with_version(version_of(&pool.model));
        self.entries[entry].view.announce(endpoint);
    }

    fn schedule_first_events(&mut self) {
        for stream in 0..self.setup.streams.len() {
            self.schedule_arrival(stream);
        }
        for engine in 0..self.engines.len() {
            let offset = REPORT_EVERY.mul_f64(self.world.random());
            self.schedule(offset, Event::Report(engine));
        }
        for (fault, (at, _)) in self.setup.faults.clone().iter().enumerate() {
            self.schedule(*at, Event::Fault(fault));
        }
        self.schedule(TICK, Event::Tick);
        self.schedule(REPORT_EVERY, Event::Digest);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + after, self.sequence, event)));
    }

    fn schedule_arrival(&mut self, stream: usize) {
        let (gap, _) = self.setup.streams[stream].next_gap(&mut self.arrivals);
        if self.now + gap < self.setup.length {
            self.schedule(gap, Event::Arrival(stream));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(stream) => self.on_arrival(stream),
            Event::AtEngine(run) => self.on_engine(run),
            Event::Accepted(run) => self.runs[run].accepted = true,
            Event::AcceptDeadline(run) if !self.runs[run].accepted => self.fail(run, true),
            Event::AcceptDeadline(_) => {}
            Event::First(run) => self.on_first(run),
            Event::FirstDeadline(run) if self.runs[run].first_at.is_none() => self.fail(run, true),
            Event::FirstDeadline(_) => {}
            Event::Done(run) => self.on_done(run),
            Event::Broken(run) => self.fail(run, true),
            Event::Step(engine, epoch) => self.on_step(engine, epoch),
            Event::Report(engine) => self.on_report(engine),
            Event::Deliver(engine, at) => self.on_deliver(engine, at),
            Event::Cached(engine, request) => self.on_cache_event(engine, request),
            Event::Forget(engine) => self.on_forget(engine),
            Event::Rating(run) => self.on_rating(run),
            Event::Digest => self.on_digest(),
            Event::Tick => self.on_tick(),
            Event::Fault(fault) => self.on_fault(fault),
        }
    }

    fn region_of(&self, engine: usize) -> usize {
        engine % 3
    }

    fn connected(&self, entry: usize, engine: usize) -> bool {
        let (a, b) = (entry % 3, self.region_of(engine));
        a == b || !(self.cut[a] || self.cut[b])
    }

    fn latency(&self, entry: usize, engine: usize) -> Duration {
        if entry % 3 == self.region_of(engine) { ZONES } else { REGIONS }
    }

    fn on_arrival(&mut self, stream: usize) {
        self.schedule_arrival(stream);
        let source = &self.setup.streams[stream];
        let (_, highest) = source.next_gap(&mut self.world.clone());
        let rate = source.rate_at(self.now, self.setup.length);
        if self.arrivals.random::<f64>() * highest > rate {
            return;
        }
        let index = self.requests.len();
        let request = source.draw(index, &mut self.arrivals);
        self.outcome.records.push(self.record(&request));
        let entry = &mut self.entries[request.entry];
        let refused = entry.admit(index, &request, self.now, &mut self.policy);
        let entry = request.entry;
        self.requests.push(request);
        self.refuse(refused);
        self.dispatch(entry);
    }

    fn record(&self, request: &Request) -> Record {
        let tokens = f64::from(request.prompt + request.output) / 1_000.0;
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
        let sends = self.entries[entry].dispatch(&self.requests, self.now, &mut self.policy);
        for send in sends {
            self.send(entry, send);
        }
    }

    fn send(&mut self, entry: usize, send: Send) {
        let engine = self.index[&send.endpoint];
        let run = self.runs.len();
        let record = &mut self.outcome.records[send.job.request];
        record.engine = Some(engine);
        record.sent = Some(self.now);
        record.attempts = record.attempts.max(send.job.attempts + 1);
        if record.rank.index() == 0 && self.outcome.ejected[engine].is_some() {
            self.outcome.urgent_after_ejection[engine] += 1;
        }
        let predicted = send.predicted;
        let deadline = FIRST_DEADLINE.max(predicted * 6);
        self.runs.push(RunState {
            job: send.job,
            entry,
            engine,
            sent_at: self.now,
            predicted,
            accepted: false,
            first_at: None,
            open: true,
        });
        if self.connected(entry, engine) {
            self.schedule(self.latency(entry, engine), Event::AtEngine(run));
        }
        if self.setup.plain != Some(Plain::RoundRobin) {
            self.schedule(deadline, Event::FirstDeadline(run));
        }
        self.schedule(ACCEPT_DEADLINE, Event::AcceptDeadline(run));
    }

    fn on_engine(&mut self, run: usize) {
        let RunState { entry, engine, open, ref job, .. } = self.runs[run];
        if !open {
            return;
        }
        let latency = self.latency(entry, engine);
        if !self.engines[engine].up {
            return self.schedule(latency, Event::Broken(run));
        }
        if self.engines[engine].silent {
            return;
        }
        let request = &self.requests[job.request];
        let work = Run {
            id: run,
            rank: request.rank,
            prefill: request.prompt,
            output: request.output,
            prefixes: request.prefixes.clone(),
        };
        self.engines[engine].accept(work);
        if self.connected(entry, engine) {
            self.schedule(latency, Event::Accepted(run));
        }
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        let fake = &mut self.engines[engine];
        if fake.stepping || fake.silent || !fake.up {
            return;
        }
        if let Some(length) = fake.start_step() {
            let epoch = self.epochs[engine];
            self.schedule(length, Event::Step(engine, epoch));
        }
    }

    fn on_step(&mut self, engine: usize, epoch: u64) {
        if epoch != self.epochs[engine] {
            return;
        }
        let length = self.engines[engine].last_step();
        let (emits, gaps) = self.engines[engine].end_step();
        if self.setup.pools[self.pool_of[engine]].spec.prefixes > 0 {
            self.outcome.gaps.saturating_record_n(length.as_micros() as u64, gaps);
        }
        for emit in emits {
            let (run, event) = match emit {
                Emit::First(run) => (run, Event::First(run)),
                Emit::Done(run) => (run, Event::Done(run)),
            };
            let entry = self.runs[run].entry;
            if self.connected(entry, engine) {
                self.schedule(self.latency(entry, engine), event);
            }
        }
        self.start_step(engine);
    }

    fn on_first(&mut self, run: usize) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.first_at = Some(self.now);
        let taken = (self.now - state.sent_at).as_secs_f64();
        let expected = state.predicted.as_secs_f64() + RATIO_SLACK_S;
        let (entry, engine, request) = (state.entry, state.engine, state.job.request);
        let cascade = state.job.then.is_some();
        let outcome = eject::Outcome::Answered { ratio: taken / expected };
        self.entries[entry].view.on_progress(&self.names[engine], outcome, self.now);
        self.note_ejection(entry, engine);
        for (hash, _) in self.requests[request].prefixes.clone() {
            self.entries[entry].view.on_cache_event(&self.names[engine], hash, true);
        }
        if !self.world.random_bool(CACHE_EVENTS.1) {
            self.schedule(CACHE_EVENTS.0, Event::Cached(engine, request));
        }
        if !cascade {
            self.deliver_first(request);
        }
        self.schedule(STREAM_DEADLINE, Event::Broken(run));
    }

    fn deliver_first(&mut self, request: usize) {
        let record = &mut self.outcome.records[request];
        let taken = self.now - record.arrived + CALLER * 2;
        record.first_token.get_or_insert(taken);
    }

    fn note_ejection(&mut self, entry: usize, engine: usize) {
        let view = &self.entries[entry].view;
        let serving = view.get(&self.names[engine]).is_none_or(|e| e.ejection.is_serving());
        if !serving && self.outcome.ejected[engine].is_none() {
            self.outcome.ejected[engine] = Some(self.now);
        }
    }

    fn on_done(&mut self, run: usize) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.open = false;
        let (entry, engine, job) = (state.entry, state.engine, state.job.clone());
        let streamed = (self.now - state.first_at.unwrap_or(self.now)).as_secs_f64();
        let request = &self.requests[job.request];
        let pool = &self.setup.pools[self.pool_of[engine]];
        let expected = f64::from(request.output) / rates(pool).tokens_per_s + RATIO_SLACK_S;
        let outcome = eject::Outcome::Answered { ratio: streamed / expected };
        let record = &mut self.outcome.records[job.request];
        record.cost += pool.price * f64::from(request.prompt + request.output) / 1_000.0;
        let large = usize::from(self.pool_of[engine] > 0);
        let accepted = request.accepted[large];
        let entry_state = &mut self.entries[entry];
        entry_state.view.on_done(&self.names[engine], outcome, self.now);
        entry_state.budget.on_success(&request.workspace);
        if !record.service {
            entry_state.planner.on_check(&request.task, &job.model, accepted);
        }
        if job.then.is_some() && !accepted {
            let request = request.clone();
            let refused = entry_state.second_run(job, &request, self.now);
            self.refuse(refused);
        } else {
            record.end = End::Served;
            record.done = Some(self.now);
            record.good = request.good[large];
            self.deliver_first(job.request);
            self.schedule_rating(run);
        }
        self.note_ejection(entry, engine);
        self.dispatch(entry);
    }

    fn schedule_rating(&mut self, run: usize) {
        let (rated, least, most) = RATED;
        if self.world.random_bool(rated)
            && !self.requests[self.runs[run].job.request].prefixes.is_empty()
        {
            let delay = Duration::from_secs_f64(self.world.random_range(least..most));
            self.schedule(delay, Event::Rating(run));
        }
    }

    /// Ends a run that broke off; `blame` says whether it counts against the endpoint.
    fn fail(&mut self, run: usize, blame: bool) {
        let state = &mut self.runs[run];
        if !state.open {
            return;
        }
        state.open = false;
        let (entry, engine, mut job) = (state.entry, state.engine, state.job.clone());
        let started = state.first_at.is_some() && job.then.is_none();
        let outcome = if blame { eject::Outcome::Failed } else { eject::Outcome::Neutral };
        self.entries[entry].view.on_done(&self.names[engine], outcome, self.now);
        self.note_ejection(entry, engine);
        if self.connected(entry, engine) {
            self.engines[engine].cancel(run);
        }
        job.attempts += 1;
        job.tried.push(self.names[engine].clone());
        let request = self.requests[job.request].clone();
        let budget = &mut self.entries[entry].budget;
        let retry = !started
            && self.setup.plain != Some(Plain::RoundRobin)
            && budget.take(&request.workspace, job.attempts, request.repeatable);
        if retry {
            self.entries[entry].retry(job, &request, self.now);
        } else {
            self.outcome.records[job.request].end = End::Failed;
        }
        self.dispatch(entry);
    }
}
