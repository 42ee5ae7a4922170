//! Passes the events of a stream on, and continues it at another endpoint when its source fails.
//!
//! Only whole events are passed on, so a stream can be continued after the last one. The head and
//! the receipt stay those of the first endpoint.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hickoryreel_base::time::boot_time;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use memchr::memmem;
use slog::info;
use tokio::sync::mpsc;

use crate::body::Body;
use crate::body::BrokenOff;
use crate::body::Piece;
use crate::exchange;
use crate::exchange::Exchange;
use crate::flight::Flight;
use crate::forward::Course;
use crate::outcome::Ended;
use crate::outcome::Passed;
use crate::send::Sent;
use crate::tally::End;

/// Pieces that wait for a client that reads slowly.
const WAITING_PIECES: usize = 8;

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Field of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Pause of a stream, in allowed pauses, after which it is continued elsewhere.
const PAUSES: u32 = 2;

/// Least pause after which a stream is continued elsewhere.
const LEAST_PAUSE: Duration = Duration::from_millis(1_300);

/// Cuts a stream into whole events.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl Events {
    /// Adds bytes and returns the whole events among all that arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.partial.extend_from_slice(bytes);
        let end = memmem::rfind(&self.partial, EVENT_END)? + EVENT_END.len();
        let whole = self.partial.split_to(end).freeze();
        let lines = whole.split(|byte| *byte == b'\n').rev();
        let mut id = lines.filter_map(|line| {
            let value = line.strip_prefix(ID_FIELD)?;
            std::str::from_utf8(value).ok()?.trim().parse().ok()
        });
        self.last_id = id.next().or(self.last_id);
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the event that has begun.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Answers with the stream, which a task passes on.
pub fn start(course: Course, sent: Sent) -> Response<Body> {
    let (pieces, body) = mpsc::channel(WAITING_PIECES);
    let Sent { exchange, reply, flight } = sent;
    let Exchange { connection, response } = exchange;
    let (head, incoming) = response.into_parts();
    let mut response = Response::new(Body::pieces(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = course.entry.dialect.response_headers(&head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let time = boot_time().saturating_sub(course.arrived);
    course.entry.metrics.first_part.observe(time.as_secs_f64());
    let source = Source { connection, incoming, keep_alive: reply.keep_alive, flight };
    let relay = Relay { course, pieces, events: Events::default() };
    tokio::task::spawn_local(relay.run(source));
    response
}

struct Source {
    connection: exchange::Connection,
    incoming: Incoming,
    keep_alive: Option<Duration>,
    flight: Flight,
}

struct Relay {
    course: Course,
    pieces: mpsc::Sender<Piece>,
    events: Events,
}

/// How a source ended.
enum Stop {
    /// The stream is complete.
    Complete,
    /// The client is gone.
    ClientLeft,
    /// The source failed.
    Failed(Ended, String),
}

impl Relay {
    async fn run(mut self, mut source: Source) {
        loop {
            let stop = self.pass_on(&mut source).await;
            let (ended, cause) = match stop {
                Stop::Complete => return self.complete(source).await,
                Stop::ClientLeft => return self.course.note(499, "client left"),
                Stop::Failed(ended, cause) => (ended, cause),
            };
            if ended != Ended::OutOfTime {
                self.course.fault(&source.flight.endpoint, &cause);
                source.flight.judge(End::Neutral);
            }
            // The first endpoint must have stopped before another one continues.
            drop(source);
            self.events.drop_partial();
            match self.go_on(ended).await {
                Some(next) => source = next,
                None => {
                    self.course.note(200, "broken off");
                    // The client may be gone as well.
                    let _ = self.pieces.send(Err(BrokenOff)).await;
                    return;
                }
            }
        }
    }

    /// Passes events on until the source ends.
    async fn pass_on(&mut self, source: &mut Source) -> Stop {
        let pause = Duration::from_millis(self.course.route.target_gap_ms) * PAUSES;
        let pause = pause.max(LEAST_PAUSE);
        loop {
            let left = self.course.ends.saturating_sub(boot_time());
            let frame = tokio::select! {
                frame = tokio::time::timeout(left.min(pause), source.incoming.frame()) => frame,
                () = self.pieces.closed() => return Stop::ClientLeft,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(cause))) => return Stop::Failed(Ended::Unknown, cause.to_string()),
                Ok(None) if self.events.is_partial() => {
                    let cause = "the stream ended within an event".to_owned();
                    return Stop::Failed(Ended::Unknown, cause);
                }
                Ok(None) => return Stop::Complete,
                Err(_) if self.course.left_ms() == 0 => {
                    return Stop::Failed(Ended::OutOfTime, "out of time".to_owned());
                }
                Err(_) if self.course.route.is_repeatable() => {
                    return Stop::Failed(Ended::Unknown, "the stream pauses".to_owned());
                }
                Err(_) => continue,
            };
            source.flight.endpoint.hear();
            let Ok(data) = data else { continue };
            let Some(whole) = self.events.push(&data) else { continue };
            self.course.first_at.get_or_insert_with(boot_time);
            self.course.last_event = self.events.last_id();
            if self.pieces.send(Ok(whole)).await.is_err() {
                return Stop::ClientLeft;
            }
        }
    }

    async fn complete(self, source: Source) {
        let Source { mut connection, keep_alive, flight, .. } = source;
        flight.judge(End::Good(boot_time().saturating_sub(flight.began)));
        flight.endpoint.succeeded();
        if exchange::settle(&mut connection).await {
            flight.give_back(connection, keep_alive);
        }
        self.course.note(200, "answered");
    }

    /// Continues the stream at another endpoint.
    async fn go_on(&mut self, ended: Ended) -> Option<Source> {
        let mut ended = ended;
        loop {
            if self.course.after(ended, Passed::Part).is_some() || self.pieces.is_closed() {
                return None;
            }
            let after = self.events.last_id().or(self.course.ask.after_event);
            match self.course.send(after).await {
                Ok(Sent { exchange, reply, flight }) if exchange.response.status().is_success() => {
                    self.course.entry.metrics.resumed.inc();
                    info!(self.course.entry.log, "stream continues"; "request" => &self.course.ask.id,
                        "endpoint" => &*flight.endpoint.id(), "after_event" => after);
                    let Exchange { connection, response } = exchange;
                    let incoming = response.into_body();
                    return Some(Source {
                        connection,
                        incoming,
                        keep_alive: reply.keep_alive,
                        flight,
                    });
                }
                Ok(sent) => {
                    sent.flight.judge(End::Bad);
                    ended = Ended::FailedThere;
                }
                Err(next) => ended = next,
            }
        }
    }
}
