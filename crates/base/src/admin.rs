//! Readiness, liveness and metrics of a process: `GET /ready`, `/live` and `/metrics`.

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::pipeline::PipelineHandleChain;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::RouterBuilder;
use gotham::state::FromState;
use gotham::state::State;

use crate::metrics;
use crate::server;
use crate::server::App;

/// What a process tells about itself.
pub trait Probe: Send + Sync + 'static {
    /// Whether new work may be sent here; the error says why not.
    fn ready(&self) -> Result<(), String>;

    /// The process's metrics as text.
    fn metrics(&self) -> String;
}

/// Adds the routes for the application value `A`, which is the one given to [`server::serve`].
pub fn routes<A, C, P>(route: &mut RouterBuilder<'_, C, P>)
where
    A: Probe,
    C: PipelineHandleChain<P> + Copy + Send + Sync + 'static,
    P: std::panic::RefUnwindSafe + Send + Sync + 'static,
{
    route.get("/live").to(live);
    route.get("/ready").to(ready::<A>);
    route.get("/metrics").to(metrics::<A>);
}

fn live(state: State) -> (State, Response<Body>) {
    (state, server::json(200, &"live"))
}

fn ready<A: Probe>(state: State) -> (State, Response<Body>) {
    let response = match App::<A>::borrow_from(&state).0.ready() {
        Ok(()) => server::json(200, &"ready"),
        Err(reason) => server::json(503, &reason),
    };
    (state, response)
}

fn metrics<A: Probe>(state: State) -> (State, Response<Body>) {
    let text = App::<A>::borrow_from(&state).0.metrics();
    let response = server::whole(200, metrics::CONTENT_TYPE, text);
    (state, response)
}
