//! Admission: whether a workspace may use a target.
//!
//! The decision follows from the active and the candidate bundle and from the withdrawals.

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

/// Size at which the table of interned endpoint names is cleared, to bound its memory.
const MAX_INTERNED_ENDPOINTS: usize = 100_000;

/// The parsed bundles of a configuration, and endpoint names that are interned because many records
/// hold the same name.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParsedBundles {
    active: Option<Arc<Bundle>>,
    candidate: Option<Arc<Bundle>>,
    interned_endpoints: BTreeSet<Endpoint>,
}

impl ParsedBundles {
    pub(crate) fn of(config: &Config) -> Self {
        let active = config.active.as_ref();
        let candidate = config.candidate.as_ref();
        Self {
            active: active.and_then(|published| parse(&published.text)),
            candidate: candidate.and_then(|candidate| parse(&candidate.published.text)),
            interned_endpoints: BTreeSet::new(),
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
        bundles.filter_map(|bundle| bundle.workspaces.get(workspace)).any(|workspace_config| {
            match target {
                Target::Version(version) => workspace_config.allows(version),
                Target::Service(service) => workspace_config.services.contains(service),
            }
        })
    }

    /// Whether the candidate bundle has `version` and the active one does not.
    pub(crate) fn is_new(&self, version: &Version) -> bool {
        let defines_version = |bundle: &Arc<Bundle>| bundle.versions.contains_key(version);
        self.candidate.as_ref().is_some_and(defines_version)
            && !self.active.as_ref().is_some_and(defines_version)
    }

    /// Returns `target` with its version name shared with the bundle, to save memory.
    pub(crate) fn intern_target(&self, target: &Target) -> Target {
        let Target::Version(version) = target else { return target.clone() };
        let mut bundles = self.active.iter().chain(&self.candidate);
        let interned = bundles.find_map(|bundle| bundle.versions.get_key_value(version));
        interned.map_or_else(|| target.clone(), |(interned, _)| Target::Version(interned.clone()))
    }

    /// Returns `endpoint` with its name shared with other records, to save memory.
    pub(crate) fn intern_endpoint(&mut self, endpoint: &Endpoint) -> Endpoint {
        if let Some(interned) = self.interned_endpoints.get(endpoint) {
            return interned.clone();
        }
        if self.interned_endpoints.len() >= MAX_INTERNED_ENDPOINTS {
            self.interned_endpoints.clear();
        }
        self.interned_endpoints.insert(endpoint.clone());
        endpoint.clone()
    }
}

/// Parses a bundle of the configuration. It was validated when it was submitted, so no error is
/// expected.
fn parse(text: &str) -> Option<Arc<Bundle>> {
    bundle::parse("bundle", text).ok().map(Arc::new)
}

impl Contents {
    /// Refuses a version that is withdrawn, or that was withdrawn after `routing_revision`, the
    /// revision that the entry routed by: such an entry may not have seen the withdrawal.
    pub(crate) fn check_withdrawn(
        &self,
        target: &Target,
        routing_revision: Revision,
    ) -> error::Result<()> {
        let Target::Version(version) = target else { return Ok(()) };
        let Some(withdrawal) = self.withdrawals.get(version) else { return Ok(()) };
        if withdrawal.lifted.is_none() {
            let message =
                format!("version {version} is withdrawn since revision {}", withdrawal.revision);
            return Err(Error::new(Kind::StaleRevision, message));
        }
        if routing_revision < withdrawal.revision {
            let message = format!(
                "routed by revision {routing_revision}, but version {version} was withdrawn at {}",
                withdrawal.revision
            );
            return Err(Error::new(Kind::StaleRevision, message));
        }
        Ok(())
    }
}

impl Machine {
    /// Checks that `workspace` may use `target`, for an entry that routed by `routing_revision`.
    pub(crate) fn admit(
        &self,
        workspace: &Workspace,
        target: &Target,
        routing_revision: Revision,
    ) -> error::Result<()> {
        self.contents.check_withdrawn(target, routing_revision)?;
        if self.parsed.allows(workspace, target) {
            return Ok(());
        }
        let name: &str = match target {
            Target::Version(version) => version,
            Target::Service(service) => service,
        };
        Err(Error::new(Kind::NotAllowed, format!("workspace {workspace} may not use {name}")))
    }

    /// Whether a session of `workspace` may stay pinned to `version`.
    pub(crate) fn may_stay_pinned(&self, workspace: &Workspace, version: &Version) -> bool {
        !self.contents.config.withdrawn.contains(version)
            && self.parsed.allows(workspace, &Target::Version(version.clone()))
    }
}
