//! The protocol between an entry and a model engine.
//!
//! `POST /v1/completions` takes a [`Start`] and answers with server-sent events. Each event has its
//! offset as `id:` line and an [`Event`] as data; the last event carries the usage. A run is kept by
//! its id, so that `GET /v1/runs/{id}/stream?offset=n` resumes it, `GET /v1/runs/{id}` tells its
//! [`Run`] and `DELETE /v1/runs/{id}` cancels it.

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

/// Header of an answer to [`Start`]: [`STARTED`] or [`JOINED`].
pub const RUN_HEADER: &str = "x-run";

/// The request started the run.
pub const STARTED: &str = "started";

/// The run with this id existed before; its events are sent from the first one.
pub const JOINED: &str = "joined";

/// Header by which an endpoint confirms with the value `no` that a failed request did not run.
pub const RAN_HEADER: &str = "x-ran";

/// Characters that stay as they are in a path segment.
const SEGMENT: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Id of the run of a request.
pub fn run_id(workspace: &Workspace, request: &Request) -> String {
    format!("{workspace}:{request}")
}

/// Path of a run, with its id percent-encoded.
pub fn run_path(id: &str) -> String {
    format!("/v1/runs/{}", utf8_percent_encode(id, SEGMENT))
}

/// The run id in `path` and what follows it, for example `/stream`.
pub fn parse_run_path(path: &str) -> Option<(String, &str)> {
    let rest = path.strip_prefix("/v1/runs/")?;
    let end = rest.find('/').unwrap_or(rest.len());
    let id = percent_decode_str(&rest[..end]).decode_utf8().ok()?;
    Some((id.into_owned(), &rest[end..]))
}

/// Body of `POST /v1/completions` at an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Start<'a> {
    /// Id of the run. A second request with the same id joins the run.
    pub request_id: Cow<'a, str>,
    /// Version to run.
    pub version: Version,
    /// The prompt.
    pub prompt: Cow<'a, str>,
    /// Most tokens to generate.
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
    /// Version that runs.
    #[serde(borrow)]
    pub model: Cow<'a, str>,
    /// Generated text; one element.
    #[serde(borrow)]
    pub choices: [Choice<'a>; 1],
    /// What the run used; only in the last event.
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
    /// Why the run ended; only in the last event.
    #[serde(default, borrow, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// What a run used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Generated tokens.
    pub completion_tokens: u32,
}

/// Answer of `GET` and `DELETE /v1/runs/{id}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Where the run stands.
    pub state: RunState,
    /// What it used, so far or in all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// State of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// The engine knows no such run.
    Unknown,
    /// It is queued or running.
    Running,
    /// It ended or was cancelled.
    Finished,
}

/// Body of `POST /v1/orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number. Engines that check it refuse a number below the largest one seen.
    pub fence: u64,
    /// The engine refuses the order after this time, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
    /// What to do.
    pub action: OrderAction,
}

/// What an [`Order`] asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Loads a version.
    Load(Version),
    /// Unloads a version. Its running requests finish.
    Unload(Version),
}

/// One change of an engine's prefix cache. Events are sent late and some are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the events of one engine; a jump shows a loss.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is held now.
    pub held: bool,
}
