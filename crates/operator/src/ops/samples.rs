//! Counters for the burn report: recorded files and live entries.

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

/// Reads recorded counters.
pub fn read_files(paths: &[PathBuf]) -> Result<Vec<Sample>, Failure> {
    let mut samples = Vec::new();
    for path in paths {
        let text = file::read(path)?;
        let read = sample::read(text.as_bytes());
        let name = path.display();
        samples.extend(read.map_err(|cause| Failure::Mistakes(format!("{name}: {cause:#}")))?);
    }
    Ok(samples)
}

/// Reads the present counters of live entries.
pub async fn scrape(entries: &[SocketAddr]) -> Result<Vec<Sample>, Failure> {
    let client = client::http_client();
    let mut samples = Vec::new();
    for entry in entries {
        let call = Call { url: format!("http://{entry}/metrics"), ..Call::default() };
        let sent = call.send(&client).await;
        let answer = sent.map_err(|cause| Failure::NotReachable(format!("{cause:#}")))?;
        if answer.status != 200 {
            let message = format!("entry {entry} answered with status {}", answer.status);
            return Err(Failure::Shape(message));
        }
        let text = String::from_utf8_lossy(&answer.body);
        let scraped = sample::scrape(unix_millis(), &entry.to_string(), &text);
        samples.extend(scraped.map_err(|cause| Failure::Shape(format!("{entry}: {cause:#}")))?);
    }
    Ok(samples)
}

/// Adds counters to a file, one JSON object a line.
pub fn append(path: &Path, samples: &[Sample]) -> Result<(), Failure> {
    let lines: Result<Vec<String>, _> = samples.iter().map(serde_json::to_string).collect();
    file::append(path, &lines.map_err(|cause| Failure::Shape(cause.to_string()))?)
}
