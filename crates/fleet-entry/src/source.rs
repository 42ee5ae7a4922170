//! Choice of the control replica that sends new configurations to an entry.
//!
//! An entry polls all replicas. If all of them sent a new configuration, hundreds of entries would get
//! it five times, most of it between regions. So one replica, the source, sends it as soon as it is
//! agreed; the others only state its number. An entry that stays behind a number asks all of them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_fleet::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an entry waits for its source after it has learned of a newer configuration.
const MAX_BEHIND: Duration = Duration::from_millis(150);

/// A polled replica.
#[derive(Clone, Debug, Default)]
struct Replica {
    /// Availability zone, once the replica has stated it.
    zone: Option<Name>,
    /// Whether it answered the latest poll.
    answers: bool,
}

/// The polled replicas, and the newest configuration of which they know.
#[derive(Debug, Default)]
pub struct Sources {
    replicas: HashMap<SocketAddr, Replica>,
    newest: u64,
    /// Time since which the entry has had an older configuration than the newest.
    behind_since: Option<Duration>,
}

impl Sources {
    /// Records an answer of a replica, with its zone if it states it.
    pub fn record_answer(&mut self, address: SocketAddr, zone: Option<Name>) {
        let replica = self.replicas.entry(address).or_default();
        replica.answers = true;
        replica.zone = zone.or(replica.zone.take());
    }

    /// Records that a replica did not answer.
    pub fn record_failure(&mut self, address: SocketAddr) {
        self.replicas.entry(address).or_default().answers = false;
    }

    /// Forgets a replica that is no longer polled.
    pub fn remove(&mut self, address: SocketAddr) {
        self.replicas.remove(&address);
    }

    /// Records at time `now` the number of the newest configuration according to a replica, and that
    /// of the entry's configuration.
    pub fn record_numbers(&mut self, newest: u64, own: u64, now: Duration) {
        self.newest = self.newest.max(newest);
        if own >= self.newest {
            self.behind_since = None;
        } else {
            self.behind_since.get_or_insert(now);
        }
    }

    /// The replica that sends configurations to `entry`: one that answers, in the entry's region if
    /// possible. The entries of a region are spread over its replicas.
    pub fn source(&self, entry: &str, is_in_region: impl Fn(&str) -> bool) -> Option<SocketAddr> {
        let answering = self.replicas.iter().filter(|(_, replica)| replica.answers);
        let rank = |address: &SocketAddr, replica: &Replica| {
            let is_near = replica.zone.as_deref().is_some_and(&is_in_region);
            (!is_near, xxh3_64(format!("{entry} {address}").as_bytes()))
        };
        answering
            .min_by_key(|(address, replica)| rank(address, replica))
            .map(|(address, _)| *address)
    }

    /// Whether the poll to a replica asks for a newer configuration at time `now`. `own` is the number
    /// of the entry's configuration, 0 if it has none.
    pub fn wants_configuration(
        &self,
        address: SocketAddr,
        source: Option<SocketAddr>,
        own: u64,
        now: Duration,
    ) -> bool {
        let is_late = self.behind_since.is_some_and(|since| now >= since + MAX_BEHIND);
        own == 0 || is_late || source.is_none_or(|source| source == address)
    }
}
