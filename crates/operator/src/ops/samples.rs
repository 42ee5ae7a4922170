//! Counters for the burn report: recorded files and live entries.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use eyre::WrapErr;
use hickoryreel_base::client;
use hickoryreel_base::client::Call;
use hickoryreel_base::time::unix_millis;
use hickoryreel_report::sample;
use hickoryreel_report::sample::Sample;

/// Reads recorded counters.
pub fn read_files(paths: &[PathBuf]) -> eyre::Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for path in paths {
        let file = File::open(path).wrap_err_with(|| format!("cannot read {}", path.display()))?;
        let read = sample::read(BufReader::new(file));
        samples.extend(read.wrap_err_with(|| format!("file {}", path.display()))?);
    }
    Ok(samples)
}

/// Reads the present counters of live entries.
pub async fn scrape(entries: &[SocketAddr]) -> eyre::Result<Vec<Sample>> {
    let client = client::http_client();
    let mut samples = Vec::new();
    for entry in entries {
        let call = Call { url: format!("http://{entry}/metrics"), ..Call::default() };
        let answer = call.send(&client).await?;
        eyre::ensure!(answer.status == 200, "entry {entry} answered with status {}", answer.status);
        let text = std::str::from_utf8(&answer.body).wrap_err("the metrics are not text")?;
        samples.extend(sample::scrape(unix_millis(), &entry.to_string(), text)?);
    }
    Ok(samples)
}

/// Adds counters to a file, one JSON object a line.
pub fn append(path: &Path, samples: &[Sample]) -> eyre::Result<()> {
    let file = OpenOptions::new().create(true).append(true).open(path);
    let mut file = file.wrap_err_with(|| format!("cannot write {}", path.display()))?;
    for sample in samples {
        serde_json::to_writer(&mut file, sample)?;
        file.write_all(b"\n")?;
    }
    Ok(())
}
