//! One entry's view of the endpoints.
//!
//! Announcements, load reports, cache events and the outcomes of the entry's own requests update
//! the [`View`]. It is soft state, which may be delayed, incomplete or wrong.

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

/// Maximum prefixes recorded for one endpoint; the oldest is evicted first.
const MAX_PREFIXES: usize = 4_096;

/// Load report of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests queued at the endpoint.
    pub waiting: u32,
    /// Largest batch that the endpoint runs.
    pub max_running: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_backlog: u32,
    /// Mean time between tokens of one running request; zero if idle.
    pub token_gap: Duration,
}

/// Estimated throughput of a healthy endpoint.
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

/// This entry's state of one endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub id: name::Endpoint,
    pub region: Region,
    pub zone: Zone,
    /// Versions that the endpoint serves. An instance of a plain service is listed under its
    /// service name.
    pub versions: SmallVec<[Version; 2]>,
    /// Whether the endpoint announced its departure and receives no new requests.
    pub leaving: bool,
    pub rates: Rates,
    /// Latest load report; `None` before the first one.
    pub report: Option<Report>,
    /// Time at which the latest report was measured.
    pub measured_at: Duration,
    /// Arrival time of the last report, also if that report was outdated.
    pub received_at: Duration,
    pub ejection: Ejection,
    pub limit: Limit,
    /// This entry's outstanding requests at the endpoint.
    pub outstanding: u32,
    /// This entry's sends (+1) and completions (-1) since the latest report was measured.
    recent_changes: VecDeque<(Duration, i8)>,
    recent_change_sum: i64,
    prefixes: HashSet<u64>,
    prefix_order: VecDeque<u64>,
}

impl Endpoint {
    /// Creates an endpoint without load, report or prefixes.
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

    /// Adds a version that the endpoint serves.
    pub fn with_version(mut self, version: Version) -> Self {
        self.versions.push(version);
        self
    }

    /// Change of this entry's outstanding requests since the latest report was measured.
    pub fn own_load_change(&self) -> i64 {
        self.recent_change_sum
    }

    /// Estimated requests at the endpoint: the latest report corrected by this entry's later sends
    /// and completions, and at least this entry's outstanding requests.
    pub fn load(&self) -> u32 {
        let report = self.report.unwrap_or_default();
        let total = i64::from(report.running + report.waiting) + self.recent_change_sum;
        u32::try_from(total.max(i64::from(self.outstanding))).unwrap_or(0)
    }

    /// Records that the endpoint holds the prefix with hash `prefix`. Returns the prefix that was
    /// evicted for it, if any.
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

    /// Whether reports of the endpoint stopped arriving. Reports that arrive late still count.
    pub fn is_silent(&self, settings: &Settings, now: Duration) -> bool {
        self.report.is_some() && now.saturating_sub(self.received_at) > settings.silence_timeout
    }

    /// Whether the prefix is recorded as held by the endpoint.
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
    /// Maximum endpoints of one version that this entry uses. With a larger subset, load reports
    /// and probes of rarely used endpoints would dominate the entry's data.
    pub subset_size: usize,
    /// Lower bound of this entry's share of the slots of an endpoint, 0 to 1.
    pub min_share: f64,
    /// Time without a report after which an endpoint is treated like an ejected one. Reports arrive
    /// twice a second; three consecutive reports may be lost.
    pub silence_timeout: Duration,
    pub limit: limit::Settings,
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

/// State of all endpoints that are known to one entry.
#[derive(Clone, Debug)]
pub struct View {
    pub settings: Settings,
    pub region: Region,
    /// This entry's share of the slots before the first digest, 0 to 1; usually one divided by the
    /// number of entries.
    pub default_share: f64,
    shares: HashMap<Version, f64>,
    /// Seed of the subset hash, so that each entry uses a different subset.
    entry_hash: u64,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<name::Endpoint, usize>,
    by_version: HashMap<Version, Vec<u32>>,
    /// Whether the endpoint at this index belongs to the subset of one of its versions.
    in_subset: Vec<bool>,
    /// Endpoints that hold a prefix, by its hash, most recent last.
    holders: HashMap<u64, SmallVec<[name::Endpoint; 2]>>,
}

impl View {
    /// Creates an empty view for the entry `entry` in `region`.
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

    /// Adds an endpoint, or updates the announced attributes of a known one and keeps its measured
    /// state.
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

    /// Adds endpoints that are not known yet, and rebuilds the subsets only once.
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

    pub fn get(&self, id: &name::Endpoint) -> Option<&Endpoint> {
        self.by_name.get(id).map(|index| &self.endpoints[*index])
    }

    pub fn get_mut(&mut self, id: &name::Endpoint) -> Option<&mut Endpoint> {
        self.by_name.get(id).map(|index| &mut self.endpoints[*index])
    }

    /// All known endpoints, including those outside the subsets.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// Indices of the endpoints that serve `version` and belong to this entry's subset.
    pub fn serving(&self, version: &Version) -> &[u32] {
        self.by_version.get(version).map_or(&[], Vec::as_slice)
    }

    /// The endpoint at `index`, as returned by [`Self::serving`].
    pub fn endpoint_at(&self, index: u32) -> &Endpoint {
        &self.endpoints[index as usize]
    }

    /// This entry's share of the slots of the endpoints that serve `version`, 0 to 1.
    pub fn share(&self, version: &Version) -> f64 {
        self.shares.get(version).copied().unwrap_or(self.default_share)
    }

    /// Sets this entry's share of the slots, from [`crate::share::entry_share`]. The lower bound
    /// lets an entry without demand serve its first requests before the next digest.
    pub fn set_share(&mut self, version: &Version, share: f64) {
        let min = self.settings.min_share;
        self.shares.insert(version.clone(), share.clamp(min, 1.0));
    }

    /// Sum of the concurrency limits of the endpoints in service that serve `version`, for all
    /// entries together.
    pub fn total_slots(&self, version: &Version) -> f64 {
        let serving = self.serving(version).iter().map(|index| self.endpoint_at(*index));
        let in_service =
            serving.filter(|endpoint| !endpoint.leaving && endpoint.ejection.is_serving());
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

    /// Applies a load report that was measured at `measured_at`. A report that is not newer
    /// than the latest one only updates [`Endpoint::received_at`].
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

    /// Records that a request at `id` ended, with its outcome for the endpoint.
    pub fn on_done(&mut self, id: &name::Endpoint, outcome: eject::Outcome, now: Duration) {
        let settings = self.settings.eject.clone();
        if let Some(endpoint) = self.get_mut(id) {
            endpoint.outstanding = endpoint.outstanding.saturating_sub(1);
            endpoint.record_change(now, -1);
            endpoint.ejection.observe(&settings, outcome, now);
        }
    }

    /// Records an outcome of a request that is still outstanding: its first token, or a missed
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

    /// Indices of the endpoints that are recorded as holding `prefix`, most recent first.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = u32> {
        let holders = self.holders.get(&prefix).into_iter().flatten().rev();
        let indices = holders.filter_map(|id| self.by_name.get(id));
        indices.filter_map(|index| u32::try_from(*index).ok())
    }

    /// Rebuilds the subset of each version: the endpoints with the smallest hashes of entry and
    /// endpoint name (rendezvous hashing).
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
