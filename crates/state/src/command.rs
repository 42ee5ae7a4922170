//! Commands of the replicated log.

use std::sync::Arc;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::limits::Limits;
use crate::order;
use crate::record::Close;
use crate::record::Move;
use crate::record::Open;
use crate::record::Settle;

/// Operator name of control's own writes, such as the withdrawal of a version that fails its
/// health test. No person may have this name.
pub const SYSTEM: &str = "system";

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
    /// Enters one step of the running roll-out. Resending a step that was entered has no effect.
    Step(Step),
    /// A controller slows down, holds or releases the running step.
    Pace(Pace),
    /// Ends a holder for good once its lease has lapsed: it opens no more records, its open
    /// records may be settled, and it must not be granted another lease. The leader grants it none
    /// from the moment it proposes the lapse: a lease granted before the commit would outlive it.
    Lapse(Holder),
    /// Takes the next fencing number.
    TakeFence {
        /// What it is for, for the log.
        purpose: Arc<str>,
    },
    /// A change of the order lease or of an order.
    Order(order::Change),
    /// Replaces the limits.
    SetLimits(Limits),
}

/// A controller's wish to enter a step of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The bundle that is being rolled out.
    pub bundle: BundleId,
    /// The step to enter, counted from 1 in the bundle's list of steps.
    pub number: u32,
}

/// Parts of a step's share that take new requests when the step is neither slowed nor held.
pub const FULL_PACE: u8 = 8;

/// How much of a step's share takes new requests.
///
/// A suspicion against a version must not expose more requests until it is settled, and it must
/// not need an operator when it turns out to be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The bundle.
    pub bundle: BundleId,
    /// The step it is in, counted from 1 in the bundle's list.
    pub step: u32,
    /// Parts of [`FULL_PACE`]; 0 holds the step.
    pub parts: u8,
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
    /// Pauses the running roll-out at its present share of traffic.
    Pause {
        /// The bundle.
        bundle: BundleId,
    },
    /// Resumes a paused roll-out.
    Resume {
        /// The bundle.
        bundle: BundleId,
    },
    /// Puts the content of a bundle that was in force before into force again, as a new bundle.
    /// A running roll-out ends.
    Revert {
        /// The bundle with the content.
        bundle: BundleId,
    },
    /// Withdraws a version: it receives no new work. By [`SYSTEM`] it is based on no revision.
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
    /// Moves an open record to another target or endpoint.
    Move(Move),
    /// Settles a record whose holder has lapsed.
    Settle(Settle),
}

/// Which process wrote a record: an entry in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The entry.
    pub entry: Entry,
    /// Larger at each start, and after each lapse of the lease; for example the start time in
    /// milliseconds since the Unix epoch.
    pub incarnation: u64,
}
