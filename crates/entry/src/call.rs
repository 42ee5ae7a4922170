//! Calls to plain services: `POST /v1/services/{service}/{path}`.
//!
//! The record of a call is committed before the call is sent. A run-once call is sent at most once,
//! over a new connection, and only if the lease and the dispatch deadline hold immediately before
//! the write. If it then fails and the service does not confirm that it did not run, its outcome is
//! unknown. The exchange runs in its own task, so that its outcome is recorded even if the caller
//! disconnects.

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

use crate::caller;
use crate::caller::Caller;
use crate::completion;
use crate::records::Record;
use crate::request_error::RequestError;
use crate::request_metrics::RequestMetrics;
use crate::run::App;
use crate::scheduler::Slot;
use crate::scheduler::SlotRequest;
use crate::service;
use crate::service::Attempt;

pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    let mut request_metrics = RequestMetrics::new(Arc::clone(&app));
    Ok(match call(state, app, &mut request_metrics).await {
        Ok(stored) => {
            request_metrics.on_success();
            response(&stored)
        }
        Err(failure) => {
            request_metrics.on_error(&failure);
            failure.response()
        }
    })
}

/// Builds the response to the caller. An empty body is sent as a stream without chunks, because the
/// server takes a response of status 404 or 405 with a body known to be empty for a path without a
/// route, and would tell the caller that the call did not run.
fn response(stored: &StoredAnswer) -> Response<Body> {
    let body = Bytes::copy_from_slice(&stored.body);
    let is_empty = body.is_empty();
    let mut response = server::full_response(stored.status, "application/json", body);
    if is_empty {
        let empty_stream = futures_util::stream::empty::<std::io::Result<Frame<Bytes>>>();
        *response.body_mut() = StreamBody::new(empty_stream).boxed_unsync();
    }
    response
}

async fn call(
    state: &mut State,
    app: Arc<App>,
    request_metrics: &mut RequestMetrics,
) -> Result<StoredAnswer, RequestError> {
    let arrived = Instant::now();
    app.blackboard.check_accepting()?;
    let routing = app.blackboard.routing();
    let caller = caller::authenticate(HeaderMap::borrow_from(state), &routing)?;
    request_metrics.set_caller(&caller);
    let uri = Uri::borrow_from(state).clone();
    let (service, path) = parse_path(uri.path())?;
    let service_config = routing
        .service(&service)
        .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no service {service}")))?;
    if !caller.workspace_config.services.contains(&service) {
        let message = format!("workspace {} may not use service {service}", caller.workspace);
        return Err(Error::new(Kind::NotAllowed, message).into());
    }
    let run_once = service_config.is_run_once(path);
    if run_once && !caller.has_request_time {
        let message = "a run-once call needs x-request-time, so that a late resend is refused";
        return Err(Error::new(Kind::MalformedRequest, message).into());
    }
    let target = match uri.query() {
        Some(query) => format!("/{path}?{query}"),
        None => format!("/{path}"),
    };
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let dispatch_deadline = arrived + app.settings.dispatch_timeout;
    let call = Call { app, caller, service, target, run_once, body, dispatch_deadline };
    let exchange = tokio::spawn(call.run());
    exchange.await.map_err(|cause| RequestError {
        error: Error::new(Kind::Internal, cause.to_string()),
        dispatched: true,
    })?
}

/// Splits a request path into the service and the path below it. The path is forwarded unchanged,
/// so a path that changes when it is decoded or normalized is refused: it could bypass the list of
/// run-once paths.
fn parse_path(path: &str) -> error::Result<(Service, &str)> {
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let malformed = |problem: &str| Error::new(Kind::MalformedRequest, problem);
    let service = service.parse().map_err(|cause| malformed(&format!("service name: {cause}")))?;
    let is_normal_segment =
        |segment: &str| !segment.is_empty() && segment != "." && segment != "..";
    let is_normalized =
        path.is_empty() || path.trim_end_matches('/').split('/').all(is_normal_segment);
    if !is_normalized || path.contains(['%', '\\', ';']) {
        return Err(malformed("the path of a service call is not in its normalized form"));
    }
    Ok((service, path))
}

/// One call to a service, with its retries.
struct Call {
    app: Arc<App>,
    caller: Caller,
    service: Service,
    target: String,
    run_once: bool,
    body: Bytes,
    dispatch_deadline: Instant,
}

impl Call {
    async fn run(self) -> Result<StoredAnswer, RequestError> {
        let mut tried = Vec::new();
        let mut attempts = 0;
        let mut dispatched = false;
        let mut record: Option<Record> = None;
        loop {
            let slot = self.app.scheduler.acquire(self.slot_request(&tried)).await;
            let slot = slot.map_err(|error| RequestError { error, dispatched })?;
            attempts += 1;
            let open = self.open(&slot);
            let (mut opened, moved_to) = match record.take() {
                Some(record) => (record, Some(open)),
                None => (self.app.records.reserve(open)?, None),
            };
            let outcome = opened.commit(moved_to).await;
            match outcome.map_err(|error| RequestError { error, dispatched })? {
                Outcome::Opened | Outcome::Repeat | Outcome::Moved => {}
                Outcome::Answered(stored) => return Ok(stored),
                Outcome::Refused(error) => return Err(RequestError { error, dispatched }),
                Outcome::Pinned(_) | Outcome::Closed | Outcome::AlreadyClosed => {
                    let error =
                        Error::new(Kind::Internal, "unexpected outcome of opening the record");
                    return Err(RequestError { error, dispatched });
                }
            }
            let endpoint = slot.endpoint.endpoint.clone();
            let attempt_failure = match self.exchange(&mut opened, slot).await {
                Ok(stored) => return Ok(self.close_answered(opened, stored).await),
                Err(failure) => failure,
            };
            dispatched |= attempt_failure.dispatched;
            let failure = RequestError { dispatched, ..attempt_failure };
            if dispatched {
                opened.mark_dispatched();
            }
            if self.run_once || !self.app.scheduler.take_retry(&self.caller.workspace, attempts) {
                return Err(failure);
            }
            tried.push(endpoint);
            record = Some(opened);
        }
    }

    /// Sends the call to one instance.
    async fn exchange(
        &self,
        record: &mut Record,
        mut slot: Slot,
    ) -> Result<StoredAnswer, RequestError> {
        record.mark_dispatched();
        let request = service::Request {
            address: slot.endpoint.address,
            target: &self.target,
            caller: &self.caller,
            body: self.body.clone(),
            run_once: self.run_once,
            dispatch_deadline: self.dispatch_deadline,
        };
        let sent_at = Instant::now();
        match service::send(&self.app, request).await {
            Attempt::Answered(stored) => {
                slot.on_service_response(sent_at.elapsed());
                Ok(stored)
            }
            Attempt::NotRun(error) => {
                if !completion::is_local_refusal(error.kind) {
                    slot.on_failure();
                }
                record.mark_not_run();
                Err(RequestError { error, dispatched: false })
            }
            Attempt::Failed(error) => {
                slot.on_failure();
                Err(RequestError { error, dispatched: true })
            }
        }
    }

    async fn close_answered(&self, record: Record, stored: StoredAnswer) -> StoredAnswer {
        self.app.scheduler.on_success(&self.caller.workspace);
        let is_storable = stored.body.len() <= self.app.settings.max_stored_response;
        let stored_response = (self.run_once && is_storable).then(|| stored.clone());
        let close_ack = record.close(End::Answered(Usage::default()), stored_response);
        // The response is delayed until the record is closed, so that the caller sees the bill,
        // unless control is slow.
        let _ = tokio::time::timeout(self.app.settings.close_wait, close_ack).await;
        stored
    }

    fn slot_request(&self, tried: &[Endpoint]) -> SlotRequest {
        SlotRequest {
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

    fn open(&self, slot: &Slot) -> Open {
        let caller = &self.caller;
        Open {
            key: Key { workspace: caller.workspace.clone(), request: caller.request.clone() },
            holder: self.app.blackboard.holder(),
            attempt: self.app.next_attempt(),
            target: Target::Service(self.service.clone()),
            endpoint: slot.endpoint.endpoint.clone(),
            run_once: self.run_once,
            session: None,
            digest: xxh3_64(&self.body) ^ xxh3_64(self.target.as_bytes()),
            revision: self.app.blackboard.routing().config.revision,
            request_ms: caller.request_ms,
        }
    }
}
