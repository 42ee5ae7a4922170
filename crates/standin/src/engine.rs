//! Stand-in model engine: streams generated placeholder tokens as server-sent events.
//!
//! Each run is a task that acquires a slot of the batch and counts tokens. [`crate::stream`] sends
//! the events of a run from any offset. Finished runs stay available by id.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::hyper::Uri;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_base::rank::Rank;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_base::time::unix_millis;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::Order;
use hickoryreel_wire::engine::OrderAction;
use hickoryreel_wire::engine::RunState;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::announce;
use crate::announce::Identity;
use crate::batch::Batch;
use crate::fault::Injector;
use crate::prefix::Cache;
use crate::stream;

/// Largest request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of stored runs; the oldest one is evicted first.
const MAX_STORED_RUNS: usize = 100_000;

/// Settings of the engine.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Versions that are loaded when the engine starts.
    pub versions: Vec<Version>,
    /// Time between two tokens of a run, in milliseconds.
    pub token_ms: f64,
    /// Largest number of requests in the running batch.
    pub slots: u32,
    /// Prefill rate in prompt bytes per second; 0 makes the prefill instantaneous.
    pub prefill_bytes_per_s: f64,
    /// Whether orders with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Weight store that load orders read from; absent if loading needs no weights.
    pub weights: Option<SocketAddr>,
}

/// Shared state of the engine.
pub struct Engine {
    settings: Settings,
    batch: Arc<Batch>,
    cache: Mutex<Cache>,
    versions: Mutex<Vec<Version>>,
    /// Largest fencing token seen.
    fence: AtomicU64,
    runs: Mutex<Runs>,
    pub fault_injector: Injector,
}

#[derive(Default)]
struct Runs {
    by_id: HashMap<String, Arc<Run>>,
    /// Run ids, the oldest one first.
    insertion_order: VecDeque<String>,
    /// Number of runs started so far, by version.
    started_runs: HashMap<Version, u64>,
}

/// A run and its progress.
pub struct Run {
    pub id: String,
    pub version: Version,
    /// Usage of the complete run.
    pub usage: engine::Usage,
    /// Number of generated tokens, and whether the run is cancelled.
    pub progress: watch::Sender<(u64, bool)>,
}

impl Run {
    /// Offset of the last event, which carries the usage.
    pub fn last_offset(&self) -> u64 {
        u64::from(self.usage.completion_tokens)
    }

    fn state(&self) -> engine::Run {
        let (tokens, cancelled) = *self.progress.borrow();
        let done = cancelled || tokens > self.last_offset();
        let completion_tokens = u32::try_from(tokens.min(self.last_offset())).unwrap_or(u32::MAX);
        engine::Run {
            state: if done { RunState::Finished } else { RunState::Running },
            usage: Some(engine::Usage { completion_tokens, ..self.usage }),
        }
    }
}

/// Runs the engine until SIGTERM.
pub async fn run(identity: Identity, settings: Settings) -> eyre::Result<()> {
    let listener = TcpListener::bind(identity.listen).await?;
    let address = listener.local_addr()?;
    let engine = Arc::new(Engine {
        batch: Batch::new(settings.slots),
        cache: Mutex::default(),
        versions: Mutex::new(settings.versions.clone()),
        fence: AtomicU64::new(0),
        runs: Mutex::default(),
        fault_injector: Injector::default(),
        settings,
    });
    let (role_source, load_source) = (Arc::clone(&engine), Arc::clone(&engine));
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let announcing = announce::run(
        identity,
        address,
        move || role_source.role(),
        move || load_source.load(),
        server::stop_signal(),
        stop,
    );
    let stopped = async {
        let _ = stopped.await;
    };
    let serving = server::serve(listener, router(), engine, stopped);
    tokio::join!(announcing, serving);
    Ok(())
}

fn router() -> Router {
    build_simple_router(|route| {
        route.post("/v1/completions").to_async_borrowing(completions);
        route.get("/v1/runs/*").to_async_borrowing(read_run);
        route.delete("/v1/runs/*").to_async_borrowing(cancel_run);
        route.post("/v1/orders").to_async_borrowing(orders);
        route.get("/v1/state").to_async_borrowing(read_state);
        route.post("/fault").to_async_borrowing(fault);
    })
}

type HandlerResult = Result<Response<Body>, gotham::handler::HandlerError>;

fn engine_of(state: &State) -> Arc<Engine> {
    App::<Engine>::borrow_from(state).clone().0
}

async fn fault(state: &mut State) -> HandlerResult {
    Ok(engine_of(state).fault_injector.handle(state).await)
}

async fn completions(state: &mut State) -> HandlerResult {
    let engine = engine_of(state);
    let bytes = server::read_body(state.take::<Body>(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let response = bytes.and_then(|bytes| {
        serde_json::from_slice::<engine::CompletionRequest<'_>>(&bytes)
            .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))
            .map(|request| engine.start(&request))
    });
    Ok(response.unwrap_or_else(|error| server::error_response(&error)))
}

async fn read_run(state: &mut State) -> HandlerResult {
    let engine = engine_of(state);
    let uri = Uri::borrow_from(state);
    let found = engine::parse_run_path(uri.path());
    let Some((id, suffix)) = found else { return Ok(not_found()) };
    let run = engine.runs.lock().by_id.get(&id).cloned();
    Ok(match (run, suffix) {
        (None, "") => server::json(200, &engine::Run { state: RunState::Unknown, usage: None }),
        (Some(run), "") => server::json(200, &run.state()),
        (Some(run), "/stream") => {
            let query = uri.query().unwrap_or_default();
            let offset = query.strip_prefix("offset=").and_then(|text| text.parse().ok());
            stream::response(&engine, run, offset.unwrap_or(0))
        }
        (None | Some(_), _) => not_found(),
    })
}

async fn cancel_run(state: &mut State) -> HandlerResult {
    let engine = engine_of(state);
    let found = engine::parse_run_path(Uri::borrow_from(state).path());
    let run = found.and_then(|(id, _)| engine.runs.lock().by_id.get(&id).cloned());
    let Some(run) = run else {
        return Ok(server::json(200, &engine::Run { state: RunState::Unknown, usage: None }));
    };
    run.progress.send_if_modified(|(tokens, cancelled)| {
        let running = *tokens <= run.last_offset() && !*cancelled;
        *cancelled |= running;
        running
    });
    Ok(server::json(200, &run.state()))
}

async fn orders(state: &mut State) -> HandlerResult {
    let engine = engine_of(state);
    let order = server::read_json::<Order>(state, MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let result = match order {
        Ok(order) => engine.fetch_weights(&order).await.and_then(|()| engine.apply_order(&order)),
        Err(error) => Err(error),
    };
    Ok(match result {
        Ok(()) => server::json(200, &engine.describe()),
        Err(error) => server::error_response(&error),
    })
}

async fn read_state(state: &mut State) -> HandlerResult {
    Ok(server::json(200, &engine_of(state).describe()))
}

fn not_found() -> Response<Body> {
    server::error_response(&Error::new(Kind::NotFound, "there is no such run"))
}

fn not_run_response(status: u16, message: &str) -> Response<Body> {
    let mut response = server::json(status, &json!({"error": {"message": message}}));
    response.headers_mut().insert(engine::RAN_HEADER, HeaderValue::from_static("no"));
    response
}

impl Engine {
    fn role(&self) -> Role {
        Role::Engine {
            versions: self.versions.lock().clone(),
            checks_fence: self.settings.checks_fence,
        }
    }

    fn load(&self) -> Load {
        let (slots, running, queued) = self.batch.load();
        let token_gap_us = self.settings.token_ms * 1000.0 * self.fault_injector.slowdown();
        Load {
            running,
            queued,
            slots,
            prefill_backlog: 0,
            token_gap_us: if running > 0 { token_gap_us as u32 } else { 0 },
            age_ms: self.fault_injector.current().report_delay_ms,
        }
    }

    /// Body of `/v1/state`: loaded versions, largest fencing token and started runs per version.
    fn describe(&self) -> serde_json::Value {
        let started = &self.runs.lock().started_runs;
        let started: HashMap<&str, u64> =
            started.iter().map(|(version, count)| (&**version, *count)).collect();
        json!({
            "versions": *self.versions.lock(),
            "fence": self.fence.load(Ordering::Relaxed),
            "started": started,
        })
    }

    /// Reads the weights for a load order. Fails while the rate limit of the store is exceeded.
    async fn fetch_weights(&self, order: &Order) -> Result<(), Error> {
        let (OrderAction::Load(version), Some(store)) = (&order.action, self.settings.weights)
        else {
            return Ok(());
        };
        let url = format!("http://{store}/v1/weights/{version}");
        let result = Call { url, ..Call::default() }.send(&client::http_client()).await;
        match result {
            Ok(response) if response.status == 200 => Ok(()),
            Ok(response) => {
                let message = format!("the weight store answered with status {}", response.status);
                Err(Error::new(Kind::QueueFull, message))
            }
            Err(cause) => Err(Error::new(Kind::EndpointUnavailable, format!("{cause:#}"))),
        }
    }

    fn apply_order(&self, order: &Order) -> Result<(), Error> {
        if order.expires_ms < unix_millis() {
            return Err(Error::new(Kind::WrongState, "the order has expired"));
        }
        let newest = self.fence.fetch_max(order.fence, Ordering::Relaxed);
        if self.settings.checks_fence && order.fence < newest {
            let message = format!("fencing token {} is older than {newest}", order.fence);
            return Err(Error::new(Kind::StaleRevision, message));
        }
        let mut versions = self.versions.lock();
        match &order.action {
            OrderAction::Load(version) if !versions.contains(version) => {
                versions.push(version.clone());
            }
            OrderAction::Load(_) => {}
            OrderAction::Unload(version) => versions.retain(|loaded| loaded != version),
        }
        Ok(())
    }

    fn start(self: &Arc<Self>, request: &engine::CompletionRequest<'_>) -> Response<Body> {
        if self.fault_injector.current().refuse {
            return not_run_response(503, "refused by fault injection");
        }
        if !self.versions.lock().contains(&request.version) {
            return not_run_response(404, "the version is not loaded");
        }
        if self.fault_injector.next_request_fails() {
            return server::json(500, &json!({"error": {"message": "failed by fault injection"}}));
        }
        let (run, header_value) = self.join_or_start(request);
        let mut response = stream::response(self, run, 0);
        response.headers_mut().insert(engine::RUN_HEADER, HeaderValue::from_static(header_value));
        response
    }

    fn join_or_start(
        self: &Arc<Self>,
        request: &engine::CompletionRequest<'_>,
    ) -> (Arc<Run>, &'static str) {
        let mut runs = self.runs.lock();
        if let Some(run) = runs.by_id.get(&*request.request_id)
            && run.version == request.version
            && !run.progress.borrow().1
        {
            return (Arc::clone(run), engine::JOINED);
        }
        let id = request.request_id.to_string();
        let prompt_tokens = request.prompt.split_whitespace().count();
        let run = Arc::new(Run {
            id: id.clone(),
            version: request.version.clone(),
            usage: engine::Usage {
                prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
                completion_tokens: request.max_tokens,
            },
            progress: watch::Sender::new((0, false)),
        });
        if runs.insertion_order.len() >= MAX_STORED_RUNS
            && let Some(oldest) = runs.insertion_order.pop_front()
        {
            runs.by_id.remove(&oldest);
        }
        runs.insertion_order.push_back(id.clone());
        runs.by_id.insert(id, Arc::clone(&run));
        *runs.started_runs.entry(request.version.clone()).or_default() += 1;
        let uncached_bytes = self.cache.lock().uncached_bytes(&request.prompt);
        tokio::spawn(Arc::clone(self).generate(Arc::clone(&run), request.priority, uncached_bytes));
        (run, engine::STARTED)
    }

    async fn generate(self: Arc<Self>, run: Arc<Run>, rank: Rank, uncached_bytes: usize) {
        let mut progress = run.progress.subscribe();
        let generation = async {
            let _slot = self.batch.acquire(rank).await;
            if self.settings.prefill_bytes_per_s > 0.0 {
                let seconds = uncached_bytes as f64 / self.settings.prefill_bytes_per_s;
                tokio::time::sleep(Duration::from_secs_f64(
                    seconds * self.fault_injector.slowdown(),
                ))
                .await;
            }
            let mut next = tokio::time::Instant::now();
            for _ in 0..=run.last_offset() {
                let gap = self.settings.token_ms / 1000.0 * self.fault_injector.slowdown();
                next += Duration::from_secs_f64(gap);
                tokio::time::sleep_until(next).await;
                run.progress.send_modify(|(tokens, _)| *tokens += 1);
            }
        };
        tokio::select! {
            () = generation => {}
            _ = progress.wait_for(|(_, cancelled)| *cancelled) => {}
        }
    }
}
