//! An entry's estimate of the load and health of an endpoint.

#[allow(dead_code, reason = "the configuration is for other tests")]
mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use common::announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::endpoint::Endpoint;

const ENTRIES: u32 = 80;

fn endpoint() -> Rc<Endpoint> {
    let mut directory = Directory::default();
    let announcement = announcement(1, SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9));
    let update = EndpointUpdate { announcement, status: Status::Present };
    directory.apply(update, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    Rc::clone(&directory.for_service("service")[0])
}

fn total(
    endpoint: &Endpoint,
    outstanding: u32,
    prefill_ms: [u32; RANKS],
    good: u32,
    bad: u32,
) -> EndpointLoad {
    EndpointLoad {
        endpoint: endpoint.key(),
        outstanding,
        prefill_ms,
        prompt_tokens: 0,
        succeeded: good,
        failed: bad,
        pace: 0,
        latest_pace: 0,
    }
}

/// Guards against counting own requests twice, omitting those sent after the latest report, and
/// counting the prefill of less urgent requests in full.
#[test]
fn own_load_is_counted_once_beside_that_of_other_entries() {
    let endpoint = endpoint();
    endpoint.record_send();
    endpoint.add_prefill(1, 100.0);
    endpoint.take_report();
    endpoint.record_send();
    endpoint.add_prefill(0, 150.0);

    endpoint.apply_totals(Some(&total(&endpoint, 5, [60, 340, 900], 0, 0)));

    assert_eq!(endpoint.estimated_load(ENTRIES), 6.0);
    let [urgent, normal, prefill] = [0, 1, 2].map(|rank| endpoint.prefill_wait_ms(rank, 0.0));
    assert_eq!(prefill, 1_450.0);
    assert!(normal > 550.0 && normal < prefill);
    assert!(urgent > 210.0 && urgent < normal);
}

/// Guards against own prompts that are counted twice or not at all, and against prompts of other entries
/// that are not counted.
#[test]
fn prompt_tokens_are_summed_over_all_entries() {
    let endpoint = endpoint();
    endpoint.record_send();
    endpoint.add_prompt(1_000);
    let report = endpoint.take_report().expect("a request is outstanding");
    endpoint.add_prompt(200);

    let total = EndpointLoad { prompt_tokens: 5_000, ..total(&endpoint, 2, [0; RANKS], 0, 0) };
    endpoint.apply_totals(Some(&total));
    let sum = endpoint.prompt_tokens();
    endpoint.remove_prompt(1_000);

    assert_eq!(report.prompt_tokens, 1_000);
    assert_eq!(sum, 5_200);
    assert_eq!(endpoint.prompt_tokens(), 4_200);
}

/// Guards against reporting ended sends twice, and against reporting idle endpoints.
#[test]
fn ended_sends_are_reported_once() {
    let endpoint = endpoint();
    endpoint.record_success();
    endpoint.record_failure();

    let load = endpoint.take_report().expect("there is news");

    assert_eq!((load.succeeded, load.failed), (1, 1));
    assert_eq!(endpoint.take_report(), None);
}

/// Guards against every entry having to learn by its own requests that an endpoint only fails, and
/// against an endpoint that is taken out of use because of occasional failures.
#[test]
fn endpoint_that_fails_for_all_entries_is_not_usable() {
    let endpoint = endpoint();

    endpoint.apply_totals(Some(&total(&endpoint, 0, [0; RANKS], 5, 5)));
    assert!(endpoint.is_usable());
    assert!(endpoint.failure_share() > 0.3);

    endpoint.apply_totals(Some(&total(&endpoint, 0, [0; RANKS], 0, 4)));
    assert!(!endpoint.is_usable());

    endpoint.apply_totals(None);
    assert!(endpoint.is_usable());
}
