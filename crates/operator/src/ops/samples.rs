//! Reads samples for the burn report from files and from running entries, and records them.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::time::unix_millis;
use hickoryreel_report::sample;
use hickoryreel_report::sample::Sample;

use crate::ops::failure::Failure;
use crate::ops::file;

/// Reads samples recorded by [`append`] or by `hickoryreel-load`.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<Sample>, Failure> {
    let mut samples = Vec::new();
    for path in paths {
        let text = file::read(path)?;
        let result = sample::read(text.as_bytes());
        let name = path.display();
        samples.extend(result.map_err(|cause| Failure::InvalidFile(format!("{name}: {cause:#}")))?);
    }
    Ok(samples)
}

/// Scrapes the current counters of running entries.
pub async fn scrape(entries: &[SocketAddr]) -> Result<Vec<Sample>, Failure> {
    let client = client::http_client();
    let mut samples = Vec::new();
    for entry in entries {
        let call = Call { url: format!("http://{entry}/metrics"), ..Call::default() };
        let result = call.send(&client).await;
        let answer = result.map_err(|cause| Failure::NotReachable(format!("{cause:#}")))?;
        if answer.status != 200 {
            let message = format!("entry {entry} answered with status {}", answer.status);
            return Err(Failure::UnexpectedAnswer(message));
        }
        let text = String::from_utf8_lossy(&answer.body);
        let result = sample::scrape(unix_millis(), &entry.to_string(), &text);
        samples.extend(
            result.map_err(|cause| Failure::UnexpectedAnswer(format!("{entry}: {cause:#}")))?,
        );
    }
    Ok(samples)
}

/// Appends samples to a file, one JSON object per line.
pub fn append(path: &Path, samples: &[Sample]) -> Result<(), Failure> {
    let lines: Result<Vec<String>, _> = samples.iter().map(serde_json::to_string).collect();
    file::append(path, &lines.map_err(|cause| Failure::UnexpectedAnswer(cause.to_string()))?)
}
