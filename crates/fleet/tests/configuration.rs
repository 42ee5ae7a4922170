//! Validation of configurations.

use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::configuration::Target;
use hickoryreel_fleet::configuration::Workspace;
use yare::parameterized;

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "host.example".into(),
        prefix: prefix.into(),
        kind: Kind::Safe,
        timeout_ms: 1_000,
        target_ms: 300,
        target_gap_ms: 300,
        rank: 0,
        models: Vec::new(),
        targets: vec![Target { service: "ledger".into(), weight: 1 }],
        attempts: 1,
        public: false,
        resumable: false,
        allowed_regions: Vec::new(),
    }
}

fn valid() -> Configuration {
    Configuration {
        number: 1,
        routes: vec![route("a", "/a/"), route("b", "/b/")],
        services: vec![Service {
            name: "ledger".into(),
            health_path: "/".into(),
            max_connections: 1,
            engine: None,
            cold_start: None,
        }],
        workspaces: Some(vec![
            Workspace {
                name: "w1".into(),
                keys: vec!["k1".into()],
                rank: None,
                allowed_regions: Vec::new(),
            },
            Workspace {
                name: "w2".into(),
                keys: vec!["k2".into()],
                rank: None,
                allowed_regions: Vec::new(),
            },
        ]),
        limits: Limits::default(),
    }
}

fn workspaces(configuration: &mut Configuration) -> &mut Vec<Workspace> {
    configuration.workspaces.as_mut().expect("there are workspaces")
}

/// Guards against the rejection of a valid configuration, such as one where a workspace lists a key
/// twice.
#[test]
fn valid_configuration_passes() {
    let mut configuration = valid();
    workspaces(&mut configuration)[0].keys.push("k1".into());

    assert_eq!(configuration.validate(), Ok(()));
}

/// Guards against putting an invalid configuration in force.
#[parameterized(
    unknown_service = { |configuration| configuration.routes[0].targets[0].service = "none".into() },
    zero_weight = { |configuration| configuration.routes[0].targets[0].weight = 0 },
    zero_timeout = { |configuration| configuration.routes[1].timeout_ms = 0 },
    duplicate_route = { |configuration| configuration.routes[1].prefix = "/a/".into() },
    duplicate_route_in_another_case = { |configuration| {
        configuration.routes[1] = Route { host: "Host.EXAMPLE".into(), ..route("b", "/a/") };
    } },
    duplicate_key = { |configuration| workspaces(configuration)[1].keys.push("k1".into()) },
    duplicate_key_under_one_name = { |configuration| {
        workspaces(configuration)[1].keys.push("k1".into());
        workspaces(configuration)[1].name = "w1".into();
    } },
)]
fn invalid_configuration_is_refused(invalidate: fn(&mut Configuration)) {
    let mut configuration = valid();
    invalidate(&mut configuration);

    assert!(configuration.validate().is_err());
}

fn keyless() -> Workspace {
    Workspace { name: "w".into(), keys: Vec::new(), rank: None, allowed_regions: Vec::new() }
}

/// Guards against an empty list of workspaces that becomes a missing one on its way through a log, a
/// snapshot or a link.
#[parameterized(
    missing = { None },
    empty = { Some(Vec::new()) },
    without_keys = { Some(vec![keyless()]) },
    two = { valid().workspaces },
)]
fn workspaces_survive_encoding(workspaces: Option<Vec<Workspace>>) {
    let configuration = Configuration { workspaces, ..valid() };

    let encoded = postcard::to_stdvec(&configuration).expect("it can be encoded");

    assert_eq!(postcard::from_bytes(&encoded), Ok(configuration));
}

/// Guards against a log of an earlier version, where the workspaces are a plain list, that is decoded
/// into other keys.
#[parameterized(
    missing = { Vec::new(), None },
    without_keys = { vec![keyless()], Some(vec![keyless()]) },
)]
fn plain_list_of_workspaces_is_decoded(list: Vec<Workspace>, decoded: Option<Vec<Workspace>>) {
    let Configuration { number, routes, services, limits, .. } = valid();
    let earlier = (number, &routes, &services, list, &limits);

    let encoded = postcard::to_stdvec(&earlier).expect("it can be encoded");

    let expected = Configuration { workspaces: decoded, ..valid() };
    assert_eq!(postcard::from_bytes(&encoded), Ok(expected));
}
