//! The service-level objective counters, which the burn report reads.

mod common;

use common::Cluster;
use hickoryreel_base::rank::Rank;
use hickoryreel_report::sample;
use hickoryreel_testkit::http::Http;
use serde_json::json;

/// Sends a completion and returns the status.
async fn complete(cluster: &Cluster, id: &str, rank: &str, model: &str) -> u16 {
    let headers = [("x-request-id", id), ("x-rank", rank)];
    let body = json!({"model": model, "prompt": "x", "max_tokens": 2}).to_string().into();
    let answer = Http::with_key("athens-key")
        .call(hyper::Method::POST, cluster.entries[0], "/v1/completions", &headers, body)
        .await;
    answer.expect("answer").status
}

/// Returns the good and the total requests of `rank`, as the report parses them.
async fn good_and_total(cluster: &Cluster, rank: Rank) -> (u64, u64) {
    let answer = Http::new().get(cluster.entries[0], "/metrics").await.expect("metrics");
    let text = String::from_utf8(answer.body.to_vec()).expect("UTF-8");
    let samples = sample::scrape(1, "entry0", &text).expect("readable");
    let found: Vec<_> = samples.iter().filter(|sample| sample.rank == rank).collect();
    assert_eq!(found.len(), 1, "{text}");
    assert_eq!(&*found[0].deployment, "registry");
    (found[0].good, found[0].total)
}

/// Guards against counters that the burn report cannot parse, against refusals that do not count
/// against the objective, and against errors of the caller that do.
#[tokio::test]
async fn refusals_count_towards_the_objective_but_caller_errors_do_not() {
    let mut cluster = Cluster::start(1, "").await;
    cluster.stand_in("engine", "e0", &["--version", "small/1"]);
    cluster.wait_until_served("small").await;

    assert_eq!(complete(&cluster, "good", "bulk", "small").await, 200);
    assert_eq!(complete(&cluster, "refused", "bulk", "large").await, 503);
    assert_eq!(complete(&cluster, "mistake", "bulk", "tiny").await, 404);

    // The target of rank bulk is 30 s, so a slow machine does not affect the result.
    assert_eq!(good_and_total(&cluster, Rank::Bulk).await, (1, 2));
}

/// Guards against a complete response that counts as good although its first token missed the
/// target.
#[tokio::test]
async fn response_after_the_target_is_not_good() {
    let mut cluster = Cluster::start(1, "").await;
    let engine = cluster.stand_in("engine", "e0", &["--version", "small/1", "--token-ms", "20"]);
    cluster.wait_until_served("small").await;
    // A token takes 1 s, more than the target of 350 ms for rank urgent.
    common::set_faults(engine, json!({"slow": 50})).await;

    assert_eq!(complete(&cluster, "late", "urgent", "small").await, 200);

    assert_eq!(good_and_total(&cluster, Rank::Urgent).await, (0, 1));
}
