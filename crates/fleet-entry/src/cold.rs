//! Admissions to endpoints that warm up.
//!
//! While an endpoint warms up, all entries together may send it only a few requests per second. An
//! entry that finds no other endpoint asks a control replica, which passes the question on to the
//! leader, for an admission of one request. It must be written within [`ADMISSION_VALIDITY`] of the
//! question, on the boot clock, so that an entry that was suspended does not use an old one. Without
//! the leader there are no admissions.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::link;
use hickoryreel_fleet::link::ColdDecision;
use hickoryreel_fleet::link::ColdRequest;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::ADMISSION_VALIDITY;
use hickoryreel_fleet::load::EndpointKey;
use slog::info;

use crate::endpoint::Endpoint;
use crate::entry::Entry;

/// Time after which a question without an answer may be asked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Permission to send one request to an endpoint that warms up.
pub struct Admission {
    pub endpoint: Rc<Endpoint>,
    until: Duration,
}

impl Admission {
    /// Whether it allows a request to be written to an endpoint at time `now`.
    pub fn covers(&self, endpoint: &Endpoint, now: Duration) -> bool {
        std::ptr::eq(&*self.endpoint, endpoint) && now < self.until
    }
}

/// Answer to a question for an admission.
pub enum Answer {
    Admitted(Admission),
    /// The endpoints have no room before this time.
    Wait(Duration),
    /// There is no such endpoint, or no leader to ask.
    None,
}

/// Links for questions, and what their answers say.
#[derive(Default)]
pub struct Client {
    links: RefCell<HashMap<SocketAddr, link::Client>>,
    /// Replicas in the order in which they are asked.
    replicas: RefCell<Vec<SocketAddr>>,
    rooms: RefCell<Rooms>,
}

/// Times before which endpoints have no room. They are kept by endpoint, because requests that may go to
/// different ones ask for different admissions.
#[derive(Debug, Default)]
pub struct Rooms(HashMap<EndpointKey, Duration>);

impl Rooms {
    /// Records at time `now` that none of some endpoints has room before `room_at`.
    pub fn record(&mut self, endpoints: &[EndpointKey], room_at: Duration, now: Duration) {
        self.0.retain(|_, at| now < *at);
        self.0.extend(endpoints.iter().map(|endpoint| (*endpoint, room_at)));
    }

    /// Returns the earliest time at which one of some endpoints may have room; not later than `now` if
    /// that is not known.
    pub fn earliest(&self, endpoints: &[EndpointKey], now: Duration) -> Duration {
        let times = endpoints.iter().map(|endpoint| self.0.get(endpoint).copied().unwrap_or(now));
        times.min().unwrap_or(now)
    }
}

impl Client {
    /// Replaces the replicas that are asked.
    pub fn set_replicas(&self, mut replicas: Vec<SocketAddr>) {
        self.links.borrow_mut().retain(|address, _| replicas.contains(address));
        let current = self.replicas.borrow();
        // The replica that answered last stays the first.
        replicas.sort_unstable();
        replicas.sort_by_key(|address| current.first() != Some(address));
        drop(current);
        *self.replicas.borrow_mut() = replicas;
    }

    fn link(&self, entry: &Entry) -> Option<link::Client> {
        let address = *self.replicas.borrow().first()?;
        let start = || link::Client::start(address, entry.log.clone());
        Some(self.links.borrow_mut().entry(address).or_insert_with(start).clone())
    }

    /// Asks another replica the next time.
    fn skip(&self) {
        let mut replicas = self.replicas.borrow_mut();
        if !replicas.is_empty() {
            replicas.rotate_left(1);
        }
    }
}

/// Asks for an admission to one of some endpoints of a service that warm up, the best first.
pub async fn admit(entry: &Entry, service: &Name, candidates: &[Rc<Endpoint>]) -> Answer {
    let client = &entry.cold;
    let asked_at = boot_time();
    let endpoints: Vec<EndpointKey> = candidates.iter().map(|endpoint| endpoint.key()).collect();
    let room_at = client.rooms.borrow().earliest(&endpoints, asked_at);
    if asked_at < room_at {
        return Answer::Wait(room_at);
    }
    let Some(link) = client.link(entry) else { return Answer::None };
    let question = ColdRequest { service: service.clone(), endpoints: endpoints.clone() };
    let request = Request::AdmitCold(question);
    let decision = match link.call(request, ADMISSION_VALIDITY).await {
        Some(link::Answer::Cold(decision)) => decision,
        other => {
            info!(entry.log, "no admission to an endpoint that warms up"; "service" => &**service,
                "answered" => other.is_some());
            client.skip();
            let room_at = asked_at + RETRY_DELAY;
            client.rooms.borrow_mut().record(&endpoints, room_at, boot_time());
            return Answer::None;
        }
    };
    match decision {
        ColdDecision::Admitted(index) => {
            let endpoint = usize::try_from(index).ok().and_then(|index| candidates.get(index));
            let Some(endpoint) = endpoint else { return Answer::None };
            entry.metrics.cold_admissions.inc();
            let endpoint = Rc::clone(endpoint);
            info!(entry.log, "request is admitted to an endpoint that warms up";
                "endpoint" => &*endpoint.id(), "service" => &**service);
            Answer::Admitted(Admission { endpoint, until: asked_at + ADMISSION_VALIDITY })
        }
        ColdDecision::Wait(wait) => {
            entry.metrics.cold_refusals.inc();
            let now = boot_time();
            client.rooms.borrow_mut().record(&endpoints, now + wait, now);
            Answer::Wait(now + wait)
        }
    }
}
