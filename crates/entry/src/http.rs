//! Routes of the HTTP interface for callers and endpoints.

use std::time::Instant;

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

/// Routes of an entry.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.post("/v1/completions").to_async_borrowing(completion::handle);
        route.post("/v1/services/*").to_async_borrowing(call::handle);
        route.post("/v1/announce").to_async_borrowing(announce::handle);
        route.get("/ready").to(ready);
        route.get("/live").to(|state| (state, server::json(200, &"live")));
    })
}

fn ready(state: State) -> (State, Response<Body>) {
    let app = server::App::<App>::borrow_from(&state);
    let response = match app.0.blackboard.check_lease(Instant::now()) {
        Ok(()) => server::json(200, &"ready"),
        Err(error) => server::error_response(&error),
    };
    (state, response)
}
