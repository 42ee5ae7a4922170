//! Passes an engine's answer on to the caller, as a stream or as a whole.

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

use crate::answer::Answer;
use crate::authority::Caller;
use crate::events::Scanner;
use crate::fault::Fault;
use crate::records::Acknowledged;
use crate::run::App;
use crate::run_guard::OpenRun;
use crate::tally::Tally;

/// End of every whole stream. It is written by the entry, so that a stream that broke off never
/// carries it.
const DONE: Bytes = Bytes::from_static(b"data: [DONE]\n\n");

/// An answer whose first events are there and whose record is open.
pub struct Reply {
    /// Shared values.
    pub app: Arc<App>,
    /// Who asked.
    pub caller: Caller,
    /// The run.
    pub open_run: OpenRun,
    /// Version that answers.
    pub version: Version,
    /// Whether the session left its version.
    pub moved: bool,
    /// The first events.
    pub first: Bytes,
    /// When they came, after the dispatch.
    pub first_after: Duration,
}

/// Answers the caller.
pub async fn respond(
    reply: Reply,
    answer: Answer,
    streamed: bool,
    tally: Tally,
) -> Result<Response<Body>, Fault> {
    let moved = reply.moved;
    let mut response =
        if streamed { stream(reply, answer, tally) } else { whole(reply, answer, tally).await? };
    if moved {
        response.headers_mut().insert("x-session-moved", HeaderValue::from_static("true"));
    }
    Ok(response)
}

/// A stream to the caller. Dropping it drops the run, which cancels it and closes its record.
struct Streaming {
    reply: Option<Reply>,
    answer: Answer,
    tally: Tally,
    stage: Stage,
    last: Instant,
    close_wait: Duration,
}

enum Stage {
    First,
    Middle,
    Closing(Option<Acknowledged>),
    Broken,
}

fn stream(reply: Reply, answer: Answer, mut tally: Tally) -> Response<Body> {
    tally.first_token();
    tally.streaming();
    let close_wait = reply.app.settings.close_wait;
    let streaming = Streaming {
        reply: Some(reply),
        answer,
        tally,
        stage: Stage::First,
        last: Instant::now(),
        close_wait,
    };
    let frames = stream::unfold(streaming, Streaming::step);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static("text/event-stream");
    headers.insert(hyper::header::CONTENT_TYPE, content_type);
    headers.insert(hyper::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

impl Streaming {
    async fn step(mut self) -> Option<(io::Result<Frame<Bytes>>, Self)> {
        match std::mem::replace(&mut self.stage, Stage::Middle) {
            Stage::First => {
                let first = std::mem::take(&mut self.reply.as_mut()?.first);
                Some((Ok(Frame::data(first)), self))
            }
            Stage::Middle => Some(self.middle().await),
            Stage::Closing(acknowledged) => {
                let wait = self.close_wait;
                if let Some(acknowledged) = acknowledged {
                    // The bill is visible at control when the body ends, unless control is slow.
                    let _ = tokio::time::timeout(wait, acknowledged).await;
                }
                None
            }
            Stage::Broken => {
                // The error event is flushed before the connection is closed without an end.
                tokio::task::yield_now().await;
                self.stage = Stage::Broken;
                Some((Err(io::Error::other("the answer is incomplete")), self))
            }
        }
    }

    async fn middle(mut self) -> (io::Result<Frame<Bytes>>, Self) {
        match self.answer.next().await {
            Ok(Some(bytes)) => {
                let now = Instant::now();
                self.tally.between_tokens(now - self.last);
                self.last = now;
                (Ok(Frame::data(bytes)), self)
            }
            Ok(None) => {
                let acknowledged = self.finish();
                self.stage = Stage::Closing(acknowledged);
                (Ok(Frame::data(DONE)), self)
            }
            Err(error) => {
                let fault = Fault { error, dispatched: true };
                self.tally.fault(&fault);
                if let Some(grant) = self.reply.take().as_mut().and_then(|r| r.open_run.grant()) {
                    grant.on_failure();
                }
                self.stage = Stage::Broken;
                (Ok(Frame::data(fault.event())), self)
            }
        }
    }

    fn finish(&mut self) -> Option<Acknowledged> {
        let reply = self.reply.take()?;
        let usage = self.answer.usage()?;
        self.tally.ok();
        close(reply, usage, self.answer.received())
    }
}

/// Records a success and closes the record.
fn close(mut reply: Reply, usage: engine::Usage, pieces: u64) -> Option<Acknowledged> {
    if let Some(grant) = reply.open_run.grant() {
        grant.on_end(reply.first_after, pieces);
    }
    reply.app.schedule.on_success(&reply.caller.workspace);
    reply.open_run.finish(usage)
}

async fn whole(
    mut reply: Reply,
    mut answer: Answer,
    mut tally: Tally,
) -> Result<Response<Body>, Fault> {
    tally.first_token();
    let mut text = Text::new(reply.app.settings.max_event);
    let mut next = Some(std::mem::take(&mut reply.first));
    while let Some(bytes) = next {
        text.push(&bytes);
        next = answer.next().await.map_err(|error| {
            if let Some(grant) = reply.open_run.grant() {
                grant.on_failure();
            }
            let fault = Fault { error, dispatched: true };
            tally.fault(&fault);
            fault
        })?;
    }
    let usage = answer.usage().ok_or_else(|| {
        let error = Error::new(Kind::AnswerIncomplete, "the answer has no usage");
        Fault { error, dispatched: true }
    })?;
    let body = json!({
        "id": reply.caller.request,
        "model": reply.version,
        "choices": [{"index": 0, "text": text.text, "finish_reason": text.finish_reason}],
        "usage": usage,
    });
    let wait = reply.app.settings.close_wait;
    tally.ok();
    if let Some(acknowledged) = close(reply, usage, answer.received()) {
        let _ = tokio::time::timeout(wait, acknowledged).await;
    }
    Ok(server::json(200, &body))
}

/// Puts the text of an answer together.
struct Text {
    scanner: Scanner,
    text: String,
    finish_reason: Option<String>,
}

impl Text {
    fn new(max_event: usize) -> Self {
        Self { scanner: Scanner::new(max_event), text: String::new(), finish_reason: None }
    }

    fn push(&mut self, bytes: &Bytes) {
        let mut events = Vec::new();
        // The answer passes only whole events that it parsed before.
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
