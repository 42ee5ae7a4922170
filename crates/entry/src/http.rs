//! Routes of the HTTP interface for callers and endpoints.

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::server;

use crate::announce;
use crate::call;
use crate::completion;
use crate::run::App;

/// Content type of the metrics.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

pub fn router() -> Router {
    build_simple_router(|route| {
        route.post("/v1/completions").to_async_borrowing(completion::handle);
        route.post("/v1/services/*").to_async_borrowing(call::handle);
        route.post("/v1/announce").to_async_borrowing(announce::handle);
        route.get("/ready").to(ready);
        route.get("/live").to(|state| (state, server::json(200, &"live")));
        route.get("/metrics").to(metrics);
    })
}

fn ready(state: State) -> (State, Response<Body>) {
    let app = server::App::<App>::borrow_from(&state);
    let response = match app.0.blackboard.check_ready() {
        Ok(()) => server::json(200, &"ready"),
        Err(error) => server::error_response(&error),
    };
    (state, response)
}

fn metrics(state: State) -> (State, Response<Body>) {
    let app = &server::App::<App>::borrow_from(&state).0;
    let metrics = &app.metrics;
    let to_gauge = |value: u128| i64::try_from(value).unwrap_or(i64::MAX);
    metrics.lease_left_ms.set(to_gauge(app.blackboard.lease_left().as_millis()));
    metrics.unclosed_records.set(i64::try_from(app.records.unclosed()).unwrap_or(i64::MAX));
    let revision = app.blackboard.routing().config.revision;
    metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
    let response = server::full_response(200, OPENMETRICS_CONTENT_TYPE, metrics.text());
    (state, response)
}
