//! Starts the parts of a control replica and runs it until it has to stop.

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
use crate::auth::AuthLayer;
use crate::bootstrap;
use crate::client::MAX_MESSAGE_BYTES;
use crate::controllers;
use crate::core;
use crate::core::Core;
use crate::directory::Directory;
use crate::directory_sync;
use crate::health::Health;
use crate::leases::Leases;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Outbox;
use crate::rpc;
use crate::settings::Settings;

/// Maximum number of open JSON-RPC connections: more than enough for 830 entries and the other
/// replicas.
const MAX_CONNECTIONS: u32 = 4_096;

/// Longest wait for a leadership transfer before the process stops.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// State shared by the interfaces and background tasks of a control replica.
pub struct Control {
    pub settings: Settings,
    /// Handle to the control-state thread.
    pub core: Core,
    /// Queues of messages to other replicas.
    pub outbox: Outbox,
    /// Endpoints known from announcements.
    pub directory: Directory,
    /// Leases that this replica granted as the leader.
    pub leases: Leases,
    /// Health tests of the versions that are being rolled out.
    pub health: Health,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
}

impl Control {
    /// Proposes a command and records the commit time in the metrics.
    pub async fn propose(&self, action: Action) -> core::Result<Outcome> {
        let started = std::time::Instant::now();
        let outcome = self.core.propose(action).await;
        self.metrics.commit_duration.observe(started.elapsed().as_secs_f64());
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
    let ended = runtime.block_on(serve(settings));
    logging::flush();
    ended
}

async fn serve(settings: Settings) -> eyre::Result<()> {
    let log = logging::json("control", &settings.rpc.to_string(), settings.log_level);
    if settings.cluster_key.is_none() {
        warn!(log, "no cluster key is set; every local process may call this replica");
    }
    let (control, failure) = build_control(settings, &log)?;
    let control = Arc::new(control);
    let listener = TcpListener::bind(control.settings.admin)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", control.settings.admin))?;
    let rpc = start_rpc(&control).await?;
    tokio::spawn(bootstrap::run(Arc::clone(&control)));
    tokio::spawn(directory_sync::run(Arc::clone(&control)));
    tokio::spawn(controllers::run(Arc::clone(&control)));
    info!(log, "control replica is up"; "rpc" => %control.settings.rpc,
        "admin" => %control.settings.admin);
    let (stop, stopping) = watch::channel(false);
    let serving = tokio::spawn(server::serve_with_not_found_errors(
        listener,
        admin::router(),
        Arc::clone(&control),
        stop_requested(stopping),
    ));
    let cause = stop_signal_or_failure(failure).await;
    if cause.is_none() {
        transfer_leadership(&control).await;
    }
    // Sending fails only if the server has already ended.
    let _ = stop.send(true);
    let _ = serving.await;
    let _ = rpc.stop();
    rpc.stopped().await;
    control.core.stop();
    match cause {
        Some(cause) => {
            error!(log, "control replica failed"; "error" => format!("{cause:#}"));
            Err(cause)
        }
        None => {
            info!(log, "control replica has stopped");
            Ok(())
        }
    }
}

fn build_control(
    settings: Settings,
    log: &Logger,
) -> eyre::Result<(Control, oneshot::Receiver<eyre::Report>)> {
    let metrics = Arc::new(Metrics::default());
    let peers = peers::Settings {
        own_address: settings.advertise,
        cluster_key: settings.cluster_key.clone(),
        queue: settings.peer_queue,
        timeout: settings.call_timeout,
    };
    let outbox = Outbox::new(peers, Arc::clone(&metrics), log.clone());
    let (core, failure) = Core::start(core::Context {
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
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_connections(MAX_CONNECTIONS)
        .build();
    let auth_layer = AuthLayer::new(control.settings.cluster_key.as_deref());
    let server = jsonrpsee::server::ServerBuilder::with_config(config)
        .set_http_middleware(tower::ServiceBuilder::new().layer(auth_layer))
        .build(control.settings.rpc)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", control.settings.rpc))?;
    Ok(server.start(rpc::module(Arc::clone(control))?))
}

/// Waits for SIGTERM or for a failure of the control-state thread. Returns the cause of the
/// failure.
async fn stop_signal_or_failure(failure: oneshot::Receiver<eyre::Report>) -> Option<eyre::Report> {
    tokio::select! {
        () = server::stop_signal() => None,
        Ok(cause) = failure => Some(cause),
    }
}

async fn stop_requested(mut stopping: watch::Receiver<bool>) {
    // The sender is dropped only when the process is ending, so an error also means stop.
    let _ = stopping.wait_for(|stop| *stop).await;
}

/// Transfers leadership, so that the cluster does not have to wait for an election timeout.
async fn transfer_leadership(control: &Control) {
    if control.metrics.leading.get() == 0 {
        return;
    }
    control.core.transfer_leadership();
    let transferred = async {
        while control.metrics.leading.get() == 1 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    if tokio::time::timeout(TRANSFER_TIMEOUT, transferred).await.is_err() {
        warn!(control.log, "no other replica took over");
    }
}
