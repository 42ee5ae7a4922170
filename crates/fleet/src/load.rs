//! Load of endpoints, which entries share with each other through a control replica.
//!
//! An entry reports its outstanding requests and how its sends ended since its previous report; the
//! replica answers with the totals over all entries. The totals are soft state: they may be late or
//! incomplete, and an entry without them decides from its own observations.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::Name;
use crate::crash;

/// Hash of an endpoint's id, used in reports. Endpoints whose hashes collide share their totals,
/// which makes balancing worse but breaks nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EndpointKey(u32);

impl EndpointKey {
    /// The key of the endpoint `id`.
    pub fn of(id: &str) -> Self {
        Self(xxh3_64(id.as_bytes()) as u32)
    }
}

/// Time within which an entry must write a request that was admitted to an endpoint that warms up,
/// from when it asked. Several round trips between regions.
pub const ADMISSION_VALIDITY: Duration = Duration::from_millis(300);

/// Number of route ranks that are distinguished; less urgent ones count as the last.
pub const RANKS: usize = 3;

/// Load of one endpoint, from one entry or in total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    pub endpoint: EndpointKey,
    /// Requests sent to the endpoint and not finished.
    pub outstanding: u32,
    /// Expected time to prefill the prompts that wait there, by rank of the route.
    pub prefill_ms: [u32; RANKS],
    /// Prompt tokens of the outstanding requests.
    pub prompt_tokens: u32,
    /// Sends that succeeded: since the entry's previous report, or recently over all entries.
    pub succeeded: u32,
    /// Sends that failed in the same time.
    pub failed: u32,
    /// Time that work takes there in percent of the service's usual time: the average, and the
    /// latest figure that the endpoint stated. 0 if it states none.
    pub pace: u16,
    pub latest_pace: u16,
}

/// Sends to the endpoints of a service: by one entry since its previous report, or by all entries
/// within the window of the retry budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSends {
    pub service: Name,
    /// First sends of requests.
    pub first: u32,
    /// Sends after the first one.
    pub retries: u32,
}

/// Load report of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the entry.
    pub entry: Name,
    /// Endpoints with outstanding requests, or with sends that ended since the previous report.
    pub loads: Vec<EndpointLoad>,
    /// Services with sends since the previous report.
    pub sends: Vec<ServiceSends>,
    pub crashes: crash::Report,
}

/// Answer to a report: sums over all entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Totals {
    pub loads: Vec<EndpointLoad>,
    pub sends: Vec<ServiceSends>,
    pub crashes: crash::Verdict,
}
