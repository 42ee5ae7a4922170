//! Event stream of a run at an engine: returns each event once, in order.
//!
//! Events are identified by run id and offset. Duplicates are dropped, and events after a gap are
//! buffered for a short time. If the gap is not filled, the connection breaks, an event belongs to
//! another run or the progress timeout passes, the connection is dropped and the run is resumed at
//! the next offset on a new one. The response is complete once the event with the usage has
//! arrived.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::Usage;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::connection_pool::Connection;
use crate::connection_pool::ConnectionPool;
use crate::events::Event;
use crate::events::Scanner;
use crate::metrics::Metrics;

/// Delay before the second consecutive attempt to resume. It doubles with each further attempt.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Maximum events that are buffered after a gap.
const MAX_OUT_OF_ORDER: usize = 64;

/// Time after which a gap counts as a lost event, not a late one, and the run is resumed.
const GAP_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeouts and limits of one stream.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum wait for the first event.
    pub first_event_timeout: Duration,
    /// Maximum wait for each further event.
    pub progress_timeout: Duration,
    /// Maximum consecutive attempts to resume without progress.
    pub max_resumes: u32,
    /// Maximum size of an event, in bytes.
    pub max_event_bytes: usize,
}

/// A run and the engine that runs it.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub endpoint: Endpoint,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// The events of one run as they are received.
#[derive(Debug)]
pub struct RunStream {
    pub run: Run,
    connection_pool: Arc<ConnectionPool>,
    metrics: Arc<Metrics>,
    settings: Settings,
    /// Response body and its connection; absent if the run must be resumed.
    source: Option<(Incoming, Connection)>,
    scanner: Scanner,
    /// Offset of the next event to return.
    next_offset: u64,
    /// Time by which the next event must arrive.
    deadline: Instant,
    resume_attempts: u32,
    ready: VecDeque<Bytes>,
    /// Events after a gap by offset, with their usage.
    out_of_order: BTreeMap<u64, (Bytes, Option<Usage>)>,
    /// Time by which a gap must be filled.
    gap_deadline: Instant,
    /// Buffer for the events of a chunk, kept to reuse its allocation.
    events: Vec<Event>,
    usage: Option<Usage>,
}

/// The connection cannot be used any further and the run must be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionBroken;

impl RunStream {
    /// Receives the response to a request that was just sent. `source` is absent if the response
    /// head did not arrive.
    pub fn new(
        run: Run,
        connection_pool: Arc<ConnectionPool>,
        metrics: Arc<Metrics>,
        settings: Settings,
        source: Option<(Incoming, Connection)>,
    ) -> Self {
        Self {
            run,
            connection_pool,
            metrics,
            settings,
            source,
            scanner: Scanner::new(settings.max_event_bytes),
            next_offset: 0,
            deadline: Instant::now() + settings.first_event_timeout,
            resume_attempts: 0,
            ready: VecDeque::new(),
            out_of_order: BTreeMap::new(),
            gap_deadline: Instant::now(),
            events: Vec::new(),
            usage: None,
        }
    }

    /// The usage; `None` until the response is complete.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Number of events received so far.
    pub fn received(&self) -> u64 {
        self.next_offset
    }

    /// Returns the next events, or `None` after the last one.
    pub async fn next(&mut self) -> error::Result<Option<Bytes>> {
        // The time that a slow caller takes between two reads does not count as silence of the
        // engine.
        self.deadline = self.deadline.max(Instant::now() + self.settings.progress_timeout);
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            if self.usage.is_some() {
                self.finish_body().await;
                return Ok(None);
            }
            if self.source.is_none() {
                self.resume().await?;
            }
            if self.receive().await.is_err() {
                self.source = None;
            }
        }
    }

    async fn receive(&mut self) -> Result<(), ConnectionBroken> {
        let Some((body, _)) = &mut self.source else { return Err(ConnectionBroken) };
        let has_gap = !self.out_of_order.is_empty();
        let wait_until = if has_gap { self.deadline.min(self.gap_deadline) } else { self.deadline };
        let frame = match tokio::time::timeout_at(wait_until, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_)) | None) => return Err(ConnectionBroken),
            Err(_) if has_gap => return Err(ConnectionBroken),
            Err(_) => {
                self.metrics.silent_streams.inc();
                self.connection_pool.drop_idle(self.run.address);
                return Err(ConnectionBroken);
            }
        };
        match frame.into_data() {
            Ok(chunk) => self.on_chunk(&chunk),
            Err(_trailers) => Ok(()),
        }
    }

    /// Appends the new events of `chunk` to the ready ones. Adjacent events stay one slice.
    fn on_chunk(&mut self, chunk: &Bytes) -> Result<(), ConnectionBroken> {
        let mut events = std::mem::take(&mut self.events);
        let mut result = self.scanner.push(chunk, &mut events).map_err(|_| ConnectionBroken);
        let mut slice = 0..0;
        for event in events.drain(..) {
            match self.accept(&event) {
                Ok(false) => {}
                Ok(true) => {
                    self.append(chunk, &mut slice, event);
                    self.release_out_of_order(chunk, &mut slice);
                }
                Err(broken) => {
                    result = Err(broken);
                    break;
                }
            }
        }
        self.flush_slice(chunk, &mut slice);
        self.events = events;
        result
    }

    /// Returns whether the event is the next one of the run. A later one is buffered until the gap
    /// is filled.
    fn accept(&mut self, event: &Event) -> Result<bool, ConnectionBroken> {
        if self.usage.is_some() {
            return Ok(false);
        }
        let fields = event.fields();
        let Some(offset) = fields.offset else { return Ok(false) };
        if offset < self.next_offset || self.out_of_order.contains_key(&offset) {
            self.metrics.duplicate_events.inc();
            return Ok(false);
        }
        let data: engine::Event<'_> =
            serde_json::from_slice(&fields.data).map_err(|_| ConnectionBroken)?;
        if data.id != self.run.id {
            return Err(ConnectionBroken);
        }
        if offset == self.next_offset {
            self.advance(data.usage);
            return Ok(true);
        }
        if self.out_of_order.len() >= MAX_OUT_OF_ORDER {
            return Err(ConnectionBroken);
        }
        if self.out_of_order.is_empty() {
            self.gap_deadline = Instant::now() + GAP_TIMEOUT;
        }
        self.out_of_order.insert(offset, (event.bytes.clone(), data.usage));
        Ok(false)
    }

    fn advance(&mut self, usage: Option<Usage>) {
        let now = Instant::now();
        self.usage = usage;
        self.next_offset += 1;
        self.resume_attempts = 0;
        self.deadline = now + self.settings.progress_timeout;
        self.gap_deadline = now + GAP_TIMEOUT;
    }

    /// Appends the buffered events that are now next.
    fn release_out_of_order(&mut self, chunk: &Bytes, slice: &mut Range<usize>) {
        while let Some((bytes, usage)) = self.out_of_order.remove(&self.next_offset) {
            self.flush_slice(chunk, slice);
            self.ready.push_back(bytes);
            self.advance(usage);
        }
    }

    fn append(&mut self, chunk: &Bytes, slice: &mut Range<usize>, event: Event) {
        match event.range {
            Some(range) if range.start == slice.end && slice.start < slice.end => {
                slice.end = range.end
            }
            Some(range) => {
                self.flush_slice(chunk, slice);
                *slice = range;
            }
            None => {
                self.flush_slice(chunk, slice);
                self.ready.push_back(event.bytes);
            }
        }
    }

    fn flush_slice(&mut self, chunk: &Bytes, slice: &mut Range<usize>) {
        if slice.start < slice.end {
            self.ready.push_back(chunk.slice(slice.clone()));
        }
        *slice = 0..0;
    }

    /// Resumes the run on a new connection.
    async fn resume(&mut self) -> error::Result<()> {
        loop {
            if self.resume_attempts >= self.settings.max_resumes {
                return Err(self.incomplete("the run could not be resumed"));
            }
            if self.resume_attempts > 0 {
                tokio::time::sleep(RESUME_DELAY * 2_u32.pow((self.resume_attempts - 1).min(6)))
                    .await;
            }
            self.resume_attempts += 1;
            self.metrics.resumes.inc();
            let Some((response, connection)) = self.request_resume().await else { continue };
            match response.status() {
                StatusCode::OK => {
                    self.source = Some((response.into_body(), connection));
                    self.scanner = Scanner::new(self.settings.max_event_bytes);
                    self.deadline = Instant::now() + self.settings.progress_timeout;
                    return Ok(());
                }
                StatusCode::NOT_FOUND => {
                    return Err(self.incomplete("the engine does not know the run"));
                }
                _ => {}
            }
        }
    }

    async fn request_resume(&self) -> Option<(Response<Incoming>, Connection)> {
        let path = engine::run_path(&self.run.id);
        let request = Request::get(format!("{path}/stream?offset={}", self.next_offset))
            .header(hyper::header::HOST, self.run.address.to_string())
            .body(Full::default())
            .ok()?;
        // Resuming a run starts no work, so it needs no lease.
        let check = Box::new(|| Ok(()));
        let timeout = self.settings.progress_timeout;
        self.connection_pool.send(self.run.address, request, true, timeout, check).await.ok()
    }

    fn incomplete(&self, reason: &str) -> Error {
        let message =
            format!("the response of engine {} is incomplete: {reason}", self.run.endpoint);
        let kind =
            if self.next_offset == 0 { Kind::EndpointFailed } else { Kind::AnswerIncomplete };
        Error::new(kind, message)
    }

    /// Reads the body to its end, so that the connection can be reused.
    async fn finish_body(&mut self) {
        let Some((mut body, connection)) = self.source.take() else { return };
        let drain = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(RESUME_DELAY, drain).await.is_ok() {
            self.connection_pool.put_idle(connection);
        }
    }
}
