//! Directory of endpoints: soft state from announcements, with expiry.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::name::Endpoint;
use hickoryreel_wire::endpoint::Announcement;
use parking_lot::Mutex;

/// An endpoint that is silent for this long leaves the directory.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(3);

/// Departures are remembered this long, so that every entry that holds a lease hears of them.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);

/// The directory. Changes are numbered, so that an entry asks only for what is new to it.
#[derive(Debug, Default)]
pub struct Directory {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    change: u64,
    present: BTreeMap<Endpoint, Present>,
    gone: BTreeMap<Endpoint, Gone>,
}

#[derive(Debug)]
struct Present {
    announcement: Announcement,
    change: u64,
    heard: Instant,
}

#[derive(Debug)]
struct Gone {
    change: u64,
    since: Instant,
}

/// What is new since a change number.
#[derive(Debug, Default, PartialEq)]
pub struct Delta {
    /// Newest change number.
    pub change: u64,
    /// Announcements that are newer.
    pub changed: Vec<Announcement>,
    /// Endpoints that left since.
    pub gone: Vec<Endpoint>,
}

impl Directory {
    /// Takes in an announcement unless a newer one of the same endpoint is known.
    pub fn announce(&self, announcement: Announcement, now: Instant) {
        let mut inner = self.inner.lock();
        let order = |of: &Announcement| (of.incarnation, of.sequence);
        if let Some(known) = inner.present.get(&announcement.endpoint)
            && order(&known.announcement) >= order(&announcement)
        {
            return;
        }
        inner.change += 1;
        let change = inner.change;
        inner.gone.remove(&announcement.endpoint);
        let endpoint = announcement.endpoint.clone();
        inner.present.insert(endpoint, Present { announcement, change, heard: now });
    }

    /// What changed after `since`.
    pub fn delta(&self, since: u64, now: Instant) -> Delta {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let changed = inner.present.values().filter(|present| present.change > since);
        let gone = inner.gone.iter().filter(|(_, gone)| gone.change > since);
        Delta {
            change: inner.change,
            changed: changed.map(|present| present.announcement.clone()).collect(),
            gone: gone.map(|(endpoint, _)| endpoint.clone()).collect(),
        }
    }
}

impl Inner {
    fn expire(&mut self, now: Instant) {
        self.gone.retain(|_, gone| now.duration_since(gone.since) < DEPARTURE_LIFETIME);
        let silent = self.present.iter().filter(|(_, present)| {
            now.saturating_duration_since(present.heard) >= ANNOUNCEMENT_LIFETIME
        });
        let silent: Vec<Endpoint> = silent.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in silent {
            self.change += 1;
            self.present.remove(&endpoint);
            self.gone.insert(endpoint, Gone { change: self.change, since: now });
        }
    }
}
