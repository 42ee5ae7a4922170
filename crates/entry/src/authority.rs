//! Who a caller is and what it asks for, from the request head.

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

/// A caller's request head, checked.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The workspace whose key the request carries.
    pub workspace: Workspace,
    /// Terms of the workspace.
    pub terms: WorkspaceConfig,
    /// The caller's request id.
    pub request: Request,
    /// The session, if any.
    pub session: Option<Session>,
    /// Rank of the request.
    pub rank: Rank,
    /// When the caller made the request, in milliseconds since the Unix epoch.
    pub request_ms: u64,
    /// Whether the caller stated the time; else it is the entry's.
    pub states_time: bool,
}

/// Digits of a time in milliseconds at the start of a request id.
const TIME_DIGITS: usize = 13;

/// Checks the head of a request against the configuration.
pub fn caller(headers: &HeaderMap, routing: &Routing) -> error::Result<Caller> {
    let key = key(headers)?;
    let (workspace, terms) = routing
        .workspace(&key_sha256(key))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the key belongs to no workspace"))?;
    let rank = parsed(headers, "x-rank")?.unwrap_or(Rank::Normal);
    if !terms.ranks.contains(&rank) {
        let message = format!("workspace {workspace} may not use rank {rank}");
        return Err(Error::new(Kind::NotAllowed, message));
    }
    let request = parsed(headers, "x-request-id")?
        .ok_or_else(|| Error::new(Kind::MalformedRequest, "header x-request-id is missing"))?;
    let stated = parsed(headers, "x-request-time")?.or_else(|| time_in(&request));
    Ok(Caller {
        workspace: workspace.clone(),
        terms: terms.clone(),
        request,
        session: parsed(headers, "x-session")?,
        rank,
        request_ms: stated.unwrap_or_else(unix_millis),
        states_time: stated.is_some(),
    })
}

/// The time in a request id such as `1767225600000-4f2a`.
fn time_in(request: &Request) -> Option<u64> {
    let (digits, rest) = request.split_at_checked(TIME_DIGITS)?;
    let is_time = digits.bytes().all(|byte| byte.is_ascii_digit())
        && (rest.is_empty() || rest.starts_with('-'));
    if is_time { digits.parse().ok() } else { None }
}

/// The bearer key of a request.
pub fn key(headers: &HeaderMap) -> error::Result<&str> {
    headers
        .get("authorization")
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the bearer key is missing"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> error::Result<Option<&'a str>> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| malformed(name, "is not printable text")))
        .transpose()
}

fn parsed<T: std::str::FromStr<Err: std::fmt::Display>>(
    headers: &HeaderMap,
    name: &str,
) -> error::Result<Option<T>> {
    text(headers, name)?
        .map(|value| value.parse().map_err(|cause: T::Err| malformed(name, &cause.to_string())))
        .transpose()
}

fn malformed(name: &str, problem: &str) -> Error {
    Error::new(Kind::MalformedRequest, format!("header {name}: {problem}"))
}
