//! The answer of an engine: its events in order, each once.
//!
//! Events are matched by run id and offset. A duplicate is dropped, and an event that comes too
//! early is held for a short time. A gap that stays, a cut, an event of another run or a missed
//! progress deadline ends the connection, and the run is resumed at the next offset on a fresh one. The answer is whole once the event with the usage was seen.

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

use crate::dial::Connection;
use crate::dial::Dial;
use crate::events::Event;
use crate::events::Scanner;
use crate::metrics::Metrics;

/// Pause before the second attempt to resume; doubles with each further one.
const RESUME_DELAY: Duration = Duration::from_millis(50);

/// Events held behind a gap.
const MAX_HELD: usize = 64;

/// A gap that is not filled this soon is resumed: the missing event is lost, not late.
const GAP_TIMEOUT: Duration = Duration::from_millis(100);

/// Deadlines and limits of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for the first event.
    pub first_event: Duration,
    /// Longest wait for each further event.
    pub progress: Duration,
    /// Attempts to resume without progress in between.
    pub resumes: u32,
    /// Largest event, in bytes.
    pub max_event: usize,
}

/// Where a run is and how to reach it.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the run.
    pub id: String,
    /// The engine.
    pub endpoint: Endpoint,
    /// Its address.
    pub address: SocketAddr,
}

/// An answer being received.
#[derive(Debug)]
pub struct Answer {
    /// The run.
    pub run: Run,
    dial: Arc<Dial>,
    metrics: Arc<Metrics>,
    settings: Settings,
    source: Option<(Incoming, Connection)>,
    scanner: Scanner,
    /// Offset of the next event.
    next: u64,
    /// By when the next event must arrive.
    deadline: Instant,
    resumes: u32,
    ready: VecDeque<Bytes>,
    /// Events after a gap, with their usage.
    held: BTreeMap<u64, (Bytes, Option<Usage>)>,
    /// By when a gap must be filled.
    gap_by: Instant,
    found: Vec<Event>,
    usage: Option<Usage>,
}

/// Why a chunk ended the use of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Broken;

impl Answer {
    /// The answer to a request that was just sent; `source` is absent when its head did not arrive.
    pub fn new(
        run: Run,
        dial: Arc<Dial>,
        metrics: Arc<Metrics>,
        settings: Settings,
        source: Option<(Incoming, Connection)>,
    ) -> Self {
        Self {
            run,
            dial,
            metrics,
            settings,
            source,
            scanner: Scanner::new(settings.max_event),
            next: 0,
            deadline: Instant::now() + settings.first_event,
            resumes: 0,
            ready: VecDeque::new(),
            held: BTreeMap::new(),
            gap_by: Instant::now(),
            found: Vec::new(),
            usage: None,
        }
    }

    /// The usage, once the answer is whole.
    pub fn usage(&self) -> Option<Usage> {
        self.usage
    }

    /// Events received so far.
    pub fn received(&self) -> u64 {
        self.next
    }

    /// The next events; `None` after the last one.
    pub async fn next(&mut self) -> error::Result<Option<Bytes>> {
        // The time that a slow caller takes between two pieces is not silence of the engine.
        self.deadline = self.deadline.max(Instant::now() + self.settings.progress);
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            if self.usage.is_some() {
                self.finish().await;
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

    async fn receive(&mut self) -> Result<(), Broken> {
        let Some((body, _)) = &mut self.source else { return Err(Broken) };
        let is_gap = !self.held.is_empty();
        let by = if is_gap { self.deadline.min(self.gap_by) } else { self.deadline };
        let frame = match tokio::time::timeout_at(by, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_)) | None) => return Err(Broken),
            Err(_) if is_gap => return Err(Broken),
            Err(_) => {
                self.metrics.silent_streams.inc();
                self.dial.forget(self.run.address);
                return Err(Broken);
            }
        };
        match frame.into_data() {
            Ok(chunk) => self.take(&chunk),
            Err(_trailers) => Ok(()),
        }
    }

    /// Moves the new events of `chunk` to the ready ones. Adjacent events stay one slice.
    fn take(&mut self, chunk: &Bytes) -> Result<(), Broken> {
        let mut found = std::mem::take(&mut self.found);
        let mut result = self.scanner.push(chunk, &mut found).map_err(|_| Broken);
        let mut slice = 0..0;
        for event in found.drain(..) {
            match self.accept(&event) {
                Ok(false) => {}
                Ok(true) => {
                    self.pass(chunk, &mut slice, event);
                    self.release(chunk, &mut slice);
                }
                Err(broken) => {
                    result = Err(broken);
                    break;
                }
            }
        }
        self.flush(chunk, &mut slice);
        self.found = found;
        result
    }

    /// Whether the event is the next one of the run. A later one is held until the gap is filled.
    fn accept(&mut self, event: &Event) -> Result<bool, Broken> {
        if self.usage.is_some() {
            return Ok(false);
        }
        let fields = event.fields();
        let Some(offset) = fields.offset else { return Ok(false) };
        if offset < self.next || self.held.contains_key(&offset) {
            self.metrics.duplicate_events.inc();
            return Ok(false);
        }
        let data: engine::Event<'_> = serde_json::from_slice(&fields.data).map_err(|_| Broken)?;
        if data.id != self.run.id {
            return Err(Broken);
        }
        if offset == self.next {
            self.advance(data.usage);
            return Ok(true);
        }
        if self.held.len() >= MAX_HELD {
            return Err(Broken);
        }
        if self.held.is_empty() {
            self.gap_by = Instant::now() + GAP_TIMEOUT;
        }
        self.held.insert(offset, (event.bytes.clone(), data.usage));
        Ok(false)
    }

    fn advance(&mut self, usage: Option<Usage>) {
        let now = Instant::now();
        self.usage = usage;
        self.next += 1;
        self.resumes = 0;
        self.deadline = now + self.settings.progress;
        self.gap_by = now + GAP_TIMEOUT;
    }

    /// Passes on held events that are next.
    fn release(&mut self, chunk: &Bytes, slice: &mut Range<usize>) {
        while let Some((bytes, usage)) = self.held.remove(&self.next) {
            self.flush(chunk, slice);
            self.ready.push_back(bytes);
            self.advance(usage);
        }
    }

    fn pass(&mut self, chunk: &Bytes, slice: &mut Range<usize>, event: Event) {
        match event.range {
            Some(range) if range.start == slice.end && slice.start < slice.end => {
                slice.end = range.end
            }
            Some(range) => {
                self.flush(chunk, slice);
                *slice = range;
            }
            None => {
                self.flush(chunk, slice);
                self.ready.push_back(event.bytes);
            }
        }
    }

    fn flush(&mut self, chunk: &Bytes, slice: &mut Range<usize>) {
        if slice.start < slice.end {
            self.ready.push_back(chunk.slice(slice.clone()));
        }
        *slice = 0..0;
    }

    /// Asks for the rest of the run on a fresh connection.
    async fn resume(&mut self) -> error::Result<()> {
        loop {
            if self.resumes >= self.settings.resumes {
                return Err(self.incomplete("it could not be resumed"));
            }
            if self.resumes > 0 {
                tokio::time::sleep(RESUME_DELAY * 2_u32.pow((self.resumes - 1).min(6))).await;
            }
            self.resumes += 1;
            self.metrics.resumes.inc();
            let Some((response, connection)) = self.request_rest().await else { continue };
            match response.status() {
                StatusCode::OK => {
                    self.source = Some((response.into_body(), connection));
                    self.scanner = Scanner::new(self.settings.max_event);
                    self.deadline = Instant::now() + self.settings.progress;
                    return Ok(());
                }
                StatusCode::NOT_FOUND => {
                    return Err(self.incomplete("the engine does not know the run"));
                }
                _ => {}
            }
        }
    }

    async fn request_rest(&self) -> Option<(Response<Incoming>, Connection)> {
        let path = engine::run_path(&self.run.id);
        let request = Request::get(format!("{path}/stream?offset={}", self.next))
            .header(hyper::header::HOST, self.run.address.to_string())
            .body(Full::default())
            .ok()?;
        // Resuming a run starts no work, so it needs no lease.
        let permit = Box::new(|| Ok(()));
        let timeout = self.settings.progress;
        self.dial.send(self.run.address, request, true, timeout, permit).await.ok()
    }

    fn incomplete(&self, why: &str) -> Error {
        let message = format!("the answer of engine {} broke off: {why}", self.run.endpoint);
        let kind = if self.next == 0 { Kind::EndpointFailed } else { Kind::AnswerIncomplete };
        Error::new(kind, message)
    }

    /// Reads the end of the body, so that the connection can be used again.
    async fn finish(&mut self) {
        let Some((mut body, connection)) = self.source.take() else { return };
        let rest = async { while let Some(Ok(_)) = body.frame().await {} };
        if tokio::time::timeout(RESUME_DELAY, rest).await.is_ok() {
            self.dial.keep(connection);
        }
    }
}
