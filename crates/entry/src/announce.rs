//! Announcements of endpoints, passed on to every control replica.

use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::Response;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::server;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::method;

use crate::run::App;

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT: usize = 64 << 10;

/// Longest time an announcement's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /v1/announce`.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    let read = server::read_json::<Announcement>(state, MAX_ANNOUNCEMENT, BODY_TIMEOUT).await;
    Ok(match read {
        Ok(announcement) => {
            app.control.broadcast(method::ANNOUNCE, &announcement).await;
            server::json(200, &"announced")
        }
        Err(error) => server::error_response(&error),
    })
}
