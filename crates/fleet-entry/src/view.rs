//! The entry's copy of the agreed state, and how long it may be relied on.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::configuration::host_key;
use hickoryreel_fleet::former_keys;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet::roll_out::RollOuts;

use crate::credentials::FormerKeys;

/// Maximum age of the confirmation at which an unknown key or route is a permanent error. With an
/// older one the entry may lack the configuration that added them.
const FRESH_MAX_AGE: Duration = Duration::from_millis(2_000);

/// A configuration with lookup tables.
#[derive(Debug, Default)]
pub struct Index {
    pub configuration: Configuration,
    hosts: HashMap<Name, Vec<Arc<Route>>>,
    workspaces: HashMap<Name, Arc<Workspace>>,
    services: HashMap<Name, Arc<Service>>,
}

impl Index {
    fn new(configuration: Configuration) -> Self {
        let mut hosts: HashMap<Name, Vec<Arc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            hosts.entry(host_key(&route.host)).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let mut workspaces = HashMap::new();
        for workspace in configuration.workspaces.iter().flatten() {
            let shared = Arc::new(workspace.clone());
            workspaces.extend(workspace.keys.iter().map(|key| (key.clone(), Arc::clone(&shared))));
        }
        let services = configuration.services.iter();
        let services =
            services.map(|service| (service.name.clone(), Arc::new(service.clone()))).collect();
        Self { configuration, hosts, workspaces, services }
    }

    /// Finds the route with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Finds the workspace that has an API key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.workspaces.get(key)
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Whether requests of routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.configuration.workspaces.is_some()
    }
}

/// Copy of the agreed state.
#[derive(Debug, Default)]
pub struct View {
    /// The configuration in force; `None` before the first one is known.
    pub index: Option<Arc<Index>>,
    pub roll_outs: RollOuts,
    /// Version in force of each service that has one.
    versions: BTreeMap<Name, Name>,
    /// Availability zones whose endpoints get no requests.
    pub evacuated: Vec<Name>,
    /// Revision of the roll-outs, the versions in force and the evacuations.
    pub revision: u64,
    /// Keys of earlier configurations.
    former_keys: FormerKeys,
    /// Send time of the latest poll that confirmed this copy.
    confirmed_at: Option<Duration>,
}

impl View {
    /// Applies agreed state that a quorum confirmed after `asked_at`. Returns whether this copy
    /// changed. An older configuration from another replica never replaces a newer one.
    pub fn confirm(&mut self, asked_at: Duration, confirmed: Confirmed) -> bool {
        let mut changed = false;
        if let Some(configuration) = confirmed.configuration
            && configuration.number > self.number()
        {
            let index = Arc::new(Index::new(*configuration));
            if let Some(earlier) = self.index.replace(index) {
                let keys = earlier.workspaces.keys();
                keys.for_each(|key| self.former_keys.add(former_keys::hash(key)));
            }
            confirmed.former_keys.into_iter().for_each(|hash| self.former_keys.add(hash));
            changed = true;
        }
        if let Some((roll_outs, evacuated)) = confirmed.roll_outs.zip(confirmed.evacuated)
            && confirmed.revision > self.revision
        {
            self.roll_outs = roll_outs;
            self.versions = confirmed.versions.unwrap_or_default();
            self.evacuated = evacuated;
            self.revision = confirmed.revision;
            changed = true;
        }
        // Nothing newer than this copy was in force when the poll was sent.
        if confirmed.number <= self.number() {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
        changed
    }

    /// Number of the configuration; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.index.as_ref().map_or(0, |index| index.configuration.number)
    }

    /// Version in force of a service; `None` if none has been agreed on yet.
    pub fn version_in_force(&self, service: &str) -> Option<&Name> {
        self.versions.get(service)
    }

    /// Whether a word is an API key of this or an earlier configuration.
    pub fn is_key(&self, word: &str) -> bool {
        let is_current = self.index.as_ref().is_some_and(|index| index.workspace(word).is_some());
        is_current || self.former_keys.contains(word)
    }

    /// Whether the state was confirmed by a poll that was sent at `time` or later.
    pub fn is_confirmed_since(&self, time: Duration) -> bool {
        self.confirmed_at.is_some_and(|at| at >= time)
    }

    /// Time since the state was confirmed; `None` if it never was.
    pub fn age(&self) -> Option<Duration> {
        self.confirmed_at.map(|at| boot_time().saturating_sub(at))
    }

    /// Whether keys may be accepted under a lease of `length`.
    pub fn has_lease(&self, length: Duration) -> bool {
        self.age().is_some_and(|age| age < length)
    }

    /// Whether an unknown key or route is a permanent error.
    pub fn is_fresh(&self) -> bool {
        self.has_lease(FRESH_MAX_AGE)
    }
}
