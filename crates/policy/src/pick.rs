//! Endpoint selection: power of two choices on predicted time to first token and traffic cost.
//!
//! The candidates are two randomly drawn endpoints of the version with a free slot and the endpoint
//! that most recently cached the longest available prefix of the prompt. The score includes load
//! and the prefill of tokens that are not cached, so a loaded endpoint loses its advantage from
//! prefix affinity.

use std::collections::BTreeMap;
use std::time::Duration;

use hickoryreel_base::name::Endpoint as Name;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Version;
use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

use crate::eject::Availability;
use crate::limit;
use crate::view::Endpoint;
use crate::view::View;

/// Region prices are per gigabyte of 10^9 bytes.
const BYTES_PER_GB: f64 = 1e9;

/// Maximum holders of one prefix that are checked for a free slot, most recent first.
const MAX_HOLDERS: usize = 8;

/// Settings of endpoint selection.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Random draws; if none finds a usable endpoint, the whole subset is scanned.
    pub draws: usize,
    /// Randomly drawn endpoints whose scores are compared.
    pub compared: usize,
    /// Seconds of waiting time that weigh as much as one currency unit of traffic cost.
    pub seconds_per_currency_unit: f64,
    /// Price per gigabyte of traffic from the entry's region to the endpoint's region, in currency
    /// units; pairs that are absent cost nothing.
    pub region_prices: BTreeMap<(Region, Region), f64>,
    /// Round-trip time in seconds that is added for an endpoint in another region.
    pub region_delay_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            draws: 8,
            compared: 2,
            seconds_per_currency_unit: 500.0,
            region_prices: BTreeMap::new(),
            region_delay_s: 0.024,
        }
    }
}

/// The attributes of a request that endpoint selection uses.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    pub version: &'a Version,
    pub rank: Rank,
    /// Whether the request was dispatched from its rank's guaranteed floor.
    pub floor: bool,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hash and length in tokens of the prompt's prefixes, longest first.
    pub prefixes: &'a [(u64, u32)],
    /// Expected traffic in bytes between entry and endpoint.
    pub bytes: u64,
    /// Endpoints of earlier attempts, which are excluded.
    pub tried: &'a [Name],
}

/// The result of endpoint selection.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    pub endpoint: Name,
    /// Predicted time to first token, including the round trip to another region.
    pub first_token: Duration,
    /// Whether this request probes an ejected endpoint.
    pub probe: bool,
}

/// Selects an endpoint. Returns `None` if no endpoint has a free slot.
pub fn pick(
    view: &View,
    settings: &Settings,
    query: &Query<'_>,
    now: Duration,
    random: &mut dyn Rng,
) -> Option<Picked> {
    let indices = view.serving(query.version);
    if indices.is_empty() {
        return None;
    }
    let ignored = ignored(view, indices, now);
    let availability_of = |index: u32| availability(view, query, index, ignored, now);
    if let Some(probe) = due_probe(view, query, indices, &availability_of, random) {
        return Some(picked(view, settings, query, probe, true));
    }
    let candidates = candidates(view, settings, query, indices, &availability_of, random);
    let best = candidates.into_iter().min_by(|a, b| {
        let score = |index| score(view, settings, query, view.endpoint_at(index));
        score(*a).total_cmp(&score(*b))
    })?;
    Some(picked(view, settings, query, best, false))
}

/// Returns whether some endpoint can accept a request of `rank`.
pub fn any_free(view: &View, version: &Version, rank: Rank, floor: bool, now: Duration) -> bool {
    let query =
        Query { version, rank, floor, prompt_tokens: 0, prefixes: &[], bytes: 0, tried: &[] };
    let indices = view.serving(version);
    let ignored = ignored(view, indices, now);
    indices
        .iter()
        .any(|index| availability(view, &query, *index, ignored, now) != Availability::Unavailable)
}

/// Predicted time to first token at the endpoint in seconds, without the network round trip.
pub fn predicted_first_token(query: &Query<'_>, endpoint: &Endpoint) -> f64 {
    let held = query.prefixes.iter().find(|(hash, _)| endpoint.holds(*hash));
    let missing = query.prompt_tokens.saturating_sub(held.map_or(0, |(_, tokens)| *tokens));
    let report = endpoint.report.unwrap_or_default();
    // The engine prefills urgent requests first, so the backlog delays only the other ranks.
    let backlog = match query.rank {
        Rank::Urgent => 0.0,
        Rank::Normal | Rank::Bulk => f64::from(report.prefill_backlog),
    };
    let prefill = (f64::from(missing) + backlog) / endpoint.rates.prefill_per_s;
    let max_running = f64::from(report.max_running.max(1));
    let occupancy = f64::from(endpoint.load()) / max_running;
    prefill + occupancy / endpoint.rates.tokens_per_s
}

fn score(view: &View, settings: &Settings, query: &Query<'_>, endpoint: &Endpoint) -> f64 {
    let wait = predicted_first_token(query, endpoint);
    if endpoint.region == view.region {
        return wait;
    }
    let region_pair = (view.region.clone(), endpoint.region.clone());
    let price = settings.region_prices.get(&region_pair).copied().unwrap_or(0.0);
    let traffic_cost = price * query.bytes as f64 / BYTES_PER_GB;
    wait + settings.region_delay_s + traffic_cost * settings.seconds_per_currency_unit
}

fn picked(view: &View, settings: &Settings, query: &Query<'_>, index: u32, probe: bool) -> Picked {
    let endpoint = view.endpoint_at(index);
    let mut seconds = predicted_first_token(query, endpoint);
    if endpoint.region != view.region {
        seconds += settings.region_delay_s;
    }
    let first_token = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Picked { endpoint: endpoint.id.clone(), first_token, probe }
}

fn availability(
    view: &View,
    query: &Query<'_>,
    index: u32,
    ignored: Ignored,
    now: Duration,
) -> Availability {
    let endpoint = view.endpoint_at(index);
    if endpoint.leaving || query.tried.contains(&endpoint.id) {
        return Availability::Unavailable;
    }
    if !ignored.silence && endpoint.is_silent(&view.settings, now) {
        return Availability::Unavailable;
    }
    let ejection = endpoint.ejection.availability(&view.settings.eject, now);
    match ejection {
        Availability::Unavailable if !ignored.ejection => return Availability::Unavailable,
        // A probe may be slow or fail, so urgent requests are not used as probes.
        Availability::Probe if !ignored.ejection && query.rank == Rank::Urgent => {
            return Availability::Unavailable;
        }
        Availability::Probe if !ignored.ejection => return Availability::Probe,
        Availability::Available | Availability::Probe | Availability::Unavailable => {}
    }
    let limits = &view.settings.limit;
    let free =
        limit::admits(limits, endpoint, view.share(query.version), query.rank, query.floor, now);
    if free { Availability::Available } else { Availability::Unavailable }
}

/// Health conditions that are ignored because too many endpoints are affected by them.
#[derive(Clone, Copy, Debug)]
struct Ignored {
    /// No endpoint reports. A failure of the reporting path is then more likely than a failure of
    /// all endpoints.
    silence: bool,
    /// More than [`eject::Settings::max_ejected_share`](crate::eject::Settings::max_ejected_share)
    /// of the reporting endpoints are ejected.
    ejection: bool,
}

fn ignored(view: &View, indices: &[u32], now: Duration) -> Ignored {
    let settings = &view.settings;
    let reporting = indices
        .iter()
        .map(|index| view.endpoint_at(*index))
        .filter(|endpoint| !endpoint.is_silent(settings, now));
    let (count, ejected_count) =
        reporting.fold((0_u32, 0_u32), |(count, ejected_count), endpoint| {
            let ejected =
                endpoint.ejection.availability(&settings.eject, now) != Availability::Available;
            (count + 1, ejected_count + u32::from(ejected))
        });
    Ignored {
        silence: count == 0,
        ejection: f64::from(ejected_count) > settings.eject.max_ejected_share * f64::from(count),
    }
}

/// Returns an ejected endpoint that is due for a probe. A probe needs no free slot, because an
/// ejected endpoint receives no other requests from this entry.
fn due_probe(
    view: &View,
    query: &Query<'_>,
    indices: &[u32],
    availability_of: &dyn Fn(u32) -> Availability,
    random: &mut dyn Rng,
) -> Option<u32> {
    if query.rank == Rank::Urgent {
        return None;
    }
    let start = random.random_range(0..indices.len());
    let rotated = indices[start..].iter().chain(&indices[..start]);
    rotated
        .copied()
        .filter(|index| !view.endpoint_at(*index).ejection.is_serving())
        .find(|index| availability_of(*index) == Availability::Probe)
}

fn candidates(
    view: &View,
    settings: &Settings,
    query: &Query<'_>,
    indices: &[u32],
    availability_of: &dyn Fn(u32) -> Availability,
    random: &mut dyn Rng,
) -> SmallVec<[u32; 4]> {
    let mut found: SmallVec<[u32; 4]> = SmallVec::new();
    for _ in 0..settings.draws {
        let index = indices[random.random_range(0..indices.len())];
        if found.len() < settings.compared
            && !found.contains(&index)
            && availability_of(index) == Availability::Available
        {
            found.push(index);
        }
    }
    if found.is_empty() {
        let start = random.random_range(0..indices.len());
        let rotated = indices[start..].iter().chain(&indices[..start]).copied();
        found.extend(
            rotated
                .filter(|index| availability_of(*index) == Availability::Available)
                .take(settings.compared),
        );
    }
    let holder = query.prefixes.iter().find_map(|(hash, _)| {
        let mut holders = view.holders(*hash).take(MAX_HOLDERS);
        holders.find(|index| {
            indices.contains(index) && availability_of(*index) == Availability::Available
        })
    });
    found.extend(holder);
    found
}
