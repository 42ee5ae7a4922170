//! Prompts that fill the KV caches of the endpoints.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::rc::Rc;
use std::time::Duration;

use common::SAFE;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::header;
use harness::read_all;
use harness::send;
use harness::serve_without_configuration;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Engine;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Tokens that the KV cache of each endpoint holds.
const CAPACITY: u64 = 10_000;

/// Target of the routes.
const TARGET: Duration = Duration::from_millis(1_000);

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";

/// An answer after a time.
fn slow(time: Duration) -> Vec<Action> {
    vec![Action::Pause(time), Action::Write(GOOD)]
}

async fn serve(endpoints: &[&Endpoint]) -> (TestEntry, Rc<Entry>) {
    let (served, entry) = serve_without_configuration(endpoints).await;
    let mut configuration = configuration(1);
    configuration.services[0].engine =
        Some(Engine { slots: 8, memory_tokens: CAPACITY, stride: 1, models: Vec::new() });
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    (served, entry)
}

async fn open(served: &TestEntry, id: &str, prompt_tokens: u64) -> TcpStream {
    let request = format!(
        "POST {SAFE}x HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: key\r\ndeadline: 19000\r\n\
         prompt: {prompt_tokens}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    send(served, &request).await
}

/// Reports prompts of other entries at an endpoint.
fn apply_prompts_of_others(entry: &Entry, endpoint: &Endpoint, prompt_tokens: u32) {
    let directory = entry.directory.borrow();
    for known in directory.at_address(endpoint.address) {
        let own = u32::try_from(known.prompt_tokens()).expect("few tokens");
        known.take_report();
        known.apply_totals(Some(&EndpointLoad {
            endpoint: known.key(),
            outstanding: 1,
            prefill_ms: [0; RANKS],
            prompt_tokens: own + prompt_tokens,
            succeeded: 0,
            failed: 0,
            pace: 0,
            latest_pace: 0,
        }));
    }
}

/// Guards against sending a prompt where the prompts of this entry and the others leave no room, while
/// another endpoint has room.
#[tokio::test]
async fn prompt_goes_where_the_cache_has_room() {
    LocalSet::new()
        .run_until(async {
            let first = Endpoint::start(vec![slow(TARGET)]).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve(&[&first, &second]).await;
            let outstanding = open(&served, "r1", CAPACITY / 2).await;
            wait_until("the first request is sent", || first.count() == 1).await;
            apply_prompts_of_others(&entry, &first, 2_000);

            let large = read_all(open(&served, "r2", 3_001).await).await;
            let fitting = open(&served, "r3", 3_000).await;

            assert_eq!((status(&large), second.count()), (200, 1), "{large}");
            wait_until("the fitting request is sent", || first.count() == 2).await;
            assert_eq!(second.count(), 1);
            assert_eq!(status(&read_all(outstanding).await), 200);
            assert_eq!(status(&read_all(fitting).await), 200);
        })
        .await;
}

/// Guards against a refusal although a request ends in time, and against a prompt that is sent before
/// that.
#[tokio::test]
async fn prompt_waits_until_a_request_ends() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![slow(TARGET / 4)]).await;
            let (served, entry) = serve(&[&endpoint]).await;
            let outstanding = open(&served, "r1", CAPACITY / 2).await;
            wait_until("the first request is sent", || endpoint.count() == 1).await;

            let waiting = open(&served, "r2", CAPACITY / 2 + 1).await;
            wait_until("the second request waits", || entry.metrics.memory_waits.get() == 1).await;
            let before = endpoint.count();
            let answers = [read_all(outstanding).await, read_all(waiting).await];

            assert_eq!(before, 1);
            assert_eq!(answers.each_ref().map(|answer| status(answer)), [200, 200], "{answers:?}");
            assert_eq!(endpoint.count(), 2);
            let directory = entry.directory.borrow();
            assert!(directory.all().all(|endpoint| endpoint.prompt_tokens() == 0));
        })
        .await;
}

/// Guards against a request that waits for longer than it can afford, or whose client is not told to
/// come back.
#[tokio::test]
async fn prompt_is_refused_after_half_of_the_target() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![slow(2 * TARGET)]).await;
            let (served, _) = serve(&[&endpoint]).await;
            let outstanding = open(&served, "r1", CAPACITY).await;
            wait_until("the first request is sent", || endpoint.count() == 1).await;

            let began = boot_time();
            let refused = read_all(open(&served, "r2", 1).await).await;
            let took = boot_time() - began;

            assert_eq!(status(&refused), 503, "{refused}");
            assert!(header(&refused, "retry-after").is_some(), "{refused}");
            assert!(took >= TARGET / 2 && took < TARGET, "{took:?}");
            assert_eq!(endpoint.count(), 1);
            assert_eq!(status(&read_all(outstanding).await), 200);
        })
        .await;
}

/// Guards against a client that is told to repeat a request that no endpoint can take.
#[tokio::test]
async fn prompt_larger_than_the_cache_is_refused_at_once() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve(&[&endpoint]).await;

            let largest = read_all(open(&served, "r1", CAPACITY).await).await;
            let refused = read_all(open(&served, "r2", CAPACITY + 1).await).await;

            assert_eq!((status(&largest), status(&refused)), (200, 503), "{refused}");
            assert_eq!(header(&refused, "retry-after"), None);
            assert_eq!(endpoint.count(), 1);
            assert_eq!(entry.metrics.memory_waits.get(), 0);
        })
        .await;
}

/// Guards against a limit where the configuration states none.
#[tokio::test]
async fn prompts_of_a_service_without_a_capacity_are_not_limited() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![slow(TARGET / 4)]).await;
            let (served, entry) = serve_without_configuration(&[&endpoint]).await;
            harness::learn_configuration(&entry);

            let requests = [open(&served, "r1", u64::MAX).await, open(&served, "r2", 9).await];
            wait_until("both are sent", || endpoint.count() == 2).await;

            for request in requests {
                assert_eq!(status(&read_all(request).await), 200);
            }
        })
        .await;
}
