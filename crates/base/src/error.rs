//! The closed list of error kinds and the answer that belongs to each.
//!
//! Every failure a caller or an operator can see is an [`Error`]: a [`Kind`] and a message. The
//! HTTP status, the stable code, whether the work ran and whether a retry makes sense follow from
//! the kind through [`Kind::answer`].

use derive_more::Display;
use serde::Deserialize;
use serde::Serialize;

/// Whether the requested work ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Nothing ran and nothing will run.
    #[display("no")]
    No,
    /// The work ran, at least in part.
    #[display("yes")]
    Yes,
    /// The work may have run.
    #[display("unknown")]
    Unknown,
}

/// What a caller is told about one kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stable code in the error body.
    pub code: &'static str,
    /// Whether the work ran.
    pub ran: Ran,
    /// Value of `retry-after` in seconds, when a retry makes sense.
    pub retry_after_s: Option<u32>,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident = $status:literal, $code:literal, $ran:ident, $retry:expr;)*) => {
        /// An error kind. The list is closed: new failures map to one of these.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// All kinds in table order.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// The answer that belongs to this kind.
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
    /// No such path, model, version, service, bundle or record.
    NotFound = 404, "not_found", No, None;
    /// The request body arrived too slowly.
    RequestTimeout = 408, "request_timeout", No, Some(1);
    /// The request with this id is still running.
    StillRunning = 409, "still_running", Unknown, Some(2);
    /// The outcome of the request with this id is not known.
    OutcomeUnknown = 409, "outcome_unknown", Unknown, None;
    /// The request with this id ran, and its answer is no longer kept.
    AlreadyAnswered = 409, "already_answered", Yes, None;
    /// The request id is older than the retention of request records.
    RequestTooOld = 410, "request_too_old", No, None;
    /// The request id was used before for another request.
    RequestIdReused = 422, "request_id_reused", No, None;
    /// The request body is larger than the limit.
    RequestTooLarge = 413, "request_too_large", No, None;
    /// The queue of the rank is full.
    QueueFull = 429, "queue_full", No, Some(2);
    /// The predicted wait exceeds the rank's target.
    DeadlineUnmet = 503, "deadline_unmet", No, Some(2);
    /// No endpoint serves an allowed version.
    NoEndpoint = 503, "no_endpoint", No, Some(2);
    /// The entry holds no lease, so it may not start work.
    NoLease = 503, "no_lease", No, Some(1);
    /// The entry is shutting down.
    Draining = 503, "draining", No, Some(1);
    /// The retry budget of the workspace is spent; nothing was sent for this request's last try.
    EndpointUnavailable = 503, "endpoint_unavailable", No, Some(2);
    /// The endpoint failed after the work was sent.
    EndpointFailed = 502, "endpoint_failed", Unknown, None;
    /// The endpoint did not answer in time after the work was sent.
    EndpointTimeout = 504, "endpoint_timeout", Unknown, None;
    /// The answer broke off and could not be completed.
    AnswerIncomplete = 502, "answer_incomplete", Yes, None;
    /// The replica is not the leader.
    NotLeader = 503, "not_leader", No, Some(1);
    /// No quorum confirmed the write in time; it may still take effect.
    NoQuorum = 503, "no_quorum", Unknown, Some(1);
    /// The write is based on a revision that is no longer the newest.
    StaleRevision = 409, "stale_revision", No, None;
    /// The bundle or the settings have mistakes.
    InvalidBundle = 422, "invalid_bundle", No, None;
    /// The operation does not fit the present state, for example signing off one's own bundle.
    WrongState = 409, "wrong_state", No, None;
    /// The disk that holds the control state is full.
    StorageFull = 507, "storage_full", No, None;
    /// A fault of hickoryreel itself.
    Internal = 500, "internal", Unknown, None;
}

/// An error with its kind and a message for the caller.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error, Serialize, Deserialize)]
#[display("{}: {message}", kind.answer().code)]
pub struct Error {
    /// The kind, from which the answer follows.
    pub kind: Kind,
    /// What went wrong, for a person.
    pub message: String,
}

impl Error {
    /// An error of `kind` with `message`.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

/// The JSON body of an error answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// The error.
    pub error: Detail,
}

/// The content of [`Body`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Detail {
    /// Stable code from the table.
    pub code: String,
    /// Message for a person.
    pub message: String,
    /// Whether the work ran.
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

/// Shorthand for results with [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
