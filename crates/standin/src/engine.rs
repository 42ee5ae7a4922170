//! Stand-in model engine: streams made-up tokens as server-sent events.
//!
//! Each run is a task that takes a slot of the batch and counts tokens; [`crate::stream`] sends the
//! events of a run from any offset. Runs are kept by their id after they ended.

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
use crate::fault::Switch;
use crate::prefix::Cache;
use crate::stream;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Runs that are kept; the oldest goes first.
const MAX_RUNS: usize = 100_000;

/// Settings of the engine.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Versions that are loaded at the start.
    pub versions: Vec<Version>,
    /// Milliseconds between two tokens of a run.
    pub token_ms: f64,
    /// Requests that fit into the running batch.
    pub slots: u32,
    /// Prompt bytes prefilled per second; 0 makes prefilling free.
    pub prefill_bytes_per_s: f64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fence: bool,
    /// Address of the weight store that a load order reads from.
    pub weights: Option<SocketAddr>,
}

/// The engine.
pub struct Engine {
    settings: Settings,
    batch: Arc<Batch>,
    cache: Mutex<Cache>,
    versions: Mutex<Vec<Version>>,
    fence: AtomicU64,
    runs: Mutex<Runs>,
    /// Faults.
    pub switch: Switch,
}

#[derive(Default)]
struct Runs {
    by_id: HashMap<String, Arc<Run>>,
    order: VecDeque<String>,
    started: HashMap<Version, u64>,
}

/// A run and how far it is.
pub struct Run {
    /// Its id.
    pub id: String,
    /// Version that runs.
    pub version: Version,
    /// Usage of the whole run.
    pub usage: engine::Usage,
    /// Tokens generated so far, and whether the run is cancelled.
    pub progress: watch::Sender<(u64, bool)>,
}

impl Run {
    /// Offset of the last event, the one with the usage.
    pub fn last(&self) -> u64 {
        u64::from(self.usage.completion_tokens)
    }

    fn state(&self) -> engine::Run {
        let (tokens, cancelled) = *self.progress.borrow();
        let done = cancelled || tokens > self.last();
        let completion_tokens = u32::try_from(tokens.min(self.last())).unwrap_or(u32::MAX);
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
        switch: Switch::default(),
        settings,
    });
    let (role, load) = (Arc::clone(&engine), Arc::clone(&engine));
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let announcing = announce::run(
        identity,
        address,
        move || role.role(),
        move || load.load(),
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
        route.delete("/v1/runs/*").to_async_borrowing(cancel);
        route.post("/v1/orders").to_async_borrowing(orders);
        route.get("/v1/state").to_async_borrowing(state_of);
        route.post("/fault").to_async_borrowing(fault);
    })
}

type Handled = Result<Response<Body>, gotham::handler::HandlerError>;

fn engine_of(state: &State) -> Arc<Engine> {
    App::<Engine>::borrow_from(state).clone().0
}

async fn fault(state: &mut State) -> Handled {
    Ok(engine_of(state).switch.handle(state).await)
}

async fn completions(state: &mut State) -> Handled {
    let engine = engine_of(state);
    let bytes = server::read_body(state.take::<Body>(), MAX_BODY, BODY_TIMEOUT).await;
    let start = bytes.and_then(|bytes| {
        serde_json::from_slice::<engine::CompletionRequest<'_>>(&bytes)
            .map_err(|cause| Error::new(Kind::MalformedRequest, cause.to_string()))
            .map(|start| engine.start(&start))
    });
    Ok(start.unwrap_or_else(|error| server::error_response(&error)))
}

async fn read_run(state: &mut State) -> Handled {
    let engine = engine_of(state);
    let uri = Uri::borrow_from(state);
    let found = engine::parse_run_path(uri.path());
    let Some((id, rest)) = found else { return Ok(not_found()) };
    let run = engine.runs.lock().by_id.get(&id).cloned();
    Ok(match (run, rest) {
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

async fn cancel(state: &mut State) -> Handled {
    let engine = engine_of(state);
    let found = engine::parse_run_path(Uri::borrow_from(state).path());
    let run = found.and_then(|(id, _)| engine.runs.lock().by_id.get(&id).cloned());
    let Some(run) = run else {
        return Ok(server::json(200, &engine::Run { state: RunState::Unknown, usage: None }));
    };
    run.progress.send_if_modified(|(tokens, cancelled)| {
        let open = *tokens <= run.last() && !*cancelled;
        *cancelled |= open;
        open
    });
    Ok(server::json(200, &run.state()))
}

async fn orders(state: &mut State) -> Handled {
    let engine = engine_of(state);
    let order = server::read_json::<Order>(state, MAX_BODY, BODY_TIMEOUT).await;
    let carried_out = match order {
        Ok(order) => engine.fetch_weights(&order).await.and_then(|()| engine.carry_out(&order)),
        Err(error) => Err(error),
    };
    Ok(match carried_out {
        Ok(()) => server::json(200, &engine.describe()),
        Err(error) => server::error_response(&error),
    })
}

async fn state_of(state: &mut State) -> Handled {
    Ok(server::json(200, &engine_of(state).describe()))
}

fn not_found() -> Response<Body> {
    server::error_response(&Error::new(Kind::NotFound, "there is no such run"))
}

fn not_run(status: u16, message: &str) -> Response<Body> {
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
        let token_us = self.settings.token_ms * 1000.0 * self.switch.slow();
        Load {
            running,
            queued,
            slots,
            prefill_backlog: 0,
            token_gap_us: if running > 0 { token_us as u32 } else { 0 },
            age_ms: self.switch.now().report_delay_ms,
        }
    }

    /// State as told to callers of `/v1/state`: versions, fencing number and runs per version.
    fn describe(&self) -> serde_json::Value {
        let started = &self.runs.lock().started;
        let started: HashMap<&str, u64> =
            started.iter().map(|(version, count)| (&**version, *count)).collect();
        json!({
            "versions": *self.versions.lock(),
            "fence": self.fence.load(Ordering::Relaxed),
            "started": started,
        })
    }

    /// Reads the weights for a load order; fails while the store's rate limit is reached.
    async fn fetch_weights(&self, order: &Order) -> Result<(), Error> {
        let (OrderAction::Load(version), Some(store)) = (&order.action, self.settings.weights)
        else {
            return Ok(());
        };
        let url = format!("http://{store}/v1/weights/{version}");
        let sent = Call { url, ..Call::default() }.send(&client::http_client()).await;
        match sent {
            Ok(answer) if answer.status == 200 => Ok(()),
            Ok(answer) => {
                let message = format!("the weight store answered with status {}", answer.status);
                Err(Error::new(Kind::QueueFull, message))
            }
            Err(cause) => Err(Error::new(Kind::EndpointUnavailable, format!("{cause:#}"))),
        }
    }

    fn carry_out(&self, order: &Order) -> Result<(), Error> {
        if order.expires_ms < unix_millis() {
            return Err(Error::new(Kind::WrongState, "the order has expired"));
        }
        let newest = self.fence.fetch_max(order.fence, Ordering::Relaxed);
        if self.settings.checks_fence && order.fence < newest {
            let message = format!("fencing number {} is older than {newest}", order.fence);
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

    fn start(self: &Arc<Self>, start: &engine::CompletionRequest<'_>) -> Response<Body> {
        if self.switch.now().refuse {
            return not_run(503, "refused by fault");
        }
        if !self.versions.lock().contains(&start.version) {
            return not_run(404, "the version is not loaded");
        }
        if self.switch.fails_next() {
            return server::json(500, &json!({"error": {"message": "failed by fault"}}));
        }
        let (run, how) = self.find_or_start(start);
        let mut response = stream::response(self, run, 0);
        response.headers_mut().insert(engine::RUN_HEADER, HeaderValue::from_static(how));
        response
    }

    fn find_or_start(
        self: &Arc<Self>,
        start: &engine::CompletionRequest<'_>,
    ) -> (Arc<Run>, &'static str) {
        let mut runs = self.runs.lock();
        if let Some(run) = runs.by_id.get(&*start.request_id)
            && run.version == start.version
            && !run.progress.borrow().1
        {
            return (Arc::clone(run), engine::JOINED);
        }
        let id = start.request_id.to_string();
        let prompt_tokens = start.prompt.split_whitespace().count();
        let run = Arc::new(Run {
            id: id.clone(),
            version: start.version.clone(),
            usage: engine::Usage {
                prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
                completion_tokens: start.max_tokens,
            },
            progress: watch::Sender::new((0, false)),
        });
        if runs.order.len() >= MAX_RUNS
            && let Some(oldest) = runs.order.pop_front()
        {
            runs.by_id.remove(&oldest);
        }
        runs.order.push_back(id.clone());
        runs.by_id.insert(id, Arc::clone(&run));
        *runs.started.entry(start.version.clone()).or_default() += 1;
        let missing = self.cache.lock().missing_bytes(&start.prompt);
        tokio::spawn(Arc::clone(self).generate(Arc::clone(&run), start.priority, missing));
        (run, engine::STARTED)
    }

    async fn generate(self: Arc<Self>, run: Arc<Run>, rank: Rank, missing: usize) {
        let mut progress = run.progress.subscribe();
        let generating = async {
            let _slot = self.batch.enter(rank).await;
            if self.settings.prefill_bytes_per_s > 0.0 {
                let seconds = missing as f64 / self.settings.prefill_bytes_per_s;
                tokio::time::sleep(Duration::from_secs_f64(seconds * self.switch.slow())).await;
            }
            let mut next = tokio::time::Instant::now();
            for _ in 0..=run.last() {
                let gap = self.settings.token_ms / 1000.0 * self.switch.slow();
                next += Duration::from_secs_f64(gap);
                tokio::time::sleep_until(next).await;
                run.progress.send_modify(|(tokens, _)| *tokens += 1);
            }
        };
        tokio::select! {
            () = generating => {}
            _ = progress.wait_for(|(_, cancelled)| *cancelled) => {}
        }
    }
}
