//! Checks of bundles that are not submitted.

use gotham::state::State;
use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::Difference;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_wire::admin::BundleText;

use super::Handled;
use crate::core::Failure;

/// Handles `POST /admin/v1/check`.
pub(super) async fn check(state: &mut State) -> Handled {
    Ok(super::answer(read_bundle(state).await.map(|_| "ok")))
}

/// Handles `POST /admin/v1/diff`: what the bundle would change in the active one.
pub(super) async fn diff(state: &mut State) -> Handled {
    Ok(super::answer(compare(state).await))
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
    super::operator(state)?;
    let BundleText { file, text } = super::body(state).await?;
    Ok(parse(&file, &text)?)
}

fn parse(file: &str, text: &str) -> Result<Bundle, Error> {
    bundle::parse(file, text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        Error::new(Kind::InvalidBundle, lines.join("\n"))
    })
}
