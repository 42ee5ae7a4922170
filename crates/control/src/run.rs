//! Runs a control replica until it is told to stop.

use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_base::admin::Probe;
use hickoryreel_base::logging;
use hickoryreel_base::server;
use hickoryreel_state::command::Action;
use hickoryreel_state::machine::Outcome;
use jsonrpsee::server::ServerConfig;
use slog::Logger;
use slog::error;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::admin;
use crate::client::MAX_MESSAGE;
use crate::controllers;
use crate::core;
use crate::core::Core;
use crate::directory::Directory;
use crate::first_start;
use crate::guard::Guard;
use crate::health::Health;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Outbox;
use crate::relay;
use crate::rpc;
use crate::settings::Settings;

/// Open JSON-RPC connections; 830 entries and the other replicas fit with room.
const MAX_CONNECTIONS: u32 = 4_096;

/// Limit for handing leadership over before a stop.
const TRANSFER_LIMIT: Duration = Duration::from_secs(3);

/// What the interfaces of a control replica share.
pub struct Control {
    /// Settings of this process.
    pub settings: Settings,
    /// The control state.
    pub core: Core,
    /// Messages to other replicas.
    pub outbox: Outbox,
    /// Endpoints that announced themselves.
    pub directory: Directory,
    /// Leases granted while this replica leads.
    pub leases: Leases,
    /// Health of versions.
    pub health: Health,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
}

impl Control {
    /// Proposes a command and notes how long it takes.
    pub async fn propose(&self, action: Action) -> core::Result<Outcome> {
        let started = std::time::Instant::now();
        let outcome = self.core.propose(action).await;
        self.metrics.commit_time.observe(started.elapsed().as_secs_f64());
        outcome
    }
}

impl Probe for Control {
    fn ready(&self) -> Result<(), String> {
        if self.metrics.leader_known.get() == 1 { Ok(()) } else { Err("no leader is known".into()) }
    }

    fn metrics(&self) -> String {
        let leases = self.leases.count(std::time::Instant::now());
        self.metrics.leases.set(i64::try_from(leases).unwrap_or(i64::MAX));
        self.metrics.text()
    }
}

/// Runs a control replica until SIGTERM.
pub fn run(settings: Settings) -> eyre::Result<()> {
    std::fs::create_dir_all(&settings.data)
        .wrap_err_with(|| format!("cannot create {}", settings.data.display()))?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let log = logging::json("control", &settings.rpc.to_string(), settings.log_level);
    if settings.cluster_key.is_none() {
        warn!(log, "no cluster key is set; every local process may call this replica");
    }
    let (control, failure) = build(settings, &log)?;
    let control = Arc::new(control);
    let listener = TcpListener::bind(control.settings.admin)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", control.settings.admin))?;
    let rpc = start_rpc(&control).await?;
    tokio::spawn(first_start::run(Arc::clone(&control)));
    tokio::spawn(relay::run(Arc::clone(&control)));
    tokio::spawn(controllers::run(Arc::clone(&control)));
    info!(log, "control replica is up"; "rpc" => %control.settings.rpc,
        "admin" => %control.settings.admin);
    let (stop, stopping) = watch::channel(false);
    let serving = tokio::spawn(server::serve_with_not_found_errors(
        listener,
        admin::router(),
        Arc::clone(&control),
        stopped(stopping),
    ));
    let failed = wait_for_end(failure).await;
    if failed.is_none() {
        hand_over(&control).await;
    }
    // The receiver is gone only if serving has ended already.
    let _ = stop.send(true);
    let _ = serving.await;
    let _ = rpc.stop();
    rpc.stopped().await;
    control.core.stop();
    match failed {
        Some(cause) => {
            error!(log, "control replica fails"; "error" => format!("{cause:#}"));
            Err(cause)
        }
        None => {
            info!(log, "control replica has stopped");
            Ok(())
        }
    }
}

fn build(
    settings: Settings,
    log: &Logger,
) -> eyre::Result<(Control, oneshot::Receiver<eyre::Report>)> {
    let metrics = Arc::new(Metrics::default());
    let peers = peers::Settings {
        own: settings.advertise,
        cluster_key: settings.cluster_key.clone(),
        queue: settings.peer_queue,
        timeout: settings.call_timeout,
    };
    let outbox = Outbox::new(peers, Arc::clone(&metrics), log.clone());
    let (core, failure) = Core::start(core::Start {
        data: settings.data.clone(),
        consensus: settings.consensus.clone(),
        snapshot_entries: settings.snapshot_entries,
        snapshot_bytes: settings.snapshot_bytes,
        queue: settings.queue,
        timeout: settings.request_timeout,
        outbox: outbox.clone(),
        metrics: Arc::clone(&metrics),
        log: log.clone(),
    })?;
    let leases = Leases::new(settings.lease, settings.lease_margin);
    let directory = Directory::default();
    let log = log.clone();
    let health = Health::default();
    Ok((Control { settings, core, outbox, directory, leases, health, metrics, log }, failure))
}

async fn start_rpc(control: &Arc<Control>) -> eyre::Result<jsonrpsee::server::ServerHandle> {
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let guard = Guard::new(control.settings.cluster_key.as_deref());
    let server = jsonrpsee::server::ServerBuilder::with_config(config)
        .set_http_middleware(tower::ServiceBuilder::new().layer(guard))
        .build(control.settings.rpc)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", control.settings.rpc))?;
    Ok(server.start(rpc::module(Arc::clone(control))?))
}

/// Completes with SIGTERM, or with the reason why the control-state thread failed.
async fn wait_for_end(failure: oneshot::Receiver<eyre::Report>) -> Option<eyre::Report> {
    tokio::select! {
        () = server::stop_signal() => None,
        Ok(cause) = failure => Some(cause),
    }
}

async fn stopped(mut stopping: watch::Receiver<bool>) {
    // An error means that the process ends anyway.
    let _ = stopping.wait_for(|stop| *stop).await;
}

/// Hands leadership over, so that the others need not wait for an election timeout.
async fn hand_over(control: &Control) {
    if control.metrics.leading.get() == 0 {
        return;
    }
    control.core.transfer();
    let handed_over = async {
        while control.metrics.leading.get() == 1 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(TRANSFER_LIMIT, handed_over).await.is_err() {
        warn!(control.log, "no other replica took over");
    }
}
