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

/// Operator name of writes made by the control plane itself, such as the withdrawal of a version
/// that fails its health check. No person may have this name.
pub const SYSTEM: &str = "system";

/// Revision of the configuration: the number of accepted configuration changes.
pub type Revision = u64;

/// Id of a submitted bundle, counted from 1.
pub type BundleId = u64;

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Command {
    /// Wall-clock time at the proposer, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub action: Action,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// A write by an operator.
    Operate(Operation),
    /// A batch of request record changes.
    Records(Vec<RecordChange>),
    /// Enters one step of the running roll-out. Resending a step that was already entered has no
    /// effect.
    Step(Step),
    /// Throttles, holds or releases the running step, on behalf of a controller.
    Pace(Pace),
    /// Ends a holder permanently after its lease has expired: it opens no more records, its open
    /// records may be settled, and it must not be granted another lease. The leader stops granting
    /// it leases as soon as it proposes this command, because a lease granted before the commit
    /// would still be valid after it.
    Lapse(Holder),
    /// Takes the next fencing token.
    TakeFence {
        /// What the token is used for; informational only.
        purpose: Arc<str>,
    },
    /// A change of the order lease or of an order.
    Order(order::Change),
    SetLimits(Limits),
}

/// A controller's request to enter a step of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The bundle being rolled out.
    pub bundle: BundleId,
    /// The step to enter, counted from 1 in the bundle's list of steps.
    pub number: u32,
}

/// Value of [`Pace::parts`] at which a step is neither throttled nor held.
pub const FULL_PACE: u8 = 8;

/// Throttles a roll-out step: sets the part of the step's share of traffic that takes new requests.
///
/// While a version is suspected to be faulty, it must not be exposed to more requests; if the
/// suspicion proves wrong, the roll-out must continue without an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The bundle being rolled out.
    pub bundle: BundleId,
    /// The step to throttle, counted from 1 in the bundle's list of steps. The command is refused
    /// if the roll-out is in another step.
    pub step: u32,
    /// New pace, from 0, which holds the step, to [`FULL_PACE`].
    pub parts: u8,
}

/// A write by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operation {
    pub operator: Operator,
    /// The operator's request id; a resend with the same id gets the first answer again.
    pub request: Request,
    /// The revision that the write is based on. The write is refused if a newer one exists.
    pub based_on: Revision,
    pub change: Change,
}

/// A configuration change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a bundle as a draft.
    Submit {
        /// Text of the bundle, in the format that [`hickoryreel_base::bundle::parse`] reads.
        text: Arc<str>,
    },
    /// Signs off a submitted bundle. The operator must not be the one who submitted it.
    SignOff { bundle: BundleId },
    /// Starts the roll-out of a signed-off bundle.
    RollOut { bundle: BundleId },
    /// Moves the running roll-out to a larger share of traffic; 100 completes it.
    Advance {
        bundle: BundleId,
        /// New share of traffic, in percent.
        percent: u8,
    },
    /// Pauses the running roll-out at its current share of traffic.
    Pause { bundle: BundleId },
    /// Resumes a paused roll-out.
    Resume { bundle: BundleId },
    /// Puts the content of a bundle that was in force before into force again, as a new bundle.
    /// Cancels a running roll-out.
    Revert {
        /// The earlier bundle whose content is used.
        bundle: BundleId,
    },
    /// Withdraws a version, which then receives no new work. For the operator [`SYSTEM`],
    /// [`Operation::based_on`] is not checked.
    Withdraw {
        version: Version,
        /// Free text for operators; not interpreted.
        reason: Arc<str>,
    },
}

/// One change of a request record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum RecordChange {
    Open(Open),
    Close(Close),
    /// Moves an open record to another target or endpoint.
    Move(Move),
    /// Closes a record whose holder has lapsed.
    Settle(Settle),
}

/// The process that holds a record: one incarnation of an entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    pub entry: Entry,
    /// Grows with each start of the process and after each lapse of its lease; for example the
    /// start time in milliseconds since the Unix epoch.
    pub incarnation: u64,
}
