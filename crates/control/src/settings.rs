//! Settings of a control replica. docs/settings.md lists every key.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use hickoryreel_base::ini::Document;
use hickoryreel_base::ini::Section;
use hickoryreel_base::name::Operator;
use hickoryreel_base::settings;
use hickoryreel_base::settings::milliseconds;
use hickoryreel_base::settings::number;
use hickoryreel_consensus as consensus;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::limits::Limits;

use crate::address::Address;

/// Allowed numbers of replicas in a new cluster. An even number tolerates no more failures than the
/// next smaller odd number.
const CLUSTER_SIZES: [usize; 3] = [1, 3, 5];

/// Format of the hash of a key, as described in error messages.
const KEY_HASH_FORMAT: &str = "expected the SHA-256 of the key, 64 hexadecimal digits";

#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for JSON-RPC from entries, endpoints and other replicas.
    pub rpc: SocketAddr,
    /// Address of the administration interface.
    pub admin: SocketAddr,
    /// Addresses at which others reach this replica; they differ from `rpc` and `admin` behind a
    /// proxy.
    pub advertise: Address,
    /// Folder of the persistent state.
    pub data: PathBuf,
    /// Initial replicas of a new cluster; used only while the data folder is empty.
    pub replicas: Vec<Address>,
    /// Shared key of the processes; calls are not authenticated without it.
    pub cluster_key: Option<String>,
    /// SHA-256 of the key of endpoints and of the rater. Without it, announcements and ratings need
    /// no key.
    pub announce_key_sha256: Option<String>,
    /// SHA-256 of each operator's key.
    pub operators: BTreeMap<Operator, String>,
    /// Length of the lease of an entry.
    pub lease: Duration,
    /// How much longer than `lease` the leader considers a lease held, for clocks that run at
    /// different rates.
    pub lease_margin: Duration,
    /// Timeout of one call to another replica.
    pub call_timeout: Duration,
    /// Timeout of a read or write, for example while there is no quorum.
    pub request_timeout: Duration,
    /// Maximum number of queued tasks for the control-state thread.
    pub queue: usize,
    /// Maximum number of queued messages for one other replica.
    pub peer_queue: usize,
    /// Number of applied log entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is written.
    pub snapshot_bytes: usize,
    pub consensus: consensus::Settings,
    /// Limits on the replicated state.
    pub limits: Limits,
    /// Interval between two runs of the controllers.
    pub controller_period: Duration,
    /// How long an endpoint is queried for a run of a lapsed entry before it counts as unreachable.
    pub settle_patience: Duration,
    /// Age at which a run of a lapsed entry is cancelled.
    pub run_deadline: Duration,
    /// Minimum time between two orders to engines, because of the rate limit of the weight store.
    pub order_interval: Duration,
    /// Minimum level of log lines.
    pub log_level: slog::Level,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            rpc: any_port,
            admin: any_port,
            advertise: Address { rpc: any_port, admin: any_port },
            data: PathBuf::new(),
            replicas: Vec::new(),
            cluster_key: None,
            announce_key_sha256: None,
            operators: BTreeMap::new(),
            lease: Duration::from_secs(3),
            lease_margin: Duration::from_millis(50),
            call_timeout: Duration::from_millis(250),
            request_timeout: Duration::from_secs(3),
            queue: 16_384,
            peer_queue: 1_024,
            snapshot_entries: 50_000,
            snapshot_bytes: 16 << 20,
            consensus: consensus::Settings::default(),
            limits: Limits::default(),
            controller_period: Duration::from_millis(250),
            settle_patience: Duration::from_secs(10),
            run_deadline: Duration::from_secs(600),
            order_interval: Duration::from_secs(2),
            log_level: slog::Level::Info,
        }
    }
}

/// Reads a settings file.
pub fn load(path: &Path) -> eyre::Result<Settings> {
    settings::load(path, read)
}

fn read(document: &Document) -> Option<Settings> {
    let defaults = Settings::default();
    let control = document.section("control");
    let rpc = control.required("rpc", "ADDRESS:PORT");
    let admin = control.required("admin", "ADDRESS:PORT");
    let data = control.required("data", "a folder");
    let cluster_key = control.text("cluster-key").filter(|key| !key.is_empty());
    let announce_key_sha256 = control.text("announce-key-sha256").map(|hash| hash.to_lowercase());
    if announce_key_sha256.as_ref().is_some_and(|hash| !is_hash(hash)) {
        control.record_mistake("announce-key-sha256", KEY_HASH_FORMAT);
    }
    let advertise = control.optional("advertise", "RPC/ADMIN");
    let operators = operators(document);
    let limits = limits(document.section("records"));
    let optional = optional_settings(control, defaults);
    let (rpc, admin, data) = (rpc?, admin?, data?);
    let advertise = advertise.unwrap_or(Address { rpc, admin });
    if cluster_key.is_none() && !rpc.ip().is_loopback() {
        control.record_mistake("cluster-key", "missing; it is optional only on a loopback address");
    }
    Some(Settings {
        rpc,
        admin,
        advertise,
        data,
        replicas: replicas(control, advertise),
        cluster_key,
        announce_key_sha256,
        operators,
        limits,
        ..optional
    })
}

/// The initial replicas of a new cluster. If `replicas` is missing, a replica on a loopback address
/// forms a cluster by itself unless it joins one.
fn replicas(control: Section<'_>, own_address: Address) -> Vec<Address> {
    let join = control.value_or("join", "true or false", false);
    let addresses: Vec<Address> = control.list("replicas", "RPC/ADMIN, RPC/ADMIN, ...");
    if join {
        return Vec::new();
    }
    if addresses.is_empty() {
        if !own_address.rpc.ip().is_loopback() {
            control.record_mistake(
                "replicas",
                "missing; list the replicas of the new cluster or set join",
            );
        }
        return vec![own_address];
    }
    if !CLUSTER_SIZES.contains(&addresses.len()) {
        control.record_mistake(
            "replicas",
            format!("found {} replicas, expected 1, 3 or 5", addresses.len()),
        );
    }
    if !addresses.contains(&own_address) {
        control.record_mistake(
            "replicas",
            format!("expected this replica, {own_address}, among them"),
        );
    }
    addresses
}

fn optional_settings(control: Section<'_>, defaults: Settings) -> Settings {
    let log_defaults = defaults.consensus.clone();
    let heartbeat = milliseconds(control, "heartbeat-ms", log_defaults.heartbeat, 10..=5_000);
    let election_min =
        milliseconds(control, "election-min-ms", log_defaults.election_min, 50..=60_000);
    let election_max =
        milliseconds(control, "election-max-ms", log_defaults.election_max, 100..=120_000);
    if election_min < 2 * heartbeat {
        control.record_mistake("election-min-ms", "expected at least two heartbeats");
    }
    if election_max <= election_min {
        control.record_mistake("election-max-ms", "expected more than election-min-ms");
    }
    let unit = "items";
    Settings {
        lease: milliseconds(control, "lease-ms", defaults.lease, 500..=60_000),
        lease_margin: milliseconds(control, "lease-margin-ms", defaults.lease_margin, 0..=5_000),
        call_timeout: milliseconds(control, "call-timeout-ms", defaults.call_timeout, 20..=10_000),
        request_timeout: milliseconds(
            control,
            "request-timeout-ms",
            defaults.request_timeout,
            100..=60_000,
        ),
        queue: number(control, "queue", unit, defaults.queue, 64..=1_000_000),
        peer_queue: number(control, "peer-queue", unit, defaults.peer_queue, 16..=100_000),
        snapshot_entries: number(
            control,
            "snapshot-entries",
            "log entries",
            defaults.snapshot_entries,
            100..=100_000_000,
        ),
        snapshot_bytes: number(
            control,
            "snapshot-bytes",
            "bytes",
            defaults.snapshot_bytes,
            10_000..=1 << 32,
        ),
        consensus: consensus::Settings { heartbeat, election_min, election_max, ..log_defaults },
        controller_period: milliseconds(
            control,
            "controller-period-ms",
            defaults.controller_period,
            20..=10_000,
        ),
        settle_patience: milliseconds(
            control,
            "settle-patience-ms",
            defaults.settle_patience,
            1_000..=600_000,
        ),
        run_deadline: milliseconds(
            control,
            "run-deadline-ms",
            defaults.run_deadline,
            1_000..=86_400_000,
        ),
        order_interval: milliseconds(
            control,
            "order-interval-ms",
            defaults.order_interval,
            100..=3_600_000,
        ),
        log_level: control.value_or("log-level", "a log level", defaults.log_level),
        ..defaults
    }
}

fn limits(section: Section<'_>) -> Limits {
    let defaults = Limits::default();
    let seconds = |key, default_ms: u64| {
        number(section, key, "seconds", default_ms / 1000, 60..=90 * 24 * 3600) * 1000
    };
    let count_range = 1..=100_000_000;
    Limits {
        records: number(section, "records", "per workspace", defaults.records, count_range.clone()),
        record_age_ms: seconds("record-age-s", defaults.record_age_ms),
        pins: number(section, "pins", "per workspace", defaults.pins, count_range),
        pin_age_ms: seconds("pin-age-s", defaults.pin_age_ms),
        stored_bytes: number(section, "stored-bytes", "bytes", defaults.stored_bytes, 0..=1 << 20),
        ..defaults
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn operators(document: &Document) -> BTreeMap<Operator, String> {
    let section = document.section("operators");
    let mut operators = BTreeMap::new();
    for name in document.keys("operators") {
        let Some(hash) = section.text(&name) else { continue };
        if name == SYSTEM {
            section.record_mistake(&name, "this name stands for the system's own writes");
        }
        if !is_hash(&hash) {
            section.record_mistake(&name, KEY_HASH_FORMAT);
        }
        if operators.values().any(|other_hash| *other_hash == hash) {
            section.record_mistake(&name, "two operators have the same key");
        }
        operators.insert(Operator::from(name.as_str()), hash.to_lowercase());
    }
    operators
}
