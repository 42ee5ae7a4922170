//! Checks of bundles without submitting them.

use gotham::state::State;
use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::Difference;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_wire::admin::BundleText;

use super::HandlerResult;
use crate::core::Failure;

/// Handles `POST /admin/v1/check`.
pub(super) async fn check(state: &mut State) -> HandlerResult {
    Ok(super::respond(read_bundle(state).await.map(|_| "ok")))
}

/// Handles `POST /admin/v1/diff`: returns the differences to the active bundle.
pub(super) async fn diff(state: &mut State) -> HandlerResult {
    Ok(super::respond(compare(state).await))
}

async fn compare(state: &mut State) -> Result<Vec<Difference>, Failure> {
    let new = read_bundle(state).await?;
    let control = super::control(state);
    let active = control.core.read(|view| view.machine.config().active.clone()).await?;
    let old = match active {
        Some(published) => parse("active bundle", &published.text)?,
        None => Bundle::default(),
    };
    Ok(bundle::diff(&old, &new))
}

async fn read_bundle(state: &mut State) -> Result<Bundle, Failure> {
    super::authenticate(state)?;
    let BundleText { file, text } = super::read_body(state).await?;
    Ok(parse(&file, &text)?)
}

fn parse(file: &str, text: &str) -> Result<Bundle, Error> {
    bundle::parse(file, text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        Error::new(Kind::InvalidBundle, lines.join("\n"))
    })
}
