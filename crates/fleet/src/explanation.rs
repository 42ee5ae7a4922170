//! Questions where an entry would send a request, and the answers.
//!
//! Durations are numbers of milliseconds, because the types are also printed as JSON.

use std::fmt;

use derive_more::Display;
use derive_more::From;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;
use crate::configuration::Target;
use crate::roll_out::Phase;

/// An API key. Its debug output does not contain the key, so that no log shows it.
#[derive(Clone, PartialEq, Eq, From, Serialize, Deserialize)]
pub struct Key(Name);

impl Key {
    /// The key itself, for lookups.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Key(..)")
    }
}

/// Part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Identifies the content.
    pub id: u64,
    pub tokens: u64,
}

/// A request of which an entry tells where it would go now.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
    /// Request id. It selects one of several services of a route, and the version during the trial
    /// of a roll-out unless there is a session.
    pub id: Name,
    pub session: Option<Name>,
    /// Host without port, in lower case.
    pub host: Name,
    /// Path without a query.
    pub path: Name,
    pub key: Option<Key>,
    /// Model that the client names; `None` if it leaves the choice to the entry.
    pub model: Option<Name>,
    pub prompt_tokens: u64,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub parts: Vec<Part>,
}

/// Where an entry would send a request, and why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the entry.
    pub entry: Name,
    /// Availability zone of the entry.
    pub zone: Name,
    /// Number of entries in the fleet, by the latest answer of a control replica.
    pub entries: u32,
    /// Number of the configuration in force; 0 if there is none.
    pub configuration: u64,
    /// Time since a quorum confirmed the configuration; `None` if none did.
    pub confirmed_ms: Option<u64>,
    /// Availability zones whose endpoints get no requests.
    pub evacuated: Vec<Name>,
    /// `None` if the request is refused before an endpoint is looked for.
    pub routing: Option<Routing>,
    pub verdict: Verdict,
}

/// Route of a request and the endpoints of its service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Routing {
    pub route: Name,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Name of the workspace; `None` if the route needs no key.
    pub workspace: Option<Name>,
    /// Services of the route with their weights.
    pub targets: Vec<Target>,
    pub service: Name,
    /// Whether the service has no models.
    pub is_plain: bool,
    /// Model that the entry chooses first, or the one that the client names.
    pub model: Option<Name>,
    /// Regions that the route allows; empty for all.
    pub route_regions: Vec<Name>,
    /// Regions that the workspace allows; empty for all.
    pub workspace_regions: Vec<Name>,
    /// Newest roll-out of the service.
    pub roll_out: Option<RollOut>,
    /// Withdrawn versions of the service.
    pub withdrawn: Vec<Name>,
    /// Cost up to which the load that arrives unseen is expected to fill the endpoints.
    pub level_ms: Option<f64>,
    pub endpoints: Vec<Endpoint>,
}

/// The version rule of a roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// New version.
    pub target: Name,
    pub phase: Phase,
    /// Share of the requests that go to the new version during the trial, in thousandths.
    pub share: u32,
    /// Whether the request is in this share.
    pub is_in_trial: bool,
}

/// An endpoint of the service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    pub id: Name,
    /// Availability zone.
    pub zone: Name,
    pub version: Name,
    pub standing: Standing,
}

/// Whether an endpoint can get the request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Standing {
    Candidate(Estimate),
    /// It can get the request, because no endpoint without such a reason is left.
    LastResort(Reason, Estimate),
    Excluded(Reason),
}

impl Standing {
    /// Estimate for an endpoint that can get the request.
    pub fn estimate(&self) -> Option<&Estimate> {
        match self {
            Self::Candidate(estimate) | Self::LastResort(_, estimate) => Some(estimate),
            Self::Excluded(_) => None,
        }
    }

    /// What speaks against the endpoint.
    pub fn reason(&self) -> Option<Reason> {
        match self {
            Self::Candidate(_) => None,
            Self::LastResort(reason, _) | Self::Excluded(reason) => Some(*reason),
        }
    }
}

/// What an entry expects of an endpoint for the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    /// Share of such requests that the entry sends there.
    pub share: f64,
    /// Expected time until the endpoint begins the prefill of the request.
    pub wait_ms: f64,
    /// Expected prefill time of the request; 0 without a model that the entry chooses.
    pub prefill_ms: f64,
    /// Prompt tokens that are expected in its KV cache.
    pub kept_tokens: f64,
    /// Worth of the prefill that the kept tokens save.
    pub saved_ms: f64,
    /// Expected factor on the usual time of the work.
    pub pace: f64,
    /// Expected delay, with penalties for failures, other regions and warm-up. Endpoints are compared
    /// by this or the level, whichever is higher, minus what kept tokens save.
    pub cost_ms: f64,
    /// Estimated number of outstanding requests of all entries.
    pub load: f64,
    pub slots: u32,
    /// Age of the load that it stated to this entry.
    pub load_age_ms: Option<u64>,
    /// Age of the totals over all entries.
    pub totals_age_ms: Option<u64>,
    /// Age of the latest figure of its pace.
    pub pace_age_ms: Option<u64>,
}

/// Reason why an endpoint is left out.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    #[display("its region is not allowed")]
    Region,
    #[display("its availability zone is evacuated")]
    Evacuated,
    #[display("its version is withdrawn")]
    Withdrawn,
    /// The roll-out, or its absence, gives the request to another version.
    #[display("the request gets another version")]
    OtherVersion,
    #[display("it has deregistered")]
    Gone,
    #[display("it is draining")]
    Draining,
    #[display("it says that it is leaving")]
    Leaving,
    #[display("it asked for a pause, {left_ms} ms left")]
    Paused { left_ms: u64 },
    /// After a pause only a few requests are sent until it has accepted one.
    #[display("its first requests after a pause have no answer yet")]
    OnTrial,
    #[display("no control replica receives its announcements")]
    Silent,
    #[display("it is ejected after failures, {left_ms} ms left")]
    Ejected { left_ms: u64 },
    /// Nearly all recent sends of all entries failed.
    #[display("it is suspected: nearly all recent requests failed")]
    Suspect,
    /// It gets requests only with an admission of the leader.
    #[display("it is warming up, {left_ms} ms left")]
    WarmingUp { left_ms: u64 },
    #[display("its KV cache has no room for the prompt")]
    NoMemory,
    #[display("it is left out for another reason")]
    Other,
}

/// What the entry would do with the request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// Send it to one of the candidates; this one gets the largest share of such requests.
    Send(Name),
    /// Ask the leader for an admission to one of these endpoints, which warm up, best first.
    AskForAdmission(Vec<Name>),
    /// Wait for `up_to_ms` at most until this changes, and otherwise refuse it.
    Wait {
        up_to_ms: u64,
        otherwise: Refusal,
    },
    Refuse(Refusal),
}

/// A refusal of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub cause: Cause,
    /// HTTP status.
    pub status: u16,
    /// Smallest and largest delay for `Retry-After`, which is drawn at random between them.
    pub retry_after_ms: Option<(u64, u64)>,
}

/// Why the request is not sent now.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    #[display("the prompt is larger than the KV cache of an endpoint")]
    PromptTooLarge,
    #[display("no endpoint is expected to answer in time")]
    Overload,
    #[display("the entry has no configuration yet")]
    NoConfiguration,
    #[display("no quorum has confirmed the configuration for too long")]
    NoLease,
    #[display("no route has this host and path")]
    UnknownRoute,
    #[display("no workspace has the key")]
    UnknownKey,
    #[display("the route has no service")]
    NoService,
    #[display("a part of the prompt crashes endpoints and is blocked")]
    Blocked,
    #[display("all endpoints are in zones that are not allowed or evacuated")]
    Zones,
    #[display("all endpoints are leaving")]
    Leaving,
    #[display("all endpoints have asked for a pause")]
    Paused,
    #[display("no endpoint can take the request")]
    NoEndpoint,
    #[display("the entry refuses it for another reason")]
    Other,
}
