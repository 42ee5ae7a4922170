//! Interface to the HTTP headers of a platform.
//!
//! A dialect parses the heads of requests and answers into the types of this module and builds the
//! headers that are sent to endpoints and clients. It makes no routing decisions.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::request;
use smallvec::SmallVec;

use crate::provenance::Unverified;

/// Part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    pub tokens: u64,
}

/// Metadata of a request, from its head.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Request id; a client takes a new one for each attempt.
    pub id: String,
    /// Host without port, in lower case.
    pub host: String,
    /// Time that the client waits from the arrival of the request.
    pub deadline_ms: Option<u64>,
    /// API key of the client.
    pub key: Option<String>,
    /// Whether the client leaves the choice of the model to the entry.
    pub any_model: bool,
    pub prompt_tokens: u64,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub parts: SmallVec<[PromptPart; 4]>,
    pub session: Option<String>,
    /// Id of the last event that the client has received, if it resumes a stream.
    pub after_event: Option<u64>,
}

/// A malformed head, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// Options of a send, which the dialect adds to the client's headers.
#[derive(Clone, Debug)]
pub struct SendOptions<'a> {
    /// Id of the endpoint that must run the request; another one at the same address refuses it.
    pub endpoint: &'a str,
    /// Remaining time of the request.
    pub deadline_ms: u64,
    /// Workspace of the client; `None` if the route needs no key.
    pub workspace: Option<&'a str>,
    /// Present if the entry chose the model.
    pub model: Option<&'a str>,
    /// Rank at the endpoint; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last event that was forwarded, if the entry resumes a stream.
    pub after_event: Option<u64>,
}

/// Load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of running requests.
    pub slots: u32,
    /// Time that work takes there now, in percent of the usual time, if the endpoint states it.
    pub pace: Option<u16>,
}

/// Metadata of an endpoint's answer, from its head.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reply {
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// Another endpoint answered at the address.
    pub wrong_endpoint: bool,
    /// The body has a content encoding that was not requested.
    pub encoded: bool,
    pub load: Option<Load>,
    /// Confidence of the model in its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// Time for which the endpoint keeps the connection open.
    pub keep_alive: Option<Duration>,
    /// The endpoint is leaving and takes no new requests.
    pub leaving: bool,
    /// Time for which the endpoint wants no requests from this entry.
    pub pause: Option<Duration>,
    /// Reason why a part of `leaving` or `pause` was ignored.
    pub malformed: Option<Malformed>,
}

/// Parses and builds the heads of requests and answers.
pub trait Dialect {
    /// Parses the head of a client's request.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestMetadata, Malformed>;
    /// Builds the headers of the request to an endpoint.
    fn request_headers(&self, head: &request::Parts, options: &SendOptions<'_>) -> HeaderMap;
    /// Parses the head of an answer that arrived where the answer to the request `id` is due.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> Unverified;
    /// Selects the headers of an endpoint's answer that are forwarded to the client.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
