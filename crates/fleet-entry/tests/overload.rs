//! Requests at an entry whose endpoints are overloaded.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;
#[path = "common/harness.rs"]
mod harness;

use std::rc::Rc;

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
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet_entry::entry::Entry;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";

/// Slots of an endpoint of the fixtures.
const SLOTS: u32 = 8;

async fn good() -> Endpoint {
    Endpoint::start(vec![vec![Action::Write(GOOD)]]).await
}

/// An entry whose configuration has a model for the entry to choose.
async fn serve_models(endpoints: &[&Endpoint]) -> (TestEntry, Rc<Entry>) {
    let (served, entry) = serve_without_configuration(endpoints).await;
    let mut configuration = configuration(1);
    configuration.routes.iter_mut().for_each(|route| route.models = vec!["model".into()]);
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
    entry.state_changed.notify_waiters();
    (served, entry)
}

/// Gives an endpoint totals with work of the most urgent rank.
fn apply_totals(entry: &Entry, number: usize, outstanding: u32, prefill_ms: u32) {
    let directory = entry.directory.borrow();
    let id = format!("e{number}");
    let endpoint = directory.all().find(|endpoint| *endpoint.id() == *id).expect("it is known");
    endpoint.apply_totals(Some(&EndpointLoad {
        endpoint: endpoint.key(),
        outstanding,
        prefill_ms: [prefill_ms, 0, 0],
        succeeded: 0,
        failed: 0,
        pace: 0,
        latest_pace: 0,
        prompt_tokens: 0,
    }));
}

/// Sends a request with 19 s left. `model` is a header line with which the entry chooses the model.
async fn ask(served: &TestEntry, id: &str, model: &str) -> String {
    let request = format!(
        "POST {SAFE}x HTTP/1.1\r\nhost: host\r\nid: {id}\r\ndeadline: 19000\r\n{model}\
         prompt: 100\r\nparts: 5\r\nconnection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    read_all(send(served, &request).await).await
}

fn retry_after(answer: &str) -> f64 {
    let value = header(answer, "retry-after").and_then(|value| value.parse().ok());
    value.expect("the refusal has a delay")
}

/// Guards against a request that waits in vain until its deadline, a delay that does not follow from
/// the work ahead, and a client that gains by coming back at once.
#[tokio::test]
async fn request_is_refused_at_once_if_no_endpoint_can_answer_in_time() {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_models(&[&endpoint]).await;
            apply_totals(&entry, 0, 30, 30_000);

            let first = ask(&served, "first", "any-model: 1\r\n").await;
            apply_totals(&entry, 0, 30, 10_000);
            let early = ask(&served, "early", "any-model: 1\r\n").await;

            assert_eq!((status(&first), status(&early)), (503, 503), "{first} {early}");
            // The excess is 30 s less 0.95 of 19 s, and up to a third of it for the most urgent rank.
            assert!((11.8..=16.1).contains(&retry_after(&first)), "{first}");
            assert!(retry_after(&early) <= retry_after(&first), "{early}");
            assert!(endpoint.arrived.borrow().is_empty());
            assert_eq!(entry.metrics.admission_refusals.get(), 2);
        })
        .await;
}

/// Guards against refusals while there are free slots, without recent totals, and of services whose
/// models the entry does not choose.
#[parameterized(
    free_slot = { Some(SLOTS - 1), "any-model: 1\r\n" },
    no_totals = { None, "any-model: 1\r\n" },
    model_of_the_client = { Some(30), "" },
)]
#[test_macro(tokio::test)]
async fn request_is_sent(outstanding: Option<u32>, model: &'static str) {
    LocalSet::new()
        .run_until(async {
            let endpoint = good().await;
            let (served, entry) = serve_models(&[&endpoint]).await;
            if let Some(outstanding) = outstanding {
                apply_totals(&entry, 0, outstanding, 30_000);
            }

            let answer = ask(&served, "request", model).await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!(entry.metrics.admission_refusals.get(), 0);
        })
        .await;
}

/// Guards against a refusal that denies a run that may have happened.
#[tokio::test]
async fn request_that_may_have_run_is_sent_again() {
    LocalSet::new()
        .run_until(async {
            let broken = Endpoint::start(vec![vec![Action::Close]]).await;
            let full = good().await;
            let (served, entry) = serve_models(&[&broken, &full]).await;
            apply_totals(&entry, 0, 0, 0);
            apply_totals(&entry, 1, 30, 30_000);

            let answer = ask(&served, "request", "any-model: 1\r\n").await;

            assert_eq!(status(&answer), 200, "{answer}");
            assert_eq!((broken.arrived.borrow().len(), full.arrived.borrow().len()), (1, 1));
        })
        .await;
}
