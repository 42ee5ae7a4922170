//! What happens to a request before it is sent: its route, its workspace and its body.

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
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body as _;
use hyper::body::Incoming;
use slog::info;

use crate::answer::Refusal;
use crate::dialect::Ask;
use crate::entry::Entry;
use crate::forward::Course;
use crate::pick;
use crate::view::Index;

/// Longest wait for agreed state or an endpoint: an election, or an announcement of every
/// endpoint after a restart of all replicas.
pub const NEWS_PATIENCE: Duration = Duration::from_millis(1_800);

/// Time of a client that names no deadline, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Part of the memory of the process that request bodies may take.
const BODY_MEMORY_PART: usize = 4;

/// A request that can be sent.
pub struct Prepared {
    /// Head of the client's request.
    pub head: Parts,
    /// Terms.
    pub ask: Ask,
    /// Body.
    pub body: Bytes,
    /// Route.
    pub route: Arc<Route>,
    /// Service.
    pub service: Name,
    /// Workspace, if the route needs a key.
    pub workspace: Option<Arc<Workspace>>,
}

/// Reads the request and finds its route and workspace.
pub async fn prepare(
    entry: &Rc<Entry>,
    head: Parts,
    body: Incoming,
    arrived: Duration,
) -> Result<Course, (Refusal, String)> {
    let ask = entry.dialect.ask(&head).map_err(|malformed| {
        info!(entry.log, "request is malformed"; "reason" => malformed.0);
        (Refusal::Malformed, String::new())
    })?;
    let id = ask.id.clone();
    let refused = |refusal| (refusal, id.clone());
    let (index, route, workspace) =
        admit_in_time(entry, &head, &ask, arrived).await.map_err(refused)?;
    let limits = &index.configuration.limits;
    let time_ms = ask.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS).min(route.timeout_ms);
    let ends = arrived + Duration::from_millis(time_ms);
    let service = pick::service(&route, &ask).cloned().ok_or(Refusal::NoEndpoint);
    let service = service.map_err(refused)?;
    let body = read_body(entry, body, limits.body_bytes, ends).await.map_err(refused)?;
    let terms = Prepared { head, ask, body, route, service, workspace };
    Ok(Course::new(Rc::clone(entry), terms, arrived, ends))
}

/// Admits the request, and waits a while for the agreed state if it is not known now. After a
/// restart or an election it is known within that time, and a client may come back only once.
async fn admit_in_time(
    entry: &Entry,
    head: &Parts,
    ask: &Ask,
    arrived: Duration,
) -> Result<Admitted, Refusal> {
    let patience = Duration::from_millis(ask.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS)) / 3;
    let until = arrived + patience.min(NEWS_PATIENCE);
    loop {
        let news = entry.news.notified();
        match admit(entry, head, ask) {
            Err(refusal @ (Refusal::NoConfiguration | Refusal::NoLease)) => {
                let left = until.saturating_sub(boot_time());
                if tokio::time::timeout(left, news).await.is_err() {
                    return Err(refusal);
                }
            }
            other => return other,
        }
    }
}

type Admitted = (Arc<Index>, Arc<Route>, Option<Arc<Workspace>>);

fn admit(entry: &Entry, head: &Parts, ask: &Ask) -> Result<Admitted, Refusal> {
    let view = entry.view.borrow();
    let index = view.index.as_ref().ok_or(Refusal::NoConfiguration)?;
    let unless_stale = |refusal| if view.is_fresh() { refusal } else { Refusal::NoLease };
    let route = index.route(&ask.host, head.uri.path());
    let route = route.ok_or_else(|| unless_stale(Refusal::UnknownRoute))?;
    let needs_key = index.needs_keys() && !route.public;
    if !needs_key {
        return Ok((Arc::clone(index), Arc::clone(route), None));
    }
    if !view.has_lease(entry.settings.lease) {
        return Err(Refusal::NoLease);
    }
    let workspace = ask.key.as_deref().and_then(|key| index.workspace(key));
    let workspace = workspace.ok_or_else(|| unless_stale(Refusal::UnknownKey))?;
    Ok((Arc::clone(index), Arc::clone(route), Some(Arc::clone(workspace))))
}

/// Memory that a body takes, given back when it is dropped.
struct Reserved<'a>(&'a Entry, usize);

impl Drop for Reserved<'_> {
    fn drop(&mut self) {
        let taken = &self.0.body_bytes;
        taken.set(taken.get().saturating_sub(self.1));
    }
}

async fn read_body(
    entry: &Entry,
    body: Incoming,
    limit: usize,
    ends: Duration,
) -> Result<Bytes, Refusal> {
    let expected = body.size_hint().lower() as usize;
    if expected > limit {
        return Err(Refusal::BodyTooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    // A body of unknown length is counted as it is on average, not as large as it may be.
    let reserved = Reserved(entry, expected);
    let taken = entry.body_bytes.get() + reserved.1;
    entry.body_bytes.set(taken);
    if taken > entry.settings.memory / BODY_MEMORY_PART {
        return Err(Refusal::NoMemory);
    }
    let left = ends.saturating_sub(boot_time());
    match tokio::time::timeout(left, Limited::new(body, limit).collect()).await {
        Ok(Ok(read)) => Ok(read.to_bytes()),
        Ok(Err(cause)) if cause.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyLate),
    }
}
