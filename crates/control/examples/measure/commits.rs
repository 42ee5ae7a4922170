//! Throughput and latency of commits.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use tokio::task::JoinSet;

use crate::entry;
use crate::entry::Entry;

/// Duration of one measurement.
const MEASUREMENT_TIME: Duration = Duration::from_secs(6);

/// Number of concurrent callers and of record changes in each call.
const LOADS: [(usize, usize); 4] = [(1, 1), (64, 1), (1, 64), (64, 64)];

pub(crate) async fn run() -> eyre::Result<()> {
    for replicas in [3, 5] {
        let harness = Harness::new()?;
        // The entries do not renew their leases, so a lease has to outlast the measurement.
        let cluster = Cluster::start(&harness, replicas, "lease-ms = 60000\n")?;
        let revision = entry::put_into_force(&cluster).await?;
        for (round, (callers, batch)) in LOADS.into_iter().enumerate() {
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
        tasks.spawn(submit_until(
            entry,
            format!("{round}-{caller}"),
            batch,
            started + MEASUREMENT_TIME,
        ));
    }
    let mut latencies = Histogram::<u64>::new(3)?;
    while let Some(done) = tasks.join_next().await {
        latencies.add(done??)?;
    }
    let calls = latencies.len() as f64;
    let seconds = started.elapsed().as_secs_f64();
    println!(
        "commits replicas={replicas} callers={callers} batch={batch} commits_per_s={:.0} \
         records_per_s={:.0} p50_ms={:.2} p99_ms={:.2}",
        calls / seconds,
        calls * batch as f64 / seconds,
        latencies.value_at_quantile(0.5) as f64 / 1000.0,
        latencies.value_at_quantile(0.99) as f64 / 1000.0,
    );
    Ok(())
}

/// Opens and closes records until `end`. Returns the latencies of the calls in microseconds.
async fn submit_until(
    entry: Arc<Entry>,
    prefix: String,
    batch: usize,
    end: Instant,
) -> eyre::Result<Histogram<u64>> {
    let mut latencies = Histogram::new(3)?;
    let mut number = 0;
    while Instant::now() < end {
        let requests: Vec<String> =
            (0..batch).map(|index| format!("{prefix}-{number}-{index}")).collect();
        number += 1;
        for open in [true, false] {
            let change = |request: &String| {
                if open { entry.open(request) } else { entry.close(request) }
            };
            let changes: Vec<_> = requests.iter().map(change).collect();
            let started = Instant::now();
            entry.submit(&changes).await?;
            latencies.record(u64::try_from(started.elapsed().as_micros())?)?;
        }
    }
    Ok(latencies)
}
