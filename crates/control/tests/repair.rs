//! A replica loses its disk and is replaced.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::AddReplica;
use hickoryreel_wire::admin::RemoveReplica;
use hickoryreel_wire::admin::Replica;

async fn post<T: serde::de::DeserializeOwned>(
    cluster: &Cluster,
    path: &str,
    body: &impl serde::Serialize,
) -> eyre::Result<T> {
    let leader = cluster.leader().await?;
    let admin = cluster.replicas[leader].admin;
    http::json(&common::maria().post(admin, path, body).await?)
}

/// Guards against a replica that votes with an empty disk, that starts a cluster of its own from
/// its old settings, or that doesn't get the whole log before it counts for a quorum.
#[tokio::test(flavor = "multi_thread")]
async fn second_loss_after_repair_loses_nothing() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "snapshot-entries = 100\n")?;
    for number in 0..150 {
        let write = common::write(&format!("s{number}"), number, common::submit(number as usize));
        common::accept(&cluster, &common::maria(), &write).await?;
    }
    let before = common::status(&cluster).await?;
    let lost = (cluster.leader().await? + 1) % 3;
    let (rpc, admin) = (cluster.replicas[lost].rpc, cluster.replicas[lost].admin);
    let address = format!("{rpc}/{admin}");
    let old = before.replicas.iter().find(|one| one.address == address).expect("a member").clone();

    cluster.replicas[lost].kill()?;
    cluster.replicas[lost].delete_data_folder(&harness)?;
    cluster.replicas[lost].start(&harness)?;
    let _: String = wait::until("the old replica is removed", || async {
        post(&cluster, "/admin/v1/replicas/remove", &RemoveReplica { id: old.id.clone() })
            .await
            .map(Some)
    })
    .await?;
    let added: Replica = wait::until("the new replica is added", || async {
        let request = AddReplica { address: address.clone() };
        post(&cluster, "/admin/v1/replicas/add", &request).await.map(Some)
    })
    .await?;
    assert_ne!(added.id, old.id);
    wait::until("the new replica votes", || async {
        let status = common::status(&cluster).await?;
        Ok(status.replicas.iter().any(|one| one.id == added.id && one.voter).then_some(()))
    })
    .await?;
    let second = (lost + 1) % 3;
    cluster.replicas[second].kill()?;

    let write = common::write("after", 150, common::submit(150));
    assert_eq!(common::accept(&cluster, &common::maria(), &write).await?.revision, 151);
    let after = common::status(&cluster).await?;
    assert!(before.bundles.keys().all(|id| after.bundles.contains_key(id)));
    Ok(())
}
