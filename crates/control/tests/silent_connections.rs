//! Connections between replicas go silent for good, while new ones work.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::relay::Direction;
use hickoryreel_testkit::wait;

/// Guards against replicas that wait forever on connections that went silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let (cluster, relays) = Cluster::start_behind_relays(&harness, 3, "").await?;
    common::accept(&cluster, &common::maria(), &common::write("s0", 0, common::submit(0))).await?;

    for round in 1..=3 {
        for relay in &relays {
            relay.silence();
        }
        let write = common::write(&format!("s{round}"), round as u64, common::submit(round));
        let accepted = common::accept(&cluster, &common::maria(), &write).await?;
        assert_eq!(accepted.revision, round as u64 + 1);
    }
    Ok(())
}

/// Guards against a leader that hears nothing, but is still heard: it must not serve reads, hold up
/// writes, or keep what no quorum accepted.
#[tokio::test(flavor = "multi_thread")]
async fn deaf_leader_is_replaced() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let (cluster, relays) = Cluster::start_behind_relays(&harness, 3, "").await?;
    common::accept(&cluster, &common::maria(), &common::write("s0", 0, common::submit(0))).await?;
    let deaf = cluster.leader().await?;
    let admin = cluster.replicas[deaf].admin;

    relays[deaf].cut(Direction::ToTarget);
    let write = common::write("s1", 1, common::submit(1));
    let accepted = common::accept(&cluster, &common::maria(), &write).await?;
    let read = common::maria().get(admin, "/admin/v1/status").await?;
    relays[deaf].restore(Direction::ToTarget);

    assert_eq!(accepted.revision, 2);
    assert_eq!(read.status, 503, "a replica without a quorum served a read");
    wait::until("the deaf replica has the write", || async {
        let metrics = Http::new().get(admin, "/metrics").await?;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        Ok(text.contains("hickoryreel_control_revision 2\n").then_some(()))
    })
    .await?;
    assert_eq!(common::status(&cluster).await?.bundles.len(), 2);
    Ok(())
}
