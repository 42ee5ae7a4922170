//! Handling of one request from its arrival to its end, with retries and larger models.

mod room;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::load::EndpointKey;
use http::Request;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use rand::RngExt;
use slog::info;
use smallvec::SmallVec;

use crate::answer::Refusal;
use crate::body::Body;
use crate::cascade::AnswerEstimate;
use crate::cold;
use crate::dialect::RequestMetadata;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::memory;
use crate::outcome;
use crate::outcome::Delivered;
use crate::outcome::Fallback;
use crate::outcome::Next;
use crate::outcome::Runs;
use crate::outcome::SendEnd;
use crate::pick;
use crate::pick::Choice;
use crate::pick::PickContext;
use crate::prefill;
use crate::prefill::PrefillPermit;
use crate::prepare::Prepared;
use crate::prepare::prepare;
use crate::relay;
use crate::routed::Routed;
use crate::routed::choose_model;
use crate::routed::with_context;
use crate::send::Sent;

/// Minimum time before the deadline at which a request is still sent.
pub const MIN_SEND_TIME_MS: u64 = 30;

/// Interval at which a request that waits for an endpoint on trial, or for room in the KV cache of
/// one, looks for another one. Several times within the 250 ms in which other entries report loads.
pub(crate) const TRIAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Additional sends of a request that endpoints refuse without running it.
const MAX_REFUSED_SENDS: u32 = 2;

/// The same for a stream that has begun, whose client can't be told to come back.
const MAX_REFUSED_RESUMES: u32 = 6;

/// What prevents another send of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Obstacle {
    /// The request may not run again, or the attempts of its route are used up.
    Attempts,
    /// The deadline is too close.
    Time,
    /// The lease under which the request's key is accepted has expired.
    Lease,
    /// A part of the prompt is blocked because it crashes endpoints.
    Block,
    /// No other endpoint can take the request.
    Endpoint,
    /// The retry budget of the service is used up.
    Budget,
}

/// State of a request that is being handled.
pub struct ActiveRequest {
    pub entry: Rc<Entry>,
    /// Head of the client's request.
    pub head: Parts,
    pub metadata: RequestMetadata,
    pub body: Bytes,
    /// Memory that the body takes.
    #[expect(dead_code, reason = "it releases its memory when it is dropped")]
    body_memory: Option<memory::Reservation>,
    pub route: Arc<Route>,
    pub service: Name,
    /// `None` if the route needs no key.
    pub workspace: Option<Arc<Workspace>>,
    /// Time of arrival.
    pub arrived: Duration,
    /// Time at which the request times out.
    pub deadline: Duration,
    /// Ids of the endpoints to which the request was sent.
    pub tried: SmallVec<[Name; 4]>,
    /// Number of sends.
    pub sends: u32,
    /// Number of sends that were withdrawn before they were written.
    pub withdrawn: u32,
    /// Number of sends that the endpoint may have run.
    pub runs: u32,
    /// Endpoints that ended before any part of an answer arrived from them.
    pub lost: RefCell<SmallVec<[EndpointKey; 4]>>,
    /// Whether an endpoint may have run the request, so that a refusal must not deny it.
    pub may_have_run: bool,
    pub handling: Rc<Handling>,
    /// Index of the latest send's model among the models of the route.
    model_index: usize,
    /// Model of the latest send, if the entry chose it.
    pub model: Option<Name>,
    /// The next smaller model, if its low confidence led to the latest send.
    smaller_model: Option<Name>,
    /// Confidence of the model in the latest answer.
    pub confidence: Option<u8>,
    /// Time at which the first event was forwarded.
    pub first_at: Option<Duration>,
    /// Id of the last event that was forwarded.
    pub last_event: Option<u64>,
    /// Endpoint and version of the latest send.
    pub endpoint: Option<(Name, Name)>,
    /// Admission to an endpoint that warms up.
    pub admission: Option<cold::Admission>,
    /// Delay after which the client may repeat the request, if no endpoint was expected to answer it
    /// in time.
    refused_for: Option<Duration>,
    /// Random number from 0 to 1, the same for all decisions on the request, that selects the
    /// requests that test the estimate.
    probe_point: f64,
    /// Whether no endpoint was found for the latest send.
    pub found_none: bool,
}

/// Number of route ranks within one workspace rank.
const ROUTE_RANKS: u8 = 3;

/// Number of workspace ranks that are distinguished.
const WORKSPACE_RANKS: u8 = 3;

/// Rank of a workspace whose configuration has none.
pub(crate) const DEFAULT_WORKSPACE_RANK: u8 = 1;

/// Rank of a request at endpoints, 0 to 8. The workspace rank takes precedence; the route rank orders
/// the requests of workspaces with the same rank.
pub fn rank(workspace: Option<u8>, route: u8) -> u8 {
    let workspace = workspace.unwrap_or(DEFAULT_WORKSPACE_RANK).min(WORKSPACE_RANKS - 1);
    workspace * ROUTE_RANKS + route.min(ROUTE_RANKS - 1)
}

/// What is known of a request that is being handled, and of which nothing else is left if the
/// process stops meanwhile.
#[derive(Debug, Default)]
pub struct Handling {
    /// Empty until the head is parsed.
    pub id: RefCell<String>,
    /// Whether the request was written to an endpoint that has not stated that it did not run.
    pub passed_on: Cell<bool>,
}

async fn answer(
    entry: &Rc<Entry>,
    head: Parts,
    body: Incoming,
    arrived: Duration,
    handling: Rc<Handling>,
) -> Response<Body> {
    match prepare(entry, head, body, arrived, &handling).await {
        Ok((prepared, deadline)) => {
            ActiveRequest::new(Rc::clone(entry), prepared, arrived, deadline, handling).run().await
        }
        Err((refusal, id)) => {
            let view = entry.view.borrow();
            info!(entry.log, "request refused"; "request" => id, "reason" => ?refusal,
                "configuration" => view.number(),
                "confirmed_ms" => view.age().map(|age| age.as_millis() as u64));
            refusal.response()
        }
    }
}

/// Handles one request of a client.
pub async fn handle(entry: Rc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let guard = entry.track_request();
    let arrived = boot_time();
    let (head, body) = request.into_parts();
    let handling = Rc::new(Handling::default());
    let answer = answer(&entry, head, body, arrived, Rc::clone(&handling));
    let mut response = match entry.ending.run_until_cancelled(answer).await {
        Some(response) => response,
        None => {
            let passed_on = handling.passed_on.get();
            let refusal = if passed_on { Refusal::TimedOut } else { Refusal::Stopping };
            info!(entry.log, "request is unfinished at the stop";
                "request" => &*handling.id.borrow(), "reason" => ?refusal);
            refusal.response()
        }
    };
    if entry.stopping.get().is_some() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(http::header::CONNECTION, close);
    }
    let labels = vec![("status", response.status().as_u16().to_string())];
    entry.metrics.requests.get_or_create(&labels).inc();
    response.body_mut().set_guard(guard);
    response
}

impl ActiveRequest {
    pub fn new(
        entry: Rc<Entry>,
        prepared: Prepared,
        arrived: Duration,
        deadline: Duration,
        handling: Rc<Handling>,
    ) -> Self {
        let Prepared { head, metadata, body, body_memory, route, service, workspace } = prepared;
        Self {
            entry,
            head,
            metadata,
            body,
            body_memory,
            route,
            service,
            workspace,
            arrived,
            deadline,
            tried: SmallVec::new(),
            sends: 0,
            withdrawn: 0,
            runs: 0,
            lost: RefCell::default(),
            may_have_run: false,
            handling,
            model_index: 0,
            model: None,
            smaller_model: None,
            confidence: None,
            first_at: None,
            last_event: None,
            endpoint: None,
            admission: None,
            refused_for: None,
            probe_point: rand::rng().random(),
            found_none: false,
        }
    }

    /// Sends the request until an answer is accepted or no further send is allowed.
    async fn run(mut self) -> Response<Body> {
        if self.block_left().is_some() {
            return self.conclude(Fallback::Refuse(Refusal::Overloaded), None);
        }
        if self
            .entry
            .memory_tokens(&self.service)
            .is_some_and(|tokens| self.metadata.prompt_tokens > tokens)
        {
            return self.conclude(Fallback::Refuse(Refusal::PromptTooLarge), None);
        }
        let mut failed: Option<Response<Body>> = None;
        loop {
            let ended = match self.send(None).await {
                Ok(sent) => {
                    let status = sent.exchange.response.status();
                    if status.is_success() && self.route.kind == Kind::Stream {
                        if self.escalate(&sent) {
                            continue;
                        }
                        return relay::start(self, sent);
                    }
                    match self.read_whole(sent).await {
                        Ok(response) if response.status().is_server_error() => {
                            failed = Some(response);
                            SendEnd::EndpointFailed
                        }
                        Ok(response) => {
                            self.log_end(response.status().as_u16(), "answered");
                            return response;
                        }
                        Err(ended) => ended,
                    }
                }
                Err(ended) => ended,
            };
            if let Some(fallback) = self.retry_or_end(ended, Delivered::Nothing) {
                return self.conclude(fallback, failed);
            }
        }
    }

    /// Decides what follows a failed send. Returns `None` to send again, otherwise how the request
    /// ends.
    pub fn retry_or_end(&mut self, ended: SendEnd, delivered: Delivered) -> Option<Fallback> {
        if matches!(ended, SendEnd::Unknown | SendEnd::EndpointFailed | SendEnd::DeadlineExceeded)
            && self.sends > 0
        {
            self.may_have_run = true;
        }
        self.handling.passed_on.set(self.may_have_run);
        let runs = if self.route.is_repeatable() { Runs::Repeatable } else { Runs::Once };
        match outcome::decide(ended, runs, delivered, self.may_have_run) {
            Next::End(fallback) => Some(fallback),
            Next::Retry(fallback) => {
                let obstacle = self.obstacle_to_retry(ended).or_else(|| {
                    let taken = ended == SendEnd::NotSent
                        || self.found_none
                        || self.entry.take_second_send(&self.service);
                    (!taken).then_some(Obstacle::Budget)
                })?;
                info!(self.entry.log, "request is not sent again"; "request" => &self.metadata.id,
                    "obstacle" => ?obstacle, "sends" => self.sends, "runs" => self.runs,
                    "delivered" => ?delivered);
                Some(fallback)
            }
        }
    }

    /// Returns what prevents another send after one that ended so, apart from the retry budget. A send
    /// that reached no endpoint uses up neither attempts nor the budget. A request that was refused an
    /// admission to an endpoint that warms up ends; a stream that has begun asks again, with pauses.
    fn obstacle_to_retry(&self, ended: SendEnd) -> Option<Obstacle> {
        let obstacle = self.obstacle(self.runs, |_| true);
        let has_cold = || {
            let candidates = self.with_context(&self.tried, self.token_ms(), pick::cold_candidates);
            !candidates.is_empty()
        };
        let excused = match obstacle {
            Some(Obstacle::Attempts) => ended == SendEnd::NotSent,
            Some(Obstacle::Endpoint) => {
                let may_ask = !self.found_none || self.first_at.is_some();
                ended == SendEnd::NotSent || (may_ask && has_cold()) || self.waits_for_memory()
            }
            _ => false,
        };
        if excused { None } else { obstacle }
    }

    /// Returns what prevents another send after `runs` runs to an endpoint that `accepts` holds for,
    /// apart from the retry budget.
    fn obstacle(&self, runs: u32, accepts: impl Fn(&Endpoint) -> bool) -> Option<Obstacle> {
        let attempts = self.route.attempts.max(1);
        let has_begun = self.first_at.is_some();
        let refused = if has_begun { MAX_REFUSED_RESUMES } else { MAX_REFUSED_SENDS };
        if runs >= attempts || self.sends - self.withdrawn >= attempts.saturating_add(refused) {
            Some(Obstacle::Attempts)
        } else if self.left_ms() <= MIN_SEND_TIME_MS {
            Some(Obstacle::Time)
        } else if !self.has_lease() {
            Some(Obstacle::Lease)
        } else if self.block_left().is_some() {
            Some(Obstacle::Block)
        } else if !self.pick().is_some_and(|endpoint| accepts(&endpoint)) {
            Some(Obstacle::Endpoint)
        } else {
            None
        }
    }

    /// Returns what prevents leaving an endpoint that pauses, where leaving makes it `runs` runs. The
    /// endpoint may still continue, so it is left only if the next send is allowed at once.
    pub fn obstacle_to_leave(&self, runs: u32) -> Option<Obstacle> {
        if !self.route.is_repeatable() {
            return Some(Obstacle::Attempts);
        }
        self.obstacle(runs, Endpoint::is_usable).or_else(|| {
            let has_budget = self.entry.has_second_send(&self.service);
            (!has_budget).then_some(Obstacle::Budget)
        })
    }

    fn conclude(&self, fallback: Fallback, failed: Option<Response<Body>>) -> Response<Body> {
        let refusal = match fallback {
            Fallback::Refuse(refusal) => refusal,
            Fallback::ForwardFailure | Fallback::Abort => {
                if let Some(response) = failed {
                    self.log_end(response.status().as_u16(), "failed at the endpoint");
                    return response;
                }
                Refusal::Unknown
            }
        };
        let refusal = match refusal {
            Refusal::TimedOut if !self.may_have_run => Refusal::TooLate,
            Refusal::Overloaded => match self.block_left() {
                Some(left) => {
                    self.entry.metrics.blocked.inc();
                    Refusal::Blocked(left)
                }
                None => refusal,
            },
            other => other,
        };
        self.log_end(refusal.answer().0.as_u16(), &format!("{refusal:?}"));
        match refusal {
            Refusal::Overloaded => refusal.response_after(self.retry_after()),
            _ => refusal.response(),
        }
    }

    /// Milliseconds until the deadline.
    pub fn left_ms(&self) -> u64 {
        u64::try_from(self.deadline.saturating_sub(boot_time()).as_millis()).unwrap_or(u64::MAX)
    }

    fn pick(&self) -> Option<Rc<Endpoint>> {
        Some(self.choose(&self.tried, self.token_ms())?.endpoint)
    }

    fn choose(&self, tried: &[Name], token_ms: Option<f64>) -> Option<Choice> {
        self.with_context(tried, token_ms, pick::choose)
    }

    /// Calls a function of [`pick`] with the endpoints of the service.
    fn with_context<T>(
        &self,
        tried: &[Name],
        token_ms: Option<f64>,
        function: impl Fn(&PickContext<'_>, &[Rc<Endpoint>]) -> T,
    ) -> T {
        with_context(&self.entry, &self.routed(), tried, token_ms, function)
    }

    fn routed(&self) -> Routed<'_> {
        Routed {
            route: &self.route,
            metadata: &self.metadata,
            service: &self.service,
            workspace: self.workspace.as_deref(),
            path: self.head.uri.path(),
            model: self.model.as_deref(),
        }
    }

    /// Records the use of the shared beginning of the prompt by a send.
    pub fn record_use(&self) {
        let Some(key) = self.routed().prefix_key() else { return };
        let mut kept = self.entry.kept.borrow_mut();
        let uses = kept.entry(self.service.clone()).or_default();
        uses.record(key, self.metadata.prompt_tokens, boot_time());
    }

    /// Returns the model of the next send, or `None` if the client chose it.
    pub fn choose_model(&self) -> Option<Name> {
        choose_model(&self.metadata, &self.route, self.model_index)
    }

    /// Expected prefill time of the prompt without cached tokens.
    pub fn prefill_ms(&self) -> f64 {
        self.metadata.prompt_tokens as f64 * self.token_ms().unwrap_or(0.0)
    }

    /// Acquires a permit if the prompt is long, the route is not of the most urgent rank and there is a
    /// limit. Waits until half of the target latency at most.
    pub async fn acquire_prefill_permit(&self) -> Option<PrefillPermit> {
        if self.route.rank == 0 || self.prefill_ms() < prefill::LONG_PREFILL_MS {
            return None;
        }
        let target = self.arrived + Duration::from_millis(self.route.target_ms) / 2;
        let (limiter, permits) = self.entry.prefill_limiter(&self.service)?;
        Some(limiter.acquire(permits, target.saturating_sub(boot_time())).await)
    }

    /// Prefill time per prompt token of the latest send's model; `None` if the entry chose no model.
    fn token_ms(&self) -> Option<f64> {
        Some(self.entry.token_ms(&self.service, self.model.as_ref()?))
    }

    /// Decides whether the answer is dropped and the request sent to a larger model.
    fn escalate(&mut self, sent: &Sent) -> bool {
        let Some((confidence, model)) = sent.reply.confidence.zip(self.model.clone()) else {
            return false;
        };
        let (next, token_ms) = {
            let mut cascades = self.entry.cascades.borrow_mut();
            let cascade = cascades.entry(self.service.clone()).or_default();
            if let Some(smaller) = self.smaller_model.take() {
                cascade.observe_confidence(&smaller, confidence);
            }
            let models = &self.route.models;
            let Some(next) =
                cascade.next_model(models, self.model_index, confidence, self.route.rank)
            else {
                return false;
            };
            (next, cascade.token_ms(&models[next]))
        };
        let waited_ms = boot_time().saturating_sub(self.arrived).as_secs_f64() * 1_000.0;
        let estimate = self.choose(&[], Some(token_ms)).map(|choice| {
            let wait_ms = waited_ms + choice.wait_ms;
            AnswerEstimate { wait_ms, answer_ms: wait_ms + choice.prefill_ms }
        });
        let (rank, target_ms) = (self.route.rank, self.route.target_ms);
        let allowed = self.runs < self.route.attempts
            && self.route.is_repeatable()
            && self.has_lease()
            && !self.entry.quarantine.borrow().is_suspect(&self.shared_parts())
            && estimate
                .is_some_and(|estimate| estimate.is_in_time(rank, target_ms, self.left_ms()))
            && self.entry.has_spare_budget(&self.service)
            && self.entry.take_second_send(&self.service);
        info!(self.entry.log, "model has low confidence in its answer"; "request" => &self.metadata.id,
            "model" => &*model, "confidence" => confidence,
            "next" => &*self.route.models[next],
            "expected_wait_ms" => estimate.map(|estimate| estimate.wait_ms),
            "expected_ms" => estimate.map(|estimate| estimate.answer_ms), "target_ms" => target_ms,
            "escalates" => allowed);
        if allowed {
            self.smaller_model = (next == self.model_index + 1).then_some(model);
            self.model_index = next;
            self.may_have_run = true;
            self.tried.clear();
        }
        allowed
    }

    /// Records and logs a failure of an endpoint.
    pub fn record_endpoint_failure(&self, endpoint: &Endpoint, cause: &str) {
        let ejection = endpoint.record_failure();
        if ejection.is_some() {
            self.entry.metrics.paused.inc();
        }
        info!(self.entry.log, "send failed"; "request" => &self.metadata.id,
            "endpoint" => &*endpoint.id(), "cause" => cause,
            "parts" => self.shared_parts().iter().map(|part| format!("{part:x}")).collect::<Vec<_>>().join(","),
            "pause_ms" => ejection.map(|ejection| ejection.as_millis() as u64));
    }

    /// Logs the end of the request and records its latency.
    pub fn log_end(&self, status: u16, outcome: &str) {
        let took = boot_time().saturating_sub(self.arrived);
        self.entry.metrics.whole.observe(took.as_secs_f64());
        let view = self.entry.view.borrow();
        let (endpoint, version) = self.endpoint.clone().unzip();
        info!(self.entry.log, "request ended"; "request" => &self.metadata.id, "status" => status,
            "outcome" => outcome, "route" => &*self.route.name, "service" => &*self.service,
            "endpoint" => endpoint.as_deref(), "version" => version.as_deref(),
            "model" => self.model.as_deref(), "confidence" => self.confidence,
            "sends" => self.sends, "runs" => self.runs,
            "prompt_tokens" => self.metadata.prompt_tokens,
            "first_ms" => self.first_at.map(|at| (at - self.arrived).as_millis() as u64),
            "last_event" => self.last_event, "ms" => took.as_millis() as u64, "left_ms" => self.left_ms(),
            "stopping" => self.entry.stopping.get().is_some(),
            "configuration" => view.number(),
            "confirmed_ms" => view.age().map(|age| age.as_millis() as u64));
    }
}
