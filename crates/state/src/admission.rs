//! Whether a target may be used: the bundles in force and the withdrawals.

use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;

use crate::command::Revision;
use crate::config::Config;
use crate::machine::Contents;
use crate::machine::Machine;
use crate::record::Target;

/// Endpoint names that are shared between records before the table is started anew.
const MAX_ENDPOINTS: usize = 100_000;

/// The parsed bundles of a configuration, and names shared between records to save memory.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rules {
    active: Option<Arc<Bundle>>,
    candidate: Option<Arc<Bundle>>,
    endpoints: BTreeSet<Endpoint>,
}

impl Rules {
    pub(crate) fn of(config: &Config) -> Self {
        let active = config.active.as_ref();
        let candidate = config.candidate.as_ref();
        Self {
            active: active.and_then(|published| parse(&published.text)),
            candidate: candidate.and_then(|candidate| parse(&candidate.published.text)),
            endpoints: BTreeSet::new(),
        }
    }

    pub(crate) fn active(&self) -> Option<&Bundle> {
        self.active.as_deref()
    }

    pub(crate) fn candidate(&self) -> Option<&Bundle> {
        self.candidate.as_deref()
    }

    /// Whether the active or the candidate bundle allows `workspace` to use `target`.
    pub(crate) fn allows(&self, workspace: &Workspace, target: &Target) -> bool {
        let bundles = self.active.iter().chain(&self.candidate);
        bundles.filter_map(|bundle| bundle.workspaces.get(workspace)).any(|terms| match target {
            Target::Version(version) => terms.allows(version),
            Target::Service(service) => terms.services.contains(service),
        })
    }

    /// Whether `version` is new in the bundle that is being rolled out.
    pub(crate) fn is_new(&self, version: &Version) -> bool {
        let names = |bundle: &Arc<Bundle>| bundle.versions.contains_key(version);
        self.candidate.as_ref().is_some_and(names) && !self.active.as_ref().is_some_and(names)
    }

    /// `target` with its name shared with the bundle.
    pub(crate) fn share_target(&self, target: &Target) -> Target {
        let Target::Version(version) = target else { return target.clone() };
        let mut bundles = self.active.iter().chain(&self.candidate);
        let known = bundles.find_map(|bundle| bundle.versions.get_key_value(version));
        known.map_or_else(|| target.clone(), |(known, _)| Target::Version(known.clone()))
    }

    /// `endpoint` with its name shared with the other records.
    pub(crate) fn share_endpoint(&mut self, endpoint: &Endpoint) -> Endpoint {
        if let Some(known) = self.endpoints.get(endpoint) {
            return known.clone();
        }
        if self.endpoints.len() >= MAX_ENDPOINTS {
            self.endpoints.clear();
        }
        self.endpoints.insert(endpoint.clone());
        endpoint.clone()
    }
}

/// Bundles in the configuration were checked when they were submitted.
fn parse(text: &str) -> Option<Arc<Bundle>> {
    bundle::parse("bundle", text).ok().map(Arc::new)
}

impl Contents {
    /// Refuses a version that is withdrawn, or that was withdrawn after the revision that the
    /// entry routed by: such an entry may not know of the withdrawal.
    pub(crate) fn check_withdrawn(&self, target: &Target, routed: Revision) -> error::Result<()> {
        let Target::Version(version) = target else { return Ok(()) };
        let Some(withdrawal) = self.withdrawals.get(version) else { return Ok(()) };
        if withdrawal.lifted.is_none() {
            let message = format!("version {version} is withdrawn since {}", withdrawal.revision);
            return Err(Error::new(Kind::StaleRevision, message));
        }
        if routed < withdrawal.revision {
            let message = format!(
                "routed by revision {routed}; version {version} was withdrawn at {}",
                withdrawal.revision
            );
            return Err(Error::new(Kind::StaleRevision, message));
        }
        Ok(())
    }
}

impl Machine {
    /// Checks that `workspace` may use `target` when routed by revision `routed`.
    pub(crate) fn admit(
        &self,
        workspace: &Workspace,
        target: &Target,
        routed: Revision,
    ) -> error::Result<()> {
        self.contents.check_withdrawn(target, routed)?;
        if self.rules.allows(workspace, target) {
            return Ok(());
        }
        let name: &str = match target {
            Target::Version(version) => version,
            Target::Service(service) => service,
        };
        Err(Error::new(Kind::NotAllowed, format!("workspace {workspace} may not use {name}")))
    }

    /// Whether a session may stay on `version`.
    pub(crate) fn keeps(&self, workspace: &Workspace, version: &Version) -> bool {
        !self.contents.config.withdrawn.contains(version)
            && self.rules.allows(workspace, &Target::Version(version.clone()))
    }
}
