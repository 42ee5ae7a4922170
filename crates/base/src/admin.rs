//! HTTP routes for health checks and metrics: `GET /live`, `/ready` and `/metrics`.

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

/// Readiness and metrics of a process.
pub trait Probe: Send + Sync + 'static {
    /// Whether the process accepts new work; the error is the reason why it does not.
    fn ready(&self) -> Result<(), String>;

    /// All metrics in the text format of [`metrics::CONTENT_TYPE`].
    fn metrics(&self) -> String;
}

/// Adds the routes. `A` is the type of the application value passed to [`server::serve`].
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
    let response = server::full_response(200, metrics::CONTENT_TYPE, text);
    (state, response)
}
