//! One send of a request to an endpoint, until the head of the answer or all of it has arrived.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Kind;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Body as _;
use hyper::body::Incoming;
use slog::info;

use crate::body::Body;
use crate::credentials;
use crate::dialect::Reply;
use crate::dialect::SendOptions;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::forward::ActiveRequest;
use crate::forward::MIN_SEND_TIME_MS;
use crate::forward::rank;
use crate::in_flight::InFlight;
use crate::memory::Parts;
use crate::memory::Reservation;
use crate::outcome::SendEnd;
use crate::progress::Progress;
use crate::tally::Verdict;

/// Time without data from an endpoint after which a repeatable request is sent to another one,
/// unless a new connection can be opened. A loaded endpoint may take longer to answer, and this entry
/// may have no other request there; an unreachable endpoint accepts no connection.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Time without a head after which a repeatable plain request is sent again: more than twice the
/// longest service time of a plain service.
const PLAIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Minimum time without a head after which a resumable stream is sent again.
const MIN_STREAM_ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Interval between checks of an endpoint that has not answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which [`MIN_BODY_PROGRESS`] bytes of an answer must arrive if the request can be sent to
/// another endpoint.
const MAX_BODY_PAUSE: Duration = Duration::from_millis(2_500);

/// Statuses of final answers.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Bytes of an answer without events that count as progress.
const MIN_BODY_PROGRESS: usize = 256;

/// Statuses by which clients know that a request did not run.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Reason why the body of an answer was not read to its end.
enum BodyFailure {
    DeadlineExceeded,
    /// The answers that are being read take all memory for them.
    NoMemory,
    /// The endpoint's fault, with the cause for the log.
    Broken(String),
    /// The connection broke, with the cause for the log.
    Lost(String),
}

/// Reason to send a repeatable request to another endpoint before this one has answered.
enum LeaveReason {
    /// The endpoint has sent no data to this entry for [`SILENCE_TIMEOUT`].
    Silent,
    /// The answer takes too long.
    NoAnswer,
}

/// A send whose answer has begun.
pub struct Sent {
    pub exchange: Exchange,
    pub reply: Reply,
    /// Counts the send until it ends.
    pub in_flight: InFlight,
}

impl ActiveRequest {
    /// Sends the request once. `after_event` resumes a stream after that event.
    pub async fn send(&mut self, after_event: Option<u64>) -> Result<Sent, SendEnd> {
        let left = self.left_ms();
        if left <= MIN_SEND_TIME_MS {
            return Err(SendEnd::DeadlineExceeded);
        }
        self.wait_for_verdict().await;
        // A resumed stream keeps its model, so that the answer stays consistent.
        if after_event.is_none() || self.model.is_none() {
            self.model = self.choose_model();
        }
        let (endpoint, permit) = self.admitted_endpoint().await?;
        // The lease may have expired while the request waited.
        if !self.has_lease() {
            return Err(SendEnd::NotRun);
        }
        self.record_use();
        let left = self.left_ms();
        let id = endpoint.id();
        self.endpoint = Some((id.clone(), endpoint.version()));
        if self.sends == 0 {
            self.entry.record_first_send(&self.service);
        }
        info!(self.entry.log, "request sent"; "request" => &self.metadata.id, "endpoint" => &*id,
            "send" => self.sends + 1, "model" => self.model.as_deref(), "rank" => self.route.rank,
            "load" => endpoint.estimated_load(self.entry.entries.get()),
            "load_age_ms" => endpoint.load_age().map(|age| age.as_millis() as u64),
            "ahead_ms" => endpoint.prefill_wait_ms(self.route.rank, 0.0), "after_event" => after_event,
            "left_ms" => left);
        self.sends += 1;
        self.tried.push(id.clone());
        let expected_wait_ms = self.expected_wait_ms(&endpoint);
        let unloaded = endpoint.is_prefill_done() && endpoint.waiting() == 0.0;
        let mut in_flight = InFlight::new(
            Rc::clone(&self.entry),
            Rc::clone(&endpoint),
            (self.service.clone(), self.route.name.clone()),
            (self.route.rank, self.prefill_ms(), self.metadata.prompt_tokens),
            permit,
        );
        let build = || self.permitted_request(&in_flight, after_event);
        let exchange = match self.exchange(&endpoint, build, in_flight.began).await {
            Ok(exchange) => exchange,
            Err(ended) => {
                if ended == SendEnd::DeadlineExceeded {
                    let took = boot_time().saturating_sub(in_flight.began);
                    self.record_wait(expected_wait_ms, took, &endpoint, false);
                }
                if ended == SendEnd::NotSent {
                    self.withdrawn += 1;
                    self.tried.pop();
                }
                self.runs += u32::from(!matches!(ended, SendEnd::NotRun | SendEnd::NotSent));
                return Err(ended);
            }
        };
        let response = &exchange.response;
        let (status, headers) = (response.status(), response.headers());
        let unverified = self.entry.dialect.parse_response(status, headers, &self.metadata.id);
        in_flight.prefill_done();
        let reply = match unverified.verify(status) {
            Ok(reply) => reply,
            Err(distrust) => {
                self.runs += 1;
                self.entry.metrics.distrusted.inc();
                self.record_endpoint_failure(&endpoint, &distrust.to_string());
                return Err(SendEnd::Unknown);
            }
        };
        if let Some(load) = reply.load {
            endpoint.record_load(load);
        }
        if reply.wrong_endpoint {
            // The address now belongs to another endpoint.
            info!(self.entry.log, "address belongs to another endpoint"; "endpoint" => &*endpoint.id(),
                "request" => &self.metadata.id);
            endpoint.record_unreachable();
            let address = endpoint.announcement.borrow().address;
            if self.entry.directory.borrow().at_address(address).count() > 1 {
                endpoint.mark_displaced();
            }
            return Err(SendEnd::NotRun);
        }
        self.record_availability(&endpoint, &reply);
        in_flight.record_head(!reply.not_run && reply.pause.is_none());
        if reply.not_run {
            info!(self.entry.log, "endpoint refused"; "request" => &self.metadata.id,
                "endpoint" => &*endpoint.id(), "status" => status.as_u16(),
                "load" => reply.load.map(|load| format!("{load:?}")));
            return Err(SendEnd::NotRun);
        }
        self.runs += 1;
        if NOT_RUN_STATUSES.contains(&status) {
            // Forwarded, the status would promise what the endpoint has not stated.
            in_flight.record_verdict(Verdict::Failure);
            self.record_endpoint_failure(&endpoint, "a refusal does not state that nothing ran");
            return Err(SendEnd::Unknown);
        }
        // After 101 the connection speaks another protocol, which no request has asked for.
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            self.record_endpoint_failure(&endpoint, "the answer has no final status");
            return Err(SendEnd::Unknown);
        }
        if reply.encoded {
            self.record_endpoint_failure(&endpoint, "the answer has a content encoding");
            return Err(SendEnd::Unknown);
        }
        endpoint.record_activity();
        let took = boot_time().saturating_sub(in_flight.began);
        self.record_wait(expected_wait_ms, took, &endpoint, true);
        self.confidence = reply.confidence;
        if unloaded && let Some(model) = &self.model {
            let time = boot_time().saturating_sub(in_flight.began);
            // The estimate is for the usual pace.
            let pace = endpoint.pace(time.as_secs_f64() * 1_000.0);
            let time = time.div_f64(pace);
            let mut cascades = self.entry.cascades.borrow_mut();
            let cascade = cascades.entry(self.service.clone()).or_default();
            cascade.observe(model, self.metadata.prompt_tokens, time);
        }
        Ok(Sent { exchange, reply, in_flight })
    }

    /// Records what an answer says of the availability of its endpoint.
    fn record_availability(&self, endpoint: &Endpoint, reply: &Reply) {
        if let Some(malformed) = reply.malformed {
            info!(self.entry.log, "header of an answer is ignored"; "endpoint" => &*endpoint.id(),
                "request" => &self.metadata.id, "reason" => malformed.0);
        }
        if reply.leaving && endpoint.record_leaving() {
            info!(self.entry.log, "endpoint says that it is leaving"; "endpoint" => &*endpoint.id(),
                "request" => &self.metadata.id);
        }
        if let Some(pause) = reply.pause
            && endpoint.record_pause(pause)
        {
            info!(self.entry.log, "endpoint asks for a pause"; "endpoint" => &*endpoint.id(),
                "request" => &self.metadata.id, "pause_ms" => pause.as_millis() as u64);
        }
    }

    /// Whether the request's key may be relied on; requests without a key need no lease.
    pub fn has_lease(&self) -> bool {
        let lease = self.entry.settings.lease;
        self.workspace.is_none() || self.entry.view.borrow().has_lease(lease)
    }

    /// Builds the request right before it is written. Returns `None` if it may not be sent any more.
    fn permitted_request(
        &self,
        in_flight: &InFlight,
        after: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let left = self.left_ms();
        let permitted = left > MIN_SEND_TIME_MS
            && self.has_lease()
            && self.block_left().is_none()
            && self.may_be_served_by(&in_flight.endpoint)
            && self.is_admitted_by(&in_flight.endpoint)
            && in_flight.is_permitted();
        permitted.then(|| {
            self.handling.passed_on.set(true);
            self.request(&in_flight.endpoint.id(), left, after)
        })
    }

    fn request(&self, endpoint: &str, left: u64, after: Option<u64>) -> Request<Full<Bytes>> {
        let options = SendOptions {
            endpoint,
            deadline_ms: left,
            workspace: self.workspace.as_ref().map(|workspace| &*workspace.name),
            model: self.model.as_deref(),
            rank: rank(
                self.workspace.as_ref().and_then(|workspace| workspace.rank),
                self.route.rank,
            ),
            after_event: after,
        };
        let mut headers = self.entry.dialect.request_headers(&self.head, &options);
        let view = self.entry.view.borrow();
        credentials::remove_keys(&mut headers, |word| view.is_key(word));
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Waits for the head of the answer until the deadline, or until a repeatable request should be
    /// sent to another endpoint.
    async fn exchange(
        &self,
        endpoint: &Rc<Endpoint>,
        request: impl Fn() -> Option<Request<Full<Bytes>>>,
        began: Duration,
    ) -> Result<Exchange, SendEnd> {
        let fresh = !self.route.is_repeatable();
        let entry = Rc::clone(&self.entry);
        let metrics = &entry.metrics;
        let sending = endpoint.pool.send(request, fresh, || {
            metrics.connections.inc();
        });
        let mut sending = std::pin::pin!(sending);
        loop {
            let left = self.deadline.saturating_sub(boot_time());
            let checks = self.is_repeatable_after(1) || self.metadata.parts.len() > 1;
            let step = if checks { left.min(CHECK_INTERVAL) } else { left };
            match tokio::time::timeout(step, sending.as_mut()).await {
                Ok(sent) => return self.classify_send(endpoint, sent),
                Err(_) if boot_time() >= self.deadline => return Err(SendEnd::DeadlineExceeded),
                Err(_) => {}
            }
            if self.block_left().is_some() {
                // Closes the connection before the endpoint begins the answer.
                info!(self.entry.log, "request is withdrawn because its prompt is blocked";
                    "request" => &self.metadata.id, "endpoint" => &*endpoint.id());
                return Err(SendEnd::Unknown);
            }
            let reason = match self.leave_reason(endpoint, began) {
                None => continue,
                Some(LeaveReason::NoAnswer) => "no answer in time",
                Some(LeaveReason::Silent) => {
                    let reachable = tokio::select! {
                        sent = sending.as_mut() => return self.classify_send(endpoint, sent),
                        reachable = endpoint.pool.preconnect() => reachable,
                    };
                    if reachable {
                        self.entry.metrics.connections.inc();
                        endpoint.record_activity();
                        continue;
                    }
                    "the endpoint is silent"
                }
            };
            self.record_endpoint_failure(endpoint, reason);
            return Err(SendEnd::Unknown);
        }
    }

    /// Records a send without an answer and classifies its end.
    fn classify_send(
        &self,
        endpoint: &Rc<Endpoint>,
        sent: Result<Exchange, Failure>,
    ) -> Result<Exchange, SendEnd> {
        match sent {
            Ok(exchange) => Ok(exchange),
            Err(Failure::Unreachable(cause)) => {
                let ejection = endpoint.record_unreachable();
                self.entry.metrics.paused.inc();
                info!(self.entry.log, "endpoint can't be reached";
                    "endpoint" => &*endpoint.id(), "request" => &self.metadata.id,
                    "cause" => cause, "pause_ms" => ejection.as_millis() as u64);
                Err(SendEnd::NotRun)
            }
            Err(Failure::Withdrawn) if self.left_ms() > MIN_SEND_TIME_MS && self.has_lease() => {
                self.entry.metrics.withdrawn.inc();
                info!(self.entry.log, "request is sent elsewhere"; "endpoint" => &*endpoint.id(),
                    "request" => &self.metadata.id, "availability" => ?endpoint.availability(),
                    "zone_permitted" => self.may_be_served_by(endpoint),
                    "admitted" => self.is_admitted_by(endpoint));
                Err(SendEnd::NotSent)
            }
            Err(Failure::Withdrawn) => {
                info!(self.entry.log, "request is not sent any more";
                    "endpoint" => &*endpoint.id(), "request" => &self.metadata.id,
                    "left_ms" => self.left_ms(), "has_lease" => self.has_lease());
                Err(SendEnd::NotRun)
            }
            Err(Failure::Lost(cause)) => {
                self.record_loss(endpoint);
                self.record_endpoint_failure(endpoint, &cause);
                Err(SendEnd::Unknown)
            }
        }
    }

    /// Whether the request may run again after `runs` more runs.
    pub fn is_repeatable_after(&self, runs: u32) -> bool {
        self.route.is_repeatable() && self.runs + runs < self.route.attempts.max(1)
    }

    /// Returns the reason to send a repeatable request to another endpoint, if there is one and the
    /// next send is possible.
    fn leave_reason(&self, endpoint: &Endpoint, began: Duration) -> Option<LeaveReason> {
        let now = boot_time();
        let waited = now.saturating_sub(began);
        let silent = endpoint.last_activity.get().is_none_or(|at| now >= at + SILENCE_TIMEOUT);
        let answer_timeout = match self.route.kind {
            Kind::Stream => {
                MIN_STREAM_ANSWER_TIMEOUT.max(2 * Duration::from_millis(self.route.target_ms))
            }
            Kind::Safe | Kind::Unsafe => PLAIN_ANSWER_TIMEOUT,
        };
        let reason = if silent && waited >= SILENCE_TIMEOUT {
            LeaveReason::Silent
        } else if waited >= answer_timeout {
            LeaveReason::NoAnswer
        } else {
            return None;
        };
        // This send counts as a run once the endpoint is left.
        self.obstacle_to_leave(self.runs + 1).is_none().then_some(reason)
    }

    /// Time at which an answer that is awaited at time `now` is checked next: the deadline, or for a
    /// request that may run again the time `stalls_at`. A stalled answer is checked periodically,
    /// because another endpoint may become available.
    pub fn next_check(&self, now: Duration, stalls_at: Duration) -> Duration {
        if !self.is_repeatable_after(0) {
            return self.deadline;
        }
        let check = if now < stalls_at { stalls_at } else { now + CHECK_INTERVAL };
        check.min(self.deadline)
    }

    /// Reads the whole answer and returns the response for the client.
    pub async fn read_whole(&mut self, sent: Sent) -> Result<Response<Body>, SendEnd> {
        let Sent { exchange: Exchange { mut connection, response }, reply, in_flight } = sent;
        let (head, body) = response.into_parts();
        let (read, memory) = match self.read_body(body).await {
            Ok(read) => read,
            Err(BodyFailure::DeadlineExceeded) => return Err(SendEnd::DeadlineExceeded),
            Err(BodyFailure::NoMemory) => {
                info!(self.entry.log, "no memory for the answer"; "request" => &self.metadata.id,
                    "endpoint" => &*in_flight.endpoint.id(),
                    "used_bytes" => self.entry.answer_memory.used());
                return Err(SendEnd::Unknown);
            }
            Err(BodyFailure::Lost(cause)) => {
                self.record_loss(&in_flight.endpoint);
                self.record_endpoint_failure(&in_flight.endpoint, &cause);
                return Err(SendEnd::Unknown);
            }
            Err(BodyFailure::Broken(cause)) => {
                self.record_endpoint_failure(&in_flight.endpoint, &cause);
                return Err(SendEnd::Unknown);
            }
        };
        if exchange::is_reusable(&mut connection).await {
            in_flight.return_connection(connection, reply.keep_alive);
        }
        if head.status.is_server_error() {
            in_flight.record_verdict(Verdict::Failure);
            self.record_endpoint_failure(&in_flight.endpoint, "the endpoint failed");
        } else {
            in_flight.watch.record_first(boot_time());
            in_flight.record_verdict(Verdict::Success);
            let parts = self.shared_parts();
            self.entry.quarantine.borrow_mut().record_answer(&parts, boot_time());
            in_flight.endpoint.record_success();
        }
        let mut response = Response::new(Body::answer(read, memory));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.entry.dialect.response_headers(&head.headers);
        Ok(response)
    }

    /// Reads the body of an answer until its end. The deadline always ends the wait; a stalled body
    /// is given up sooner only if the request can be sent to another endpoint.
    async fn read_body(&self, mut body: Incoming) -> Result<(Bytes, Reservation), BodyFailure> {
        let max_bytes = self.entry.settings.max_answer_bytes;
        let too_large = || BodyFailure::Broken(format!("the answer is over {max_bytes} bytes"));
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(too_large());
        }
        let mut memory = self.entry.answer_memory.begin();
        let mut progress = Progress::new(boot_time());
        let mut parts = Parts::default();
        loop {
            let (now, stalls_at) = (boot_time(), progress.stalls_at(MAX_BODY_PAUSE));
            if now >= self.deadline {
                return Err(BodyFailure::DeadlineExceeded);
            }
            if now >= stalls_at && self.obstacle_to_leave(self.runs).is_none() {
                return Err(BodyFailure::Broken("the answer stalls".to_owned()));
            }
            let until = self.next_check(now, stalls_at);
            let frame = match tokio::time::timeout(until - now, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(cause))) => return Err(BodyFailure::Lost(cause.to_string())),
                Ok(None) => break,
                // The checks above decide what the end of the wait means.
                Err(_) => continue,
            };
            let Ok(data) = frame.into_data() else { continue };
            if !memory.grow(data.len()) {
                return Err(BodyFailure::NoMemory);
            }
            if memory.bytes() > max_bytes {
                return Err(too_large());
            }
            if progress.receive(data.len()) >= MIN_BODY_PROGRESS {
                progress.advance(boot_time());
            }
            parts.push(&data);
        }
        Ok((parts.whole(), memory))
    }
}
