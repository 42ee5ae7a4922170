//! Room for a request: waits until an endpoint can take it, or refuses it if none can in time.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::load::RANKS;
use rand::RngExt;
use slog::info;
use xxhash_rust::xxh3::Xxh3Default;

use super::ActiveRequest;
use super::MIN_SEND_TIME_MS;
use super::TRIAL_CHECK_INTERVAL;
use crate::admission;
use crate::admission::Calibration;
use crate::admission::Decision;
use crate::admission::Demand;
use crate::admission::Overload;
use crate::availability::Outlook;
use crate::cold;
use crate::endpoint::Endpoint;
use crate::outcome::SendEnd;
use crate::pick;
use crate::pick::PickContext;
use crate::prefill::PrefillPermit;
use crate::routed::endpoint_wait;
use crate::routed::latest_start;
use crate::routed::next_look;

impl ActiveRequest {
    /// Picks an endpoint. Before the first send it waits for one to announce itself if there is none.
    /// If all are leaving or have asked for pauses, it waits only for a pause that ends in time.
    pub async fn wait_for_endpoint(&mut self) -> Option<Rc<Endpoint>> {
        let entry = Rc::clone(&self.entry);
        let until = boot_time() + endpoint_wait(Duration::from_millis(self.left_ms()));
        let mut lacked_memory = false;
        loop {
            let state_changed = entry.state_changed.notified();
            if let Some(endpoint) = self.pick() {
                return Some(endpoint);
            }
            let room_at = match self.admit_cold().await {
                cold::Answer::Admitted(admission) => {
                    let endpoint = Rc::clone(&admission.endpoint);
                    self.admission = Some(admission);
                    return Some(endpoint);
                }
                cold::Answer::Wait(room_at) => Some(room_at),
                cold::Answer::None => None,
            };
            let now = boot_time();
            if self.lacks_memory() {
                if !std::mem::replace(&mut lacked_memory, true) {
                    self.record_memory_wait(now);
                }
                let until = self.latest_memory_wait();
                if now >= until {
                    return None;
                }
                let wake_at = until.min(now + TRIAL_CHECK_INTERVAL);
                let _ = tokio::time::timeout(wake_at - now, state_changed).await;
                continue;
            }
            if self.sends > self.withdrawn {
                return None;
            }
            let (outlook, latest_start) = (self.outlook(now), self.latest_start());
            if room_at.is_none() && matches!(outlook, Outlook::Leaving | Outlook::Excluded) {
                self.log_exclusion(outlook);
            }
            let (_, wake_at) = next_look(outlook, room_at, now, until, latest_start)?;
            // The end of the wait is checked above.
            let _ = tokio::time::timeout(wake_at - now, state_changed).await;
        }
    }

    fn log_exclusion(&self, outlook: Outlook) {
        let view = self.entry.view.borrow();
        let workspace = self.workspace.as_deref();
        info!(self.entry.log, "no endpoint may take the request"; "request" => &self.metadata.id,
            "outlook" => ?outlook, "route" => &*self.route.name,
            "route_regions" => self.route.allowed_regions.join(", "),
            "workspace" => workspace.map(|workspace| &*workspace.name),
            "workspace_regions" => workspace.map(|workspace| workspace.allowed_regions.join(", ")),
            "evacuated" => view.evacuated.join(", "), "configuration" => view.number());
    }

    fn latest_start(&self) -> Duration {
        latest_start(&self.route, self.arrived, self.deadline)
    }

    /// Whether the request lacks nothing but room in the KV caches of the endpoints.
    fn lacks_memory(&self) -> bool {
        self.with_context(&self.tried, None, pick::lacks_memory)
    }

    /// Whether the request waits for such room before its next send.
    pub(super) fn waits_for_memory(&self) -> bool {
        boot_time() < self.latest_memory_wait() && self.lacks_memory()
    }

    /// Time until which the request waits for such room. A stream that has begun can't be refused.
    fn latest_memory_wait(&self) -> Duration {
        match self.first_at {
            Some(_) => self.deadline.saturating_sub(Duration::from_millis(MIN_SEND_TIME_MS)),
            None => self.latest_start(),
        }
    }

    fn record_memory_wait(&self, now: Duration) {
        self.entry.metrics.memory_waits.inc();
        info!(self.entry.log, "request waits for room in the KV caches";
            "request" => &self.metadata.id, "prompt_tokens" => self.metadata.prompt_tokens,
            "memory_tokens" => self.entry.memory_tokens(&self.service),
            "until_ms" => self.latest_memory_wait().saturating_sub(now).as_millis() as u64);
    }

    fn outlook(&self, now: Duration) -> Outlook {
        let outlook = |context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]| {
            pick::outlook(context, endpoints, now)
        };
        self.with_context(&[], None, outlook)
    }

    /// Delay until the client may repeat a refused request, if the endpoints are overloaded or have
    /// asked for pauses.
    pub(super) fn retry_after(&self) -> Option<Duration> {
        if self.refused_for.is_some() {
            return self.refused_for;
        }
        let now = boot_time();
        self.outlook(now).retry_after(now, self.route.rank, rand::rng().random())
    }

    /// Picks an endpoint for the next send, with a permit if the prompt is long, or ends the request
    /// if no endpoint is expected to answer it in time. Endpoints that warm up take what the others
    /// can't, if they admit it.
    pub async fn admitted_endpoint(
        &mut self,
    ) -> Result<(Rc<Endpoint>, Option<PrefillPermit>), SendEnd> {
        if let Some(overload) = self.find_overload() {
            return Ok((self.admit_cold_or_refuse(overload).await?, None));
        }
        let permit = self.acquire_prefill_permit().await;
        let found = self.wait_for_endpoint().await;
        self.found_none = found.is_none();
        let Some(endpoint) = found else { return Err(SendEnd::NotRun) };
        let is_cold = endpoint.needs_admission(self.entry.cold_limit(&self.service), boot_time());
        if is_cold && self.is_admitted_by(&endpoint) {
            return Ok((endpoint, permit));
        }
        // The load may have changed while the request waited.
        match self.find_overload() {
            Some(overload) => Ok((self.admit_cold_or_refuse(overload).await?, permit)),
            None => Ok((endpoint, permit)),
        }
    }

    async fn admit_cold_or_refuse(&mut self, overload: Overload) -> Result<Rc<Endpoint>, SendEnd> {
        if let cold::Answer::Admitted(admission) = self.admit_cold().await {
            let endpoint = Rc::clone(&admission.endpoint);
            self.admission = Some(admission);
            return Ok(endpoint);
        }
        self.entry.metrics.admission_refusals.inc();
        self.refused_for = Some(overload.retry_after);
        if let Some(identity) = self.identity() {
            let now = boot_time();
            self.entry.returns.borrow_mut().record(identity, now + overload.retry_after, now);
        }
        info!(self.entry.log, "no endpoint is expected to answer in time";
            "request" => &self.metadata.id, "route" => &*self.route.name,
            "service" => &*self.service, "model" => self.model.as_deref(),
            "rank" => self.admission_rank(), "endpoints" => overload.endpoints,
            "wait_ms" => overload.wait_ms as u64, "prefill_ms" => overload.prefill_ms as u64,
            "limit_ms" => overload.limit_ms as u64, "left_ms" => self.left_ms(),
            "target_ms" => self.route.target_ms, "sends" => self.sends,
            "retry_after_ms" => overload.retry_after.as_millis() as u64);
        Err(SendEnd::NotAdmitted)
    }

    /// Finds out whether no endpoint is expected to answer the request before its deadline. Only a
    /// request that has not run is refused, as the refusal says so, and only one whose prefill is
    /// known.
    fn find_overload(&self) -> Option<Overload> {
        let has_begun = self.first_at.is_some() || self.metadata.after_event.is_some();
        if self.may_have_run || self.runs > 0 || has_begun {
            return None;
        }
        let token_ms = self.token_ms()?;
        let rank = self.admission_rank();
        let offers = self.with_context(&self.tried, Some(token_ms), |context, endpoints| {
            pick::offers(context, endpoints, rank)
        });
        let target = self.arrived + Duration::from_millis(self.route.target_ms);
        let demand = Demand {
            rank,
            target_left_ms: target.saturating_sub(boot_time()).as_secs_f64() * 1_000.0,
            left_ms: self.left_ms() as f64,
            probe_point: self.probe_point,
            left_of_delay: self.identity().map_or(Duration::ZERO, |identity| {
                self.entry.returns.borrow().left(identity, boot_time())
            }),
            factor: self.calibration(|calibration| calibration.factor(boot_time())),
            point: rand::rng().random(),
        };
        match admission::decide(&demand, &offers) {
            Decision::Send(_) => None,
            Decision::Refuse(overload) => Some(overload),
        }
    }

    fn admission_rank(&self) -> u8 {
        self.routed().admission_rank()
    }

    /// Calls a function with the calibration of the waits of this rank at the service.
    fn calibration<T>(&self, function: impl FnOnce(&mut Calibration) -> T) -> T {
        let mut calibrations = self.entry.calibrations.borrow_mut();
        let ranks = calibrations.entry(self.service.clone()).or_default();
        function(&mut ranks[usize::from(self.admission_rank()).min(RANKS - 1)])
    }

    /// Expected wait of the request at an endpoint, to be compared with the observed one.
    pub fn expected_wait_ms(&self, endpoint: &Endpoint) -> Option<f64> {
        let wait_ms = endpoint.rank_wait_ms(self.admission_rank())?;
        let prefill_ms = self.token_ms()? * self.metadata.prompt_tokens as f64;
        Some(endpoint.pace(wait_ms + prefill_ms) * wait_ms)
    }

    /// Records how long the request waited at an endpoint that was expected to begin its prefill after
    /// `expected_ms`, until its answer began or its deadline passed.
    pub fn record_wait(
        &self,
        expected_ms: Option<f64>,
        took: Duration,
        endpoint: &Endpoint,
        is_answered: bool,
    ) {
        let Some(expected_ms) = expected_ms else { return };
        let took_ms = took.as_secs_f64() * 1_000.0;
        let prefill_ms = endpoint.pace(took_ms) * self.prefill_ms();
        let wait_ms = took_ms - prefill_ms;
        let observe = if is_answered { Calibration::observe } else { Calibration::observe_expired };
        self.calibration(|calibration| observe(calibration, expected_ms, wait_ms, boot_time()));
    }

    /// Hash of the client and the content of the request. Its id does not count, because a client
    /// takes a new one for each attempt. `None` for a request without a part of its own, which can't
    /// be told from others.
    fn identity(&self) -> Option<u64> {
        self.metadata.parts.last()?;
        let mut hasher = Xxh3Default::new();
        hasher.update(self.metadata.key.as_deref().unwrap_or_default().as_bytes());
        hasher.update(self.head.uri.path().as_bytes());
        hasher.update(self.metadata.session.as_deref().unwrap_or_default().as_bytes());
        for part in &self.metadata.parts {
            hasher.update(&part.id.to_le_bytes());
        }
        hasher.update(&self.metadata.prompt_tokens.to_le_bytes());
        hasher.update(&self.body);
        Some(hasher.digest())
    }

    /// Asks for an admission to an endpoint that warms up, if there is one that may serve the request.
    async fn admit_cold(&self) -> cold::Answer {
        let candidates = self.with_context(&self.tried, self.token_ms(), pick::cold_candidates);
        if candidates.is_empty() {
            return cold::Answer::None;
        }
        cold::admit(&self.entry, &self.service, &candidates).await
    }

    /// Whether an endpoint may get the request although it warms up.
    pub fn is_admitted_by(&self, endpoint: &Endpoint) -> bool {
        let now = boot_time();
        !endpoint.needs_admission(self.entry.cold_limit(&self.service), now)
            || self.admission.as_ref().is_some_and(|admission| admission.covers(endpoint, now))
    }

    /// Whether the request may be served in the availability zone of an endpoint.
    pub fn may_be_served_by(&self, endpoint: &Endpoint) -> bool {
        let view = self.entry.view.borrow();
        self.routed().zones(&self.entry.settings, &view).exclusion_of(endpoint).is_none()
    }
}
