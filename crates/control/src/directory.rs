//! Directory of endpoints: soft state from announcements, with expiry.
//!
//! Entries pass announcements on to the replicas they reach. Every replica also asks the others for
//! what they heard from entries ([`Directory::heard`]), so that each hears of every endpoint.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use hickoryreel_base::name::Endpoint;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::ReceivedAnnouncement;
use parking_lot::Mutex;

/// An endpoint that is silent for this long leaves the directory.
pub const ANNOUNCEMENT_LIFETIME: Duration = Duration::from_secs(3);

/// Departures are remembered this long, so that every entry that holds a lease hears of them.
const DEPARTURE_LIFETIME: Duration = Duration::from_secs(60);

/// Bits of a change number that count changes. The bits above are random for each start, so that
/// the number of another replica or of an earlier start is recognized.
const COUNTER_BITS: u32 = 40;

/// The directory. Changes are numbered, so that an entry asks only for what is new to it.
#[derive(Debug)]
pub struct Directory {
    inner: Mutex<Inner>,
}

#[derive(Debug)]
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
    /// Whether it came from an entry or the endpoint, and not from another replica.
    direct: bool,
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
    /// Whether this is the whole directory, because the given number is of another one.
    pub whole: bool,
    /// Announcements that are newer.
    pub changed: Vec<Announcement>,
    /// Endpoints that left since.
    pub gone: Vec<Endpoint>,
}

impl Default for Directory {
    fn default() -> Self {
        let epoch = u64::from(rand::random::<u32>() >> 9) + 1;
        let change = epoch << COUNTER_BITS;
        let inner = Inner { change, present: BTreeMap::new(), gone: BTreeMap::new() };
        Self { inner: Mutex::new(inner) }
    }
}

impl Directory {
    /// Takes in an announcement from an entry or the endpoint, unless a newer one is known.
    pub fn announce(&self, announcement: Announcement, now: Instant) {
        self.inner.lock().take_in(announcement, now, true);
    }

    /// Takes in announcements that another replica heard.
    pub fn relayed(&self, heard: Vec<ReceivedAnnouncement>, now: Instant) {
        let mut inner = self.inner.lock();
        for ReceivedAnnouncement { announcement, age_ms } in heard {
            let age = Duration::from_millis(age_ms);
            if let Some(then) = now.checked_sub(age).filter(|_| age < ANNOUNCEMENT_LIFETIME) {
                inner.take_in(announcement, then, false);
            }
        }
    }

    /// What this replica heard from entries and endpoints after `since`, and the newest number.
    pub fn heard(&self, since: u64, now: Instant) -> (u64, Vec<ReceivedAnnouncement>) {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let since = inner.own(since).unwrap_or(0);
        let direct = inner.present.values().filter(|one| one.direct && one.change > since);
        let heard = direct.map(|one| {
            let age = now.saturating_duration_since(one.heard);
            let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
            ReceivedAnnouncement { announcement: one.announcement.clone(), age_ms }
        });
        (inner.change, heard.collect())
    }

    /// What changed after `since`.
    pub fn delta(&self, since: u64, now: Instant) -> Delta {
        let mut inner = self.inner.lock();
        inner.expire(now);
        let own = inner.own(since);
        let since = own.unwrap_or(0);
        let changed = inner.present.values().filter(|present| present.change > since);
        let gone = inner.gone.iter().filter(|(_, gone)| gone.change > since);
        Delta {
            change: inner.change,
            whole: own.is_none(),
            changed: changed.map(|present| present.announcement.clone()).collect(),
            gone: gone.map(|(endpoint, _)| endpoint.clone()).collect(),
        }
    }

    /// The endpoints that are present.
    pub fn present(&self, now: Instant) -> Vec<Announcement> {
        self.delta(0, now).changed
    }
}

impl Inner {
    /// `since`, if it is a number of this directory.
    fn own(&self, since: u64) -> Option<u64> {
        (since >> COUNTER_BITS == self.change >> COUNTER_BITS).then_some(since)
    }

    fn take_in(&mut self, announcement: Announcement, heard: Instant, direct: bool) {
        let order = |of: &Announcement| (of.incarnation, of.sequence);
        if let Some(known) = self.present.get(&announcement.endpoint)
            && order(&known.announcement) >= order(&announcement)
        {
            return;
        }
        self.change += 1;
        let change = self.change;
        self.gone.remove(&announcement.endpoint);
        let endpoint = announcement.endpoint.clone();
        self.present.insert(endpoint, Present { announcement, change, heard, direct });
    }

    fn expire(&mut self, now: Instant) {
        self.gone.retain(|_, gone| now.saturating_duration_since(gone.since) < DEPARTURE_LIFETIME);
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
