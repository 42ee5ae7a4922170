//! Choice of the service, the version and the endpoint of a request.
//!
//! The service follows from the weights of the route, the version from the roll-outs. Among the
//! endpoints of these a random sample is compared by estimated cost in milliseconds: the expected
//! delay, with penalties for failures, other regions and warm-up, less the prefill that cached
//! parts of the prompt save.

use std::rc::Rc;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOuts;
use rand::RngExt;
use rand::rngs::ThreadRng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::RequestMetadata;
use crate::endpoint::Endpoint;

/// Denominator of the share of requests that go to a new version.
const SHARE_SCALE: u64 = 1_000;

/// A hop between regions takes 24 ms, and the traffic of a long prompt and its stream is billed.
const CROSS_REGION_COST_MS: f64 = 100.0;

/// Cost of an endpoint whose requests all fail: more than a retry.
const FAILURE_COST_MS: f64 = 2_000.0;

const WARM_UP_COST_MS: f64 = 300.0;

/// Expected fraction of the shared prompt tokens in the KV caches of the preferred endpoints, best
/// first. The second one gets the requests for which the first has no room.
const CACHED_FRACTIONS: [f64; 2] = [0.85, 0.4];

/// Factor on the prefill time that cached tokens save: a repeated prefill also delays the requests
/// behind it, and both the prefill and the use of the model are billed.
const RECOMPUTE_WEIGHT: f64 = 3.0;

/// Delay at an endpoint with a full batch; it grows with the fraction of its slots in use.
const BATCH_DELAY_MS: f64 = 250.0;

/// Assumed prompt length of a request of another entry that waits at an endpoint.
const WAITING_PROMPT_TOKENS: f64 = 2_000.0;

/// Delay at a plain endpoint with all slots in use: about the service time of one request.
const PLAIN_DELAY_MS: f64 = 120.0;

/// Upper bound of the random part of a cost. It spreads entries that see the same load.
const JITTER_MS: f64 = 4.0;

/// Fraction of the endpoints that a choice compares. All entries know the same loads, which are up
/// to 250 ms old; without sampling they would all send to the same idle endpoint.
const SAMPLED_FRACTION: f64 = 0.25;

/// Minimum of the expected number of endpoints in a sample.
const MIN_SAMPLED: f64 = 8.0;

/// Input of a choice besides the endpoints.
pub struct PickContext<'a> {
    pub route: &'a Route,
    pub metadata: &'a RequestMetadata,
    pub service: &'a Name,
    pub roll_outs: &'a RollOuts,
    /// Ids of the endpoints to which the request was sent before.
    pub tried: &'a [Name],
    /// Number of entries in the fleet.
    pub entries: u32,
    /// Prefill time per prompt token; `None` for plain services.
    pub token_ms: Option<f64>,
    /// Whether a zone is in the entry's region.
    pub is_in_region: &'a dyn Fn(&str) -> bool,
}

/// Chooses the service of a request by weight, with a hash of the request id.
pub fn service<'a>(route: &'a Route, metadata: &RequestMetadata) -> Option<&'a Name> {
    let total: u64 = route.targets.iter().map(|target| target.weight).sum();
    let mut point = xxh3_64(metadata.id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if point < target.weight {
            return Some(&target.service);
        }
        point -= target.weight;
    }
    route.targets.first().map(|target| &target.service)
}

/// Returns the endpoints whose version may get the request in the current phase of the roll-out.
fn allowed_endpoints(
    context: &PickContext<'_>,
    endpoints: &[Rc<Endpoint>],
) -> SmallVec<[Rc<Endpoint>; 16]> {
    let roll_out = context.roll_outs.for_service(context.service);
    let allowed = |endpoint: &&Rc<Endpoint>| {
        let version = endpoint.version();
        if context.roll_outs.is_withdrawn(context.service, &version) {
            return false;
        }
        match roll_out {
            None => true,
            Some(roll_out) => match roll_out.phase {
                Phase::Pending => version != roll_out.target,
                Phase::Trial => (version == roll_out.target) == in_trial(context, roll_out.share),
                Phase::Moving | Phase::Complete => version == roll_out.target,
                Phase::RolledBack => version != roll_out.target,
            },
        }
    };
    let mut chosen: SmallVec<[Rc<Endpoint>; 16]> =
        endpoints.iter().filter(allowed).cloned().collect();
    // Endpoints of a new version may announce themselves before this entry learns of its roll-out.
    if roll_out.is_none() && chosen.len() > 1 {
        let mut counts: SmallVec<[(Name, usize); 4]> = SmallVec::new();
        for endpoint in &chosen {
            let version = endpoint.version();
            match counts.iter_mut().find(|(counted, _)| *counted == version) {
                Some((_, count)) => *count += 1,
                None => counts.push((version, 1)),
            }
        }
        counts.sort_by(|left, right| left.0.cmp(&right.0));
        if let Some((oldest, _)) = counts.first().filter(|_| counts.len() > 1) {
            chosen.retain(|endpoint| endpoint.version() == *oldest);
        }
    }
    let trial_without_endpoint =
        chosen.is_empty() && roll_out.is_some_and(|roll_out| roll_out.phase.is_running());
    if trial_without_endpoint {
        let usable = |endpoint: &&Rc<Endpoint>| {
            !context.roll_outs.is_withdrawn(context.service, &endpoint.version())
                && (roll_out.is_some_and(|roll_out| {
                    roll_out.phase == Phase::Moving || roll_out.target != endpoint.version()
                }))
        };
        chosen = endpoints.iter().filter(usable).cloned().collect();
    }
    chosen
}

/// Whether a request, or its session, falls into the share of the new version.
fn in_trial(context: &PickContext<'_>, share: u32) -> bool {
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
}

/// Chooses an endpoint. Returns `None` if no endpoint can take the request.
pub fn choose(context: &PickContext<'_>, endpoints: &[Rc<Endpoint>]) -> Option<Choice> {
    let mut candidates = allowed_endpoints(context, endpoints);
    candidates.retain(|endpoint| !context.tried.contains(&endpoint.id()));
    if candidates.iter().any(|endpoint| endpoint.is_usable()) {
        candidates.retain(|endpoint| endpoint.is_usable());
    } else {
        candidates.retain(|endpoint| endpoint.is_last_resort());
    }
    let shared = preferred(context.metadata, &candidates);
    let mut random = rand::rng();
    let fraction = (MIN_SAMPLED / candidates.len() as f64).max(SAMPLED_FRACTION);
    let is_sampled = |endpoint: &&Rc<Endpoint>, random: &mut ThreadRng| {
        shared.as_ref().is_some_and(|shared| shared.cached_tokens(&endpoint.id()) > 0.0)
            || random.random::<f64>() < fraction
    };
    let sampled: SmallVec<[Rc<Endpoint>; 16]> =
        candidates.iter().filter(|endpoint| is_sampled(endpoint, &mut random)).cloned().collect();
    if !sampled.is_empty() {
        candidates = sampled;
    }
    let best = candidates.into_iter().map(|endpoint| {
        let cost = cost(context, &endpoint, shared.as_ref()) + random.random_range(0.0..JITTER_MS);
        (endpoint, cost)
    });
    let (endpoint, _) = best.min_by(|left, right| left.1.total_cmp(&right.1))?;
    let token_ms = context.token_ms.unwrap_or(0.0);
    let cached_tokens = shared.map_or(0.0, |prefix| prefix.cached_tokens(&endpoint.id()));
    let prefill_ms = (context.metadata.prompt_tokens as f64 - cached_tokens).max(0.0) * token_ms;
    let wait_ms = endpoint.prefill_wait_ms(context.route.rank, WAITING_PROMPT_TOKENS * token_ms);
    Some(Choice { endpoint, wait_ms, prefill_ms })
}

/// Estimated cost of sending the request to an endpoint, in milliseconds: its expected delay, and
/// equivalents for failures and money.
fn cost(context: &PickContext<'_>, endpoint: &Endpoint, shared: Option<&SharedPrefix>) -> f64 {
    let used = endpoint.estimated_load(context.entries) / f64::from(endpoint.slots());
    let announcement = endpoint.announcement.borrow();
    let mut cost = FAILURE_COST_MS * endpoint.failure_share();
    if !(context.is_in_region)(&announcement.zone) {
        cost += CROSS_REGION_COST_MS;
    }
    if announcement.warm_up_left_ms > 0 {
        cost += WARM_UP_COST_MS;
    }
    let Some(token_ms) = context.token_ms else { return cost + PLAIN_DELAY_MS * used };
    let ahead = endpoint.prefill_wait_ms(context.route.rank, WAITING_PROMPT_TOKENS * token_ms);
    let own = context.metadata.prompt_tokens as f64 * token_ms;
    let saved = shared.map_or(0.0, |prefix| prefix.cached_tokens(&announcement.id)) * token_ms;
    cost + BATCH_DELAY_MS * used + ahead + own - RECOMPUTE_WEIGHT * saved
}

/// Part of a prompt that other requests share, and the endpoints that should have it cached.
struct SharedPrefix {
    tokens: u64,
    preferred: SmallVec<[Name; CACHED_FRACTIONS.len()]>,
}

impl SharedPrefix {
    /// Expected number of shared tokens in the KV cache of an endpoint.
    fn cached_tokens(&self, id: &Name) -> f64 {
        let rank = self.preferred.iter().position(|preferred| preferred == id);
        rank.map_or(0.0, |rank| CACHED_FRACTIONS[rank] * self.tokens as f64)
    }
}

/// Finds the preferred endpoints for the shared prefix of the prompt by rendezvous hashing, which
/// gives the same endpoints at every entry.
fn preferred(metadata: &RequestMetadata, endpoints: &[Rc<Endpoint>]) -> Option<SharedPrefix> {
    let (_, shared) = metadata.parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).sum();
    let mut ranked: SmallVec<[(u64, Name); 16]> = endpoints
        .iter()
        .map(|endpoint| {
            let id = endpoint.id();
            let mut bytes: SmallVec<[u8; 64]> = SmallVec::from_slice(id.as_bytes());
            bytes.extend_from_slice(&last.id.to_le_bytes());
            (xxh3_64(&bytes), id)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let preferred = ranked.into_iter().take(CACHED_FRACTIONS.len()).map(|(_, id)| id).collect();
    Some(SharedPrefix { tokens, preferred })
}
