//! Selection of models and versions.
//!
//! [`version`] selects among the versions of one model. It excludes withdrawn and disallowed
//! versions, keeps the version that a session is pinned to, and otherwise uses a hash of the
//! session or request to select the active or the candidate bundle and then a version by weight.
//! [`Planner`] selects between a single model and a cascade of two models: the plan with the lowest
//! cost at the quality target, from Beta posteriors for each task kind and model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::name::Model;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Task;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Seed of the hash that selects the active or the candidate bundle.
const BUNDLE_SEED: u64 = 1;
/// Seed of the hash that selects a version, so that it is independent of the bundle's hash.
const VERSION_SEED: u64 = 2;

/// Configuration in force at the entry.
#[derive(Clone, Copy, Debug)]
pub struct Config<'a> {
    pub active: &'a Bundle,
    /// The bundle that is being rolled out and its fraction of the traffic, 0 to 1.
    pub candidate: Option<(&'a Bundle, f64)>,
    /// Versions that may receive no new requests.
    pub withdrawn: &'a BTreeSet<Version>,
}

/// The attributes of a request that version selection uses.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    pub workspace: &'a Workspace,
    /// Request id that the caller set.
    pub request: &'a Request,
    /// Session of the request, if the caller stated one.
    pub session: Option<&'a Session>,
    /// Version that the session is pinned to, possibly of another model.
    pub pin: Option<&'a Version>,
}

/// The result of version selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    pub version: Version,
    /// Whether the session had to leave its pinned version because that version is withdrawn or no
    /// longer allowed.
    pub moved: bool,
}

/// Returns the bundle that applies to the request.
pub fn bundle<'a>(config: &Config<'a>, query: &Query<'_>) -> &'a Bundle {
    match config.candidate {
        Some((candidate, fraction)) if hash_fraction(query, BUNDLE_SEED) < fraction => candidate,
        _ => config.active,
    }
}

/// Selects a version of `model`. Returns `None` if the workspace may use none of them now.
pub fn version(config: &Config<'_>, query: &Query<'_>, model: &Model) -> Option<Chosen> {
    let workspace_config = bundle(config, query).workspaces.get(query.workspace)?;
    let pin = query.pin.filter(|pin| pin.model() == *model);
    if let Some(pin) = pin
        && !config.withdrawn.contains(pin)
        && allowed_by_any_bundle(config, query, pin)
    {
        return Some(Chosen { version: pin.clone(), moved: false });
    }
    let shares = || {
        workspace_config.versions.iter().filter(|share| {
            let version = &share.version;
            is_of_model(version, model) && !config.withdrawn.contains(version) && share.weight > 0
        })
    };
    let total: u64 = shares().map(|share| u64::from(share.weight)).sum();
    let mut point = (hash_fraction(query, VERSION_SEED) * total as f64) as u64;
    for share in shares() {
        let weight = u64::from(share.weight);
        if point < weight {
            return Some(Chosen { version: share.version.clone(), moved: pin.is_some() });
        }
        point -= weight;
    }
    None
}

/// Whether the active or the candidate bundle allows the version. A pin that was made under one of
/// them stays valid while either allows it.
fn allowed_by_any_bundle(config: &Config<'_>, query: &Query<'_>, version: &Version) -> bool {
    let candidate = config.candidate.map(|(bundle, _)| bundle);
    [Some(config.active), candidate].into_iter().flatten().any(|bundle| {
        bundle
            .workspaces
            .get(query.workspace)
            .is_some_and(|workspace_config| workspace_config.allows(version))
    })
}

fn is_of_model(version: &Version, model: &Model) -> bool {
    version.split('/').next() == Some(&**model)
}

/// Hashes the request to a number in `[0, 1)` that is the same for all requests of a session.
fn hash_fraction(query: &Query<'_>, seed: u64) -> f64 {
    let key: &str = match query.session {
        Some(session) => session,
        None => query.request,
    };
    let seed = xxh3_64_with_seed(query.workspace.as_bytes(), seed);
    // The 53 bits fit the mantissa of an f64, so the division is exact and the result is below 1.
    (xxh3_64_with_seed(key.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Initial price of a good answer, as a multiple of the cost of the most expensive run.
const INITIAL_PRICE_FACTOR: f64 = 5.0;

/// Beta distribution of a probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beta {
    /// Prior plus observed successes.
    pub successes: f64,
    /// Prior plus observed failures.
    pub failures: f64,
}

impl Beta {
    pub fn mean(&self) -> f64 {
        self.successes / (self.successes + self.failures)
    }

    /// Effective number of observations, including the prior.
    pub fn count(&self) -> f64 {
        self.successes + self.failures
    }

    /// Adds one observation. `max_count` bounds the effective number of past observations, so that
    /// the posterior follows a change.
    pub fn observe(&mut self, good: bool, max_count: f64) {
        if self.count() >= max_count {
            let decay = (max_count - 1.0) / self.count();
            self.successes *= decay;
            self.failures *= decay;
        }
        if good { self.successes += 1.0 } else { self.failures += 1.0 }
    }
}

/// Posteriors of one model for one task kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Posterior {
    /// Probability that an answer passes the run-time check.
    pub accepted: Beta,
    /// Probability that an answer that passed the check meets the quality bar.
    pub good_accepted: Beta,
    /// Probability that an answer that failed the check meets the quality bar.
    pub good_rejected: Beta,
}

impl Posterior {
    /// Probability that an answer meets the quality bar if it is delivered whatever the check says.
    pub fn direct_quality(&self) -> f64 {
        let accepted = self.accepted.mean();
        accepted * self.good_accepted.mean() + (1.0 - accepted) * self.good_rejected.mean()
    }
}

impl Default for Posterior {
    /// A pessimistic prior: a model without observations passes the check with probability 0.5, so
    /// it is first used through a cascade.
    fn default() -> Self {
        Self {
            accepted: Beta { successes: 1.0, failures: 1.0 },
            good_accepted: Beta { successes: 9.0, failures: 1.0 },
            good_rejected: Beta { successes: 0.5, failures: 0.5 },
        }
    }
}

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Share of answers that must meet the quality bar, 0 to 1.
    pub target: f64,
    /// Margin added to the target to cover the estimation error of the posteriors.
    pub target_margin: f64,
    /// Expected output length as a fraction of the output limit that the request states.
    pub output_fraction: f64,
    /// Share of requests that are planned for exploration rather than at the lowest cost.
    pub exploration_rate: f64,
    /// Change of the logarithm of the price per plan and unit of difference between the target and
    /// the plan's expected quality.
    pub price_gain: f64,
    /// Maximum effective number of observations in a posterior.
    pub max_count: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            target: 0.95,
            target_margin: 0.003,
            output_fraction: 0.85,
            exploration_rate: 0.005,
            price_gain: 0.2,
            max_count: 2_000.0,
        }
    }
}

impl Settings {
    /// Whether a rank's `target` for time to first token allows a cascade of two runs: a complete
    /// first run of at most `output_limit` tokens that are `gap` apart, and the first token of the
    /// second run.
    pub fn allows_two_runs(
        &self,
        target: Duration,
        output_limit: u32,
        gap: Duration,
        first_token: Duration,
    ) -> bool {
        gap.mul_f64(self.output_fraction * f64::from(output_limit)) + first_token <= target
    }
}

/// The runs that answer a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// One run.
    Direct(Model),
    /// One run of the first model, and one of the second if the check rejects the answer.
    Cascade { first: Model, then: Model },
}

/// A model that the request may use.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub model: Model,
    /// Expected cost of one run, in currency units.
    pub cost: f64,
}

/// Selects the plan with the lowest cost that keeps the quality target.
///
/// Each plan has an expected cost and an expected quality. The planner minimises
/// `cost - price * quality`, where `price` is what one more good answer may cost (the Lagrange
/// multiplier of the quality target). The price is the same for all task kinds, so that cheaper
/// plans are used where they save most. It rises after each plan whose expected quality is below
/// the target and falls after each plan above it.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    posteriors: BTreeMap<(Task, Model), Posterior>,
    price: Option<f64>,
}

impl Planner {
    pub fn new(settings: Settings) -> Self {
        Self { settings, posteriors: BTreeMap::new(), price: None }
    }

    /// The posteriors of `model` for `task`, or the prior if there are no observations.
    pub fn posterior(&self, task: &Task, model: &Model) -> Posterior {
        self.posteriors.get(&(task.clone(), model.clone())).copied().unwrap_or_default()
    }

    /// Records the result of a run-time check.
    pub fn on_check(&mut self, task: &Task, model: &Model, accepted: bool) {
        let max_count = self.settings.max_count;
        self.posterior_mut(task, model).accepted.observe(accepted, max_count);
    }

    /// Records a rating. `accepted` is the result of the run-time check of the rated answer.
    pub fn on_rating(&mut self, task: &Task, model: &Model, accepted: bool, good: bool) {
        let max_count = self.settings.max_count;
        let posterior = self.posterior_mut(task, model);
        let beta =
            if accepted { &mut posterior.good_accepted } else { &mut posterior.good_rejected };
        beta.observe(good, max_count);
    }

    /// Selects a plan and adjusts the price of quality. `options` are the allowed models in order
    /// of increasing cost, `two_runs` states whether the rank's target allows a cascade, and
    /// `random` is a number in `[0, 1)` that decides on exploration.
    pub fn plan(
        &mut self,
        task: &Task,
        options: &[Candidate],
        two_runs: bool,
        random: f64,
    ) -> Option<Plan> {
        if random < self.settings.exploration_rate && two_runs && options.len() > 1 {
            let (first, then) = (&options[0], &options[options.len() - 1]);
            return Some(Plan::Cascade { first: first.model.clone(), then: then.model.clone() });
        }
        let max_cost = options.iter().map(|option| option.cost).fold(0.0, f64::max);
        let price = self.price.unwrap_or(INITIAL_PRICE_FACTOR * max_cost);
        let (plan, _, quality) = self.best_plan(task, options, two_runs, price)?;
        let required = self.settings.target + self.settings.target_margin;
        let adjusted = price * (self.settings.price_gain * (required - quality)).exp();
        self.price = Some(adjusted.clamp(0.1 * max_cost, 1_000.0 * max_cost));
        Some(plan)
    }

    fn best_plan(
        &self,
        task: &Task,
        options: &[Candidate],
        two_runs: bool,
        price: f64,
    ) -> Option<(Plan, f64, f64)> {
        let direct = options.iter().map(|option| {
            let quality = self.posterior(task, &option.model).direct_quality();
            (Plan::Direct(option.model.clone()), option.cost, quality)
        });
        let pairs = options
            .iter()
            .enumerate()
            .flat_map(|(index, first)| options[index + 1..].iter().map(move |then| (first, then)));
        let cascades =
            pairs.filter(|_| two_runs).filter_map(|(first, then)| self.cascade(task, first, then));
        direct.chain(cascades).min_by(|a, b| {
            let value = |plan: &(Plan, f64, f64)| plan.1 - price * plan.2;
            value(a).total_cmp(&value(b))
        })
    }

    fn cascade(
        &self,
        task: &Task,
        first: &Candidate,
        then: &Candidate,
    ) -> Option<(Plan, f64, f64)> {
        let first_posterior = self.posterior(task, &first.model);
        let then_posterior = self.posterior(task, &then.model);
        let accepted = first_posterior.accepted.mean();
        let cost = first.cost + (1.0 - accepted) * then.cost;
        if cost >= then.cost {
            return None;
        }
        let quality = accepted * first_posterior.good_accepted.mean()
            + (1.0 - accepted) * then_posterior.direct_quality();
        let plan = Plan::Cascade { first: first.model.clone(), then: then.model.clone() };
        Some((plan, cost, quality))
    }

    fn posterior_mut(&mut self, task: &Task, model: &Model) -> &mut Posterior {
        self.posteriors.entry((task.clone(), model.clone())).or_default()
    }
}
