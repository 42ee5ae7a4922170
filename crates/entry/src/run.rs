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
use crate::control::Control;
use crate::dial::Dial;
use crate::http;
use crate::lease;
use crate::metrics::Metrics;
use crate::pins::Pins;
use crate::records::Records;
use crate::schedule::Schedule;
use crate::settings::Settings;

/// Time between two looks at what waited too long in the queues.
const SCHEDULE_TICK: Duration = Duration::from_millis(20);

/// What controllers and request handlers of an entry share.
pub struct App {
    /// Settings of this process.
    pub settings: Settings,
    /// What controllers write and handlers read.
    pub blackboard: Arc<Blackboard>,
    /// Client of the control replicas.
    pub control: Arc<Control>,
    /// Request records.
    pub records: Records,
    /// Queues and view of the endpoints.
    pub schedule: Arc<Schedule>,
    /// Session pins seen.
    pub pins: Pins,
    /// Connections to endpoints.
    pub dial: Arc<Dial>,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Log.
    pub log: Logger,
    attempts: AtomicU64,
}

impl App {
    /// Number of the next dispatch.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }
}

/// Runs an entry until SIGTERM.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let control = Arc::new(Control::new(&settings.control, settings.cluster_key.as_deref())?);
    let (records, record_controller) =
        Records::new(Arc::clone(&control), settings.max_records, settings.record_timeout);
    let incarnation = unix_millis();
    let metrics = Arc::new(Metrics::default());
    let schedule = Arc::new(Schedule::new(
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
        dial: Arc::new(Dial::new(settings.dial())),
        pins: Pins::default(),
        attempts: AtomicU64::new(0),
        control,
        records,
        schedule,
        metrics,
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
    let ticking = tokio::spawn(tick(Arc::clone(&app.schedule)));
    let stop = async {
        server::stop_signal().await;
        app.blackboard.announce_stop();
        tokio::time::sleep(app.settings.drain_wait).await;
        app.blackboard.drain();
        info!(app.log, "entry is draining"; "unclosed" => app.records.unclosed());
    };
    server::serve(listener, http::router(), Arc::clone(&app), stop).await;
    if tokio::time::timeout(app.settings.stop_timeout, app.records.drained()).await.is_err() {
        warn!(app.log, "records are left to control"; "unclosed" => app.records.unclosed());
    }
    ticking.abort();
    info!(app.log, "entry has stopped");
    Ok(())
}

async fn tick(schedule: Arc<Schedule>) {
    let mut ticks = tokio::time::interval(SCHEDULE_TICK);
    loop {
        ticks.tick().await;
        schedule.tick();
    }
}
