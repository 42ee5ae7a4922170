//! Choice of an endpoint by entries that know the same loads.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;

use common::STREAM;
use common::announcement;
use common::configuration;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::dialect::PromptPart;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::endpoint::ColdLimit;
use hickoryreel_fleet_entry::kept::Outlook;
use hickoryreel_fleet_entry::pick;
use hickoryreel_fleet_entry::pick::PickContext;
use hickoryreel_fleet_entry::placement::Zones;
use hickoryreel_fleet_entry::settings::Settings;
use yare::parameterized;

const ENTRIES: u32 = 295;

/// A part that is used often enough to be kept.
const KEPT: Outlook = Outlook { uses_per_s: 10.0, retention_s: 20.0 };

/// Endpoints of which the odd ones are in another region.
fn directory(count: usize) -> Directory {
    let mut directory = Directory::default();
    for number in 0..count {
        let port = 9_000 + u16::try_from(number).expect("few endpoints");
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let mut announcement = announcement(number, address);
        announcement.zone = if number % 2 == 0 { "near".into() } else { "far".into() };
        let update = EndpointUpdate { announcement, status: Status::Present };
        directory.apply(update, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    }
    directory
}

/// Gives each endpoint the prefill time that all entries know to wait there.
fn apply_loads(directory: &Directory, prefill_ms: impl Fn(&str) -> u32) {
    for endpoint in directory.all() {
        let prefill_ms = [0, 0, prefill_ms(&endpoint.id())];
        let total = EndpointLoad {
            endpoint: endpoint.key(),
            outstanding: 1,
            prefill_ms,
            prompt_tokens: 0,
            succeeded: 0,
            failed: 0,
            pace: 0,
            latest_pace: 0,
        };
        endpoint.apply_totals(Some(&total));
    }
}

fn route() -> Route {
    let routes = configuration(1).routes;
    let route = routes.into_iter().find(|route| &*route.prefix == STREAM).expect("it is there");
    Route { rank: 2, ..route }
}

/// Number of requests that each endpoint gets from the entries before they learn of new loads.
fn choices(directory: &Directory, prompt: &[PromptPart], token_ms: f64) -> HashMap<Name, u32> {
    let mut counts = HashMap::new();
    for _ in 0..ENTRIES {
        *counts.entry(choice(directory, prompt, token_ms)).or_insert(0) += 1;
    }
    counts
}

/// The endpoint that a request gets.
fn choice(directory: &Directory, prompt: &[PromptPart], token_ms: f64) -> Name {
    choice_with(directory, prompt, token_ms, KEPT)
}

/// The endpoint that a request gets, with what is known of the shared beginning of its prompt.
fn choice_with(directory: &Directory, prompt: &[PromptPart], token_ms: f64, kept: Outlook) -> Name {
    let (route, service, roll_outs) = (route(), Name::from("service"), RollOuts::default());
    let settings = Settings::default();
    let metadata = RequestMetadata {
        prompt_tokens: 12_000,
        parts: prompt.iter().copied().collect(),
        ..RequestMetadata::default()
    };
    let context = PickContext {
        route: &route,
        metadata: &metadata,
        service: &service,
        roll_outs: &roll_outs,
        version_in_force: None,
        tried: &[],
        entries: ENTRIES,
        token_ms: Some(token_ms),
        is_in_region: &|zone| zone == "near",
        zones: Zones::new(&settings, &route, None, &[]),
        cold_limit: ColdLimit::None,
        kept,
        memory_tokens: None,
    };
    let choice = pick::choose(&context, directory.for_service("service")).expect("one is usable");
    choice.endpoint.id()
}

/// Guards against entries that all send to the endpoint that was idle at the latest update, and
/// against sending to overloaded endpoints or to other regions while there is room in this one.
#[test]
fn entries_spread_their_requests_over_the_endpoints_with_room() {
    let directory = directory(40);
    apply_loads(&directory, |id| match id {
        "e0" => 0,
        "e2" => 5_000,
        _ => 50,
    });

    let counts = choices(&directory, &[], 0.08);

    let busiest = counts.values().max().copied().unwrap_or(0);
    assert!(busiest <= 3 * ENTRIES / 19, "{counts:?}");
    assert!(counts.len() >= 15, "{counts:?}");
    assert!(!counts.contains_key("e2"), "{counts:?}");
    assert!(counts.keys().all(|id| id[1..].parse::<u32>().unwrap_or(1) % 2 == 0), "{counts:?}");
}

/// Guards against a long shared part that is read again at many endpoints, and against an endpoint
/// that gets all requests for it whatever its load.
#[test]
fn requests_with_a_shared_part_meet_at_one_endpoint_until_it_is_loaded() {
    let directory = directory(40);
    let prompt = [PromptPart { id: 7, tokens: 5_400 }, PromptPart { id: 8, tokens: 6_600 }];
    apply_loads(&directory, |_| 50);
    let idle = choices(&directory, &prompt, 0.08);
    let (preferred, count) = idle.iter().max_by_key(|(_, count)| **count).expect("one is chosen");

    apply_loads(&directory, |id| if id == &**preferred { 20_000 } else { 50 });
    let loaded = choices(&directory, &prompt, 0.08);

    assert_eq!(*count, ENTRIES, "{idle:?}");
    assert!(!loaded.contains_key(preferred), "{loaded:?}");
}

/// Guards against requests that wait for a shared part where it is no longer in memory.
#[test]
fn part_that_is_not_kept_attracts_no_requests() {
    let directory = directory(40);
    let prompt = [PromptPart { id: 7, tokens: 5_400 }, PromptPart { id: 8, tokens: 6_600 }];
    apply_loads(&directory, |_| 50);
    let dropped = Outlook { uses_per_s: 10.0, retention_s: 0.0 };

    let chosen: HashSet<Name> =
        (0..ENTRIES).map(|_| choice_with(&directory, &prompt, 0.08, dropped)).collect();

    assert!(chosen.len() >= 15, "{chosen:?}");
}

/// Guards against a kept part that is sent for to another region although this one has it as well.
#[test]
fn holder_of_the_region_is_preferred() {
    let directory = directory(40);
    apply_loads(&directory, |_| 50);
    for id in 0..50 {
        let prompt = [PromptPart { id, tokens: 5_400 }, PromptPart { id: u64::MAX, tokens: 6_600 }];

        let chosen = choice(&directory, &prompt, 0.08);

        let number: u32 = chosen[1..].parse().expect("a number");
        assert_eq!(number % 2, 0, "{chosen} is in another region");
    }
}

/// Guards against shared parts that are kept at slow endpoints as often as at fast ones.
#[test]
fn fast_endpoints_keep_more_parts() {
    let directory = directory(40);
    for endpoint in directory.all() {
        let number: u32 = endpoint.id()[1..].parse().expect("a number");
        // Every other endpoint of the region is slow.
        let pace = if number.is_multiple_of(4) { 200 } else { 50 };
        endpoint.apply_totals(Some(&EndpointLoad {
            endpoint: endpoint.key(),
            outstanding: 1,
            prefill_ms: [0; 3],
            succeeded: 0,
            failed: 0,
            pace,
            latest_pace: 0,
            prompt_tokens: 0,
        }));
    }

    let slow = (0..200).filter(|id| {
        let prompt =
            [PromptPart { id: *id, tokens: 9_000 }, PromptPart { id: u64::MAX, tokens: 100 }];
        let chosen = choice(&directory, &prompt, 0.08);
        chosen[1..].parse::<u32>().expect("a number").is_multiple_of(4)
    });

    let slow = slow.count();
    assert!(slow < 70, "{slow} of 200");
}

/// Guards against one neighbour that gets all sessions and prompts of an endpoint that leaves.
#[test]
fn prompts_of_a_leaving_endpoint_move_to_many_others() {
    let directory = directory(40);
    apply_loads(&directory, |_| 50);
    let prompt =
        |id| [PromptPart { id, tokens: 5_400 }, PromptPart { id: u64::MAX, tokens: 6_600 }];
    let preferred = |id| choice(&directory, &prompt(id), 0.08);
    let leaving = preferred(0);
    let moved: Vec<u64> = (0..2_000).filter(|id| preferred(*id) == leaving).take(20).collect();

    let endpoints = directory.all();
    endpoints.filter(|endpoint| endpoint.id() == leaving).for_each(|endpoint| {
        endpoint.record_leaving();
    });

    let neighbours: HashSet<Name> = moved.iter().map(|id| preferred(*id)).collect();
    assert_eq!(moved.len(), 20);
    assert!(neighbours.len() >= 6 && !neighbours.contains(&leaving), "{neighbours:?}");
}

/// An endpoint's number, its version and its start.
type Started = (usize, &'static str, u64);

/// Returns the versions that get requests after announcements in this order, `None` among them if there
/// is no endpoint for some.
fn versions_of_choices(
    announced: &[Started],
    roll_outs: &RollOuts,
    in_force: Option<&str>,
) -> HashSet<Option<Name>> {
    let mut directory = Directory::default();
    for (number, version, incarnation) in announced {
        let port = 9_000 + u16::try_from(*number).expect("few endpoints");
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
        let announcement = Announcement {
            version: (*version).into(),
            incarnation: *incarnation,
            zone: "near".into(),
            ..announcement(*number, address)
        };
        let update = EndpointUpdate { announcement, status: Status::Present };
        directory.apply(update, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    }
    let (route, service) = (route(), Name::from("service"));
    let in_force = in_force.map(Name::from);
    let settings = Settings::default();
    let choices = (0..50).map(|id| {
        let metadata = RequestMetadata { id: id.to_string(), ..RequestMetadata::default() };
        let context = PickContext {
            route: &route,
            metadata: &metadata,
            service: &service,
            roll_outs,
            version_in_force: in_force.as_ref(),
            tried: &[],
            entries: 1,
            token_ms: Some(0.1),
            is_in_region: &|_| true,
            zones: Zones::new(&settings, &route, None, &[]),
            cold_limit: ColdLimit::None,
            kept: KEPT,
            memory_tokens: None,
        };
        let choice = pick::choose(&context, directory.for_service("service"));
        choice.map(|choice| choice.endpoint.version())
    });
    choices.collect()
}

/// Like [`versions_of_choices`], before a version has been agreed on. There is an endpoint for each
/// request.
fn chosen_versions(announced: &[Started], roll_outs: &RollOuts) -> HashSet<Name> {
    let versions = versions_of_choices(announced, roll_outs, None);
    versions.into_iter().map(|version| version.expect("one is usable")).collect()
}

/// A roll-out of v10 in a phase, with a share of 0.2.
fn roll_out_to_v10(phase: Phase) -> RollOuts {
    RollOuts {
        newest: vec![RollOut {
            serial: 1,
            service: "service".into(),
            target: "v10".into(),
            length_ms: 20_000,
            phase,
            share: 200,
            elapsed_ms: 15_000,
        }],
        withdrawn: Vec::new(),
    }
}

/// Guards against an entry that has just started and takes a version that no order has named for the one
/// in use, because all endpoints of that one have been replaced since.
#[test]
fn version_in_force_gets_all_requests_without_a_roll_out() {
    let announced = [(0, "v10", 10), (1, "v9", 50), (2, "v8", 5)];

    let versions = versions_of_choices(&announced, &RollOuts::default(), Some("v9"));

    assert_eq!(versions, HashSet::from([Some(Name::from("v9"))]));
}

/// Guards against requests to a version that no order has named, when the one in force has no endpoint.
#[test]
fn version_without_an_order_gets_no_requests_instead_of_the_one_in_force() {
    let announced = [(0, "v10", 10), (2, "v8", 5)];

    let versions = versions_of_choices(&announced, &RollOuts::default(), Some("v9"));

    assert_eq!(versions, HashSet::from([None]));
}

/// Guards against requests to a version that is neither in force nor the target of the roll-out.
#[parameterized(
    pending = { Phase::Pending, &["v9"] },
    trial = { Phase::Trial, &["v9", "v10"] },
    moving = { Phase::Moving, &["v10"] },
    rolled_back = { Phase::RolledBack, &["v9"] },
)]
fn third_version_gets_no_requests_during_a_roll_out(phase: Phase, expected: &[&str]) {
    let announced = [(0, "v10", 10), (1, "v9", 50), (2, "v8", 5)];

    let versions = versions_of_choices(&announced, &roll_out_to_v10(phase), Some("v9"));

    assert_eq!(versions, expected.iter().map(|version| Some(Name::from(*version))).collect());
}

/// Guards against a roll-out that takes a service down because its target has no endpoint.
#[parameterized(
    trial = { Phase::Trial },
    moving = { Phase::Moving },
)]
fn version_in_force_serves_while_the_target_has_no_endpoint(phase: Phase) {
    let announced = [(1, "v9", 50), (2, "v8", 5)];

    let versions = versions_of_choices(&announced, &roll_out_to_v10(phase), Some("v9"));

    assert_eq!(versions, HashSet::from([Some(Name::from("v9"))]));
}

/// Guards against a completed roll-out whose target has had no endpoint for so long that another version
/// was put in force, and that still takes the service down.
#[parameterized(
    target = { "v10" },
    other = { "v9" },
)]
fn version_in_force_counts_after_a_completed_roll_out(in_force: &str) {
    let announced = [(0, "v10", 10), (1, "v9", 50), (2, "v8", 5)];
    let roll_outs = roll_out_to_v10(Phase::Complete);

    let versions = versions_of_choices(&announced, &roll_outs, Some(in_force));

    assert_eq!(versions, HashSet::from([Some(Name::from(in_force))]));
}

/// Guards against a version that gets requests before its roll-out is ordered.
#[parameterized(
    names_in_order = { &[(0, "v1", 10), (1, "v2", 50)], "v1" },
    names_out_of_order = { &[(0, "v9", 10), (1, "v10", 50)], "v9" },
    new_one_announced_first = { &[(1, "v10", 50), (0, "v9", 10)], "v9" },
    one_old_endpoint_restarted = {
        &[(0, "v9", 10), (1, "v9", 20), (2, "v10", 50), (1, "v9", 90)], "v9"
    },
    started_at_the_same_time = { &[(0, "v9", 10), (1, "v10", 10)], "v9" },
    all_old_endpoints_restarted = { &[(0, "v9", 10), (2, "v10", 50), (0, "v9", 90)], "v9" },
)]
fn version_without_a_roll_out_gets_no_requests(announced: &[Started], expected: &str) {
    let versions = chosen_versions(announced, &RollOuts::default());

    assert_eq!(versions, HashSet::from([Name::from(expected)]));
}

/// Guards against the version after one that was rolled back, which gets requests before its own
/// roll-out is ordered.
#[test]
fn version_after_a_rolled_back_one_gets_no_requests() {
    let announced = [(0, "v9", 10), (1, "v10", 50), (2, "v11", 70)];
    let roll_outs = RollOuts {
        newest: vec![RollOut {
            serial: 1,
            service: "service".into(),
            target: "v10".into(),
            length_ms: 20_000,
            phase: Phase::RolledBack,
            share: 200,
            elapsed_ms: 15_000,
        }],
        withdrawn: vec![("service".into(), "v10".into())],
    };

    let versions = chosen_versions(&announced, &roll_outs);

    assert_eq!(versions, HashSet::from([Name::from("v9")]));
}
