//! What a run consists of: the deployment's sizes and latencies, the workload, the policy and the
//! faults.

use std::collections::BTreeMap;
use std::time::Duration;

use hickoryreel_base::bundle::Weights;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::choice;
use hickoryreel_policy::eject;
use hickoryreel_policy::limit;
use hickoryreel_policy::pick;
use hickoryreel_policy::queue;
use hickoryreel_policy::retry;
use hickoryreel_policy::view;
use hickoryreel_policy::weights::Tuning;

use crate::engine::Spec;
use crate::fault::Planned;
use crate::workload;
use crate::workload::Stream;

/// Number of entries.
pub const ENTRIES: usize = 8;
/// Number of workspaces.
pub const WORKSPACES: usize = 10;
/// One-way latency to the caller.
pub const CALLER: Duration = Duration::from_millis(3);
/// One-way latency between availability zones of a region.
pub const ZONES: Duration = Duration::from_millis(1);
/// One-way latency between regions.
pub const REGIONS: Duration = Duration::from_millis(12);
/// Target for the first token, by rank.
pub const TARGETS: [Duration; 3] =
    [Duration::from_millis(350), Duration::from_secs(2), Duration::from_secs(30)];
/// Target between tokens for urgent work, in seconds.
pub const GAP_TARGET_S: f64 = 0.045;
/// Price of traffic between regions, per gigabyte.
const REGION_PRICE: f64 = 0.02;

/// A deployment's size.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Regions.
    pub regions: [&'static str; 3],
    /// Model engines.
    pub engines: usize,
    /// Engines of the small model when both models are served.
    pub small: usize,
    /// Plain services.
    pub services: usize,
    /// Weights of the measures.
    pub weights: Weights,
}

/// The stock registry.
pub fn registry() -> Deployment {
    Deployment {
        name: "registry",
        regions: ["attica", "macedonia", "crete"],
        engines: 12,
        small: 5,
        services: 3,
        weights: Weights { urgent_latency: 3.0, exposure: 1.0, flood: 1.0 },
    }
}

/// The auction house.
pub fn auction() -> Deployment {
    Deployment {
        name: "auction",
        regions: ["khomas", "oshana", "erongo"],
        engines: 18,
        small: 7,
        services: 3,
        weights: Weights { urgent_latency: 1.0, exposure: 2.0, flood: 2.0 },
    }
}

/// Plain policies to compare with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plain {
    /// Requests go at once to the next endpoint in turn.
    RoundRobin,
    /// One queue in order of arrival, without ranks and workspaces.
    ArrivalOrder,
    /// The large model answers everything.
    AlwaysLarge,
}

/// Engines of one model.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The model. Its only version is `MODEL/1`.
    pub model: Model,
    /// Number of engines.
    pub engines: usize,
    /// Speed and size.
    pub spec: Spec,
    /// Price of 1,000 tokens.
    pub price: f64,
}

impl Pool {
    /// Requests per second that the pool can serve within the target between tokens.
    pub fn capacity(&self) -> f64 {
        let (missing, output) = (workload::mean_missing(), workload::mean_output());
        let rate = |batch: usize| {
            let prefill = (batch as f64 * missing / output).min(f64::from(self.spec.chunk));
            let step = self.spec.base_s
                + self.spec.request_s * batch as f64
                + prefill / self.spec.prefill_per_s;
            (step, batch as f64 / (output * step))
        };
        let within = (1..=self.spec.max_running).map(rate).filter(|(s, _)| *s <= GAP_TARGET_S);
        self.engines as f64 * within.map(|(_, rate)| rate).fold(0.0, f64::max)
    }
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Seed.
    pub seed: u64,
    /// Length of the arrivals.
    pub length: Duration,
    /// Regions.
    pub regions: [&'static str; 3],
    /// Pools.
    pub pools: Vec<Pool>,
    /// Arrivals.
    pub streams: Vec<Stream>,
    /// Faults in order of time.
    pub faults: Vec<Planned>,
    /// The plain policy, or the policy crate.
    pub plain: Option<Plain>,
    /// Settings of the policy crate.
    pub policy: Policy,
}

/// Settings of the policy crate.
#[derive(Clone, Debug)]
pub struct Policy {
    /// View, limits and ejection.
    pub view: view::Settings,
    /// Admission.
    pub queue: queue::Settings,
    /// Endpoint choice.
    pub pick: pick::Settings,
    /// Model choice.
    pub choice: choice::Settings,
    /// Retries.
    pub retry: retry::Settings,
    /// Whether urgent requests may use a cascade.
    pub urgent_cascade: bool,
}

impl Policy {
    /// The settings for a deployment's weights.
    pub fn new(regions: &[&'static str; 3], weights: &Weights) -> Self {
        let tuning = Tuning::new(weights);
        let mut prices = BTreeMap::new();
        for from in regions {
            for to in regions.iter().filter(|to| *to != from) {
                prices.insert((Region::from(*from), Region::from(*to)), REGION_PRICE);
            }
        }
        Self {
            view: view::Settings {
                limit: tuning.limit(limit::Settings::default()),
                eject: eject::Settings::default(),
                ..view::Settings::default()
            },
            queue: queue::Settings::default(),
            pick: pick::Settings { region_prices: prices, ..pick::Settings::default() },
            choice: choice::Settings::default(),
            retry: retry::Settings::default(),
            urgent_cascade: tuning.urgent_cascade,
        }
    }
}

/// Engine of the large model.
pub const LARGE: Spec = Spec {
    base_s: 0.018,
    request_s: 0.0003,
    prefill_per_s: 16_000.0,
    chunk: 256,
    max_running: 64,
    prefixes: 200,
};

/// Engine of the small model.
pub const SMALL: Spec = Spec {
    base_s: 0.010,
    request_s: 0.0002,
    prefill_per_s: 40_000.0,
    chunk: 512,
    max_running: 96,
    prefixes: 200,
};

/// A plain service as the degenerate engine: one short step for each call.
pub const SERVICE: Spec = Spec {
    base_s: 0.004,
    request_s: 0.0005,
    prefill_per_s: 1_000_000.0,
    chunk: 100_000,
    max_running: 32,
    prefixes: 0,
};

impl Setup {
    /// A run with one model on all engines and no arrivals.
    pub fn one_model(deployment: &Deployment, seed: u64, length_s: u64) -> Self {
        let engines = deployment.engines;
        let pool = Pool { model: Model::from("large"), engines, spec: LARGE, price: 6.0 };
        Self::new(deployment, seed, length_s, vec![pool])
    }

    /// A run with both models and no arrivals.
    pub fn two_models(deployment: &Deployment, seed: u64, length_s: u64) -> Self {
        let (small, large) = (deployment.small, deployment.engines - deployment.small);
        let pools = vec![
            Pool { model: Model::from("small"), engines: small, spec: SMALL, price: 1.0 },
            Pool { model: Model::from("large"), engines: large, spec: LARGE, price: 6.0 },
        ];
        Self::new(deployment, seed, length_s, pools)
    }

    fn new(deployment: &Deployment, seed: u64, length_s: u64, mut pools: Vec<Pool>) -> Self {
        let engines = deployment.services;
        pools.push(Pool {
            model: Model::from(workload::SERVICE_MODEL),
            engines,
            spec: SERVICE,
            price: 0.0,
        });
        Self {
            seed,
            length: Duration::from_secs(length_s),
            regions: deployment.regions,
            pools,
            streams: Vec::new(),
            faults: Vec::new(),
            plain: None,
            policy: Policy::new(&deployment.regions, &deployment.weights),
        }
    }

    /// Requests per second that the first pool can serve.
    pub fn capacity(&self) -> f64 {
        self.pools[0].capacity()
    }

    /// Adds arrivals of `rank` at `rate` requests per second in total, divided over the workspaces
    /// by `parts`.
    pub fn arrivals(mut self, rank: Rank, rate: f64, parts: &[f64], model: Option<&str>) -> Self {
        let sum: f64 = parts.iter().sum();
        for (index, part) in parts.iter().enumerate().filter(|(_, part)| **part > 0.0) {
            self.streams.push(Stream {
                workspace: workspace(index),
                rank,
                rate: rate * part / sum,
                swing: 0.0,
                surges: Vec::new(),
                entries: vec![1.0; ENTRIES],
                model: model.map(Model::from),
            });
        }
        self
    }

    /// Multiplies the arrivals of `rank` between two times, in seconds.
    pub fn surge(mut self, rank: Rank, from_s: u64, to_s: u64, factor: f64) -> Self {
        let window = (Duration::from_secs(from_s), Duration::from_secs(to_s), factor);
        for stream in self.streams.iter_mut().filter(|stream| stream.rank == rank) {
            stream.surges.push(window);
        }
        self
    }

    /// The same run under a plain policy.
    pub fn under(&self, plain: Plain) -> Self {
        Self { plain: Some(plain), ..self.clone() }
    }
}

/// Name of a workspace.
pub fn workspace(index: usize) -> Workspace {
    Workspace::from(format!("w{index}"))
}

/// Parts of the traffic: three large workspaces and seven small ones.
pub const PARTS: [f64; WORKSPACES] = [6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
