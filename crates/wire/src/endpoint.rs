//! Announcements and load reports of endpoints, and ratings of answers.

use std::net::SocketAddr;

use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Zone;
use serde::Deserialize;
use serde::Serialize;

/// Announcement that an endpoint sends about twice a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    pub endpoint: Endpoint,
    /// Chosen at each start of the endpoint. A later start has a larger number.
    pub incarnation: u64,
    /// Number of the announcement within its incarnation.
    pub sequence: u64,
    /// Address at which the endpoint accepts HTTP requests.
    pub address: SocketAddr,
    /// Region of the VM of the endpoint.
    pub region: Region,
    /// Availability zone of the VM of the endpoint.
    pub zone: Zone,
    pub role: Role,
    pub state: State,
    /// Load at the time of the announcement.
    pub load: Load,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Engine {
        /// Loaded versions.
        versions: Vec<Version>,
        /// Whether the engine rejects orders with an outdated fencing token.
        checks_fence: bool,
    },
    /// An instance of a plain service.
    Service { service: Service },
}

/// Whether an endpoint accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The endpoint accepts new work.
    Serving,
    /// The endpoint finishes its work and then shuts down.
    Leaving,
}

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued in the endpoint.
    pub queued: u32,
    /// Maximum number of requests in the running batch.
    pub slots: u32,
    /// Prompt tokens that are not yet prefilled.
    #[serde(default)]
    pub prefill_backlog: u32,
    /// Mean time between tokens of a running request, in microseconds; 0 when idle.
    #[serde(default)]
    pub token_gap_us: u32,
    /// Age of the report at the time of the announcement, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
}

/// Quality rating of one answer, sent by the rating service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    /// The version that generated the answer.
    pub version: Version,
    /// Whether the answer meets the quality bar.
    pub good: bool,
}
