//! JSON-RPC between entries and control replicas, and among control replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hickoryreel_base::error::Error;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Revision;
use hickoryreel_state::config::Config;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::Announcement;

/// Method names.
pub mod method {
    /// Renews the lease of an entry. Parameter [`super::RenewRequest`], result [`super::Grant`].
    pub const LEASE_RENEW: &str = "lease_renew";
    /// Submits changes of request records. Parameter `Vec<RecordChange>`, result
    /// `Vec<record::Outcome>`.
    pub const RECORD_SUBMIT: &str = "record_submit";
    /// Forwards an announcement. Parameter `Announcement`, no result.
    pub const ANNOUNCE: &str = "announce";
    /// Delivers messages of the consensus protocol. Parameters: the JSON-RPC address of the sender
    /// and the messages in base64. No result.
    pub const CONSENSUS_STEP: &str = "consensus_step";
    /// Returns the identity of a replica. No parameter, result [`super::Identity`].
    pub const REPLICA_IDENTITY: &str = "replica_identity";
    /// Returns the announcements that a replica received itself, after a change number. Parameter:
    /// the change number, result [`super::Directory`].
    pub const DIRECTORY: &str = "directory";
}

/// Result of a call. A refusal is part of the result instead of a JSON-RPC error, so that the
/// caller receives the typed error kind.
pub type Reply<T> = Result<T, Refusal>;

/// Error of a rejected call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    pub error: Error,
    /// Address of the leader, if it is known and is a different replica.
    pub leader: Option<SocketAddr>,
}

/// A value for each pool (model or service), rank and workspace with demand. The maps are nested so
/// that the names of pools and ranks are not repeated for each workspace.
pub type PerWorkspace<T> = BTreeMap<Model, BTreeMap<Rank, BTreeMap<Workspace, T>>>;

/// Demand of one entry, in millionths of a slot.
pub type Usage = PerWorkspace<u64>;

/// Demand of the receiving entry and total demand of all entries, both from the same aggregation,
/// in millionths of a slot. Contains only the pools, ranks and workspaces that the entry itself
/// reported, because other totals do not affect its shares.
pub type Digest = PerWorkspace<(u64, u64)>;

/// Request to renew the lease of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RenewRequest {
    /// Identity of the entry.
    pub holder: Holder,
    /// Revision that the entry uses for routing; 0 when it has none.
    pub revision: Revision,
    /// Newest directory change that the entry received, as returned in [`Grant::directory`].
    pub directory: u64,
    /// Recent demand at the entry.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub usage: Usage,
}

/// Response to a [`RenewRequest`]: the lease and what changed since the last renewal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Length of the lease in milliseconds, counted from before the entry sent the call.
    pub length_ms: u64,
    /// Newest committed revision.
    pub revision: Revision,
    /// The newest configuration, if the entry has an older one.
    pub config: Option<Config>,
    /// Newest directory change in this response. Change numbers of different replicas are not
    /// comparable; the entry only sends the number back.
    pub directory: u64,
    /// Whether `changed` is the complete directory. If so, the entry drops all other endpoints.
    pub whole: bool,
    /// Endpoints whose announcement changed since the directory of the entry.
    pub changed: Vec<Announcement>,
    /// Endpoints that were removed from the directory since then.
    pub gone: Vec<Endpoint>,
    /// The newest digest. Absent if the leader is new or the digest does not include the entry yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
}

/// Identity of a control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// 32 hexadecimal digits.
    pub id: String,
    /// Whether the log of the replica is empty.
    pub empty: bool,
    /// Ids and addresses of the initial members, if they are still in the log.
    pub first_members: Option<Vec<(String, String)>>,
}

/// Announcements that a replica received from entries and endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Newest directory change of the replica.
    pub change: u64,
    /// Announcements after the requested change.
    pub heard: Vec<ReceivedAnnouncement>,
}

/// An announcement and its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReceivedAnnouncement {
    pub announcement: Announcement,
    /// Time since the replica received it, in milliseconds.
    pub age_ms: u64,
}
