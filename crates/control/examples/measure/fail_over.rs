//! Time from killing the leader to the next commit.

use std::time::Duration;
use std::time::Instant;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::cluster::OPERATOR_KEYS;
use hickoryreel_testkit::http::Http;
use hickoryreel_wire::admin::WriteRequest;

use crate::entry;

const ROUNDS: u64 = 20;

pub(crate) async fn run() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let mut times = Vec::new();
    for round in 0..ROUNDS {
        let leader = cluster.leader().await?;
        // Let the replica that was killed in the previous round catch up.
        tokio::time::sleep(Duration::from_secs(2)).await;
        cluster.replicas[leader].kill()?;
        let killed = Instant::now();
        commit(&cluster, leader, round).await?;
        times.push(killed.elapsed().as_millis());
        cluster.replicas[leader].start(&harness)?;
    }
    times.sort_unstable();
    println!(
        "fail-over rounds={ROUNDS} min_ms={} p50_ms={} max_ms={}",
        times[0],
        times[times.len() / 2],
        times[times.len() - 1]
    );
    Ok(())
}

/// Sends a write to the other replicas every few milliseconds until one commits it.
async fn commit(cluster: &Cluster, killed: usize, round: u64) -> eyre::Result<()> {
    let http = Http::with_key(OPERATOR_KEYS[0]);
    let change = entry::submit_bundle(round);
    let write = WriteRequest { request: format!("f-{round}").into(), based_on: round, change };
    loop {
        for (position, replica) in cluster.replicas.iter().enumerate() {
            if position == killed {
                continue;
            }
            let answer = http.post(replica.admin, "/admin/v1/operations", &write).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
