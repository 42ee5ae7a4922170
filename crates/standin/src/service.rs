//! Stand-in plain service: counts how often each request id ran.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::hyper::Uri;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::name::Service;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use parking_lot::Mutex;
use serde_json::json;
use tokio::net::TcpListener;

use crate::announce;
use crate::announce::Identity;

/// Largest request body, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Longest time a request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Default)]
struct Instance {
    runs: Mutex<HashMap<String, u32>>,
}

/// Runs the service instance until SIGTERM.
pub async fn run(identity: Identity, service: Service) -> eyre::Result<()> {
    let listener = TcpListener::bind(identity.listen).await?;
    let address = listener.local_addr()?;
    let router = build_simple_router(|route| {
        route.post("/*").to_async_borrowing(call);
    });
    let announcing = announce::run(
        identity,
        address,
        move || Role::Service { service: service.clone() },
        Load::default,
        server::stop_signal(),
    );
    let instance = Arc::new(Instance::default());
    let serving = server::serve(listener, router, instance, server::stop_signal());
    tokio::join!(announcing, serving);
    Ok(())
}

async fn call(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let instance = App::<Instance>::borrow_from(state).clone().0;
    let path = Uri::borrow_from(state).path().to_owned();
    let request = HeaderMap::borrow_from(state)
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = state.take::<Body>();
    let response = match server::read_body(body, MAX_BODY, BODY_TIMEOUT).await {
        Ok(body) => {
            let runs = {
                let mut runs = instance.runs.lock();
                let count = runs.entry(request.clone()).or_default();
                *count += 1;
                *count
            };
            let answer =
                json!({"path": path, "request_id": request, "runs": runs, "bytes": body.len()});
            server::json(200, &answer)
        }
        Err(error) => server::error_response(&error),
    };
    Ok(response)
}
