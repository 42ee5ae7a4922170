//! Announcements of endpoints, passed on to every control replica.

use std::time::Duration;

use gotham::helpers::http::Body;
use gotham::hyper::HeaderMap;
use gotham::hyper::Response;
use gotham::state::FromState;
use gotham::state::State;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::server;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::rpc::method;

use crate::authority;
use crate::run::App;

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT: usize = 64 << 10;

/// Longest time an announcement's body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /v1/announce`.
pub async fn handle(state: &mut State) -> Result<Response<Body>, gotham::handler::HandlerError> {
    Ok(match announce(state).await {
        Ok(()) => server::json(200, &"announced"),
        Err(error) => server::error_response(&error),
    })
}

async fn announce(state: &mut State) -> error::Result<()> {
    let app = server::App::<App>::borrow_from(state).clone().0;
    if let Some(expected) = &app.settings.announce_key_sha256 {
        let key = authority::key(HeaderMap::borrow_from(state))?;
        // Hashes are compared, so the time of the comparison tells nothing about the key.
        if key_sha256(key) != *expected {
            return Err(Error::new(Kind::Unauthenticated, "the announce key is wrong"));
        }
    }
    let announcement: Announcement =
        server::read_json(state, MAX_ANNOUNCEMENT, BODY_TIMEOUT).await?;
    app.control.broadcast(method::ANNOUNCE, &announcement).await;
    Ok(())
}
