//! The endpoints that announced themselves, as one replica knows them.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::link::Cursor;

/// Announcements missed in a row after which an endpoint counts as silent. An announcement may be
/// seconds late.
const MISSED: u32 = 4;

/// How long an endpoint that left or fell silent is remembered, so that a late announcement of
/// its incarnation is not taken for a new one.
const MEMORY: Duration = Duration::from_secs(120);

struct Known {
    sighting: EndpointUpdate,
    heard: Duration,
    change: u64,
}

/// The directory of one replica.
pub struct Directory {
    epoch: u64,
    change: u64,
    silent_after: Duration,
    endpoints: HashMap<Name, Known>,
}

impl Directory {
    /// An empty directory of endpoints that announce themselves every `interval`.
    pub fn new(interval: Duration) -> Self {
        let endpoints = HashMap::new();
        let silent_after = interval * MISSED;
        Self { epoch: rand::random(), change: 0, silent_after, endpoints }
    }

    /// Takes in an announcement. Returns whether entries need to know it; `None` if it is older
    /// than what is known.
    pub fn announce(&mut self, announcement: Announcement) -> Option<bool> {
        let now = boot_time();
        let known = self.endpoints.get(&announcement.id);
        if let Some(known) = known {
            let old = &known.sighting.announcement;
            let same_incarnation = announcement.incarnation == old.incarnation;
            let gone = same_incarnation && known.sighting.status == Status::Gone;
            if gone || announcement.order() < old.order() {
                return None;
            }
        }
        if self.is_displaced(&announcement) {
            return None;
        }
        let differs = known.is_none_or(|known| {
            known.sighting.status != Status::Present
                || announcement.differs(&known.sighting.announcement)
        });
        let unchanged = known.filter(|_| !differs).map(|known| known.change);
        let change = unchanged.unwrap_or_else(|| {
            self.displace_earlier(&announcement);
            self.change += 1;
            self.change
        });
        let id = announcement.id.clone();
        let sighting = EndpointUpdate { announcement, status: Status::Present };
        self.endpoints.insert(id, Known { sighting, heard: now, change });
        Some(differs)
    }

    /// Whether a later endpoint holds the address: then the announcement is a delayed one of an
    /// endpoint that has ended.
    fn is_displaced(&self, announcement: &Announcement) -> bool {
        self.endpoints.values().any(|known| {
            let other = &known.sighting.announcement;
            known.sighting.status == Status::Present
                && other.address == announcement.address
                && other.id != announcement.id
                && other.incarnation > announcement.incarnation
        })
    }

    /// Marks endpoints whose address a later one has.
    fn displace_earlier(&mut self, later: &Announcement) {
        for known in self.endpoints.values_mut() {
            let other = &known.sighting.announcement;
            let earlier = other.address == later.address
                && other.id != later.id
                && other.incarnation < later.incarnation;
            if earlier && known.sighting.status == Status::Present {
                self.change += 1;
                known.change = self.change;
                known.sighting.status = Status::Silent;
            }
        }
    }

    /// Notes that an endpoint leaves for good. Returns its incarnation if it is known.
    pub fn leave(&mut self, id: &str, at_most: u64) -> Option<u64> {
        let known = self.endpoints.get_mut(id)?;
        let incarnation = known.sighting.announcement.incarnation;
        if incarnation > at_most {
            return None;
        }
        if known.sighting.status != Status::Gone {
            self.change += 1;
            known.change = self.change;
            known.sighting.status = Status::Gone;
            known.heard = boot_time();
        }
        Some(incarnation)
    }

    /// Marks endpoints that missed announcements, and forgets what is long gone. Returns the
    /// endpoints that fell silent.
    pub fn expire(&mut self) -> Vec<Name> {
        let now = boot_time();
        let mut silent = Vec::new();
        for (id, known) in &mut self.endpoints {
            let quiet = now >= known.heard + self.silent_after;
            if quiet && known.sighting.status == Status::Present {
                self.change += 1;
                known.change = self.change;
                known.sighting.status = Status::Silent;
                silent.push(id.clone());
            }
        }
        self.endpoints.retain(|_, known| now < known.heard + MEMORY);
        silent
    }

    /// Position of the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor { epoch: self.epoch, change: self.change }
    }

    /// Whether there are changes after `cursor`.
    pub fn is_newer_than(&self, cursor: Cursor) -> bool {
        self.cursor() != cursor
    }

    /// Changes after `cursor`; everything if it belongs to another process.
    pub fn since(&self, cursor: Cursor) -> Vec<EndpointUpdate> {
        let from = if cursor.epoch == self.epoch { cursor.change } else { 0 };
        let newer = self.endpoints.values().filter(|known| known.change > from);
        newer.map(|known| known.sighting.clone()).collect()
    }

    /// Number of endpoints that are present.
    pub fn present(&self) -> usize {
        self.endpoints.values().filter(|known| known.sighting.status == Status::Present).count()
    }
}
