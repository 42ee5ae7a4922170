//! Stand-in model engine: streams made-up tokens as server-sent events.
//!
//! Each run is kept by its request id, so that a stream can be resumed from an offset.

use std::collections::HashMap;
use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Version;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

use crate::announce;
use crate::announce::Identity;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Requests that fit into the running batch.
const SLOTS: u32 = 32;

/// Settings of the engine.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Versions that are loaded.
    pub versions: Vec<Version>,
    /// Milliseconds between two tokens.
    pub token_ms: u64,
}

struct Engine {
    settings: Settings,
    running: AtomicU32,
    runs: Mutex<HashMap<String, u32>>,
}

/// Body of `POST /v1/completions` at an engine.
#[derive(Debug, Deserialize)]
struct Completion {
    request_id: String,
    version: Version,
    prompt: String,
    max_tokens: u32,
}

/// Runs the engine until SIGTERM.
pub async fn run(identity: Identity, settings: Settings) -> eyre::Result<()> {
    let listener = TcpListener::bind(identity.listen).await?;
    let address = listener.local_addr()?;
    let engine = Arc::new(Engine { settings, running: AtomicU32::new(0), runs: Mutex::default() });
    let router = build_simple_router(|route| {
        route.post("/v1/completions").to_async_borrowing(completions);
    });
    let announced = Arc::clone(&engine);
    let load = Arc::clone(&engine);
    let announcing = announce::run(
        identity,
        address,
        move || Role::Engine { versions: announced.settings.versions.clone(), checks_fence: false },
        move || Load { running: load.running.load(Ordering::Relaxed), queued: 0, slots: SLOTS },
        server::stop_signal(),
    );
    let serving = server::serve(listener, router, engine, server::stop_signal());
    tokio::join!(announcing, serving);
    Ok(())
}

async fn completions(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let engine = App::<Engine>::borrow_from(state).clone().0;
    let response = match server::read_json::<Completion>(state, MAX_BODY, BODY_TIMEOUT).await {
        Ok(completion) if !engine.settings.versions.contains(&completion.version) => {
            let message = format!("version {} is not loaded", completion.version);
            server::error_response(&Error::new(Kind::NotFound, message))
        }
        Ok(completion) => generate(engine, completion),
        Err(error) => server::error_response(&error),
    };
    Ok(response)
}

/// Counts a run as running until it is dropped.
struct Running(Arc<Engine>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

fn generate(engine: Arc<Engine>, completion: Completion) -> Response<Body> {
    *engine.runs.lock().entry(completion.request_id.clone()).or_default() += 1;
    engine.running.fetch_add(1, Ordering::Relaxed);
    let pause = Duration::from_millis(engine.settings.token_ms);
    let running = Running(engine);
    let events =
        stream::unfold((0, completion, running), move |(offset, completion, running)| async move {
            if offset > completion.max_tokens {
                return None;
            }
            tokio::time::sleep(pause).await;
            let event = event(offset, &completion);
            Some((io::Result::Ok(Frame::data(event)), (offset + 1, completion, running)))
        });
    let mut response = Response::new(StreamBody::new(events).boxed_unsync());
    response.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("text/event-stream"),
    );
    response
}

/// The event at `offset`; the one after the last token carries the usage and ends the stream.
fn event(offset: u32, completion: &Completion) -> Bytes {
    let Completion { request_id, version, prompt, max_tokens } = completion;
    let data = if offset < *max_tokens {
        json!({
            "id": request_id,
            "model": version,
            "choices": [{"index": 0, "text": format!("token{offset} ")}],
        })
    } else {
        json!({
            "id": request_id,
            "model": version,
            "choices": [{"index": 0, "text": "", "finish_reason": "length"}],
            "usage": {
                "prompt_tokens": prompt.split_whitespace().count(),
                "completion_tokens": max_tokens,
            },
        })
    };
    let end = if offset == *max_tokens { "data: [DONE]\n\n" } else { "" };
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n{end}"))
}
