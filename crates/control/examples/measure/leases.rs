//! Bytes and CPU time per lease renewal and per configuration change.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::Relay;
use tokio::task::JoinSet;

use crate::entry;
use crate::entry::Entry;

const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);

const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Network and CPU usage of the replicas.
#[derive(Clone, Copy)]
struct Usage {
    bytes: f64,
    leader_cpu_s: f64,
    all_cpu_s: f64,
}

pub(crate) async fn run() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let mut revision = entry::put_into_force(&cluster).await?;
    let leader = cluster.leader().await?;
    let listen: SocketAddr = harness.addresses(1)?[0];
    let relay = Relay::start(listen, cluster.replicas[leader].rpc).await?;
    let idle = usage_during(&mut cluster, leader, &relay, async { Ok(()) }).await?;
    println!("leases entries=0 leader_cpu_percent={:.2}", percent(idle.leader_cpu_s));
    for entries in [10, 40, 160] {
        let mut clients = start_entries(entries, listen, revision)?;
        tokio::time::sleep(2 * RENEWAL_INTERVAL).await;
        let steady = usage_during(&mut cluster, leader, &relay, async { Ok(()) }).await?;
        let renewals =
            entries as f64 * MEASUREMENT_TIME.as_secs_f64() / RENEWAL_INTERVAL.as_secs_f64();
        println!(
            "leases entries={entries} bytes_per_renewal={:.0} leader_us_per_renewal={:.0} \
             all_us_per_renewal={:.0} leader_cpu_percent={:.2} kb_per_s={:.1}",
            steady.bytes / renewals,
            (steady.leader_cpu_s - idle.leader_cpu_s) * 1e6 / renewals,
            (steady.all_cpu_s - idle.all_cpu_s) * 1e6 / renewals,
            percent(steady.leader_cpu_s),
            steady.bytes / 1000.0 / MEASUREMENT_TIME.as_secs_f64(),
        );
        let changing = usage_during_changes(&mut cluster, leader, &relay, &mut revision).await?;
        let count = MEASUREMENT_TIME.as_secs_f64() / CHANGE_INTERVAL.as_secs_f64();
        println!(
            "changes entries={entries} bytes_per_change={:.0} bytes_per_change_and_entry={:.0} \
             leader_ms_per_change={:.2}",
            (changing.bytes - steady.bytes) / count,
            (changing.bytes - steady.bytes) / count / entries as f64,
            (changing.leader_cpu_s - steady.leader_cpu_s) * 1e3 / count,
        );
        clients.shutdown().await;
    }
    Ok(())
}

fn start_entries(entries: usize, relay: SocketAddr, revision: u64) -> eyre::Result<JoinSet<()>> {
    let mut clients = JoinSet::new();
    for number in 0..entries {
        let mut client = Entry::new(&format!("light{number}"), relay, revision)?;
        let offset = RENEWAL_INTERVAL * u32::try_from(number)? / u32::try_from(entries)?;
        clients.spawn(async move {
            tokio::time::sleep(offset).await;
            let mut ticks = tokio::time::interval(RENEWAL_INTERVAL);
            loop {
                ticks.tick().await;
                if let Err(cause) = client.renew().await {
                    println!("a renewal failed: {cause:#}");
                }
            }
        });
    }
    Ok(clients)
}

async fn usage_during_changes(
    cluster: &mut Cluster,
    leader: usize,
    relay: &Relay,
    revision: &mut u64,
) -> eyre::Result<Usage> {
    let before = total_usage(cluster, leader, relay)?;
    let mut ticks = tokio::time::interval(CHANGE_INTERVAL);
    ticks.tick().await;
    let end = tokio::time::Instant::now() + MEASUREMENT_TIME;
    while tokio::time::Instant::now() < end {
        let accepted =
            entry::operate(cluster, 0, *revision, entry::submit_bundle(*revision)).await?;
        *revision = accepted.revision;
        ticks.tick().await;
    }
    Ok(difference(before, total_usage(cluster, leader, relay)?))
}

async fn usage_during(
    cluster: &mut Cluster,
    leader: usize,
    relay: &Relay,
    work: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<Usage> {
    let before = total_usage(cluster, leader, relay)?;
    work.await?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    Ok(difference(before, total_usage(cluster, leader, relay)?))
}

fn total_usage(cluster: &mut Cluster, leader: usize, relay: &Relay) -> eyre::Result<Usage> {
    let mut seconds = Vec::new();
    for replica in &mut cluster.replicas {
        seconds.push(replica.running()?.cpu_time()?.as_secs_f64());
    }
    Ok(Usage {
        bytes: relay.bytes() as f64,
        leader_cpu_s: seconds[leader],
        all_cpu_s: seconds.iter().sum(),
    })
}

fn difference(before: Usage, after: Usage) -> Usage {
    Usage {
        bytes: after.bytes - before.bytes,
        leader_cpu_s: after.leader_cpu_s - before.leader_cpu_s,
        all_cpu_s: after.all_cpu_s - before.all_cpu_s,
    }
}

fn percent(seconds: f64) -> f64 {
    100.0 * seconds / MEASUREMENT_TIME.as_secs_f64()
}
