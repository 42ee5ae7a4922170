//! Polling with a generous limit. The limit only ends a test that hangs; nothing is measured by it.

use std::time::Duration;
use std::time::Instant;

/// Pause between two polls.
pub const PAUSE: Duration = Duration::from_millis(20);

/// Limit for states that a test waits for.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Polls until `poll` gives a value; the last error is part of the failure.
pub async fn until<T, F>(what: &str, mut poll: impl FnMut() -> F) -> eyre::Result<T>
where
    F: Future<Output = eyre::Result<Option<T>>>,
{
    let end = Instant::now() + LIMIT;
    loop {
        let polled = poll().await;
        if let Ok(Some(value)) = polled {
            return Ok(value);
        }
        if Instant::now() >= end {
            let cause = polled.err().map(|cause| format!(": {cause:#}")).unwrap_or_default();
            return Err(eyre::eyre!("not reached in {} s: {what}{cause}", LIMIT.as_secs()));
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// Like [`until`], without a runtime.
pub(crate) fn until_blocking<T>(
    limit: Duration,
    mut poll: impl FnMut() -> eyre::Result<Option<T>>,
) -> eyre::Result<T> {
    let end = Instant::now() + limit;
    loop {
        if let Some(value) = poll()? {
            return Ok(value);
        }
        if Instant::now() >= end {
            return Err(eyre::eyre!("not reached in {} s", limit.as_secs()));
        }
        std::thread::sleep(PAUSE);
    }
}
