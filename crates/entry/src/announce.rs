//! Announcements of endpoints, forwarded to every control replica.

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

use crate::caller;
use crate::run::App;

/// Maximum size of an announcement.
const MAX_ANNOUNCEMENT_BYTES: usize = 64 << 10;

/// Maximum time to receive the body of an announcement.
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
        let key = caller::bearer_key(HeaderMap::borrow_from(state))?;
        // Hashes are compared, so the duration of the comparison reveals nothing about the key.
        if key_sha256(key) != *expected {
            return Err(Error::new(Kind::Unauthenticated, "the announce key is wrong"));
        }
    }
    let announcement: Announcement =
        server::read_json(state, MAX_ANNOUNCEMENT_BYTES, BODY_TIMEOUT).await?;
    app.control.broadcast(method::ANNOUNCE, &announcement).await;
    Ok(())
}
