//! Calls to plain services: `POST /v1/services/{service}/{path}`.
//!
//! The record of a call is committed before the call is sent. A run-once call is sent at most
//! once: after a failure its outcome is unknown.

use std::sync::Arc;
use std::time::Duration;
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
use hickoryreel_base::name::Service;
use hickoryreel_base::server;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Stored;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Role;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;

use crate::authority;
use crate::authority::Caller;
use crate::run::App;
use crate::stream;

/// Longest time for a call to a plain service.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest answer that is kept for resends, in bytes.
const MAX_STORED: usize = 4 << 10;

/// Handles a call to a plain service.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    Ok(call(state).await.unwrap_or_else(|error| server::error_response(&error)))
}

async fn call(state: &mut State) -> error::Result<Response<Body>> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    app.blackboard.check_lease(Instant::now())?;
    let routing = app.blackboard.routing();
    let caller = authority::caller(HeaderMap::borrow_from(state), &routing)?;
    let path = Uri::borrow_from(state).path().to_owned();
    let (service, path) = split(&path)?;
    if !caller.terms.services.contains(&service) {
        let message = format!("workspace {} may not use service {service}", caller.workspace);
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let terms = routing.active.as_ref().and_then(|bundle| bundle.services.get(&service));
    let run_once = terms.is_none_or(|terms| terms.is_run_once(path));
    let body = state.take::<Body>();
    let body = server::read_body(body, app.settings.max_body, app.settings.body_timeout).await?;
    let endpoint = instance(&app, &service)?;
    let key = Key { workspace: caller.workspace.clone(), request: caller.request.clone() };
    let open = Open {
        key: key.clone(),
        holder: app.holder.clone(),
        target: Target::Service(service),
        endpoint: endpoint.endpoint.clone(),
        run_once,
        session: None,
        digest: stream::digest(&body),
    };
    match app.records.submit(RecordChange::Open(open)).await? {
        Outcome::Opened | Outcome::Repeat => {}
        Outcome::Answered(stored) => return Ok(answer(&stored)),
        Outcome::Refused(error) => return Err(error),
        Outcome::Pinned(_) | Outcome::Closed => {
            return Err(Error::new(Kind::Internal, "the outcome does not fit the open"));
        }
    }
    let sent = send(&app, &endpoint, path, &caller, body).await;
    let close = Close {
        key,
        holder: app.holder.clone(),
        end: end(&sent),
        answer: sent.as_ref().ok().and_then(kept),
    };
    app.records.submit(RecordChange::Close(close)).await?;
    sent.map(|stored| answer(&stored))
}

fn split(path: &str) -> error::Result<(Service, &str)> {
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service
        .parse()
        .map_err(|cause| Error::new(Kind::MalformedRequest, format!("service name: {cause}")))?;
    Ok((service, path))
}

fn instance(app: &App, service: &Service) -> error::Result<Announcement> {
    let endpoints = app.blackboard.endpoints();
    let serves = |role: &Role| matches!(role, Role::Service { service: found } if found == service);
    endpoints
        .values()
        .filter(|endpoint| serves(&endpoint.role) && stream::takes_work(endpoint))
        .min_by_key(|endpoint| endpoint.load.running)
        .cloned()
        .ok_or_else(|| Error::new(Kind::NoEndpoint, format!("no endpoint serves {service}")))
}

async fn send(
    app: &Arc<App>,
    endpoint: &Announcement,
    path: &str,
    caller: &Caller,
    body: Bytes,
) -> error::Result<Stored> {
    app.blackboard.check_lease(Instant::now())?;
    let request = Request::post(format!("http://{}/{path}", endpoint.address))
        .header("content-type", "application/json")
        .header("x-request-id", &*caller.request)
        .body(Full::new(body))
        .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))?;
    let exchange = async {
        let failed = |cause: &dyn std::error::Error| {
            Error::new(Kind::EndpointFailed, format!("the service failed: {cause}"))
        };
        let response = app.client.request(request).await.map_err(|cause| failed(&cause))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await.map_err(|cause| failed(&cause))?;
        let body = body.to_bytes();
        Ok(Stored { status, body: Arc::from(&*body) })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(Error::new(Kind::EndpointTimeout, "the service did not answer")))
}

fn end(sent: &error::Result<Stored>) -> End {
    match sent {
        Ok(_) => End::Answered(Usage::default()),
        Err(error) if error.kind.answer().ran == error::Ran::No => End::NotRun,
        Err(_) => End::Unknown,
    }
}

fn answer(stored: &Stored) -> Response<Body> {
    server::whole(stored.status, "application/json", Bytes::copy_from_slice(&stored.body))
}

/// Keeps an answer for resends if it is small.
fn kept(stored: &Stored) -> Option<Stored> {
    (stored.body.len() <= MAX_STORED).then(|| stored.clone())
}
