//! Choice of the version, the model and the endpoint of a request.

use std::rc::Rc;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOuts;
use rand::RngExt;
use rand::rngs::ThreadRng;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Ask;
use crate::endpoint::Endpoint;

/// Parts of 1,000 into which requests are divided between versions.
const SHARE_PARTS: u64 = 1_000;

/// Cost of leaving the region, in milliseconds: a crossing takes 24 ms, and the bytes of a long
/// prompt and its stream are billed.
const REGION_COST: f64 = 100.0;

/// Cost of an endpoint whose requests all fail, in milliseconds: a second send and more.
const FAILURE_COST: f64 = 2_000.0;

/// Cost of an endpoint that is still warming up, in milliseconds.
const COLD_COST: f64 = 300.0;

/// Part of the shared tokens that the homes of a prompt keep in their caches, in order of rank. The
/// second one gets what the first has no room for.
const KEPT_PARTS: [f64; 2] = [0.85, 0.4];

/// Weight of reading shared tokens again, in parts of its time: it delays the requests behind it,
/// and both the reading and the use of the model are billed.
const READ_AGAIN_WEIGHT: f64 = 3.0;

/// Delay that a request of a full batch adds to the others there, in milliseconds per slot used.
const BATCH_DELAY: f64 = 250.0;

/// Prompt tokens of a request that waits at an endpoint and whose size is not known.
const WAITING_TOKENS: f64 = 2_000.0;

/// Time that a full plain endpoint adds, in milliseconds: about its work.
const PLAIN_DELAY: f64 = 120.0;

/// Largest random part of a cost, in milliseconds: many entries see the same load.
const JITTER: f64 = 4.0;

/// Part of the endpoints that are compared. The others know the same loads, which are up to 250 ms
/// old, and would all send to the same idle endpoint.
const COMPARED_PART: f64 = 0.25;

/// Endpoints that are compared on average at least.
const LEAST_COMPARED: f64 = 8.0;

/// What a choice depends on beside the endpoints.
pub struct Case<'a> {
    /// Route.
    pub route: &'a Route,
    /// Terms of the request.
    pub ask: &'a Ask,
    /// Service.
    pub service: &'a Name,
    /// Roll-outs.
    pub roll_outs: &'a RollOuts,
    /// Endpoints that were tried.
    pub tried: &'a [Name],
    /// Number of entries.
    pub entries: u32,
    /// Time in which a prompt token is read, in milliseconds; `None` for plain services.
    pub token_ms: Option<f64>,
    /// Whether an endpoint in this zone is in the entry's region.
    pub is_near: &'a dyn Fn(&str) -> bool,
}

/// The service of a request: split by weight with the identity of the request.
pub fn service<'a>(route: &'a Route, ask: &Ask) -> Option<&'a Name> {
    let total: u64 = route.targets.iter().map(|one| one.weight).sum();
    let mut point = xxh3_64(ask.id.as_bytes()) % total.max(1);
    for target in &route.targets {
        if point < target.weight {
            return Some(&target.service);
        }
        point -= target.weight;
    }
    route.targets.first().map(|one| &one.service)
}

/// Endpoints that run a version on which the request may run now.
fn versions(case: &Case<'_>, endpoints: &[Rc<Endpoint>]) -> SmallVec<[Rc<Endpoint>; 16]> {
    let roll_out = case.roll_outs.for_service(case.service);
    let allowed = |endpoint: &&Rc<Endpoint>| {
        let version = endpoint.version();
        if case.roll_outs.is_withdrawn(case.service, &version) {
            return false;
        }
        match roll_out {
            None => true,
            Some(one) => match one.phase {
                Phase::Pending => version != one.target,
                Phase::Trial => (version == one.target) == in_trial(case, one.share),
                Phase::Moving | Phase::Complete => version == one.target,
                Phase::RolledBack => version != one.target,
            },
        }
    };
    let mut chosen: SmallVec<[Rc<Endpoint>; 16]> =
        endpoints.iter().filter(allowed).cloned().collect();
    // Before the order is known, new endpoints of a later version may have announced themselves.
    if roll_out.is_none() && chosen.len() > 1 {
        let mut counts: SmallVec<[(Name, usize); 4]> = SmallVec::new();
        for endpoint in &chosen {
            let version = endpoint.version();
            match counts.iter_mut().find(|(one, _)| *one == version) {
                Some((_, count)) => *count += 1,
                None => counts.push((version, 1)),
            }
        }
        counts.sort_by(|left, right| left.0.cmp(&right.0));
        if let Some((oldest, _)) = counts.first().filter(|_| counts.len() > 1) {
            chosen.retain(|one| one.version() == *oldest);
        }
    }
    let trial_without_endpoint =
        chosen.is_empty() && roll_out.is_some_and(|one| one.phase.is_running());
    if trial_without_endpoint {
        let usable = |one: &&Rc<Endpoint>| {
            !case.roll_outs.is_withdrawn(case.service, &one.version())
                && (roll_out.is_some_and(|roll_out| {
                    roll_out.phase == Phase::Moving || roll_out.target != one.version()
                }))
        };
        chosen = endpoints.iter().filter(usable).cloned().collect();
    }
    chosen
}

/// Whether a request, or its session, belongs to the share of the new version.
fn in_trial(case: &Case<'_>, share: u32) -> bool {
    let key = case.ask.session.as_deref().unwrap_or(&case.ask.id);
    xxh3_64(key.as_bytes()) / 7 % SHARE_PARTS < u64::from(share)
}

/// A chosen endpoint.
pub struct Choice {
    /// The endpoint.
    pub endpoint: Rc<Endpoint>,
    /// Expected time until it begins to read the request, in milliseconds.
    pub wait_ms: f64,
    /// Expected time to read the request, in milliseconds; 0 for plain services.
    pub reading_ms: f64,
}

/// Chooses the endpoint. `None` if there is none.
pub fn choose(case: &Case<'_>, endpoints: &[Rc<Endpoint>]) -> Option<Choice> {
    let mut candidates = versions(case, endpoints);
    candidates.retain(|one| !case.tried.contains(&one.id()));
    if candidates.iter().any(|one| one.is_usable()) {
        candidates.retain(|one| one.is_usable());
    } else {
        candidates.retain(|one| one.is_last_resort());
    }
    let shared = homes(case.ask, &candidates);
    let mut random = rand::rng();
    let part = (LEAST_COMPARED / candidates.len() as f64).max(COMPARED_PART);
    let drawn = |one: &&Rc<Endpoint>, random: &mut ThreadRng| {
        shared.as_ref().is_some_and(|shared| shared.kept(&one.id()) > 0.0)
            || random.random::<f64>() < part
    };
    let compared: SmallVec<[Rc<Endpoint>; 16]> =
        candidates.iter().filter(|one| drawn(one, &mut random)).cloned().collect();
    if !compared.is_empty() {
        candidates = compared;
    }
    let best = candidates.into_iter().map(|endpoint| {
        let cost = cost(case, &endpoint, shared.as_ref()) + random.random_range(0.0..JITTER);
        (endpoint, cost)
    });
    let (endpoint, _) = best.min_by(|left, right| left.1.total_cmp(&right.1))?;
    let token_ms = case.token_ms.unwrap_or(0.0);
    let kept = shared.map_or(0.0, |one| one.kept(&endpoint.id()));
    let reading_ms = (case.ask.prompt_tokens as f64 - kept).max(0.0) * token_ms;
    let wait_ms = endpoint.ahead_ms(case.route.rank, WAITING_TOKENS * token_ms);
    Some(Choice { endpoint, wait_ms, reading_ms })
}

/// Expected delay of the request at an endpoint, in milliseconds, and what stands for money.
fn cost(case: &Case<'_>, endpoint: &Endpoint, shared: Option<&Shared>) -> f64 {
    let used = endpoint.estimated_load(case.entries) / f64::from(endpoint.slots());
    let announcement = endpoint.announcement.borrow();
    let mut cost = FAILURE_COST * endpoint.failure_share();
    if !(case.is_near)(&announcement.zone) {
        cost += REGION_COST;
    }
    if announcement.warm_up_left_ms > 0 {
        cost += COLD_COST;
    }
    let Some(token_ms) = case.token_ms else { return cost + PLAIN_DELAY * used };
    let ahead = endpoint.ahead_ms(case.route.rank, WAITING_TOKENS * token_ms);
    let own = case.ask.prompt_tokens as f64 * token_ms;
    let saved = shared.map_or(0.0, |one| one.kept(&announcement.id)) * token_ms;
    cost + BATCH_DELAY * used + ahead + own - READ_AGAIN_WEIGHT * saved
}

struct Shared {
    tokens: u64,
    homes: SmallVec<[Name; KEPT_PARTS.len()]>,
}

impl Shared {
    /// Shared tokens that an endpoint is expected to keep.
    fn kept(&self, id: &Name) -> f64 {
        let rank = self.homes.iter().position(|home| home == id);
        rank.map_or(0.0, |rank| KEPT_PARTS[rank] * self.tokens as f64)
    }
}

/// The endpoints at which the shared parts of the prompt are kept: the same at every entry, by
/// rendezvous hashing.
fn homes(ask: &Ask, endpoints: &[Rc<Endpoint>]) -> Option<Shared> {
    let (_, shared) = ask.parts.split_last()?;
    let last = shared.last()?;
    let tokens = shared.iter().map(|part| part.tokens).sum();
    let mut ranked: SmallVec<[(u64, Name); 16]> = endpoints
        .iter()
        .map(|one| {
            let id = one.id();
            let mut bytes: SmallVec<[u8; 64]> = SmallVec::from_slice(id.as_bytes());
            bytes.extend_from_slice(&last.id.to_le_bytes());
            (xxh3_64(&bytes), id)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let homes = ranked.into_iter().take(KEPT_PARTS.len()).map(|(_, id)| id).collect();
    Some(Shared { tokens, homes })
}
