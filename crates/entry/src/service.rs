//! One exchange with a plain service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::record::StoredAnswer;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;

use crate::authority::Caller;
use crate::dial::Failure;
use crate::dial::Permit;
use crate::run::App;
use crate::start::confirms_not_run;

/// A call to a service.
pub struct Request<'a> {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Path and query at the service.
    pub target: &'a str,
    /// Who calls.
    pub caller: &'a Caller,
    /// Body.
    pub body: Bytes,
    /// Whether the call may run only once.
    pub run_once: bool,
    /// Nothing is written after this time.
    pub until: Instant,
}

/// What came of a call.
pub enum Sent {
    /// The service's own answer, of a status below 500.
    Answered(StoredAnswer),
    /// Nothing was sent, or the service confirmed that nothing ran.
    NotRun(Error),
    /// The call may have run.
    Failed(Error),
}

/// Sends a call and reads the whole answer.
pub async fn send(app: &App, call: Request<'_>) -> Sent {
    let request = hyper::Request::post(call.target)
        .header(hyper::header::HOST, call.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .header("x-request-id", &*call.caller.request)
        .header("x-workspace", &*call.caller.workspace)
        .body(Full::new(call.body));
    let request = match request {
        Ok(request) => request,
        Err(cause) => return Sent::NotRun(Error::new(Kind::MalformedRequest, cause.to_string())),
    };
    let timeout = app.settings.call_timeout;
    let by = tokio::time::Instant::now() + timeout;
    // An idle connection may be closed by the service at the moment it is used, which would leave
    // the outcome of a run-once call unknown.
    let fresh = call.run_once;
    let permit = permit(app, call.until);
    let (response, connection) =
        match app.dial.send(call.address, request, fresh, timeout, permit).await {
            Ok(answer) => answer,
            Err(Failure::NotSent(error)) => return Sent::NotRun(error),
            Err(Failure::Sent(error)) => return Sent::Failed(error),
        };
    let status = response.status();
    if status.is_server_error() || status.is_informational() {
        let message = format!("the service answered {status}");
        if confirms_not_run(&response) {
            return Sent::NotRun(Error::new(Kind::EndpointUnavailable, message));
        }
        return Sent::Failed(Error::new(Kind::EndpointFailed, message));
    }
    let body = Limited::new(response.into_body(), app.settings.max_answer).collect();
    match tokio::time::timeout_at(by, body).await {
        Ok(Ok(body)) => {
            app.dial.keep(connection);
            let body = Arc::from(&*body.to_bytes());
            Sent::Answered(StoredAnswer { status: status.as_u16(), body })
        }
        Ok(Err(cause)) => {
            let message = format!("the answer of the service broke off: {cause}");
            Sent::Failed(Error::new(Kind::AnswerIncomplete, message))
        }
        Err(_) => {
            let message = "the answer of the service did not end in time";
            Sent::Failed(Error::new(Kind::EndpointTimeout, message))
        }
    }
}

/// Lease and dispatch deadline, asked again immediately before the write.
fn permit(app: &App, until: Instant) -> Permit {
    let blackboard = Arc::clone(&app.blackboard);
    Box::new(move || -> error::Result<()> {
        let now = Instant::now();
        if now >= until {
            return Err(Error::new(Kind::DeadlineUnmet, "the dispatch deadline has passed"));
        }
        blackboard.check_lease()
    })
}
