//! Authenticates a caller and parses the head of its request.

use hickoryreel_base::bundle::WorkspaceConfig;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_base::time::unix_millis;
use hyper::HeaderMap;

use crate::routing::Routing;

/// The validated head of a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Workspace that the key of the request belongs to.
    pub workspace: Workspace,
    /// Configuration of the workspace.
    pub workspace_config: WorkspaceConfig,
    /// Request id that the caller chose.
    pub request: Request,
    pub session: Option<Session>,
    pub rank: Rank,
    /// Time of the request in milliseconds since the Unix epoch, as stated by the caller; otherwise
    /// the time of arrival.
    pub request_ms: u64,
    /// Whether the caller stated the time of the request.
    pub has_request_time: bool,
}

/// Number of digits of a time in milliseconds at the start of a request id.
const TIME_DIGITS: usize = 13;

/// Validates the head of a request against the configuration.
pub fn authenticate(headers: &HeaderMap, routing: &Routing) -> error::Result<Caller> {
    let key = bearer_key(headers)?;
    let (workspace, workspace_config) = routing
        .workspace(&key_sha256(key))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the key belongs to no workspace"))?;
    let rank = parse_header(headers, "x-rank")?.unwrap_or(Rank::Normal);
    if !workspace_config.ranks.contains(&rank) {
        let message = format!("workspace {workspace} may not use rank {rank}");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let request = parse_header(headers, "x-request-id")?
        .ok_or_else(|| Error::new(Kind::MalformedRequest, "header x-request-id is missing"))?;
    let stated_time = parse_header(headers, "x-request-time")?.or_else(|| time_from_id(&request));
    Ok(Caller {
        workspace: workspace.clone(),
        workspace_config: workspace_config.clone(),
        request,
        session: parse_header(headers, "x-session")?,
        rank,
        request_ms: stated_time.unwrap_or_else(unix_millis),
        has_request_time: stated_time.is_some(),
    })
}

/// The time in a request id such as `1767225600000-4f2a`.
fn time_from_id(request: &Request) -> Option<u64> {
    let (digits, rest) = request.split_at_checked(TIME_DIGITS)?;
    let is_time = digits.bytes().all(|byte| byte.is_ascii_digit())
        && (rest.is_empty() || rest.starts_with('-'));
    if is_time { digits.parse().ok() } else { None }
}

/// The bearer key of a request.
pub fn bearer_key(headers: &HeaderMap) -> error::Result<&str> {
    headers
        .get("authorization")
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the bearer key is missing"))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> error::Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| malformed(name, "is not printable text")))
        .transpose()
}

fn parse_header<T: std::str::FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &str,
) -> error::Result<Option<T>> {
    header_text(headers, name)?
        .map(|value| value.parse().map_err(|cause: T::Err| malformed(name, &cause.to_string())))
        .transpose()
}

fn malformed(name: &str, problem: &str) -> Error {
    Error::new(Kind::MalformedRequest, format!("header {name}: {problem}"))
}
