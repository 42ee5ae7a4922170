//! What one entry knows about the endpoints.
//!
//! The entry feeds announcements, load reports, cache events and the outcomes of its own requests
//! into the [`View`]. All of it is soft state: it may be late, incomplete or wrong.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Zone;
use rand::Rng;
use smallvec::SmallVec;

use crate::eject;
use crate::eject::Ejection;
use crate::limit;
use crate::limit::Limit;

/// Most prefixes remembered for one endpoint; the oldest is forgotten first.
const MAX_PREFIXES: usize = 4_096;

/// Load as an endpoint reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait inside the endpoint.
    pub waiting: u32,
    /// Largest batch the endpoint runs.
    pub max_running: u32,
    /// Prompt tokens still to be prefilled.
    pub prefill_backlog: u32,
    /// Mean time between tokens of one running request; zero when idle.
    pub token_gap: Duration,
}

/// Estimated speed of an endpoint when it is healthy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Prompt tokens prefilled per second.
    pub prefill_per_s: f64,
    /// Output tokens per second of one running request.
    pub tokens_per_s: f64,
}

impl Default for Rates {
    fn default() -> Self {
        Self { prefill_per_s: 8_000.0, tokens_per_s: 33.0 }
    }
}

/// One endpoint as seen by this entry.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: name::Endpoint,
    /// Region of the endpoint.
    pub region: Region,
    /// Availability zone of the endpoint.
    pub zone: Zone,
    /// Versions that it serves. A plain service appears under its service name.
    pub versions: SmallVec<[Version; 2]>,
    /// Whether the endpoint announced that it is leaving.
    pub leaving: bool,
    /// Estimated speed.
    pub rates: Rates,
    /// Last load report.
    pub report: Option<Report>,
    /// When the last report was measured.
    pub measured_at: Duration,
    /// When the last report arrived.
    pub received_at: Duration,
    /// Ejection state.
    pub ejection: Ejection,
    /// Concurrency limit.
    pub limit: Limit,
    /// This entry's open requests at the endpoint.
    pub outstanding: u32,
    /// Own sends (+1) and completions (-1) since the last report.
    recent_changes: VecDeque<(Duration, i8)>,
    recent_change_sum: i64,
    prefixes: HashSet<u64>,
    prefix_order: VecDeque<u64>,
}

impl Endpoint {
    /// An endpoint without load, report or prefixes.
    pub fn new(id: name::Endpoint, region: Region, zone: Zone, rates: Rates) -> Self {
        Self {
            id,
            region,
            zone,
            versions: SmallVec::new(),
            leaving: false,
            rates,
            report: None,
            measured_at: Duration::ZERO,
            received_at: Duration::ZERO,
            ejection: Ejection::default(),
            limit: Limit::default(),
            outstanding: 0,
            recent_changes: VecDeque::new(),
            recent_change_sum: 0,
            prefixes: HashSet::new(),
            prefix_order: VecDeque::new(),
        }
    }

    /// The same endpoint serving `version` as well.
    pub fn with_version(mut self, version: Version) -> Self {
        self.versions.push(version);
        self
    }

    /// Change of this entry's open requests since the last report was measured.
    pub fn own_load_change(&self) -> i64 {
        self.recent_change_sum
    }

    /// Estimated requests at the endpoint: the report corrected by own sends and completions, and
    /// never below this entry's own open requests.
    pub fn load(&self) -> u32 {
        let report = self.report.unwrap_or_default();
        let total = i64::from(report.running + report.waiting) + self.recent_change_sum;
        u32::try_from(total.max(i64::from(self.outstanding))).unwrap_or(0)
    }

    /// Records that the endpoint holds the prefix with hash `prefix`. Returns the prefix that had to
    /// be forgotten for it.
    fn add_prefix(&mut self, prefix: u64) -> Option<u64> {
        if !self.prefixes.insert(prefix) {
            return None;
        }
        self.prefix_order.push_back(prefix);
        if self.prefix_order.len() <= MAX_PREFIXES {
            return None;
        }
        let oldest = self.prefix_order.pop_front()?;
        self.prefixes.remove(&oldest);
        Some(oldest)
    }

    fn remove_prefix(&mut self, prefix: u64) {
        if self.prefixes.remove(&prefix) {
            self.prefix_order.retain(|held| *held != prefix);
        }
    }

    /// Whether reports of the endpoint stopped arriving. Lateness does not matter, only silence.
    pub fn is_silent(&self, settings: &Settings, now: Duration) -> bool {
        self.report.is_some() && now.saturating_sub(self.received_at) > settings.silence_timeout
    }

    /// Whether the endpoint is believed to hold the prefix.
    pub fn holds(&self, prefix: u64) -> bool {
        self.prefixes.contains(&prefix)
    }

    fn record_change(&mut self, now: Duration, change: i8) {
        self.recent_changes.push_back((now, change));
        self.recent_change_sum += i64::from(change);
    }

    fn discard_changes_until(&mut self, measured_at: Duration) {
        while let Some((at, change)) = self.recent_changes.front().copied()
            && at <= measured_at
        {
            self.recent_changes.pop_front();
            self.recent_change_sum -= i64::from(change);
        }
    }
}

/// Settings of the view.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Most endpoints of one version that this entry uses. More would make load reports and probes
    /// of rarely used endpoints dominate what the entry learns.
    pub subset_size: usize,
    /// Least share of the slots of an endpoint, 0 to 1.
    pub min_share: f64,
    /// Time without a report after which an endpoint is avoided like an ejected one. Reports come
    /// twice a second; three in a row may be lost.
    pub silence_timeout: Duration,
    /// Concurrency limits.
    pub limit: limit::Settings,
    /// Ejection.
    pub eject: eject::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            subset_size: 64,
            min_share: 0.03,
            silence_timeout: Duration::from_millis(1_700),
            limit: limit::Settings::default(),
            eject: eject::Settings::default(),
        }
    }
}

/// Everything one entry knows about the endpoints.
#[derive(Clone, Debug)]
pub struct View {
    /// Settings.
    pub settings: Settings,
    /// Region of this entry.
    pub region: Region,
    /// Share of the slots while no digest has arrived, 0 to 1; one divided by the entries.
    pub default_share: f64,
    shares: HashMap<Version, f64>,
    entry_hash: u64,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<name::Endpoint, usize>,
    by_version: HashMap<Version, Vec<u32>>,
    /// Whether the endpoint in the slot belongs to the subset of one of its versions.
    in_subset: Vec<bool>,
    holders: HashMap<u64, SmallVec<[name::Endpoint; 2]>>,
}

impl View {
    /// An empty view of the entry `entry` in `region`.
    pub fn new(entry: &name::Entry, region: Region, settings: Settings) -> Self {
        Self {
            settings,
            region,
            default_share: 1.0,
            shares: HashMap::new(),
            entry_hash: xxhash_rust::xxh3::xxh3_64(entry.as_bytes()),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            by_version: HashMap::new(),
            in_subset: Vec::new(),
            holders: HashMap::new(),
        }
    }

    /// Adds an endpoint, or updates the announced facts of a known one and keeps what was learned.
    pub fn announce(&mut self, endpoint: Endpoint) {
        let Some(&index) = self.by_name.get(&endpoint.id) else {
            self.by_name.insert(endpoint.id.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
            self.rebuild_subsets();
            return;
        };
        let known = &mut self.endpoints[index];
        known.leaving = endpoint.leaving;
        if known.versions != endpoint.versions {
            known.versions = endpoint.versions;
            self.rebuild_subsets();
        }
    }

    /// Adds many endpoints with one rebuild of the index.
    pub fn extend(&mut self, endpoints: impl IntoIterator<Item = Endpoint>) {
        for endpoint in endpoints {
            self.by_name.insert(endpoint.id.clone(), self.endpoints.len());
            self.endpoints.push(endpoint);
        }
        self.rebuild_subsets();
    }

    /// Removes an endpoint whose announcement expired.
    pub fn remove(&mut self, id: &name::Endpoint) {
        if let Some(index) = self.by_name.remove(id) {
            let removed = self.endpoints.swap_remove(index);
            removed.prefix_order.iter().for_each(|prefix| self.remove_holder(*prefix, id));
            if let Some(moved) = self.endpoints.get(index) {
                self.by_name.insert(moved.id.clone(), index);
            }
            self.rebuild_subsets();
        }
    }

    /// The endpoint called `id`.
    pub fn get(&self, id: &name::Endpoint) -> Option<&Endpoint> {
        self.by_name.get(id).map(|index| &self.endpoints[*index])
    }

    /// The endpoint called `id`, for updates.
    pub fn get_mut(&mut self, id: &name::Endpoint) -> Option<&mut Endpoint> {
        self.by_name.get(id).map(|index| &mut self.endpoints[*index])
    }

    /// All endpoints.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Slots of the endpoints that serve `version` and belong to this entry's subset.
    pub fn serving(&self, version: &Version) -> &[u32] {
        self.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// The endpoint in `slot`, as returned by [`Self::serving`].
    pub fn endpoint_at(&self, index: u32) -> &Endpoint {
        &self.endpoints[index as usize]
    }

    /// This entry's share of the slots of the endpoints that serve `version`, 0 to 1.
    pub fn share(&self, version: &Version) -> f64 {
        self.shares.get(version).copied().unwrap_or(self.default_share)
    }

    /// Sets this entry's share of the slots, from [`crate::share::of_entry`]. A least share remains
    /// so that an entry without demand can serve its first requests before the next digest.
    pub fn set_share(&mut self, version: &Version, share: f64) {
        let min = self.settings.min_share;
        self.shares.insert(version.clone(), share.clamp(min, 1.0));
    }

    /// Slots of all endpoints in service that serve `version`, for all entries together.
    pub fn total_slots(&self, version: &Version) -> f64 {
        let serving = self.serving(version).iter().map(|index| self.endpoint_at(*index));
        let in_service = serving.filter(|e| !e.leaving && e.ejection.is_serving());
        in_service.map(|endpoint| endpoint.limit.slots()).sum()
    }

    /// Expected time between tokens of `version`: the mean over the reports of its busy endpoints.
    pub fn token_gap(&self, version: &Version) -> Option<Duration> {
        let reports =
            self.serving(version).iter().filter_map(|index| self.endpoint_at(*index).report);
        let busy = reports.filter(|report| !report.token_gap.is_zero());
        let (sum, count) = busy.fold((Duration::ZERO, 0_u32), |(sum, count), report| {
            (sum + report.token_gap, count + 1)
        });
        sum.checked_div(count)
    }

    /// Takes in a load report that was measured at `measured_at`. Older reports are ignored.
    pub fn on_report(
        &mut self,
        id: &name::Endpoint,
        report: Report,
        measured_at: Duration,
        now: Duration,
        random: &mut dyn Rng,
    ) {
        let settings = self.settings.limit.clone();
        let eject = self.settings.eject.clone();
        let Some(endpoint) = self.get_mut(id) else { return };
        endpoint.received_at = now;
        if endpoint.report.is_some() && measured_at <= endpoint.measured_at {
            return;
        }
        endpoint.discard_changes_until(measured_at);
        endpoint.report = Some(report);
        endpoint.measured_at = measured_at;
        endpoint.limit.on_report(&settings, &report, random);
        if !report.token_gap.is_zero() {
            let ratio = report.token_gap.as_secs_f64() * endpoint.rates.tokens_per_s;
            endpoint.ejection.on_report(&eject, ratio, now);
        }
    }

    /// Records that a request was sent to `id`.
    pub fn on_sent(&mut self, id: &name::Endpoint, now: Duration) {
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.outstanding += 1;
            endpoint.record_change(now, 1);
            endpoint.ejection.on_sent(now);
        }
    }

    /// Records that a request at `id` ended, and what it showed about the endpoint.
    pub fn on_done(&mut self, id: &name::Endpoint, outcome: eject::Outcome, now: Duration) {
        let settings = self.settings.eject.clone();
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
            endpoint.record_change(now, -1);
            endpoint.ejection.observe(&settings, outcome, now);
        }
    }

    /// Records what an open request showed about the endpoint: its first token, or a missed
    /// progress deadline.
    pub fn on_progress(&mut self, id: &name::Endpoint, outcome: eject::Outcome, now: Duration) {
        let settings = self.settings.eject.clone();
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.ejection.observe(&settings, outcome, now);
        }
    }

    /// Records a cache event: `id` holds, or no longer holds, the prefix with hash `prefix`. Events
    /// of endpoints outside the subset are ignored.
    pub fn on_cache_event(&mut self, id: &name::Endpoint, prefix: u64, held: bool) {
        let Some(&index) = self.by_name.get(id) else { return };
        if !self.in_subset[index] {
            return;
        }
        self.remove_holder(prefix, id);
        if !held {
            self.endpoints[index].remove_prefix(prefix);
            return;
        }
        self.holders.entry(prefix).or_default().push(id.clone());
        if let Some(evicted) = self.endpoints[index].add_prefix(prefix) {
            self.remove_holder(evicted, id);
        }
    }

    fn remove_holder(&mut self, prefix: u64, id: &name::Endpoint) {
        let Some(holders) = self.holders.get_mut(&prefix) else { return };
        holders.retain(|holder| holder != id);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    /// Slots of the endpoints that are believed to hold `prefix`, latest first.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = u32> {
        let holders = self.holders.get(&prefix).into_iter().flatten().rev();
        let indices = holders.filter_map(|id| self.by_name.get(id));
        indices.filter_map(|index| u32::try_from(*index).ok())
    }

    /// Rebuilds the subset of each version: the endpoints with the smallest hash of entry and name.
    fn rebuild_subsets(&mut self) {
        let mut ranked: HashMap<Version, Vec<(u64, u32)>> = HashMap::new();
        for (index, endpoint) in (0_u32..).zip(&self.endpoints) {
            let hash =
                xxhash_rust::xxh3::xxh3_64_with_seed(endpoint.id.as_bytes(), self.entry_hash);
            for version in &endpoint.versions {
                ranked.entry(version.clone()).or_default().push((hash, index));
            }
        }
        let subset = self.settings.subset_size;
        let smallest = |mut list: Vec<(u64, u32)>| {
            list.sort_unstable();
            list.truncate(subset);
            list.into_iter().map(|(_, index)| index).collect()
        };
        self.by_version =
            ranked.into_iter().map(|(version, list)| (version, smallest(list))).collect();
        self.in_subset = vec![false; self.endpoints.len()];
        for index in self.by_version.values().flatten() {
            self.in_subset[*index as usize] = true;
        }
    }
}
