//! Runs an entry until it is told to stop.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_base::logging;
use hickoryreel_base::server;
use hickoryreel_base::time::BootClock;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::Holder;
use slog::Logger;
use slog::info;
use slog::warn;
use tokio::net::TcpListener;

use crate::blackboard::Blackboard;
use crate::connection_pool::ConnectionPool;
use crate::control::ControlClient;
use crate::http;
use crate::lease;
use crate::metrics::Metrics;
use crate::pins::Pins;
use crate::records::Records;
use crate::scheduler::Scheduler;
use crate::settings::Settings;

/// Interval at which the scheduler refuses requests that waited too long in its queues.
const SCHEDULER_TICK: Duration = Duration::from_millis(20);

/// State that the controllers and request handlers of an entry share.
pub struct App {
    pub settings: Settings,
    pub blackboard: Arc<Blackboard>,
    pub control: Arc<ControlClient>,
    pub records: Records,
    /// Queues, and this entry's view of the endpoints.
    pub scheduler: Arc<Scheduler>,
    pub pins: Pins,
    pub connection_pool: Arc<ConnectionPool>,
    pub metrics: Arc<Metrics>,
    pub log: Logger,
    attempts: AtomicU64,
}

impl App {
    /// Returns the number of the next dispatch.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Runs an entry until SIGTERM.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let control = Arc::new(ControlClient::new(&settings.control, settings.cluster_key.as_deref())?);
    let (records, record_controller) =
        Records::new(Arc::clone(&control), settings.max_records, settings.record_timeout);
    let incarnation = unix_millis();
    let metrics = Arc::new(Metrics::default());
    let scheduler = Arc::new(Scheduler::new(
        &settings.name,
        settings.region.clone(),
        1.0 / f64::from(settings.entries),
        incarnation,
        Arc::clone(&metrics),
    ));
    let holder = Holder { entry: settings.name.clone(), incarnation };
    let app = Arc::new(App {
        log: logging::json("entry", &settings.name, settings.log_level),
        blackboard: Arc::new(Blackboard::new(holder, Arc::new(BootClock))),
        connection_pool: Arc::new(ConnectionPool::new(settings.connection_pool())),
        pins: Pins::default(),
        attempts: AtomicU64::new(0),
        control,
        records,
        scheduler,
        metrics,
        settings,
    });
    let controller_app = Arc::clone(&app);
    std::thread::Builder::new().name("control-state".to_owned()).spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        if let Ok(runtime) = runtime {
            runtime.block_on(async { tokio::join!(lease::run(controller_app), record_controller) });
        }
    })?;
    let runtime = tokio::runtime::Runtime::new().wrap_err("cannot start the runtime")?;
    let ended = runtime.block_on(serve(app));
    logging::flush();
    ended
}

async fn serve(app: Arc<App>) -> eyre::Result<()> {
    let address = app.settings.listen;
    let listener =
        TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))?;
    info!(app.log, "entry is listening"; "listen" => %address);
    let ticker = tokio::spawn(run_ticks(Arc::clone(&app.scheduler)));
    let stop = async {
        server::stop_signal().await;
        app.blackboard.set_stopping();
        tokio::time::sleep(app.settings.drain_wait).await;
        app.blackboard.set_draining();
        info!(app.log, "entry is draining"; "unclosed" => app.records.unclosed());
    };
    server::serve(listener, http::router(), Arc::clone(&app), stop).await;
    if tokio::time::timeout(app.settings.stop_timeout, app.records.wait_all_closed()).await.is_err()
    {
        warn!(app.log, "stopping with unclosed records"; "unclosed" => app.records.unclosed());
    }
    ticker.abort();
    info!(app.log, "entry has stopped");
    Ok(())
}

async fn run_ticks(scheduler: Arc<Scheduler>) {
    let mut ticks = tokio::time::interval(SCHEDULER_TICK);
    loop {
        ticks.tick().await;
        scheduler.tick();
    }
}
