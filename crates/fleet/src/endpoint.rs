//! Announcements of endpoints, and how two announcements compare.

use std::net::SocketAddrV4;

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// What an endpoint says about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity; mostly new with each start.
    pub id: Name,
    /// Service to which the endpoint belongs.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddrV4,
    /// Availability zone.
    pub zone: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it asks for no new work.
    pub draining: bool,
    /// Time for which it stays slow after its start, in milliseconds.
    pub cold_ms: u64,
    /// Start time by its own clock; orders the incarnations that share an id.
    pub incarnation: u64,
    /// Rises with each announcement of one incarnation.
    pub sequence: u64,
}

impl Announcement {
    /// Position among all announcements of this id.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Whether entries need to know this announcement although they know `older`.
    pub fn differs(&self, older: &Self) -> bool {
        let same = Self { sequence: self.sequence, cold_ms: self.cold_ms, ..older.clone() };
        *self != same || (self.cold_ms == 0) != (older.cold_ms == 0)
    }
}

/// What is known of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Status {
    /// It announces itself.
    Present,
    /// It has not announced itself for a while. It may be cut off from control alone.
    Silent,
    /// It said that it leaves for good.
    Gone,
}

/// A change of the directory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sighting {
    /// Newest announcement.
    pub announcement: Announcement,
    /// What is known of the endpoint.
    pub status: Status,
}
