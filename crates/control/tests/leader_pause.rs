//! The leader is suspended for longer than its leases.

mod common;

use common::StubEntry;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::InForce;

/// Guards against a replaced leader that still grants leases on an old configuration, and against
/// losing the writes that its successor accepted.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_grants_no_lease_and_loses_no_write() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "lease-ms = 1000\n")?;
    let revision = common::put_into_force(&cluster).await?;
    let old_leader = cluster.leader().await?;
    let old_rpc = cluster.replicas[old_leader].rpc;
    let entry = StubEntry::new("entry0");
    assert!(entry.renew(old_rpc, revision).await?.is_ok());

    cluster.replicas[old_leader].running()?.pause()?;
    let paused_process = cluster.replicas[old_leader].process.take();
    // The renewal stays in the socket of the suspended leader until the process is resumed.
    let late_renewal =
        tokio::spawn(async move { StubEntry::new("entry1").renew(old_rpc, revision).await });
    let successor = cluster.leader().await?;
    let change = Change::Withdraw { version: "small/1".into(), reason: "test".into() };
    let admin = cluster.replicas[successor].admin;
    let write = common::write_request("withdraw", revision, change);
    let answer = common::maria().post(admin, "/admin/v1/operations", &write).await?;
    assert_eq!(answer.status, 200, "{}", common::error_code(&answer));
    wait::until("the withdrawal is in force", || async {
        let path = format!("/admin/v1/in-force/{}", revision + 1);
        let result: InForce = http::json(&common::maria().get(admin, &path).await?)?;
        Ok(result.in_force.then_some(()))
    })
    .await?;
    if let Some(process) = &paused_process {
        process.resume()?;
    }

    let refusal = late_renewal.await??.expect_err("a replaced leader granted a lease");
    assert_eq!(refusal.error.kind, Kind::NotLeader);
    cluster.replicas[old_leader].process = paused_process;
    // The old leader has to have the write of its successor once the successor is gone.
    cluster.replicas[successor].running()?.stop()?;
    cluster.replicas[successor].process = None;
    let status = common::status(&cluster).await?;
    assert_eq!(status.config.revision, revision + 1);
    assert!(status.config.withdrawn.contains("small/1"));
    Ok(())
}
