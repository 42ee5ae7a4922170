//! Configurations as builds before allowed regions and cold starts wrote them to logs and snapshots.
//!
//! The binary format has no field names, so a new field makes the earlier bytes unreadable. These
//! builds passed over the restrictions in an operator's text, so a converted configuration has none:
//! the operator puts it in force again under a higher number.

use serde::Deserialize;
use serde::Serialize;

use super::Engine;
use super::Kind;
use super::Limits;
use super::Target;
use crate::Name;

/// See [`super::Configuration`].
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Configuration {
    pub number: u64,
    pub routes: Vec<Route>,
    pub services: Vec<Service>,
    /// A list without entries stands for none; see [`super::workspaces`].
    pub workspaces: Vec<Workspace>,
    pub limits: Limits,
}

/// See [`super::Route`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    pub host: Name,
    pub prefix: Name,
    pub kind: Kind,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub target_gap_ms: u64,
    pub rank: u8,
    pub models: Vec<Name>,
    pub targets: Vec<Target>,
    pub attempts: u32,
    pub public: bool,
    pub resumable: bool,
}

/// See [`super::Service`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    pub health_path: Name,
    pub max_connections: u32,
    pub engine: Option<Engine>,
}

/// See [`super::Workspace`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Workspace {
    pub name: Name,
    pub keys: Vec<Name>,
    pub rank: Option<u8>,
}

impl From<Configuration> for super::Configuration {
    fn from(earlier: Configuration) -> Self {
        let Configuration { number, routes, services, workspaces, limits } = earlier;
        let workspaces = workspaces.into_iter().map(super::Workspace::from).collect();
        Self {
            number,
            routes: routes.into_iter().map(super::Route::from).collect(),
            services: services.into_iter().map(super::Service::from).collect(),
            workspaces: super::workspaces::decoded(workspaces),
            limits,
        }
    }
}

impl From<Route> for super::Route {
    fn from(earlier: Route) -> Self {
        Self {
            name: earlier.name,
            host: earlier.host,
            prefix: earlier.prefix,
            kind: earlier.kind,
            timeout_ms: earlier.timeout_ms,
            target_ms: earlier.target_ms,
            target_gap_ms: earlier.target_gap_ms,
            rank: earlier.rank,
            models: earlier.models,
            targets: earlier.targets,
            attempts: earlier.attempts,
            public: earlier.public,
            resumable: earlier.resumable,
            allowed_regions: Vec::new(),
        }
    }
}

impl From<Service> for super::Service {
    fn from(earlier: Service) -> Self {
        let Service { name, health_path, max_connections, engine } = earlier;
        Self { name, health_path, max_connections, engine, cold_start: None }
    }
}

impl From<Workspace> for super::Workspace {
    fn from(earlier: Workspace) -> Self {
        let Workspace { name, keys, rank } = earlier;
        Self { name, keys, rank, allowed_regions: Vec::new() }
    }
}
