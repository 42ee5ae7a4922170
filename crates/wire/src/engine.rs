//! Protocol between an entry and a model engine.
//!
//! `POST /v1/completions` takes a [`CompletionRequest`] and responds with server-sent events. Each
//! event has its offset in the `id:` line and an [`Event`] as data. The last event contains the
//! usage. The engine keeps each run under its id: `GET /v1/runs/{id}/stream?offset=n` resumes the
//! stream, `GET /v1/runs/{id}` returns a [`Run`] and `DELETE /v1/runs/{id}` cancels the run.

use std::borrow::Cow;

use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use percent_encoding::AsciiSet;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;
use serde::Deserialize;
use serde::Serialize;

/// Header of the response to a [`CompletionRequest`]: [`STARTED`] or [`JOINED`].
pub const RUN_HEADER: &str = "x-run";

/// The request started a new run.
pub const STARTED: &str = "started";

/// A run with this id already existed. The response contains its events from the first one.
pub const JOINED: &str = "joined";

/// Header of an error response. With the value `no` the endpoint confirms that the request did not
/// run.
pub const RAN_HEADER: &str = "x-ran";

/// Characters to percent-encode in a path segment: all but the unreserved ones of RFC 3986.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Id of the run for a request.
pub fn run_id(workspace: &Workspace, request: &Request) -> String {
    format!("{workspace}:{request}")
}

/// Path of a run, with the id percent-encoded.
pub fn run_path(id: &str) -> String {
    format!("/v1/runs/{}", utf8_percent_encode(id, SEGMENT))
}

/// Splits `path` into the decoded run id and the rest, for example `/stream`.
pub fn parse_run_path(path: &str) -> Option<(String, &str)> {
    let rest = path.strip_prefix("/v1/runs/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let id = percent_decode_str(&rest[..end]).decode_utf8().ok()?;
    Some((id.into_owned(), &rest[end..]))
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest<'a> {
    /// Id of the run. A later request with the same id joins the existing run.
    pub request_id: Cow<'a, str>,
    pub version: Version,
    pub prompt: Cow<'a, str>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Rank of the request.
    pub priority: Rank,
}

/// Data of one event of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event<'a> {
    /// Id of the run.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Version that generates the text.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Always one element with the generated text.
    #[serde(borrow)]
    pub choices: [Choice<'a>; 1],
    /// Present in the last event only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Text of one event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Choice<'a> {
    /// Always 0.
    pub index: u32,
    /// Text to append.
    #[serde(borrow)]
    pub text: Cow<'a, str>,
    /// Why the run ended. Present in the last event only.
    #[serde(default, borrow, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// Token usage of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}

/// Response of `GET` and `DELETE /v1/runs/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    pub state: RunState,
    /// Usage so far, or in total once the run has finished.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The engine has no run with this id.
    Unknown,
    /// The run is queued or running.
    Running,
    /// The run has ended or was cancelled.
    Finished,
}

/// Body of `POST /v1/orders`: an instruction to load or unload a version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token. Engines that check it reject a token below the largest one seen.
    pub fence: u64,
    /// Time after which the engine rejects the order, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    pub action: OrderAction,
}

/// The action of an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Load a version.
    Load(Version),
    /// Unload a version. Its running requests are allowed to finish.
    Unload(Version),
}

/// A change of the prefix cache of an engine. Events may arrive late or get lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event at its engine. A gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the cache now contains the prefix.
    pub held: bool,
}
