//! JSON-RPC between entries and control.

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
    /// Renews an entry's lease: [`super::Renew`] to [`super::Grant`].
    pub const LEASE_RENEW: &str = "lease_renew";
    /// Submits record changes: `Vec<RecordChange>` to `Vec<record::Outcome>`.
    pub const RECORD_SUBMIT: &str = "record_submit";
    /// Passes on an announcement: `Announcement` to nothing.
    pub const ANNOUNCE: &str = "announce";
    /// Passes on messages of the replicated log: the sender's JSON-RPC address and the messages in
    /// base64, to nothing.
    pub const CONSENSUS_STEP: &str = "consensus_step";
    /// Asks a replica who it is: nothing to [`super::Identity`].
    pub const REPLICA_IDENTITY: &str = "replica_identity";
    /// Asks a replica for announcements it heard itself: a change number to [`super::Directory`].
    pub const DIRECTORY: &str = "directory";
}

/// Result of a call. A refusal is part of the result, so that its kind arrives typed.
pub type Reply<T> = Result<T, Refusal>;

/// A refused call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Why.
    pub error: Error,
    /// Address of the leader, if known and another replica.
    pub leader: Option<SocketAddr>,
}

/// A value for each pool (model or service), rank and workspace with demand. Nested, because names
/// of pools and ranks would otherwise be repeated for each workspace.
pub type PerWorkspace<T> = BTreeMap<Model, BTreeMap<Rank, BTreeMap<Workspace, T>>>;

/// Demand of one entry, in millionths of a slot.
pub type Usage = PerWorkspace<u64>;

/// One entry's own demand and the demand of all entries in the same digest, in millionths of a
/// slot. It has only what the entry itself published, since other totals change no share of it.
pub type Digest = PerWorkspace<(u64, u64)>;

/// Asks for a new lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renew {
    /// The entry.
    pub holder: Holder,
    /// Revision the entry routes by; 0 when it has none.
    pub revision: Revision,
    /// Newest directory change the entry knows.
    pub directory: u64,
    /// The entry's recent demand.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub usage: Usage,
}

/// A granted lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// Length in milliseconds, counted from before the call was sent.
    pub length_ms: u64,
    /// Newest committed revision.
    pub revision: Revision,
    /// The configuration, when the entry's is older.
    pub config: Option<Config>,
    /// Newest directory change in this answer. Numbers of different replicas never compare; the
    /// entry only sends the number back.
    pub directory: u64,
    /// Whether `changed` is the whole directory: the entry drops all other endpoints.
    pub whole: bool,
    /// Endpoints whose announcement is newer than the entry's directory.
    pub changed: Vec<Announcement>,
    /// Endpoints that left the directory since.
    pub gone: Vec<Endpoint>,
    /// The newest digest; absent if the leader is new or the entry has no part in it yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub digest: Option<Digest>,
}

/// Who a replica is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Its id, 32 hexadecimal digits.
    pub id: String,
    /// Whether its log is empty.
    pub empty: bool,
    /// Ids and addresses of the first members, if its log still names them.
    pub first_members: Option<Vec<(String, String)>>,
}

/// Announcements that a replica heard from entries and endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Directory {
    /// Newest change number of the replica.
    pub change: u64,
    /// Announcements after the number asked for.
    pub heard: Vec<Heard>,
}

/// One announcement and its age.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heard {
    /// The announcement.
    pub announcement: Announcement,
    /// How long ago it was heard, in milliseconds.
    pub age_ms: u64,
}
