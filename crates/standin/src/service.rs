//! Stand-in plain service without idempotency: it counts how often each request id ran.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::hyper::Uri;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Service;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::engine;
use hickoryreel_wire::engine::RunState;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::header::HeaderValue;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;

use crate::announce;
use crate::announce::Identity;
use crate::fault::Switch;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Calls that the service claims to run at a time.
const SLOTS: u32 = 64;

#[derive(Default)]
struct Instance {
    /// How often each run id ran, and how many of these calls are under way.
    runs: Mutex<HashMap<String, (u32, u32)>>,
    call_ms: u64,
    switch: Switch,
}

/// Runs the service instance until SIGTERM.
pub async fn run(identity: Identity, service: Service, call_ms: u64) -> eyre::Result<()> {
    let listener = TcpListener::bind(identity.listen).await?;
    let address = listener.local_addr()?;
    let router = build_simple_router(|route| {
        route.post("/fault").to_async_borrowing(fault);
        route.get("/v1/runs/*").to_async_borrowing(read_run);
        route.get("/runs").to_async_borrowing(counts);
        route.post("/*").to_async_borrowing(call);
    });
    let instance = Arc::new(Instance { call_ms, ..Instance::default() });
    let load = Arc::clone(&instance);
    let (stop, stopped) = tokio::sync::oneshot::channel::<()>();
    let announcing = announce::run(
        identity,
        address,
        move || Role::Service { service: service.clone() },
        move || load.load(),
        server::stop_signal(),
        stop,
    );
    let stopped = async {
        let _ = stopped.await;
    };
    let serving = server::serve(listener, router, instance, stopped);
    tokio::join!(announcing, serving);
    Ok(())
}

type Handled = Result<Response<Body>, gotham::handler::HandlerError>;

fn instance_of(state: &State) -> Arc<Instance> {
    App::<Instance>::borrow_from(state).clone().0
}

async fn fault(state: &mut State) -> Handled {
    Ok(instance_of(state).switch.handle(state).await)
}

/// How often each run id ran.
async fn counts(state: &mut State) -> Handled {
    let instance = instance_of(state);
    let counts: HashMap<String, u32> =
        instance.runs.lock().iter().map(|(id, (ran, _))| (id.clone(), *ran)).collect();
    Ok(server::json(200, &counts))
}

async fn read_run(state: &mut State) -> Handled {
    let instance = instance_of(state);
    let found = engine::parse_run_path(Uri::borrow_from(state).path());
    let run = found.and_then(|(id, _)| instance.runs.lock().get(&id).copied());
    let state = match run {
        None => RunState::Unknown,
        Some((_, 0)) => RunState::Finished,
        Some(_) => RunState::Running,
    };
    let usage = (state == RunState::Finished).then(engine::Usage::default);
    Ok(server::json(200, &engine::Run { state, usage }))
}

async fn call(state: &mut State) -> Handled {
    let instance = instance_of(state);
    let path = Uri::borrow_from(state).path().to_owned();
    let headers = HeaderMap::borrow_from(state);
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request = header("x-request-id").to_owned();
    let id = format!("{}:{request}", header("x-workspace"));
    let body = state.take::<Body>();
    Ok(match server::read_body(body, MAX_BODY, BODY_TIMEOUT).await {
        Ok(body) => instance.call(&id, &path, &request, body.len()).await,
        Err(error) => server::error_response(&error),
    })
}

impl Instance {
    fn load(&self) -> Load {
        let running = self.runs.lock().values().map(|(_, open)| open).sum();
        let age_ms = self.switch.now().report_delay_ms;
        Load { running, slots: SLOTS, age_ms, ..Load::default() }
    }

    async fn call(&self, id: &str, path: &str, request: &str, bytes: usize) -> Response<Body> {
        let faults = self.switch.now();
        if faults.refuse {
            let mut response = server::json(503, &json!({"error": "refused by fault"}));
            response.headers_mut().insert(engine::RAN_HEADER, HeaderValue::from_static("no"));
            return response;
        }
        let ran = {
            let mut runs = self.runs.lock();
            let (ran, open) = runs.entry(id.to_owned()).or_default();
            *ran += 1;
            *open += 1;
            *ran
        };
        let time = Duration::from_millis(self.call_ms).mul_f64(self.switch.slow());
        tokio::time::sleep(time).await;
        if let Some((_, open)) = self.runs.lock().get_mut(id) {
            *open -= 1;
        }
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.fail || self.switch.fails_next() {
            return server::error_response(&Error::new(Kind::Internal, "failed by fault"));
        }
        if faults.empty_404 {
            // A stream, because the server replaces a 404 whose body is known to be empty.
            let none = futures_util::stream::empty::<std::io::Result<Frame<Bytes>>>();
            let mut response = Response::new(StreamBody::new(none).boxed_unsync());
            *response.status_mut() = hyper::StatusCode::NOT_FOUND;
            return response;
        }
        if faults.drop_answer {
            let broken = futures_util::stream::iter([Err(std::io::Error::other("cut by fault"))]);
            return Response::new(StreamBody::new(broken).boxed_unsync());
        }
        let answer = json!({"path": path, "request_id": request, "runs": ran, "bytes": bytes});
        server::json(200, &answer)
    }
}
