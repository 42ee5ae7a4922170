//! Who may write, and what happens when two write at once.

mod common;

use hickoryreel_control::client;
use hickoryreel_state::machine::Accepted;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_wire::rpc::method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;

/// Guards against two accepted writes on the same revision, and against mixing up the request ids
/// of two operators.
#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_writes_wins() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "")?;
    for round in 0..10_u64 {
        let admin = cluster.replicas[cluster.leader().await?].admin;
        let request = format!("{round}");
        let number = 2 * round as usize;
        let first = common::write(&request, round, common::submit(number));
        let second = common::write(&request, round, common::submit(number + 1));
        let (maria, nikos) = (common::maria(), common::nikos());

        let (one, other) = tokio::join!(
            maria.post(admin, "/admin/v1/operations", &first),
            nikos.post(admin, "/admin/v1/operations", &second),
        );
        let (one, other) = (one?, other?);

        let accepted = [&one, &other].into_iter().filter(|answer| answer.status == 200);
        let accepted: Vec<Accepted> = accepted.map(http::json).collect::<Result<_, _>>()?;
        assert_eq!(accepted.len(), 1);
        assert_eq!(accepted[0].revision, round + 1);
        let loser = if one.status == 200 { &other } else { &one };
        assert_eq!(common::code(loser), "stale_revision");
        let body = String::from_utf8_lossy(&loser.body);
        assert!(
            body.contains(&(round + 1).to_string()),
            "the loser isn't told the revision: {body}"
        );
        let again = maria.post(admin, "/admin/v1/operations", &first).await?;
        assert_eq!((again.status, again.body), (one.status, one.body));
    }
    Ok(())
}

/// Guards against interfaces that act for someone they don't know.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_operators_and_callers_change_nothing() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let leader = cluster.leader().await?;
    let (admin, rpc) = (cluster.replicas[leader].admin, cluster.replicas[leader].rpc);
    let before = common::status(&cluster).await?;
    let write = common::write("s0", 0, common::submit(0));

    for stranger in [Http::new(), Http::with_key("some-key"), Http::with_key("")] {
        for path in ["/admin/v1/operations", "/admin/v1/replicas/add", "/admin/v1/replicas/remove"]
        {
            let answer = stranger.post(admin, path, &write).await?;
            assert_eq!((answer.status, common::code(&answer).as_str()), (401, "unauthenticated"));
        }
        assert_eq!(stranger.get(admin, "/admin/v1/status").await?.status, 401);
    }
    for key in [None, Some("some-key")] {
        let caller = client::json_rpc(rpc, key, std::time::Duration::from_secs(30))?;
        for method in [method::RECORD_SUBMIT, method::LEASE_RENEW, method::CONSENSUS_STEP] {
            let answer = caller.request::<serde_json::Value, _>(method, rpc_params![[0; 0]]).await;
            let error = answer.expect_err("a call without the cluster key was answered");
            assert!(error.to_string().contains("401"), "{error}");
        }
    }

    assert_eq!(common::status(&cluster).await?, before);
    Ok(())
}
