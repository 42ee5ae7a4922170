//! Completions: `POST /v1/completions`.
//!
//! A request waits for a slot ([`crate::schedule`]), then it goes to an engine while its record is
//! being committed; the first byte to the caller waits for the record. A run that fails before a
//! byte reached the caller is tried elsewhere within the retry budget. [`crate::respond`] passes
//! the answer on.

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

use crate::answer;
use crate::answer::Answer;
use crate::authority;
use crate::authority::Caller;
use crate::fault::Fault;
use crate::records::Record;
use crate::respond;
use crate::respond::Reply;
use crate::run::App;
use crate::run_guard;
use crate::run_guard::OpenRun;
use crate::schedule::Grant;
use crate::schedule::Job;
use crate::start;
use crate::start::Dispatch;
use crate::start::Started;
use crate::starting::Starting;
use crate::tally::Tally;

/// Further dispatches of one request because control knows a newer pin of its session or a newer
/// configuration.
const MAX_CORRECTED: u32 = 3;

/// Longest wait for the configuration that control already has.
const NEWER_CONFIG_WAIT: Duration = Duration::from_secs(1);

/// Body of a caller's request.
#[derive(Debug, Deserialize)]
struct Completion {
    /// Model, or `model/label` for one version; the workspace's first model when absent.
    model: Option<Version>,
    /// The prompt.
    prompt: String,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    /// Whether to answer with server-sent events.
    #[serde(default)]
    stream: bool,
}

fn default_max_tokens() -> u32 {
    256
}

/// Handles a completion.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    let mut tally = Tally::new(Arc::clone(&app));
    let result = complete(state, app, &mut tally).await;
    Ok(result.unwrap_or_else(|fault| {
        tally.fault(&fault);
        fault.response()
    }))
}

async fn complete(
    state: &mut State,
    app: Arc<App>,
    tally: &mut Tally,
) -> Result<Response<Body>, Fault> {
    let arrived = Instant::now();
    app.blackboard.check_ready()?;
    let routing = app.blackboard.routing();
    let caller = authority::caller(HeaderMap::borrow_from(state), &routing)?;
    tally.caller(&caller);
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let completion: Completion = serde_json::from_slice(&body)
        .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))?;
    if !(1..=app.settings.max_tokens).contains(&completion.max_tokens) {
        let message = format!("max_tokens: expected 1 to {}", app.settings.max_tokens);
        return Err(Error::new(Kind::MalformedRequest, message).into());
    }
    let until = arrived + app.settings.dispatch_timeout;
    let task = Task { app, caller, completion, digest: xxh3_64(&body), until };
    let streamed = task.completion.stream;
    let (reply, answer) = task.run().await?;
    respond::respond(reply, answer, streamed, std::mem::take(tally)).await
}

/// A completion on its way to an engine.
struct Task {
    app: Arc<App>,
    caller: Caller,
    completion: Completion,
    digest: u64,
    /// Nothing is dispatched after this time.
    until: Instant,
}

/// Result of one dispatch.
enum Step {
    /// The engine answers and the record is open.
    Answering(Box<(Reply, Answer)>),
    /// The session is pinned to another version.
    Pinned(Version),
    /// The version may not be used any more; the entry's configuration is older than control's.
    Outdated { revision: Revision, record: Box<Option<Record>>, dispatched: bool },
    /// The dispatch failed before a byte of the answer; `record` stays open if it was.
    Failed { fault: Fault, record: Box<Option<Record>>, endpoint: Endpoint },
}

impl Task {
    async fn run(self) -> Result<(Reply, Answer), Fault> {
        let mut pin = self.app.pins.get(&self.caller);
        let mut record = None;
        let mut tried = Vec::new();
        let mut dispatched = false;
        let (mut attempts, mut corrected) = (0, 0);
        let late = |error: Error, dispatched| Fault { error, dispatched };
        loop {
            let routing = self.app.blackboard.routing();
            let model = self.completion.model.as_ref();
            let serves = |version: &Version| self.app.schedule.serves(version, &tried);
            let chosen = routing.choose(&self.caller, model, pin.as_ref(), &serves);
            let chosen = chosen.map_err(|error| late(error, dispatched))?;
            let job = self.job(&chosen.version, &tried);
            let grant = self.app.schedule.acquire(job).await;
            let grant = grant.map_err(|error| late(error, dispatched))?;
            attempts += 1;
            match self.dispatch(chosen, grant, record.take()).await? {
                Step::Answering(answering) => return Ok(*answering),
                Step::Pinned(version) if corrected < MAX_CORRECTED => {
                    corrected += 1;
                    dispatched = true;
                    pin = Some(version);
                }
                Step::Outdated { revision, record: kept, dispatched: sent }
                    if corrected < MAX_CORRECTED =>
                {
                    corrected += 1;
                    dispatched |= sent;
                    record = *kept;
                    self.app.blackboard.newer_than(revision, NEWER_CONFIG_WAIT).await;
                }
                Step::Pinned(_) | Step::Outdated { .. } => {
                    let message = "the version for the request keeps changing";
                    return Err(late(Error::new(Kind::NoEndpoint, message), true));
                }
                Step::Failed { mut fault, record: kept, endpoint } => {
                    dispatched |= fault.dispatched;
                    fault.dispatched = dispatched;
                    if is_own_check(fault.error.kind)
                        || !self.app.schedule.take_retry(&self.caller.workspace, attempts)
                    {
                        return Err(fault);
                    }
                    tried.push(endpoint);
                    record = *kept;
                }
            }
        }
    }

    fn job(&self, version: &Version, tried: &[Endpoint]) -> Job {
        let prompt = &self.completion.prompt;
        Job {
            rank: self.caller.rank,
            workspace: self.caller.workspace.clone(),
            version: version.clone(),
            prompt_tokens: start::estimated_tokens(prompt),
            max_tokens: self.completion.max_tokens,
            prefixes: start::prefixes(prompt),
            bytes: prompt.len() as u64,
            tried: tried.to_vec(),
        }
    }

    /// Opens or moves the record and sends the request at the same time.
    async fn dispatch(
        &self,
        chosen: Chosen,
        grant: Grant,
        record: Option<Record>,
    ) -> Result<Step, Fault> {
        let open = self.open(&chosen.version, &grant);
        let revision = open.revision;
        let run = answer::Run {
            id: engine::run_id(&self.caller.workspace, &self.caller.request),
            endpoint: grant.endpoint.endpoint.clone(),
            address: grant.endpoint.address,
        };
        let body = self.body(&run.id, &chosen.version)?;
        let version = chosen.version.clone();
        let (app, until) = (Arc::clone(&self.app), self.until);
        let dispatch = Dispatch { run: run.clone(), version, body, until };
        let (mut record, moved_to) = match record {
            Some(record) => (record, Some(open)),
            None => (self.app.records.reserve(open)?, None),
        };
        let is_move = moved_to.is_some();
        let mut starting = Starting::new(start::start(app, dispatch));
        record.dispatched();
        let opened = starting.run_during(record.commit(moved_to)).await;
        let moved = match verdict(opened) {
            // Only control knows whether this is the session's one move.
            Verdict::Proceed { moved } => moved,
            Verdict::Pinned(version) => {
                self.app.pins.put(&self.caller, &version);
                self.withdraw(starting, run).await;
                return Ok(Step::Pinned(version));
            }
            Verdict::Refused(error) if error.kind == Kind::StaleRevision => {
                self.withdraw(starting, run).await;
                let record = Box::new(is_move.then_some(record));
                return Ok(Step::Outdated { revision, record, dispatched: true });
            }
            Verdict::Refused(error) => {
                tokio::spawn(starting.discard(Arc::clone(&self.app.dial), run, grant));
                return Err(Fault { error, dispatched: true });
            }
        };
        self.app.pins.put(&self.caller, &chosen.version);
        let price = self.app.blackboard.routing().price(&chosen.version);
        let open_run = OpenRun::new(run, Arc::clone(&self.app.dial), price, record, grant);
        let started = starting.finish().await.0;
        Ok(self.settle(started, open_run, chosen.version, moved))
    }

    /// Takes back a dispatch that another one of this request follows. The cancel is awaited: the
    /// next run has the same id, and a late cancel would end it.
    async fn withdraw(&self, starting: Starting, run: answer::Run) {
        drop(starting);
        run_guard::cancel(Arc::clone(&self.app.dial), run).await;
    }

    fn settle(
        &self,
        started: Started,
        mut open_run: OpenRun,
        version: Version,
        moved: bool,
    ) -> Step {
        let (error, dispatched) = match started {
            Started::Answering(answer, first, first_after) => {
                if let Some(grant) = open_run.grant() {
                    grant.on_first(first_after);
                }
                let prefixes = start::prefixes(&self.completion.prompt);
                if !prefixes.is_empty() {
                    self.app.schedule.on_prefixes(&open_run.run.endpoint, &prefixes);
                }
                let reply = Reply {
                    app: Arc::clone(&self.app),
                    caller: self.caller.clone(),
                    open_run,
                    version,
                    moved,
                    first,
                    first_after,
                };
                return Step::Answering(Box::new((reply, *answer)));
            }
            Started::NotRun(error) => (error, false),
            Started::Failed(error) => (error, true),
        };
        let endpoint = open_run.run.endpoint.clone();
        let record = Box::new(open_run.give_up(dispatched, !is_own_check(error.kind)));
        if error.kind == Kind::StaleRevision {
            // The newer configuration is in force here already.
            return Step::Outdated { revision: 0, record, dispatched };
        }
        Step::Failed { fault: Fault { error, dispatched }, record, endpoint }
    }

    fn open(&self, version: &Version, grant: &Grant) -> Open {
        Open {
            key: Key {
                workspace: self.caller.workspace.clone(),
                request: self.caller.request.clone(),
            },
            holder: self.app.blackboard.holder(),
            attempt: self.app.next_attempt(),
            target: Target::Version(version.clone()),
            endpoint: grant.endpoint.endpoint.clone(),
            run_once: false,
            session: self.caller.session.clone(),
            digest: self.digest,
            revision: self.app.blackboard.routing().config.revision,
            request_ms: self.caller.request_ms,
        }
    }

    fn body(&self, id: &str, version: &Version) -> error::Result<Bytes> {
        start::body(&engine::CompletionRequest {
            request_id: Cow::Borrowed(id),
            version: version.clone(),
            prompt: Cow::Borrowed(&self.completion.prompt),
            max_tokens: self.completion.max_tokens,
            priority: self.caller.rank,
        })
    }
}

/// Whether the entry's own check refused the write; the endpoint has no part in it.
pub fn is_own_check(kind: Kind) -> bool {
    matches!(kind, Kind::NoLease | Kind::DeadlineUnmet | Kind::StaleRevision)
}

/// What the outcome of an open means for the request.
enum Verdict {
    Proceed { moved: bool },
    Pinned(Version),
    Refused(Error),
}

fn verdict(opened: error::Result<Outcome>) -> Verdict {
    match opened {
        Ok(Outcome::Opened | Outcome::Repeat) => Verdict::Proceed { moved: false },
        Ok(Outcome::Moved) => Verdict::Proceed { moved: true },
        Ok(Outcome::Pinned(version)) => Verdict::Pinned(version),
        Ok(Outcome::Refused(error)) | Err(error) => Verdict::Refused(error),
        Ok(Outcome::Answered(_) | Outcome::Closed | Outcome::AlreadyClosed) => {
            let message = "the outcome does not fit the open";
            Verdict::Refused(Error::new(Kind::Internal, message))
        }
    }
}
