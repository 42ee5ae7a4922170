//! Administration interface over HTTP: shapes of requests and answers.

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
pub struct Write {
    /// The operator's request id.
    pub request: Request,
    /// The revision the write is based on.
    pub based_on: Revision,
    /// The change.
    pub change: Change,
}

/// Answer of `GET /admin/v1/status`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The configuration in force.
    pub config: Config,
    /// Submitted bundles.
    pub bundles: BTreeMap<BundleId, Bundle>,
    /// The running roll-out.
    pub roll_out: Option<RollOut>,
    /// The newest withdrawal of each version that was ever withdrawn.
    pub withdrawals: BTreeMap<Version, Withdrawal>,
    /// Replicas of the control state.
    pub replicas: Vec<Replica>,
    /// Term of the leader.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Digest of the state, 16 hexadecimal digits; equal on replicas that applied the same log.
    pub digest: String,
}

/// One submitted bundle in [`Status`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// Who submitted it.
    pub submitted_by: Operator,
    /// Who signed it off.
    pub signed_off_by: Option<Operator>,
    /// Where it stands.
    pub stage: Stage,
    /// The bundle whose content a revert brought back.
    pub revert_of: Option<BundleId>,
}

/// One replica in [`Status`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Its id, 32 hexadecimal digits.
    pub id: String,
    /// Its addresses, `RPC/ADMIN`.
    pub address: String,
    /// Whether it counts for quorums; a learner only receives the log.
    pub voter: bool,
    /// Whether it leads.
    pub leads: bool,
}

/// Answer of `GET /admin/v1/in-force/{revision}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// The revision asked about.
    pub revision: Revision,
    /// Whether no entry can start work by an older revision any more.
    pub in_force: bool,
    /// Entries that hold a lease and have not confirmed the revision.
    pub waiting: Vec<Entry>,
    /// Whether entries may hold leases of an earlier leader.
    pub unknown_leases: bool,
    /// When it is in force at the latest, in milliseconds from now.
    pub at_latest_ms: u64,
}

/// Body of `POST /admin/v1/replicas/add`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddReplica {
    /// Addresses of the new replica, `RPC/ADMIN`.
    pub address: String,
}

/// Body of `POST /admin/v1/replicas/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemoveReplica {
    /// Id of the replica, 32 hexadecimal digits.
    pub id: String,
}

/// Body of `POST /admin/v1/check` and `POST /admin/v1/diff`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleText {
    /// File name, for messages.
    pub file: String,
    /// The bundle.
    pub text: String,
}
