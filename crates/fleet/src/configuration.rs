//! The complete configuration that an operator signs off, identified by its number.

pub mod earlier;

use std::collections::HashMap;
use std::collections::HashSet;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Complete configuration of a fleet. The one with the highest number is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number given by the operator; it increases, but not always by 1.
    pub number: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// `None` if requests need no key. With an empty list all keys are unknown, and only public
    /// routes can be used.
    #[serde(with = "workspaces")]
    pub workspaces: Option<Vec<Workspace>>,
    pub limits: Limits,
}

/// Returns the form of a host in which hosts are compared: their names have no case.
pub fn host_key(host: &str) -> Name {
    host.to_ascii_lowercase().into()
}

impl Configuration {
    /// API keys of all workspaces.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.workspaces.iter().flatten().flat_map(|workspace| &workspace.keys).map(|key| &**key)
    }
}

/// Kind of a route: how often its requests may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Any number of times.
    Safe,
    /// At most once.
    Unsafe,
    /// A stream of events; at most once unless the route is resumable.
    Stream,
}

/// Selects requests by host and path prefix and sends them to services.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    pub name: Name,
    /// Host without port.
    pub host: Name,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Name,
    pub kind: Kind,
    /// Time after which a request fails.
    pub timeout_ms: u64,
    /// Target latency; a later answer is worth less to the caller.
    pub target_ms: u64,
    /// Target for the time between two events of a stream.
    pub target_gap_ms: u64,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Models to choose from, the smallest first. Empty if callers name the model.
    pub models: Vec<Name>,
    pub targets: Vec<Target>,
    /// Maximum number of endpoints to which one request is sent.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be resumed at another endpoint.
    pub resumable: bool,
    /// Regions in which its requests may be served. Empty if they may be served anywhere.
    pub allowed_regions: Vec<Name>,
}

impl Route {
    /// Whether a request of this route may run more than once.
    pub fn is_repeatable(&self) -> bool {
        match self.kind {
            Kind::Safe => true,
            Kind::Unsafe => false,
            Kind::Stream => self.resumable,
        }
    }
}

/// Share of a route's requests that goes to a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    pub service: Name,
    /// Weight among the targets of the route.
    pub weight: u64,
}

/// Group of endpoints with the same function.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Maximum number of connections that an endpoint accepts, from all entries together.
    pub max_connections: u32,
    /// `None` for plain services.
    pub engine: Option<Engine>,
    /// `None` if the requests to endpoints that warm up need no limit.
    pub cold_start: Option<ColdStart>,
}

/// What the endpoints of a service bear until they have warmed up.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Requests per second that an endpoint tolerates from all entries together.
    pub requests_per_s: f64,
    /// Whether endpoints are cold after each start. Otherwise they are only when they say so.
    pub after_start: bool,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
    pub models: Vec<Model>,
}

/// A model and its price.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    pub name: Name,
    /// Price per 1,000 generated tokens; prompt tokens cost a quarter of it.
    pub cost: f64,
}

/// A customer of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that is sent to endpoints.
    pub name: Name,
    /// API keys of its callers.
    pub keys: Vec<Name>,
    /// Rank of its requests; it takes precedence over the rank of the route.
    pub rank: Option<u8>,
    /// Regions in which its requests may be served. Empty if they may be served anywhere.
    pub allowed_regions: Vec<Name>,
}

/// Limits on the requests and connections of clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request head.
    pub header_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time limit for receiving a request head.
    pub header_ms: u64,
    /// Time after which an idle connection is closed.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Invalid {
    /// A route names a service that the configuration does not have.
    #[display("route {route} names the unknown service {service}")]
    UnknownService { route: String, service: String },
    /// Two routes match the same requests.
    #[display("routes {first} and {second} have the same host and path prefix")]
    DuplicateRoute { first: String, second: String },
    #[display("the weights of route {route} add up to 0")]
    ZeroWeight { route: String },
    #[display("the timeout of route {route} is 0")]
    ZeroTimeout { route: String },
    /// Two workspaces have the same key.
    #[display("workspaces {first} and {second} have the same key")]
    DuplicateKey { first: String, second: String },
}

impl Configuration {
    /// Checks the rules that the decoder does not enforce.
    pub fn validate(&self) -> Result<(), Invalid> {
        let services: HashSet<&str> = self.services.iter().map(|service| &*service.name).collect();
        let mut locations = HashMap::new();
        for route in &self.routes {
            let name = || route.name.to_string();
            let unknown = route.targets.iter().find(|target| !services.contains(&*target.service));
            if let Some(target) = unknown {
                let service = target.service.to_string();
                return Err(Invalid::UnknownService { route: name(), service });
            }
            if route.targets.iter().map(|target| u128::from(target.weight)).sum::<u128>() == 0 {
                return Err(Invalid::ZeroWeight { route: name() });
            }
            if route.timeout_ms == 0 {
                return Err(Invalid::ZeroTimeout { route: name() });
            }
            let location = (host_key(&route.host), &route.prefix);
            if let Some(first) = locations.insert(location, &route.name) {
                return Err(Invalid::DuplicateRoute { first: first.to_string(), second: name() });
            }
        }
        self.validate_keys()
    }

    fn validate_keys(&self) -> Result<(), Invalid> {
        // Two workspaces may have one name.
        let mut owners: HashMap<&str, (usize, &Name)> = HashMap::new();
        for (number, workspace) in self.workspaces.iter().flatten().enumerate() {
            for key in &workspace.keys {
                let owner = owners.insert(key, (number, &workspace.name));
                if let Some((_, first)) = owner.filter(|(owner, _)| *owner != number) {
                    let (first, second) = (first.to_string(), workspace.name.to_string());
                    return Err(Invalid::DuplicateKey { first, second });
                }
            }
        }
        Ok(())
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| &*service.name == name)
    }
}

/// Encodes the workspaces for logs, snapshots and links.
///
/// Earlier versions wrote no option but a list, which they read as `None` if it was empty. So an
/// empty list is written as one workspace without a name and keys, which they take for a list of
/// workspaces too.
mod workspaces {
    use serde::Deserialize;
    use serde::Deserializer;
    use serde::Serialize;
    use serde::Serializer;

    use super::Workspace;

    fn placeholder() -> Workspace {
        Workspace { name: "".into(), keys: Vec::new(), rank: None, allowed_regions: Vec::new() }
    }

    pub(super) fn serialize<S: Serializer>(
        workspaces: &Option<Vec<Workspace>>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match workspaces.as_deref() {
            None => <&[Workspace]>::default().serialize(serializer),
            Some([]) => [placeholder()].as_slice().serialize(serializer),
            Some(workspaces) => workspaces.serialize(serializer),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Vec<Workspace>>, D::Error> {
        Vec::<Workspace>::deserialize(deserializer).map(decoded)
    }

    /// Returns the workspaces for which an encoded list stands.
    pub(super) fn decoded(workspaces: Vec<Workspace>) -> Option<Vec<Workspace>> {
        match workspaces.as_slice() {
            [] => None,
            [only] if *only == placeholder() => Some(Vec::new()),
            _ => Some(workspaces),
        }
    }
}
