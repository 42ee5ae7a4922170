//! Choice of the service, the version and the endpoint of a request.
//!
//! The service follows from the weights of the route, the version from the roll-outs, and
//! [`crate::placement`] limits the availability zones. The endpoints of these have estimated costs in
//! milliseconds: the expected delay, with penalties for failures, other regions and warm-up. All entries know the same loads, up to 300 ms late, so [`spread`]
//! chooses by the level to which the unseen load fills the endpoints. The endpoints that should keep
//! the beginning of the prompt are taken instead if the prefill that this saves is worth the
//! difference ([`crate::kept`]).
//!
//! This answers a burst of long prompts at hundreds of entries, each with a few requests a second.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::explanation::Reason;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOuts;
use rand::RngExt;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::Offer;
use crate::availability::Outlook;
use crate::dialect::RequestMetadata;
use crate::endpoint::ColdLimit;
use crate::endpoint::Endpoint;
use crate::kept;
use crate::placement::Permitted;
use crate::placement::Zones;
use crate::spread;
use crate::spread::Spread;

/// Denominator of the share of requests that go to a new version.
const SHARE_SCALE: u64 = 1_000;

/// A hop between regions takes 24 ms, and the traffic of a long prompt and its stream is billed.
const CROSS_REGION_COST_MS: f64 = 200.0;

/// Cost of an endpoint whose requests all fail: more than a retry.
const FAILURE_COST_MS: f64 = 2_000.0;

const WARM_UP_COST_MS: f64 = 300.0;

/// Factor on the prefill time that kept tokens save: a repeated prefill also delays the requests
/// behind it, and both the prefill and the use of the model are billed.
const KEPT_WEIGHT: f64 = 3.0;

/// Delay at an endpoint with a full batch; it grows with the fraction of its slots in use.
const BATCH_DELAY_MS: f64 = 250.0;

/// Assumed prompt length of a request of another entry that waits at an endpoint.
const WAITING_PROMPT_TOKENS: f64 = 2_000.0;

/// Delay at a plain endpoint with all slots in use: about the service time of one request.
const PLAIN_DELAY_MS: f64 = 120.0;

/// Prefill time that arrives at a busy model endpoint before the totals over all entries show it.
const UNSEEN_MS: f64 = 200.0;

/// The same for a plain endpoint, of whose slots several work at once.
const PLAIN_UNSEEN_MS: f64 = 80.0;

/// Bits of a hash that a floating-point number can't hold.
const HASH_SHIFT: u32 = 11;

/// Maximum number of endpoints that warm up for which an admission is requested at once.
const MAX_COLD_CANDIDATES: usize = 6;

/// Input of a choice besides the endpoints.
pub struct PickContext<'a> {
    pub route: &'a Route,
    pub metadata: &'a RequestMetadata,
    pub service: &'a Name,
    pub roll_outs: &'a RollOuts,
    /// Version in force of the service; `None` if none has been agreed on yet.
    pub version_in_force: Option<&'a Name>,
    /// Ids of the endpoints to which the request was sent before.
    pub tried: &'a [Name],
    /// Number of entries in the fleet.
    pub entries: u32,
    /// Prefill time per prompt token; `None` for plain services.
    pub token_ms: Option<f64>,
    /// Whether a zone is in the entry's region.
    pub is_in_region: &'a dyn Fn(&str) -> bool,
    /// Where the request may be served.
    pub zones: Zones<'a>,
    /// Which endpoints get requests only with an admission.
    pub cold_limit: ColdLimit,
    /// What is known of the shared beginning of the prompt.
    pub kept: kept::Outlook,
    /// Tokens that the KV cache of an endpoint holds; `None` if there is no limit.
    pub memory_tokens: Option<u64>,
}

impl PickContext<'_> {
    /// Whether a version is in force, or no other one has been agreed on yet.
    fn may_be_in_force(&self, version: &Name) -> bool {
        self.version_in_force.is_none_or(|in_force| in_force == version)
    }

    /// Whether the KV cache of an endpoint holds the prompt beside those that all entries have there.
    fn has_memory(&self, endpoint: &Endpoint) -> bool {
        self.memory_tokens.is_none_or(|capacity| {
            endpoint.prompt_tokens().saturating_add(self.metadata.prompt_tokens) <= capacity
        })
    }
}

/// Chooses the service of a request by weight, with a hash of the request id.
pub fn service<'a>(route: &'a Route, metadata: &RequestMetadata) -> Option<&'a Name> {
    let total: u128 = route.targets.iter().map(|target| u128::from(target.weight)).sum();
    let mut point = u128::from(xxh3_64(metadata.id.as_bytes())) % total.max(1);
    for target in &route.targets {
        let weight = u128::from(target.weight);
        if point < weight {
            return Some(&target.service);
        }
        point -= weight;
    }
    route.targets.first().map(|target| &target.service)
}

/// Returns the endpoints in permitted zones whose version may get the request in the current phase of
/// the roll-out.
fn allowed_endpoints(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> Permitted {
    let permitted = context.zones.permit(endpoints);
    let roll_out = context.roll_outs.for_service(context.service);
    let allowed = |endpoint: &Endpoint| {
        let version = endpoint.version();
        if context.roll_outs.is_withdrawn(context.service, &version) {
            return false;
        }
        let Some(roll_out) = roll_out else { return context.may_be_in_force(&version) };
        let is_target = version == roll_out.target;
        let is_old = !is_target && context.may_be_in_force(&version);
        match roll_out.phase {
            Phase::Pending | Phase::RolledBack => is_old,
            Phase::Trial if in_trial(context, roll_out.share) => is_target,
            Phase::Trial => is_old,
            Phase::Moving => is_target,
            // The target, unless it has had no endpoint for long.
            Phase::Complete => {
                context.version_in_force.map_or(is_target, |in_force| *in_force == version)
            }
        }
    };
    let mut chosen = permitted.clone();
    chosen.retain(allowed);
    // No version has been agreed on yet. Endpoints of a new one may announce themselves before its
    // roll-out is ordered or this entry learns of it. The names of versions have no order.
    let is_unordered = context.version_in_force.is_none()
        && roll_out.is_none_or(|roll_out| roll_out.phase == Phase::RolledBack);
    let oldest = chosen.iter().map(|endpoint| endpoint.version_since.get()).min();
    if let Some(oldest) = oldest.filter(|_| is_unordered) {
        chosen.retain(|endpoint| endpoint.version_since.get() == oldest);
    }
    let trial_without_endpoint =
        chosen.is_empty() && roll_out.is_some_and(|roll_out| roll_out.phase.is_running());
    if trial_without_endpoint {
        let usable = |endpoint: &Endpoint| {
            let version = endpoint.version();
            !context.roll_outs.is_withdrawn(context.service, &version)
                && roll_out.is_some_and(|roll_out| match version == roll_out.target {
                    true => roll_out.phase == Phase::Moving,
                    false => context.may_be_in_force(&version),
                })
        };
        chosen = permitted;
        chosen.retain(usable);
    }
    chosen
}

/// Whether a request, or its session, falls into the share of the new version.
pub fn in_trial(context: &PickContext<'_>, share: u32) -> bool {
    let key = context.metadata.session.as_deref().unwrap_or(&context.metadata.id);
    xxh3_64(key.as_bytes()) / 7 % SHARE_SCALE < u64::from(share)
}

/// A chosen endpoint.
pub struct Choice {
    pub endpoint: Rc<Endpoint>,
    /// Expected time until the endpoint begins the prefill of the request.
    pub wait_ms: f64,
    /// Expected prefill time of the request; 0 for plain services.
    pub prefill_ms: f64,
    /// Expected factor on the usual time of the work, included in both times.
    pub pace: f64,
}

/// Returns what the endpoints that may get the request offer to one of `rank`. An idle endpoint is
/// returned alone, because no other matters then.
pub fn offers(
    context: &PickContext<'_>,
    endpoints: &[Rc<Endpoint>],
    rank: u8,
) -> SmallVec<[Offer; 16]> {
    let now = boot_time();
    let mut candidates = allowed_endpoints(context, endpoints);
    candidates.retain(|endpoint| can_be_tried(context, endpoint, now));
    let holders = holders(context, &candidates);
    let mut offers = SmallVec::new();
    for (index, endpoint) in candidates.iter().enumerate() {
        let kept = holders.iter().find(|holder| holder.index == index);
        let kept = kept.map_or(0.0, |holder| holder.tokens);
        let uncached = (context.metadata.prompt_tokens as f64 - kept).max(0.0);
        let prefill_ms = uncached * context.token_ms.unwrap_or(0.0);
        let wait_ms = endpoint.rank_wait_ms(rank);
        let pace = endpoint.pace(wait_ms.unwrap_or(0.0) + prefill_ms);
        let offer = Offer {
            is_usable: endpoint.is_usable(),
            free_slots: f64::from(endpoint.slots()) - endpoint.estimated_load(context.entries),
            waiting: endpoint.waiting(),
            wait_ms: wait_ms.map(|wait_ms| pace * wait_ms),
            prefill_ms: pace * prefill_ms,
        };
        if offer.is_idle() {
            return SmallVec::from_iter([offer]);
        }
        offers.push(offer);
    }
    offers
}

/// Chooses an endpoint. Returns `None` if no endpoint can take the request.
pub fn choose(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> Option<Choice> {
    let candidates = Candidates::new(context, endpoints, boot_time())?;
    let drawn = candidates.spread.draw(rand::rng().random());
    Some(candidates.choice(candidates.prefer(drawn)))
}

/// Endpoints that can take a request, and what the choice among them depends on.
pub struct Candidates<'a> {
    context: &'a PickContext<'a>,
    pub endpoints: Permitted,
    /// Endpoints that should keep the shared beginning of the prompt.
    holders: SmallVec<[Holder; 2]>,
    loads: SmallVec<[spread::Load; 64]>,
    spread: Spread,
    /// Index of the best of the endpoints that should keep the beginning of the prompt.
    preferred: Option<usize>,
}

impl<'a> Candidates<'a> {
    /// Selects the endpoints that can take a request at time `now`; `None` if there are none.
    pub fn new(
        context: &'a PickContext<'a>,
        endpoints: &[Rc<Endpoint>],
        now: Duration,
    ) -> Option<Self> {
        let mut endpoints = allowed_endpoints(context, endpoints);
        endpoints.retain(|endpoint| can_be_tried(context, endpoint, now));
        if endpoints.iter().any(|endpoint| endpoint.reason(now).is_none()) {
            endpoints.retain(|endpoint| endpoint.reason(now).is_none());
        } else {
            endpoints.retain(|endpoint| endpoint.is_last_resort());
        }
        endpoints.retain(|endpoint| context.has_memory(endpoint));
        let holders = holders(context, &endpoints);
        let loads = loads(context, &endpoints);
        let volume_ms = unseen_ms(context) * near_count(context, &endpoints) as f64;
        let spread = Spread::new(&loads, volume_ms)?;
        let mut candidates = Self { context, endpoints, holders, loads, spread, preferred: None };
        let holders = candidates.holders.iter().map(|holder| holder.index);
        let preferred = holders.filter(|index| candidates.saved_ms(*index) > 0.0);
        let expected = |index: &usize| candidates.expected_ms(*index);
        candidates.preferred =
            preferred.min_by(|left, right| expected(left).total_cmp(&expected(right)));
        Some(candidates)
    }

    fn token_ms(&self) -> f64 {
        self.context.token_ms.unwrap_or(0.0)
    }

    /// Prompt tokens that the endpoint at `index` is expected to keep.
    pub fn kept_tokens(&self, index: usize) -> f64 {
        let holder = self.holders.iter().find(|holder| holder.index == index);
        holder.map_or(0.0, |holder| holder.tokens)
    }

    /// Estimated cost of the endpoint at `index`, without the prefill that kept parts save.
    pub fn cost_ms(&self, index: usize) -> f64 {
        self.loads[index].time
    }

    /// Cost up to which the endpoints are expected to be filled.
    pub fn level_ms(&self) -> f64 {
        self.spread.level
    }

    /// Worth of the prefill that kept parts save.
    pub fn saved_ms(&self, index: usize) -> f64 {
        KEPT_WEIGHT * self.token_ms() * self.kept_tokens(index) / self.loads[index].capacity
    }

    /// An endpoint below the level is expected to be filled up to it before this request arrives.
    fn expected_ms(&self, index: usize) -> f64 {
        self.loads[index].time.max(self.spread.level) - self.saved_ms(index)
    }

    /// Returns the index of the endpoint that is chosen if the spread draws the one at `drawn`: a
    /// preferred endpoint may be worth more.
    fn prefer(&self, drawn: usize) -> usize {
        let better = |preferred: &usize| {
            let drawn_ms = self.expected_ms(drawn);
            self.expected_ms(*preferred).total_cmp(&drawn_ms).is_le()
        };
        self.preferred.filter(better).unwrap_or(drawn)
    }

    /// Probability with which each endpoint is chosen.
    pub fn shares(&self) -> SmallVec<[f64; 64]> {
        let mut shares = SmallVec::from_elem(0.0, self.endpoints.len());
        for (drawn, share) in self.spread.shares().into_iter().enumerate() {
            if share > 0.0 {
                shares[self.prefer(drawn)] += share;
            }
        }
        shares
    }

    /// Expected times at the endpoint at `index`.
    pub fn choice(&self, index: usize) -> Choice {
        let (context, token_ms) = (self.context, self.token_ms());
        let endpoint = Rc::clone(&self.endpoints[index]);
        let uncached = context.metadata.prompt_tokens as f64 - self.kept_tokens(index);
        let prefill_ms = uncached.max(0.0) * token_ms;
        let waiting_ms = WAITING_PROMPT_TOKENS * token_ms;
        let wait_ms = endpoint.prefill_wait_ms(context.route.rank, waiting_ms);
        let pace = endpoint.pace(wait_ms + prefill_ms);
        Choice { endpoint, wait_ms: pace * wait_ms, prefill_ms: pace * prefill_ms, pace }
    }
}

/// Whether an endpoint warms up at time `now` and gets requests only with an admission.
fn needs_admission(context: &PickContext<'_>, endpoint: &Endpoint, now: Duration) -> bool {
    endpoint.needs_admission(context.cold_limit, now)
}

/// Whether an endpoint can get the request at time `now` without an admission.
fn can_be_tried(context: &PickContext<'_>, endpoint: &Endpoint, now: Duration) -> bool {
    !needs_admission(context, endpoint, now) && !context.tried.contains(&endpoint.id())
}

/// Returns what speaks at time `now` against each of the endpoints of the service, apart from earlier
/// sends of the request, in their order. An endpoint with a reason may still be a last resort.
pub fn reasons(
    context: &PickContext<'_>,
    endpoints: &[Rc<Endpoint>],
    now: Duration,
) -> SmallVec<[Option<Reason>; 16]> {
    let allowed = allowed_endpoints(context, endpoints);
    let allowed: HashSet<*const Endpoint> = allowed.iter().map(Rc::as_ptr).collect();
    let reason = |endpoint: &Rc<Endpoint>| {
        if let Some(exclusion) = context.zones.exclusion_of(endpoint) {
            return Some(exclusion.into());
        }
        if !allowed.contains(&Rc::as_ptr(endpoint)) {
            let withdrawn = context.roll_outs.is_withdrawn(context.service, &endpoint.version());
            return Some(if withdrawn { Reason::Withdrawn } else { Reason::OtherVersion });
        }
        endpoint.reason(now).or_else(|| {
            let left = endpoint.cold_until().saturating_sub(now);
            let left_ms = left.as_millis() as u64;
            needs_admission(context, endpoint, now)
                .then_some(Reason::WarmingUp { left_ms })
                .or_else(|| (!context.has_memory(endpoint)).then_some(Reason::NoMemory))
        })
    };
    endpoints.iter().map(reason).collect()
}

/// Returns the endpoints that warm up and could get the request with an admission, the best first.
pub fn cold_candidates(
    context: &PickContext<'_>,
    endpoints: &[Rc<Endpoint>],
) -> SmallVec<[Rc<Endpoint>; MAX_COLD_CANDIDATES]> {
    if context.cold_limit == ColdLimit::None {
        return SmallVec::new();
    }
    let (mut candidates, now) = (allowed_endpoints(context, endpoints), boot_time());
    candidates.retain(|endpoint| {
        endpoint.needs_admission(context.cold_limit, now)
            && endpoint.is_usable()
            && !context.tried.contains(&endpoint.id())
    });
    candidates.retain(|endpoint| context.has_memory(endpoint));
    let loads = loads(context, &candidates);
    let mut order: SmallVec<[usize; 16]> = (0..candidates.len()).collect();
    order.sort_by(|left, right| loads[*left].time.total_cmp(&loads[*right].time));
    order.into_iter().take(MAX_COLD_CANDIDATES).map(|index| Rc::clone(&candidates[index])).collect()
}

/// Whether endpoints could get the request, but the prompts of others fill their KV caches.
pub fn lacks_memory(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> bool {
    if context.memory_tokens.is_none() {
        return false;
    }
    let mut candidates = allowed_endpoints(context, endpoints);
    candidates.retain(|endpoint| endpoint.is_usable() && !context.tried.contains(&endpoint.id()));
    !candidates.is_empty() && !candidates.iter().any(|endpoint| context.has_memory(endpoint))
}

/// Returns when the endpoints that may get the request take one again, if none of them does at time
/// `now`.
pub fn outlook(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>], now: Duration) -> Outlook {
    let is_present = |endpoint: &&Rc<Endpoint>| endpoint.is_present();
    let permitted = context.zones.permit(endpoints);
    if !permitted.iter().any(|endpoint| endpoint.is_present())
        && endpoints.iter().any(|endpoint| endpoint.is_present())
    {
        return Outlook::Excluded;
    }
    let allowed = allowed_endpoints(context, endpoints);
    let present = allowed.iter().filter(is_present);
    Outlook::new(present.map(|endpoint| endpoint.availability()), now)
}

/// Load that is expected to arrive at an endpoint of the region before the totals show it.
fn unseen_ms(context: &PickContext<'_>) -> f64 {
    if context.token_ms.is_some() { UNSEEN_MS } else { PLAIN_UNSEEN_MS }
}

fn is_near(context: &PickContext<'_>, endpoint: &Endpoint) -> bool {
    (context.is_in_region)(&endpoint.announcement.borrow().zone)
}

/// Number of endpoints that this entry fills together with the other entries of its region.
fn near_count(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> usize {
    match endpoints.iter().filter(|endpoint| is_near(context, endpoint)).count() {
        0 => endpoints.len(),
        near => near,
    }
}

/// Estimated costs of sending the request to each endpoint as times, without the prefill that kept
/// parts of the prompt save.
fn loads(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> SmallVec<[spread::Load; 64]> {
    // The entries of other regions fill their endpoints meanwhile.
    let far_ms = CROSS_REGION_COST_MS + unseen_ms(context);
    let far_cost = |endpoint: &Endpoint| if is_near(context, endpoint) { 0.0 } else { far_ms };
    let loads = endpoints.iter().map(|endpoint| {
        let load = load(context, endpoint);
        spread::Load { time: load.time + far_cost(endpoint), ..load }
    });
    loads.collect()
}

/// Estimated cost of sending the request to an endpoint of the region, in milliseconds: its expected
/// delay, and equivalents for failures.
fn load(context: &PickContext<'_>, endpoint: &Endpoint) -> spread::Load {
    let used = endpoint.estimated_load(context.entries) / f64::from(endpoint.slots());
    let mut cost = FAILURE_COST_MS * endpoint.failure_share();
    if endpoint.is_cold(boot_time()) {
        cost += WARM_UP_COST_MS;
    }
    let Some(token_ms) = context.token_ms else {
        let pace = endpoint.pace(PLAIN_DELAY_MS * used);
        return spread::Load { time: cost + pace * PLAIN_DELAY_MS * used, capacity: 1.0 / pace };
    };
    let ahead = endpoint.prefill_wait_ms(context.route.rank, WAITING_PROMPT_TOKENS * token_ms);
    let prefill = context.metadata.prompt_tokens as f64 * token_ms;
    let pace = endpoint.pace(ahead + prefill);
    // At the usual pace the prefill of the request is the same everywhere.
    let time = pace * (BATCH_DELAY_MS * used + ahead) + (pace - 1.0) * prefill;
    spread::Load { time: cost + time, capacity: 1.0 / pace }
}

/// An endpoint that should keep the shared beginning of the prompt.
struct Holder {
    /// Index of the endpoint.
    index: usize,
    /// Expected number of tokens that it keeps.
    tokens: f64,
}

/// Finds the endpoints that should keep the shared beginning of the prompt by rendezvous hashing, which
/// gives the same ones at every entry: one of the region and one of all regions.
fn holders(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> SmallVec<[Holder; 2]> {
    let shared = context.metadata.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let Some(last) = shared.last() else { return SmallVec::new() };
    let tokens = shared.iter().fold(0, |sum: u64, part| sum.saturating_add(part.tokens));
    let score = |index: &usize| {
        let endpoint = &endpoints[*index];
        let mut bytes: SmallVec<[u8; 64]> = SmallVec::from_slice(endpoint.id().as_bytes());
        bytes.extend_from_slice(&last.id.to_le_bytes());
        let point = (xxh3_64(&bytes) >> HASH_SHIFT) as f64 / (1_u64 << (64 - HASH_SHIFT)) as f64;
        // Each endpoint is the best with a probability in proportion to its speed.
        point.ln() * endpoint.usual_pace()
    };
    let best = |indices: &mut dyn Iterator<Item = usize>| {
        indices.max_by(|left, right| score(left).total_cmp(&score(right)))
    };
    let is_near = |index: &usize| is_near(context, &endpoints[*index]);
    let near = best(&mut (0..endpoints.len()).filter(is_near));
    let overall = best(&mut (0..endpoints.len()));
    // Each gets the uses of its own region.
    let share = near_count(context, endpoints) as f64 / endpoints.len().max(1) as f64;
    let tokens = context.kept.probability(share) * tokens as f64;
    let others = overall.filter(|overall| Some(*overall) != near);
    near.into_iter().chain(others).map(|index| Holder { index, tokens }).collect()
}
