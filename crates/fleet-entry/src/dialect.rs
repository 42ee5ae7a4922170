//! The border to the protocol of clients and endpoints.
//!
//! A dialect decodes the heads of requests and answers into these types and writes the heads that
//! go to endpoints. It decides nothing.

use std::time::Duration;

use http::HeaderMap;
use http::StatusCode;
use http::request;
use smallvec::SmallVec;

/// Part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identity of the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// The terms of a request.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    /// Identity of this attempt of the client.
    pub id: String,
    /// Host without port, in lower case.
    pub host: String,
    /// How long the client waits, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Whether the client leaves the choice of the model to the entry.
    pub any_model: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub parts: SmallVec<[Part; 4]>,
    /// Session, if the request belongs to one.
    pub session: Option<String>,
    /// Id of the last event that the client has of the stream.
    pub after_event: Option<u64>,
}

/// A head that can't be read, with the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

/// What an endpoint is told beyond the client's own head.
#[derive(Clone, Debug)]
pub struct Terms<'a> {
    /// Endpoint that must run the request; another one at its address refuses.
    pub endpoint: &'a str,
    /// Time left, in milliseconds.
    pub deadline_ms: u64,
    /// Workspace of the caller.
    pub workspace: Option<&'a str>,
    /// Model, if the entry chose it.
    pub model: Option<&'a str>,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Id of the last event that the client has, if the entry continues a stream.
    pub after_event: Option<u64>,
}

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Reply {
    /// The endpoint states that it did not run the request.
    pub not_run: bool,
    /// The endpoint is not the one that was asked for.
    pub wrong_endpoint: bool,
    /// The answer belongs to this request; `None` if it does not say.
    pub matches: Option<bool>,
    /// The body has an encoding that nobody asked for.
    pub encoded: bool,
    /// Load of the endpoint.
    pub load: Option<Load>,
    /// The model's opinion of its answer, 0 to 100.
    pub confidence: Option<u8>,
    /// How long the endpoint keeps the connection open.
    pub keep_alive: Option<Duration>,
}

/// Reads and writes heads.
pub trait Dialect {
    /// Reads the terms of a request.
    fn ask(&self, head: &request::Parts) -> Result<Ask, Malformed>;
    /// The headers for an endpoint.
    fn request_headers(&self, head: &request::Parts, terms: &Terms<'_>) -> HeaderMap;
    /// Reads the head of an answer to the request `id`.
    fn reply(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> Reply;
    /// The headers of an endpoint's answer that the client gets.
    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap;
}
