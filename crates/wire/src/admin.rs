//! Administration interface over HTTP: shapes of requests and answers.

use std::collections::BTreeMap;

use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Revision;
use hickoryreel_state::config::Config;
use hickoryreel_state::machine::Stage;
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
}
