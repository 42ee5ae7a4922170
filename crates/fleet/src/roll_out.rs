//! Roll-outs of a service's version.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Where a roll-out stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Phase {
    /// Nothing is sent to the new version yet. A session that follows a request on the old version
    /// must stay there for the first half of a roll-out, and most sessions do.
    Pending,
    /// Sessions are split between the versions by the share.
    Trial,
    /// All new work goes to the new version; work at the old version finishes.
    Moving,
    /// The new version has replaced the old one.
    Complete,
    /// The new version was withdrawn.
    RolledBack,
}

impl Phase {
    /// Whether the roll-out is still under way.
    pub fn is_running(self) -> bool {
        matches!(self, Self::Pending | Self::Trial | Self::Moving)
    }
}

/// A roll-out as agreed on by the control replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// Number of the roll-out within the deployment.
    pub serial: u64,
    /// Service.
    pub service: Name,
    /// New version.
    pub target: Name,
    /// Time given by the operator, in milliseconds.
    pub length_ms: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Parts in 1,000 of the requests that the new version receives in the trial.
    pub share: u32,
    /// Time that has passed since the order, in milliseconds, as of the last step.
    pub elapsed_ms: u64,
}

/// Counts of one route at one version, since the start of the entry that counts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Service.
    pub service: Name,
    /// Version.
    pub version: Name,
    /// Name of the route.
    pub route: Name,
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended well and in time.
    pub good: u64,
    /// Requests that failed at the endpoint, or were several times slower than usual.
    pub bad: u64,
    /// Sum of the times to the first part of an answer, in milliseconds.
    pub time_ms: u64,
    /// Requests under way.
    pub open: u64,
}

/// All that is agreed on about versions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RollOuts {
    /// Newest roll-out of each service.
    pub newest: Vec<RollOut>,
    /// Services with versions that were withdrawn.
    pub withdrawn: Vec<(Name, Name)>,
}

impl RollOuts {
    /// Newest roll-out of a service.
    pub fn of(&self, service: &str) -> Option<&RollOut> {
        self.newest.iter().find(|one| &*one.service == service)
    }

    /// Whether a version was withdrawn.
    pub fn is_withdrawn(&self, service: &str, version: &str) -> bool {
        self.withdrawn.iter().any(|(of, one)| &**of == service && &**one == version)
    }
}
