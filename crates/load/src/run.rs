//! Sends the requests of a plan at their planned times.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use eyre::WrapErr;
use hickoryreel_base::bundle::RankConfig;
use hickoryreel_base::client;
use hickoryreel_base::name::Deployment;
use hickoryreel_base::rank::Rank;
use hickoryreel_base::time::unix_millis;
use tokio::sync::mpsc;

use crate::call;
use crate::call::Target;
use crate::mix::Preset;
use crate::plan;
use crate::plan::Arrival;
use crate::tally::Outcome;
use crate::tally::Summary;
use crate::tally::Tally;

const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    pub preset: Preset,
    /// Addresses of entries; requests are distributed over them round robin.
    pub entries: Vec<String>,
    /// API keys of workspaces, large workspaces first.
    pub keys: Vec<String>,
    pub plan: plan::Settings,
    /// File to which samples for the burn report are written.
    pub record: Option<PathBuf>,
}

/// Runs the load and returns a summary for each rank.
pub async fn run(settings: Settings) -> eyre::Result<Vec<Summary>> {
    let mix = settings.preset.mix();
    eyre::ensure!(!settings.entries.is_empty(), "no entry is given");
    eyre::ensure!(!settings.keys.is_empty(), "no workspace key is given");
    let arrivals = plan::arrivals(&mix, &settings.plan);
    let targets = Rank::ALL.map(RankConfig::default_for);
    let tally = Tally::new(Deployment::from(mix.deployment), targets)?;
    let (outcomes, receiver) = mpsc::unbounded_channel();
    let collector = tokio::spawn(collect(tally, receiver, settings.record.clone()));
    send_all(&settings, mix.run_once_path, &arrivals, &outcomes).await;
    drop(outcomes);
    let tally = collector.await.wrap_err("the task that collects outcomes failed")??;
    Ok(tally.summaries())
}

async fn send_all(
    settings: &Settings,
    run_once_path: &'static str,
    arrivals: &[Arrival],
    outcomes: &mpsc::UnboundedSender<Outcome>,
) {
    let client = client::http_client();
    let start = Instant::now();
    let run_id = unix_millis();
    for arrival in arrivals.iter().copied() {
        let planned = start + arrival.at;
        tokio::time::sleep_until(planned.into()).await;
        let entry_index = usize::try_from(arrival.number).unwrap_or(0) % settings.entries.len();
        let target = Target {
            entry: settings.entries[entry_index].clone(),
            key: settings.keys[arrival.workspace % settings.keys.len()].clone(),
            run_once_path,
            run_id,
        };
        let client = client.clone();
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            let outcome = call::send(&client, &target, &arrival, planned).await;
            // Sending fails only if the collecting task has failed, and `run` returns its error.
            let _ = outcomes.send(outcome);
        });
    }
}

async fn collect(
    mut tally: Tally,
    mut receiver: mpsc::UnboundedReceiver<Outcome>,
    record: Option<PathBuf>,
) -> eyre::Result<Tally> {
    let mut file = record
        .map(|path| {
            File::create(&path).wrap_err_with(|| format!("cannot write {}", path.display()))
        })
        .transpose()?;
    let mut record_ticks = tokio::time::interval(RECORD_INTERVAL);
    loop {
        tokio::select! {
            outcome = receiver.recv() => match outcome {
                Some(outcome) => tally.add(outcome),
                None => break,
            },
            _ = record_ticks.tick() => write_samples(&tally, file.as_mut())?,
        }
    }
    write_samples(&tally, file.as_mut())?;
    Ok(tally)
}

fn write_samples(tally: &Tally, file: Option<&mut File>) -> eyre::Result<()> {
    let Some(file) = file else { return Ok(()) };
    for sample in tally.samples(unix_millis()) {
        serde_json::to_writer(&mut *file, &sample)?;
        file.write_all(b"\n")?;
    }
    Ok(())
}
