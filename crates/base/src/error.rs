//! The fixed set of error kinds and the HTTP response of each.
//!
//! Every failure that a caller or an operator can see is an [`Error`], which has a [`Kind`] and a
//! message. [`Kind::answer`] gives the HTTP status, the stable code, whether the work ran, and
//! whether a retry is advisable.

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether the requested work was executed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The work did not run and will not run.
    #[display("no")]
    No,
    /// The work ran completely or in part.
    #[display("yes")]
    Yes,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
}

/// The response for one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// Stable machine-readable code in the response body.
    pub code: &'static str,
    /// Whether the work was executed.
    pub ran: Ran,
    /// Value of the `retry-after` header in seconds, if a retry is advisable.
    pub retry_after_s: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal, $code:literal, $ran:ident, $retry:expr;)*) => {
        /// Kind of an error. The set is fixed: every new failure has to map to one of these.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The response for this kind.
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        code: $code,
                        ran: Ran::$ran,
                        retry_after_s: $retry,
                    },)*
                }
            }
        }
    };
}

kinds! {
    /// The request is not valid JSON, or a field or header is missing or wrong.
    MalformedRequest = 400, "malformed_request", No, None;
    /// The caller's key is missing or belongs to no workspace.
    Unauthenticated = 401, "unauthenticated", No, None;
    /// The caller's workspace may not use this rank, model, version or service.
    NotAllowed = 403, "not_allowed", No, None;
    /// The path, model, version, service, bundle or record does not exist.
    NotFound = 404, "not_found", No, None;
    /// The request body did not arrive in time.
    RequestTimeout = 408, "request_timeout", No, Some(1);
    /// A request with this id is still running.
    StillRunning = 409, "still_running", Unknown, Some(2);
    /// The outcome of the request with this id is unknown.
    OutcomeUnknown = 409, "outcome_unknown", Unknown, None;
    /// The request with this id ran, but its answer is no longer stored.
    AlreadyAnswered = 409, "already_answered", Yes, None;
    /// The request id is older than the retention period of request records.
    RequestTooOld = 410, "request_too_old", No, None;
    /// The request id was already used for a different request.
    RequestIdReused = 422, "request_id_reused", No, None;
    /// The request body is larger than the limit.
    RequestTooLarge = 413, "request_too_large", No, None;
    /// The queue of the rank is full.
    QueueFull = 429, "queue_full", No, Some(2);
    /// The predicted wait exceeds the target of the rank.
    DeadlineUnmet = 503, "deadline_unmet", No, Some(2);
    /// No endpoint serves a version that the workspace may use.
    NoEndpoint = 503, "no_endpoint", No, Some(2);
    /// The entry holds no lease, so it may not start work.
    NoLease = 503, "no_lease", No, Some(1);
    /// The entry is shutting down.
    Draining = 503, "draining", No, Some(1);
    /// The retry budget of the workspace is exhausted; the last attempt of this request was not
    /// sent.
    EndpointUnavailable = 503, "endpoint_unavailable", No, Some(2);
    /// The endpoint failed after it was sent the work.
    EndpointFailed = 502, "endpoint_failed", Unknown, None;
    /// The endpoint did not answer in time after it was sent the work.
    EndpointTimeout = 504, "endpoint_timeout", Unknown, None;
    /// The answer was interrupted and could not be completed.
    AnswerIncomplete = 502, "answer_incomplete", Yes, None;
    /// The replica is not the leader.
    NotLeader = 503, "not_leader", No, Some(1);
    /// No quorum confirmed the write in time; it may still be committed.
    NoQuorum = 503, "no_quorum", Unknown, Some(1);
    /// The write is based on a revision that is not the newest.
    StaleRevision = 409, "stale_revision", No, None;
    /// The bundle or the settings contain mistakes.
    InvalidBundle = 422, "invalid_bundle", No, None;
    /// The operation is not allowed in the current state, for example signing off one's own bundle.
    WrongState = 409, "wrong_state", No, None;
    /// The disk that holds the control state is full.
    StorageFull = 507, "storage_full", No, None;
    /// An internal error of hickoryreel.
    Internal = 500, "internal", Unknown, None;
}

/// An error for a caller or an operator.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error, Serialize, Deserialize)]
#[display("{}: {message}", kind.answer().code)]
pub struct Error {
    /// Determines the response.
    pub kind: Kind,
    /// Human-readable description.
    pub message: String,
}

impl Error {
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

/// The JSON body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    pub error: Detail,
}

/// The object `error` of [`Body`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Stable machine-readable code, see [`Answer::code`].
    pub code: String,
    /// Human-readable description.
    pub message: String,
    /// Whether the work was executed.
    pub ran: Ran,
}

impl From<&Error> for Body {
    fn from(error: &Error) -> Self {
        let answer = error.kind.answer();
        Self {
            error: Detail {
                code: answer.code.to_owned(),
                message: error.message.clone(),
                ran: answer.ran,
            },
        }
    }
}

/// A result with [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
