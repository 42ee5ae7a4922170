//! Endpoint choice: power of two choices on predicted wait, region price and missing prefix.
//!
//! Two endpoints of the version are drawn at random among those with a free slot, and the one that
//! is believed to hold the prompt's prefix joins the comparison. Because the comparison is on
//! predicted time to the first token, load bounds the prefix affinity.

use std::collections::BTreeMap;
use std::time::Duration;

use hickoryreel_base::name::Endpoint as Name;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Version;
use hickoryreel_base::rank::Rank;
use rand::Rng;
use rand::RngExt;
use smallvec::SmallVec;

use crate::eject::Use;
use crate::limit;
use crate::view::Endpoint;
use crate::view::View;

/// Bytes in a gigabyte, the unit of region prices.
const BYTES_PER_GB: f64 = 1e9;

/// Holders of a prefix that are looked at, latest first.
const MAX_HOLDERS: usize = 8;

/// Settings of the endpoint choice.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Random draws before all endpoints of the subset are looked at.
    pub draws: usize,
    /// Endpoints compared.
    pub compared: usize,
    /// Seconds of wait that one currency unit of traffic is worth.
    pub seconds_per_unit: f64,
    /// Price of traffic between two regions, per gigabyte.
    pub region_prices: BTreeMap<(Region, Region), f64>,
    /// Seconds added to an endpoint in another region, the round trip.
    pub region_delay_s: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            draws: 8,
            compared: 2,
            seconds_per_unit: 500.0,
            region_prices: BTreeMap::new(),
            region_delay_s: 0.024,
        }
    }
}

/// A request, as far as the endpoint choice is concerned.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    /// Version to run on.
    pub version: &'a Version,
    /// Rank.
    pub rank: Rank,
    /// Whether the rank's floor selected the request.
    pub floor: bool,
    /// Prompt length in tokens.
    pub prompt_tokens: u32,
    /// Hash and length in tokens of the prompt's prefixes, longest first.
    pub prefixes: &'a [(u64, u32)],
    /// Bytes expected to cross between entry and endpoint.
    pub bytes: u64,
    /// Endpoints already tried.
    pub tried: &'a [Name],
}

/// A chosen endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// The endpoint.
    pub endpoint: Name,
    /// Predicted time to the first token.
    pub first_token: Duration,
    /// Whether this request probes an ejected endpoint.
    pub probe: bool,
}

/// Chooses an endpoint; `None` when no endpoint has a free slot.
pub fn pick(
    view: &View,
    settings: &Settings,
    ask: &Ask<'_>,
    now: Duration,
    random: &mut dyn Rng,
) -> Option<Picked> {
    let slots = view.serving(ask.version);
    if slots.is_empty() {
        return None;
    }
    let ignored = ignored(view, slots, now);
    let usable = |slot: u32| usability(view, ask, slot, ignored, now);
    if let Some(probe) = due_probe(view, ask, slots, &usable, random) {
        return Some(picked(view, settings, ask, probe, true));
    }
    let candidates = candidates(view, settings, ask, slots, &usable, random);
    let best = candidates.into_iter().min_by(|a, b| {
        let score = |slot| score(view, settings, ask, view.at(slot));
        score(*a).total_cmp(&score(*b))
    })?;
    Some(picked(view, settings, ask, best, false))
}

/// Whether some endpoint has a free slot for a request of `rank`.
pub fn any_free(view: &View, version: &Version, rank: Rank, floor: bool, now: Duration) -> bool {
    let ask = Ask { version, rank, floor, prompt_tokens: 0, prefixes: &[], bytes: 0, tried: &[] };
    let slots = view.serving(version);
    let ignore = ignored(view, slots, now);
    slots.iter().any(|slot| usability(view, &ask, *slot, ignore, now) != Use::No)
}

/// Predicted time to the first token at the endpoint, in seconds.
pub fn predicted_first_token(ask: &Ask<'_>, endpoint: &Endpoint) -> f64 {
    let held = ask.prefixes.iter().find(|(hash, _)| endpoint.holds(*hash));
    let missing = ask.prompt_tokens.saturating_sub(held.map_or(0, |(_, tokens)| *tokens));
    let report = endpoint.report.unwrap_or_default();
    // The engine prefills urgent work first, so a backlog delays only the other ranks in full.
    let backlog = match ask.rank {
        Rank::Urgent => 0.0,
        Rank::Normal | Rank::Bulk => f64::from(report.prefill_backlog),
    };
    let prefill = (f64::from(missing) + backlog) / endpoint.rates.prefill_per_s;
    let full = f64::from(report.max_running.max(1));
    let occupancy = f64::from(endpoint.load()) / full;
    prefill + occupancy / endpoint.rates.tokens_per_s
}

fn score(view: &View, settings: &Settings, ask: &Ask<'_>, endpoint: &Endpoint) -> f64 {
    let wait = predicted_first_token(ask, endpoint);
    if endpoint.region == view.region {
        return wait;
    }
    let pair = (view.region.clone(), endpoint.region.clone());
    let price = settings.region_prices.get(&pair).copied().unwrap_or(0.0);
    let units = price * ask.bytes as f64 / BYTES_PER_GB;
    wait + settings.region_delay_s + units * settings.seconds_per_unit
}

fn picked(view: &View, settings: &Settings, ask: &Ask<'_>, slot: u32, probe: bool) -> Picked {
    let endpoint = view.at(slot);
    let mut seconds = predicted_first_token(ask, endpoint);
    if endpoint.region != view.region {
        seconds += settings.region_delay_s;
    }
    let first_token = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
    Picked { endpoint: endpoint.id.clone(), first_token, probe }
}

fn usability(view: &View, ask: &Ask<'_>, slot: u32, ignored: Ignored, now: Duration) -> Use {
    let endpoint = view.at(slot);
    if endpoint.leaving || ask.tried.contains(&endpoint.id) {
        return Use::No;
    }
    if !ignored.silence && endpoint.is_silent(&view.settings, now) {
        return Use::No;
    }
    let ejection = endpoint.ejection.usable(&view.settings.eject, now);
    match ejection {
        Use::No if !ignored.ejection => return Use::No,
        // A probe may be slow or lost, which urgent work must not pay for.
        Use::Probe if !ignored.ejection && ask.rank == Rank::Urgent => return Use::No,
        Use::Probe if !ignored.ejection => return Use::Probe,
        Use::Full | Use::Probe | Use::No => {}
    }
    let limits = &view.settings.limit;
    let free = limit::admits(limits, endpoint, view.share(ask.version), ask.rank, ask.floor, now);
    if free { Use::Full } else { Use::No }
}

/// Which signs of trouble are ignored because too many endpoints show them.
#[derive(Clone, Copy, Debug)]
struct Ignored {
    /// All endpoints are silent: the reports are lost, not the endpoints.
    silence: bool,
    /// Too many of the endpoints that report are ejected.
    ejection: bool,
}

fn ignored(view: &View, slots: &[u32], now: Duration) -> Ignored {
    let settings = &view.settings;
    let heard = slots.iter().map(|s| view.at(*s)).filter(|e| !e.is_silent(settings, now));
    let (count, out) = heard.fold((0_u32, 0_u32), |(count, out), endpoint| {
        let ejected = endpoint.ejection.usable(&settings.eject, now) != Use::Full;
        (count + 1, out + u32::from(ejected))
    });
    Ignored {
        silence: count == 0,
        ejection: f64::from(out) > settings.eject.most * f64::from(count),
    }
}

/// An ejected endpoint that is due for a probe. Probes need no free slot, since the endpoint has
/// no other work of this entry.
fn due_probe(
    view: &View,
    ask: &Ask<'_>,
    slots: &[u32],
    usable: &dyn Fn(u32) -> Use,
    random: &mut dyn Rng,
) -> Option<u32> {
    if ask.rank == Rank::Urgent {
        return None;
    }
    let start = random.random_range(0..slots.len());
    let turned = slots[start..].iter().chain(&slots[..start]);
    turned
        .copied()
        .filter(|slot| !view.at(*slot).ejection.is_serving())
        .find(|slot| usable(*slot) == Use::Probe)
}

fn candidates(
    view: &View,
    settings: &Settings,
    ask: &Ask<'_>,
    slots: &[u32],
    usable: &dyn Fn(u32) -> Use,
    random: &mut dyn Rng,
) -> SmallVec<[u32; 4]> {
    let mut found: SmallVec<[u32; 4]> = SmallVec::new();
    for _ in 0..settings.draws {
        let slot = slots[random.random_range(0..slots.len())];
        if found.len() < settings.compared && !found.contains(&slot) && usable(slot) == Use::Full {
            found.push(slot);
        }
    }
    if found.is_empty() {
        let start = random.random_range(0..slots.len());
        let turned = slots[start..].iter().chain(&slots[..start]).copied();
        found.extend(turned.filter(|slot| usable(*slot) == Use::Full).take(settings.compared));
    }
    let holder = ask.prefixes.iter().find_map(|(hash, _)| {
        let mut holders = view.holders(*hash).take(MAX_HOLDERS);
        holders.find(|slot| slots.contains(slot) && usable(*slot) == Use::Full)
    });
    found.extend(holder);
    found
}
