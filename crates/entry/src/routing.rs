//! The configuration in the form that requests are routed by.

use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::bundle::WorkspaceTerms;
use hickoryreel_base::name::Workspace;
use hickoryreel_state::config::Config;
use hickoryreel_state::config::Published;

/// Parsed configuration at one revision.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// The configuration as received.
    pub config: Config,
    /// The active bundle.
    pub active: Option<Arc<Bundle>>,
    /// The bundle under roll-out and its share of requests in percent.
    pub candidate: Option<(Arc<Bundle>, u8)>,
}

impl Routing {
    /// Parses the bundles of `config`.
    pub fn new(config: Config) -> eyre::Result<Self> {
        let active = config.active.as_ref().map(parse).transpose()?;
        let candidate = config
            .candidate
            .as_ref()
            .map(|candidate| {
                Ok::<_, eyre::Report>((parse(&candidate.published)?, candidate.percent))
            })
            .transpose()?;
        Ok(Self { config, active, candidate })
    }

    /// The bundle that a request with this hash follows.
    pub fn bundle(&self, hash: u64) -> Option<&Arc<Bundle>> {
        match &self.candidate {
            Some((bundle, percent)) if hash % 100 < u64::from(*percent) => Some(bundle),
            _ => self.active.as_ref(),
        }
    }

    /// The workspace whose key hashes to `key_sha256`, under the active or the candidate bundle.
    pub fn workspace(&self, key_sha256: &str) -> Option<(&Workspace, &WorkspaceTerms)> {
        let candidate = self.candidate.as_ref().map(|(bundle, _)| bundle);
        let bundles = self.active.iter().chain(candidate);
        bundles.into_iter().find_map(|bundle| bundle.workspace_by_key(key_sha256))
    }
}

fn parse(published: &Published) -> eyre::Result<Arc<Bundle>> {
    let file = format!("bundle {}", published.bundle);
    let bundle = bundle::parse(&file, &published.text).map_err(|mistakes| {
        let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
        eyre::eyre!(lines.join("\n"))
    })?;
    Ok(Arc::new(bundle))
}
