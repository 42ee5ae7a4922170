//! Commits per second and their time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use tokio::task::JoinSet;

use crate::entry;
use crate::entry::Entry;

/// Time of one measurement.
const TIME: Duration = Duration::from_secs(6);

/// Callers at the same time, and record changes in each call.
const SHAPES: [(usize, usize); 4] = [(1, 1), (64, 1), (1, 64), (64, 64)];

pub(crate) async fn run() -> eyre::Result<()> {
    for replicas in [3, 5] {
        let harness = Harness::new()?;
        // The entries renew no leases; a long one keeps them from lapsing during the measurement.
        let cluster = Cluster::start(&harness, replicas, "lease-ms = 60000\n")?;
        let revision = entry::put_into_force(&cluster).await?;
        for (round, (callers, batch)) in SHAPES.into_iter().enumerate() {
            measure(&cluster, revision, round, callers, batch, replicas).await?;
        }
    }
    Ok(())
}

async fn measure(
    cluster: &Cluster,
    revision: u64,
    round: usize,
    callers: usize,
    batch: usize,
    replicas: usize,
) -> eyre::Result<()> {
    let rpc = cluster.replicas[cluster.leader().await?].rpc;
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let entry = Arc::new(Entry::new(&format!("e{round}-{caller}"), rpc, revision)?);
        tasks.spawn(call(entry, format!("{round}-{caller}"), batch, started + TIME));
    }
    let mut all = Histogram::<u64>::new(3)?;
    while let Some(done) = tasks.join_next().await {
        all.add(done??)?;
    }
    let calls = all.len() as f64;
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "commits replicas={replicas} callers={callers} batch={batch} commits_per_s={:.0} \
         records_per_s={:.0} p50_ms={:.2} p99_ms={:.2}",
        calls / seconds,
        calls * batch as f64 / seconds,
        all.value_at_quantile(0.5) as f64 / 1000.0,
        all.value_at_quantile(0.99) as f64 / 1000.0,
    );
    Ok(())
}

/// Opens and closes records until `end`. The histogram has microseconds per call.
async fn call(
    entry: Arc<Entry>,
    name: String,
    batch: usize,
    end: Instant,
) -> eyre::Result<Histogram<u64>> {
    let mut times = Histogram::new(3)?;
    let mut number = 0;
    while Instant::now() < end {
        let requests: Vec<String> =
            (0..batch).map(|place| format!("{name}-{number}-{place}")).collect();
        number += 1;
        for open in [true, false] {
            let change = |request: &String| {
                if open { entry.open(request) } else { entry.close(request) }
            };
            let changes: Vec<_> = requests.iter().map(change).collect();
            let started = Instant::now();
            entry.submit(&changes).await?;
            times.record(u64::try_from(started.elapsed().as_micros())?)?;
        }
    }
    Ok(times)
}
