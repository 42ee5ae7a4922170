//! Leases and the configuration in force, also across a change of the leader.

mod common;

use common::StubEntry;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::InForce;

async fn in_force(cluster: &Cluster, revision: u64) -> eyre::Result<InForce> {
    let leader = cluster.leader().await?;
    let path = format!("/admin/v1/in-force/{revision}");
    http::json(&common::maria().get(cluster.replicas[leader].admin, &path).await?)
}

/// Guards against a new leader that reports a withdrawal as in force while an entry still holds a
/// lease from the previous leader. The lease is much longer than an election.
#[tokio::test(flavor = "multi_thread")]
async fn new_leader_counts_unknown_leases_as_held() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "lease-ms = 20000\n")?;
    let revision = common::put_into_force(&cluster).await?;
    let leader = cluster.leader().await?;
    let entry = StubEntry::new("entry0");
    assert!(entry.renew(cluster.replicas[leader].rpc, revision).await?.is_ok());
    cluster.replicas[leader].kill()?;

    let change = Change::Withdraw { version: "small/1".into(), reason: "test".into() };
    let write = common::write_request("withdraw", revision, change);
    let accepted = common::expect_accepted(&cluster, &common::maria(), &write).await?;

    let result = in_force(&cluster, accepted.revision).await?;
    assert!(!result.in_force);
    assert!(result.unknown_leases);
    assert!(result.at_latest_ms > 0);
    Ok(())
}

/// Guards against a withdrawal that is reported as in force never or too early. It is in force once
/// every entry has confirmed the revision or its lease has ended.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawal_waits_for_confirmation_or_expiry() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "lease-ms = 2000\n")?;
    let revision = common::put_into_force(&cluster).await?;
    wait::until("leases of earlier leaders end", || async {
        Ok(in_force(&cluster, revision).await?.in_force.then_some(()))
    })
    .await?;
    let rpc = cluster.replicas[cluster.leader().await?].rpc;
    let (following, silent) = (StubEntry::new("following"), StubEntry::new("silent"));
    assert!(silent.renew(rpc, revision).await?.is_ok());
    assert!(following.renew(rpc, revision).await?.is_ok());

    let change = Change::Withdraw { version: "small/1".into(), reason: "test".into() };
    let write = common::write_request("withdraw", revision, change);
    let withdrawn = common::expect_accepted(&cluster, &common::maria(), &write).await?.revision;
    let grant = following.renew(rpc, revision).await?.expect("a lease");
    let before = in_force(&cluster, withdrawn).await?;
    assert!(following.renew(rpc, withdrawn).await?.is_ok());
    let confirmed = in_force(&cluster, withdrawn).await?;

    assert!(grant.config.is_some_and(|config| config.withdrawn.contains("small/1")));
    assert!(!before.in_force);
    assert!(before.waiting.iter().any(|entry| &**entry == "following"));
    assert!(!confirmed.waiting.iter().any(|entry| &**entry == "following"));
    wait::until("the silent entry's lease ends", || async {
        Ok(in_force(&cluster, withdrawn).await?.in_force.then_some(()))
    })
    .await?;
    Ok(())
}

/// Guards against granting a lease to an entry that reports a revision that was never committed.
/// The entry would count as having confirmed later withdrawals.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_revision_gets_no_lease() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let rpc = cluster.replicas[cluster.leader().await?].rpc;

    let refusal = StubEntry::new("entry0").renew(rpc, 7).await?;

    assert_eq!(refusal.expect_err("a lease").error.kind, Kind::MalformedRequest);
    Ok(())
}
