//! Completions: `POST /v1/completions`.
//!
//! A request waits for a slot ([`crate::scheduler`]). It is then sent to an engine while its record
//! is being committed; the first byte to the caller waits for the commit. A run that fails before
//! that byte is retried at another endpoint within the retry budget. [`crate::respond`] forwards
//! the response.

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_policy::choice::Chosen;
use hickoryreel_state::command::Revision;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Target;
use hickoryreel_wire::engine;
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::caller;
use crate::caller::Caller;
use crate::dispatch;
use crate::dispatch::Dispatch;
use crate::dispatch::DispatchResult;
use crate::open_run;
use crate::open_run::OpenRun;
use crate::pending_dispatch::PendingDispatch;
use crate::records::Record;
use crate::request_error::RequestError;
use crate::request_metrics::RequestMetrics;
use crate::respond;
use crate::respond::StartedRun;
use crate::run::App;
use crate::run_stream;
use crate::run_stream::RunStream;
use crate::scheduler::Slot;
use crate::scheduler::SlotRequest;

/// Maximum dispatches of one request that are repeated because control reported a newer session pin
/// or a newer configuration.
const MAX_CORRECTIONS: u32 = 3;

/// Maximum wait for a configuration that control reported as newer.
const NEWER_CONFIG_WAIT: Duration = Duration::from_secs(1);

/// Body of a completion request.
#[derive(Debug, Deserialize)]
struct Completion {
    /// A model, or `model/label` for a specific version. If absent, the workspace's first model is
    /// used.
    model: Option<Version>,
    prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    /// Whether to respond with server-sent events.
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    256
}

pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    let mut request_metrics = RequestMetrics::new(Arc::clone(&app));
    let result = complete(state, app, &mut request_metrics).await;
    Ok(result.unwrap_or_else(|failure| {
        request_metrics.on_error(&failure);
        failure.response()
    }))
}

async fn complete(
    state: &mut State,
    app: Arc<App>,
    request_metrics: &mut RequestMetrics,
) -> Result<Response<Body>, RequestError> {
    let arrived = Instant::now();
    app.blackboard.check_accepting()?;
    let routing = app.blackboard.routing();
    let caller = caller::authenticate(HeaderMap::borrow_from(state), &routing)?;
    request_metrics.set_caller(&caller);
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let completion: Completion = serde_json::from_slice(&body)
        .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))?;
    if !(1..=app.settings.max_tokens).contains(&completion.max_tokens) {
        let message = format!("max_tokens: expected 1 to {}", app.settings.max_tokens);
        return Err(Error::new(Kind::MalformedRequest, message).into());
    }
    let deadline = arrived + app.settings.dispatch_timeout;
    let task = Task { app, caller, completion, digest: xxh3_64(&body), deadline };
    let streamed = task.completion.stream;
    let (started_run, run_stream) = task.run().await?;
    respond::respond(started_run, run_stream, streamed, std::mem::take(request_metrics)).await
}

/// One completion, with its retries.
struct Task {
    app: Arc<App>,
    caller: Caller,
    completion: Completion,
    digest: u64,
    /// Time after which the request is not dispatched any more.
    deadline: Instant,
}

/// Outcome of one attempt: a dispatch and the commit of its record.
enum AttemptOutcome {
    /// The engine responds and the record is open.
    Answering(Box<(StartedRun, RunStream)>),
    /// The session is pinned to another version.
    Pinned(Version),
    /// The version may not be used any more: the configuration of this entry is older than that of
    /// control.
    Outdated { revision: Revision, record: Box<Option<Record>>, dispatched: bool },
    /// The dispatch failed before the first events arrived. `record` is present if it is still
    /// open.
    Failed { failure: RequestError, record: Box<Option<Record>>, endpoint: Endpoint },
}

impl Task {
    async fn run(self) -> Result<(StartedRun, RunStream), RequestError> {
        let mut pin = self.app.pins.get(&self.caller);
        let mut record = None;
        let mut tried = Vec::new();
        let mut dispatched = false;
        let (mut attempts, mut corrections) = (0, 0);
        let to_failure = |error: Error, dispatched| RequestError { error, dispatched };
        loop {
            let routing = self.app.blackboard.routing();
            let model = self.completion.model.as_ref();
            let serves = |version: &Version| self.app.scheduler.serves(version, &tried);
            let chosen = routing.choose(&self.caller, model, pin.as_ref(), &serves);
            let chosen = chosen.map_err(|error| to_failure(error, dispatched))?;
            let slot_request = self.slot_request(&chosen.version, &tried);
            let slot = self.app.scheduler.acquire(slot_request).await;
            let slot = slot.map_err(|error| to_failure(error, dispatched))?;
            attempts += 1;
            match self.dispatch(chosen, slot, record.take()).await? {
                AttemptOutcome::Answering(started) => return Ok(*started),
                AttemptOutcome::Pinned(version) if corrections < MAX_CORRECTIONS => {
                    corrections += 1;
                    dispatched = true;
                    pin = Some(version);
                }
                AttemptOutcome::Outdated {
                    revision,
                    record: open_record,
                    dispatched: was_dispatched,
                } if corrections < MAX_CORRECTIONS => {
                    corrections += 1;
                    dispatched |= was_dispatched;
                    record = *open_record;
                    self.app.blackboard.wait_for_newer(revision, NEWER_CONFIG_WAIT).await;
                }
                AttemptOutcome::Pinned(_) | AttemptOutcome::Outdated { .. } => {
                    let message = "the version for the request changed too often";
                    return Err(to_failure(Error::new(Kind::NoEndpoint, message), true));
                }
                AttemptOutcome::Failed { mut failure, record: open_record, endpoint } => {
                    dispatched |= failure.dispatched;
                    failure.dispatched = dispatched;
                    if is_local_refusal(failure.error.kind)
                        || !self.app.scheduler.take_retry(&self.caller.workspace, attempts)
                    {
                        return Err(failure);
                    }
                    tried.push(endpoint);
                    record = *open_record;
                }
            }
        }
    }

    fn slot_request(&self, version: &Version, tried: &[Endpoint]) -> SlotRequest {
        let prompt = &self.completion.prompt;
        SlotRequest {
            rank: self.caller.rank,
            workspace: self.caller.workspace.clone(),
            version: version.clone(),
            prompt_tokens: dispatch::estimated_tokens(prompt),
            max_tokens: self.completion.max_tokens,
            prefixes: dispatch::prefixes(prompt),
            bytes: prompt.len() as u64,
            tried: tried.to_vec(),
        }
    }

    /// Opens or moves the record and sends the request concurrently.
    async fn dispatch(
        &self,
        chosen: Chosen,
        slot: Slot,
        record: Option<Record>,
    ) -> Result<AttemptOutcome, RequestError> {
        let open = self.open(&chosen.version, &slot);
        let revision = open.revision;
        let run = run_stream::Run {
            id: engine::run_id(&self.caller.workspace, &self.caller.request),
            endpoint: slot.endpoint.endpoint.clone(),
            address: slot.endpoint.address,
        };
        let body = self.engine_request(&run.id, &chosen.version)?;
        let version = chosen.version.clone();
        let (app, deadline) = (Arc::clone(&self.app), self.deadline);
        let dispatch = Dispatch { run: run.clone(), version, body, deadline };
        let (mut record, moved_to) = match record {
            Some(record) => (record, Some(open)),
            None => (self.app.records.reserve(open)?, None),
        };
        let is_move = moved_to.is_some();
        let mut pending = PendingDispatch::new(dispatch::send(app, dispatch));
        record.mark_dispatched();
        let opened = pending.poll_during(record.commit(moved_to)).await;
        let moved = match open_decision(opened) {
            // Only control can tell whether this dispatch moves the session, which it may do once.
            OpenDecision::Proceed { moved } => moved,
            OpenDecision::Pinned(version) => {
                self.app.pins.put(&self.caller, &version);
                self.cancel_dispatch(pending, run).await;
                return Ok(AttemptOutcome::Pinned(version));
            }
            OpenDecision::Refused(error) if error.kind == Kind::StaleRevision => {
                self.cancel_dispatch(pending, run).await;
                let record = Box::new(is_move.then_some(record));
                return Ok(AttemptOutcome::Outdated { revision, record, dispatched: true });
            }
            OpenDecision::Refused(error) => {
                tokio::spawn(pending.discard(Arc::clone(&self.app.connection_pool), run, slot));
                return Err(RequestError { error, dispatched: true });
            }
        };
        self.app.pins.put(&self.caller, &chosen.version);
        let price = self.app.blackboard.routing().price(&chosen.version);
        let open_run =
            OpenRun::new(run, Arc::clone(&self.app.connection_pool), price, record, slot);
        let dispatch_result = pending.finish().await.0;
        Ok(self.evaluate(dispatch_result, open_run, chosen.version, moved))
    }

    /// Cancels a dispatch that is followed by another one of the same request. Waits for the engine
    /// to confirm the cancellation, because the next run has the same id and a delayed cancellation
    /// would cancel it.
    async fn cancel_dispatch(&self, pending: PendingDispatch, run: run_stream::Run) {
        drop(pending);
        open_run::cancel(Arc::clone(&self.app.connection_pool), run).await;
    }

    fn evaluate(
        &self,
        dispatch_result: DispatchResult,
        mut open_run: OpenRun,
        version: Version,
        moved: bool,
    ) -> AttemptOutcome {
        let (error, dispatched) = match dispatch_result {
            DispatchResult::Answering(run_stream, first_events, time_to_first_events) => {
                if let Some(slot) = open_run.slot() {
                    slot.on_first_token(time_to_first_events);
                }
                let prefixes = dispatch::prefixes(&self.completion.prompt);
                if !prefixes.is_empty() {
                    self.app.scheduler.on_prefixes(&open_run.run.endpoint, &prefixes);
                }
                let started_run = StartedRun {
                    app: Arc::clone(&self.app),
                    caller: self.caller.clone(),
                    open_run,
                    version,
                    moved,
                    first_events,
                    time_to_first_events,
                };
                return AttemptOutcome::Answering(Box::new((started_run, *run_stream)));
            }
            DispatchResult::NotRun(error) => (error, false),
            DispatchResult::Failed(error) => (error, true),
        };
        let endpoint = open_run.run.endpoint.clone();
        let record = Box::new(open_run.abandon(dispatched, !is_local_refusal(error.kind)));
        if error.kind == Kind::StaleRevision {
            // The newer configuration is already in force at this entry.
            return AttemptOutcome::Outdated { revision: 0, record, dispatched };
        }
        AttemptOutcome::Failed { failure: RequestError { error, dispatched }, record, endpoint }
    }

    fn open(&self, version: &Version, slot: &Slot) -> Open {
        Open {
            key: Key {
                workspace: self.caller.workspace.clone(),
                request: self.caller.request.clone(),
            },
            holder: self.app.blackboard.holder(),
            attempt: self.app.next_attempt(),
            target: Target::Version(version.clone()),
            endpoint: slot.endpoint.endpoint.clone(),
            run_once: false,
            session: self.caller.session.clone(),
            digest: self.digest,
            revision: self.app.blackboard.routing().config.revision,
            request_ms: self.caller.request_ms,
        }
    }

    fn engine_request(&self, id: &str, version: &Version) -> error::Result<Bytes> {
        dispatch::request_body(&engine::CompletionRequest {
            request_id: Cow::Borrowed(id),
            version: version.clone(),
            prompt: Cow::Borrowed(&self.completion.prompt),
            max_tokens: self.completion.max_tokens,
            priority: self.caller.rank,
        })
    }
}

/// Whether a check of this entry refused the dispatch. Such an error is not a failure of the
/// endpoint.
pub fn is_local_refusal(kind: Kind) -> bool {
    matches!(kind, Kind::NoLease | Kind::DeadlineUnmet | Kind::StaleRevision)
}

/// Consequence of the outcome of an open or move for the request.
enum OpenDecision {
    Proceed { moved: bool },
    Pinned(Version),
    Refused(Error),
}

fn open_decision(opened: error::Result<Outcome>) -> OpenDecision {
    match opened {
        Ok(Outcome::Opened | Outcome::Repeat) => OpenDecision::Proceed { moved: false },
        Ok(Outcome::Moved) => OpenDecision::Proceed { moved: true },
        Ok(Outcome::Pinned(version)) => OpenDecision::Pinned(version),
        Ok(Outcome::Refused(error)) | Err(error) => OpenDecision::Refused(error),
        Ok(Outcome::Answered(_) | Outcome::Closed | Outcome::AlreadyClosed) => {
            let message = "unexpected outcome of opening the record";
            OpenDecision::Refused(Error::new(Kind::Internal, message))
        }
    }
}
