//! One send of a request: to the endpoint, until the head of its answer or the whole of it.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Kind;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use slog::info;

use crate::body::Body;
use crate::dialect::Reply;
use crate::dialect::Terms;
use crate::endpoint::Endpoint;
use crate::exchange;
use crate::exchange::Exchange;
use crate::exchange::Failure;
use crate::flight::Flight;
use crate::forward::Course;
use crate::forward::LEAST_LEFT_MS;
use crate::forward::rank;
use crate::outcome::Ended;
use crate::tally::End;

/// Silence of an endpoint after which a repeatable request leaves it unless a new connection can be
/// opened. A loaded endpoint may take longer to answer, and this entry may have no other request
/// there; an endpoint without power or path accepts no connection.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_100);

/// Time without a head after which a repeatable plain request is sent again: over twice the
/// longest work of a plain service.
const PLAIN_PATIENCE: Duration = Duration::from_millis(700);

/// Least time without a head after which a resumable stream is sent again.
const STREAM_PATIENCE: Duration = Duration::from_millis(2_500);

/// Time between two looks at an endpoint that has not answered.
const PATIENCE_STEP: Duration = Duration::from_millis(250);

/// Why a repeatable request should leave an endpoint that has not answered.
enum Impatience {
    /// The endpoint has sent this entry nothing for a while.
    Silent,
    /// The answer takes longer than any that is useful.
    NoAnswer,
}

/// A send that was answered.
pub struct Sent {
    /// The answer.
    pub exchange: Exchange,
    /// What its head says.
    pub reply: Reply,
    /// Counts the send until it is over.
    pub flight: Flight,
}

impl Course {
    /// Sends once. `after_event` continues a stream.
    pub async fn send(&mut self, after_event: Option<u64>) -> Result<Sent, Ended> {
        let left = self.left_ms();
        if left <= LEAST_LEFT_MS {
            return Err(Ended::OutOfTime);
        }
        // Continued streams keep their model, so that the answer stays one answer.
        if after_event.is_none() || self.model.is_none() {
            self.model = self.choose_model();
        }
        let place = self.place().await;
        let Some(endpoint) = self.pick_in_time().await else { return Err(Ended::NotRun) };
        let left = self.left_ms();
        // The lease may have run out while the request waited.
        let lease = self.entry.settings.lease;
        if self.workspace.is_some() && !self.entry.view.borrow().has_lease(lease) {
            return Err(Ended::NotRun);
        }
        let id = endpoint.id();
        self.endpoint = Some((id.clone(), endpoint.version()));
        let request = self.request(&id, left, after_event);
        if self.sends == 0 {
            self.entry.note_first_send(&self.service);
        }
        info!(self.entry.log, "request sent"; "request" => &self.ask.id, "endpoint" => &*id,
            "send" => self.sends + 1, "model" => self.model.as_deref(), "rank" => self.route.rank,
            "load" => endpoint.estimated_load(self.entry.entries.get()),
            "load_age_ms" => endpoint.load_age().map(|age| age.as_millis() as u64),
            "ahead_ms" => endpoint.ahead_ms(self.route.rank, 0.0), "after_event" => after_event,
            "left_ms" => left);
        self.sends += 1;
        self.tried.push(id);
        let alone = endpoint.is_read() && endpoint.waiting() == 0.0;
        let mut flight = Flight::new(
            Rc::clone(&self.entry),
            Rc::clone(&endpoint),
            (self.service.clone(), self.route.name.clone()),
            (self.route.rank, self.reading_ms()),
            place,
        );
        let exchange = self.exchange(&endpoint, request, flight.began).await?;
        let response = &exchange.response;
        let (status, headers) = (response.status(), response.headers());
        let reply = self.entry.dialect.reply(status, headers, &self.ask.id);
        flight.answered();
        if let Some(load) = reply.load {
            endpoint.report(load);
        }
        if reply.wrong_endpoint {
            // The address belongs to another endpoint now.
            info!(self.entry.log, "address belongs to another endpoint"; "endpoint" => &*endpoint.id(),
                "request" => &self.ask.id);
            endpoint.unreachable();
            let address = endpoint.announcement.borrow().address;
            if self.entry.directory.borrow().at(address).count() > 1 {
                endpoint.displace();
            }
            return Err(Ended::NotRun);
        }
        if reply.not_run {
            info!(self.entry.log, "endpoint refused"; "request" => &self.ask.id,
                "endpoint" => &*endpoint.id(), "status" => status.as_u16(),
                "load" => reply.load.map(|load| format!("{load:?}")));
            return Err(Ended::NotRun);
        }
        self.runs += 1;
        if reply.matches == Some(false) || reply.encoded {
            self.fault(&endpoint, "the answer belongs to another request");
            return Err(Ended::Unknown);
        }
        endpoint.hear();
        self.confidence = reply.confidence;
        if alone && let Some(model) = &self.model {
            let time = boot_time().saturating_sub(flight.began);
            let mut cascades = self.entry.cascades.borrow_mut();
            let cascade = cascades.entry(self.service.clone()).or_default();
            cascade.observe(model, self.ask.prompt_tokens, time);
        }
        Ok(Sent { exchange, reply, flight })
    }

    fn request(&self, endpoint: &str, left: u64, after: Option<u64>) -> Request<Full<Bytes>> {
        let terms = Terms {
            endpoint,
            deadline_ms: left,
            workspace: self.workspace.as_ref().map(|one| &*one.name),
            model: self.model.as_deref(),
            rank: rank(self.workspace.as_ref().and_then(|one| one.rank), self.route.rank),
            after_event: after,
        };
        let headers = self.entry.dialect.request_headers(&self.head, &terms);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Waits for the head of the answer as long as the endpoint deserves it.
    async fn exchange(
        &mut self,
        endpoint: &Rc<Endpoint>,
        request: Request<Full<Bytes>>,
        began: Duration,
    ) -> Result<Exchange, Ended> {
        let fresh = !self.route.is_repeatable();
        let entry = Rc::clone(&self.entry);
        let metrics = &entry.metrics;
        let sending = endpoint.pool.send(request, fresh, || {
            metrics.connections.inc();
        });
        let mut sending = std::pin::pin!(sending);
        loop {
            let left = self.ends.saturating_sub(boot_time());
            let step = if self.can_leave() { left.min(PATIENCE_STEP) } else { left };
            match tokio::time::timeout(step, sending.as_mut()).await {
                Ok(sent) => return self.judge_send(endpoint, sent),
                Err(_) if boot_time() >= self.ends => {
                    self.runs += 1;
                    return Err(Ended::OutOfTime);
                }
                Err(_) => {}
            }
            let reason = match self.impatience(endpoint, began) {
                None => continue,
                Some(Impatience::NoAnswer) => "no answer in time",
                Some(Impatience::Silent) => {
                    let reachable = tokio::select! {
                        sent = sending.as_mut() => return self.judge_send(endpoint, sent),
                        reachable = endpoint.pool.warm() => reachable,
                    };
                    if reachable {
                        self.entry.metrics.connections.inc();
                        endpoint.hear();
                        continue;
                    }
                    "the endpoint is silent"
                }
            };
            self.runs += 1;
            self.fault(endpoint, reason);
            return Err(Ended::Unknown);
        }
    }

    /// Notes why a send brought no answer.
    fn judge_send(
        &mut self,
        endpoint: &Endpoint,
        sent: Result<Exchange, Failure>,
    ) -> Result<Exchange, Ended> {
        match sent {
            Ok(exchange) => Ok(exchange),
            Err(Failure::Unreachable(cause)) => {
                let pause = endpoint.unreachable();
                self.entry.metrics.paused.inc();
                info!(self.entry.log, "endpoint can't be reached";
                    "endpoint" => &*endpoint.id(), "request" => &self.ask.id,
                    "cause" => cause, "pause_ms" => pause.as_millis() as u64);
                Err(Ended::NotRun)
            }
            Err(Failure::Lost(cause)) => {
                self.runs += 1;
                self.fault(endpoint, &cause);
                Err(Ended::Unknown)
            }
        }
    }

    fn can_leave(&self) -> bool {
        self.route.is_repeatable() && self.runs + 1 < self.route.attempts.max(1)
    }

    /// Why a repeatable request should leave an endpoint that has not answered, if it should.
    fn impatience(&self, endpoint: &Endpoint, began: Duration) -> Option<Impatience> {
        if !self.can_leave() {
            return None;
        }
        let now = boot_time();
        let waited = now.saturating_sub(began);
        let silent = endpoint.heard.get().is_none_or(|at| now >= at + SILENCE_LIMIT);
        if silent && waited >= SILENCE_LIMIT {
            return Some(Impatience::Silent);
        }
        let patience = match self.route.kind {
            Kind::Stream => STREAM_PATIENCE.max(Duration::from_millis(2 * self.route.target_ms)),
            Kind::Safe | Kind::Unsafe => PLAIN_PATIENCE,
        };
        (waited >= patience).then_some(Impatience::NoAnswer)
    }

    /// Reads a whole answer.
    pub async fn whole(&mut self, sent: Sent) -> Result<Response<Body>, Ended> {
        let Sent { exchange: Exchange { mut connection, response }, reply, flight } = sent;
        let (head, body) = response.into_parts();
        let left = self.ends.saturating_sub(boot_time());
        let read = match tokio::time::timeout(left, body.collect()).await {
            Ok(Ok(read)) => read.to_bytes(),
            Ok(Err(cause)) => {
                self.fault(&flight.endpoint, &cause.to_string());
                return Err(Ended::Unknown);
            }
            Err(_) => return Err(Ended::OutOfTime),
        };
        if exchange::settle(&mut connection).await {
            flight.give_back(connection, reply.keep_alive);
        }
        if head.status.is_server_error() {
            flight.judge(End::Bad);
            self.fault(&flight.endpoint, "the endpoint failed");
        } else {
            flight.judge(End::Good(boot_time().saturating_sub(flight.began)));
            flight.endpoint.succeeded();
        }
        let mut response = Response::new(Body::whole(read));
        *response.status_mut() = head.status;
        *response.headers_mut() = self.entry.dialect.response_headers(&head.headers);
        Ok(response)
    }
}
