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

/// Guards against a replica that votes with an empty disk, that bootstraps a new cluster from its
/// old settings, or that counts for a quorum before it has the complete log.
#[tokio::test(flavor = "multi_thread")]
async fn second_replica_loss_after_replacement_loses_no_write() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "snapshot-entries = 100\n")?;
    for number in 0..150 {
        let write = common::write_request(
            &format!("s{number}"),
            number,
            common::submit_change(number as usize),
        );
        common::expect_accepted(&cluster, &common::maria(), &write).await?;
    }
    let before = common::status(&cluster).await?;
    let lost_index = (cluster.leader().await? + 1) % 3;
    let (rpc, admin) = (cluster.replicas[lost_index].rpc, cluster.replicas[lost_index].admin);
    let address = format!("{rpc}/{admin}");
    let old = before
        .replicas
        .iter()
        .find(|replica| replica.address == address)
        .expect("a member")
        .clone();

    cluster.replicas[lost_index].kill()?;
    cluster.replicas[lost_index].delete_data_folder(&harness)?;
    cluster.replicas[lost_index].start(&harness)?;
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
        Ok(status
            .replicas
            .iter()
            .any(|replica| replica.id == added.id && replica.voter)
            .then_some(()))
    })
    .await?;
    let second_index = (lost_index + 1) % 3;
    cluster.replicas[second_index].kill()?;

    let write = common::write_request("after", 150, common::submit_change(150));
    assert_eq!(common::expect_accepted(&cluster, &common::maria(), &write).await?.revision, 151);
    let after = common::status(&cluster).await?;
    assert!(before.bundles.keys().all(|id| after.bundles.contains_key(id)));
    Ok(())
}
