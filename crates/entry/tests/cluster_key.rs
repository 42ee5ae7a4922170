//! The cluster key between an entry and the control replicas.

mod common;

use common::Cluster;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use serde_json::json;

/// Refused calls of an entry to wait for before its state is checked.
const REFUSED_CALLS: usize = 3;

/// Guards against an entry that cannot use control replicas with a cluster key, and against a lease
/// for an entry whose key is wrong or missing.
#[tokio::test]
async fn only_an_entry_with_the_cluster_key_gets_a_lease() {
    let key = format!("cluster-key = {}", hickoryreel_testkit::cluster::CLUSTER_KEY);
    let body = json!({"model": "small", "prompt": "x", "max_tokens": 1});
    let mut cluster = Cluster::start_with_control(1, &key, &key).await;
    cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;

    for (index, settings) in [(1, "cluster-key = wrong-key"), (2, "")] {
        let address = cluster.harness.addresses(1).expect("address")[0];
        cluster.entries.push(address);
        let entry = cluster.start_entry(index, cluster.rpc, settings);
        cluster.entry_processes.push(entry);
        Http::new().ready(address, "/live").await.expect("live");
        wait::until("control has refused the entry's calls", || async {
            let text = cluster.harness.log(&format!("entry{index}"));
            let refused = text.lines().filter(|line| line.contains("rejected `401`"));
            Ok((refused.count() >= REFUSED_CALLS).then_some(()))
        })
        .await
        .expect("refused");

        let (status, text) = cluster.complete(index, "r1", &body).await;

        assert_eq!(status, 503, "{settings}: {text}");
        assert!(text.contains("\"code\":\"no_lease\""), "{settings}: {text}");
        assert_eq!(cluster.metric(index, "lease_left_ms").await, 0.0, "{settings}");
    }
    let (status, text) = cluster.complete(0, "r2", &body).await;
    assert_eq!(status, 200, "{text}");
}
