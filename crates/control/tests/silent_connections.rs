//! Connections between replicas stop delivering data without being closed, while new ones work.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::relay::Direction;
use hickoryreel_testkit::wait;

/// Guards against replicas that wait forever on connections that deliver no data.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let (cluster, relays) = Cluster::start_behind_relays(&harness, 3, "").await?;
    common::expect_accepted(
        &cluster,
        &common::maria(),
        &common::write_request("s0", 0, common::submit_change(0)),
    )
    .await?;

    for round in 1..=3 {
        for relay in &relays {
            relay.silence();
        }
        let write =
            common::write_request(&format!("s{round}"), round as u64, common::submit_change(round));
        let accepted = common::expect_accepted(&cluster, &common::maria(), &write).await?;
        assert_eq!(accepted.revision, round as u64 + 1);
    }
    Ok(())
}

/// Guards against a leader that can send but not receive. It must not serve reads, block writes, or
/// keep log entries that no quorum accepted.
#[tokio::test(flavor = "multi_thread")]
async fn leader_that_receives_nothing_is_replaced() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let (cluster, relays) = Cluster::start_behind_relays(&harness, 3, "").await?;
    common::expect_accepted(
        &cluster,
        &common::maria(),
        &common::write_request("s0", 0, common::submit_change(0)),
    )
    .await?;
    let old_leader = cluster.leader().await?;
    let admin = cluster.replicas[old_leader].admin;

    relays[old_leader].cut(Direction::ToTarget);
    let write = common::write_request("s1", 1, common::submit_change(1));
    let accepted = common::expect_accepted(&cluster, &common::maria(), &write).await?;
    let read = common::maria().get(admin, "/admin/v1/status").await?;
    relays[old_leader].restore(Direction::ToTarget);

    assert_eq!(accepted.revision, 2);
    assert_eq!(read.status, 503, "a replica without a quorum served a read");
    wait::until("the old leader has the write", || async {
        let metrics = Http::new().get(admin, "/metrics").await?;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        Ok(text.contains("hickoryreel_control_revision 2\n").then_some(()))
    })
    .await?;
    assert_eq!(common::status(&cluster).await?.bundles.len(), 2);
    Ok(())
}
