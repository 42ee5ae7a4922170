//! Runs an entry until it is told to stop.

use std::sync::Arc;

use eyre::WrapErr;
use hickoryreel_base::client;
use hickoryreel_base::client::HttpClient;
use hickoryreel_base::logging;
use hickoryreel_base::server;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Holder;
use slog::Logger;
use slog::info;
use tokio::net::TcpListener;

use crate::blackboard::Blackboard;
use crate::control::Control;
use crate::http;
use crate::lease;
use crate::records::Records;
use crate::settings::Settings;

/// What controllers and request handlers of an entry share.
pub struct App {
    /// Settings of this process.
    pub settings: Settings,
    /// This entry in its present life.
    pub holder: Holder,
    /// What controllers write and handlers read.
    pub blackboard: Blackboard,
    /// Client of the control replicas.
    pub control: Arc<Control>,
    /// Request records.
    pub records: Records,
    /// Client towards endpoints.
    pub client: HttpClient,
    /// Log.
    pub log: Logger,
}

/// Runs an entry until SIGTERM.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let control = Arc::new(Control::new(&settings.control)?);
    let (records, record_controller) = Records::new(Arc::clone(&control));
    let app = Arc::new(App {
        holder: Holder { entry: settings.name.clone(), incarnation: unix_millis() },
        log: logging::json("entry", &settings.name, settings.log_level),
        blackboard: Blackboard::default(),
        client: client::http_client(),
        control,
        records,
        settings,
    });
    let controllers = Arc::clone(&app);
    std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            runtime.block_on(async { tokio::join!(lease::run(controllers), record_controller) });
        }
    })?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    runtime.block_on(serve(app))
}

async fn serve(app: Arc<App>) -> eyre::Result<()> {
    let address = app.settings.listen;
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))?;
    info!(app.log, "entry is up"; "listen" => %address);
    server::serve(listener, http::router(), Arc::clone(&app), server::stop_signal()).await;
    info!(app.log, "entry has stopped");
    Ok(())
}
