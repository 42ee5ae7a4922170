//! Who a caller is and what it asks for, from the request head.

use hickoryreel_base::bundle::WorkspaceTerms;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hyper::HeaderMap;

use crate::routing::Routing;

/// A caller's request head, checked.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The workspace whose key the request carries.
    pub workspace: Workspace,
    /// Terms of the workspace.
    pub terms: WorkspaceTerms,
    /// The caller's request id.
    pub request: Request,
    /// The session, if any.
    pub session: Option<Session>,
    /// Rank of the request.
    pub rank: Rank,
}

/// Checks the head of a request against the configuration.
pub fn caller(headers: &HeaderMap, routing: &Routing) -> error::Result<Caller> {
    let key = text(headers, "authorization")?
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the workspace key is missing"))?;
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
    Ok(Caller {
        workspace: workspace.clone(),
        terms: terms.clone(),
        request,
        session: parsed(headers, "x-session")?,
        rank,
    })
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
