//! Calls to plain services: `POST /v1/services/{service}/{path}`.
//!
//! The record of a call is committed before the call is sent. A run-once call is sent at most
//! once, over a fresh connection, and only while lease and dispatch deadline hold at the moment of
//! the write; after a failure that the service does not disown its outcome is unknown. The exchange
//! runs apart from the caller's connection, so that a caller who is gone does not lose the outcome.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::hyper::Uri;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::StoredAnswer;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use xxhash_rust::xxh3::xxh3_64;

use crate::authority;
use crate::authority::Caller;
use crate::completion;
use crate::fault::Fault;
use crate::records::Record;
use crate::run::App;
use crate::schedule::Grant;
use crate::schedule::Job;
use crate::service;
use crate::service::Sent;
use crate::tally::Tally;

/// Handles a call to a plain service.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    let mut tally = Tally::new(Arc::clone(&app));
    Ok(match call(state, app, &mut tally).await {
        Ok(stored) => {
            tally.ok();
            passed_on(&stored)
        }
        Err(fault) => {
            tally.fault(&fault);
            fault.response()
        }
    })
}

/// A service's answer for the caller. An empty body is sent as a stream without chunks: the server
/// takes a status of 404 or 405 with a body known to be empty for a path without a route, and
/// would answer that nothing ran.
fn passed_on(stored: &StoredAnswer) -> Response<Body> {
    let body = Bytes::copy_from_slice(&stored.body);
    let is_empty = body.is_empty();
    let mut response = server::full_response(stored.status, "application/json", body);
    if is_empty {
        let none = futures_util::stream::empty::<std::io::Result<Frame<Bytes>>>();
        *response.body_mut() = StreamBody::new(none).boxed_unsync();
    }
    response
}

async fn call(state: &mut State, app: Arc<App>, tally: &mut Tally) -> Result<StoredAnswer, Fault> {
    let arrived = Instant::now();
    app.blackboard.check_ready()?;
    let routing = app.blackboard.routing();
    let caller = authority::caller(HeaderMap::borrow_from(state), &routing)?;
    tally.caller(&caller);
    let uri = Uri::borrow_from(state).clone();
    let (service, path) = split(uri.path())?;
    let terms = routing
        .service(&service)
        .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no service {service}")))?;
    if !caller.terms.services.contains(&service) {
        let message = format!("workspace {} may not use service {service}", caller.workspace);
        return Err(Error::new(Kind::NotAllowed, message).into());
    }
    let run_once = terms.is_run_once(path);
    if run_once && !caller.states_time {
        let message = "a run-once call needs x-request-time, so that a late resend is refused";
        return Err(Error::new(Kind::MalformedRequest, message).into());
    }
    let target = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let until = arrived + app.settings.dispatch_timeout;
    let call = Call { app, caller, service, target, run_once, body, until };
    let exchange = tokio::spawn(call.run());
    exchange.await.map_err(|cause| Fault {
        error: Error::new(Kind::Internal, cause.to_string()),
        dispatched: true,
    })?
}

/// The service and the path below it. The path is passed on as it came, so a path that reads
/// differently after decoding is refused: it could pass for one that is not run-once.
fn split(path: &str) -> error::Result<(Service, &str)> {
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let malformed = |problem: &str| Error::new(Kind::MalformedRequest, problem);
    let service = service.parse().map_err(|cause| malformed(&format!("service name: {cause}")))?;
    let is_plain = |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let plain = path.is_empty() || path.trim_end_matches('/').split('/').all(is_plain);
    if !plain || path.contains(['%', '\\', ';']) {
        return Err(malformed("the path of a service call is not in its plain form"));
    }
    Ok((service, path))
}

/// A call on its way to a service.
struct Call {
    app: Arc<App>,
    caller: Caller,
    service: Service,
    target: String,
    run_once: bool,
    body: Bytes,
    until: Instant,
}

impl Call {
    async fn run(self) -> Result<StoredAnswer, Fault> {
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut dispatched = false;
        let mut record: Option<Record> = None;
        loop {
            let grant = self.app.schedule.acquire(self.job(&tried)).await;
            let grant = grant.map_err(|error| Fault { error, dispatched })?;
            attempts += 1;
            let open = self.open(&grant);
            let (mut opened, moved_to) = match record.take() {
                Some(record) => (record, Some(open)),
                None => (self.app.records.reserve(open)?, None),
            };
            let outcome = opened.commit(moved_to).await;
            match outcome.map_err(|error| Fault { error, dispatched })? {
                Outcome::Opened | Outcome::Repeat | Outcome::Moved => {}
                Outcome::Answered(stored) => return Ok(stored),
                Outcome::Refused(error) => return Err(Fault { error, dispatched }),
                Outcome::Pinned(_) | Outcome::Closed | Outcome::AlreadyClosed => {
                    let error = Error::new(Kind::Internal, "the outcome does not fit the open");
                    return Err(Fault { error, dispatched });
                }
            }
            let endpoint = grant.endpoint.endpoint.clone();
            let failed = match self.exchange(&mut opened, grant).await {
                Ok(stored) => return Ok(self.answered(opened, stored).await),
                Err(fault) => fault,
            };
            dispatched |= failed.dispatched;
            let fault = Fault { dispatched, ..failed };
            if dispatched {
                opened.dispatched();
            }
            if self.run_once || !self.app.schedule.take_retry(&self.caller.workspace, attempts) {
                return Err(fault);
            }
            tried.push(endpoint);
            record = Some(opened);
        }
    }

    /// Sends the call once.
    async fn exchange(&self, record: &mut Record, mut grant: Grant) -> Result<StoredAnswer, Fault> {
        record.dispatched();
        let request = service::Request {
            address: grant.endpoint.address,
            target: &self.target,
            caller: &self.caller,
            body: self.body.clone(),
            run_once: self.run_once,
            until: self.until,
        };
        let sent = Instant::now();
        match service::send(&self.app, request).await {
            Sent::Answered(stored) => {
                grant.on_service(sent.elapsed());
                Ok(stored)
            }
            Sent::NotRun(error) => {
                if !completion::is_own_check(error.kind) {
                    grant.on_failure();
                }
                record.undo_dispatch();
                Err(Fault { error, dispatched: false })
            }
            Sent::Failed(error) => {
                grant.on_failure();
                Err(Fault { error, dispatched: true })
            }
        }
    }

    async fn answered(&self, record: Record, stored: StoredAnswer) -> StoredAnswer {
        self.app.schedule.on_success(&self.caller.workspace);
        let small = stored.body.len() <= self.app.settings.max_stored;
        let kept = (self.run_once && small).then(|| stored.clone());
        let acknowledged = record.close(End::Answered(Usage::default()), kept);
        // The bill is visible at control with the answer, unless control is slow.
        let _ = tokio::time::timeout(self.app.settings.close_wait, acknowledged).await;
        stored
    }

    fn job(&self, tried: &[Endpoint]) -> Job {
        Job {
            rank: self.caller.rank,
            workspace: self.caller.workspace.clone(),
            version: Version::from(&*self.service),
            prompt_tokens: 0,
            max_tokens: 1,
            prefixes: Vec::new(),
            bytes: self.body.len() as u64,
            tried: tried.to_vec(),
        }
    }

    fn open(&self, grant: &Grant) -> Open {
        let caller = &self.caller;
        Open {
            key: Key { workspace: caller.workspace.clone(), request: caller.request.clone() },
            holder: self.app.blackboard.holder(),
            attempt: self.app.next_attempt(),
            target: Target::Service(self.service.clone()),
            endpoint: grant.endpoint.endpoint.clone(),
            run_once: self.run_once,
            session: None,
            digest: xxh3_64(&self.body) ^ xxh3_64(self.target.as_bytes()),
            revision: self.app.blackboard.routing().config.revision,
            request_ms: caller.request_ms,
        }
    }
}
