//! Runs a control replica until it is told to stop.

use std::sync::Arc;

use eyre::WrapErr;
use hickoryreel_base::logging;
use hickoryreel_base::server;
use slog::info;
use tokio::net::TcpListener;

use crate::admin;
use crate::core::Core;
use crate::directory::Directory;
use crate::rpc;
use crate::settings::Settings;

/// What the interfaces of a control replica share.
pub struct Control {
    /// Settings of this process.
    pub settings: Settings,
    /// The control state.
    pub core: Core,
    /// Endpoints that announced themselves.
    pub directory: Directory,
}

/// Runs a control replica until SIGTERM.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let core = Core::start()?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(Control { settings, core, directory: Directory::default() }))
}

async fn serve(control: Control) -> eyre::Result<()> {
    let settings = control.settings.clone();
    let control = Arc::new(control);
    let log = logging::json("control", &settings.rpc.to_string(), settings.log_level);
    let listener = TcpListener::bind(settings.admin)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.admin))?;
    let rpc_server = jsonrpsee::server::ServerBuilder::default()
        .build(settings.rpc)
        .await
        .wrap_err_with(|| format!("cannot listen on {}", settings.rpc))?;
    let handle = rpc_server.start(rpc::module(Arc::clone(&control))?);
    info!(log, "control replica is up"; "rpc" => %settings.rpc, "admin" => %settings.admin);
    server::serve(listener, admin::router(), control, server::stop_signal()).await;
    let _ = handle.stop();
    handle.stopped().await;
    info!(log, "control replica has stopped");
    Ok(())
}
