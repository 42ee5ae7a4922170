//! Directory of the endpoints that announced themselves, as one replica knows them.
//!
//! Only an announcement of a service that a configuration has named makes an endpoint. Others are
//! kept aside until a configuration names their service: they may come from another program, so they
//! reach no entry and take nothing over from an endpoint, neither its id nor its address.

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::departure::Departures;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::endpoint::WARM_UP_TOLERANCE;
use hickoryreel_fleet::link::Cursor;

use crate::version_adoption::Present;
use crate::version_adoption::Versions;

/// Consecutive missed announcements after which an endpoint counts as silent. An announcement may
/// arrive seconds late.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Time for which an endpoint that deregistered or became silent is kept, so that a late
/// announcement of its incarnation is not taken for a new endpoint.
const RETENTION: Duration = Duration::from_secs(120);

struct KnownEndpoint {
    update: EndpointUpdate,
    last_heard: Duration,
    /// Number of the latest change of this endpoint; 0 if entries must not know it.
    change: u64,
    /// End of its warm-up according to the announcement that entries have.
    warm_at: Duration,
    /// Announcements whose order is lower than that of the newest one.
    earlier: Option<Earlier>,
}

impl KnownEndpoint {
    /// Records an announcement with a lower order. Returns whether such announcements have kept
    /// arriving since the one with the highest order became silent: that one was wrong, or the
    /// clock that orders the incarnations went back.
    fn is_outlived(&mut self, order: (u64, u64), silent_after: Duration) -> bool {
        let now = boot_time();
        let earlier = self.earlier.as_mut().filter(|earlier| {
            earlier.order.0 == order.0 && now < earlier.last_heard + silent_after
        });
        let since = match earlier {
            Some(earlier) if order > earlier.order => earlier.since,
            // Repeated or delayed.
            Some(_) => return false,
            None => now,
        };
        self.earlier = Some(Earlier { order, since, last_heard: now });
        self.update.status != Status::Present && now >= since + silent_after
    }
}

/// Announcements of one incarnation that arrive one after the other.
struct Earlier {
    order: (u64, u64),
    /// Time of the first one.
    since: Duration,
    /// Time of the newest one.
    last_heard: Duration,
}

/// The directory of one replica.
pub struct Directory {
    /// Random number of the process; see [`Cursor`].
    epoch: u64,
    /// Number of the newest change.
    change: u64,
    silent_after: Duration,
    /// Services of all configurations that the replica has had.
    services: HashSet<Name>,
    endpoints: HashMap<Name, KnownEndpoint>,
    /// Also of endpoints that the replica has had no announcement of, for example since its restart.
    departures: Departures,
    /// Number of the latest departure of the replicated state that is known here.
    replicated_departures: u64,
}

impl Directory {
    /// Creates an empty directory of endpoints that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        let silent_after = interval * MAX_MISSED_ANNOUNCEMENTS;
        Self {
            epoch: rand::random(),
            change: 0,
            silent_after,
            services: HashSet::new(),
            endpoints: HashMap::new(),
            departures: Departures::default(),
            replicated_departures: 0,
        }
    }

    /// Adds the services of a configuration. Endpoints that announced one of them before are used
    /// from now on. Returns whether there are any.
    pub fn add_services<'a>(&mut self, services: impl IntoIterator<Item = &'a Name>) -> bool {
        let before = self.change;
        for service in services {
            if !self.services.insert(service.clone()) {
                continue;
            }
            let announced = self.endpoints.values().map(|known| &known.update.announcement);
            let waiting = announced.filter(|announcement| announcement.service == *service);
            for id in waiting.map(|announcement| announcement.id.clone()).collect::<Vec<_>>() {
                self.change += 1;
                let Some(known) = self.endpoints.get_mut(&id) else { continue };
                known.change = self.change;
                let announcement = known.update.announcement.clone();
                if known.update.status == Status::Present {
                    self.supersede_earlier(&announcement);
                }
            }
        }
        self.change != before
    }

    /// Whether a configuration has named the service of an announcement.
    pub fn is_configured(&self, announcement: &Announcement) -> bool {
        self.services.contains(&announcement.service)
    }

    /// Whether the announcement has the id of an endpoint, but a service that no configuration has
    /// named. It comes from another program.
    pub fn is_foreign(&self, announcement: &Announcement) -> bool {
        let known = self.endpoints.get(&announcement.id);
        !self.is_configured(announcement)
            && known.is_some_and(|known| self.is_configured(&known.update.announcement))
    }

    /// Records an announcement. Returns whether entries need it, or `None` if it is stale or
    /// foreign.
    pub fn announce(&mut self, mut announcement: Announcement) -> Option<bool> {
        let now = boot_time();
        if self.is_foreign(&announcement) || self.departures.is_gone(&announcement) {
            return None;
        }
        announcement.draining |= self.departures.is_draining(&announcement);
        let is_configured = self.is_configured(&announcement);
        if is_configured {
            // One of another program with the id of this endpoint.
            let services = &self.services;
            self.endpoints.retain(|id, known| {
                *id != announcement.id || services.contains(&known.update.announcement.service)
            });
        }
        if let Some(known) = self.endpoints.get_mut(&announcement.id) {
            let previous = &known.update.announcement;
            let same_incarnation = announcement.incarnation == previous.incarnation;
            let gone = same_incarnation && known.update.status == Status::Gone;
            let late = announcement.order() < previous.order();
            if gone || (late && !known.is_outlived(announcement.order(), self.silent_after)) {
                return None;
            }
        }
        let is_superseded = self.is_superseded(&announcement);
        // One that drains may be the last thing that a living endpoint says: the other one at its
        // address may be wrong, and the sender relies on the acknowledgement.
        if is_superseded && !announcement.draining {
            return None;
        }
        let status = if is_superseded { Status::Silent } else { Status::Present };
        let known = self.endpoints.get(&announcement.id);
        let left = announcement.warm_up_left();
        let warm_at = now + left;
        let differs = known.is_none_or(|known| {
            // The time left may fall more slowly than time passes, for example in a suspended VM.
            let is_longer = !left.is_zero() && warm_at > known.warm_at + WARM_UP_TOLERANCE;
            known.update.status != status
                || is_longer
                || announcement.differs(&known.update.announcement)
        });
        let unchanged = known.filter(|_| !differs);
        let warm_at = unchanged.map_or(warm_at, |known| known.warm_at);
        let change = unchanged.map(|known| known.change).unwrap_or_else(|| {
            if !is_configured {
                return 0;
            }
            if !is_superseded {
                self.supersede_earlier(&announcement);
            }
            self.change += 1;
            self.change
        });
        let id = announcement.id.clone();
        let update = EndpointUpdate { announcement, status };
        let known = KnownEndpoint { update, last_heard: now, change, warm_at, earlier: None };
        self.endpoints.insert(id, known);
        Some(differs && is_configured)
    }

    /// Whether a later endpoint has the address. The announcement is then most likely a delayed one of
    /// an endpoint that no longer runs.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        self.endpoints.values().any(|known| {
            let other = &known.update.announcement;
            known.update.status == Status::Present
                && self.is_configured(other)
                && other.address == announcement.address
                && other.id != announcement.id
                && other.incarnation > announcement.incarnation
        })
    }

    /// Marks endpoints as silent whose address the later endpoint has taken over.
    fn supersede_earlier(&mut self, later: &Announcement) {
        for known in self.endpoints.values_mut() {
            let other = &known.update.announcement;
            let earlier = other.address == later.address
                && other.id != later.id
                && other.incarnation < later.incarnation;
            if earlier && known.update.status == Status::Present {
                self.change += 1;
                known.change = self.change;
                known.update.status = Status::Silent;
            }
        }
    }

    /// Returns the incarnation of an endpoint, if it is known.
    pub fn incarnation(&self, id: &str) -> Option<u64> {
        self.endpoints.get(id).map(|known| known.update.announcement.incarnation)
    }

    /// Records that an endpoint drains or has deregistered, whether it is known or not. A later
    /// incarnation than the one that departed stays. Returns whether this is new.
    pub fn depart(&mut self, departure: &Departure) -> bool {
        let number = self.change + 1;
        if !self.departures.record(departure, number) {
            return false;
        }
        self.change = number;
        let known = self.endpoints.get_mut(&departure.id).filter(|known| {
            let incarnation = known.update.announcement.incarnation;
            known.update.status != Status::Gone && incarnation <= departure.incarnation
        });
        let Some(known) = known else { return true };
        if known.change > 0 {
            self.change += 1;
            known.change = self.change;
        }
        let announcement = &mut known.update.announcement;
        match departure.kind {
            departure::Kind::Gone => {
                known.update.status = Status::Gone;
                known.last_heard = boot_time();
                announcement.incarnation = departure.incarnation;
            }
            departure::Kind::Draining(_) => {
                announcement.draining |= self.departures.is_draining(announcement);
            }
        }
        true
    }

    /// Records the departures in the replicated state that are new. Returns whether there are any.
    pub fn add_departures(&mut self, departures: &Departures) -> bool {
        let before = self.change;
        for departure in departures.since(self.replicated_departures) {
            self.depart(&departure);
        }
        self.replicated_departures = departures.last_number();
        self.change != before
    }

    /// Marks endpoints that missed announcements as silent and drops those not heard for a long
    /// time. Returns the endpoints that became silent.
    pub fn expire(&mut self) -> Vec<Name> {
        let now = boot_time();
        let mut silent = Vec::new();
        for (id, known) in &mut self.endpoints {
            let overdue = now >= known.last_heard + self.silent_after;
            if overdue && known.update.status == Status::Present {
                known.update.status = Status::Silent;
                if known.change > 0 {
                    self.change += 1;
                    known.change = self.change;
                    silent.push(id.clone());
                }
            }
        }
        self.endpoints.retain(|_, known| now < known.last_heard + RETENTION);
        silent
    }

    /// Returns the position of the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor { epoch: self.epoch, change: self.change }
    }

    /// Whether there are changes after `cursor`.
    pub fn has_changed_since(&self, cursor: Cursor) -> bool {
        self.cursor() != cursor
    }

    /// Returns the changes after `cursor`, or all endpoints if it belongs to another process.
    pub fn updates_since(&self, cursor: Cursor) -> Vec<EndpointUpdate> {
        let from = if cursor.epoch == self.epoch { cursor.change } else { 0 };
        let changed = self.endpoints.values().filter(|known| known.change > from);
        changed.map(|known| known.update.clone()).collect()
    }

    /// Returns the departures after `cursor`, or all if it belongs to another process.
    pub fn departures_since(&self, cursor: Cursor) -> Vec<Departure> {
        let from = if cursor.epoch == self.epoch { cursor.change } else { 0 };
        self.departures.since(from).collect()
    }

    /// Returns the versions of a service of which endpoints are present.
    pub fn versions(&self, service: &str) -> Versions {
        let mut versions = Versions::new();
        for known in self.endpoints.values() {
            let announcement = &known.update.announcement;
            let is_present = known.update.status == Status::Present && known.change > 0;
            if !is_present || *announcement.service != *service {
                continue;
            }
            let (version, since) = (announcement.version.clone(), announcement.incarnation);
            match versions.iter_mut().find(|present| present.version == version) {
                Some(present) => {
                    present.since = present.since.min(since);
                    present.endpoints += 1;
                }
                None => versions.push(Present { version, since, endpoints: 1 }),
            }
        }
        versions
    }

    /// Returns the number of endpoints that are present.
    pub fn present_count(&self) -> usize {
        let known = self.endpoints.values().filter(|known| known.change > 0);
        known.filter(|known| known.update.status == Status::Present).count()
    }
}
