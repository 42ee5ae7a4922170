//! Valid configurations, announcements and answers with extreme numbers.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use common::ONCE;
use common::SAFE;
use common::STREAM;
use common::announcement;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::call;
use harness::serve_without_configuration;
use harness::status;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Target;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::dialect::Load;
use hickoryreel_fleet_entry::dialect::PromptPart;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::endpoint;
use hickoryreel_fleet_entry::endpoint::ColdLimit;
use hickoryreel_fleet_entry::kept::Outlook;
use hickoryreel_fleet_entry::pick;
use hickoryreel_fleet_entry::pick::PickContext;
use hickoryreel_fleet_entry::placement::Zones;
use hickoryreel_fleet_entry::settings::Settings;
use tokio::task::LocalSet;
use yare::parameterized;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";
const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nid: {id}\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

fn each_route(change: impl FnMut(&mut Route)) -> Configuration {
    let mut changed = configuration(1);
    changed.routes.iter_mut().for_each(change);
    changed
}

fn with_weights(weights: [u64; 2]) -> Configuration {
    let targets = weights.map(|weight| Target { service: "service".into(), weight });
    each_route(|route| route.targets = targets.to_vec())
}

fn with_idle_ms(idle_ms: u64) -> Configuration {
    let mut changed = configuration(1);
    (changed.limits.idle_ms, changed.limits.header_ms) = (idle_ms, idle_ms);
    changed
}

fn with_connections(max_connections: u32) -> Configuration {
    let mut changed = configuration(1);
    changed.services[0].max_connections = max_connections;
    changed
}

/// Guards against an entry that ends, or requests that fail, because a sum or a product of a valid
/// configuration overflows.
#[parameterized(
    attempts = { each_route(|route| route.attempts = u32::MAX) },
    no_attempts = { each_route(|route| route.attempts = 0) },
    timeout = { each_route(|route| route.timeout_ms = u64::MAX) },
    target = { each_route(|route| route.target_ms = u64::MAX) },
    target_gap = { each_route(|route| route.target_gap_ms = u64::MAX) },
    rank = { each_route(|route| route.rank = u8::MAX) },
    weights = { with_weights([u64::MAX, u64::MAX]) },
    weights_that_wrap_to_0 = { with_weights([u64::MAX, 1]) },
    idle_time = { with_idle_ms(u64::MAX) },
    connections = { with_connections(u32::MAX) },
    no_connections = { with_connections(0) },
)]
#[test_macro(tokio::test)]
async fn valid_configuration_is_served(configuration: Configuration) {
    LocalSet::new()
        .run_until(async {
            configuration.validate().expect("it is valid");
            let retried = configuration.routes[0].attempts > 0;
            let first = Action::Write(if retried { NOT_RUN } else { GOOD });
            let first = Endpoint::start(vec![vec![first]]).await;
            let second = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_without_configuration(&[&first, &second]).await;
            entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));
            for prefix in [ONCE, SAFE, STREAM] {
                let answer = call(&served, prefix, "r").await;

                assert_eq!(status(&answer), 200, "{prefix}: {answer}");
            }
        })
        .await;
}

/// Guards against a wait for a slow answer that overflows.
#[tokio::test]
async fn slow_stream_with_an_extreme_target_is_served() {
    LocalSet::new()
        .run_until(async {
            let pause = Action::Pause(Duration::from_millis(600));
            let endpoint = Endpoint::start(vec![vec![pause, Action::Write(GOOD)]]).await;
            let (served, entry) = serve_without_configuration(&[&endpoint]).await;
            let configuration = each_route(|route| route.target_ms = u64::MAX);
            entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));

            let answer = call(&served, STREAM, "r").await;

            assert_eq!(status(&answer), 200, "{answer}");
        })
        .await;
}

/// Guards against an endpoint with extreme numbers that keeps requests from the sound one.
#[parameterized(
    no_slots = { |odd| odd.slots = 0 },
    slots = { |odd| odd.slots = u32::MAX },
    warm_up = { |odd| odd.warm_up_left_ms = u64::MAX },
    order = { |odd| (odd.incarnation, odd.sequence) = (u64::MAX, u64::MAX) },
)]
#[test_macro(tokio::test)]
async fn sound_endpoint_is_used_beside_an_extreme_one(change: fn(&mut Announcement)) {
    LocalSet::new()
        .run_until(async {
            let sound = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (served, entry) = serve_without_configuration(&[&sound]).await;
            let mut odd = announcement(7, "127.0.0.1:9".parse().expect("an address"));
            change(&mut odd);
            let update = EndpointUpdate { announcement: odd, status: Status::Present };
            let replica = SocketAddr::from(([127, 0, 0, 1], 7_000));
            entry.directory.borrow_mut().apply(update, replica);
            entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration(1)));
            for prefix in [ONCE, SAFE, STREAM] {
                let answer = call(&served, prefix, "r").await;

                assert_eq!(status(&answer), 200, "{prefix}: {answer}");
            }
        })
        .await;
}

const KEPT: Outlook = Outlook { uses_per_s: f64::INFINITY, retention_s: f64::INFINITY };

/// Guards against the tokens of a client's prompt whose sum overflows.
#[test]
fn extreme_prompt_is_placed() {
    let address = "127.0.0.1:9".parse().expect("an address");
    let endpoint = Rc::new(endpoint::Endpoint::new(announcement(1, address)));
    endpoint.set_heard_by(SocketAddr::from(([127, 0, 0, 1], 7_000)), true);
    let part = PromptPart { id: 1, tokens: u64::MAX };
    let metadata = RequestMetadata {
        prompt_tokens: u64::MAX,
        parts: [part, part, part].into_iter().collect(),
        ..RequestMetadata::default()
    };
    let (settings, route) = (Settings::default(), configuration(1).routes.remove(0));
    let context = PickContext {
        route: &route,
        metadata: &metadata,
        service: &"service".into(),
        roll_outs: &RollOuts::default(),
        version_in_force: None,
        tried: &[],
        entries: 1,
        token_ms: Some(0.01),
        is_in_region: &|_| true,
        zones: Zones::new(&settings, &route, None, &[]),
        cold_limit: ColdLimit::None,
        kept: KEPT,
        memory_tokens: None,
    };

    assert!(pick::choose(&context, &[endpoint]).is_some());
}

/// Guards against a reported load whose sum overflows.
#[tokio::test]
async fn extreme_load_is_no_small_load() {
    let endpoint =
        endpoint::Endpoint::new(announcement(1, "127.0.0.1:9".parse().expect("an address")));

    endpoint.record_load(Load {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 0,
        pace: Some(u16::MAX),
    });

    assert!(endpoint.estimated_load(1) >= f64::from(u32::MAX));
}
