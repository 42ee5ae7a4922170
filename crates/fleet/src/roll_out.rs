//! Roll-outs of a service's version.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::histogram::Histogram;
use crate::load::EndpointKey;

/// Phase of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// The new version gets no requests yet. A session that began on the old version must stay
    /// there for the first half of a roll-out, and most sessions did begin there.
    Pending,
    /// Sessions are split between the versions by the share.
    Trial,
    /// All new requests go to the new version; those at the old version finish.
    Moving,
    /// The new version has replaced the old one.
    Complete,
    /// The new version was withdrawn.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out is neither complete nor rolled back.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Pending | Self::Trial | Self::Moving)
    }
}

/// A roll-out as agreed on by the control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// Number of the roll-out within the deployment.
    pub serial: u64,
    pub service: Name,
    /// New version.
    pub target: Name,
    /// Planned duration, set by the operator.
    pub length_ms: u64,
    pub phase: Phase,
    /// Share of the requests that go to the new version during the trial, in thousandths.
    pub share: u32,
    /// Time since the operator ordered the roll-out, as of the last step.
    pub elapsed_ms: u64,
}

/// Durations of one kind, of the sends of one route to one version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timing {
    /// Durations that were measured.
    pub measured: Histogram,
    /// Lower bounds of the durations that have not ended or were cut short. Without them, the
    /// slowest sends of a version would be the last ones to count.
    pub at_least: Histogram,
}

impl Timing {
    /// Adds the durations of another entry.
    pub fn merge(&mut self, other: &Self) {
        self.measured.merge(&other.measured);
        self.at_least.merge(&other.at_least);
    }
}

/// Request counts of one route at one version, since the entry that reports them learned of the
/// trial.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    pub service: Name,
    pub version: Name,
    /// Name of the route.
    pub route: Name,
    /// Number of the roll-out whose trial the counts cover; 0 if the entry knows of none.
    pub serial: u64,
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that the endpoint answered with an error.
    pub failed: u64,
    /// The same by endpoint.
    pub failed_at: Vec<(EndpointKey, u32)>,
    /// Times to the first event of a stream, or to the end of an answer without events.
    pub first: Timing,
    /// Mean times between the events of a stream.
    pub gap: Timing,
    /// Requests sent and not finished, of any age.
    pub outstanding: u64,
}

/// State of all roll-outs as agreed on by the control replicas.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RollOuts {
    /// Newest roll-out of each service.
    pub newest: Vec<RollOut>,
    /// Pairs of a service and a version that was withdrawn.
    pub withdrawn: Vec<(Name, Name)>,
}

impl RollOuts {
    /// Returns the newest roll-out of a service.
    pub fn for_service(&self, service: &str) -> Option<&RollOut> {
        self.newest.iter().find(|roll_out| &*roll_out.service == service)
    }

    /// Whether a version was withdrawn.
    pub fn is_withdrawn(&self, service: &str, version: &str) -> bool {
        self.withdrawn
            .iter()
            .any(|(owner, withdrawn)| &**owner == service && &**withdrawn == version)
    }
}
