//! Run-once calls during failures of the service or the entry.

mod common;

use std::net::SocketAddr;

use common::Cluster;
use common::RawConnection;
use common::now_ms;
use common::read_json;
use common::set_faults;
use hickoryreel_testkit::Relay;
use hickoryreel_testkit::relay::Direction;
use hickoryreel_testkit::wait;
use serde_json::Value;
use serde_json::json;
use yare::parameterized;

async fn one_service(entries: usize, settings: &str) -> (Cluster, SocketAddr) {
    let mut cluster = Cluster::start(entries, settings).await;
    let service = cluster.stand_in("service", "s0", &["--service", "ledger"]);
    cluster.wait_until_ledger_served().await;
    (cluster, service)
}

/// Returns how often the service ran request `id`.
async fn runs(service: SocketAddr, id: &str) -> u64 {
    let counts = read_json(service, "/runs").await;
    counts[format!("athens:{id}")].as_u64().unwrap_or(0)
}

fn code_and_ran(text: &str) -> (String, String) {
    let body: Value = serde_json::from_str(text).expect("JSON");
    let field = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    (field("code"), field("ran"))
}

/// Guards against a second run, and against a response with a wrong `ran`, when the service fails
/// after the call was sent.
#[parameterized(
    fails = { json!({"fail": true}), "endpoint_failed", "unknown", 1 },
    drops_the_answer = { json!({"drop_answer": true}), "endpoint_failed", "unknown", 1 },
    hangs = { json!({"hang": true}), "endpoint_timeout", "unknown", 1 },
    refuses = { json!({"refuse": true}), "endpoint_unavailable", "no", 0 },
)]
#[test_macro(tokio::test)]
async fn service_failure_reports_whether_the_call_ran(
    faults: Value,
    code: &str,
    ran: &str,
    ran_times: u64,
) {
    let (cluster, service) = one_service(2, "call-timeout-ms = 300").await;
    let request_ms = now_ms();
    set_faults(service, faults).await;

    let (_, text) = cluster.call_ledger(0, "m1", "transfers", request_ms).await;

    assert_eq!(code_and_ran(&text), (code.to_owned(), ran.to_owned()), "{text}");
    assert_eq!(runs(service, "m1").await, ran_times);
    set_faults(service, json!({})).await;
    for entry in [0, 1] {
        let (status, text) = cluster.call_ledger(entry, "m1", "transfers", request_ms).await;
        if ran == "no" {
            // The call did not run, so a resend may run it once. All further resends get that
            // response.
            assert!(status == 200 || code_and_ran(&text).1 != "no", "{text}");
            assert!(runs(service, "m1").await <= 1);
        } else {
            assert_eq!(code_and_ran(&text).0, "outcome_unknown", "{text}");
            assert_eq!(runs(service, "m1").await, ran_times);
        }
    }
    assert!(cluster.bills("m1").len() <= 1);
}

/// Guards against an empty 404 response of a service that the entry takes for a path without a
/// route, and thus reports as not run.
#[tokio::test]
async fn empty_not_found_of_a_service_is_forwarded() {
    let (cluster, service) = one_service(2, "").await;
    set_faults(service, json!({"empty_404": true})).await;
    let request_ms = now_ms();

    for entry in [0, 1] {
        let (status, text) = cluster.call_ledger(entry, "m1", "transfers", request_ms).await;
        assert_eq!((status, text.as_str()), (404, ""));
    }

    assert_eq!(runs(service, "m1").await, 1);
}

/// Guards against losing the outcome of a call whose caller disconnected.
#[tokio::test]
async fn disconnected_caller_gets_the_outcome_later() {
    let mut cluster = Cluster::start(2, "").await;
    let arguments = ["--service", "ledger", "--call-ms", "300"];
    let service = cluster.stand_in("service", "s0", &arguments);
    cluster.wait_until_ledger_served().await;
    let request_ms = now_ms();
    let mut caller = RawConnection::open(cluster.entries[0]).await;
    let head = format!(
        "POST /v1/services/ledger/transfers HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer athens-key\r\nx-request-id: m1\r\nx-request-time: {request_ms}\r\n\
         content-length: 2\r\n\r\n{{}}"
    );
    caller.send(&head).await;
    wait::until("the call runs", || async { Ok((runs(service, "m1").await == 1).then_some(())) })
        .await
        .expect("runs");

    drop(caller);

    let answer = wait::until("the first outcome", || async {
        let (status, text) = cluster.call_ledger(1, "m1", "transfers", request_ms).await;
        Ok((status == 200).then_some(text))
    });
    assert!(answer.await.expect("answer").contains("\"runs\":1"));
    assert_eq!(runs(service, "m1").await, 1);
    assert_eq!(cluster.bills("m1").len(), 1);
}

/// Guards against a second run when an entry is killed between the commit of the record and the
/// response. The relay holds the call on its way to the service.
#[tokio::test]
async fn killed_entry_causes_no_second_run() {
    let mut cluster = Cluster::start(2, "").await;
    let addresses = cluster.harness.addresses(2).expect("addresses");
    let relay = Relay::start(addresses[0], addresses[1]).await.expect("relay");
    let advertise = relay.address().to_string();
    let arguments = ["--service", "ledger", "--advertise", &advertise];
    let _service = cluster.stand_in_at(addresses[1], "service", "s0", &arguments);
    cluster.wait_until_ledger_served().await;
    let request_ms = now_ms();
    relay.cut(Direction::ToTarget);
    let accepted = relay.accepted();
    let (head, body) = call_request("m1", request_ms);
    let mut caller = RawConnection::open(cluster.entries[0]).await;
    caller.send(&format!("{head}{body}")).await;
    wait::until("the call is sent", || async { Ok((relay.accepted() > accepted).then_some(())) })
        .await
        .expect("sent");

    cluster.entry_processes[0].kill().expect("kill");
    relay.restore(Direction::ToTarget);

    let settled = wait::until("the record is settled", || async {
        let (status, text) = cluster.call_ledger(1, "m1", "transfers", request_ms).await;
        let code = code_and_ran(&text).0;
        assert_ne!(status, 200, "a call that may have run ran again: {text}");
        Ok((code != "still_running").then_some(code))
    });
    assert_eq!(settled.await.expect("settled"), "outcome_unknown");
    assert_eq!(runs(addresses[1], "m1").await, 0);
    assert!(cluster.bills("m1").is_empty());
}

/// Guards against a dispatch by an entry that was paused until its lease had lapsed. The request
/// body arrives only after the pause, so all checks made before it are outdated.
#[tokio::test]
async fn paused_entry_sends_nothing_after_its_lease_lapsed() {
    let (cluster, service) = one_service(1, "").await;
    let (head, body) = call_request("m1", now_ms());
    let mut caller = RawConnection::open(cluster.entries[0]).await;
    caller.send(&head).await;
    let before = count_lapses(&cluster);

    cluster.entry_processes[0].pause().expect("pause");
    // The lease is 3 s long. A longer sleep does not affect the test.
    tokio::time::sleep(std::time::Duration::from_millis(3_500)).await;
    caller.send(body).await;
    cluster.entry_processes[0].resume().expect("resume");
    let answer = caller.read_until("}}").await;

    let ran = runs(service, "m1").await;
    let text = answer.split("\r\n\r\n").last().unwrap_or_default();
    assert_eq!((code_and_ran(text).1.as_str(), ran), ("no", 0), "{answer}");
    wait::until("the lapse is noticed", || async {
        Ok((count_lapses(&cluster) > before).then_some(()))
    })
    .await
    .expect("noticed");
    cluster.wait_until_ledger_served().await;
}

fn count_lapses(cluster: &Cluster) -> usize {
    cluster.harness.log("entry0").matches("the lease lapsed").count()
}

fn call_request(id: &str, request_ms: u64) -> (String, &'static str) {
    let head = format!(
        "POST /v1/services/ledger/transfers HTTP/1.1\r\nhost: entry\r\n\
         authorization: Bearer athens-key\r\nx-request-id: {id}\r\nx-request-time: {request_ms}\r\n\
         content-length: 2\r\n\r\n"
    );
    (head, "{}")
}
