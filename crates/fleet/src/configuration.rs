//! The complete configuration that an operator approves, identified by its number.

use std::collections::HashMap;
use std::collections::HashSet;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// A complete configuration. The one with the highest number is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number given by the operator; it rises in uneven steps.
    pub number: u64,
    /// Routes in the operator's order.
    pub routes: Vec<Route>,
    /// Services that routes name.
    pub services: Vec<Service>,
    /// Workspaces; if there are none, requests need no key.
    pub workspaces: Vec<Workspace>,
    /// What clients may send.
    pub limits: Limits,
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Any number of times.
    Safe,
    /// At most once.
    Unsafe,
    /// A stream of events; at most once unless the route is resumable.
    Stream,
}

/// Which requests go to which services, and on which terms.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host without port.
    pub host: Name,
    /// Path prefix; it begins and ends with a slash.
    pub prefix: Name,
    /// How often a request may run.
    pub kind: Kind,
    /// Longest time a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer earns its full worth, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between events of a stream that is still on time, in milliseconds.
    pub gap_ms: u64,
    /// Rank; 0 is the most urgent.
    pub rank: u8,
    /// Models to choose from, the smallest first. Empty if callers name the model.
    pub models: Vec<Name>,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Endpoints to which one request may be sent at most.
    pub attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a stream may be continued at another endpoint.
    pub resumable: bool,
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
    /// Service.
    pub service: Name,
    /// Weight among the targets of the route.
    pub weight: u64,
}

/// A group of endpoints that do the same work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Path of the health check.
    pub health_path: Name,
    /// Connections that an endpoint accepts from all entries together.
    pub max_connections: u32,
    /// Properties of model engines; `None` for plain services.
    pub engine: Option<Engine>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Requests in one batch.
    pub slots: u32,
    /// Memory for cached tokens.
    pub memory_tokens: u64,
    /// Tokens in one event of a stream.
    pub stride: u32,
    /// Models with their price per 1,000 generated tokens.
    pub models: Vec<Model>,
}

/// A model and its price.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name.
    pub name: Name,
    /// Price per 1,000 generated tokens; tokens read count a quarter.
    pub cost: f64,
}

/// A customer of the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// Name that endpoints receive.
    pub name: Name,
    /// Keys of its callers.
    pub keys: Vec<Name>,
    /// Rank of its requests, before the rank of the route.
    pub rank: Option<u8>,
}

/// What a client may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a request head, in milliseconds.
    pub header_ms: u64,
    /// Time that a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 4 << 20, header_ms: 3_000, idle_ms: 15_000 }
    }
}

/// Why a configuration can't be accepted.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Invalid {
    /// A route names a service that the configuration does not have.
    #[display("route {route} names the unknown service {service}")]
    UnknownService {
        /// Route.
        route: String,
        /// Service.
        service: String,
    },
    /// Two routes match the same requests.
    #[display("routes {first} and {second} share host and prefix")]
    SamePlace {
        /// Earlier route.
        first: String,
        /// Later route.
        second: String,
    },
    /// The weights of a route add up to 0.
    #[display("the weights of route {route} add up to 0")]
    NoWeight {
        /// Route.
        route: String,
    },
    /// The timeout of a route is 0.
    #[display("the timeout of route {route} is 0")]
    NoTimeout {
        /// Route.
        route: String,
    },
    /// Two workspaces have the same key.
    #[display("workspaces {first} and {second} share a key")]
    SharedKey {
        /// Earlier workspace.
        first: String,
        /// Later workspace.
        second: String,
    },
}

impl Configuration {
    /// Checks what a decoder can't see.
    pub fn check(&self) -> Result<(), Invalid> {
        let services: HashSet<&str> = self.services.iter().map(|one| &*one.name).collect();
        let mut places = HashMap::new();
        for route in &self.routes {
            let name = || route.name.to_string();
            let unknown = route.targets.iter().find(|one| !services.contains(&*one.service));
            if let Some(target) = unknown {
                let service = target.service.to_string();
                return Err(Invalid::UnknownService { route: name(), service });
            }
            if route.targets.iter().map(|one| u128::from(one.weight)).sum::<u128>() == 0 {
                return Err(Invalid::NoWeight { route: name() });
            }
            if route.timeout_ms == 0 {
                return Err(Invalid::NoTimeout { route: name() });
            }
            if let Some(first) = places.insert((&route.host, &route.prefix), &route.name) {
                return Err(Invalid::SamePlace { first: first.to_string(), second: name() });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), Invalid> {
        let mut owners: HashMap<&str, &Name> = HashMap::new();
        for workspace in &self.workspaces {
            for key in &workspace.keys {
                match owners.insert(key, &workspace.name) {
                    Some(first) if *first != workspace.name => {
                        let first = first.to_string();
                        return Err(Invalid::SharedKey {
                            first,
                            second: workspace.name.to_string(),
                        });
                    }
                    _ => {}
                }
            }
        }
        Ok(())
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|one| &*one.name == name)
    }
}
