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
pub struct Ask<'a> {
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
pub fn bundle<'a>(config: &Config<'a>, ask: &Ask<'_>) -> &'a Bundle {
    match config.candidate {
        Some((candidate, fraction)) if unit(ask, BUNDLE_SEED) < fraction => candidate,
        _ => config.active,
    }
}

/// Chooses the version of `model`; `None` when the workspace may use none of them now.
pub fn version(config: &Config<'_>, ask: &Ask<'_>, model: &Model) -> Option<Chosen> {
    let terms = bundle(config, ask).workspaces.get(ask.workspace)?;
    let pin = ask.pin.filter(|pin| pin.model() == *model);
    if let Some(pin) = pin
        && !config.withdrawn.contains(pin)
        && allowed_anywhere(config, ask, pin)
    {
        return Some(Chosen { version: pin.clone(), moved: false });
    }
    let shares = || {
        terms.versions.iter().filter(|share| {
            let version = &share.version;
            of_model(version, model) && !config.withdrawn.contains(version) && share.weight > 0
        })
    };
    let total: u64 = shares().map(|share| u64::from(share.weight)).sum();
    let mut point = (unit(ask, VERSION_SEED) * total as f64) as u64;
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
fn allowed_anywhere(config: &Config<'_>, ask: &Ask<'_>, version: &Version) -> bool {
    let candidate = config.candidate.map(|(bundle, _)| bundle);
    [Some(config.active), candidate].into_iter().flatten().any(|bundle| {
        bundle.workspaces.get(ask.workspace).is_some_and(|terms| terms.allows(version))
    })
}

fn of_model(version: &Version, model: &Model) -> bool {
    version.split('/').next() == Some(&**model)
}

/// A number in `[0, 1)` that is the same for all requests of a session.
fn unit(ask: &Ask<'_>, seed: u64) -> f64 {
    let key: &str = match ask.session {
        Some(session) => session,
        None => ask.request,
    };
    let seed = xxh3_64_with_seed(ask.workspace.as_bytes(), seed);
    // 53 bits fill the mantissa, so the result is below 1.
    (xxh3_64_with_seed(key.as_bytes(), seed) >> 11) as f64 / (1_u64 << 53) as f64
}

/// Price of a good answer before the first plan, as a multiple of the dearest run.
const FIRST_PRICE: f64 = 5.0;

/// Beta posterior of a probability.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Beta {
    /// Prior and observed successes.
    pub good: f64,
    /// Prior and observed failures.
    pub bad: f64,
}

impl Beta {
    /// Mean.
    pub fn mean(&self) -> f64 {
        self.good / (self.good + self.bad)
    }

    /// Observations, the prior included.
    pub fn weight(&self) -> f64 {
        self.good + self.bad
    }

    /// Takes in one observation; `memory` bounds the weight of the past, so that the posterior
    /// follows a change.
    pub fn observe(&mut self, good: bool, memory: f64) {
        if self.weight() >= memory {
            let keep = (memory - 1.0) / self.weight();
            self.good *= keep;
            self.bad *= keep;
        }
        if good { self.good += 1.0 } else { self.bad += 1.0 }
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
    pub fn good(&self) -> f64 {
        let accepted = self.accepted.mean();
        accepted * self.good_accepted.mean() + (1.0 - accepted) * self.good_rejected.mean()
    }
}

impl Default for Posterior {
    /// A sceptical prior: a model without ratings is believed to be no better than a coin, so it
    /// is first used through a cascade.
    fn default() -> Self {
        Self {
            accepted: Beta { good: 1.0, bad: 1.0 },
            good_accepted: Beta { good: 9.0, bad: 1.0 },
            good_rejected: Beta { good: 0.5, bad: 0.5 },
        }
    }
}

/// Settings of the planner.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Share of answers that must meet the quality bar.
    pub target: f64,
    /// Added to the target, to cover the error of the posteriors.
    pub margin: f64,
    /// Output length that a request is expected to have, as a part of the limit that it states.
    pub output_part: f64,
    /// Share of requests whose plan may not be the best, to keep learning.
    pub explore: f64,
    /// Relative change of the price for one plan whose expected quality misses the target by 1.
    pub gain: f64,
    /// Most weight of past observations in a posterior.
    pub memory: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            target: 0.95,
            margin: 0.003,
            output_part: 0.85,
            explore: 0.005,
            gain: 0.2,
            memory: 2_000.0,
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
        gap.mul_f64(self.output_part * f64::from(output_limit)) + first_token <= target
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
        let memory = self.settings.memory;
        self.entry(task, model).accepted.observe(accepted, memory);
    }

    /// Takes in a rating. `accepted` is the result of the check for the rated answer.
    pub fn on_rating(&mut self, task: &Task, model: &Model, accepted: bool, good: bool) {
        let memory = self.settings.memory;
        let entry = self.entry(task, model);
        let beta = if accepted { &mut entry.good_accepted } else { &mut entry.good_rejected };
        beta.observe(good, memory);
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
        if random < self.settings.explore && two_runs && options.len() > 1 {
            let (first, then) = (&options[0], &options[options.len() - 1]);
            return Some(Plan::Cascade { first: first.model.clone(), then: then.model.clone() });
        }
        let dearest = options.iter().map(|option| option.cost).fold(0.0, f64::max);
        let price = self.price.unwrap_or(FIRST_PRICE * dearest);
        let (plan, _, quality) = self.best(task, options, two_runs, price)?;
        let wanted = self.settings.target + self.settings.margin;
        let moved = price * (self.settings.gain * (wanted - quality)).exp();
        self.price = Some(moved.clamp(0.1 * dearest, 1_000.0 * dearest));
        Some(plan)
    }

    fn best(
        &self,
        task: &Task,
        options: &[Candidate],
        two_runs: bool,
        price: f64,
    ) -> Option<(Plan, f64, f64)> {
        let direct = options.iter().map(|option| {
            let quality = self.posterior(task, &option.model).good();
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
        let cheap = self.posterior(task, &first.model);
        let large = self.posterior(task, &then.model);
        let accepted = cheap.accepted.mean();
        let cost = first.cost + (1.0 - accepted) * then.cost;
        if cost >= then.cost {
            return None;
        }
        let quality = accepted * cheap.good_accepted.mean() + (1.0 - accepted) * large.good();
        let plan = Plan::Cascade { first: first.model.clone(), then: then.model.clone() };
        Some((plan, cost, quality))
    }

    fn entry(&mut self, task: &Task, model: &Model) -> &mut Posterior {
        self.posteriors.entry((task.clone(), model.clone())).or_default()
    }
}
