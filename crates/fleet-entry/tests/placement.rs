//! Availability zones in which a request may be served, for every path to an endpoint.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;

use common::STREAM;
use common::announcement;
use common::configuration;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::availability::Outlook;
use hickoryreel_fleet_entry::dialect::PromptPart;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::endpoint::ColdLimit;
use hickoryreel_fleet_entry::endpoint::Endpoint;
use hickoryreel_fleet_entry::kept;
use hickoryreel_fleet_entry::pick;
use hickoryreel_fleet_entry::pick::PickContext;
use hickoryreel_fleet_entry::placement::Exclusion;
use hickoryreel_fleet_entry::placement::Zones;
use hickoryreel_fleet_entry::settings::Settings;
use proptest::prelude::*;
use yare::parameterized;

const ZONES: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("west-a", "west")];

fn settings() -> Settings {
    let regions = ZONES.map(|(zone, region)| (zone.to_owned(), region.to_owned())).to_vec();
    Settings { zone: "north-a".to_owned(), regions, ..Settings::default() }
}

fn names(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn route(allowed: &[&str]) -> Route {
    let routes = configuration(1).routes;
    let route = routes.into_iter().find(|route| &*route.prefix == STREAM).expect("it is there");
    Route { allowed_regions: names(allowed), ..route }
}

fn workspace(allowed: &[&str]) -> Workspace {
    let workspaces = configuration(1).workspaces.expect("there are some");
    Workspace { allowed_regions: names(allowed), ..workspaces[0].clone() }
}

fn endpoint(number: usize, zone: &str, version: &str) -> Rc<Endpoint> {
    let address = SocketAddrV4::new([127, 0, 0, 1].into(), 9_000 + number as u16);
    let mut announcement = announcement(number, address);
    announcement.zone = zone.into();
    announcement.version = version.into();
    let endpoint = Rc::new(Endpoint::new(announcement));
    endpoint.set_heard_by(SocketAddr::from(([127, 0, 0, 1], 7_000)), true);
    endpoint
}

/// Guards against a restriction of the route or the workspace that is passed over, or that binds only
/// without the other one.
#[parameterized(
    unrestricted = { &[], &[], "south-a", None },
    allowed_by_the_route = { &["north", "south"], &[], "south-a", None },
    not_allowed_by_the_route = { &["north"], &[], "south-a", Some(Exclusion::Region) },
    not_allowed_by_the_workspace = { &[], &["north"], "south-a", Some(Exclusion::Region) },
    allowed_by_one_of_both = { &["south"], &["north"], "south-a", Some(Exclusion::Region) },
    allowed_by_both = { &["south", "west"], &["south"], "south-a", None },
    evacuated = { &[], &[], "west-a", Some(Exclusion::Evacuated) },
    evacuated_and_not_allowed = { &["north"], &[], "west-a", Some(Exclusion::Region) },
    unknown_region = { &["east"], &[], "north-a", Some(Exclusion::Region) },
    zone_of_an_unknown_region = { &["east-a"], &[], "east-a", Some(Exclusion::Region) },
    unrestricted_zone_of_an_unknown_region = { &[], &[], "east-a", None },
)]
fn zone_is_permitted_by_all_rules(
    by_route: &[&str],
    by_workspace: &[&str],
    zone: &str,
    expected: Option<Exclusion>,
) {
    let (settings, route, workspace) = (settings(), route(by_route), workspace(by_workspace));
    let evacuated = names(&["west-a"]);
    let zones = Zones::new(&settings, &route, Some(&workspace), &evacuated);

    assert_eq!(zones.exclusion(zone), expected);
}

fn roll_outs(phase: Option<Phase>) -> RollOuts {
    let newest = phase.map(|phase| RollOut {
        serial: 1,
        service: "service".into(),
        target: "v2".into(),
        length_ms: 10_000,
        phase,
        share: 300,
        elapsed_ms: 0,
    });
    RollOuts { newest: newest.into_iter().collect(), withdrawn: Vec::new() }
}

fn phase() -> impl Strategy<Value = Option<Phase>> {
    let phases = [Phase::Pending, Phase::Trial, Phase::Moving, Phase::Complete, Phase::RolledBack];
    prop::option::of(prop::sample::select(phases.to_vec()))
}

proptest! {
    /// Guards against a fallback that sends to a zone where the request may not be served, whatever
    /// the state of the endpoints and of a roll-out, and against one that sends to an endpoint that
    /// warms up.
    #[test]
    fn no_choice_leaves_the_permitted_zones(
        drawn in prop::collection::vec((0..4_usize, 0..2_u32, 0..6_u32), 0..12),
        allowed in prop::sample::subsequence(vec!["north", "south", "west", "unknown"], 1..4),
        evacuated in prop::sample::subsequence(ZONES.map(|(zone, _)| zone).to_vec(), 0..4),
        phase in phase(),
        id in any::<u64>(),
    ) {
        let endpoints: Vec<Rc<Endpoint>> = drawn.iter().enumerate().map(|(number, (zone, version, state))| {
            let endpoint = endpoint(number, ZONES[*zone].0, if *version == 0 { "v1" } else { "v2" });
            match state {
                0 => drop(endpoint.record_leaving()),
                1 => drop(endpoint.record_unreachable()),
                2 => {
                    let mut cold = endpoint.announcement.borrow().clone();
                    cold.warm_up_left_ms = 60_000;
                    endpoint.update(cold);
                }
                _ => {}
            }
            endpoint
        }).collect();
        let (settings, route, evacuated) = (settings(), route(&allowed), names(&evacuated));
        let metadata = RequestMetadata {
            id: id.to_string(),
            parts: [1, id].map(|id| PromptPart { id, tokens: 9_000 }).into_iter().collect(),
            ..RequestMetadata::default()
        };
        let roll_outs = roll_outs(phase);
        let context = PickContext {
            route: &route,
            metadata: &metadata,
            service: &"service".into(),
            roll_outs: &roll_outs,
            version_in_force: None,
            tried: &[],
            entries: 3,
            token_ms: Some(0.05),
            is_in_region: &|zone| zone.starts_with("north"),
            zones: Zones::new(&settings, &route, None, &evacuated),
            cold_limit: ColdLimit::Announced,
            kept: kept::Outlook { uses_per_s: 1.0, retention_s: 20.0 },
        memory_tokens: None,
        };
        let may_serve = |endpoint: &Endpoint| {
            let zone = endpoint.announcement.borrow().zone.clone();
            let region = settings.known_region(&zone).unwrap_or_default();
            allowed.contains(&region) && !evacuated.contains(&zone)
        };

        let chosen = pick::choose(&context, &endpoints);
        let cold = pick::cold_candidates(&context, &endpoints);
        let outlook = pick::outlook(&context, &endpoints, boot_time());

        let now = boot_time();
        prop_assert!(chosen.is_none_or(|choice| may_serve(&choice.endpoint) && !choice.endpoint.is_cold(now)));
        prop_assert!(cold.iter().all(|endpoint| may_serve(endpoint) && endpoint.is_cold(now)));
        let is_excluded = !endpoints.is_empty() && !endpoints.iter().any(|endpoint| may_serve(endpoint));
        prop_assert_eq!(outlook == Outlook::Excluded, is_excluded);
    }
}
