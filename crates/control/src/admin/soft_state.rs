//! Announcements of endpoints and ratings of answers. Both are soft state and need the announce
//! key.

use std::time::Duration;
use std::time::Instant;

use gotham::state::State;
use hickoryreel_base::bundle::key_sha256;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::server;
use hickoryreel_policy::health::Signal;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Rating;

use super::HandlerResult;
use crate::core::Failure;

/// Maximum size of a request body.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Longest time to receive a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /v1/announce`.
pub(super) async fn announce(state: &mut State) -> HandlerResult {
    Ok(super::respond(receive_announcement(state).await))
}

/// Handles `POST /v1/ratings`. Only the leader uses ratings, but the rater sends them to every
/// replica.
pub(super) async fn ratings(state: &mut State) -> HandlerResult {
    Ok(super::respond(receive_ratings(state).await))
}

async fn receive_announcement(state: &mut State) -> Result<&'static str, Failure> {
    check_announce_key(state)?;
    let announcement: Announcement = server::read_json(state, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    super::control(state).directory.announce(announcement, Instant::now());
    Ok("announced")
}

async fn receive_ratings(state: &mut State) -> Result<&'static str, Failure> {
    check_announce_key(state)?;
    let ratings: Vec<Rating> = server::read_json(state, MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    let control = super::control(state);
    for Rating { version, good } in ratings {
        control.metrics.ratings.inc();
        control.health.observe(&version, Signal::Rating { good });
    }
    Ok("taken")
}

fn check_announce_key(state: &State) -> Result<(), Error> {
    let control = super::control(state);
    let Some(expected) = &control.settings.announce_key_sha256 else { return Ok(()) };
    if super::bearer_token(state).map(key_sha256).as_ref() == Some(expected) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthenticated, "the announce key is missing or wrong"))
}
