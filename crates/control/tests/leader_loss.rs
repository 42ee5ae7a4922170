//! The leader is killed during a write, or stopped.

mod common;

use std::time::Duration;

use hickoryreel_state::machine::Accepted;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;

/// Guards against a write that takes effect twice or is lost after its acknowledgement, if the
/// leader is killed before or after the commit and the operator sends the write again.
#[tokio::test(flavor = "multi_thread")]
async fn resent_submit_takes_effect_once() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let delays_ms = [0, 1, 2, 4, 8, 16];

    for (round, delay_ms) in delays_ms.into_iter().enumerate() {
        let leader = cluster.leader().await?;
        let admin = cluster.replicas[leader].admin;
        let write = common::write_request(
            &format!("submit-{round}"),
            round as u64,
            common::submit_change(round),
        );
        let first_answer = tokio::spawn({
            let write = write.clone();
            async move { common::maria().post(admin, "/admin/v1/operations", &write).await }
        });
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        cluster.replicas[leader].kill()?;
        let first_answer = first_answer.await?;

        let accepted = common::expect_accepted(&cluster, &common::maria(), &write).await?;
        assert_eq!(accepted.revision, round as u64 + 1);
        if let Ok(answer) = first_answer
            && answer.status == 200
        {
            assert_eq!(http::json::<Accepted>(&answer)?, accepted);
        }
        cluster.replicas[leader].start(&harness)?;
    }

    let status = common::status(&cluster).await?;
    assert_eq!(status.config.revision, delays_ms.len() as u64);
    assert_eq!(status.bundles.len(), delays_ms.len());
    Ok(())
}

/// Guards against a planned stop that ends without a transfer of leadership, so that the cluster
/// has to wait for an election timeout, or that ends the process with an error.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_leader_transfers_leadership() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let leader = cluster.leader().await?;

    let status = cluster.replicas[leader].running()?.stop()?;
    cluster.replicas[leader].process = None;

    assert!(status.success());
    assert!(harness.log(&cluster.replicas[leader].name).contains("control replica has stopped"));
    assert!(!harness.log(&cluster.replicas[leader].name).contains("no other replica took over"));
    cluster.leader().await?;
    Ok(())
}
