//! A request with its route, and what follows from it and the state of the entry alone.
//!
//! [`crate::forward`] uses this for requests, and [`crate::explain`] for questions about them.

use std::rc::Rc;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use xxhash_rust::xxh3::xxh3_64;

use crate::availability::Outlook;
use crate::dialect::RequestMetadata;
use crate::endpoint::Endpoint;
use crate::entry::Entry;
use crate::forward::DEFAULT_WORKSPACE_RANK;
use crate::forward::MIN_SEND_TIME_MS;
use crate::forward::TRIAL_CHECK_INTERVAL;
use crate::pick::PickContext;
use crate::placement::Zones;
use crate::prepare::MAX_STATE_WAIT;
use crate::settings::Settings;
use crate::view::View;

/// A request whose route and service are known.
pub struct Routed<'a> {
    pub route: &'a Route,
    pub metadata: &'a RequestMetadata,
    pub service: &'a Name,
    /// `None` if the route needs no key.
    pub workspace: Option<&'a Workspace>,
    pub path: &'a str,
    /// Model of the next send, if the entry chooses it.
    pub model: Option<&'a str>,
}

impl<'a> Routed<'a> {
    /// Rules of the configuration under which the request was accepted and of the one in force. The
    /// choice of an endpoint and the check before a write use the same ones: a choice that the check
    /// never permits would be repeated until the deadline.
    pub fn zones(&self, settings: &'a Settings, view: &'a View) -> Zones<'a> {
        let zones = Zones::new(settings, self.route, self.workspace, &view.evacuated);
        let current = view.index.as_ref().and_then(|index| {
            let route = index.route(&self.metadata.host, self.path)?;
            Some((index, route))
        });
        let Some((index, route)) = current else { return zones };
        let key = self.metadata.key.as_deref().filter(|_| self.workspace.is_some());
        let workspace = key.and_then(|key| index.workspace(key));
        zones.restricted_by(route, workspace.map(|workspace| &**workspace))
    }

    /// Rank by which the work ahead of the request is counted. The totals do not tell workspaces
    /// apart; a request of a workspace above the default rank goes before most of its route's rank.
    pub fn admission_rank(&self) -> u8 {
        let workspace = self.workspace.and_then(|workspace| workspace.rank);
        if workspace.is_some_and(|rank| rank < DEFAULT_WORKSPACE_RANK) {
            0
        } else {
            self.route.rank
        }
    }

    /// Identifies the shared beginning of the prompt and the model that reads it.
    pub fn prefix_key(&self) -> Option<u64> {
        let (_, shared) = self.metadata.parts.split_last()?;
        Some(shared.last()?.id ^ xxh3_64(self.model.unwrap_or_default().as_bytes()))
    }
}

/// Calls a function of [`crate::pick`] with the endpoints of a request's service.
pub fn with_context<T>(
    entry: &Entry,
    routed: &Routed<'_>,
    tried: &[Name],
    token_ms: Option<f64>,
    function: impl Fn(&PickContext<'_>, &[Rc<Endpoint>]) -> T,
) -> T {
    let Routed { route, metadata, service, .. } = *routed;
    let view = entry.view.borrow();
    let directory = entry.directory.borrow();
    let is_in_region = |zone: &str| entry.is_in_region(zone);
    let endpoints = directory.for_service(service);
    let context = PickContext {
        route,
        metadata,
        service,
        roll_outs: &view.roll_outs,
        version_in_force: view.version_in_force(service),
        tried,
        entries: entry.entries.get(),
        token_ms,
        is_in_region: &is_in_region,
        zones: routed.zones(&entry.settings, &view),
        cold_limit: entry.cold_limit(service),
        memory_tokens: entry.memory_tokens(service),
        kept: entry.kept_outlook(service, routed.prefix_key(), endpoints.len()),
    };
    function(&context, endpoints)
}

/// Returns the model at `index` among those of the route, or `None` if the client chose one.
pub fn choose_model(metadata: &RequestMetadata, route: &Route, index: usize) -> Option<Name> {
    metadata.any_model.then(|| route.models.get(index).cloned()).flatten()
}

/// Time for which a request with `left` to its deadline waits for an endpoint to announce itself.
pub fn endpoint_wait(left: Duration) -> Duration {
    (left / 3).min(MAX_STATE_WAIT)
}

/// Latest time at which the answer of an endpoint whose pause ends is expected in time. Until then
/// waiting is faster than a refusal, after which the client may come back through another entry.
pub fn latest_start(route: &Route, arrived: Duration, deadline: Duration) -> Duration {
    let target = arrived + Duration::from_millis(route.target_ms) / 2;
    target.min(deadline.saturating_sub(Duration::from_millis(MIN_SEND_TIME_MS)))
}

/// Returns until when a request waits at time `now` if no endpoint can take it, and when it looks for
/// one again, or `None` if it does not wait. `room_at` is the time before which the endpoints that warm
/// up have no room, `until` the end of the wait for an endpoint to announce itself.
pub fn next_look(
    outlook: Outlook,
    room_at: Option<Duration>,
    now: Duration,
    until: Duration,
    latest_start: Duration,
) -> Option<(Duration, Duration)> {
    let paused = |end: Duration| (latest_start, end.max(now + TRIAL_CHECK_INTERVAL));
    let (until, wake_at) = match (room_at, outlook) {
        (Some(room_at), _) => paused(room_at),
        (None, Outlook::Unknown) => (until, until),
        (None, Outlook::Leaving | Outlook::Excluded) => return None,
        (None, Outlook::Paused(end)) => paused(end),
    };
    (now < until && wake_at <= until).then_some((until, wake_at))
}
