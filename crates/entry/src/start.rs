//! Dispatch of a completion to an engine, up to the first events of the answer.

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

use crate::answer;
use crate::answer::Answer;
use crate::dial::Connection;
use crate::dial::Failure;
use crate::run::App;

/// What came of a dispatch.
pub enum Started {
    /// The engine answers; these are its first events.
    Answering(Box<Answer>, Bytes, Duration),
    /// Nothing was sent, or the engine confirmed that nothing ran.
    NotRun(Error),
    /// The request was sent and its answer did not start.
    Failed(Error),
}

/// A dispatch that may still be under way.
pub struct Dispatch {
    /// Where the run is.
    pub run: answer::Run,
    /// The version to run.
    pub version: Version,
    /// The request to the engine.
    pub body: Bytes,
    /// Nothing is written after this time.
    pub until: Instant,
}

/// The body of a dispatch.
pub fn body(start: &engine::CompletionRequest<'_>) -> error::Result<Bytes> {
    serde_json::to_vec(start)
        .map(Bytes::from)
        .map_err(|cause| Error::new(Kind::Internal, cause.to_string()))
}

/// Sends a dispatch and waits for the first events. `joined` tells whether the run existed before.
pub async fn start(app: Arc<App>, dispatch: Dispatch) -> (Started, bool) {
    let sent = Instant::now();
    let Dispatch { run, version, body, until } = dispatch;
    let request = Request::post("/v1/completions")
        .header(hyper::header::HOST, run.address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(body));
    let request = match request {
        Ok(request) => request,
        Err(cause) => {
            return (Started::NotRun(Error::new(Kind::Internal, cause.to_string())), false);
        }
    };
    let blackboard = Arc::clone(&app.blackboard);
    let permit = Box::new(move || {
        let now = Instant::now();
        if now >= until {
            return Err(Error::new(Kind::DeadlineUnmet, "the dispatch deadline has passed"));
        }
        blackboard.check_version(&version)
    });
    let timeout = app.settings.first_event_timeout;
    let source = match app.dial.send(run.address, request, false, timeout, permit).await {
        Ok((response, _)) if !response.status().is_success() => {
            return (refused(&run, &response), false);
        }
        Ok(source) => Some(source),
        Err(Failure::NotSent(error)) => return (Started::NotRun(error), false),
        // The engine may have the run: the answer asks for it on a fresh connection.
        Err(Failure::Sent(_)) => None,
    };
    let joined = source.as_ref().is_some_and(|(response, _)| {
        response.headers().get(engine::RUN_HEADER).is_some_and(|value| value == engine::JOINED)
    });
    let source = source.map(|(response, connection): (Response<Incoming>, Connection)| {
        (response.into_body(), connection)
    });
    let (dial, metrics) = (Arc::clone(&app.dial), Arc::clone(&app.metrics));
    let mut answer = Answer::new(run, dial, metrics, app.settings.answer(), source);
    let started = match answer.next().await {
        Ok(Some(first)) => Started::Answering(Box::new(answer), first, sent.elapsed()),
        Ok(None) => Started::Failed(Error::new(Kind::EndpointFailed, "the answer is empty")),
        Err(error) => Started::Failed(error),
    };
    (started, joined)
}

fn refused(run: &answer::Run, response: &Response<Incoming>) -> Started {
    let message = format!("engine {} answered {}", run.endpoint, response.status());
    if confirms_not_run(response) {
        return Started::NotRun(Error::new(Kind::EndpointUnavailable, message));
    }
    Started::Failed(Error::new(Kind::EndpointFailed, message))
}

/// Whether an endpoint confirms that a failed request did not run.
pub fn confirms_not_run(response: &Response<Incoming>) -> bool {
    response.headers().get(engine::RAN_HEADER).is_some_and(|value| value == "no")
}

/// Prompt length in tokens, estimated at four bytes a token.
pub fn estimated_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len() / 4 + 1).unwrap_or(u32::MAX)
}

/// Lengths of the prompt prefixes that are remembered, in bytes, longest first.
const PREFIXES: [usize; 3] = [16 << 10, 4 << 10, 1 << 10];

/// Hash and length in tokens of the prefixes of a prompt, longest first.
pub fn prefixes(prompt: &str) -> Vec<(u64, u32)> {
    let lengths = PREFIXES.into_iter().filter(|length| prompt.len() >= *length);
    lengths
        .map(|length| {
            let prefix = &prompt.as_bytes()[..length];
            (xxhash_rust::xxh3::xxh3_64(prefix), u32::try_from(length / 4).unwrap_or(u32::MAX))
        })
        .collect()
}
