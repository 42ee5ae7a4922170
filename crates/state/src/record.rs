//! Request records, on which billing, run-once calls and session pins depend.
//!
//! An entry opens a record before it dispatches a request, may move it to another target, and
//! closes it when the request ends. If the entry's lease lapses, the leader settles the record.

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
    /// Request id, chosen by the caller.
    pub request: Request,
}

/// What a request runs on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    Version(Version),
    Service(Service),
}

/// Opens a record. It must be committed before the first byte of an answer reaches the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Open {
    pub key: Key,
    /// The entry that dispatches the request.
    pub holder: Holder,
    /// Number of the dispatch, growing within the holder. An open that is sent again after a lost
    /// answer keeps its number and gets the first answer again, even if its version was withdrawn
    /// in the meantime: the entry checks its own configuration once more when it dispatches. A
    /// caller's resend gets a new number.
    pub attempt: u64,
    pub target: Target,
    /// The endpoint that the request is sent to.
    pub endpoint: Endpoint,
    /// Whether the request may run at most once.
    pub run_once: bool,
    /// The session to pin to the target, if any.
    pub session: Option<Session>,
    /// Hash of the request body, to detect a request id that is reused for another request.
    pub digest: u64,
    /// Revision of the configuration that the entry routed by.
    pub revision: Revision,
    /// The caller's `x-request-time`, in milliseconds since the Unix epoch; the same on a resend.
    pub request_ms: u64,
}

/// Moves an open record of a repeatable request to another target or endpoint, for a retry or for
/// the next run of a cascade. No byte of an answer may have reached the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Move {
    pub key: Key,
    /// The entry that dispatches the request.
    pub holder: Holder,
    /// Number of the new dispatch; larger than that of the record.
    pub attempt: u64,
    pub target: Target,
    pub endpoint: Endpoint,
    /// The session, if any. Its pin applies to the new target as it does to an open.
    pub session: Option<Session>,
    /// Revision of the configuration that the entry routed by.
    pub revision: Revision,
}

/// Closes a record of a lapsed holder according to what its endpoint reports about the run. The
/// endpoint is asked only after the lapse is committed: until then the entry may still send the
/// request, so an earlier report could be outdated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settle {
    pub key: Key,
    /// The holder of the record, whose lease lapsed.
    pub holder: Holder,
    /// Number of the dispatch that the endpoint was asked about.
    pub attempt: u64,
    pub finding: Finding,
}

/// What an endpoint reports about a run whose entry failed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Finding {
    /// The run finished and is billed.
    Finished {
        usage: Usage,
        /// The answer to a run-once call, for resends, if it is small enough to be stored.
        answer: Option<StoredAnswer>,
    },
    /// The run never started.
    NeverStarted {
        /// Whether the endpoint could still start the run, for example on a delayed message.
        may_start: bool,
    },
    /// The run was cancelled at its deadline. There is no finding for a run that is still running;
    /// the endpoint is asked about it again.
    Cancelled,
    /// The endpoint can't be reached.
    Unreachable,
}

/// An engine run in addition to the billed one, for example the first run of a cascade.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub version: Version,
    pub usage: Usage,
}

/// Closes a record when its request has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Close {
    pub key: Key,
    /// The entry that dispatched the request.
    pub holder: Holder,
    /// Number of the dispatch that ended.
    pub attempt: u64,
    pub end: End,
    /// Runs in addition to the billed one. They are not billed, but their cost is recorded.
    pub runs: SmallVec<[Run; 1]>,
    /// The answer to a run-once call, for resends. It is dropped if it exceeds
    /// [`crate::limits::Limits::stored_bytes`].
    pub answer: Option<StoredAnswer>,
}

/// An answer to a run-once call, kept for resends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    pub body: Arc<[u8]>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// The request was answered and is billed with this usage.
    Answered(Usage),
    /// The request certainly didn't run; it is not billed.
    NotRun,
    /// The request may have run; it is not billed.
    Unknown,
}

/// Tokens and cost of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Cost in currency units.
    pub cost: f64,
}

/// The stored state of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the record was last opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// Newest request time among the opens of this request, in milliseconds since the Unix epoch.
    pub request_ms: u64,
    /// The entry that opened the record last.
    pub holder: Holder,
    /// Number of the holder's newest dispatch of this request.
    pub attempt: u64,
    pub target: Target,
    /// The endpoint that the request was sent to.
    pub endpoint: Endpoint,
    /// Whether the request may run at most once.
    pub run_once: bool,
    /// Whether this record moved its session to another version.
    pub moved: bool,
    /// Hash of the request body.
    pub digest: u64,
    /// Cost of the runs in addition to the billed one, in currency units.
    pub runs_cost: f64,
    /// How the request ended; `None` while the record is open.
    pub end: Option<End>,
    /// The answer for resends; only small answers to run-once calls are stored.
    pub answer: Option<StoredAnswer>,
}

/// Answer to one [`crate::command::RecordChange`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The record is open and the request may proceed.
    Opened,
    /// The record is open and the request may proceed. Its session was moved from a version that
    /// was withdrawn or is no longer allowed (reported to the caller as `x-session-moved`).
    Moved,
    /// The session is pinned to this version; the request has to be dispatched to it instead.
    Pinned(Version),
    /// The request ran before and was answered with this stored answer.
    Answered(StoredAnswer),
    /// The request is repeatable and was answered before: it may run again but isn't billed again.
    Repeat,
    /// The record is closed as requested.
    Closed,
    /// The change has no effect, because the record was closed or another dispatch or holder has
    /// taken it over.
    AlreadyClosed,
    Refused(Error),
}

/// A billed request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Bill {
    pub key: Key,
    pub target: Target,
    pub usage: Usage,
    /// Cost of the runs in addition to the billed one, in currency units.
    pub runs_cost: f64,
}

/// Totals over the records of a workspace, kept after the records are pruned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Number of billed requests.
    pub billed: u64,
    /// Number of records that ended as not run, including those whose request ran later.
    pub not_run: u64,
    /// Number of records that ended with an unknown outcome.
    pub unknown: u64,
    /// Billed prompt tokens.
    pub prompt_tokens: u64,
    /// Billed generated tokens.
    pub completion_tokens: u64,
    /// Billed cost, in currency units.
    pub cost: f64,
    /// Cost of the runs in addition to the billed ones, in currency units.
    pub runs_cost: f64,
}
