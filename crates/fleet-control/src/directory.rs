//! Directory of the endpoints that announced themselves, as one replica knows them.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::link::Cursor;

/// Consecutive missed announcements after which an endpoint counts as silent. An announcement may
/// arrive seconds late.
const MAX_MISSED_ANNOUNCEMENTS: u32 = 4;

/// Time for which an endpoint that deregistered or became silent is kept, so that a late
/// announcement of its incarnation is not taken for a new endpoint.
const RETENTION: Duration = Duration::from_secs(120);

struct KnownEndpoint {
    update: EndpointUpdate,
    last_heard: Duration,
    /// Number of the latest change of this endpoint.
    change: u64,
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
    endpoints: HashMap<Name, KnownEndpoint>,
}

impl Directory {
    /// Creates an empty directory of endpoints that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        let endpoints = HashMap::new();
        let silent_after = interval * MAX_MISSED_ANNOUNCEMENTS;
        Self { epoch: rand::random(), change: 0, silent_after, endpoints }
    }

    /// Records an announcement. Returns whether entries need it, or `None` if it is stale.
    pub fn announce(&mut self, announcement: Announcement) -> Option<bool> {
        let now = boot_time();
        if let Some(known) = self.endpoints.get_mut(&announcement.id) {
            let previous = &known.update.announcement;
            let same_incarnation = announcement.incarnation == previous.incarnation;
            let gone = same_incarnation && known.update.status == Status::Gone;
            let late = announcement.order() < previous.order();
            if gone || (late && !known.is_outlived(announcement.order(), self.silent_after)) {
                return None;
            }
        }
        if self.is_superseded(&announcement) {
            return None;
        }
        let known = self.endpoints.get(&announcement.id);
        let differs = known.is_none_or(|known| {
            known.update.status != Status::Present
                || announcement.differs(&known.update.announcement)
        });
        let unchanged = known.filter(|_| !differs).map(|known| known.change);
        let change = unchanged.unwrap_or_else(|| {
            self.supersede_earlier(&announcement);
            self.change += 1;
            self.change
        });
        let id = announcement.id.clone();
        let update = EndpointUpdate { announcement, status: Status::Present };
        self.endpoints.insert(id, KnownEndpoint { update, last_heard: now, change, earlier: None });
        Some(differs)
    }

    /// Whether a later endpoint has the address. The announcement is then a delayed one of an
    /// endpoint that no longer runs.
    fn is_superseded(&self, announcement: &Announcement) -> bool {
        self.endpoints.values().any(|known| {
            let other = &known.update.announcement;
            known.update.status == Status::Present
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

    /// Marks an endpoint as gone, unless its incarnation is later than `max_incarnation`. Returns
    /// the incarnation, or `None` if the endpoint is unknown or stays.
    pub fn deregister(&mut self, id: &str, max_incarnation: u64) -> Option<u64> {
        let known = self.endpoints.get_mut(id)?;
        let incarnation = known.update.announcement.incarnation;
        if incarnation > max_incarnation {
            return None;
        }
        if known.update.status != Status::Gone {
            self.change += 1;
            known.change = self.change;
            known.update.status = Status::Gone;
            known.last_heard = boot_time();
        }
        Some(incarnation)
    }

    /// Marks endpoints that missed announcements as silent and drops those not heard for a long
    /// time. Returns the endpoints that became silent.
    pub fn expire(&mut self) -> Vec<Name> {
        let now = boot_time();
        let mut silent = Vec::new();
        for (id, known) in &mut self.endpoints {
            let overdue = now >= known.last_heard + self.silent_after;
            if overdue && known.update.status == Status::Present {
                self.change += 1;
                known.change = self.change;
                known.update.status = Status::Silent;
                silent.push(id.clone());
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

    /// Returns the number of endpoints that are present.
    pub fn present_count(&self) -> usize {
        self.endpoints.values().filter(|known| known.update.status == Status::Present).count()
    }
}
