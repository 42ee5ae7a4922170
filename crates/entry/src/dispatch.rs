//! Dispatch of a completion to an engine, up to the first events of the response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_wire::engine;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use crate::connection_pool;
use crate::connection_pool::Connection;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::Failure;
use crate::connection_pool::SendCheck;
use crate::run::App;
use crate::run_stream;
use crate::run_stream::RunStream;

/// Result of a dispatch.
pub enum DispatchResult {
    /// The engine responds. Holds the stream, its first events and the time until they arrived.
    Answering(Box<RunStream>, Bytes, Duration),
    /// Nothing was sent, or the engine confirmed that the request did not run.
    NotRun(Error),
    /// The request was sent, but the response did not start.
    Failed(Error),
}

/// Parameters of a dispatch.
pub struct Dispatch {
    pub run: run_stream::Run,
    pub version: Version,
    /// Body of the request to the engine, from [`request_body`].
    pub body: Bytes,
    /// Time after which the request is not written any more.
    pub deadline: Instant,
}

/// Serializes the request to an engine.
pub fn request_body(completion: &engine::CompletionRequest<'_>) -> error::Result<Bytes> {
    serde_json::to_vec(completion)
        .map(Bytes::from)
        .map_err(|cause| Error::new(Kind::Internal, cause.to_string()))
}

/// Sends the request and waits for the first events. The flag is true if the run existed before.
pub async fn send(app: Arc<App>, dispatch: Dispatch) -> (DispatchResult, bool) {
    let sent_at = Instant::now();
    let Dispatch { run, version, body, deadline } = dispatch;
    let request = Request::post("/v1/completions")
        .header(hyper::header::HOST, run.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let request = match request {
        Ok(request) => request,
        Err(cause) => {
            return (DispatchResult::NotRun(Error::new(Kind::Internal, cause.to_string())), false);
        }
    };
    let check = || -> SendCheck {
        let (blackboard, version) = (Arc::clone(&app.blackboard), version.clone());
        Box::new(move || {
            let now = Instant::now();
            if now >= deadline {
                return Err(Error::new(Kind::DeadlineUnmet, "the dispatch deadline has passed"));
            }
            blackboard.check_version(&version)
        })
    };
    let timeout = app.settings.first_event_timeout;
    let source = match exchange(&app.connection_pool, run.address, request, timeout, check).await {
        Ok((response, connection)) if !response.status().is_success() => {
            return (refused(&run, &response, &connection), false);
        }
        Ok(source) => Some(source),
        Err(Failure::NotSent(error)) => return (DispatchResult::NotRun(error), false),
        // The engine may have received the request. The stream asks for the run on a new
        // connection.
        Err(Failure::Sent(_)) => None,
    };
    let joined = source.as_ref().is_some_and(|(response, _)| {
        response.headers().get(engine::RUN_HEADER).is_some_and(|value| value == engine::JOINED)
    });
    let source = source.map(|(response, connection): (Response<Incoming>, Connection)| {
        (response.into_body(), connection)
    });
    let (connection_pool, metrics) = (Arc::clone(&app.connection_pool), Arc::clone(&app.metrics));
    let mut run_stream =
        RunStream::new(run, connection_pool, metrics, app.settings.run_stream(), source);
    let result = match run_stream.next().await {
        Ok(Some(first)) => {
            DispatchResult::Answering(Box::new(run_stream), first, sent_at.elapsed())
        }
        Ok(None) => {
            DispatchResult::Failed(Error::new(Kind::EndpointFailed, "the response is empty"))
        }
        Err(error) => DispatchResult::Failed(error),
    };
    (result, joined)
}

/// Sends a request that joins its run if the run exists. A refusal on a reused connection may be a
/// late copy of the refusal of another request, so the request is sent again on a new connection.
pub async fn exchange(
    connection_pool: &ConnectionPool,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
    check: impl Fn() -> SendCheck,
) -> Result<(Response<Incoming>, Connection), Failure> {
    let copy = connection_pool::clone_request(&request);
    let (response, connection) =
        connection_pool.send(address, request, false, timeout, check()).await?;
    if !states_not_run(&response) || !connection.is_reused() {
        return Ok((response, connection));
    }
    drop(connection);
    let resent = connection_pool.send(address, copy, true, timeout, check()).await;
    // The engine may have started the run, whatever happens to the second request.
    resent.map_err(|failure| Failure::Sent(failure.into_error()))
}

fn refused(
    run: &run_stream::Run,
    response: &Response<Incoming>,
    connection: &Connection,
) -> DispatchResult {
    let message = format!("engine {} responded with status {}", run.endpoint, response.status());
    if confirms_not_run(response, connection) {
        return DispatchResult::NotRun(Error::new(Kind::EndpointUnavailable, message));
    }
    DispatchResult::Failed(Error::new(Kind::EndpointFailed, message))
}

/// Whether the endpoint's error response confirms that the request did not run. Responses name no
/// request, so that on a reused connection it may belong to an earlier one.
pub fn confirms_not_run(response: &Response<Incoming>, connection: &Connection) -> bool {
    states_not_run(response) && !connection.is_reused()
}

fn states_not_run(response: &Response<Incoming>) -> bool {
    response.headers().get(engine::RAN_HEADER).is_some_and(|value| value == "no")
}

/// Prompt length in tokens, estimated at four bytes per token.
pub fn estimated_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / 4 + 1).unwrap_or(u32::MAX)
}

/// Lengths of the hashed prompt prefixes in bytes, longest first.
const PREFIX_LENGTHS: [usize; 3] = [16 << 10, 4 << 10, 1 << 10];

/// Hash and length in tokens of each prefix of the prompt, longest first.
pub fn prefixes(prompt: &str) -> Vec<(u64, u32)> {
    let lengths = PREFIX_LENGTHS.into_iter().filter(|length| prompt.len() >= *length);
    lengths
        .map(|length| {
            let prefix = &prompt.as_bytes()[..length];
            (xxhash_rust::xxh3::xxh3_64(prefix), u32::try_from(length / 4).unwrap_or(u32::MAX))
        })
        .collect()
}
