//! The configuration in the form that requests are routed by.

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

use crate::authority::Caller;

/// Parsed configuration at one revision.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The configuration as received.
    pub config: Config,
    /// The active bundle.
    pub active: Option<Arc<Bundle>>,
    /// The bundle under roll-out and its share of requests, 0 to 1.
    pub candidate: Option<(Arc<Bundle>, f64)>,
}

impl Routing {
    /// Parses the bundles of `config`.
    pub fn new(config: Config) -> eyre::Result<Self> {
        let active = config.active.as_ref().map(parse).transpose()?;
        let candidate = config
            .candidate
            .as_ref()
            .map(|candidate| {
                Ok::<_, eyre::Report>((parse(&candidate.published)?, candidate.share()))
            })
            .transpose()?;
        Ok(Self { config, active, candidate })
    }

    /// Chooses the version for a request. `wanted` is a model or one version; the session's pin
    /// goes first. A version without an endpoint is passed over unless the session is pinned to it
    /// or the caller names it.
    pub fn choose(
        &self,
        caller: &Caller,
        wanted: Option<&Version>,
        pin: Option<&Version>,
        serves: &dyn Fn(&Version) -> bool,
    ) -> error::Result<Chosen> {
        let ask = choice::Query {
            workspace: &caller.workspace,
            request: &caller.request,
            session: caller.session.as_ref(),
            pin,
        };
        let config = self.choice(&self.config.withdrawn)?;
        if let Some(pin) = pin
            && let Some(chosen) = choice::version(&config, &ask, &pin.model())
            && !chosen.moved
        {
            return Ok(chosen);
        }
        let bundle = choice::bundle(&config, &ask);
        let terms = bundle.workspaces.get(&caller.workspace).unwrap_or(&caller.terms);
        let moved = pin.is_some();
        if let Some(wanted) = wanted {
            check_wanted(bundle, terms, caller, wanted)?;
            if wanted.contains('/') && !self.config.withdrawn.contains(wanted) {
                return Ok(Chosen { version: wanted.clone(), moved });
            }
        }
        let models = match wanted {
            Some(wanted) if wanted.contains('/') => Vec::new(),
            Some(wanted) => vec![wanted.model()],
            None => terms.versions.iter().map(|share| share.version.model()).collect(),
        };
        let ask = choice::Query { pin: None, ..ask };
        let chosen = self.first_served(&ask, &models, serves)?;
        chosen.map(|version| Chosen { version, moved }).ok_or_else(|| {
            Error::new(Kind::NoEndpoint, "every allowed version is withdrawn or has no endpoint")
        })
    }

    /// The version of the first of `models` that has one with an endpoint.
    fn first_served(
        &self,
        ask: &choice::Query<'_>,
        models: &[Model],
        serves: &dyn Fn(&Version) -> bool,
    ) -> error::Result<Option<Version>> {
        for model in models {
            let mut passed_over = Cow::Borrowed(&self.config.withdrawn);
            while let Some(chosen) = choice::version(&self.choice(&passed_over)?, ask, model) {
                if serves(&chosen.version) {
                    return Ok(Some(chosen.version));
                }
                passed_over.to_mut().insert(chosen.version);
            }
        }
        Ok(None)
    }

    fn choice<'a>(&'a self, withdrawn: &'a BTreeSet<Version>) -> error::Result<choice::Config<'a>> {
        let active = self
            .active
            .as_deref()
            .ok_or_else(|| Error::new(Kind::NoEndpoint, "no bundle is in force"))?;
        let candidate = self.candidate.as_ref();
        let candidate = candidate.map(|(bundle, share)| (&**bundle, *share));
        Ok(choice::Config { active, candidate, withdrawn })
    }

    /// Price of `version` per 1,000 tokens.
    pub fn price(&self, version: &Version) -> f64 {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let mut bundles = self.active.iter().chain(candidate);
        let terms = bundles.find_map(|bundle| bundle.versions.get(version));
        terms.map_or(0.0, |terms| terms.price_per_1k)
    }

    /// Terms of a plain service.
    pub fn service(&self, service: &Service) -> Option<&ServiceConfig> {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let mut bundles = self.active.iter().chain(candidate);
        bundles.find_map(|bundle| bundle.services.get(service))
    }

    /// The workspace whose key hashes to `key_sha256`, under the active or the candidate bundle.
    pub fn workspace(&self, key_sha256: &str) -> Option<(&Workspace, &WorkspaceConfig)> {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let bundles = self.active.iter().chain(candidate);
        bundles.into_iter().find_map(|bundle| bundle.workspace_by_key(key_sha256))
    }
}

/// Fails when `wanted` is unknown or not allowed for the workspace.
fn check_wanted(
    bundle: &Bundle,
    terms: &WorkspaceConfig,
    caller: &Caller,
    wanted: &Version,
) -> error::Result<()> {
    let matches = |version: &Version| {
        version == wanted || (!wanted.contains('/') && version.model() == wanted.model())
    };
    if !bundle.versions.keys().any(matches) {
        return Err(Error::new(Kind::NotFound, format!("there is no model or version {wanted}")));
    }
    if !terms.versions.iter().any(|share| matches(&share.version)) {
        let message = format!("workspace {} may not use {wanted}", caller.workspace);
        return Err(Error::new(Kind::NotAllowed, message));
    }
    Ok(())
}

fn parse(published: &PublishedBundle) -> eyre::Result<Arc<Bundle>> {
    let file = format!("bundle {}", published.bundle);
    let bundle = bundle::parse(&file, &published.text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        eyre::eyre!(lines.join("\n"))
    })?;
    Ok(Arc::new(bundle))
}
