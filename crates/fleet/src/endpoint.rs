//! Announcements of endpoints, how two announcements compare, and updates of the directory.

use std::net::SocketAddrV4;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Maximum warm-up time that is believed at once. An endpoint that states a longer one counts as cold
/// for this time after each of its announcements.
const MAX_WARM_UP: Duration = Duration::from_secs(600);

/// Difference between two stated ends of a warm-up that entries need not learn. Announcements are
/// delayed by a few milliseconds, and each update goes to all entries.
pub const WARM_UP_TOLERANCE: Duration = Duration::from_millis(100);

/// An endpoint's description of itself, sent periodically.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity; most endpoints take a new one with each start.
    pub id: Name,
    /// Service to which the endpoint belongs.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: Name,
    /// Version of the service that it runs.
    pub version: Name,
    /// Maximum number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts no new requests.
    pub draining: bool,
    /// Time until it has warmed up after its start; 0 once it has.
    pub warm_up_left_ms: u64,
    /// Start time by its own clock; orders the incarnations with the same id.
    pub incarnation: u64,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
}

impl Announcement {
    /// Sort key among all announcements with this id; later ones are greater.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Time until it has warmed up, as far as it is believed.
    pub fn warm_up_left(&self) -> Duration {
        Duration::from_millis(self.warm_up_left_ms).min(MAX_WARM_UP)
    }

    /// Whether entries that know `older` need this announcement. The sequence number and the
    /// passing of the warm-up time alone are no reason to send it. Whether the warm-up ends later than
    /// stated before depends on the times of arrival, which the directory of a replica knows.
    pub fn differs(&self, older: &Self) -> bool {
        let same = Self {
            sequence: self.sequence,
            warm_up_left_ms: self.warm_up_left_ms,
            ..older.clone()
        };
        *self != same || (self.warm_up_left_ms == 0) != (older.warm_up_left_ms == 0)
    }
}

/// Status of an endpoint at a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Status {
    /// Its announcements arrive.
    Present,
    /// Its announcements have stopped. Entries may still reach it.
    Silent,
    /// It has deregistered.
    Gone,
}

/// Update of the directory of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Newest announcement.
    pub announcement: Announcement,
    pub status: Status,
}
