//! Streams of a run's events, from any offset, with the faults that are switched on.

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

struct Sending {
    engine: Arc<Engine>,
    run: Arc<Run>,
    offset: u64,
    sent: u64,
    silences: u64,
    ready: VecDeque<Bytes>,
}

/// A response with the events of `run` from `offset` on.
pub fn response(engine: &Arc<Engine>, run: Arc<Run>, offset: u64) -> Response<Body> {
    let silences = engine.switch.silences();
    let engine = Arc::clone(engine);
    let sending = Sending { engine, run, offset, sent: 0, silences, ready: VecDeque::new() };
    let frames = stream::unfold(Some(sending), |sending| async move {
        let mut sending = sending?;
        match sending.next().await {
            Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(sending))),
            Ok(None) => None,
            Err(cause) => Some((Err(cause), None)),
        }
    });
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, content_type);
    response
}

impl Sending {
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            let faults = self.engine.switch.now();
            if self.engine.switch.silences() > self.silences {
                std::future::pending::<()>().await;
            }
            if faults.cut_after.is_some_and(|most| self.sent >= most) {
                return Err(io::Error::other("cut by fault"));
            }
            if let Some(bytes) = self.ready.pop_front() {
                self.sent += 1;
                return Ok(Some(bytes));
            }
            if self.offset > self.run.last() {
                return Ok(None);
            }
            let wanted =
                if faults.reorder { (self.offset + 1).min(self.run.last()) } else { self.offset };
            let (tokens, cancelled) = {
                let mut progress = self.run.progress.subscribe();
                let seen = progress.wait_for(|(tokens, end)| *end || *tokens > wanted).await;
                seen.map_or((0, true), |seen| *seen)
            };
            if cancelled {
                return Err(io::Error::other("the run was cancelled"));
            }
            let last = if faults.reorder { wanted } else { tokens - 1 };
            let mut offsets: Vec<u64> = (self.offset..=last).collect();
            self.offset = last + 1;
            if faults.reorder {
                offsets.reverse();
            }
            for offset in offsets {
                let bytes = event(&self.run, offset, faults.bad_version.as_ref());
                if faults.duplicate {
                    self.ready.push_back(bytes.clone());
                }
                self.ready.push_back(bytes);
            }
        }
    }
}

/// The event at `offset`; the one after the last token carries the usage and ends the stream.
fn event(run: &Run, offset: u64, bad: Option<&hickoryreel_base::name::Version>) -> Bytes {
    let is_last = offset == run.last();
    let text = match (is_last, bad == Some(&run.version)) {
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
