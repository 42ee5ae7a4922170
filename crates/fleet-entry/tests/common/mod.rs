//! Configurations and announcements for tests.

use std::net::SocketAddrV4;

use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::configuration::Target;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::link::Confirmed;

/// Path prefixes of the routes: repeatable requests, requests that run once, and resumable streams.
pub(crate) const SAFE: &str = "/safe/";
pub(crate) const ONCE: &str = "/once/";
pub(crate) const STREAM: &str = "/stream/";

fn route(prefix: &str, kind: Kind) -> Route {
    Route {
        name: prefix.into(),
        host: "host".into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: 20_000,
        target_ms: 1_000,
        target_gap_ms: 600,
        rank: 0,
        models: Vec::new(),
        targets: vec![Target { service: "service".into(), weight: 1 }],
        attempts: 3,
        public: prefix != ONCE,
        resumable: true,
        allowed_regions: Vec::new(),
    }
}

pub(crate) fn configuration(number: u64) -> Configuration {
    Configuration {
        number,
        routes: vec![
            route(SAFE, Kind::Safe),
            route(ONCE, Kind::Unsafe),
            route(STREAM, Kind::Stream),
        ],
        services: vec![Service {
            name: "service".into(),
            health_path: "/".into(),
            max_connections: 100,
            engine: None,
            cold_start: None,
        }],
        workspaces: Some(vec![Workspace {
            name: "workspace".into(),
            keys: vec!["key".into()],
            rank: None,
            allowed_regions: Vec::new(),
        }]),
        limits: Limits { body_bytes: 1_000, ..Limits::default() },
    }
}

pub(crate) fn confirmed(configuration: Configuration) -> Confirmed {
    Confirmed {
        number: configuration.number,
        revision: 0,
        roll_outs: None,
        versions: None,
        evacuated: None,
        configuration: Some(Box::new(configuration)),
        former_keys: Vec::new(),
    }
}

pub(crate) fn announcement(number: usize, address: SocketAddrV4) -> Announcement {
    Announcement {
        id: format!("e{number}").into(),
        service: "service".into(),
        address,
        zone: "a".into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        warm_up_left_ms: 0,
        incarnation: 1,
        sequence: 1,
    }
}
