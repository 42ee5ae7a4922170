//! HTTP server for a gotham router, with shared application state and graceful shutdown.
//!
//! gotham's `bind_server` does not track the connections that it spawns. This module serves them
//! through `hyper-util` and tracks them, so that [`serve`] returns only after the last response
//! body was sent.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::router::Router;
use gotham::service::call_handler;
use gotham::state::State;
use gotham::state::StateData;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::error;
use crate::error::Error;
use crate::error::Kind;

/// Limit for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Shared application state, available to handlers as `App::<A>::borrow_from(state)`.
#[derive(Debug)]
pub struct App<A>(pub Arc<A>);

impl<A> Clone for App<A> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<A: Send + Sync + 'static> StateData for App<A> {}

/// Serves `router` until `stop` completes, then waits for the open requests to finish.
pub async fn serve<A: Send + Sync + 'static>(
    listener: TcpListener,
    router: Router,
    app: Arc<A>,
    stop: impl Future<Output = ()>,
) {
    serve_inner(listener, router, app, stop, false).await;
}

/// Like [`serve`], but responds to paths without a route with [`Kind::NotFound`].
///
/// Only for processes that never forward responses of other servers. Otherwise an empty 404 from a
/// service that ran the work would be replaced by an error that says that nothing ran.
pub async fn serve_with_not_found_errors<A: Send + Sync + 'static>(
    listener: TcpListener,
    router: Router,
    app: Arc<A>,
    stop: impl Future<Output = ()>,
) {
    serve_inner(listener, router, app, stop, true).await;
}

async fn serve_inner<A: Send + Sync + 'static>(
    listener: TcpListener,
    router: Router,
    app: Arc<A>,
    stop: impl Future<Output = ()>,
    not_found_errors: bool,
) {
    let router = Arc::new(router);
    let graceful = GracefulShutdown::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stop => break,
        };
        let Ok((socket, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Disables Nagle's algorithm, which would delay small streamed chunks until the peer's
        // acknowledgement.
        let _ = socket.set_nodelay(true);
        let router = Arc::clone(&router);
        let app = App(Arc::clone(&app));
        let service = service_fn(move |request| {
            handle(Arc::clone(&router), app.clone(), request, peer, not_found_errors)
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(socket), service);
        tokio::spawn(graceful.watch(connection));
    }
    drop(listener);
    graceful.shutdown().await;
}

async fn handle<A: Send + Sync + 'static>(
    router: Arc<Router>,
    app: App<A>,
    request: Request<hyper::body::Incoming>,
    peer: SocketAddr,
    not_found_errors: bool,
) -> Result<Response<Body>, Infallible> {
    let mut state = State::from_request(request, peer);
    state.put(app);
    let response = call_handler(router, AssertUnwindSafe(state)).await;
    Ok(match response {
        Ok(response) if not_found_errors && is_unrouted(&response) => {
            error_response(&Error::new(Kind::NotFound, "no route for this path and method"))
        }
        Ok(response) => response,
        Err(cause) => error_response(&Error::new(Kind::Internal, cause.to_string())),
    })
}

/// Whether the response is the empty one that the router generates when no route matches.
fn is_unrouted(response: &Response<Body>) -> bool {
    matches!(response.status().as_u16(), 404 | 405) && response.body().is_end_stream()
}

/// Completes on the first SIGTERM or SIGINT.
pub async fn stop_signal() {
    use tokio::signal::unix::SignalKind;
    use tokio::signal::unix::signal;

    let terminate = async {
        match signal(SignalKind::terminate()) {
            Ok(mut stream) => stream.recv().await,
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        _ = terminate => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

/// Reads a complete body of at most `limit` bytes within `timeout`.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> error::Result<Bytes>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(timeout, read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => {
            Err(Error::new(Kind::RequestTooLarge, format!("the body is larger than {limit} bytes")))
        }
        Ok(Err(cause)) => {
            Err(Error::new(Kind::MalformedRequest, format!("cannot read the body: {cause}")))
        }
        Err(_) => Err(Error::new(
            Kind::RequestTimeout,
            format!("the body did not arrive within {} ms", timeout.as_millis()),
        )),
    }
}

/// Like [`read_body`], and parses the body as JSON.
pub async fn read_json<T: DeserializeOwned>(
    state: &mut State,
    limit: usize,
    timeout: Duration,
) -> error::Result<T> {
    let body = state.take::<Body>();
    let bytes = read_body(body, limit, timeout).await?;
    serde_json::from_slice(&bytes)
        .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))
}

/// A response whose body is completely in memory.
pub fn full_response(
    status: u16,
    content_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<Body> {
    let body = Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, hyper::header::HeaderValue::from_static(content_type));
    response
}

/// A response with `value` as JSON body.
pub fn json(status: u16, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => full_response(status, "application/json", bytes),
        Err(cause) => full_response(500, "text/plain", cause.to_string()),
    }
}

/// The response for an error, with the status and `retry-after` header of its kind.
pub fn error_response(error: &Error) -> Response<Body> {
    let answer = error.kind.answer();
    let mut response = json(answer.status, &error::Body::from(error));
    if let Some(seconds) = answer.retry_after_s {
        response.headers_mut().insert(hyper::header::RETRY_AFTER, seconds.into());
    }
    response
}
