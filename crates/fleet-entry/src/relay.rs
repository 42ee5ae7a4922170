//! Forwards the events of a stream, and resumes it at another endpoint when its source fails.
//!
//! Only whole events are forwarded, so that a stream can be resumed after the last one. The client
//! gets the head, with the receipt, of the first endpoint.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use hickoryreel_base::time::boot_time;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use memchr::memmem;
use slog::info;
use tokio::sync::mpsc;

use crate::body::Body;
use crate::body::Chunk;
use crate::body::Part;
use crate::client_memory::Account;
use crate::client_memory::Hold;
use crate::client_memory::Room;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Exchange;
use crate::forward::ActiveRequest;
use crate::forward::Obstacle;
use crate::in_flight::InFlight;
use crate::outcome::Delivered;
use crate::outcome::SendEnd;
use crate::progress::Progress;
use crate::send::Sent;
use crate::tally::Verdict;

/// Chunks that are buffered for a client that reads slowly.
const CHUNK_BUFFER: usize = 8;

const EVENT_END: &[u8] = b"\n\n";

/// Field of an event that holds its id.
const ID_FIELD: &[u8] = b"id:";

/// Begin of a line that is a comment.
const COMMENT: &[u8] = b":";

/// Begin of an answer. An endpoint that fails in a body without framing may write one into it.
const STATUS_LINE: &[u8] = b"HTTP/1.";

/// Field of an event that holds its data.
const DATA_FIELD: &[u8] = b"data:";

/// Gap between events, in target gaps, after which a stream is resumed at another endpoint.
const MAX_TARGET_GAPS: u32 = 2;

/// Minimum gap between events after which a stream is resumed at another endpoint, if its own one
/// can't be reached.
const MIN_RESUME_GAP: Duration = Duration::from_millis(1_300);

/// Further time in which an endpoint that can be reached may continue. A sound one may fall silent
/// for more than a second, and a stream that is left can't return if all others refuse it.
const REACHABLE_GAP: Duration = Duration::from_millis(1_000);

/// Delay before a stream that an endpoint refused to resume is sent to another one. It doubles with
/// each further refusal.
const REFUSED_RESUME_DELAY: Duration = Duration::from_millis(200);

/// Maximum of the delay.
const MAX_REFUSED_RESUME_DELAY: Duration = Duration::from_millis(1_600);

/// Time for which a client left no room, after which a lost connection is not held against the
/// endpoint. Endpoints abort an answer that is not read for some seconds.
const MAX_UNREAD_TIME: Duration = Duration::from_millis(1_000);

/// Time without data after which all that the endpoint sent has arrived: two round trips between
/// regions.
const MIN_IDLE_TIME: Duration = Duration::from_millis(50);

/// Time from which a wait for a client is logged and counted. Shorter ones are also caused by the
/// order in which tasks run.
const MIN_CLIENT_WAIT: Duration = Duration::from_millis(100);

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct Events {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// Whole events of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    pub bytes: Bytes,
    /// Number of new events: those with a higher id than the ones before, or with data if the events
    /// have no ids. Comments and empty events are not.
    pub progress: u64,
}

impl Events {
    /// Adds bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Batch> {
        // The end of an event may begin with the last byte of the previous read.
        let unread = self.partial.len().saturating_sub(EVENT_END.len() - 1);
        self.partial.extend_from_slice(bytes);
        let end = memmem::rfind(&self.partial[unread..], EVENT_END)? + unread + EVENT_END.len();
        let whole = self.partial.split_to(end).freeze();
        let field = |field: &'static [u8]| {
            let lines = whole.split(|byte| *byte == b'\n');
            lines.filter_map(move |line| line.strip_prefix(field))
        };
        let ids = || field(ID_FIELD).filter_map(parse_id);
        let id = ids().next_back();
        let is_new = |id| Some(id) > self.last_id;
        let progress = match id.or(self.last_id) {
            Some(_) if id > self.last_id => ids().filter(|id| is_new(*id)).count(),
            Some(_) => 0,
            None => field(DATA_FIELD).filter(|data| !data.trim_ascii().is_empty()).count(),
        };
        self.last_id = id.or(self.last_id);
        Some(Batch { bytes: whole, progress: progress as u64 })
    }

    /// Whether whole events are the rest of a stream after the event `last`: the first one that is no
    /// comment has a higher id. Without an earlier id, any events are.
    pub fn continues(events: &[u8], last: Option<u64>) -> bool {
        if last.is_none() {
            return true;
        }
        let mut rest = events;
        while let Some(end) = memmem::find(rest, EVENT_END) {
            let lines = || rest[..end].split(|byte| *byte == b'\n');
            if lines().any(|line| !line.is_empty() && !line.starts_with(COMMENT)) {
                let id = lines().find_map(|line| line.strip_prefix(ID_FIELD));
                return id.and_then(parse_id) > last;
            }
            rest = &rest[end + EVENT_END.len()..];
        }
        true
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the last event is incomplete.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Bytes of the incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Drops the incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Finds the event that begins with the status line of another answer.
fn find_status_line(events: &[u8]) -> Option<usize> {
    let ends = memmem::find_iter(events, EVENT_END).map(|end| end + EVENT_END.len());
    std::iter::once(0).chain(ends).find(|begin| events[*begin..].starts_with(STATUS_LINE))
}

/// Type of the body without parameters.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    Some(value.split(';').next().unwrap_or_default().trim().to_ascii_lowercase())
}

/// Returns the response and starts a task that forwards the stream.
pub fn start(request: ActiveRequest, sent: Sent) -> Response<Body> {
    let (chunks, body) = mpsc::channel(CHUNK_BUFFER);
    let mut response = Response::new(Body::chunks(body));
    let received = &sent.exchange.response;
    *response.status_mut() = received.status();
    *response.headers_mut() = request.entry.dialect.response_headers(received.headers());
    response.headers_mut().remove(header::CONTENT_LENGTH);
    let time = boot_time().saturating_sub(request.arrived);
    request.entry.metrics.first_part.observe(time.as_secs_f64());
    let first = (received.status(), media_type(received.headers()));
    let account = Account::new(Rc::clone(&request.entry.client_memory));
    let assembling = account.hold();
    let relay = Relay { request, chunks, account, assembling, events: Events::default(), first };
    tokio::task::spawn_local(relay.run(Source::new(sent)));
    response
}

struct Source {
    connection: exchange::Connection,
    incoming: Incoming,
    keep_alive: Option<Duration>,
    in_flight: InFlight,
    /// Whether nothing but the end of the connection marks the end of the stream.
    is_unframed: bool,
    /// Whether the head states that the body is empty.
    is_empty: bool,
    /// Whether the stream began at another endpoint.
    resumes: bool,
    /// Whether it has sent a new event.
    answered: bool,
    /// Time in which it was not read because the client left no room, since it last had nothing to
    /// read.
    unread: Duration,
}

impl Source {
    fn new(sent: Sent) -> Self {
        let Sent { exchange: Exchange { connection, response }, reply, in_flight } = sent;
        let headers = response.headers();
        let is_unframed = !headers.contains_key(header::CONTENT_LENGTH)
            && !headers.contains_key(header::TRANSFER_ENCODING);
        let incoming = response.into_body();
        Self {
            connection,
            is_empty: incoming.is_end_stream(),
            incoming,
            keep_alive: reply.keep_alive,
            in_flight,
            is_unframed,
            resumes: false,
            answered: false,
            unread: Duration::ZERO,
        }
    }

    /// Whether an end without an event means that the stream is not complete.
    fn needs_event(&self) -> bool {
        !self.answered && (self.is_unframed || (self.resumes && self.is_empty))
    }
}

/// A pause of a stream that is longer than expected.
#[derive(Default)]
struct Pause {
    is_logged: bool,
    /// Opens a connection to the endpoint. It goes on while bytes without an event arrive.
    probe: Option<Pin<Box<dyn Future<Output = bool>>>>,
    /// Whether the endpoint accepts connections, once that is known.
    reachable: Option<bool>,
}

impl Pause {
    /// Begins to find out whether the endpoint can be reached, unless that has begun.
    fn begin_probe(&mut self, endpoint: &Rc<Endpoint>) {
        if self.probe.is_none() && self.reachable.is_none() {
            let endpoint = Rc::clone(endpoint);
            self.probe = Some(Box::pin(async move { endpoint.pool.preconnect().await }));
        }
    }

    /// Completes with the probe.
    async fn probed(&mut self) {
        let Some(probe) = &mut self.probe else { return std::future::pending().await };
        self.reachable = Some(probe.await);
        self.probe = None;
    }

    /// Whether the endpoint is given up at time `now`, if the stream can go on at another one.
    fn is_over(&self, now: Duration, stalls_at: Duration) -> bool {
        self.reachable == Some(false) || now >= stalls_at + REACHABLE_GAP
    }
}

struct Relay {
    request: ActiveRequest,
    chunks: mpsc::Sender<Chunk>,
    /// Bytes that wait for the client.
    account: Rc<Account>,
    /// Those of the incomplete event.
    assembling: Hold,
    events: Events,
    /// Status and media type of the answer that the client gets.
    first: (StatusCode, Option<String>),
}

/// End of the stream from one endpoint.
enum End {
    Complete,
    /// The client has closed its connection.
    ClientGone,
    /// The endpoint failed, with the cause for the log.
    Failed(SendEnd, String),
    /// The connection broke, with the cause for the log.
    Lost(String),
}

impl Relay {
    async fn run(mut self, mut source: Source) {
        loop {
            let end = self.forward_events(&mut source).await;
            let (ended, cause) = match end {
                End::Complete => return self.complete(source).await,
                End::ClientGone => return self.request.log_end(499, "client left"),
                End::Failed(ended, cause) => (ended, Some(cause)),
                End::Lost(cause) if source.unread >= MAX_UNREAD_TIME => {
                    info!(self.request.entry.log, "stream that its client did not read is lost";
                        "request" => &self.request.metadata.id,
                        "endpoint" => &*source.in_flight.endpoint.id(), "cause" => cause,
                        "unread_ms" => source.unread.as_millis() as u64);
                    (SendEnd::Unknown, None)
                }
                End::Lost(cause) => {
                    if source.answered {
                        self.request.check_restart(&source.in_flight.endpoint);
                    } else {
                        self.request.record_loss(&source.in_flight.endpoint);
                    }
                    (SendEnd::Unknown, Some(cause))
                }
            };
            if ended != SendEnd::DeadlineExceeded {
                if let Some(cause) = cause {
                    self.request.record_endpoint_failure(&source.in_flight.endpoint, &cause);
                }
                source.in_flight.record_verdict(Verdict::Neutral);
            }
            // Closes the connection, so that the endpoint stops before another one resumes.
            drop(source);
            self.events.drop_partial();
            self.assembling = self.account.hold();
            match self.resume(ended).await {
                Some(next) => source = next,
                None if self.chunks.is_closed() => {
                    return self.request.log_end(499, "client left");
                }
                None => {
                    self.request.entry.metrics.broken_off.inc();
                    return self.request.log_end(200, "broken off");
                }
            }
        }
    }

    /// Forwards events until the source ends.
    async fn forward_events(&mut self, source: &mut Source) -> End {
        let max_gap = Duration::from_millis(self.request.route.target_gap_ms) * MAX_TARGET_GAPS;
        let max_gap = max_gap.max(MIN_RESUME_GAP);
        let mut progress = Progress::new(boot_time());
        let mut pause = Pause::default();
        let watch = Rc::clone(&source.in_flight.watch);
        loop {
            let (now, deadline) = (boot_time(), self.request.deadline);
            if now >= deadline {
                return End::Failed(SendEnd::DeadlineExceeded, "out of time".to_owned());
            }
            let stalls_at = progress.stalls_at(max_gap);
            if now >= stalls_at {
                match self.request.obstacle_to_leave(self.request.runs) {
                    None if pause.is_over(now, stalls_at) => {
                        return End::Failed(SendEnd::Unknown, "the stream pauses".to_owned());
                    }
                    None => pause.begin_probe(&source.in_flight.endpoint),
                    Some(obstacle) if !pause.is_logged => {
                        pause.is_logged = true;
                        self.log_wait(&source.in_flight.endpoint, obstacle);
                    }
                    Some(_) => {}
                }
            }
            let until = self.request.next_check(now, stalls_at);
            watch.begin_wait(now);
            let asked = boot_time();
            let frame = tokio::select! {
                biased;
                frame = tokio::time::timeout(until - now, source.incoming.frame()) => frame,
                () = self.chunks.closed() => return End::ClientGone,
                () = pause.probed() => {
                    self.request.entry.metrics.connections.inc();
                    continue;
                }
            };
            if boot_time() >= asked + MIN_IDLE_TIME {
                // All that had arrived was read, and the connection was not lost.
                source.unread = Duration::ZERO;
            }
            let data = match frame {
                Ok(Some(Ok(frame))) => frame.into_data(),
                Ok(Some(Err(cause))) => {
                    return End::Lost(cause.to_string());
                }
                Ok(None) if self.events.is_partial() => {
                    return End::Lost("the stream ended within an event".to_owned());
                }
                Ok(None) if source.needs_event() => {
                    return End::Lost("the stream ended without an event".to_owned());
                }
                Ok(None) => return End::Complete,
                // The checks above decide what the end of the wait means.
                Err(_) => continue,
            };
            source.in_flight.endpoint.record_activity();
            let Ok(mut data) = data else { continue };
            while !data.is_empty() {
                let (began, room) = (boot_time(), self.wait_for_room(data.len()).await);
                let waited = boot_time().saturating_sub(began);
                // The time that a slow client takes is no pause of the endpoint.
                progress.exclude(waited);
                watch.exclude(waited);
                self.record_client_wait(source, waited);
                let piece = match room {
                    Ok(bytes) => data.split_to(bytes),
                    Err(end) => return end,
                };
                match self.forward_piece(&piece, source, &mut progress).await {
                    Ok(true) => pause = Pause::default(),
                    Ok(false) => {}
                    Err(end) => return end,
                }
            }
        }
    }

    /// Waits until the client leaves room for some of a number of bytes, and holds them. The source is
    /// not read meanwhile, so that its endpoint has to wait.
    async fn wait_for_room(&mut self, wanted: usize) -> Result<usize, End> {
        loop {
            let has_slot = self.chunks.capacity() > 0;
            match self.account.room(wanted, self.assembling.bytes()) {
                _ if !has_slot => {}
                Room::Bytes(bytes) if self.assembling.grow(bytes) => return Ok(bytes),
                Room::Bytes(_) | Room::Full => {}
                Room::EventTooLarge => {
                    let cause = format!("{} bytes without an event", self.assembling.bytes());
                    return Err(End::Failed(SendEnd::Unknown, cause));
                }
            }
            let freed = async {
                if has_slot {
                    self.account.changed().await;
                } else {
                    let _ = self.chunks.reserve().await;
                }
            };
            let left = self.request.deadline.saturating_sub(boot_time());
            tokio::select! {
                biased;
                () = self.chunks.closed() => return Err(End::ClientGone),
                () = freed => {}
                () = tokio::time::sleep(left) => {
                    let cause = "the client did not read in time".to_owned();
                    return Err(End::Failed(SendEnd::DeadlineExceeded, cause));
                }
            }
        }
    }

    /// Records for how long the source was not read.
    fn record_client_wait(&self, source: &mut Source, waited: Duration) {
        if waited >= MIN_CLIENT_WAIT {
            let request = &self.request;
            request.entry.metrics.client_waits.inc();
            info!(request.entry.log, "stream waited for its client";
                "request" => &request.metadata.id, "endpoint" => &*source.in_flight.endpoint.id(),
                "waited_ms" => waited.as_millis() as u64, "held_bytes" => self.account.held(),
                "all_bytes" => request.entry.client_memory.used());
        }
        source.unread += waited;
    }

    /// Forwards the whole events that end in a piece of the stream. Returns whether there is a new one.
    async fn forward_piece(
        &mut self,
        piece: &[u8],
        source: &mut Source,
        progress: &mut Progress,
    ) -> Result<bool, End> {
        let max_bytes = self.request.entry.settings.max_event_bytes;
        let received = progress.receive(piece.len());
        let last = self.events.last_id();
        let batch = self.events.push(piece);
        if let Some(batch) = &batch
            && let Some(end) =
                Self::find_break(&batch.bytes, source.resumes && !source.answered, last)
        {
            let whole = batch.bytes.slice(..end);
            let mut before = Events { partial: BytesMut::new(), last_id: last };
            before.push(&whole);
            self.events = before;
            self.request.last_event = self.events.last_id();
            if !whole.is_empty() {
                self.pass_on(whole).await?;
            }
            let cause = "the events do not continue the stream".to_owned();
            return Err(End::Failed(SendEnd::Unknown, cause));
        }
        let events = batch.as_ref().map_or(0, |batch| batch.progress);
        if events > 0 {
            source.in_flight.watch.record_events(boot_time(), events);
        }
        let is_progress = events > 0;
        if !is_progress && received > max_bytes {
            let cause = format!("{received} bytes without an event");
            return Err(End::Failed(SendEnd::Unknown, cause));
        }
        let Some(batch) = batch else { return Ok(false) };
        self.request.first_at.get_or_insert_with(boot_time);
        self.request.last_event = self.events.last_id();
        if is_progress && !source.answered {
            source.answered = true;
            let parts = self.request.shared_parts();
            self.request.entry.quarantine.borrow_mut().record_answer(&parts, boot_time());
        }
        self.pass_on(batch.bytes).await?;
        if is_progress {
            progress.advance(boot_time());
        }
        Ok(is_progress)
    }

    /// Passes whole events to the client.
    async fn pass_on(&mut self, events: Bytes) -> Result<(), End> {
        let hold = self.assembling.split(events.len());
        let part = Part::of_stream(events, hold);
        self.chunks.send(Chunk::Data(part)).await.map_err(|_| End::ClientGone)
    }

    /// Returns the end of the events that belong to the stream, if not all of them do.
    fn find_break(events: &[u8], must_continue: bool, last: Option<u64>) -> Option<usize> {
        let continues = !must_continue || Events::continues(events, last);
        if continues { find_status_line(events) } else { Some(0) }
    }

    fn log_wait(&self, endpoint: &Endpoint, obstacle: Obstacle) {
        let request = &self.request;
        request.entry.metrics.waits.inc();
        info!(request.entry.log, "stream pauses and is not resumed"; "request" => &request.metadata.id,
            "endpoint" => &*endpoint.id(), "obstacle" => ?obstacle,
            "last_event" => self.events.last_id(), "left_ms" => request.left_ms());
    }

    async fn complete(self, source: Source) {
        let Source { mut connection, keep_alive, in_flight, .. } = source;
        in_flight.record_verdict(Verdict::Success);
        in_flight.endpoint.record_success();
        if exchange::is_reusable(&mut connection).await {
            in_flight.return_connection(connection, keep_alive);
        }
        drop(in_flight);
        self.request.log_end(200, "answered");
        let Self { request, chunks, .. } = self;
        // The client may read the rest slowly, which does not need the request any more.
        drop(request);
        // Sending fails if the client has closed its connection.
        let _ = chunks.send(Chunk::End).await;
    }

    /// Whether the answer can be the rest of the stream: it has the status of the first one, and its
    /// media type if that had one.
    fn is_rest(&self, answer: &Response<Incoming>) -> bool {
        let (status, first_type) = &self.first;
        answer.status() == *status
            && (first_type.is_none() || media_type(answer.headers()) == *first_type)
    }

    /// Resumes the stream at another endpoint. Returns `None` if it can't be resumed.
    async fn resume(&mut self, ended: SendEnd) -> Option<Source> {
        let mut ended = ended;
        let mut delay = REFUSED_RESUME_DELAY;
        loop {
            if ended == SendEnd::NotRun {
                // Those before the one that has just refused may take the request again by now.
                let latest = self.request.tried.len().saturating_sub(1);
                self.request.tried.drain(..latest);
                tokio::time::sleep(delay).await;
                delay = (2 * delay).min(MAX_REFUSED_RESUME_DELAY);
            }
            if self.request.retry_or_end(ended, Delivered::Partial).is_some()
                || self.chunks.is_closed()
            {
                return None;
            }
            let after = self.events.last_id().or(self.request.metadata.after_event);
            let sent = tokio::select! {
                sent = self.request.send(after) => sent,
                () = self.chunks.closed() => return None,
            };
            match sent {
                Ok(sent) if self.is_rest(&sent.exchange.response) => {
                    self.request.entry.metrics.resumed.inc();
                    info!(self.request.entry.log, "stream resumed"; "request" => &self.request.metadata.id,
                        "endpoint" => &*sent.in_flight.endpoint.id(), "after_event" => after);
                    return Some(Source { resumes: true, ..Source::new(sent) });
                }
                Ok(sent) => {
                    let head = &sent.exchange.response;
                    info!(self.request.entry.log, "answer does not resume the stream";
                        "request" => &self.request.metadata.id,
                        "endpoint" => &*sent.in_flight.endpoint.id(),
                        "status" => head.status().as_u16(),
                        "media_type" => media_type(head.headers()));
                    sent.in_flight.record_verdict(Verdict::Failure);
                    ended = SendEnd::EndpointFailed;
                }
                Err(next) => ended = next,
            }
        }
    }
}
