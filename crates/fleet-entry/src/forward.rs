//! The way of one request.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use http::Request;
use http::Response;
use http::request::Parts;
use hyper::body::Incoming;
use slog::info;
use smallvec::SmallVec;

use crate::answer::Refusal;
use crate::body::Body;
use crate::bulk;
use crate::bulk::Place;
use crate::cascade::Cascade;
use crate::cascade::Outlook;
use crate::dialect::Ask;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::outcome;
use crate::outcome::Ended;
use crate::outcome::Next;
use crate::outcome::Otherwise;
use crate::outcome::Passed;
use crate::outcome::Runs;
use crate::pick;
use crate::pick::Choice;
use crate::prepare::NEWS_PATIENCE;
use crate::prepare::Prepared;
use crate::prepare::prepare;
use crate::relay;
use crate::send::Sent;

/// Time that must be left for a send to make sense, in milliseconds.
pub const LEAST_LEFT_MS: u64 = 30;

/// Sends of one request that endpoints may refuse without running it, beyond its attempts.
const REFUSED_SENDS: u32 = 2;

/// A request on its way.
pub struct Course {
    /// The entry.
    pub entry: Rc<Entry>,
    /// Head of the client's request.
    pub head: Parts,
    /// Terms.
    pub ask: Ask,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: Name,
    /// Workspace, if the route needs a key.
    pub workspace: Option<Arc<Workspace>>,
    /// When the request arrived.
    pub arrived: Duration,
    /// When the time of the request runs out.
    pub ends: Duration,
    /// Endpoints that were tried.
    pub tried: SmallVec<[Name; 4]>,
    /// Sends so far.
    pub sends: u32,
    /// Sends so far that may have run.
    pub runs: u32,
    /// Whether a send may have run the request.
    pub ran: bool,
    /// Step among the route's models of the newest send.
    step: usize,
    /// Model of the newest send, if the entry chose it.
    pub model: Option<Name>,
    /// The smaller model whose doubt the newest send shall settle.
    doubted_by: Option<Name>,
    /// Confidence of the model in the newest answer.
    pub confidence: Option<u8>,
    /// When the first event was passed on.
    pub first_at: Option<Duration>,
    /// Id of the last event that was passed on.
    pub last_event: Option<u64>,
    /// Endpoint and version of the newest send.
    pub endpoint: Option<(Name, Name)>,
}

/// Ranks of routes within one rank of workspaces.
const ROUTE_RANKS: u8 = 3;

/// Ranks of workspaces that are told apart.
const WORKSPACE_RANKS: u8 = 3;

/// Rank of a workspace that names none.
const USUAL_WORKSPACE_RANK: u8 = 1;

/// Rank of a request at endpoints, 0 to 8: the rank of the workspace goes first, and the rank of the
/// route orders requests of equal workspaces.
pub fn rank(workspace: Option<u8>, route: u8) -> u8 {
    let workspace = workspace.unwrap_or(USUAL_WORKSPACE_RANK).min(WORKSPACE_RANKS - 1);
    workspace * ROUTE_RANKS + route.min(ROUTE_RANKS - 1)
}

/// Answers one request.
pub async fn handle(entry: Rc<Entry>, request: Request<Incoming>) -> Response<Body> {
    let guard = entry.guard();
    let arrived = boot_time();
    let (head, body) = request.into_parts();
    let mut response = match prepare(&entry, head, body, arrived).await {
        Ok(course) => course.run().await,
        Err((refusal, id)) => {
            let view = entry.view.borrow();
            info!(entry.log, "request refused"; "request" => id, "reason" => ?refusal,
                "configuration" => view.number(),
                "confirmed_ms" => view.age().map(|age| age.as_millis() as u64));
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

impl Course {
    /// A request that arrived at `arrived` and has until `ends`.
    pub fn new(entry: Rc<Entry>, prepared: Prepared, arrived: Duration, ends: Duration) -> Self {
        let Prepared { head, ask, body, route, service, workspace } = prepared;
        Self {
            entry,
            head,
            ask,
            body,
            route,
            service,
            workspace,
            arrived,
            ends,
            tried: SmallVec::new(),
            sends: 0,
            runs: 0,
            ran: false,
            step: 0,
            model: None,
            doubted_by: None,
            confidence: None,
            first_at: None,
            last_event: None,
            endpoint: None,
        }
    }

    /// Sends the request until it is answered or given up.
    async fn run(mut self) -> Response<Body> {
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
                    match self.whole(sent).await {
                        Ok(response) if response.status().is_server_error() => {
                            failed = Some(response);
                            Ended::FailedThere
                        }
                        Ok(response) => {
                            self.note(response.status().as_u16(), "answered");
                            return response;
                        }
                        Err(ended) => ended,
                    }
                }
                Err(ended) => ended,
            };
            if let Some(otherwise) = self.after(ended, Passed::Nothing) {
                return self.conclude(otherwise, failed);
            }
        }
    }

    /// Decides after a failed send. `None` to send again, otherwise how the request ends.
    pub fn after(&mut self, ended: Ended, passed: Passed) -> Option<Otherwise> {
        if matches!(ended, Ended::Unknown | Ended::FailedThere | Ended::OutOfTime) && self.sends > 0
        {
            self.ran = true;
        }
        let runs = if self.route.is_repeatable() { Runs::Repeatable } else { Runs::Once };
        match outcome::next(ended, runs, passed, self.ran) {
            Next::End(otherwise) => Some(otherwise),
            Next::Again(otherwise) => {
                let attempts = self.route.attempts.max(1);
                let allowed = self.runs < attempts
                    && self.sends < attempts + REFUSED_SENDS
                    && self.left_ms() > LEAST_LEFT_MS
                    && self.has_endpoint()
                    && self.entry.take_second_send(&self.service);
                (!allowed).then_some(otherwise)
            }
        }
    }

    fn conclude(&self, otherwise: Otherwise, failed: Option<Response<Body>>) -> Response<Body> {
        let refusal = match otherwise {
            Otherwise::Refuse(refusal) => refusal,
            Otherwise::PassOn | Otherwise::BreakOff => {
                if let Some(response) = failed {
                    self.note(response.status().as_u16(), "failed at the endpoint");
                    return response;
                }
                Refusal::Unknown
            }
        };
        let refusal = match refusal {
            Refusal::TimedOut if !self.ran => Refusal::TooLate,
            other => other,
        };
        self.note(refusal.answer().0.as_u16(), &format!("{refusal:?}"));
        refusal.response()
    }

    /// Milliseconds until the time of the request runs out.
    pub fn left_ms(&self) -> u64 {
        u64::try_from(self.ends.saturating_sub(boot_time()).as_millis()).unwrap_or(u64::MAX)
    }

    fn has_endpoint(&self) -> bool {
        self.pick().is_some()
    }

    /// Picks an endpoint, and waits a while for the first one to announce itself.
    pub async fn pick_in_time(&self) -> Option<Rc<Endpoint>> {
        let until = boot_time() + Duration::from_millis(self.left_ms() / 3).min(NEWS_PATIENCE);
        loop {
            let news = self.entry.news.notified();
            let picked = self.pick();
            if picked.is_some() || self.sends > 0 {
                return picked;
            }
            let left = until.saturating_sub(boot_time());
            if tokio::time::timeout(left, news).await.is_err() {
                return None;
            }
        }
    }

    fn pick(&self) -> Option<Rc<Endpoint>> {
        Some(self.choose(&self.tried, self.token_ms())?.endpoint)
    }

    fn choose(&self, tried: &[Name], token_ms: Option<f64>) -> Option<Choice> {
        let view = self.entry.view.borrow();
        let directory = self.entry.directory.borrow();
        let is_near = |zone: &str| self.entry.is_near(zone);
        let case = pick::Case {
            route: &self.route,
            ask: &self.ask,
            service: &self.service,
            roll_outs: &view.roll_outs,
            tried,
            entries: self.entry.entries.get(),
            token_ms,
            is_near: &is_near,
        };
        pick::choose(&case, directory.of(&self.service))
    }

    /// The model of the next send, if the entry chooses it.
    pub fn choose_model(&self) -> Option<Name> {
        if !self.ask.any_model {
            return None;
        }
        self.route.models.get(self.step).cloned()
    }

    /// Expected reading time of the prompt, in milliseconds.
    pub fn reading_ms(&self) -> f64 {
        self.ask.prompt_tokens as f64 * self.token_ms().unwrap_or(0.0)
    }

    /// A place for a long prompt that has time to wait for one.
    pub async fn place(&self) -> Option<Place> {
        if self.route.rank == 0 || self.reading_ms() < bulk::LONG_MS {
            return None;
        }
        let target = self.arrived + Duration::from_millis(self.route.target_ms) / 2;
        let (places, count) = self.entry.places(&self.service);
        Some(places.take(count, target.saturating_sub(boot_time())).await)
    }

    /// Time in which the model of the newest send reads a prompt token, in milliseconds; `None`
    /// for plain services.
    fn token_ms(&self) -> Option<f64> {
        let cascades = self.entry.cascades.borrow();
        let cascade = cascades.get(&self.service);
        let model = self.model.as_ref()?;
        Some(cascade.map_or_else(|| Cascade::default().token_ms(model), |one| one.token_ms(model)))
    }

    /// Whether the answer is dropped and a larger model asked.
    fn escalate(&mut self, sent: &Sent) -> bool {
        let Some((confidence, model)) = sent.reply.confidence.zip(self.model.clone()) else {
            return false;
        };
        let (next, token_ms) = {
            let mut cascades = self.entry.cascades.borrow_mut();
            let cascade = cascades.entry(self.service.clone()).or_default();
            if let Some(smaller) = self.doubted_by.take() {
                cascade.learn(&smaller, confidence);
            }
            let models = &self.route.models;
            let Some(next) = cascade.next(models, self.step, confidence, self.route.rank) else {
                return false;
            };
            (next, cascade.token_ms(&models[next]))
        };
        let waited_ms = boot_time().saturating_sub(self.arrived).as_secs_f64() * 1_000.0;
        let outlook = self.choose(&[], Some(token_ms)).map(|choice| {
            let wait_ms = waited_ms + choice.wait_ms;
            Outlook { wait_ms, answer_ms: wait_ms + choice.reading_ms }
        });
        let (rank, target_ms) = (self.route.rank, self.route.target_ms);
        let allowed = self.runs < self.route.attempts
            && self.route.is_repeatable()
            && outlook.is_some_and(|one| one.is_good(rank, target_ms, self.left_ms()))
            && self.entry.has_spare_budget(&self.service)
            && self.entry.take_second_send(&self.service);
        info!(self.entry.log, "model doubts its answer"; "request" => &self.ask.id,
            "model" => &*model, "confidence" => confidence,
            "next" => &*self.route.models[next], 
            "expected_wait_ms" => outlook.map(|one| one.wait_ms),
            "expected_ms" => outlook.map(|one| one.answer_ms), "target_ms" => target_ms,
            "escalates" => allowed);
        if allowed {
            self.doubted_by = (next == self.step + 1).then_some(model);
            self.step = next;
            self.ran = true;
            self.tried.clear();
        }
        allowed
    }

    /// Notes a failure of an endpoint.
    pub fn fault(&self, endpoint: &Endpoint, cause: &str) {
        let pause = endpoint.failed();
        if pause.is_some() {
            self.entry.metrics.paused.inc();
        }
        info!(self.entry.log, "send failed"; "request" => &self.ask.id,
            "endpoint" => &*endpoint.id(), "cause" => cause,
            "pause_ms" => pause.map(|pause| pause.as_millis() as u64));
    }

    /// Notes the end of the request.
    pub fn note(&self, status: u16, outcome: &str) {
        let took = boot_time().saturating_sub(self.arrived);
        self.entry.metrics.whole.observe(took.as_secs_f64());
        let view = self.entry.view.borrow();
        let (endpoint, version) = self.endpoint.clone().unzip();
        info!(self.entry.log, "request ended"; "request" => &self.ask.id, "status" => status,
            "outcome" => outcome, "route" => &*self.route.name, "service" => &*self.service,
            "endpoint" => endpoint.as_deref(), "version" => version.as_deref(),
            "model" => self.model.as_deref(), "confidence" => self.confidence,
            "sends" => self.sends, "runs" => self.runs,
            "prompt_tokens" => self.ask.prompt_tokens,
            "first_ms" => self.first_at.map(|at| (at - self.arrived).as_millis() as u64),
            "last_event" => self.last_event, "ms" => took.as_millis() as u64, "left_ms" => self.left_ms(),
            "configuration" => view.number(),
            "confirmed_ms" => view.age().map(|age| age.as_millis() as u64));
    }
}
