//! Bundles: the versions each workspace may use, the traffic split and the targets of each rank.
//!
//! A bundle is an INI file. [`parse`] validates it and reports all mistakes at once. The resulting
//! [`Bundle`] is immutable; the replicated log contains the text of the file.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::ini::Document;
use crate::ini::Mistake;
use crate::ini::Section;
use crate::name::Deployment;
use crate::name::Model;
use crate::name::Region;
use crate::name::Service;
use crate::name::Version;
use crate::name::Workspace;
use crate::rank::Rank;

/// A validated bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The deployment that the bundle configures. Always present in a parsed bundle.
    pub deployment: Option<Deployment>,
    /// Share of answers that have to meet the quality bar, 0 to 1.
    pub quality_target: f64,
    /// Relative importance of the performance measures.
    pub weights: Weights,
    /// How the bundle is rolled out.
    pub roll_out: RollOut,
    pub versions: BTreeMap<Version, VersionConfig>,
    /// Configuration of each rank, indexed by [`Rank::index`].
    pub ranks: [RankConfig; 3],
    pub workspaces: BTreeMap<Workspace, WorkspaceConfig>,
    pub services: BTreeMap<Service, ServiceConfig>,
    /// Price of traffic between two regions, in currency units per gigabyte. Contains both
    /// directions.
    pub region_prices: BTreeMap<(Region, Region), f64>,
}

/// Weights of the performance measures of a deployment. Only their ratio matters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of the latency of urgent requests.
    pub urgent_latency: f64,
    /// Weight of the exposure of requests to bad versions.
    pub exposure: f64,
    /// Weight of the service level during floods of requests.
    pub flood: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self { urgent_latency: 1.0, exposure: 1.0, flood: 1.0 }
    }
}

/// Roll-out plan of a bundle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// Share of traffic at each step, in percent. Strictly increasing; the last step is 100.
    pub steps: SmallVec<[u8; 8]>,
    /// Requests that a new version may answer in one step before its health is known.
    pub exposure_budget: u32,
    /// Minimum duration of a step, in seconds.
    pub step_s: u32,
}

impl Default for RollOut {
    fn default() -> Self {
        Self { steps: SmallVec::from_slice(&[5, 25, 50, 100]), exposure_budget: 200, step_s: 60 }
    }
}

/// Configuration of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionConfig {
    /// Price per 1,000 tokens, in currency units.
    pub price_per_1k: f64,
    /// The version that it replaces, which is the baseline for judging its health.
    pub replaces: Option<Version>,
    /// Revision of the withdrawal that the bundle lifts when it comes into force. It has to be the
    /// newest withdrawal of the version, so that a bundle never lifts a withdrawal that its author
    /// did not know.
    pub restores: Option<u64>,
}

/// Configuration of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankConfig {
    /// Target for the time to first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target for the time between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// Share of capacity guaranteed to the rank under load, 0 to 1.
    pub floor: f64,
    /// Service-level objective: share of requests that meet the targets, 0 to 1.
    pub objective: f64,
}

impl RankConfig {
    /// Defaults of `rank`.
    pub fn default_for(rank: Rank) -> Self {
        match rank {
            Rank::Urgent => {
                Self { first_token_ms: 350, between_tokens_ms: 45, floor: 0.5, objective: 0.995 }
            }
            Rank::Normal => {
                Self { first_token_ms: 2_000, between_tokens_ms: 90, floor: 0.2, objective: 0.99 }
            }
            Rank::Bulk => Self {
                first_token_ms: 30_000,
                between_tokens_ms: 500,
                floor: 0.05,
                objective: 0.95,
            },
        }
    }
}

impl Default for RankConfig {
    fn default() -> Self {
        Self::default_for(Rank::Normal)
    }
}

/// Configuration of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceConfig {
    /// Lower-case hexadecimal SHA-256 of the workspace key.
    pub key_sha256: String,
    /// Weight in fair sharing, relative to the other workspaces.
    pub weight: f64,
    /// Allowed ranks.
    pub ranks: SmallVec<[Rank; 3]>,
    /// Allowed versions, each with its share of the traffic to its model.
    pub versions: SmallVec<[Share; 8]>,
    /// Allowed plain services.
    pub services: SmallVec<[Service; 4]>,
}

impl WorkspaceConfig {
    /// Whether the workspace may use `version`.
    pub fn allows(&self, version: &Version) -> bool {
        self.versions.iter().any(|share| share.version == *version)
    }
}

/// An allowed version and its traffic share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    pub version: Version,
    /// Weight relative to the other versions of the same model.
    pub weight: u32,
}

impl std::str::FromStr for Share {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (version, weight) = text.rsplit_once(':').unwrap_or((text, "100"));
        let version = version.parse().map_err(|error| format!("{error}"))?;
        let weight = weight.parse().map_err(|error| format!("{error}"))?;
        Ok(Self { version, weight })
    }
}

/// Configuration of one plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceConfig {
    /// Paths of the service to which a call must not be sent more than once.
    pub run_once: BTreeSet<String>,
}

impl ServiceConfig {
    /// Whether a call to `path` must not be sent more than once. A configured path includes all
    /// paths below it.
    pub fn is_run_once(&self, path: &str) -> bool {
        let path = path.trim_matches('/');
        self.run_once.iter().any(|prefix| {
            path.strip_prefix(prefix.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}

impl Bundle {
    /// Configuration of `rank`.
    pub fn rank(&self, rank: Rank) -> &RankConfig {
        &self.ranks[rank.index()]
    }

    /// Models of all versions in the bundle.
    pub fn models(&self) -> BTreeSet<Model> {
        self.versions.keys().map(Version::model).collect()
    }

    /// The workspace whose key hashes to `key_sha256`.
    pub fn workspace_by_key(&self, key_sha256: &str) -> Option<(&Workspace, &WorkspaceConfig)> {
        self.workspaces.iter().find(|(_, config)| config.key_sha256 == key_sha256)
    }
}

/// Lower-case hexadecimal SHA-256 of `key`.
pub fn key_sha256(key: &str) -> String {
    use sha2::Digest;

    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses and validates a bundle; `file` is used in messages only.
pub fn parse(file: &str, text: &str) -> Result<Bundle, Vec<Mistake>> {
    let document = Document::parse(file, text)?;
    let bundle_section = document.section("bundle");
    let bundle = Bundle {
        deployment: bundle_section.required("deployment", "a deployment name"),
        quality_target: fraction(&bundle_section, "quality-target", 0.95),
        weights: weights(&document.section("weights")),
        roll_out: roll_out(&document.section("roll-out")),
        versions: versions(&document),
        ranks: Rank::ALL.map(|rank| rank_config(&document, rank)),
        workspaces: workspaces(&document),
        services: services(&document),
        region_prices: region_prices(&document.section("region-prices"), &document),
    };
    check_references(&document, &bundle);
    document.finish()?;
    Ok(bundle)
}

fn fraction(section: &Section<'_>, key: &str, default: f64) -> f64 {
    let value = section.value_or(key, "a number from 0 to 1", default);
    if !(0.0..=1.0).contains(&value) {
        section.record_mistake(key, format!("found {value}, expected a number from 0 to 1"));
    }
    value
}

fn positive(section: &Section<'_>, key: &str, default: f64) -> f64 {
    let value = section.value_or(key, "a number above 0", default);
    if !(value.is_finite() && value > 0.0) {
        section.record_mistake(key, format!("found {value}, expected a number above 0"));
    }
    value
}

fn weights(section: &Section<'_>) -> Weights {
    Weights {
        urgent_latency: positive(section, "urgent-latency", 1.0),
        exposure: positive(section, "exposure", 1.0),
        flood: positive(section, "flood", 1.0),
    }
}

fn roll_out(section: &Section<'_>) -> RollOut {
    let defaults = RollOut::default();
    let mut steps: SmallVec<[u8; 8]> =
        section.list("steps", "percentages such as 5, 25, 50, 100").into();
    if steps.is_empty() {
        steps = defaults.steps;
    }
    let increasing = steps.windows(2).all(|pair| pair[0] < pair[1]);
    if !increasing || steps.first() == Some(&0) || steps.last() != Some(&100) {
        section.record_mistake("steps", "expected growing percentages above 0 that end at 100");
    }
    RollOut {
        steps,
        exposure_budget: section.value_or(
            "exposure-budget",
            "a number of requests",
            defaults.exposure_budget,
        ),
        step_s: section.value_or("step-s", "a number of seconds", defaults.step_s),
    }
}

fn versions(document: &Document) -> BTreeMap<Version, VersionConfig> {
    let mut versions = BTreeMap::new();
    for name in document.section_names("version") {
        let header = format!("version {name}");
        let section = document.section(&header);
        if !name.contains('/') {
            section.record_mistake("", "expected [version MODEL/LABEL]");
        }
        let config = VersionConfig {
            price_per_1k: positive(&section, "price-per-1k", 1.0),
            replaces: section.optional("replaces", "a version name"),
            restores: section.optional("restores", "the revision of a withdrawal"),
        };
        versions.insert(Version::from(name), config);
    }
    versions
}

fn rank_config(document: &Document, rank: Rank) -> RankConfig {
    let defaults = RankConfig::default_for(rank);
    let header = format!("rank {rank}");
    let section = document.section(&header);
    RankConfig {
        first_token_ms: section.value_or("first-token-ms", "milliseconds", defaults.first_token_ms),
        between_tokens_ms: section.value_or(
            "between-tokens-ms",
            "milliseconds",
            defaults.between_tokens_ms,
        ),
        floor: fraction(&section, "floor", defaults.floor),
        objective: fraction(&section, "objective", defaults.objective),
    }
}

fn workspaces(document: &Document) -> BTreeMap<Workspace, WorkspaceConfig> {
    let mut workspaces = BTreeMap::new();
    for name in document.section_names("workspace") {
        let header = format!("workspace {name}");
        let section = document.section(&header);
        let key: Option<String> = section.required("key-sha256", "64 hexadecimal digits");
        let config = WorkspaceConfig {
            key_sha256: key.unwrap_or_default().to_lowercase(),
            weight: positive(&section, "weight", 1.0),
            ranks: section.list("ranks", "urgent, normal or bulk").into(),
            versions: section.list("versions", "MODEL/LABEL or MODEL/LABEL:SHARE").into(),
            services: section.list("services", "service names").into(),
        };
        let is_hash = config.key_sha256.len() == 64
            && config.key_sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash {
            section.record_mistake("key-sha256", "expected 64 hexadecimal digits");
        }
        workspaces.insert(Workspace::from(name), config);
    }
    workspaces
}

fn services(document: &Document) -> BTreeMap<Service, ServiceConfig> {
    let mut services = BTreeMap::new();
    for name in document.section_names("service") {
        let header = format!("service {name}");
        let section = document.section(&header);
        let paths: Vec<String> = section.list("run-once", "paths");
        let run_once = paths.iter().map(|path| path.trim_matches('/').to_owned()).collect();
        services.insert(Service::from(name), ServiceConfig { run_once });
    }
    services
}

/// Reads keys such as `attica-crete = 0.02`. A price applies to both directions.
fn region_prices(section: &Section<'_>, document: &Document) -> BTreeMap<(Region, Region), f64> {
    let mut prices = BTreeMap::new();
    for key in document.keys("region-prices") {
        let price = positive(section, &key, 1.0);
        let Some((from, to)) = key.split_once('-') else {
            section.record_mistake(&key, "expected REGION-REGION as the key");
            continue;
        };
        prices.insert((Region::from(from), Region::from(to)), price);
        prices.insert((Region::from(to), Region::from(from)), price);
    }
    prices
}

/// Checks that all referenced versions and services are defined, that workspace keys are unique,
/// and that the floors of the ranks do not exceed the capacity.
fn check_references(document: &Document, bundle: &Bundle) {
    for (version, config) in &bundle.versions {
        if let Some(replaced) = &config.replaces
            && !bundle.versions.contains_key(replaced)
        {
            let header = format!("version {version}");
            document.record_mistake(
                &header,
                "replaces",
                format!("version {replaced} is not defined"),
            );
        }
    }
    for (name, config) in &bundle.workspaces {
        let header = format!("workspace {name}");
        for share in &config.versions {
            if !bundle.versions.contains_key(&share.version) {
                let problem = format!("version {} is not defined", share.version);
                document.record_mistake(&header, "versions", problem);
            }
        }
        for service in &config.services {
            if !bundle.services.contains_key(service) {
                document.record_mistake(
                    &header,
                    "services",
                    format!("service {service} is not defined"),
                );
            }
        }
        let key_in_use = bundle.workspaces.iter().any(|(other, other_config)| {
            other < name && other_config.key_sha256 == config.key_sha256
        });
        if key_in_use {
            document.record_mistake(&header, "key-sha256", "another workspace has the same key");
        }
    }
    let floors: f64 = bundle.ranks.iter().map(|config| config.floor).sum();
    if floors > 1.0 {
        document.record_mistake(
            "rank urgent",
            "floor",
            format!("floors add up to {floors}, above 1"),
        );
    }
}

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Section and key, for example `version quill/v2: price-per-1k`. The key is empty for the
    /// section itself.
    pub path: String,
    /// Value in the old bundle; `None` if the key or section was added.
    pub old: Option<String>,
    /// Value in the new bundle; `None` if the key or section was removed.
    pub new: Option<String>,
}

/// The differences between two bundles, sorted by path. The list is empty if and only if the
/// bundles are equal.
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Difference> {
    let (old, new) = (old.values(), new.values());
    let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let changed = paths.into_iter().filter(|path| old.get(*path) != new.get(*path));
    changed
        .map(|path| Difference {
            path: path.clone(),
            old: old.get(path).cloned(),
            new: new.get(path).cloned(),
        })
        .collect()
}

/// Writes the values of one section into a map by path.
struct Values<'a> {
    section: String,
    output: &'a mut BTreeMap<String, String>,
}

impl Values<'_> {
    fn set(&mut self, key: &str, value: impl std::fmt::Display) -> &mut Self {
        self.output.insert(format!("{}: {key}", self.section), value.to_string());
        self
    }

    fn optional(&mut self, key: &str, value: Option<&impl std::fmt::Display>) -> &mut Self {
        if let Some(value) = value {
            self.set(key, value);
        }
        self
    }

    fn list<T: std::fmt::Display>(
        &mut self,
        key: &str,
        values: impl IntoIterator<Item = T>,
    ) -> &mut Self {
        let values: Vec<String> = values.into_iter().map(|value| value.to_string()).collect();
        self.set(key, values.join(", "))
    }
}

impl Bundle {
    /// All values of the bundle by path, formatted as in a file.
    fn values(&self) -> BTreeMap<String, String> {
        let mut output = BTreeMap::new();
        let mut section = |name: String, fill: &dyn Fn(&mut Values<'_>)| {
            fill(&mut Values { section: name, output: &mut output });
        };
        section("bundle".to_owned(), &|values| {
            values.optional("deployment", self.deployment.as_ref());
            values.set("quality-target", self.quality_target);
        });
        section("weights".to_owned(), &|values| self.weights.write_values(values));
        section("roll-out".to_owned(), &|values| self.roll_out.write_values(values));
        for (name, config) in &self.versions {
            section(format!("version {name}"), &|values| config.write_values(values));
        }
        for rank in Rank::ALL {
            section(format!("rank {rank}"), &|values| self.rank(rank).write_values(values));
        }
        for (name, config) in &self.workspaces {
            section(format!("workspace {name}"), &|values| config.write_values(values));
        }
        for (name, config) in &self.services {
            section(format!("service {name}"), &|values| {
                values.set("", "").list("run-once", &config.run_once);
            });
        }
        section("region-prices".to_owned(), &|values| {
            for ((from, to), price) in &self.region_prices {
                values.set(&format!("{from}-{to}"), price);
            }
        });
        output
    }
}

impl Weights {
    fn write_values(&self, values: &mut Values<'_>) {
        values.set("urgent-latency", self.urgent_latency);
        values.set("exposure", self.exposure).set("flood", self.flood);
    }
}

impl RollOut {
    fn write_values(&self, values: &mut Values<'_>) {
        values.list("steps", &self.steps).set("exposure-budget", self.exposure_budget);
        values.set("step-s", self.step_s);
    }
}

impl VersionConfig {
    fn write_values(&self, values: &mut Values<'_>) {
        values.set("", "").set("price-per-1k", self.price_per_1k);
        values.optional("replaces", self.replaces.as_ref());
        values.optional("restores", self.restores.as_ref());
    }
}

impl RankConfig {
    fn write_values(&self, values: &mut Values<'_>) {
        values.set("first-token-ms", self.first_token_ms);
        values.set("between-tokens-ms", self.between_tokens_ms);
        values.set("floor", self.floor).set("objective", self.objective);
    }
}

impl WorkspaceConfig {
    fn write_values(&self, values: &mut Values<'_>) {
        values.set("", "").set("key-sha256", &self.key_sha256).set("weight", self.weight);
        values.list("ranks", self.ranks.iter());
        let versions =
            self.versions.iter().map(|share| format!("{}:{}", share.version, share.weight));
        values.list("versions", versions).list("services", self.services.iter());
    }
}
