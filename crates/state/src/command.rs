//! Commands of the replicated log.

use std::sync::Arc;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::record::Close;
use crate::record::Open;

/// Revision of the configuration: a counter of accepted configuration changes.
pub type Revision = u64;

/// Id of a submitted bundle, counted from 1.
pub type BundleId = u64;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// What to do.
    pub action: Action,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// A write by an operator.
    Operate(Operation),
    /// A batch of request record changes.
    Records(Vec<RecordChange>),
}

/// A write by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    /// Who writes.
    pub operator: Operator,
    /// The operator's request id: a resend gets the first answer again.
    pub request: Request,
    /// The revision the write is based on.
    pub based_on: Revision,
    /// The change.
    pub change: Change,
}

/// A configuration change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a bundle as a draft.
    Submit {
        /// Text of the bundle.
        text: Arc<str>,
    },
    /// Signs off a submitted bundle; the operator differs from the one who submitted it.
    SignOff {
        /// The bundle.
        bundle: BundleId,
    },
    /// Starts to roll out a signed-off bundle.
    RollOut {
        /// The bundle.
        bundle: BundleId,
    },
    /// Moves the running roll-out to a larger share of traffic; 100 completes it.
    Advance {
        /// The bundle.
        bundle: BundleId,
        /// New share of traffic, in percent.
        percent: u8,
    },
    /// Withdraws a version: it receives no new work.
    Withdraw {
        /// The version.
        version: Version,
        /// Why, for the record.
        reason: Arc<str>,
    },
}

/// One change of a request record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordChange {
    /// Opens a record.
    Open(Open),
    /// Closes a record.
    Close(Close),
}

/// Which process wrote a record: an entry in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The entry.
    pub entry: Entry,
    /// Chosen anew at each start.
    pub incarnation: u64,
}
