//! Request records: billing, run-once calls and session pins.

use std::sync::Arc;

use hickoryreel_base::error::Error;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::command::Holder;
use crate::command::Revision;

/// Identity of a request record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// The caller's request id.
    pub request: Request,
}

/// What a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// A model version.
    Version(Version),
    /// A plain service.
    Service(Service),
}

/// Opens a record before the first byte of an answer may reach the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Open {
    /// The record.
    pub key: Key,
    /// The entry that holds the request.
    pub holder: Holder,
    /// Number of the dispatch, growing within the holder. An open that is sent again after a lost
    /// answer keeps its number and gets the first answer again, even when its version was withdrawn
    /// in between: the entry checks its own configuration once more when it dispatches. A caller's
    /// resend gets a new number.
    pub attempt: u64,
    /// What it runs on.
    pub target: Target,
    /// The endpoint it is sent to.
    pub endpoint: Endpoint,
    /// Whether the request may run only once.
    pub run_once: bool,
    /// The session to pin, if any.
    pub session: Option<Session>,
    /// Hash of the request body, to detect a request id used for two requests.
    pub digest: u64,
    /// Revision of the configuration the entry routed by.
    pub revision: Revision,
    /// `x-request-time` of the caller, in milliseconds since the Unix epoch; the same on a resend.
    pub request_ms: u64,
}

/// Moves an open record of a repeatable request: a retry elsewhere or the next run of a cascade,
/// before any byte reached the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    /// The record.
    pub key: Key,
    /// The entry that holds the request.
    pub holder: Holder,
    /// Number of the new dispatch; larger than that of the record.
    pub attempt: u64,
    /// What it runs on now.
    pub target: Target,
    /// The endpoint it is sent to now.
    pub endpoint: Endpoint,
    /// The session, if any; its pin holds.
    pub session: Option<Session>,
    /// Revision of the configuration the entry routed by.
    pub revision: Revision,
}

/// Settles a record of a holder that has lapsed, by what its endpoint says about the run. The
/// endpoint is asked after the lapse is committed: before that the entry may still send the
/// request, and an answer from that time would be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settle {
    /// The record.
    pub key: Key,
    /// The holder that has lapsed.
    pub holder: Holder,
    /// Number of the dispatch that was asked about.
    pub attempt: u64,
    /// What the endpoint says.
    pub finding: Finding,
}

/// What an endpoint says about a run whose entry died.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Finding {
    /// The run finished with this usage; it is billed.
    Finished {
        /// What is billed.
        usage: Usage,
        /// The answer to give again, if it is a small run-once call.
        answer: Option<Stored>,
    },
    /// The run never started.
    NeverStarted {
        /// Whether the endpoint could still start it, for example from a delayed message.
        may_start: bool,
    },
    /// The run was cancelled at the deadline. A run that is still running is asked about again
    /// and has no finding.
    Cancelled,
    /// The endpoint can't be asked.
    Unreachable,
}

/// One engine run beside the billed one, for example the first run of a cascade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The version that ran.
    pub version: Version,
    /// What the run used and cost.
    pub usage: Usage,
}

/// Closes a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Close {
    /// The record.
    pub key: Key,
    /// The entry that holds the request.
    pub holder: Holder,
    /// Number of the dispatch that ended.
    pub attempt: u64,
    /// How the request ended.
    pub end: End,
    /// Runs beside the billed one; they are not billed.
    pub runs: SmallVec<[Run; 1]>,
    /// The answer to give again on a resend of a run-once call, if small.
    pub answer: Option<Stored>,
}

/// An answer kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// HTTP status code.
    pub status: u16,
    /// Body.
    pub body: Arc<[u8]>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// Answered; billed with this usage.
    Answered(Usage),
    /// Nothing ran; not billed.
    NotRun,
    /// It may have run; not billed.
    Unknown,
}

/// What a request is billed for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
    /// Cost in currency units.
    pub cost: f64,
}

/// A record as kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// The caller's request time, in milliseconds since the Unix epoch.
    pub request_ms: u64,
    /// The entry that holds the request.
    pub holder: Holder,
    /// Number of the holder's newest dispatch.
    pub attempt: u64,
    /// What it runs on.
    pub target: Target,
    /// The endpoint it was sent to.
    pub endpoint: Endpoint,
    /// Whether the request may run only once.
    pub run_once: bool,
    /// Whether the session was moved to another version by this record.
    pub moved: bool,
    /// Hash of the request body.
    pub digest: u64,
    /// Cost of the runs beside the billed one, in currency units.
    pub runs_cost: f64,
    /// How it ended; `None` while it is open.
    pub end: Option<End>,
    /// The answer to give again, if kept.
    pub answer: Option<Stored>,
}

/// Answer to one [`crate::command::RecordChange`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The record is open and the request may proceed.
    Opened,
    /// The record is open and the request may proceed; its session left a version that was
    /// withdrawn or is no longer allowed (`x-session-moved`).
    Moved,
    /// The session is pinned to another version; dispatch again to that version.
    Pinned(Version),
    /// The request ran before with this answer.
    Answered(Stored),
    /// A repeatable request that was answered before: it may run again without a second bill.
    Repeat,
    /// The record is closed as asked.
    Closed,
    /// The record was closed or taken over by another holder before; this change has no effect.
    AlreadyClosed,
    /// The change was refused.
    Refused(Error),
}

/// One line of the billing listing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    /// The record.
    pub key: Key,
    /// What it ran on.
    pub target: Target,
    /// What is billed.
    pub usage: Usage,
    /// Cost of the runs beside the billed one, in currency units.
    pub runs_cost: f64,
}

/// Sums over the records of a workspace, kept after the records are pruned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests that were billed.
    pub billed: u64,
    /// Records that ended as not run. A request that ran later counts here too.
    pub not_run: u64,
    /// Records that ended with an unknown outcome.
    pub unknown: u64,
    /// Billed tokens of prompts.
    pub prompt_tokens: u64,
    /// Billed generated tokens.
    pub completion_tokens: u64,
    /// Billed cost, in currency units.
    pub cost: f64,
    /// Cost of the runs beside the billed ones, in currency units.
    pub runs_cost: f64,
}
