//! Model and version choice.
//!
//! [`version`] chooses among the versions of one model: withdrawn and disallowed versions are
//! excluded, a session keeps its pin, and a hash of session or request decides between the active
//! and the candidate bundle and then between the shares. [`Planner`] chooses between models:
//! the plan (cheap, cascade or large) with the least cost at the quality target, from Beta
//! posteriors per task kind and model.

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

/// Seed of the hash that decides between the active and the candidate bundle.
const BUNDLE_SEED: u64 = 1;
/// Seed of the hash that decides between versions, independent of the bundle's hash.
const VERSION_SEED: u64 = 2;

/// The configuration in force at the entry.
#[derive(Clone, Copy, Debug)]
pub struct Config<'a> {
    /// The active bundle.
    pub active: &'a Bundle,
    /// The bundle being rolled out, with its fraction of the traffic, 0 to 1.
    pub candidate: Option<(&'a Bundle, f64)>,
    /// Versions that may receive no new work.
    pub withdrawn: &'a BTreeSet<Version>,
}

/// A request, as far as the version choice is concerned.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Workspace of the request.
    pub workspace: &'a Workspace,
    /// The caller's request id.
    pub request: &'a Request,
    /// Session of the request.
    pub session: Option<&'a Session>,
    /// Version that the session is pinned to.
    pub pin: Option<&'a Version>,
}

/// A chosen version.
#[derive(Clone, Debug, PartialEq)]
pub struct Chosen {
    /// The version.
    pub version: Version,
    /// Whether the session left its pinned version because that one may not be used any more.
    pub moved: bool,
}

/// The bundle that applies to the request.
pub fn bundle<'a>(config: &Config<'a>, query: &Query<'_>) -> &'a Bundle {
    match config.candidate {
        Some((candidate, fraction)) if hash_fraction(query, BUNDLE_SEED) < fraction => candidate,
        _ => config.active,
    }
}

/// Chooses the version of `model`; `None` when the workspace may use none of them now.
pub fn version(config: &Config<'_>, query: &Query<'_>, model: &Model) -> Option<Chosen> {
    let terms = bundle(config, query).workspaces.get(query.workspace)?;
    let pin = query.pin.filter(|pin| pin.model() == *model);
    if let Some(pin) = pin
        && !config.withdrawn.contains(pin)
        && allowed_by_any_bundle(config, query, pin)
    {
        return Some(Chosen { version: pin.clone(), moved: false });
    }
    let shares = || {
        terms.versions.iter().filter(|share| {
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

/// A pin made under one bundle stays valid while either bundle in force allows it.
fn allowed_by_any_bundle(config: &Config<'_>, query: &Query<'_>, version: &Version) -> bool {
    let candidate = config.candidate.map(|(bundle, _)| bundle);
    [Some(config.active), candidate].into_iter().flatten().any(|bundle| {
        bundle.workspaces.get(query.workspace).is_some_and(|terms| terms.allows(version))
    })
}

fn is_of_model(version: &Version, model: &Model) -> bool {
    version.split('/').next() == Some(&**model)
}

/// A number in `[0, 1)` that is the same for all requests of a session.
fn hash_fraction(query: &Query<'_>, seed: u64) -> f64 {
    let key: &str = match query.session {
        Some(session) => session,
        None => query.request,
    };
    let seed = xxh3_64_with_seed(query.workspace.as_bytes(), seed);
    // 53 bits fill the mantissa, so the result is below 1.
    (xxh3_64_with_seed(key.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Price of a good answer before the first plan, as a multiple of the max_cost run.
const INITIAL_PRICE_FACTOR: f64 = 5.0;

/// Beta posterior of a probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beta {
    /// Prior and observed successes.
    pub successes: f64,
    /// Prior and observed failures.
    pub failures: f64,
}

impl Beta {
    /// Mean.
    pub fn mean(&self) -> f64 {
        self.successes / (self.successes + self.failures)
    }

    /// Observations, the prior included.
    pub fn count(&self) -> f64 {
        self.successes + self.failures
    }

    /// Takes in one observation; `max_count` bounds the weight of the past, so that the posterior
    /// follows a change.
    pub fn observe(&mut self, good: bool, max_count: f64) {
        if self.count() >= max_count {
            let decay = (max_count - 1.0) / self.count();
            self.successes *= decay;
            self.failures *= decay;
        }
        if good { self.successes += 1.0 } else { self.failures += 1.0 }
    }
}

/// What is known about a model on a task kind.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Posterior {
    /// The answer passes the check at run time.
    pub accepted: Beta,
    /// An answer that passed the check meets the quality bar.
    pub good_accepted: Beta,
    /// An answer that did not pass the check meets the quality bar.
    pub good_rejected: Beta,
}

impl Posterior {
    /// Probability that an answer delivered without looking at the check meets the bar.
    pub fn direct_quality(&self) -> f64 {
        let accepted = self.accepted.mean();
        accepted * self.good_accepted.mean() + (1.0 - accepted) * self.good_rejected.mean()
    }
}

impl Default for Posterior {
    /// A sceptical prior: a model without ratings is believed to be no better than a coin, so it
    /// is first used through a cascade.
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
    /// Share of answers that must meet the quality bar.
    pub target: f64,
    /// Added to the target, to cover the error of the posteriors.
    pub target_margin: f64,
    /// Output length that a request is expected to have, as a part of the limit that it states.
    pub output_fraction: f64,
    /// Share of requests whose plan may not be the best, to keep learning.
    pub exploration_rate: f64,
    /// Relative change of the price for one plan whose expected quality misses the target by 1.
    pub price_gain: f64,
    /// Most weight of past observations in a posterior.
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
    /// Whether a rank's `target` for the first token allows two runs: one whole run of at most
    /// `output_limit` tokens that are `gap` apart, and the first token of the second run.
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

/// How a request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Plan {
    /// One run.
    Direct(Model),
    /// A run of the first model, and one of the second when the check rejects the answer.
    Cascade {
        /// The cheaper model.
        first: Model,
        /// The model that runs when the first answer is rejected.
        then: Model,
    },
}

/// A model that may be used, with the expected cost of one run, in currency units.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The model.
    pub model: Model,
    /// Expected cost of one run.
    pub cost: f64,
}

/// Chooses between models at the least cost that keeps the quality target.
///
/// Each plan has an expected cost and an expected quality. The planner minimises
/// `cost - price * quality`, where `price` is what one more good answer may cost. The price is the
/// same for all task kinds, which spends the slack of the target where it saves most. It rises
/// after each plan whose expected quality is below the target and falls after each one above it.
#[derive(Clone, Debug)]
pub struct Planner {
    settings: Settings,
    posteriors: BTreeMap<(Task, Model), Posterior>,
    price: Option<f64>,
}

impl Planner {
    /// A planner without observations.
    pub fn new(settings: Settings) -> Self {
        Self { settings, posteriors: BTreeMap::new(), price: None }
    }

    /// What is known about `model` on `task`.
    pub fn posterior(&self, task: &Task, model: &Model) -> Posterior {
        self.posteriors.get(&(task.clone(), model.clone())).copied().unwrap_or_default()
    }

    /// Takes in the result of the check at run time.
    pub fn on_check(&mut self, task: &Task, model: &Model, accepted: bool) {
        let max_count = self.settings.max_count;
        self.posterior_mut(task, model).accepted.observe(accepted, max_count);
    }

    /// Takes in a rating. `accepted` is the result of the check for the rated answer.
    pub fn on_rating(&mut self, task: &Task, model: &Model, accepted: bool, good: bool) {
        let max_count = self.settings.max_count;
        let posterior = self.posterior_mut(task, model);
        let beta =
            if accepted { &mut posterior.good_accepted } else { &mut posterior.good_rejected };
        beta.observe(good, max_count);
    }

    /// Chooses the plan. `options` are the allowed models from cheap to dear; `two_runs` says
    /// whether the rank's time allows two runs; `random` is a number in `[0, 1)`.
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
