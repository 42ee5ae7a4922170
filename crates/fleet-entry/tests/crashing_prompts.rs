//! Prompts that crash endpoints, with an entry on loopback that no control replica answers.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::time::Duration;

use common::STREAM;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::header;
use harness::read_all;
use harness::send;
use harness::serve_with_state;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use tokio::task::LocalSet;

const HEAD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: one\r\ntransfer-encoding: chunked\r\n\r\n";
const EVENTS: &str = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Ids of prompt parts: one that all prompts share, a sound one and a bad one.
const SYSTEM: &str = "1";
const SOUND: &str = "2";
const BAD: &str = "3";
const BAD_HEADER: &str = "parts: 1,3,";

/// Time for the prefill of a prompt.
const PREFILL_TIME: Duration = Duration::from_millis(300);

async fn endpoint(actions: &[Action]) -> Endpoint {
    let prefill = [Action::Pause(PREFILL_TIME)];
    Endpoint::start(vec![[&prefill, actions].concat()]).await
}

async fn call(served: &TestEntry, id: &str, part: &str) -> String {
    let request = format!(
        "POST {STREAM}x HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: key\r\ndeadline: 19000\r\n\
         parts: {SYSTEM},{part},9\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    read_all(send(served, &request).await).await
}

/// Guards against a prompt that crashes the endpoints of its route one after the other.
#[tokio::test]
async fn prompt_that_crashed_several_endpoints_reaches_no_other() {
    LocalSet::new()
        .run_until(async {
            let before_head =
                [Action::CrashOn(BAD_HEADER), Action::Write(HEAD), Action::Write(EVENTS)];
            let after_head =
                [Action::Write(HEAD), Action::CrashOn(BAD_HEADER), Action::Write(EVENTS)];
            let (one, two) = (endpoint(&before_head).await, endpoint(&before_head).await);
            let (three, four) = (endpoint(&after_head).await, endpoint(&after_head).await);
            let endpoints = [&one, &two, &three, &four];
            let (served, entry) = serve_with_state(&endpoints).await;
            let blocked = || entry.quarantine.borrow_mut().judge_alone(boot_time()).len() == 1;
            let count = || endpoints.iter().map(|endpoint| endpoint.count()).sum::<usize>();

            call(&served, "r1", BAD).await;
            call(&served, "r2", SOUND).await;
            wait_until("the part is blocked", blocked).await;
            let sent = count();
            let refused = call(&served, "r3", BAD).await;
            let sound = call(&served, "r4", SOUND).await;

            assert_eq!((status(&refused), count()), (503, sent + 1), "{refused}");
            assert!(header(&refused, "retry-after").is_some(), "{refused}");
            assert_eq!(status(&sound), 200, "{sound}");
        })
        .await;
}

/// Guards against refusing the prompts of requests whose connections broke at a sound endpoint.
#[tokio::test]
async fn broken_connection_to_a_running_endpoint_is_no_crash() {
    LocalSet::new()
        .run_until(async {
            let closing = endpoint(&[Action::Write(HEAD), Action::Close]).await;
            let (served, entry) = serve_with_state(&[&closing, &closing, &closing, &closing]).await;

            for number in 0..6 {
                call(&served, &format!("r{number}"), SOUND).await;
            }

            tokio::time::sleep(Duration::from_secs(1)).await;
            let findings = entry.quarantine.borrow_mut().judge_alone(boot_time()).len();
            assert_eq!(findings, 0);
        })
        .await;
}
