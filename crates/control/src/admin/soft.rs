//! Announcements of endpoints and ratings of answers: soft state, with the announce key.

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

use super::Handled;
use crate::core::Failure;

/// Largest body, in bytes.
const MAX_BODY: usize = 64 << 10;

/// Longest time a body may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Handles `POST /v1/announce`.
pub(super) async fn announce(state: &mut State) -> Handled {
    Ok(super::answer(take_announcement(state).await))
}

/// Handles `POST /v1/ratings`. Only the leader uses ratings; the rater sends them to every replica.
pub(super) async fn ratings(state: &mut State) -> Handled {
    Ok(super::answer(take_ratings(state).await))
}

async fn take_announcement(state: &mut State) -> Result<&'static str, Failure> {
    check_key(state)?;
    let announcement: Announcement = server::read_json(state, MAX_BODY, BODY_TIMEOUT).await?;
    super::control(state).directory.announce(announcement, Instant::now());
    Ok("announced")
}

async fn take_ratings(state: &mut State) -> Result<&'static str, Failure> {
    check_key(state)?;
    let ratings: Vec<Rating> = server::read_json(state, MAX_BODY, BODY_TIMEOUT).await?;
    let control = super::control(state);
    for Rating { version, good } in ratings {
        control.metrics.ratings.inc();
        control.health.observe(&version, Signal::Rating { good });
    }
    Ok("taken")
}

fn check_key(state: &State) -> Result<(), Error> {
    let control = super::control(state);
    let Some(expected) = &control.settings.announce_key_sha256 else { return Ok(()) };
    if super::bearer(state).map(key_sha256).as_ref() == Some(expected) {
        return Ok(());
    }
    Err(Error::new(Kind::Unauthenticated, "the announce key is missing or wrong"))
}
