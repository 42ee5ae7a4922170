//! The configuration, prepared for routing requests.

use std::borrow::Cow;
use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::ServiceConfig;
use hickoryreel_base::bundle::WorkspaceConfig;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_policy::choice;
use hickoryreel_policy::choice::Chosen;
use hickoryreel_state::config::Config;
use hickoryreel_state::config::PublishedBundle;

use crate::caller::Caller;

/// The parsed configuration at one revision.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The configuration as received from control.
    pub config: Config,
    pub active: Option<Arc<Bundle>>,
    /// The bundle that is being rolled out, and its share of the requests, 0 to 1.
    pub candidate: Option<(Arc<Bundle>, f64)>,
}

impl Routing {
    /// Parses the bundles of `config`.
    pub fn new(config: Config) -> eyre::Result<Self> {
        let active = config.active.as_ref().map(parse_bundle).transpose()?;
        let candidate = config
            .candidate
            .as_ref()
            .map(|candidate| {
                Ok::<_, eyre::Report>((parse_bundle(&candidate.published)?, candidate.share()))
            })
            .transpose()?;
        Ok(Self { config, active, candidate })
    }

    /// Chooses the version for a request. `requested` is a model or a specific version. The
    /// session's pin takes precedence. A version without an endpoint is skipped, unless the session
    /// is pinned to it or the caller requested it by name.
    pub fn choose(
        &self,
        caller: &Caller,
        requested: Option<&Version>,
        pin: Option<&Version>,
        serves: &dyn Fn(&Version) -> bool,
    ) -> error::Result<Chosen> {
        let query = choice::Query {
            workspace: &caller.workspace,
            request: &caller.request,
            session: caller.session.as_ref(),
            pin,
        };
        let config = self.choice_config(&self.config.withdrawn)?;
        if let Some(pin) = pin
            && let Some(chosen) = choice::version(&config, &query, &pin.model())
            && !chosen.moved
        {
            return Ok(chosen);
        }
        let bundle = choice::bundle(&config, &query);
        let workspace_config =
            bundle.workspaces.get(&caller.workspace).unwrap_or(&caller.workspace_config);
        let moved = pin.is_some();
        if let Some(requested) = requested {
            check_requested(bundle, workspace_config, caller, requested)?;
            if requested.contains('/') && !self.config.withdrawn.contains(requested) {
                return Ok(Chosen { version: requested.clone(), moved });
            }
        }
        let models = match requested {
            Some(requested) if requested.contains('/') => Vec::new(),
            Some(requested) => vec![requested.model()],
            None => workspace_config.versions.iter().map(|share| share.version.model()).collect(),
        };
        let query = choice::Query { pin: None, ..query };
        let chosen = self.first_served(&query, &models, serves)?;
        chosen.map(|version| Chosen { version, moved }).ok_or_else(|| {
            Error::new(Kind::NoEndpoint, "every allowed version is withdrawn or has no endpoint")
        })
    }

    /// Chooses a version with an endpoint of the first of `models` that has one.
    fn first_served(
        &self,
        query: &choice::Query<'_>,
        models: &[Model],
        serves: &dyn Fn(&Version) -> bool,
    ) -> error::Result<Option<Version>> {
        for model in models {
            let mut excluded = Cow::Borrowed(&self.config.withdrawn);
            while let Some(chosen) = choice::version(&self.choice_config(&excluded)?, query, model)
            {
                if serves(&chosen.version) {
                    return Ok(Some(chosen.version));
                }
                excluded.to_mut().insert(chosen.version);
            }
        }
        Ok(None)
    }

    fn choice_config<'a>(
        &'a self,
        withdrawn: &'a BTreeSet<Version>,
    ) -> error::Result<choice::Config<'a>> {
        let active = self
            .active
            .as_deref()
            .ok_or_else(|| Error::new(Kind::NoEndpoint, "no bundle is active"))?;
        let candidate = self.candidate.as_ref();
        let candidate = candidate.map(|(bundle, share)| (&**bundle, *share));
        Ok(choice::Config { active, candidate, withdrawn })
    }

    /// Price of `version` per 1,000 tokens; 0 if no bundle contains it.
    pub fn price(&self, version: &Version) -> f64 {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let mut bundles = self.active.iter().chain(candidate);
        let version_config = bundles.find_map(|bundle| bundle.versions.get(version));
        version_config.map_or(0.0, |config| config.price_per_1k)
    }

    /// Configuration of a plain service.
    pub fn service(&self, service: &Service) -> Option<&ServiceConfig> {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let mut bundles = self.active.iter().chain(candidate);
        bundles.find_map(|bundle| bundle.services.get(service))
    }

    /// The workspace whose key has this hash, in the active or the candidate bundle.
    pub fn workspace(&self, key_sha256: &str) -> Option<(&Workspace, &WorkspaceConfig)> {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let bundles = self.active.iter().chain(candidate);
        bundles.into_iter().find_map(|bundle| bundle.workspace_by_key(key_sha256))
    }
}

/// Fails if `requested` is unknown or not allowed for the workspace.
fn check_requested(
    bundle: &Bundle,
    workspace_config: &WorkspaceConfig,
    caller: &Caller,
    requested: &Version,
) -> error::Result<()> {
    let matches = |version: &Version| {
        version == requested || (!requested.contains('/') && version.model() == requested.model())
    };
    if !bundle.versions.keys().any(matches) {
        return Err(Error::new(
            Kind::NotFound,
            format!("there is no model or version {requested}"),
        ));
    }
    if !workspace_config.versions.iter().any(|share| matches(&share.version)) {
        let message = format!("workspace {} may not use {requested}", caller.workspace);
        return Err(Error::new(Kind::NotAllowed, message));
    }
    Ok(())
}

fn parse_bundle(published: &PublishedBundle) -> eyre::Result<Arc<Bundle>> {
    let file = format!("bundle {}", published.bundle);
    let bundle = bundle::parse(&file, &published.text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        eyre::eyre!(lines.join("\n"))
    })?;
    Ok(Arc::new(bundle))
}
