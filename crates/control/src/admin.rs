//! Administration interface over HTTP.
//!
//! Every request carries an operator's key. Writes go to the replicated log; the answer is the
//! revision after the write, or an error of the closed table.

use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::prelude::DefineSingleRoute;
use gotham::prelude::DrawRoutes;
use gotham::router::Router;
use gotham::router::builder::build_simple_router;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Operator;
use hickoryreel_base::server;
use hickoryreel_base::server::App;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Operation;
use hickoryreel_state::machine::Accepted;
use hickoryreel_state::machine::Outcome;
use hickoryreel_wire::admin::Bundle;
use hickoryreel_wire::admin::Status;
use hickoryreel_wire::admin::Write;

use crate::run::Control;

/// Largest body of an operator's request, in bytes.
const MAX_BODY: usize = 1 << 20;

/// Longest time an operator's request body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The routes of the administration interface.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.post("/admin/v1/operations").to_async_borrowing(operations);
        route.get("/admin/v1/status").to_async_borrowing(status);
        route.get("/admin/v1/endpoints").to_async_borrowing(endpoints);
        route.get("/admin/v1/billing").to_async_borrowing(billing);
        route.get("/live").to(|state| (state, server::json(200, &"live")));
    })
}

type Handled = Result<Response<Body>, gotham::handler::HandlerError>;

async fn operations(state: &mut State) -> Handled {
    Ok(answer(operate(state).await))
}

async fn status(state: &mut State) -> Handled {
    Ok(answer(read_status(state).await))
}

async fn endpoints(state: &mut State) -> Handled {
    let listing = operator(state).map(|_| {
        let control = &App::<Control>::borrow_from(state).0;
        control.directory.delta(0, Instant::now()).changed
    });
    Ok(answer(listing))
}

async fn billing(state: &mut State) -> Handled {
    Ok(answer(read_billing(state).await))
}

async fn operate(state: &mut State) -> error::Result<Accepted> {
    let operator = operator(state)?;
    let control = App::<Control>::borrow_from(state).clone().0;
    let write: Write = server::read_json(state, MAX_BODY, BODY_TIMEOUT).await?;
    let operation = Operation {
        operator,
        request: write.request,
        based_on: write.based_on,
        change: write.change,
    };
    match control.core.propose(Action::Operate(operation)).await? {
        Outcome::Operation(answer) => answer,
        _ => Err(Error::new(Kind::Internal, "the outcome does not fit the command")),
    }
}

async fn read_status(state: &mut State) -> error::Result<Status> {
    operator(state)?;
    let control = App::<Control>::borrow_from(state).clone().0;
    control
        .core
        .query(|machine| Status {
            config: machine.config().clone(),
            bundles: machine
                .submissions()
                .iter()
                .map(|(id, submission)| {
                    let bundle = Bundle {
                        submitted_by: submission.submitted_by.clone(),
                        signed_off_by: submission.signed_off_by.clone(),
                        stage: submission.stage,
                    };
                    (*id, bundle)
                })
                .collect(),
        })
        .await
}

async fn read_billing(state: &mut State) -> error::Result<Vec<hickoryreel_state::record::Bill>> {
    operator(state)?;
    let control = App::<Control>::borrow_from(state).clone().0;
    control.core.query(|machine| machine.bills()).await
}

/// The operator whose key the request carries.
fn operator(state: &State) -> error::Result<Operator> {
    let control = &App::<Control>::borrow_from(state).0;
    let key = HeaderMap::borrow_from(state)
        .get("authorization")
        .and_then(|value| value.to_str().ok()?.strip_prefix("Bearer "))
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the operator key is missing"))?;
    let hash = key_sha256(key);
    let found = control.settings.operators.iter().find(|(_, known)| **known == hash);
    found
        .map(|(operator, _)| operator.clone())
        .ok_or_else(|| Error::new(Kind::Unauthenticated, "the key belongs to no operator"))
}

fn answer(result: error::Result<impl serde::Serialize>) -> Response<Body> {
    match result {
        Ok(value) => server::json(200, &value),
        Err(error) => server::error_response(&error),
    }
}
