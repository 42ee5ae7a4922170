//! Bytes and processor time per lease renewal and per configuration change.

use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::Relay;
use tokio::task::JoinSet;

use crate::entry;
use crate::entry::Entry;

const PERIOD: Duration = Duration::from_millis(500);
const TIME: Duration = Duration::from_secs(10);

/// Time between two configuration changes.
const CHANGE_PERIOD: Duration = Duration::from_millis(500);

/// What a stretch of time cost.
#[derive(Clone, Copy)]
struct Cost {
    bytes: f64,
    leader_s: f64,
    all_s: f64,
}

pub(crate) async fn run() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let mut revision = entry::put_into_force(&cluster).await?;
    let leader = cluster.leader().await?;
    let listen: SocketAddr = harness.addresses(1)?[0];
    let relay = Relay::start(listen, cluster.replicas[leader].rpc).await?;
    let idle = cost(&mut cluster, leader, &relay, async { Ok(()) }).await?;
    println!("leases entries=0 leader_cpu_percent={:.2}", percent(idle.leader_s));
    for entries in [10, 40, 160] {
        let mut clients = start(entries, listen, revision)?;
        tokio::time::sleep(2 * PERIOD).await;
        let steady = cost(&mut cluster, leader, &relay, async { Ok(()) }).await?;
        let renewals = entries as f64 * TIME.as_secs_f64() / PERIOD.as_secs_f64();
        println!(
            "leases entries={entries} bytes_per_renewal={:.0} leader_us_per_renewal={:.0} \
             all_us_per_renewal={:.0} leader_cpu_percent={:.2} kb_per_s={:.1}",
            steady.bytes / renewals,
            (steady.leader_s - idle.leader_s) * 1e6 / renewals,
            (steady.all_s - idle.all_s) * 1e6 / renewals,
            percent(steady.leader_s),
            steady.bytes / 1000.0 / TIME.as_secs_f64(),
        );
        let changing = changes(&mut cluster, leader, &relay, &mut revision).await?;
        let count = TIME.as_secs_f64() / CHANGE_PERIOD.as_secs_f64();
        println!(
            "changes entries={entries} bytes_per_change={:.0} bytes_per_change_and_entry={:.0} \
             leader_ms_per_change={:.2}",
            (changing.bytes - steady.bytes) / count,
            (changing.bytes - steady.bytes) / count / entries as f64,
            (changing.leader_s - steady.leader_s) * 1e3 / count,
        );
        clients.shutdown().await;
    }
    Ok(())
}

fn start(entries: usize, relay: SocketAddr, revision: u64) -> eyre::Result<JoinSet<()>> {
    let mut clients = JoinSet::new();
    for number in 0..entries {
        let mut client = Entry::new(&format!("light{number}"), relay, revision)?;
        let offset = PERIOD * u32::try_from(number)? / u32::try_from(entries)?;
        clients.spawn(async move {
            tokio::time::sleep(offset).await;
            let mut ticks = tokio::time::interval(PERIOD);
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

async fn changes(
    cluster: &mut Cluster,
    leader: usize,
    relay: &Relay,
    revision: &mut u64,
) -> eyre::Result<Cost> {
    let before = measure(cluster, leader, relay)?;
    let mut ticks = tokio::time::interval(CHANGE_PERIOD);
    ticks.tick().await;
    let end = tokio::time::Instant::now() + TIME;
    while tokio::time::Instant::now() < end {
        let accepted =
            entry::operate(cluster, 0, *revision, entry::submit_bundle(*revision)).await?;
        *revision = accepted.revision;
        ticks.tick().await;
    }
    Ok(between(before, measure(cluster, leader, relay)?))
}

async fn cost(
    cluster: &mut Cluster,
    leader: usize,
    relay: &Relay,
    work: impl Future<Output = eyre::Result<()>>,
) -> eyre::Result<Cost> {
    let before = measure(cluster, leader, relay)?;
    work.await?;
    tokio::time::sleep(TIME).await;
    Ok(between(before, measure(cluster, leader, relay)?))
}

fn measure(cluster: &mut Cluster, leader: usize, relay: &Relay) -> eyre::Result<Cost> {
    let mut seconds = Vec::new();
    for replica in &mut cluster.replicas {
        seconds.push(replica.running()?.cpu_time()?.as_secs_f64());
    }
    Ok(Cost { bytes: relay.bytes() as f64, leader_s: seconds[leader], all_s: seconds.iter().sum() })
}

fn between(before: Cost, after: Cost) -> Cost {
    Cost {
        bytes: after.bytes - before.bytes,
        leader_s: after.leader_s - before.leader_s,
        all_s: after.all_s - before.all_s,
    }
}

fn percent(seconds: f64) -> f64 {
    100.0 * seconds / TIME.as_secs_f64()
}
