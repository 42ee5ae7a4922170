//! What the tasks of an entry share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use slog::Logger;
use tokio::sync::Notify;

use crate::budget::Budget;
use crate::budget::Limits;
use crate::bulk::Places;
use crate::cascade::Cascade;
use crate::dialect::Dialect;
use crate::directory::Directory;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::tally::Tallies;
use crate::view::View;

/// An entry.
pub struct Entry {
    /// Settings.
    pub settings: Settings,
    /// Protocol of clients and endpoints.
    pub dialect: Box<dyn Dialect>,
    /// Random number of this process.
    pub incarnation: u64,
    /// The agreed state.
    pub view: RefCell<View>,
    /// Endpoints.
    pub directory: RefCell<Directory>,
    /// Entries that follow control, as a replica reported.
    pub entries: Cell<u32>,
    /// Budgets of second sends by service.
    pub budgets: RefCell<HashMap<Name, Budget>>,
    /// What is known of the models, by service.
    pub cascades: RefCell<HashMap<Name, Cascade>>,
    /// Places for long prompts, by service.
    pub places: RefCell<HashMap<Name, Rc<Places>>>,
    /// Counts for roll-outs.
    pub tallies: RefCell<Tallies>,
    /// Wakes requests that wait for agreed state or for an endpoint.
    pub news: Notify,
    /// Requests under way.
    pub open: Cell<u32>,
    /// Bytes of request bodies in memory.
    pub body_bytes: Cell<usize>,
    /// When SIGTERM came.
    pub stopping: Cell<Option<Duration>>,
    /// Wakes those who wait for the last request.
    pub closed: Notify,
    /// Metrics.
    pub metrics: Metrics,
    /// Log of the process.
    pub log: Logger,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(settings: Settings, dialect: Box<dyn Dialect>, log: Logger) -> Rc<Self> {
        Rc::new(Self {
            settings,
            dialect,
            incarnation: rand::random(),
            view: RefCell::default(),
            directory: RefCell::default(),
            entries: Cell::new(1),
            budgets: RefCell::default(),
            cascades: RefCell::default(),
            places: RefCell::default(),
            tallies: RefCell::default(),
            news: Notify::new(),
            open: Cell::new(0),
            body_bytes: Cell::new(0),
            stopping: Cell::new(None),
            closed: Notify::new(),
            metrics: Metrics::default(),
            log,
        })
    }

    /// Whether the balancer should send new connections here.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        self.stopping.get().is_none() && view.index.is_some() && view.has_lease(self.settings.lease)
    }

    /// Counts a request as open until the guard is dropped.
    pub fn guard(self: &Rc<Self>) -> Guard {
        self.open.set(self.open.get() + 1);
        self.metrics.open.set(i64::from(self.open.get()));
        Guard(Rc::clone(self))
    }

    fn limits(&self) -> Limits {
        Limits {
            ratio: self.settings.retry_ratio,
            slack: self.settings.retry_slack,
            window: self.settings.retry_window,
            entries: self.entries.get(),
        }
    }

    /// Notes the first send of a request.
    pub fn note_first_send(&self, service: &Name) {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().first(boot_time(), &self.limits());
    }

    /// Takes one second send out of the budget of a service.
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

    /// Whether second sends of a service leave enough of the budget for failures.
    pub fn has_spare_budget(&self, service: &Name) -> bool {
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(service.clone()).or_default().has_spare(boot_time(), &self.limits())
    }

    /// Places for long prompts of a service, and how many there are: this entry's part of one for
    /// each usable endpoint.
    pub fn places(&self, service: &Name) -> (Rc<Places>, u32) {
        let directory = self.directory.borrow();
        let usable = directory.of(service).iter().filter(|one| one.is_usable()).count();
        let places = usable.div_ceil(self.entries.get().max(1) as usize).max(1);
        let mut all = self.places.borrow_mut();
        let shared = Rc::clone(all.entry(service.clone()).or_default());
        (shared, u32::try_from(places).unwrap_or(u32::MAX))
    }

    /// Idle connections that this entry keeps to one endpoint of a service: its part of half of
    /// what the endpoint accepts, so that open requests find room.
    pub fn most_idle(&self, service: &Name) -> usize {
        let view = self.view.borrow();
        let service = view.index.as_ref().and_then(|index| index.service(service));
        let accepted = service.map_or(0, |service| service.max_connections);
        let part = accepted / (2 * self.entries.get().max(1));
        usize::try_from(part.max(1)).unwrap_or(1)
    }

    /// Whether a zone is in this entry's region.
    pub fn is_near(&self, zone: &str) -> bool {
        self.settings.region(zone) == self.settings.region(&self.settings.zone)
    }
}

/// Counts a request as open.
pub struct Guard(Rc<Entry>);

impl Drop for Guard {
    fn drop(&mut self) {
        let open = self.0.open.get().saturating_sub(1);
        self.0.open.set(open);
        self.0.metrics.open.set(i64::from(open));
        if open == 0 {
            self.0.closed.notify_waiters();
        }
    }
}
