//! State that the tasks of an entry share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet::load::ServiceSends;
use slog::Logger;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::admission::Calibration;
use crate::admission::Returns;
use crate::availability::Availability;
use crate::budget::Counts;
use crate::budget::Limits;
use crate::budget::RetryBudget;
use crate::cascade::Cascade;
use crate::cold;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::endpoint::ColdLimit;
use crate::kept;
use crate::memory;
use crate::metrics::Metrics;
use crate::prefill;
use crate::prefill::PrefillLimiter;
use crate::quarantine::Quarantine;
use crate::settings::Settings;
use crate::tally::Tallies;
use crate::view::View;

/// Request bodies, answers, and the parts of streams that wait for clients may each take this part
/// (1/n) of the memory of the process.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Part (1/n) of the memory for answers that is kept for small ones. Endpoints that send answers
/// without end take the rest until they are given up.
const SMALL_ANSWERS_DIVISOR: usize = 4;

/// State of an entry.
pub struct Entry {
    pub settings: Settings,
    /// Protocol of clients and endpoints.
    pub dialect: Box<dyn Dialect>,
    /// Random number of this process.
    pub incarnation: u64,
    pub view: RefCell<View>,
    pub directory: RefCell<Directory>,
    /// Number of entries in the fleet, as a control replica reported it.
    pub entries: Cell<u32>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<Name, RetryBudget>>,
    /// Estimates for the models, by service.
    pub cascades: RefCell<HashMap<Name, Cascade>>,
    /// Observed waits in relation to expected ones, by service and rank.
    pub calibrations: RefCell<HashMap<Name, [Calibration; RANKS]>>,
    /// Refused clients that were asked to wait.
    pub returns: RefCell<Returns>,
    /// Limiters of long prompts, by service.
    pub prefill_limiters: RefCell<HashMap<Name, Rc<PrefillLimiter>>>,
    /// Prompt parts that crash endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// Recent uses of shared prompt parts, by service.
    pub kept: RefCell<HashMap<Name, kept::Uses>>,
    /// Admissions to endpoints that warm up.
    pub cold: cold::Client,
    /// Request counts for the decisions on roll-outs.
    pub tallies: RefCell<Tallies>,
    /// Arrival of the latest request that needs a confirmation of the agreed state after it.
    pub confirmation_wanted_at: Cell<Duration>,
    /// Wakes the polls that wait for a change when a confirmation is needed.
    pub confirmation_wanted: Notify,
    /// Wakes requests that wait for agreed state or for an endpoint.
    pub state_changed: Notify,
    /// Requests of clients that are not finished.
    pub outstanding: Cell<u32>,
    /// Memory for the bodies of requests that are not finished.
    pub body_memory: Rc<memory::Budget>,
    /// Memory for the answers without events that are being read or wait for their clients.
    pub answer_memory: Rc<memory::Budget>,
    /// Memory for the parts of streams that wait for their clients.
    pub client_memory: Rc<memory::Budget>,
    /// Time of SIGTERM, once it has arrived.
    pub stopping: Cell<Option<Duration>>,
    /// Notified when the last outstanding request ends.
    pub closed: Notify,
    /// Cancelled shortly before the process exits, so that unfinished requests still get an answer.
    pub ending: CancellationToken,
    pub metrics: Metrics,
    pub log: Logger,
}

impl Entry {
    /// Creates an entry without agreed state and endpoints.
    pub fn new(settings: Settings, dialect: Box<dyn Dialect>, log: Logger) -> Rc<Self> {
        let body_bytes = settings.memory / BODY_MEMORY_DIVISOR;
        Rc::new(Self {
            settings,
            dialect,
            incarnation: rand::random(),
            view: RefCell::default(),
            directory: RefCell::default(),
            entries: Cell::new(1),
            budgets: RefCell::default(),
            cascades: RefCell::default(),
            calibrations: RefCell::default(),
            returns: RefCell::default(),
            prefill_limiters: RefCell::default(),
            quarantine: RefCell::default(),
            kept: RefCell::default(),
            cold: cold::Client::default(),
            tallies: RefCell::default(),
            confirmation_wanted_at: Cell::default(),
            confirmation_wanted: Notify::new(),
            state_changed: Notify::new(),
            outstanding: Cell::new(0),
            body_memory: memory::Budget::new(body_bytes),
            answer_memory: memory::Budget::with_small_share(
                body_bytes,
                body_bytes / SMALL_ANSWERS_DIVISOR,
            ),
            client_memory: memory::Budget::new(body_bytes),
            stopping: Cell::new(None),
            closed: Notify::new(),
            ending: CancellationToken::new(),
            metrics: Metrics::default(),
            log,
        })
    }

    /// Whether the load balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        self.stopping.get().is_none() && view.index.is_some() && view.has_lease(self.settings.lease)
    }

    /// Lets the next polls confirm the agreed state without waiting for a change, for a request that
    /// arrived at a time.
    pub fn request_confirmation(&self, arrived: Duration) {
        if arrived > self.confirmation_wanted_at.get() {
            self.confirmation_wanted_at.set(arrived);
            self.confirmation_wanted.notify_waiters();
        }
    }

    /// Counts a request as outstanding until the guard is dropped.
    pub fn track_request(self: &Rc<Self>) -> RequestGuard {
        self.outstanding.set(self.outstanding.get() + 1);
        self.metrics.open.set(i64::from(self.outstanding.get()));
        RequestGuard(Rc::clone(self))
    }

    fn limits(&self) -> Limits {
        Limits {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
            entries: self.entries.get(),
        }
    }

    /// Records the first send of a request in the retry budget of a service.
    pub fn record_first_send(&self, service: &Name) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().record_first_send(boot_time(), &self.limits());
    }

    /// Takes a second send from the retry budget of a service. Returns whether it is allowed.
    pub fn take_second_send(&self, service: &Name) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        let taken = budgets.entry(service.clone()).or_default().take(boot_time(), &self.limits());
        if taken {
            self.metrics.second_sends.inc();
        } else {
            self.metrics.budget_refusals.inc();
        }
        taken
    }

    /// Returns the sends by service since the previous call, for a report to the other entries.
    pub fn take_sends(&self) -> Vec<ServiceSends> {
        let mut budgets = self.budgets.borrow_mut();
        let counts = budgets.iter_mut().map(|(service, budget)| (service, budget.take_report()));
        let sent = counts.filter(|(_, counts)| *counts != Counts::default());
        sent.map(|(service, Counts { first, retries })| ServiceSends {
            service: service.clone(),
            first,
            retries,
        })
        .collect()
    }

    /// Applies the sends of all entries within the window of the retry budgets.
    pub fn apply_send_totals(&self, totals: &[ServiceSends]) {
        let (mut budgets, now) = (self.budgets.borrow_mut(), boot_time());
        for sent in totals {
            let counts = Counts { first: sent.first, retries: sent.retries };
            budgets.entry(sent.service.clone()).or_default().apply_totals(counts, now);
        }
    }

    /// Whether [`Self::take_second_send`] would allow a second send now.
    pub fn has_second_send(&self, service: &Name) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().has_left(boot_time(), &self.limits())
    }

    /// Whether the retry budget of a service allows a second send that no failure demands.
    pub fn has_spare_budget(&self, service: &Name) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().has_spare(boot_time(), &self.limits())
    }

    /// Returns the limiter of long prompts of a service and its number of permits: this entry's
    /// share of one permit for each usable endpoint. `None` if the share is less than one permit;
    /// the entries could only round it up, to more permits than endpoints.
    pub fn prefill_limiter(&self, service: &Name) -> Option<(Rc<PrefillLimiter>, u32)> {
        let directory = self.directory.borrow();
        let usable =
            directory.for_service(service).iter().filter(|endpoint| endpoint.is_usable()).count();
        let permits = prefill::permits(usable, self.entries.get())?;
        let mut limiters = self.prefill_limiters.borrow_mut();
        Some((Rc::clone(limiters.entry(service.clone()).or_default()), permits))
    }

    /// Which endpoints of a service get requests only with an admission.
    pub fn cold_limit(&self, service: &Name) -> ColdLimit {
        let view = self.view.borrow();
        let service = view.index.as_ref().and_then(|index| index.service(service));
        match service.and_then(|service| service.cold_start) {
            None => ColdLimit::None,
            Some(ColdStart { after_start: false, .. }) => ColdLimit::Announced,
            Some(ColdStart { after_start: true, .. }) => ColdLimit::Restarts,
        }
    }

    /// Returns what is known of a shared prompt part at the endpoints of a service.
    pub fn kept_outlook(
        &self,
        service: &Name,
        key: Option<u64>,
        endpoints: usize,
    ) -> kept::Outlook {
        let view = self.view.borrow();
        let engine = view.index.as_ref().and_then(|index| index.service(service)?.engine.as_ref());
        let fleet = kept::Fleet {
            entries: self.entries.get(),
            endpoints,
            memory_tokens: engine.map_or(0, |engine| engine.memory_tokens),
        };
        let kept = self.kept.borrow();
        let outlook = |uses: &kept::Uses| uses.outlook(key, &fleet, boot_time());
        kept.get(service).map_or_else(|| outlook(&kept::Uses::default()), outlook)
    }

    /// Prefill time per prompt token of a model of a service.
    pub fn token_ms(&self, service: &Name, model: &Name) -> f64 {
        match self.cascades.borrow().get(service) {
            Some(cascade) => cascade.token_ms(model),
            None => Cascade::default().token_ms(model),
        }
    }

    /// Tokens that the KV cache of an endpoint of a service holds; `None` if there is no limit.
    pub fn memory_tokens(&self, service: &Name) -> Option<u64> {
        let view = self.view.borrow();
        let service = view.index.as_ref().and_then(|index| index.service(service))?;
        service.engine.as_ref().map(|engine| engine.memory_tokens).filter(|tokens| *tokens > 0)
    }

    /// Maximum number of idle connections to one endpoint of a service: this entry's share of half
    /// of the connections that the endpoint accepts. The other half is left for active requests.
    pub fn max_idle_connections(&self, service: &Name) -> usize {
        let view = self.view.borrow();
        let service = view.index.as_ref().and_then(|index| index.service(service));
        let accepted = service.map_or(0, |service| service.max_connections);
        let part = accepted / (2 * self.entries.get().max(1));
        usize::try_from(part.max(1)).unwrap_or(1)
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let directory = self.directory.borrow();
        let count = |matches: &dyn Fn(Availability) -> bool| {
            let endpoints = directory.all().filter(|endpoint| matches(endpoint.availability()));
            i64::try_from(endpoints.count()).unwrap_or(i64::MAX)
        };
        let now = boot_time();
        self.metrics.leaving.set(count(&|availability| availability.is_leaving()));
        self.metrics.asked_pauses.set(count(&|availability| availability.is_paused(now)));
        let bytes = |budget: &memory::Budget| i64::try_from(budget.used()).unwrap_or(i64::MAX);
        self.metrics.body_bytes.set(bytes(&self.body_memory));
        self.metrics.answer_bytes.set(bytes(&self.answer_memory));
        self.metrics.client_bytes.set(bytes(&self.client_memory));
        self.metrics.text()
    }

    /// Whether a zone is in this entry's region.
    pub fn is_in_region(&self, zone: &str) -> bool {
        self.settings.region(zone) == self.settings.region(&self.settings.zone)
    }
}

/// Counts a request as outstanding until it is dropped.
pub struct RequestGuard(Rc<Entry>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let open = self.0.outstanding.get().saturating_sub(1);
        self.0.outstanding.set(open);
        self.0.metrics.open.set(i64::from(open));
        if open == 0 {
            self.0.closed.notify_waiters();
        }
    }
}
