//! Traffic mixes of the two deployments.

use derive_more::Display;
use hickoryreel_base::rank::Rank;

/// Traffic of one deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct Mix {
    pub deployment: &'static str,
    pub kinds: Vec<Kind>,
    /// Share of traffic of each workspace, relative to the others. The first few are large.
    pub workspace_weights: Vec<f64>,
    /// Plain service and path of run-once calls.
    pub run_once_path: &'static str,
}

/// One kind of request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    pub rank: Rank,
    /// Share of all requests, relative to the other kinds.
    pub weight: f64,
    pub work: Work,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A streamed completion.
    Completion {
        /// Number of filler words in the prompt.
        prompt_words: u32,
        max_tokens: u32,
        /// Whether the request belongs to a session.
        session: bool,
    },
    /// A call to a plain service that must run at most once.
    RunOnce,
}

/// Name of a mix.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Preset {
    /// The stall stock registry.
    #[display("registry")]
    Registry,
    /// The auction house.
    #[display("auctions")]
    Auctions,
}

impl std::str::FromStr for Preset {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "registry" => Ok(Self::Registry),
            "auctions" => Ok(Self::Auctions),
            _ => Err(format!("unknown preset {text:?}, expected registry or auctions")),
        }
    }
}

impl Preset {
    /// Returns the mix of this preset.
    #[must_use]
    pub fn mix(self) -> Mix {
        match self {
            Self::Registry => registry(),
            Self::Auctions => auctions(),
        }
    }
}

fn completion(rank: Rank, weight: f64, prompt_words: u32, max_tokens: u32, session: bool) -> Kind {
    Kind { rank, weight, work: Work::Completion { prompt_words, max_tokens, session } }
}

/// Inspectors' summaries are urgent, stallholders' questions normal, batch summaries bulk.
fn registry() -> Mix {
    Mix {
        deployment: "registry",
        kinds: vec![
            completion(Rank::Urgent, 0.15, 200, 60, false),
            completion(Rank::Normal, 0.45, 60, 80, true),
            completion(Rank::Bulk, 0.25, 400, 200, false),
            Kind { rank: Rank::Normal, weight: 0.15, work: Work::RunOnce },
        ],
        workspace_weights: workspace_weights(),
        run_once_path: "ledger/transfers",
    }
}

/// Live catalogues are urgent, buyers' questions normal, condition tags bulk.
fn auctions() -> Mix {
    Mix {
        deployment: "auctions",
        kinds: vec![
            completion(Rank::Urgent, 0.2, 500, 150, false),
            completion(Rank::Normal, 0.35, 80, 80, true),
            completion(Rank::Bulk, 0.25, 100, 20, false),
            Kind { rank: Rank::Urgent, weight: 0.2, work: Work::RunOnce },
        ],
        workspace_weights: workspace_weights(),
        run_once_path: "bidding/bids",
    }
}

/// Ten workspaces, three of them large.
fn workspace_weights() -> Vec<f64> {
    vec![10.0, 8.0, 6.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0]
}
