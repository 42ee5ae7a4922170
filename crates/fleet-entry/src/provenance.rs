//! Decides whether an answer is the endpoint's answer to the request that was sent.
//!
//! An endpoint may send bytes that belong to no request, or answer an earlier request late. A head
//! therefore counts only if it proves which request it answers. Nothing in a head without the proof is
//! used, and the request may have run.

use derive_more::Display;
use http::HeaderMap;
use http::StatusCode;
use http::header::AsHeaderName;

use crate::dialect::Reply;

/// Statuses of a failure of the endpoint itself or of its time. Such a request has run, whatever else
/// the head states.
const RUN_FAILURES: [StatusCode; 3] =
    [StatusCode::INTERNAL_SERVER_ERROR, StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];

/// Occurrence of a header that an answer must have exactly once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Field {
    #[default]
    Missing,
    /// Occurs once with a value that is valid for this request.
    Valid,
    /// Occurs several times, or with another value.
    Invalid,
}

impl Field {
    pub fn parse(
        headers: &HeaderMap,
        name: impl AsHeaderName,
        is_valid: impl FnOnce(&str) -> bool,
    ) -> Self {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => Self::Missing,
            (Some(value), None) if value.to_str().is_ok_and(is_valid) => Self::Valid,
            (Some(_), _) => Self::Invalid,
        }
    }
}

/// What the head of an answer shows of its origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Proof {
    /// The id of the request.
    pub request_id: Field,
    /// The endpoint's receipt for a run.
    pub receipt: Field,
}

/// Reason why an answer is not used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Distrust {
    #[display("the answer does not name its request")]
    NoRequest,
    #[display("the answer belongs to another request")]
    OtherRequest,
    #[display("the answer has several receipts, or an empty one")]
    InvalidReceipt,
    #[display("the answer is a success without a receipt")]
    NoReceipt,
    #[display("the answer states that nothing ran and that it ran")]
    Contradiction,
}

/// The head of an answer whose origin has not been checked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Unverified {
    proof: Proof,
    reply: Reply,
}

impl Unverified {
    pub fn new(proof: Proof, reply: Reply) -> Self {
        Self { proof, reply }
    }

    /// Returns the metadata if the answer proves that it belongs to the request.
    pub fn verify(self, status: StatusCode) -> Result<Reply, Distrust> {
        let Self { proof, reply } = self;
        match proof.request_id {
            Field::Missing => return Err(Distrust::NoRequest),
            Field::Invalid => return Err(Distrust::OtherRequest),
            Field::Valid => {}
        }
        let ran = status.is_success() || RUN_FAILURES.contains(&status);
        match proof.receipt {
            Field::Invalid => Err(Distrust::InvalidReceipt),
            Field::Missing if status.is_success() => Err(Distrust::NoReceipt),
            receipt if reply.not_run && (ran || receipt == Field::Valid) => {
                Err(Distrust::Contradiction)
            }
            Field::Missing | Field::Valid => Ok(reply),
        }
    }
}
