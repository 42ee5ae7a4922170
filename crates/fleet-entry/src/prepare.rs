//! Preparation of a request: parsing, routing, authentication and reading of the body.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use http::request::Parts;
use http_body_util::BodyExt;
use hyper::body::Body as _;
use hyper::body::Incoming;
use slog::info;

use crate::answer::Refusal;
use crate::credentials;
use crate::dialect::RequestMetadata;
use crate::entry::Entry;
use crate::forward::Handling;
use crate::memory;
use crate::pick;
use crate::view::Index;

/// Maximum wait for agreed state or an endpoint. It covers an election, and the time in which all
/// endpoints announce themselves after a restart of all replicas.
pub const MAX_STATE_WAIT: Duration = Duration::from_millis(1_800);

/// Deadline of a request without one.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// A request that is ready to be sent.
pub struct Prepared {
    /// Head of the client's request.
    pub head: Parts,
    pub metadata: RequestMetadata,
    pub body: Bytes,
    /// Memory that the body takes.
    pub body_memory: Option<memory::Reservation>,
    pub route: Arc<Route>,
    pub service: Name,
    /// `None` if the route needs no key.
    pub workspace: Option<Arc<Workspace>>,
}

/// Reads a request and finds its route, workspace and deadline. Errors carry the request id for the
/// log.
pub async fn prepare(
    entry: &Rc<Entry>,
    head: Parts,
    body: Incoming,
    arrived: Duration,
    handling: &Handling,
) -> Result<(Prepared, Duration), (Refusal, String)> {
    let metadata = entry.dialect.parse_request(&head).map_err(|malformed| {
        info!(entry.log, "request is malformed"; "reason" => malformed.0);
        (Refusal::Malformed, String::new())
    })?;
    let id = metadata.id.clone();
    *handling.id.borrow_mut() = id.clone();
    let refused = |refusal| (refusal, id.clone());
    let (index, route, workspace) =
        wait_and_admit(entry, &head, &metadata, arrived).await.map_err(refused)?;
    let limits = &index.configuration.limits;
    let deadline = arrived + time_limit(&metadata, &route);
    let service = pick::service(&route, &metadata).cloned().ok_or(Refusal::NoEndpoint);
    let service = service.map_err(refused)?;
    let read = read_body(entry, body, limits.body_bytes, deadline).await.map_err(refused)?;
    let (body, body_memory) = read;
    Ok((Prepared { head, metadata, body, body_memory, route, service, workspace }, deadline))
}

/// Time for which a request waits for agreed state at most.
pub fn state_wait(metadata: &RequestMetadata) -> Duration {
    let max_wait = Duration::from_millis(metadata.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)) / 3;
    max_wait.min(MAX_STATE_WAIT)
}

/// Admits a request. Without current agreed state it waits for it, because the state arrives soon
/// after a restart or an election, and clients may retry only once.
async fn wait_and_admit(
    entry: &Entry,
    head: &Parts,
    metadata: &RequestMetadata,
    arrived: Duration,
) -> Result<Admitted, Refusal> {
    let until = arrived + state_wait(metadata);
    loop {
        let state_changed = entry.state_changed.notified();
        match admit(entry, head, metadata, arrived) {
            Err(refusal @ (Refusal::NoConfiguration | Refusal::NoLease)) => {
                let left = until.saturating_sub(boot_time());
                if tokio::time::timeout(left, state_changed).await.is_err() {
                    return Err(refusal);
                }
            }
            other => return other,
        }
    }
}

/// Time from the arrival of a request to its deadline.
pub fn time_limit(metadata: &RequestMetadata, route: &Route) -> Duration {
    let wait_ms = metadata.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    Duration::from_millis(wait_ms.min(route.timeout_ms))
}

type Admitted = (Arc<Index>, Arc<Route>, Option<Arc<Workspace>>);

fn admit(
    entry: &Entry,
    head: &Parts,
    metadata: &RequestMetadata,
    arrived: Duration,
) -> Result<Admitted, Refusal> {
    let admitted = find(entry, metadata, head.uri.path())?;
    let (_, _, workspace) = &admitted;
    let view = entry.view.borrow();
    // The configuration that makes a credential a key may be on its way, also the first one that
    // names workspaces.
    let is_doubtful = workspace.is_none()
        && credentials::has_unknown_key(&head.headers, |word| view.is_key(word));
    if is_doubtful && !view.is_confirmed_since(arrived) {
        entry.request_confirmation(arrived);
        return Err(Refusal::NoLease);
    }
    Ok(admitted)
}

/// Finds the route of a request, and its workspace if the route needs a key.
pub fn find(entry: &Entry, metadata: &RequestMetadata, path: &str) -> Result<Admitted, Refusal> {
    let view = entry.view.borrow();
    let index = view.index.as_ref().ok_or(Refusal::NoConfiguration)?;
    let unless_stale = |refusal| if view.is_fresh() { refusal } else { Refusal::NoLease };
    let route = index.route(&metadata.host, path);
    let route = route.ok_or_else(|| unless_stale(Refusal::UnknownRoute))?;
    let needs_key = index.needs_keys() && !route.public;
    if !needs_key {
        return Ok((Arc::clone(index), Arc::clone(route), None));
    }
    if !view.has_lease(entry.settings.lease) {
        return Err(Refusal::NoLease);
    }
    let workspace = metadata.key.as_deref().and_then(|key| index.workspace(key));
    let workspace = workspace.ok_or_else(|| unless_stale(Refusal::UnknownKey))?;
    Ok((Arc::clone(index), Arc::clone(route), Some(Arc::clone(workspace))))
}

async fn read_body(
    entry: &Entry,
    mut body: Incoming,
    limit: usize,
    deadline: Duration,
) -> Result<(Bytes, Option<memory::Reservation>), Refusal> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(Refusal::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok((Bytes::new(), None));
    }
    // A body of unknown length reserves memory as it is read; reserving the limit would refuse too
    // many requests.
    let mut memory = entry.body_memory.reserve(expected).ok_or(Refusal::NoMemory)?;
    let read = async move {
        let mut parts = memory::Parts::default();
        let mut bytes = 0;
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Refusal::BodyLate)?.into_data() else { continue };
            bytes += data.len();
            if bytes > limit {
                return Err(Refusal::BodyTooLarge);
            }
            if !memory.grow(bytes.saturating_sub(memory.bytes())) {
                return Err(Refusal::NoMemory);
            }
            parts.push(&data);
        }
        Ok((parts.whole(), Some(memory)))
    };
    let left = deadline.saturating_sub(boot_time());
    tokio::time::timeout(left, read).await.unwrap_or(Err(Refusal::BodyLate))
}
