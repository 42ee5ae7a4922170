//! The leader is suspended for longer than its leases.

mod common;

use common::LightEntry;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::InForce;

/// Guards against a leader that grants leases on an old configuration after others have replaced
/// it, and against losing what its successor accepted.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_leader_grants_nothing_and_loses_nothing() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "lease-ms = 1000\n")?;
    let revision = common::put_into_force(&cluster).await?;
    let old = cluster.leader().await?;
    let old_rpc = cluster.replicas[old].rpc;
    let entry = LightEntry::new("entry0");
    assert!(entry.renew(old_rpc, revision).await?.is_ok());

    cluster.replicas[old].running()?.pause()?;
    let paused = cluster.replicas[old].process.take();
    // The renewal waits in the socket of the suspended leader until it goes on.
    let late =
        tokio::spawn(async move { LightEntry::new("entry1").renew(old_rpc, revision).await });
    let successor = cluster.leader().await?;
    let change = Change::Withdraw { version: "small/1".into(), reason: "test".into() };
    let admin = cluster.replicas[successor].admin;
    let write = common::write("withdraw", revision, change);
    let answer = common::maria().post(admin, "/admin/v1/operations", &write).await?;
    assert_eq!(answer.status, 200, "{}", common::code(&answer));
    wait::until("the withdrawal is in force", || async {
        let path = format!("/admin/v1/in-force/{}", revision + 1);
        let found: InForce = http::json(&common::maria().get(admin, &path).await?)?;
        Ok(found.in_force.then_some(()))
    })
    .await?;
    if let Some(process) = &paused {
        process.resume()?;
    }

    let refusal = late.await??.expect_err("a replaced leader granted a lease");
    assert_eq!(refusal.error.kind, Kind::NotLeader);
    cluster.replicas[old].process = paused;
    // The old leader takes over what its successor accepted.
    cluster.replicas[successor].running()?.stop()?;
    cluster.replicas[successor].process = None;
    let status = common::status(&cluster).await?;
    assert_eq!(status.config.revision, revision + 1);
    assert!(status.config.withdrawn.contains("small/1"));
    Ok(())
}
