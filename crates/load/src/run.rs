//! Sends a plan at its times.

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
use crate::tally::Line;
use crate::tally::Outcome;
use crate::tally::Tally;

/// Time between two recorded samples.
const RECORD_PERIOD: Duration = Duration::from_secs(1);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The traffic mix.
    pub preset: Preset,
    /// Addresses of entries; requests go to them in turn.
    pub entries: Vec<String>,
    /// Workspace keys, large workspaces first.
    pub keys: Vec<String>,
    /// When requests arrive.
    pub plan: plan::Settings,
    /// File for the counters of the burn report.
    pub record: Option<PathBuf>,
}

/// Runs the load and returns one line for each rank.
pub async fn run(settings: Settings) -> eyre::Result<Vec<Line>> {
    let mix = settings.preset.mix();
    eyre::ensure!(!settings.entries.is_empty(), "no entry is given");
    eyre::ensure!(!settings.keys.is_empty(), "no workspace key is given");
    let arrivals = plan::arrivals(&mix, &settings.plan);
    let targets = Rank::ALL.map(RankConfig::default_for);
    let tally = Tally::new(Deployment::from(mix.deployment), targets)?;
    let (outcomes, inbox) = mpsc::unbounded_channel();
    let gather = tokio::spawn(gather(tally, inbox, settings.record.clone()));
    send_all(&settings, mix.run_once_path, &arrivals, &outcomes).await;
    drop(outcomes);
    let tally = gather.await.wrap_err("the tally stopped")??;
    Ok(tally.lines())
}

async fn send_all(
    settings: &Settings,
    run_once_path: &'static str,
    arrivals: &[Arrival],
    outcomes: &mpsc::UnboundedSender<Outcome>,
) {
    let client = client::http_client();
    let start = Instant::now();
    let run = unix_millis();
    for arrival in arrivals.iter().copied() {
        let planned = start + arrival.at;
        tokio::time::sleep_until(planned.into()).await;
        let turn = usize::try_from(arrival.number).unwrap_or(0) % settings.entries.len();
        let target = Target {
            entry: settings.entries[turn].clone(),
            key: settings.keys[arrival.workspace % settings.keys.len()].clone(),
            run_once_path,
            run,
        };
        let client = client.clone();
        let outcomes = outcomes.clone();
        tokio::spawn(async move {
            let outcome = call::send(&client, &target, &arrival, planned).await;
            // The tally outlives all requests.
            let _ = outcomes.send(outcome);
        });
    }
}

async fn gather(
    mut tally: Tally,
    mut inbox: mpsc::UnboundedReceiver<Outcome>,
    record: Option<PathBuf>,
) -> eyre::Result<Tally> {
    let mut file = record
        .map(|path| {
            File::create(&path).wrap_err_with(|| format!("cannot write {}", path.display()))
        })
        .transpose()?;
    let mut ticks = tokio::time::interval(RECORD_PERIOD);
    loop {
        tokio::select! {
            outcome = inbox.recv() => match outcome {
                Some(outcome) => tally.add(outcome),
                None => break,
            },
            _ = ticks.tick() => write_samples(&tally, file.as_mut())?,
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
