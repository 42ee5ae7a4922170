//! Administration interface over HTTP.
//!
//! Every request of an operator carries the key of the operator. The leader handles writes and
//! linearizable reads; another replica responds with `not_leader` and the address of the leader in
//! the header `x-leader`. All errors have one of the kinds in [`Kind`].

mod bundles;
mod members;
mod read;
mod soft_state;
mod write;

use std::sync::Arc;
use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::hyper::header::HeaderValue;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::admin;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Operator;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::address::Address;
use crate::core::Failure;
use crate::run::Control;

/// Maximum size of the body of an operator's request.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Response header with the address of the administration interface of the leader.
const LEADER_HEADER: &str = "x-leader";

pub fn router() -> Router {
    build_simple_router(|route| {
        route.post("/admin/v1/operations").to_async_borrowing(write::operations);
        route.post("/admin/v1/check").to_async_borrowing(bundles::check);
        route.post("/admin/v1/diff").to_async_borrowing(bundles::diff);
        route.get("/admin/v1/status").to_async_borrowing(read::status);
        route.get("/admin/v1/endpoints").to_async_borrowing(read::endpoints);
        route.get("/admin/v1/billing").to_async_borrowing(read::billing);
        route.get("/admin/v1/in-force/*").to_async_borrowing(read::in_force);
        route.post("/admin/v1/replicas/add").to_async_borrowing(members::add);
        route.post("/admin/v1/replicas/remove").to_async_borrowing(members::remove);
        route.post("/v1/announce").to_async_borrowing(soft_state::announce);
        route.post("/v1/ratings").to_async_borrowing(soft_state::ratings);
        admin::routes::<Control, _, _>(route);
    })
}

type HandlerResult = Result<Response<Body>, gotham::handler::HandlerError>;

fn control(state: &State) -> Arc<Control> {
    App::<Control>::borrow_from(state).clone().0
}

fn bearer_token(state: &State) -> Option<&str> {
    let header = HeaderMap::borrow_from(state).get("authorization")?;
    header.to_str().ok()?.strip_prefix("Bearer ")
}

/// Returns the operator whose key the request carries.
fn authenticate(state: &State) -> error::Result<Operator> {
    let control = control(state);
    let key = bearer_token(state)
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the operator key is missing"))?;
    let hash = key_sha256(key);
    let owner = control.settings.operators.iter().find(|(_, key_hash)| **key_hash == hash);
    owner
        .map(|(operator, _)| operator.clone())
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the key belongs to no operator"))
}

/// Reads the JSON body of an operator's request.
async fn read_body<T: DeserializeOwned>(state: &mut State) -> error::Result<T> {
    server::read_json(state, MAX_BODY_BYTES, BODY_TIMEOUT).await
}

fn respond(result: Result<impl Serialize, Failure>) -> Response<Body> {
    let failure = match result {
        Ok(value) => return server::json(200, &value),
        Err(failure) => failure,
    };
    let mut response = server::error_response(&failure.error);
    let leader = failure.leader.and_then(|leader| leader.address.parse::<Address>().ok());
    if let Some(address) = leader
        && let Ok(value) = HeaderValue::from_str(&address.admin.to_string())
    {
        response.headers_mut().insert(LEADER_HEADER, value);
    }
    response
}
