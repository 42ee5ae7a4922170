//! Requests and responses of the administration interface over HTTP.

use std::collections::BTreeMap;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Revision;
use hickoryreel_state::config::Config;
use hickoryreel_state::machine::Stage;
use hickoryreel_state::machine::Withdrawal;
use hickoryreel_state::roll_out::RollOut;
use serde::Deserialize;
use serde::Serialize;

/// Body of `POST /admin/v1/operations`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WriteRequest {
    /// Request id chosen by the operator.
    pub request: Request,
    /// Newest revision that the operator knew. A write based on an older one is rejected.
    pub based_on: Revision,
    pub change: Change,
}

/// Response of `GET /admin/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force.
    pub config: Config,
    pub bundles: BTreeMap<BundleId, Bundle>,
    /// The roll-out in progress, if any.
    pub roll_out: Option<RollOut>,
    /// The newest withdrawal of each version that was ever withdrawn.
    pub withdrawals: BTreeMap<Version, Withdrawal>,
    pub replicas: Vec<Replica>,
    /// Current term of the leader.
    pub term: u64,
    /// Log index of the last committed entry.
    pub commit: u64,
    /// Digest of the state, 16 hexadecimal digits. Replicas that applied the same log have the same
    /// digest.
    pub digest: String,
}

/// A submitted bundle in [`Status`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    pub submitted_by: Operator,
    /// Absent until the bundle is signed off.
    pub signed_off_by: Option<Operator>,
    pub stage: Stage,
    /// The bundle whose content this one restores, if a revert created it.
    pub revert_of: Option<BundleId>,
}

/// A control replica in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// 32 hexadecimal digits.
    pub id: String,
    /// The two addresses of the replica, as `RPC/ADMIN`.
    pub address: String,
    /// Whether the replica counts towards quorums. Otherwise it is a learner, which only receives
    /// the log.
    pub voter: bool,
    /// Whether the replica is the leader.
    pub leads: bool,
}

/// Response of `GET /admin/v1/in-force/{revision}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    pub revision: Revision,
    /// Whether no entry can start work under an older revision any more.
    pub in_force: bool,
    /// Entries that hold a lease and have not yet confirmed the revision.
    pub waiting: Vec<Entry>,
    /// Whether entries may hold leases from an earlier leader that this leader does not know.
    pub unknown_leases: bool,
    /// Upper bound of the time until the revision is in force, in milliseconds from now.
    pub at_latest_ms: u64,
}

/// Body of `POST /admin/v1/replicas/add`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddReplica {
    /// The two addresses of the new replica, as `RPC/ADMIN`.
    pub address: String,
}

/// Body of `POST /admin/v1/replicas/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoveReplica {
    /// Replica id, 32 hexadecimal digits.
    pub id: String,
}

/// Body of `POST /admin/v1/check` and `POST /admin/v1/diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleText {
    /// File name for messages.
    pub file: String,
    /// Content of the bundle file.
    pub text: String,
}
