//! Orders to engines: loads versions that the bundles in use allow and that no engine serves.
//!
//! Each order is recorded in the log before it is sent, under a fencing number, by the holder of
//! the order lease. An unanswered order is sent again with the same number; its result may also be
//! seen in the engine's announcement. One order is under way at a time, so that loads don't exceed
//! the rate of the weight store.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hickoryreel_base::bundle;
use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Version;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Action;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::order::Accepted;
use hickoryreel_state::order::Change;
use hickoryreel_state::order::Controller as Holder;
use hickoryreel_state::order::End;
use hickoryreel_state::order::Order;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::OrderAction;
use hyper::Method;
use slog::info;

use super::Blackboard;
use super::Controller;
use crate::core::Failure;
use crate::run::Control;

/// Length of the order lease. A new holder waits for its end.
const LEASE: Duration = Duration::from_secs(10);

/// An engine refuses an order after this time.
const ORDER_LIFETIME: Duration = Duration::from_secs(5);

/// Limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after an engine refused an order, before it gets the same one again.
const REFUSED_PAUSE: Duration = Duration::from_secs(30);

/// A version is loaded after no engine has served it for this long, so that an engine that starts
/// again, or whose announcements are late, causes no load.
const MISSING_TIME: Duration = Duration::from_secs(5);

/// Order controller.
pub(super) struct Orders {
    client: HttpClient,
    /// Since when no engine serves a version that the bundles in use name.
    missing: BTreeMap<Version, Instant>,
    last_sent: Option<Instant>,
    refused: BTreeMap<(Endpoint, Version), Instant>,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            client: client::http_client(),
            missing: BTreeMap::new(),
            last_sent: None,
            refused: BTreeMap::new(),
        }
    }
}

impl Controller for Orders {
    fn name(&self) -> &'static str {
        "orders"
    }

    fn act<'a>(
        &'a mut self,
        control: &'a Control,
        board: &'a Blackboard,
    ) -> BoxFuture<'a, Result<(), Failure>> {
        self.order(control, board).boxed()
    }
}

impl Orders {
    async fn order(&mut self, control: &Control, board: &Blackboard) -> Result<(), Failure> {
        let now = Instant::now();
        let engines = engines(control.directory.present(now));
        self.note_missing(board, &engines, now);
        observe(control, board, &engines).await?;
        let paced = self.last_sent.is_none_or(|at| now >= at + control.settings.order_interval);
        if !paced || board.orders.len() > 1 {
            return Ok(());
        }
        self.refused.retain(|_, at| now < *at + REFUSED_PAUSE);
        let Some((engine, version)) = self.next(board, &engines) else { return Ok(()) };
        self.last_sent = Some(now);
        let holder = Holder::from(format!("{}:{}", board.id, board.term).as_str());
        lease(control, board, &holder).await?;
        self.send(control, board, holder, engine, version).await
    }

    fn note_missing(&mut self, board: &Blackboard, engines: &[Engine], now: Instant) {
        let served = |version: &Version| engines.iter().any(|one| one.versions.contains(version));
        let missing: Vec<Version> =
            wanted(board).into_iter().filter(|version| !served(version)).collect();
        self.missing.retain(|version, _| missing.contains(version));
        for version in missing {
            self.missing.entry(version).or_insert(now);
        }
    }

    /// The unfinished order, or else the first version that no engine serves, for the engine that
    /// serves the fewest versions.
    fn next<'a>(&self, board: &Blackboard, engines: &'a [Engine]) -> Option<(&'a Engine, Version)> {
        if let Some(order) = board.orders.values().next() {
            let engine = engines.iter().find(|engine| engine.endpoint == order.endpoint)?;
            let OrderAction::Load(version) = serde_json::from_str(&order.body).ok()? else {
                return None;
            };
            return Some((engine, version));
        }
        let now = Instant::now();
        let missing = self.missing.iter().filter(|(_, since)| now >= **since + MISSING_TIME);
        missing.map(|(version, _)| version.clone()).find_map(|version| {
            let willing = engines.iter().filter(|engine| {
                !self.refused.contains_key(&(engine.endpoint.clone(), version.clone()))
            });
            let engine = willing.min_by_key(|engine| engine.versions.len())?;
            Some((engine, version))
        })
    }

    async fn send(
        &mut self,
        control: &Control,
        board: &Blackboard,
        holder: Holder,
        engine: &Engine,
        version: Version,
    ) -> Result<(), Failure> {
        let action = OrderAction::Load(version.clone());
        let body = serde_json::to_string(&action)
            .map_err(|cause| Error::new(Kind::Internal, cause.to_string()))?;
        let expires_ms = unix_millis() + millis(ORDER_LIFETIME);
        let recorded = Instant::now();
        let endpoint = engine.endpoint.clone();
        let change = Change::Send { holder, endpoint, body: body.into(), expires_ms };
        let Accepted::Order(fence) = propose(control, change).await? else { return Ok(()) };
        // A later send could overlap with the next holder of the order lease.
        if recorded.elapsed() >= Duration::from_millis(board.limits.order_send_ms) / 2 {
            return Ok(());
        }
        let order = engine::Order { fence, expires_ms, action };
        let Some(result) = post(&self.client, engine, &order).await else { return Ok(()) };
        info!(control.log, "an engine answered an order"; "endpoint" => %engine.endpoint,
            "fence" => fence, "version" => %version, "result" => ?result);
        if result == End::Done {
            // The announcement that shows the version comes later.
            self.missing.insert(version, Instant::now());
        } else {
            self.refused.insert((engine.endpoint.clone(), version), Instant::now());
        }
        propose(control, Change::Answered { fence, result }).await?;
        Ok(())
    }
}

/// An engine that takes orders.
struct Engine {
    endpoint: Endpoint,
    address: std::net::SocketAddr,
    versions: Vec<Version>,
}

fn engines(present: Vec<Announcement>) -> Vec<Engine> {
    let serving = present.into_iter().filter(|one| one.state == State::Serving);
    let engines = serving.filter_map(|one| match one.role {
        Role::Engine { versions, .. } => {
            Some(Engine { endpoint: one.endpoint, address: one.address, versions })
        }
        Role::Service { .. } => None,
    });
    engines.collect()
}

/// Versions that the bundles in use name and that are not withdrawn.
fn wanted(board: &Blackboard) -> Vec<Version> {
    let candidate = board.config.candidate.as_ref().map(|candidate| &candidate.published);
    let published = board.config.active.iter().chain(candidate);
    let bundles = published.filter_map(|one| bundle::parse("bundle", &one.text).ok());
    let versions = bundles.flat_map(|bundle| bundle.versions.into_keys());
    versions.filter(|version| !board.config.withdrawn.contains(version)).collect()
}

/// Records the results that engines' announcements show.
async fn observe(control: &Control, board: &Blackboard, engines: &[Engine]) -> Result<(), Failure> {
    for (fence, order) in &board.orders {
        if let Some(result) = result(order, engines) {
            propose(control, Change::Observed { fence: *fence, result }).await?;
        }
    }
    Ok(())
}

fn result(order: &Order, engines: &[Engine]) -> Option<End> {
    let Some(engine) = engines.iter().find(|engine| engine.endpoint == order.endpoint) else {
        return (order.expires_ms < unix_millis()).then_some(End::Gone);
    };
    match serde_json::from_str(&order.body).ok()? {
        OrderAction::Load(version) => engine.versions.contains(&version).then_some(End::Done),
        OrderAction::Unload(version) => (!engine.versions.contains(&version)).then_some(End::Done),
    }
}

/// Takes or renews the order lease when less than half of it is left.
async fn lease(control: &Control, board: &Blackboard, holder: &Holder) -> Result<(), Failure> {
    let fresh = board.order_lease.as_ref().is_some_and(|lease| {
        lease.holder == *holder && lease.expires_ms > unix_millis() + millis(LEASE) / 2
    });
    if !fresh {
        let change = Change::Lease { holder: holder.clone(), length_ms: millis(LEASE) };
        propose(control, change).await?;
    }
    Ok(())
}

async fn propose(control: &Control, change: Change) -> Result<Accepted, Failure> {
    match control.propose(Action::Order(change)).await? {
        Outcome::Order(answer) => Ok(answer?),
        _ => Err(Error::new(Kind::Internal, "the outcome does not fit the command").into()),
    }
}

/// Sends an order. `None` means that the result is not known.
async fn post(client: &HttpClient, engine: &Engine, order: &engine::Order) -> Option<End> {
    let call = Call {
        method: Method::POST,
        url: format!("http://{}/v1/orders", engine.address),
        body: serde_json::to_vec(order).ok()?.into(),
        timeout: CALL_TIMEOUT,
        ..Call::default()
    };
    match call.send(client).await.ok()?.status {
        200..=299 => Some(End::Done),
        400..=499 => Some(End::Failed),
        _ => None,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
