//! Inputs of a run: size and latencies of the deployment, workload, policy settings and faults.

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
use crate::fault::ScheduledFault;
use crate::workload;
use crate::workload::Stream;

pub const ENTRIES: usize = 8;
pub const WORKSPACES: usize = 10;
/// One-way latency between caller and entry.
pub const CALLER_LATENCY: Duration = Duration::from_millis(3);
/// One-way latency between availability zones of a region.
pub const ZONE_LATENCY: Duration = Duration::from_millis(1);
/// One-way latency between regions.
pub const REGION_LATENCY: Duration = Duration::from_millis(12);
/// Target for the time to first token, by rank.
pub const FIRST_TOKEN_TARGETS: [Duration; 3] =
    [Duration::from_millis(350), Duration::from_secs(2), Duration::from_secs(30)];
/// Target for the time between tokens of urgent requests, in seconds.
pub const TOKEN_GAP_TARGET_S: f64 = 0.045;
const REGION_PRICE_PER_GB: f64 = 0.02;

/// Size of a deployment and weights of its objectives.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub regions: [&'static str; 3],
    /// Number of model engines.
    pub engines: usize,
    /// Number of engines that serve the small model when both models are served.
    pub small_engines: usize,
    /// Number of instances of the plain service.
    pub services: usize,
    /// Weights of the objectives.
    pub weights: Weights,
}

/// Returns the deployment of the stock registry.
pub fn registry() -> Deployment {
    Deployment {
        name: "registry",
        regions: ["attica", "macedonia", "crete"],
        engines: 12,
        small_engines: 5,
        services: 3,
        weights: Weights { urgent_latency: 3.0, exposure: 1.0, flood: 1.0 },
    }
}

/// Returns the deployment of the auction house.
pub fn auction() -> Deployment {
    Deployment {
        name: "auction",
        regions: ["khomas", "oshana", "erongo"],
        engines: 18,
        small_engines: 7,
        services: 3,
        weights: Weights { urgent_latency: 1.0, exposure: 2.0, flood: 2.0 },
    }
}

/// Simple policies that results are compared with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BaselinePolicy {
    /// Each request is dispatched at once, and endpoints take turns.
    RoundRobin,
    /// One queue in order of arrival that ignores ranks and workspaces.
    ArrivalOrder,
    /// All requests run on the large model.
    AlwaysLarge,
}

/// Engines that serve one model.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Model; its only version is `MODEL/1`.
    pub model: Model,
    pub engines: usize,
    /// Speed and capacity of each engine.
    pub spec: Spec,
    /// Price of 1,000 tokens.
    pub price: f64,
}

impl Pool {
    /// Requests per second that the pool can serve within the target for the time between tokens.
    pub fn capacity(&self) -> f64 {
        let (uncached, output) = (workload::mean_uncached_prompt(), workload::mean_output_tokens());
        let rate = |batch: usize| {
            let prefill =
                (batch as f64 * uncached / output).min(f64::from(self.spec.prefill_chunk));
            let step = self.spec.base_s
                + self.spec.request_s * batch as f64
                + prefill / self.spec.prefill_per_s;
            (step, batch as f64 / (output * step))
        };
        let within =
            (1..=self.spec.max_running).map(rate).filter(|(step, _)| *step <= TOKEN_GAP_TARGET_S);
        self.engines as f64 * within.map(|(_, rate)| rate).fold(0.0, f64::max)
    }
}

/// Inputs of one run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Time during which requests arrive.
    pub length: Duration,
    pub regions: [&'static str; 3],
    /// Pools of the models, from small to large, followed by the pool of the plain service.
    pub pools: Vec<Pool>,
    /// Arrival processes.
    pub streams: Vec<Stream>,
    pub faults: Vec<ScheduledFault>,
    /// Baseline policy to run under; absent for the routing policy.
    pub baseline: Option<BaselinePolicy>,
    /// Settings of the routing policy.
    pub policy: Policy,
}

/// Settings of the routing policy.
#[derive(Clone, Debug)]
pub struct Policy {
    /// View of the endpoints, concurrency limits and outlier ejection.
    pub view: view::Settings,
    /// Admission queues.
    pub queue: queue::Settings,
    pub pick: pick::Settings,
    pub choice: choice::Settings,
    /// Retry budgets.
    pub retry: retry::Settings,
    /// Whether urgent requests may run as a cascade.
    pub urgent_cascade: bool,
}

impl Policy {
    /// Returns the settings tuned for the weights of a deployment.
    pub fn new(regions: &[&'static str; 3], weights: &Weights) -> Self {
        let tuning = Tuning::new(weights);
        let mut prices = BTreeMap::new();
        for from in regions {
            for to in regions.iter().filter(|to| *to != from) {
                prices.insert((Region::from(*from), Region::from(*to)), REGION_PRICE_PER_GB);
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
pub const LARGE_ENGINE: Spec = Spec {
    base_s: 0.018,
    request_s: 0.0003,
    prefill_per_s: 16_000.0,
    prefill_chunk: 256,
    max_running: 64,
    cache_capacity: 200,
};

/// Engine of the small model.
pub const SMALL_ENGINE: Spec = Spec {
    base_s: 0.010,
    request_s: 0.0002,
    prefill_per_s: 40_000.0,
    prefill_chunk: 512,
    max_running: 96,
    cache_capacity: 200,
};

/// A plain service, modelled as an engine that runs one short step for each call.
pub const SERVICE_INSTANCE: Spec = Spec {
    base_s: 0.004,
    request_s: 0.0005,
    prefill_per_s: 1_000_000.0,
    prefill_chunk: 100_000,
    max_running: 32,
    cache_capacity: 0,
};

impl Setup {
    /// Creates a run in which all engines serve the large model, without arrivals.
    pub fn one_model(deployment: &Deployment, seed: u64, length_s: u64) -> Self {
        let engines = deployment.engines;
        let pool = Pool { model: Model::from("large"), engines, spec: LARGE_ENGINE, price: 6.0 };
        Self::new(deployment, seed, length_s, vec![pool])
    }

    /// Creates a run with both models, without arrivals.
    pub fn two_models(deployment: &Deployment, seed: u64, length_s: u64) -> Self {
        let (small, large) =
            (deployment.small_engines, deployment.engines - deployment.small_engines);
        let pools = vec![
            Pool { model: Model::from("small"), engines: small, spec: SMALL_ENGINE, price: 1.0 },
            Pool { model: Model::from("large"), engines: large, spec: LARGE_ENGINE, price: 6.0 },
        ];
        Self::new(deployment, seed, length_s, pools)
    }

    fn new(deployment: &Deployment, seed: u64, length_s: u64, mut pools: Vec<Pool>) -> Self {
        let engines = deployment.services;
        pools.push(Pool {
            model: Model::from(workload::SERVICE_MODEL),
            engines,
            spec: SERVICE_INSTANCE,
            price: 0.0,
        });
        Self {
            seed,
            length: Duration::from_secs(length_s),
            regions: deployment.regions,
            pools,
            streams: Vec::new(),
            faults: Vec::new(),
            baseline: None,
            policy: Policy::new(&deployment.regions, &deployment.weights),
        }
    }

    /// Requests per second that the first pool can serve.
    pub fn capacity(&self) -> f64 {
        self.pools[0].capacity()
    }

    /// Adds arrivals of `rank` at `rate` requests per second in total, split between the workspaces
    /// in proportion to `shares`.
    pub fn arrivals(mut self, rank: Rank, rate: f64, shares: &[f64], model: Option<&str>) -> Self {
        let sum: f64 = shares.iter().sum();
        for (index, share) in shares.iter().enumerate().filter(|(_, share)| **share > 0.0) {
            self.streams.push(Stream {
                workspace: workspace(index),
                rank,
                rate: rate * share / sum,
                swing: 0.0,
                surges: Vec::new(),
                entries: vec![1.0; ENTRIES],
                model: model.map(Model::from),
            });
        }
        self
    }

    /// Multiplies the arrival rate of `rank` by `factor` between two times, in seconds.
    pub fn surge(mut self, rank: Rank, from_s: u64, to_s: u64, factor: f64) -> Self {
        let window = (Duration::from_secs(from_s), Duration::from_secs(to_s), factor);
        for stream in self.streams.iter_mut().filter(|stream| stream.rank == rank) {
            stream.surges.push(window);
        }
        self
    }

    /// Returns the same run under a baseline policy.
    pub fn under_baseline(&self, baseline: BaselinePolicy) -> Self {
        Self { baseline: Some(baseline), ..self.clone() }
    }
}

/// Returns the name of the workspace with this index.
pub fn workspace(index: usize) -> Workspace {
    Workspace::from(format!("w{index}"))
}

/// Relative traffic of the workspaces: three large and seven small ones.
pub const WORKSPACE_SHARES: [f64; WORKSPACES] = [6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];
