//! Streams the events of a run from any offset and injects the active faults.

use std::collections::VecDeque;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::Response;
use hickoryreel_wire::engine;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::HeaderValue;

use crate::engine::Engine;
use crate::engine::Run;

struct EventStream {
    engine: Arc<Engine>,
    run: Arc<Run>,
    /// Offset of the next event to read from the run.
    offset: u64,
    sent_events: u64,
    /// Value of [`crate::fault::Injector::silence_count`] when the stream was opened.
    silence_count: u64,
    /// Encoded events that are not sent yet.
    pending: VecDeque<Bytes>,
}

/// Returns a response that streams the events of `run` from `offset` on.
pub fn response(engine: &Arc<Engine>, run: Arc<Run>, offset: u64) -> Response<Body> {
    let silence_count = engine.fault_injector.silence_count();
    let engine = Arc::clone(engine);
    let events = EventStream {
        engine,
        run,
        offset,
        sent_events: 0,
        silence_count,
        pending: VecDeque::new(),
    };
    let frames = stream::unfold(Some(events), |events| async move {
        let mut events = events?;
        match events.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(events))),
            Ok(None) => None,
            Err(cause) => Some((Err(cause), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

impl EventStream {
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let faults = self.engine.fault_injector.current();
            if self.engine.fault_injector.silence_count() > self.silence_count {
                std::future::pending::<()>().await;
            }
            if faults.cut_after.is_some_and(|most| self.sent_events >= most) {
                // The server drops what it has buffered when the body fails; it flushes its buffer
                // when the body is not ready.
                tokio::task::yield_now().await;
                return Err(io::Error::other("connection broken by fault injection"));
            }
            if let Some(bytes) = self.pending.pop_front() {
                self.sent_events += 1;
                return Ok(Some(bytes));
            }
            if self.offset > self.run.last_offset() {
                return Ok(None);
            }
            let awaited = if faults.reorder {
                (self.offset + 1).min(self.run.last_offset())
            } else {
                self.offset
            };
            let (tokens, cancelled) = {
                let mut progress = self.run.progress.subscribe();
                let reached =
                    progress.wait_for(|(tokens, cancelled)| *cancelled || *tokens > awaited).await;
                reached.map_or((0, true), |reached| *reached)
            };
            if cancelled {
                return Err(io::Error::other("the run was cancelled"));
            }
            let last = if faults.reorder { awaited } else { tokens - 1 };
            let mut offsets: Vec<u64> = (self.offset..=last).collect();
            self.offset = last + 1;
            if faults.reorder {
                offsets.reverse();
            }
            for offset in offsets {
                let bytes = event(&self.run, offset, faults.bad_version.as_ref());
                if faults.duplicate {
                    self.pending.push_back(bytes.clone());
                }
                self.pending.push_back(bytes);
            }
        }
    }
}

/// Encodes the event at `offset`. The event after the last token carries the usage and ends the
/// stream.
fn event(run: &Run, offset: u64, bad_version: Option<&hickoryreel_base::name::Version>) -> Bytes {
    let is_last = offset == run.last_offset();
    let text = match (is_last, bad_version == Some(&run.version)) {
        (true, _) => String::new(),
        (false, true) => format!("nonsense{offset} "),
        (false, false) => format!("token{offset} "),
    };
    let event = engine::Event {
        id: run.id.as_str().into(),
        model: (&*run.version).into(),
        choices: [engine::Choice {
            index: 0,
            text: text.into(),
            finish_reason: is_last.then(|| "length".into()),
        }],
        usage: is_last.then_some(run.usage),
    };
    let data = serde_json::to_string(&event).unwrap_or_default();
    let end = if is_last { "data: [DONE]\n\n" } else { "" };
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n{end}"))
}
