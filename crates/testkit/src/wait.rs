//! Polling with a timeout. The timeout only ends a test that hangs; no test measures time with it.

use std::time::Duration;
use std::time::Instant;

pub const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Timeout of [`until`].
pub const TIMEOUT: Duration = Duration::from_secs(60);

/// Calls `poll` until it returns a value. Errors count as not ready; the last one is part of the
/// timeout error.
pub async fn until<T, F>(condition: &str, mut poll: impl FnMut() -> F) -> eyre::Result<T>
where
    F: Future<Output = eyre::Result<Option<T>>>,
{
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let result = poll().await;
        if let Ok(Some(value)) = result {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            let cause = result.err().map(|cause| format!(": {cause:#}")).unwrap_or_default();
            return Err(eyre::eyre!(
                "condition not met within {} s: {condition}{cause}",
                TIMEOUT.as_secs()
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Like [`until`], but blocks the thread, uses `timeout` and returns the first error of `poll`.
pub(crate) fn until_blocking<T>(
    timeout: Duration,
    mut poll: impl FnMut() -> eyre::Result<Option<T>>,
) -> eyre::Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(value) = poll()? {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(eyre::eyre!("condition not met within {} s", timeout.as_secs()));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
