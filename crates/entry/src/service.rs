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

use crate::caller::Caller;
use crate::connection_pool::Failure;
use crate::connection_pool::SendCheck;
use crate::dispatch::confirms_not_run;
use crate::run::App;

/// A call to one instance of a service.
pub struct Request<'a> {
    /// Address of the instance.
    pub address: SocketAddr,
    /// Path and query at the service.
    pub target: &'a str,
    pub caller: &'a Caller,
    pub body: Bytes,
    /// Whether the call must not run more than once.
    pub run_once: bool,
    /// Time after which the call is not written any more.
    pub dispatch_deadline: Instant,
}

/// Result of one attempt to call an instance.
pub enum Attempt {
    /// The service's response, with a status below 500.
    Answered(StoredAnswer),
    /// Nothing was sent, or the service confirmed that the call did not run.
    NotRun(Error),
    /// The call may have run.
    Failed(Error),
}

/// Sends a call and reads the complete response.
pub async fn send(app: &App, call: Request<'_>) -> Attempt {
    let request = hyper::Request::post(call.target)
        .header(hyper::header::HOST, call.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .header("x-request-id", &*call.caller.request)
        .header("x-workspace", &*call.caller.workspace)
        .body(Full::new(call.body));
    let request = match request {
        Ok(request) => request,
        Err(cause) => {
            return Attempt::NotRun(Error::new(Kind::MalformedRequest, cause.to_string()));
        }
    };
    let timeout = app.settings.call_timeout;
    let deadline = tokio::time::Instant::now() + timeout;
    // The service may close an idle connection while the call is being sent, which would leave the
    // outcome of a run-once call unknown.
    let fresh = call.run_once;
    let check = send_check(app, call.dispatch_deadline);
    let (response, connection) =
        match app.connection_pool.send(call.address, request, fresh, timeout, check).await {
            Ok(answer) => answer,
            Err(Failure::NotSent(error)) => return Attempt::NotRun(error),
            Err(Failure::Sent(error)) => return Attempt::Failed(error),
        };
    let status = response.status();
    if status.is_server_error() || status.is_informational() {
        let message = format!("the service responded with status {status}");
        if confirms_not_run(&response, &connection) {
            return Attempt::NotRun(Error::new(Kind::EndpointUnavailable, message));
        }
        return Attempt::Failed(Error::new(Kind::EndpointFailed, message));
    }
    let body = Limited::new(response.into_body(), app.settings.max_response).collect();
    match tokio::time::timeout_at(deadline, body).await {
        Ok(Ok(body)) => {
            app.connection_pool.put_idle(connection);
            let body = Arc::from(&*body.to_bytes());
            Attempt::Answered(StoredAnswer { status: status.as_u16(), body })
        }
        Ok(Err(cause)) => {
            let message = format!("the response of the service is incomplete: {cause}");
            Attempt::Failed(Error::new(Kind::AnswerIncomplete, message))
        }
        Err(_) => {
            let message = "the service did not complete its response in time";
            Attempt::Failed(Error::new(Kind::EndpointTimeout, message))
        }
    }
}

/// Checks the lease and the dispatch deadline immediately before the write.
fn send_check(app: &App, dispatch_deadline: Instant) -> SendCheck {
    let blackboard = Arc::clone(&app.blackboard);
    Box::new(move || -> error::Result<()> {
        let now = Instant::now();
        if now >= dispatch_deadline {
            return Err(Error::new(Kind::DeadlineUnmet, "the dispatch deadline has passed"));
        }
        blackboard.check_lease()
    })
}
