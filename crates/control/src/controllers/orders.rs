//! Orders to engines: loads versions that the bundles in use contain and that no engine serves.
//!
//! The holder of the order lease records each order in the log, which assigns a fencing token,
//! before it sends the order. An unanswered order is sent again with the same token; its result may
//! also follow from the announcement of the engine. One order is in flight at a time, so that loads
//! do not exceed the rate limit of the weight store.

use std::collections::BTreeMap;
use std::sync::Arc;
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
use hickoryreel_base::time::BootClock;
use hickoryreel_base::time::Permission;
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

/// Length of the order lease. A new holder has to wait until it ends.
const ORDER_LEASE: Duration = Duration::from_secs(10);

/// Time after which an engine rejects an order.
const ORDER_LIFETIME: Duration = Duration::from_secs(5);

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time before an engine that refused an order gets the same order again.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(30);

/// How long no engine must have served a version before it is loaded. The delay prevents loads
/// because of an engine that restarts or whose announcements are late.
const MISSING_DELAY: Duration = Duration::from_secs(5);

pub(super) struct Orders {
    client: HttpClient,
    /// Versions that the bundles in use contain and no engine serves, and since when.
    missing: BTreeMap<Version, Instant>,
    last_sent_at: Option<Instant>,
    refused: BTreeMap<(Endpoint, Version), Instant>,
}

impl Default for Orders {
    fn default() -> Self {
        Self {
            client: client::http_client(),
            missing: BTreeMap::new(),
            last_sent_at: None,
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
        self.send_next_order(control, board).boxed()
    }
}

impl Orders {
    async fn send_next_order(
        &mut self,
        control: &Control,
        board: &Blackboard,
    ) -> Result<(), Failure> {
        let now = Instant::now();
        let engines = engines(control.directory.present(now));
        self.update_missing(board, &engines, now);
        record_observed_results(control, board, &engines).await?;
        let interval_elapsed = self
            .last_sent_at
            .is_none_or(|sent_at| now >= sent_at + control.settings.order_interval);
        if !interval_elapsed || board.unfinished_orders.len() > 1 {
            return Ok(());
        }
        self.refused.retain(|_, refused_at| now < *refused_at + REFUSAL_BACKOFF);
        let Some((engine, version)) = self.next_order(board, &engines) else { return Ok(()) };
        self.last_sent_at = Some(now);
        let holder = Holder::from(format!("{}:{}", board.id, board.term).as_str());
        renew_order_lease(control, board, &holder).await?;
        self.send(control, board, holder, engine, version).await
    }

    fn update_missing(&mut self, board: &Blackboard, engines: &[Engine], now: Instant) {
        let served =
            |version: &Version| engines.iter().any(|engine| engine.versions.contains(version));
        let missing: Vec<Version> =
            wanted_versions(board).into_iter().filter(|version| !served(version)).collect();
        self.missing.retain(|version, _| missing.contains(version));
        for version in missing {
            self.missing.entry(version).or_insert(now);
        }
    }

    /// Returns the unfinished order to send again. If there is none, returns the first missing
    /// version that is due and the eligible engine that serves the fewest versions.
    fn next_order<'a>(
        &self,
        board: &Blackboard,
        engines: &'a [Engine],
    ) -> Option<(&'a Engine, Version)> {
        if let Some(order) = board.unfinished_orders.values().next() {
            let engine = engines.iter().find(|engine| engine.endpoint == order.endpoint)?;
            let OrderAction::Load(version) = serde_json::from_str(&order.body).ok()? else {
                return None;
            };
            return Some((engine, version));
        }
        let now = Instant::now();
        let missing =
            self.missing.iter().filter(|(_, missing_since)| now >= **missing_since + MISSING_DELAY);
        missing.map(|(version, _)| version.clone()).find_map(|version| {
            let eligible = engines.iter().filter(|engine| {
                !self.refused.contains_key(&(engine.endpoint.clone(), version.clone()))
            });
            let engine = eligible.min_by_key(|engine| engine.versions.len())?;
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
        // A later send could overlap with one of the next holder of the order lease.
        let send_time = Duration::from_millis(board.limits.order_send_ms) / 2;
        let permission = Permission::new(Arc::new(BootClock), send_time);
        let endpoint = engine.endpoint.clone();
        let change = Change::Send { holder, endpoint, body: body.into(), expires_ms };
        let Accepted::Order(fence) = propose(control, change).await? else { return Ok(()) };
        if !permission.holds() {
            return Ok(());
        }
        let order = engine::Order { fence, expires_ms, action };
        let Some(result) = send_order(&self.client, engine, &order).await else { return Ok(()) };
        info!(control.log, "engine answered an order"; "endpoint" => %engine.endpoint,
            "fence" => fence, "version" => %version, "result" => ?result);
        if result == End::Done {
            // Restart the delay, because the announcement with the version arrives only later.
            self.missing.insert(version, Instant::now());
        } else {
            self.refused.insert((engine.endpoint.clone(), version), Instant::now());
        }
        propose(control, Change::Answered { fence, result }).await?;
        Ok(())
    }
}

/// An engine that accepts orders.
struct Engine {
    endpoint: Endpoint,
    address: std::net::SocketAddr,
    versions: Vec<Version>,
}

fn engines(present: Vec<Announcement>) -> Vec<Engine> {
    let serving = present.into_iter().filter(|announcement| announcement.state == State::Serving);
    let engines = serving.filter_map(|announcement| match announcement.role {
        Role::Engine { versions, .. } => Some(Engine {
            endpoint: announcement.endpoint,
            address: announcement.address,
            versions,
        }),
        Role::Service { .. } => None,
    });
    engines.collect()
}

/// Versions in the bundles in use that are not withdrawn.
fn wanted_versions(board: &Blackboard) -> Vec<Version> {
    let candidate = board.config.candidate.as_ref().map(|candidate| &candidate.published);
    let published = board.config.active.iter().chain(candidate);
    let bundles = published.filter_map(|published| bundle::parse("bundle", &published.text).ok());
    let versions = bundles.flat_map(|bundle| bundle.versions.into_keys());
    versions.filter(|version| !board.config.withdrawn.contains(version)).collect()
}

/// Records the results of orders that follow from announcements.
async fn record_observed_results(
    control: &Control,
    board: &Blackboard,
    engines: &[Engine],
) -> Result<(), Failure> {
    for (fence, order) in &board.unfinished_orders {
        if let Some(result) = observed_result(order, engines) {
            propose(control, Change::Observed { fence: *fence, result }).await?;
        }
    }
    Ok(())
}

fn observed_result(order: &Order, engines: &[Engine]) -> Option<End> {
    let Some(engine) = engines.iter().find(|engine| engine.endpoint == order.endpoint) else {
        return (order.expires_ms < unix_millis()).then_some(End::Gone);
    };
    match serde_json::from_str(&order.body).ok()? {
        OrderAction::Load(version) => engine.versions.contains(&version).then_some(End::Done),
        OrderAction::Unload(version) => (!engine.versions.contains(&version)).then_some(End::Done),
    }
}

/// Acquires the order lease, or renews it if less than half of its time is left.
async fn renew_order_lease(
    control: &Control,
    board: &Blackboard,
    holder: &Holder,
) -> Result<(), Failure> {
    let held_long_enough = board.order_lease.as_ref().is_some_and(|lease| {
        lease.holder == *holder && lease.expires_ms > unix_millis() + millis(ORDER_LEASE) / 2
    });
    if !held_long_enough {
        let change = Change::Lease { holder: holder.clone(), length_ms: millis(ORDER_LEASE) };
        propose(control, change).await?;
    }
    Ok(())
}

async fn propose(control: &Control, change: Change) -> Result<Accepted, Failure> {
    match control.propose(Action::Order(change)).await? {
        Outcome::Order(answer) => Ok(answer?),
        _ => Err(Error::new(Kind::Internal, "the outcome does not match the command").into()),
    }
}

/// Sends an order to an engine. `None` means that the result is unknown.
async fn send_order(client: &HttpClient, engine: &Engine, order: &engine::Order) -> Option<End> {
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
