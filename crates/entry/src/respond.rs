//! Forwards the events of a run to the caller, as a stream or as one JSON document.

use std::io;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::Response;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_wire::engine;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::HeaderValue;
use serde_json::json;

use crate::caller::Caller;
use crate::events::Scanner;
use crate::open_run::OpenRun;
use crate::records::CloseAck;
use crate::request_error::RequestError;
use crate::request_metrics::RequestMetrics;
use crate::run::App;
use crate::run_stream::RunStream;

/// Last event of every complete stream. The entry writes it, not the engine, so a stream that broke
/// off never contains it.
const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// A run whose first events have arrived and whose record is open.
pub struct StartedRun {
    pub app: Arc<App>,
    pub caller: Caller,
    pub open_run: OpenRun,
    /// Version that runs the request.
    pub version: Version,
    /// Whether the session was moved to this version from another one.
    pub moved: bool,
    /// The first events of the response.
    pub first_events: Bytes,
    /// Time from the dispatch to the first events.
    pub time_to_first_events: Duration,
}

/// Responds to the caller.
pub async fn respond(
    started_run: StartedRun,
    run_stream: RunStream,
    streamed: bool,
    request_metrics: RequestMetrics,
) -> Result<Response<Body>, RequestError> {
    let moved = started_run.moved;
    let mut response = if streamed {
        respond_stream(started_run, run_stream, request_metrics)
    } else {
        respond_json(started_run, run_stream, request_metrics).await?
    };
    if moved {
        response.headers_mut().insert("x-session-moved", HeaderValue::from_static("true"));
    }
    Ok(response)
}

/// State of a stream to the caller. Dropping it drops the run, which cancels it and closes its
/// record.
struct StreamState {
    started_run: Option<StartedRun>,
    run_stream: RunStream,
    request_metrics: RequestMetrics,
    stage: Stage,
    last_event_at: Instant,
    close_wait: Duration,
}

enum Stage {
    First,
    Forwarding,
    Closing(Option<CloseAck>),
    Broken,
}

fn respond_stream(
    started_run: StartedRun,
    run_stream: RunStream,
    mut request_metrics: RequestMetrics,
) -> Response<Body> {
    request_metrics.on_first_token();
    request_metrics.on_stream_start();
    let close_wait = started_run.app.settings.close_wait;
    let state = StreamState {
        started_run: Some(started_run),
        run_stream,
        request_metrics,
        stage: Stage::First,
        last_event_at: Instant::now(),
        close_wait,
    };
    let frames = stream::unfold(state, StreamState::next_frame);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    headers.insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

impl StreamState {
    async fn next_frame(mut self) -> Option<(io::Result<Frame<Bytes>>, Self)> {
        match std::mem::replace(&mut self.stage, Stage::Forwarding) {
            Stage::First => {
                let first_events = std::mem::take(&mut self.started_run.as_mut()?.first_events);
                Some((Ok(Frame::data(first_events)), self))
            }
            Stage::Forwarding => Some(self.forward().await),
            Stage::Closing(close_ack) => {
                let wait = self.close_wait;
                if let Some(close_ack) = close_ack {
                    // The body ends after the record is closed, so that the caller sees the bill,
                    // unless control is slow.
                    let _ = tokio::time::timeout(wait, close_ack).await;
                }
                None
            }
            Stage::Broken => {
                // Lets the error event be flushed before the connection is closed without a regular
                // end.
                tokio::task::yield_now().await;
                self.stage = Stage::Broken;
                Some((Err(io::Error::other("the response is incomplete")), self))
            }
        }
    }

    async fn forward(mut self) -> (io::Result<Frame<Bytes>>, Self) {
        match self.run_stream.next().await {
            Ok(Some(bytes)) => {
                let now = Instant::now();
                self.request_metrics.on_token_gap(now - self.last_event_at);
                self.last_event_at = now;
                (Ok(Frame::data(bytes)), self)
            }
            Ok(None) => {
                let close_ack = self.finish();
                self.stage = Stage::Closing(close_ack);
                (Ok(Frame::data(DONE)), self)
            }
            Err(error) => {
                let failure = RequestError { error, dispatched: true };
                self.request_metrics.on_error(&failure);
                if let Some(slot) = self
                    .started_run
                    .take()
                    .as_mut()
                    .and_then(|started_run| started_run.open_run.slot())
                {
                    slot.on_failure();
                }
                self.stage = Stage::Broken;
                (Ok(Frame::data(failure.event())), self)
            }
        }
    }

    fn finish(&mut self) -> Option<CloseAck> {
        let started_run = self.started_run.take()?;
        let usage = self.run_stream.usage()?;
        self.request_metrics.on_success();
        close(started_run, usage, self.run_stream.received())
    }
}

/// Records the successful run and closes its record.
fn close(mut started_run: StartedRun, usage: engine::Usage, events: u64) -> Option<CloseAck> {
    if let Some(slot) = started_run.open_run.slot() {
        slot.on_complete(started_run.time_to_first_events, events);
    }
    started_run.app.scheduler.on_success(&started_run.caller.workspace);
    started_run.open_run.close(usage)
}

async fn respond_json(
    mut started_run: StartedRun,
    mut run_stream: RunStream,
    mut request_metrics: RequestMetrics,
) -> Result<Response<Body>, RequestError> {
    request_metrics.on_first_token();
    let mut collected = CollectedText::new(started_run.app.settings.max_event);
    let mut next = Some(std::mem::take(&mut started_run.first_events));
    while let Some(bytes) = next {
        collected.push(&bytes);
        next = run_stream.next().await.map_err(|error| {
            if let Some(slot) = started_run.open_run.slot() {
                slot.on_failure();
            }
            let failure = RequestError { error, dispatched: true };
            request_metrics.on_error(&failure);
            failure
        })?;
    }
    let usage = run_stream.usage().ok_or_else(|| {
        let error = Error::new(Kind::AnswerIncomplete, "the response has no usage");
        RequestError { error, dispatched: true }
    })?;
    let body = json!({
        "id": started_run.caller.request,
        "model": started_run.version,
        "choices": [{"index": 0, "text": collected.text, "finish_reason": collected.finish_reason}],
        "usage": usage,
    });
    let wait = started_run.app.settings.close_wait;
    request_metrics.on_success();
    if let Some(close_ack) = close(started_run, usage, run_stream.received()) {
        let _ = tokio::time::timeout(wait, close_ack).await;
    }
    Ok(server::json(200, &body))
}

/// Concatenates the text of the events of a run.
struct CollectedText {
    scanner: Scanner,
    text: String,
    finish_reason: Option<String>,
}

impl CollectedText {
    fn new(max_event: usize) -> Self {
        Self { scanner: Scanner::new(max_event), text: String::new(), finish_reason: None }
    }

    fn push(&mut self, bytes: &Bytes) {
        let mut events = Vec::new();
        // Cannot fail: the run stream returns only complete events that were parsed before.
        let _ = self.scanner.push(bytes, &mut events);
        for event in events {
            let fields = event.fields();
            let Ok(data) = serde_json::from_slice::<engine::Event<'_>>(&fields.data) else {
                continue;
            };
            let [choice] = data.choices;
            self.text.push_str(&choice.text);
            if let Some(reason) = choice.finish_reason {
                self.finish_reason = Some(reason.into_owned());
            }
        }
    }
}
