//! Directory of endpoints: soft state from announcements, which expire.
//!
//! Entries forward announcements to the replicas that they can reach. Every replica also polls the
//! others for the announcements that they received ([`Directory::received_since`]), so that all
//! replicas know all endpoints.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::name::Endpoint;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::ReceivedAnnouncement;
use parking_lot::Mutex;

/// An endpoint is removed from the directory if no announcement arrives for this long.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(3);

/// How long removed endpoints are remembered, so that every entry that holds a lease learns of the
/// removal.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Low bits of a change number, which count the changes. The high bits are random for each start,
/// so that numbers from another replica or from before a restart are detected.
const COUNTER_BITS: u32 = 40;

/// The endpoint directory. Changes are numbered, so that a reader can ask for only the changes that
/// it does not have yet.
#[derive(Debug)]
pub struct Directory {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    change: u64,
    present: BTreeMap<Endpoint, PresentEndpoint>,
    removed: BTreeMap<Endpoint, RemovedEndpoint>,
}

#[derive(Debug)]
struct PresentEndpoint {
    announcement: Announcement,
    change: u64,
    received_at: Instant,
    /// Whether the announcement came from an entry or the endpoint, not from another replica.
    direct: bool,
}

#[derive(Debug)]
struct RemovedEndpoint {
    change: u64,
    removed_at: Instant,
}

/// Changes after a change number.
#[derive(Debug, Default, PartialEq)]
pub struct Delta {
    pub change: u64,
    /// Whether this is the complete directory, because the given number is not from this directory.
    pub complete: bool,
    /// Announcements received after that number.
    pub changed: Vec<Announcement>,
    /// Endpoints removed after that number.
    pub removed: Vec<Endpoint>,
}

impl Default for Directory {
    fn default() -> Self {
        let epoch = u64::from(rand::random::<u32>() >> 9) + 1;
        let change = epoch << COUNTER_BITS;
        let inner = Inner { change, present: BTreeMap::new(), removed: BTreeMap::new() };
        Self { inner: Mutex::new(inner) }
    }
}

impl Directory {
    /// Records an announcement from an entry or the endpoint, unless it is not newer than the known
    /// one.
    pub fn announce(&self, announcement: Announcement, now: Instant) {
        self.inner.lock().insert_newer(announcement, now, true);
    }

    /// Records announcements that another replica received.
    pub fn announce_relayed(&self, received: Vec<ReceivedAnnouncement>, now: Instant) {
        let mut inner = self.inner.lock();
        for ReceivedAnnouncement { announcement, age_ms } in received {
            let age = Duration::from_millis(age_ms);
            if let Some(received_at) = now.checked_sub(age).filter(|_| age < ANNOUNCEMENT_LIFETIME)
            {
                inner.insert_newer(announcement, received_at, false);
            }
        }
    }

    /// Returns the newest change number and the announcements that this replica received from
    /// entries and endpoints after `since`.
    pub fn received_since(&self, since: u64, now: Instant) -> (u64, Vec<ReceivedAnnouncement>) {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let since = inner.recognize(since).unwrap_or(0);
        let direct =
            inner.present.values().filter(|endpoint| endpoint.direct && endpoint.change > since);
        let received = direct.map(|endpoint| {
            let age = now.saturating_duration_since(endpoint.received_at);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            ReceivedAnnouncement { announcement: endpoint.announcement.clone(), age_ms }
        });
        (inner.change, received.collect())
    }

    /// Returns the changes after `since`.
    pub fn delta(&self, since: u64, now: Instant) -> Delta {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let recognized = inner.recognize(since);
        let since = recognized.unwrap_or(0);
        let changed = inner.present.values().filter(|present| present.change > since);
        let removed = inner.removed.iter().filter(|(_, removed)| removed.change > since);
        Delta {
            change: inner.change,
            complete: recognized.is_none(),
            changed: changed.map(|present| present.announcement.clone()).collect(),
            removed: removed.map(|(endpoint, _)| endpoint.clone()).collect(),
        }
    }

    /// Returns the newest announcement of every endpoint that has not expired.
    pub fn present(&self, now: Instant) -> Vec<Announcement> {
        self.delta(0, now).changed
    }
}

impl Inner {
    /// Returns `since` if it is a change number of this directory.
    fn recognize(&self, since: u64) -> Option<u64> {
        (since >> COUNTER_BITS == self.change >> COUNTER_BITS).then_some(since)
    }

    fn insert_newer(&mut self, announcement: Announcement, received_at: Instant, direct: bool) {
        let order = |announcement: &Announcement| (announcement.incarnation, announcement.sequence);
        if let Some(known) = self.present.get(&announcement.endpoint)
            && order(&known.announcement) >= order(&announcement)
        {
            return;
        }
        self.change += 1;
        let change = self.change;
        self.removed.remove(&announcement.endpoint);
        let endpoint = announcement.endpoint.clone();
        self.present
            .insert(endpoint, PresentEndpoint { announcement, change, received_at, direct });
    }

    fn expire(&mut self, now: Instant) {
        self.removed.retain(|_, removed| {
            now.saturating_duration_since(removed.removed_at) < REMOVAL_RETENTION
        });
        let expired = self.present.iter().filter(|(_, present)| {
            now.saturating_duration_since(present.received_at) >= ANNOUNCEMENT_LIFETIME
        });
        let expired: Vec<Endpoint> = expired.map(|(endpoint, _)| endpoint.clone()).collect();
        for endpoint in expired {
            self.change += 1;
            self.present.remove(&endpoint);
            self.removed.insert(endpoint, RemovedEndpoint { change: self.change, removed_at: now });
        }
    }
}
