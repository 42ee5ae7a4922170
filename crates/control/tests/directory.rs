//! Exchange of the endpoint directory between replicas.

mod common;

use hickoryreel_base::time::unix_millis;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;

/// Guards against endpoints that are known only to the replicas that an entry can reach, and
/// against endpoints that never expire because the replicas keep relaying them to each other.
#[tokio::test(flavor = "multi_thread")]
async fn every_replica_lists_an_endpoint_until_its_announcement_expires() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "")?;
    cluster.leader().await?;
    let announcement = Announcement {
        endpoint: "engine0".into(),
        incarnation: unix_millis(),
        sequence: 1,
        address: "127.0.0.1:1".parse()?,
        region: "attica".into(),
        zone: "attica-a".into(),
        role: Role::Engine { versions: vec!["small/1".into()], checks_fence: true },
        state: State::Serving,
        load: Load::default(),
    };
    let listed = |count: usize| {
        let cluster = &cluster;
        wait::until("the directories of all replicas", move || async move {
            for admin in cluster.admin_addresses() {
                let answer = common::maria().get(admin, "/admin/v1/endpoints").await?;
                if http::json::<Vec<Announcement>>(&answer)?.len() != count {
                    return Ok(None);
                }
            }
            Ok(Some(()))
        })
    };

    let first = cluster.replicas[0].admin;
    assert_eq!(Http::new().post(first, "/v1/announce", &announcement).await?.status, 200);

    listed(1).await?;
    listed(0).await
}
