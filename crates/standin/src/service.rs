//! Stand-in plain service without idempotency. It counts how often it ran each request id, so that
//! tests can detect duplicate execution.

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
use crate::fault::Injector;

/// Largest request body.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of concurrent calls that load reports state as the capacity.
const REPORTED_SLOTS: u32 = 64;

#[derive(Default)]
struct Instance {
    /// Number of calls for each run id, and how many of them are in flight.
    runs: Mutex<HashMap<String, (u32, u32)>>,
    call_ms: u64,
    fault_injector: Injector,
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

type HandlerResult = Result<Response<Body>, gotham::handler::HandlerError>;

fn instance_of(state: &State) -> Arc<Instance> {
    App::<Instance>::borrow_from(state).clone().0
}

async fn fault(state: &mut State) -> HandlerResult {
    Ok(instance_of(state).fault_injector.handle(state).await)
}

/// Lists how often each run id ran.
async fn counts(state: &mut State) -> HandlerResult {
    let instance = instance_of(state);
    let counts: HashMap<String, u32> =
        instance.runs.lock().iter().map(|(id, (ran, _))| (id.clone(), *ran)).collect();
    Ok(server::json(200, &counts))
}

async fn read_run(state: &mut State) -> HandlerResult {
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

async fn call(state: &mut State) -> HandlerResult {
    let instance = instance_of(state);
    let path = Uri::borrow_from(state).path().to_owned();
    let headers = HeaderMap::borrow_from(state);
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let request = header("x-request-id").to_owned();
    let id = format!("{}:{request}", header("x-workspace"));
    let body = state.take::<Body>();
    Ok(match server::read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => instance.call(&id, &path, &request, body.len()).await,
        Err(error) => server::error_response(&error),
    })
}

impl Instance {
    fn load(&self) -> Load {
        let running = self.runs.lock().values().map(|(_, in_flight)| in_flight).sum();
        let age_ms = self.fault_injector.current().report_delay_ms;
        Load { running, slots: REPORTED_SLOTS, age_ms, ..Load::default() }
    }

    async fn call(&self, id: &str, path: &str, request: &str, bytes: usize) -> Response<Body> {
        let faults = self.fault_injector.current();
        if faults.refuse {
            let mut response = server::json(503, &json!({"error": "refused by fault injection"}));
            response.headers_mut().insert(engine::RAN_HEADER, HeaderValue::from_static("no"));
            return response;
        }
        let ran = {
            let mut runs = self.runs.lock();
            let (ran, in_flight) = runs.entry(id.to_owned()).or_default();
            *ran += 1;
            *in_flight += 1;
            *ran
        };
        let duration = Duration::from_millis(self.call_ms).mul_f64(self.fault_injector.slowdown());
        tokio::time::sleep(duration).await;
        if let Some((_, in_flight)) = self.runs.lock().get_mut(id) {
            *in_flight -= 1;
        }
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if faults.fail || self.fault_injector.next_request_fails() {
            return server::error_response(&Error::new(
                Kind::Internal,
                "failed by fault injection",
            ));
        }
        if faults.empty_404 {
            // A stream of unknown length, because the server replaces a 404 response whose body
            // is known to be empty.
            let empty_body = futures_util::stream::empty::<std::io::Result<Frame<Bytes>>>();
            let mut response = Response::new(StreamBody::new(empty_body).boxed_unsync());
            *response.status_mut() = hyper::StatusCode::NOT_FOUND;
            return response;
        }
        if faults.drop_answer {
            let failing_body = futures_util::stream::iter([Err(std::io::Error::other(
                "connection broken by fault injection",
            ))]);
            return Response::new(StreamBody::new(failing_body).boxed_unsync());
        }
        let answer = json!({"path": path, "request_id": request, "runs": ran, "bytes": bytes});
        server::json(200, &answer)
    }
}
