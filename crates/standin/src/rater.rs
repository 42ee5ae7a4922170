//! Stand-in rater: rates every n-th answer, some time after it was handed in.
//!
//! `POST /v1/answers` hands in `{"request", "version", "text"}`; `GET /v1/ratings?after=n` returns
//! the ratings that are due, counted from 1. An answer that contains `nonsense` is bad.

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
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use tokio::net::TcpListener;

/// Largest answer, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time an answer may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

struct Rater {
    delay: Duration,
    every: u64,
    inner: Mutex<(u64, Vec<(Instant, serde_json::Value)>)>,
}

#[derive(Deserialize)]
struct Answer {
    request: String,
    version: String,
    text: String,
}

/// Runs the rater until SIGTERM.
pub async fn run(listen: SocketAddr, delay: Duration, every: u64) -> eyre::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let router = build_simple_router(|route| {
        route.post("/v1/answers").to_async_borrowing(answers);
        route.get("/v1/ratings").to_async_borrowing(ratings);
    });
    let rater = Arc::new(Rater { delay, every: every.max(1), inner: Mutex::default() });
    server::serve(listener, router, rater, server::stop_signal()).await;
    Ok(())
}

type Handled = Result<Response<Body>, gotham::handler::HandlerError>;

async fn answers(state: &mut State) -> Handled {
    let rater = App::<Rater>::borrow_from(state).clone().0;
    Ok(match server::read_json::<Answer>(state, MAX_BODY, BODY_TIMEOUT).await {
        Ok(answer) => {
            let mut inner = rater.inner.lock();
            inner.0 += 1;
            if inner.0 % rater.every == 0 {
                let rating = json!({
                    "number": inner.1.len() + 1,
                    "request": answer.request,
                    "version": answer.version,
                    "good": !answer.text.contains("nonsense"),
                });
                inner.1.push((Instant::now() + rater.delay, rating));
            }
            server::json(200, &"taken")
        }
        Err(error) => server::error_response(&error),
    })
}

async fn ratings(state: &mut State) -> Handled {
    let rater = App::<Rater>::borrow_from(state).clone().0;
    let query = Uri::borrow_from(state).query().unwrap_or_default();
    let after = query.strip_prefix("after=").and_then(|text| text.parse().ok()).unwrap_or(0);
    let now = Instant::now();
    let inner = rater.inner.lock();
    let due = inner.1.iter().skip(after).take_while(|(due, _)| *due <= now);
    Ok(server::json(200, &due.map(|(_, rating)| rating).collect::<Vec<_>>()))
}
