//! Authentication, concurrent writes and invalid input.

mod common;

use hickoryreel_control::client;
use hickoryreel_state::machine::Accepted;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_wire::rpc::method;
use hyper::Method;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;

/// Guards against accepting two writes based on the same revision, and against confusing equal
/// request ids of two operators.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_writes_is_accepted() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "")?;
    for round in 0..10_u64 {
        let admin = cluster.replicas[cluster.leader().await?].admin;
        let request = format!("{round}");
        let number = 2 * round as usize;
        let first = common::write_request(&request, round, common::submit_change(number));
        let second = common::write_request(&request, round, common::submit_change(number + 1));
        let (maria, nikos) = (common::maria(), common::nikos());

        let (maria_answer, nikos_answer) = tokio::join!(
            maria.post(admin, "/admin/v1/operations", &first),
            nikos.post(admin, "/admin/v1/operations", &second),
        );
        let (maria_answer, nikos_answer) = (maria_answer?, nikos_answer?);

        let accepted =
            [&maria_answer, &nikos_answer].into_iter().filter(|answer| answer.status == 200);
        let accepted: Vec<Accepted> = accepted.map(http::json).collect::<Result<_, _>>()?;
        assert_eq!(accepted.len(), 1);
        assert_eq!(accepted[0].revision, round + 1);
        let refusal = if maria_answer.status == 200 { &nikos_answer } else { &maria_answer };
        assert_eq!(common::error_code(refusal), "stale_revision");
        let body = String::from_utf8_lossy(&refusal.body);
        assert!(
            body.contains(&(round + 1).to_string()),
            "the refusal does not contain the revision: {body}"
        );
        let resent = maria.post(admin, "/admin/v1/operations", &first).await?;
        assert_eq!((resent.status, resent.body), (maria_answer.status, maria_answer.body));
    }
    Ok(())
}

/// Guards against interfaces that process requests without a valid key.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_operators_and_callers_change_nothing() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let leader = cluster.leader().await?;
    let (admin, rpc) = (cluster.replicas[leader].admin, cluster.replicas[leader].rpc);
    let before = common::status(&cluster).await?;
    let write = common::write_request("s0", 0, common::submit_change(0));

    for unknown_client in [Http::new(), Http::with_key("some-key"), Http::with_key("")] {
        for path in ["/admin/v1/operations", "/admin/v1/replicas/add", "/admin/v1/replicas/remove"]
        {
            let answer = unknown_client.post(admin, path, &write).await?;
            assert_eq!(
                (answer.status, common::error_code(&answer).as_str()),
                (401, "unauthenticated")
            );
        }
        assert_eq!(unknown_client.get(admin, "/admin/v1/status").await?.status, 401);
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

/// Guards against invalid input that closes the connection, gets an untyped error, or partly takes
/// effect.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_gets_a_typed_error() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let admin = cluster.replicas[cluster.leader().await?].admin;
    let before = common::status(&cluster).await?;
    let large = "x".repeat((1 << 20) + 1);
    let bundle = r#"{"request":"a","based_on":0,"change":{"Submit":{"text":"[nonsense]"}}}"#;
    let stale = r#"{"request":"b","based_on":9,"change":{"SignOff":{"bundle":1}}}"#;
    let missing = r#"{"request":"c","based_on":0,"change":{"SignOff":{"bundle":1}}}"#;
    let name = r#"{"request":"a b","based_on":0,"change":{"SignOff":{"bundle":1}}}"#;
    let cases = [
        (Method::POST, "operations", "", 400, "malformed_request"),
        (Method::POST, "operations", "{", 400, "malformed_request"),
        (Method::POST, "operations", "[]", 400, "malformed_request"),
        (Method::POST, "operations", name, 400, "malformed_request"),
        (Method::POST, "operations", &large, 413, "request_too_large"),
        (Method::POST, "operations", bundle, 422, "invalid_bundle"),
        (Method::POST, "operations", stale, 409, "stale_revision"),
        (Method::POST, "operations", missing, 404, "not_found"),
        (Method::POST, "replicas/add", r#"{"address":"here"}"#, 400, "malformed_request"),
        (Method::POST, "replicas/remove", r#"{"id":"12"}"#, 400, "malformed_request"),
        (Method::GET, "in-force/many", "", 400, "malformed_request"),
        (Method::GET, "in-force/7", "", 404, "not_found"),
        (Method::GET, "nonsense", "", 404, "not_found"),
        (Method::DELETE, "status", "", 404, "not_found"),
    ];

    for (method, path, body, status, code) in cases {
        let path = format!("/admin/v1/{path}");
        let body = body.to_owned().into();
        let answer = common::maria().call(method, admin, &path, &[], body).await?;
        assert_eq!((answer.status, common::error_code(&answer).as_str()), (status, code), "{path}");
    }

    assert_eq!(common::status(&cluster).await?.config, before.config);
    Ok(())
}
