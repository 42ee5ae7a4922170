//! Forwards the events of a stream, and resumes it at another endpoint when its source fails.
//!
//! Only whole events are forwarded, so that a stream can be resumed after the last one. The client
//! gets the head, with the receipt, of the first endpoint.

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
use crate::body::Chunk;
use crate::body::StreamInterrupted;
use crate::exchange;
use crate::exchange::Exchange;
use crate::forward::ActiveRequest;
use crate::in_flight::InFlight;
use crate::outcome::Delivered;
use crate::outcome::SendEnd;
use crate::send::Sent;
use crate::tally::Verdict;

/// Chunks that are buffered for a client that reads slowly.
const CHUNK_BUFFER: usize = 8;

const EVENT_END: &[u8] = b"\n\n";

/// Field of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Gap between events, in target gaps, after which a stream is resumed at another endpoint.
const MAX_TARGET_GAPS: u32 = 2;

/// Minimum gap between events after which a stream is resumed at another endpoint.
const MIN_RESUME_GAP: Duration = Duration::from_millis(1_300);

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last_id: Option<u64>,
}

impl Events {
    /// Adds bytes and returns the events that are now complete.
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

    /// Whether the last event is incomplete.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

/// Returns the response and starts a task that forwards the stream.
pub fn start(request: ActiveRequest, sent: Sent) -> Response<Body> {
    let (chunks, body) = mpsc::channel(CHUNK_BUFFER);
    let Sent { exchange, reply, in_flight } = sent;
    let Exchange { connection, response } = exchange;
    let (head, incoming) = response.into_parts();
    let mut response = Response::new(Body::chunks(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = request.entry.dialect.response_headers(&head.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    let time = boot_time().saturating_sub(request.arrived);
    request.entry.metrics.first_part.observe(time.as_secs_f64());
    let source = Source { connection, incoming, keep_alive: reply.keep_alive, in_flight };
    let relay = Relay { request, chunks, events: Events::default() };
    tokio::task::spawn_local(relay.run(source));
    response
}

struct Source {
    connection: exchange::Connection,
    incoming: Incoming,
    keep_alive: Option<Duration>,
    in_flight: InFlight,
}

struct Relay {
    request: ActiveRequest,
    chunks: mpsc::Sender<Chunk>,
    events: Events,
}

/// End of the stream from one endpoint.
enum End {
    Complete,
    /// The client has closed its connection.
    ClientGone,
    /// The endpoint failed, with the cause for the log.
    Failed(SendEnd, String),
}

impl Relay {
    async fn run(mut self, mut source: Source) {
        loop {
            let end = self.forward_events(&mut source).await;
            let (ended, cause) = match end {
                End::Complete => return self.complete(source).await,
                End::ClientGone => return self.request.log_end(499, "client left"),
                End::Failed(ended, cause) => (ended, cause),
            };
            if ended != SendEnd::DeadlineExceeded {
                self.request.record_endpoint_failure(&source.in_flight.endpoint, &cause);
                source.in_flight.record_verdict(Verdict::Neutral);
            }
            // Closes the connection, so that the endpoint stops before another one resumes.
            drop(source);
            self.events.drop_partial();
            match self.resume(ended).await {
                Some(next) => source = next,
                None => {
                    self.request.log_end(200, "broken off");
                    // Sending fails if the client has closed its connection.
                    let _ = self.chunks.send(Err(StreamInterrupted)).await;
                    return;
                }
            }
        }
    }

    /// Forwards events until the source ends.
    async fn forward_events(&mut self, source: &mut Source) -> End {
        let max_gap = Duration::from_millis(self.request.route.target_gap_ms) * MAX_TARGET_GAPS;
        let max_gap = max_gap.max(MIN_RESUME_GAP);
        loop {
            let left = self.request.deadline.saturating_sub(boot_time());
            let frame = tokio::select! {
                frame = tokio::time::timeout(left.min(max_gap), source.incoming.frame()) => frame,
                () = self.chunks.closed() => return End::ClientGone,
            };
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(cause))) => {
                    return End::Failed(SendEnd::Unknown, cause.to_string());
                }
                Ok(None) if self.events.is_partial() => {
                    let cause = "the stream ended within an event".to_owned();
                    return End::Failed(SendEnd::Unknown, cause);
                }
                Ok(None) => return End::Complete,
                Err(_) if self.request.left_ms() == 0 => {
                    return End::Failed(SendEnd::DeadlineExceeded, "out of time".to_owned());
                }
                Err(_) if self.request.route.is_repeatable() => {
                    return End::Failed(SendEnd::Unknown, "the stream pauses".to_owned());
                }
                Err(_) => continue,
            };
            source.in_flight.endpoint.record_activity();
            let Ok(data) = data else { continue };
            let Some(whole) = self.events.push(&data) else { continue };
            self.request.first_at.get_or_insert_with(boot_time);
            self.request.last_event = self.events.last_id();
            if self.chunks.send(Ok(whole)).await.is_err() {
                return End::ClientGone;
            }
        }
    }

    async fn complete(self, source: Source) {
        let Source { mut connection, keep_alive, in_flight, .. } = source;
        in_flight.record_verdict(Verdict::Success(boot_time().saturating_sub(in_flight.began)));
        in_flight.endpoint.record_success();
        if exchange::is_reusable(&mut connection).await {
            in_flight.return_connection(connection, keep_alive);
        }
        self.request.log_end(200, "answered");
    }

    /// Resumes the stream at another endpoint. Returns `None` if it can't be resumed.
    async fn resume(&mut self, ended: SendEnd) -> Option<Source> {
        let mut ended = ended;
        loop {
            if self.request.retry_or_end(ended, Delivered::Partial).is_some()
                || self.chunks.is_closed()
            {
                return None;
            }
            let after = self.events.last_id().or(self.request.metadata.after_event);
            match self.request.send(after).await {
                Ok(Sent { exchange, reply, in_flight })
                    if exchange.response.status().is_success() =>
                {
                    self.request.entry.metrics.resumed.inc();
                    info!(self.request.entry.log, "stream resumed"; "request" => &self.request.metadata.id,
                        "endpoint" => &*in_flight.endpoint.id(), "after_event" => after);
                    let Exchange { connection, response } = exchange;
                    let incoming = response.into_body();
                    return Some(Source {
                        connection,
                        incoming,
                        keep_alive: reply.keep_alive,
                        in_flight,
                    });
                }
                Ok(sent) => {
                    sent.in_flight.record_verdict(Verdict::Failure);
                    ended = SendEnd::EndpointFailed;
                }
                Err(next) => ended = next,
            }
        }
    }
}
