//! Stand-in weight store: serves `GET /v1/weights/{version}` and limits the rate of loads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::hyper::Uri;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;

struct Store {
    /// Minimum time between the starts of two loads.
    min_interval: Duration,
    /// Earliest start of the next load.
    next_start: Mutex<Instant>,
}

/// Runs the store until SIGTERM. At most `per_s` loads may start each second.
pub async fn run(listen: SocketAddr, per_s: f64) -> eyre::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let router = build_simple_router(|route| {
        route.get("/v1/weights/*").to_async_borrowing(load);
    });
    let min_interval = Duration::try_from_secs_f64(1.0 / per_s)?;
    let store = Arc::new(Store { min_interval, next_start: Mutex::new(Instant::now()) });
    server::serve(listener, router, store, server::stop_signal()).await;
    Ok(())
}

async fn load(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let store = App::<Store>::borrow_from(state).clone().0;
    let path = Uri::borrow_from(state).path().to_owned();
    let now = Instant::now();
    let mut next_start = store.next_start.lock();
    if now < *next_start {
        let error = Error::new(Kind::QueueFull, "the rate limit of the weight store is exceeded");
        return Ok(server::error_response(&error));
    }
    *next_start = now + store.min_interval;
    Ok(server::json(200, &json!({"weights": path})))
}
