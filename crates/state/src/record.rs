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

use crate::command::Holder;

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
}

/// Closes a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Close {
    /// The record.
    pub key: Key,
    /// The entry that holds the request.
    pub holder: Holder,
    /// How the request ended.
    pub end: End,
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
    /// Cost of all engine runs, in currency units.
    pub cost: f64,
}

/// A record as kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was opened, in milliseconds since the Unix epoch.
    pub opened_ms: u64,
    /// The entry that holds the request.
    pub holder: Holder,
    /// What it runs on.
    pub target: Target,
    /// The endpoint it was sent to.
    pub endpoint: Endpoint,
    /// Whether the request may run only once.
    pub run_once: bool,
    /// Hash of the request body.
    pub digest: u64,
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
    /// The session is pinned to another version; dispatch again to that version.
    Pinned(Version),
    /// The request ran before with this answer.
    Answered(Stored),
    /// A repeatable request that was answered before: it may run again without a second bill.
    Repeat,
    /// The record is closed.
    Closed,
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
}
