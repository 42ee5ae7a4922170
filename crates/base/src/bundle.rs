//! Bundles: which versions each workspace may use, how traffic is shared, what each rank is owed.
//!
//! A bundle is an INI file. [`parse`] reads it and reports every mistake at once; the resulting
//! [`Bundle`] is immutable and travels through the replicated log as text.

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

/// A checked bundle.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Bundle {
    /// The deployment this bundle is for.
    pub deployment: Option<Deployment>,
    /// Share of answers that must meet the quality bar, 0 to 1.
    pub quality_target: f64,
    /// What matters most to the deployment.
    pub weights: Weights,
    /// How a new bundle is rolled out.
    pub roll_out: RollOut,
    /// Versions by name.
    pub versions: BTreeMap<Version, VersionTerms>,
    /// What each rank is owed, indexed by [`Rank::index`].
    pub ranks: [RankTerms; 3],
    /// Workspaces by name.
    pub workspaces: BTreeMap<Workspace, WorkspaceTerms>,
    /// Plain services by name.
    pub services: BTreeMap<Service, ServiceTerms>,
    /// Price of traffic between two regions, in currency units per gigabyte.
    pub region_prices: BTreeMap<(Region, Region), f64>,
}

/// Weights of the deployment's measures; only their ratio matters.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Weights {
    /// Weight of urgent latency.
    pub urgent_latency: f64,
    /// Weight of exposure to bad versions.
    pub exposure: f64,
    /// Weight of service kept during floods.
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
    /// Share of traffic at each step, in percent, growing, last 100.
    pub steps: SmallVec<[u8; 8]>,
    /// Requests a new version may answer in one step before its health is known.
    pub exposure_budget: u32,
    /// Least time in one step, in seconds.
    pub step_s: u32,
}

impl Default for RollOut {
    fn default() -> Self {
        Self { steps: SmallVec::from_slice(&[5, 25, 50, 100]), exposure_budget: 200, step_s: 60 }
    }
}

/// Terms of one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct VersionTerms {
    /// Price per 1,000 tokens, in currency units.
    pub price_per_1k: f64,
    /// The version it replaces, against which its health is judged.
    pub replaces: Option<Version>,
    /// Revision of the withdrawal that the bundle lifts when it comes into force. It has to name
    /// the newest withdrawal of the version, so that no bundle lifts a withdrawal unknowingly.
    pub restores: Option<u64>,
}

/// What one rank is owed.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RankTerms {
    /// Target for the first token, in milliseconds.
    pub first_token_ms: u32,
    /// Target between tokens, in milliseconds.
    pub between_tokens_ms: u32,
    /// Share of capacity guaranteed to the rank under load, 0 to 1.
    pub floor: f64,
    /// Objective of the service-level report: share of requests within target, 0 to 1.
    pub objective: f64,
}

impl RankTerms {
    /// Terms of `rank` when a bundle does not state them.
    pub fn standard(rank: Rank) -> Self {
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

impl Default for RankTerms {
    fn default() -> Self {
        Self::standard(Rank::Normal)
    }
}

/// Terms of one workspace.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceTerms {
    /// Lower-case hexadecimal SHA-256 of the workspace key.
    pub key_sha256: String,
    /// Weight of the workspace among the others.
    pub weight: f64,
    /// Ranks it may use.
    pub ranks: SmallVec<[Rank; 3]>,
    /// Allowed versions with their share of the traffic to their model.
    pub versions: SmallVec<[Share; 8]>,
    /// Plain services it may use.
    pub services: SmallVec<[Service; 4]>,
}

impl WorkspaceTerms {
    /// Whether the workspace may use `version`.
    pub fn allows(&self, version: &Version) -> bool {
        self.versions.iter().any(|share| share.version == *version)
    }
}

/// One allowed version and its share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The version.
    pub version: Version,
    /// Share relative to the other versions of the same model.
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

/// Terms of one plain service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceTerms {
    /// Paths under the service whose calls may not be repeated.
    pub run_once: BTreeSet<String>,
}

impl ServiceTerms {
    /// Whether a call to `path` may not be repeated. A listed path covers the paths below it.
    pub fn is_run_once(&self, path: &str) -> bool {
        let path = path.trim_matches('/');
        self.run_once.iter().any(|listed| {
            path.strip_prefix(listed.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        })
    }
}

impl Bundle {
    /// Terms of `rank`.
    pub fn rank(&self, rank: Rank) -> &RankTerms {
        &self.ranks[rank.index()]
    }

    /// Models known to the bundle.
    pub fn models(&self) -> BTreeSet<Model> {
        self.versions.keys().map(Version::model).collect()
    }

    /// The workspace whose key hashes to `key_sha256`.
    pub fn workspace_by_key(&self, key_sha256: &str) -> Option<(&Workspace, &WorkspaceTerms)> {
        self.workspaces.iter().find(|(_, terms)| terms.key_sha256 == key_sha256)
    }
}

/// Lower-case hexadecimal SHA-256 of `key`.
pub fn key_sha256(key: &str) -> String {
    use sha2::Digest;

    let digest = sha2::Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a bundle; `file` is only used in messages.
pub fn parse(file: &str, text: &str) -> Result<Bundle, Vec<Mistake>> {
    let document = Document::parse(file, text)?;
    let head = document.section("bundle");
    let bundle = Bundle {
        deployment: head.required("deployment", "a deployment name"),
        quality_target: fraction(&head, "quality-target", 0.95),
        weights: weights(&document.section("weights")),
        roll_out: roll_out(&document.section("roll-out")),
        versions: versions(&document),
        ranks: Rank::ALL.map(|rank| rank_terms(&document, rank)),
        workspaces: workspaces(&document),
        services: services(&document),
        region_prices: region_prices(&document.section("region-prices"), &document),
    };
    check_references(&document, &bundle);
    document.finish()?;
    Ok(bundle)
}

fn fraction(section: &Section<'_>, key: &str, default: f64) -> f64 {
    let value = section.or(key, "a number from 0 to 1", default);
    if !(0.0..=1.0).contains(&value) {
        section.mistake(key, format!("found {value}, expected a number from 0 to 1"));
    }
    value
}

fn positive(section: &Section<'_>, key: &str, default: f64) -> f64 {
    let value = section.or(key, "a number above 0", default);
    if !(value.is_finite() && value > 0.0) {
        section.mistake(key, format!("found {value}, expected a number above 0"));
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
    let standard = RollOut::default();
    let mut steps: SmallVec<[u8; 8]> =
        section.list("steps", "percentages such as 5, 25, 50, 100").into();
    if steps.is_empty() {
        steps = standard.steps;
    }
    let grows = steps.windows(2).all(|pair| pair[0] < pair[1]);
    if !grows || steps.first() == Some(&0) || steps.last() != Some(&100) {
        section.mistake("steps", "expected growing percentages above 0 that end at 100");
    }
    RollOut {
        steps,
        exposure_budget: section.or(
            "exposure-budget",
            "a number of requests",
            standard.exposure_budget,
        ),
        step_s: section.or("step-s", "a number of seconds", standard.step_s),
    }
}

fn versions(document: &Document) -> BTreeMap<Version, VersionTerms> {
    let mut versions = BTreeMap::new();
    for name in document.named("version") {
        let header = format!("version {name}");
        let section = document.section(&header);
        if !name.contains('/') {
            section.mistake("", "expected [version MODEL/LABEL]");
        }
        let terms = VersionTerms {
            price_per_1k: positive(&section, "price-per-1k", 1.0),
            replaces: section.optional("replaces", "a version name"),
            restores: section.optional("restores", "the revision of a withdrawal"),
        };
        versions.insert(Version::from(name), terms);
    }
    versions
}

fn rank_terms(document: &Document, rank: Rank) -> RankTerms {
    let standard = RankTerms::standard(rank);
    let header = format!("rank {rank}");
    let section = document.section(&header);
    RankTerms {
        first_token_ms: section.or("first-token-ms", "milliseconds", standard.first_token_ms),
        between_tokens_ms: section.or(
            "between-tokens-ms",
            "milliseconds",
            standard.between_tokens_ms,
        ),
        floor: fraction(&section, "floor", standard.floor),
        objective: fraction(&section, "objective", standard.objective),
    }
}

fn workspaces(document: &Document) -> BTreeMap<Workspace, WorkspaceTerms> {
    let mut workspaces = BTreeMap::new();
    for name in document.named("workspace") {
        let header = format!("workspace {name}");
        let section = document.section(&header);
        let key: Option<String> = section.required("key-sha256", "64 hexadecimal digits");
        let terms = WorkspaceTerms {
            key_sha256: key.unwrap_or_default().to_lowercase(),
            weight: positive(&section, "weight", 1.0),
            ranks: section.list("ranks", "urgent, normal or bulk").into(),
            versions: section.list("versions", "MODEL/LABEL or MODEL/LABEL:SHARE").into(),
            services: section.list("services", "service names").into(),
        };
        let is_hash = terms.key_sha256.len() == 64
            && terms.key_sha256.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hash {
            section.mistake("key-sha256", "expected 64 hexadecimal digits");
        }
        workspaces.insert(Workspace::from(name), terms);
    }
    workspaces
}

fn services(document: &Document) -> BTreeMap<Service, ServiceTerms> {
    let mut services = BTreeMap::new();
    for name in document.named("service") {
        let header = format!("service {name}");
        let section = document.section(&header);
        let paths: Vec<String> = section.list("run-once", "paths");
        let run_once = paths.iter().map(|path| path.trim_matches('/').to_owned()).collect();
        services.insert(Service::from(name), ServiceTerms { run_once });
    }
    services
}

/// Reads lines such as `attica, crete = 0.02`. A price holds in both directions.
fn region_prices(section: &Section<'_>, document: &Document) -> BTreeMap<(Region, Region), f64> {
    let mut prices = BTreeMap::new();
    for key in document.keys("region-prices") {
        let price = positive(section, &key, 1.0);
        let Some((from, to)) = key.split_once('-') else {
            section.mistake(&key, "expected REGION-REGION as the key");
            continue;
        };
        prices.insert((Region::from(from), Region::from(to)), price);
        prices.insert((Region::from(to), Region::from(from)), price);
    }
    prices
}

/// Checks that every name used in one section is defined in another.
fn check_references(document: &Document, bundle: &Bundle) {
    for (version, terms) in &bundle.versions {
        if let Some(replaced) = &terms.replaces
            && !bundle.versions.contains_key(replaced)
        {
            let header = format!("version {version}");
            document.mistake(&header, "replaces", format!("version {replaced} is not defined"));
        }
    }
    for (name, terms) in &bundle.workspaces {
        let header = format!("workspace {name}");
        for share in &terms.versions {
            if !bundle.versions.contains_key(&share.version) {
                let problem = format!("version {} is not defined", share.version);
                document.mistake(&header, "versions", problem);
            }
        }
        for service in &terms.services {
            if !bundle.services.contains_key(service) {
                document.mistake(&header, "services", format!("service {service} is not defined"));
            }
        }
        let twin = bundle
            .workspaces
            .iter()
            .any(|(other, others)| other < name && others.key_sha256 == terms.key_sha256);
        if twin {
            document.mistake(&header, "key-sha256", "another workspace has the same key");
        }
    }
    let floors: f64 = bundle.ranks.iter().map(|terms| terms.floor).sum();
    if floors > 1.0 {
        document.mistake("rank urgent", "floor", format!("floors add up to {floors}, above 1"));
    }
}

/// One difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// Section and key, for example `version quill/v2: price-per-1k`. The key is empty for the
    /// section itself.
    pub path: String,
    /// Value in the old bundle; `None` when the key or section is new.
    pub old: Option<String>,
    /// Value in the new bundle; `None` when the key or section is gone.
    pub new: Option<String>,
}

/// What differs between two bundles, in order of path. Two bundles are equal if and only if there
/// is no difference.
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

/// Values of one section under construction.
struct Values<'a> {
    section: String,
    into: &'a mut BTreeMap<String, String>,
}

impl Values<'_> {
    fn set(&mut self, key: &str, value: impl std::fmt::Display) -> &mut Self {
        self.into.insert(format!("{}: {key}", self.section), value.to_string());
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
    /// Every value of the bundle by its path, as written in a file.
    fn values(&self) -> BTreeMap<String, String> {
        let mut into = BTreeMap::new();
        let mut section = |name: String, fill: &dyn Fn(&mut Values<'_>)| {
            fill(&mut Values { section: name, into: &mut into });
        };
        section("bundle".to_owned(), &|values| {
            values.optional("deployment", self.deployment.as_ref());
            values.set("quality-target", self.quality_target);
        });
        section("weights".to_owned(), &|values| self.weights.list_in(values));
        section("roll-out".to_owned(), &|values| self.roll_out.list_in(values));
        for (name, terms) in &self.versions {
            section(format!("version {name}"), &|values| terms.list_in(values));
        }
        for rank in Rank::ALL {
            section(format!("rank {rank}"), &|values| self.rank(rank).list_in(values));
        }
        for (name, terms) in &self.workspaces {
            section(format!("workspace {name}"), &|values| terms.list_in(values));
        }
        for (name, terms) in &self.services {
            section(format!("service {name}"), &|values| {
                values.set("", "").list("run-once", &terms.run_once);
            });
        }
        section("region-prices".to_owned(), &|values| {
            for ((from, to), price) in &self.region_prices {
                values.set(&format!("{from}-{to}"), price);
            }
        });
        into
    }
}

impl Weights {
    fn list_in(&self, values: &mut Values<'_>) {
        values.set("urgent-latency", self.urgent_latency);
        values.set("exposure", self.exposure).set("flood", self.flood);
    }
}

impl RollOut {
    fn list_in(&self, values: &mut Values<'_>) {
        values.list("steps", &self.steps).set("exposure-budget", self.exposure_budget);
        values.set("step-s", self.step_s);
    }
}

impl VersionTerms {
    fn list_in(&self, values: &mut Values<'_>) {
        values.set("", "").set("price-per-1k", self.price_per_1k);
        values.optional("replaces", self.replaces.as_ref());
        values.optional("restores", self.restores.as_ref());
    }
}

impl RankTerms {
    fn list_in(&self, values: &mut Values<'_>) {
        values.set("first-token-ms", self.first_token_ms);
        values.set("between-tokens-ms", self.between_tokens_ms);
        values.set("floor", self.floor).set("objective", self.objective);
    }
}

impl WorkspaceTerms {
    fn list_in(&self, values: &mut Values<'_>) {
        values.set("", "").set("key-sha256", &self.key_sha256).set("weight", self.weight);
        values.list("ranks", self.ranks.iter());
        let versions =
            self.versions.iter().map(|share| format!("{}:{}", share.version, share.weight));
        values.list("versions", versions).list("services", self.services.iter());
    }
}
