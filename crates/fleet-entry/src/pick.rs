//! Choice of the version, the model and the endpoint of a request.

use std::rc::Rc;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOuts;
use rand::RngExt;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Ask;
use crate::directory::Endpoint;

/// Parts of 1,000 into which requests are divided between versions.
const SHARE_PARTS: u64 = 1_000;

/// Cost of leaving the region, in requests ahead at the endpoint: a crossing takes 24 ms and is
/// billed by volume.
const REGION_COST: f64 = 0.15;

/// Cost of an endpoint per share of failed requests, in parts of its slots.
const FAILURE_COST: f64 = 2.0;

/// Gain of an endpoint that has read the shared parts of the prompt before, in parts of its slots,
/// per 1,000 shared tokens.
const AFFINITY_GAIN: f64 = 0.06;

/// Largest gain for read parts.
const MOST_AFFINITY: f64 = 0.35;

/// Endpoints at which the shared parts of a prompt are kept.
const HOMES: usize = 2;

/// Load of a service, in parts of its slots, above which the middle model serves.
const MIDDLE_ABOVE: f64 = 0.45;

/// Load of a service, in parts of its slots, above which the smallest model serves.
const SMALLEST_ABOVE: f64 = 0.75;

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
    let roll_out = case.roll_outs.of(case.service);
    let allowed = |endpoint: &&Rc<Endpoint>| {
        let version = endpoint.version();
        if case.roll_outs.is_withdrawn(case.service, &version) {
            return false;
        }
        match roll_out {
            None => true,
            Some(one) => match one.phase {
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
    let trial_without_endpoint = chosen.is_empty()
        && roll_out.is_some_and(|one| matches!(one.phase, Phase::Trial | Phase::Moving));
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

/// Chooses the endpoint. `None` if there is none.
pub fn endpoint(case: &Case<'_>, endpoints: &[Rc<Endpoint>]) -> Option<Rc<Endpoint>> {
    let mut candidates = versions(case, endpoints);
    candidates.retain(|one| !case.tried.contains(&one.id()));
    if candidates.iter().any(|one| one.is_usable()) {
        candidates.retain(|one| one.is_usable());
    } else {
        candidates.retain(|one| one.is_last_resort());
    }
    let homes = homes(case.ask, &candidates);
    let mut random = rand::rng();
    candidates
        .into_iter()
        .map(|endpoint| {
            let slots = f64::from(endpoint.slots());
            let mut cost = endpoint.estimated_load(case.entries) / slots;
            let announcement = endpoint.announcement.borrow();
            if !(case.is_near)(&announcement.zone) {
                cost += REGION_COST;
            }
            if announcement.cold_ms > 0 {
                cost += 0.5;
            }
            cost += FAILURE_COST * endpoint.failure_share();
            if let Some(shared) = &homes
                && shared.homes.contains(&announcement.id)
            {
                cost -= (AFFINITY_GAIN * shared.tokens as f64 / 1_000.0).min(MOST_AFFINITY);
            }
            // Many entries see the same load: near-equals are chosen at random.
            cost += random.random_range(0.0..0.05);
            drop(announcement);
            (endpoint, cost)
        })
        .min_by(|left, right| left.1.total_cmp(&right.1))
        .map(|(endpoint, _)| endpoint)
}

struct Shared {
    tokens: u64,
    homes: SmallVec<[Name; HOMES]>,
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
    ranked.sort_unstable_by(|left, right| right.0.cmp(&left.0));
    let homes = ranked.into_iter().take(HOMES).map(|(_, id)| id).collect();
    Some(Shared { tokens, homes })
}

/// Load of a service in parts of its slots, over the endpoints in use.
pub fn service_load(endpoints: &[Rc<Endpoint>], entries: u32) -> f64 {
    let usable = endpoints.iter().filter(|one| one.is_usable());
    let (load, slots) = usable.fold((0.0, 0.0), |(load, slots), one| {
        (load + one.estimated_load(entries), slots + f64::from(one.slots()))
    });
    if slots > 0.0 { load / slots } else { 1.0 }
}

/// Chooses the model: the best one that the load allows.
pub fn model<'a>(route: &'a Route, load: f64) -> Option<&'a Name> {
    let last = route.models.len().checked_sub(1)?;
    let step = if load > SMALLEST_ABOVE {
        0
    } else if load > MIDDLE_ABOVE {
        last.saturating_sub(1)
    } else {
        last
    };
    route.models.get(step)
}
