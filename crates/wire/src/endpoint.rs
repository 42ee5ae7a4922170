//! Announcements of endpoints.

use std::net::SocketAddr;

use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Zone;
use serde::Deserialize;
use serde::Serialize;

/// What an endpoint says about itself, about twice a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Chosen anew at each start; the newest start has the largest number.
    pub incarnation: u64,
    /// Counts the announcements of one incarnation.
    pub sequence: u64,
    /// Where it takes HTTP requests.
    pub address: SocketAddr,
    /// Region of its VM.
    pub region: Region,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// What it serves.
    pub role: Role,
    /// Whether it takes new work.
    pub state: State,
    /// Load when the announcement was made.
    pub load: Load,
}

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// A model engine.
    Engine {
        /// Versions that are loaded.
        versions: Vec<Version>,
        /// Whether orders with an old fencing number are refused.
        checks_fence: bool,
    },
    /// An instance of a plain service.
    Service {
        /// The service.
        service: Service,
    },
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes new work.
    Serving,
    /// It finishes its work and leaves.
    Leaving,
}

/// Load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub queued: u32,
    /// Requests that fit into the running batch.
    pub slots: u32,
    /// Prompt tokens still to be prefilled.
    #[serde(default)]
    pub prefill_backlog: u32,
    /// Mean time between tokens of one running request, in microseconds; 0 when idle.
    #[serde(default)]
    pub token_gap_us: u32,
    /// Age of the report when it was announced, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
}

/// A rating of one answer, from the service that rates answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rating {
    /// The version that gave the answer.
    pub version: Version,
    /// Whether the answer meets the quality bar.
    pub good: bool,
}
