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

/// Numbers of replicas a new cluster may have. Even numbers survive no more failures than the odd
/// number below.
const CLUSTER_SIZES: [usize; 3] = [1, 3, 5];

/// What a hash of a key looks like.
const HASH_EXPECTED: &str = "expected the SHA-256 of the key, 64 hexadecimal digits";

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address for JSON-RPC from entries, endpoints and other replicas.
    pub rpc: SocketAddr,
    /// Address of the administration interface.
    pub admin: SocketAddr,
    /// Address at which others reach this replica; differs from `rpc` and `admin` behind a relay.
    pub advertise: Address,
    /// Folder for the state that survives a restart.
    pub data: PathBuf,
    /// Replicas of a new cluster; used only while the data folder is empty.
    pub replicas: Vec<Address>,
    /// Key between processes.
    pub cluster_key: Option<String>,
    /// SHA-256 of the key of endpoints and the rater, if announcements and ratings need one.
    pub announce_key_sha256: Option<String>,
    /// SHA-256 of each operator's key.
    pub operators: BTreeMap<Operator, String>,
    /// Length of an entry's lease.
    pub lease: Duration,
    /// Added to the leader's count of a lease for clocks that run at different rates.
    pub lease_margin: Duration,
    /// Limit for one call to another replica.
    pub call_timeout: Duration,
    /// Limit for a write or read whose quorum is lost.
    pub request_timeout: Duration,
    /// Work that may wait for the control-state thread.
    pub queue: usize,
    /// Messages that may wait for one other replica.
    pub peer_queue: usize,
    /// Applied entries after which a snapshot is written.
    pub snapshot_entries: u64,
    /// Bytes of applied commands after which a snapshot is written.
    pub snapshot_bytes: usize,
    /// Settings of the log.
    pub consensus: consensus::Settings,
    /// Limits on the replicated state.
    pub limits: Limits,
    /// Time between two rounds of the controllers.
    pub controller_period: Duration,
    /// How long an endpoint is asked for a run of a dead entry before it counts as unreachable.
    pub settle_patience: Duration,
    /// Age at which a run of a dead entry is cancelled.
    pub run_deadline: Duration,
    /// Time between two orders to engines, for the rate limit of the weight store.
    pub order_interval: Duration,
    /// Lowest level of log lines.
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
    let standard = Settings::default();
    let control = document.section("control");
    let rpc = control.required("rpc", "ADDRESS:PORT");
    let admin = control.required("admin", "ADDRESS:PORT");
    let data = control.required("data", "a folder");
    let cluster_key = control.text("cluster-key").filter(|key| !key.is_empty());
    let announce_key_sha256 = control.text("announce-key-sha256").map(|hash| hash.to_lowercase());
    if announce_key_sha256.as_ref().is_some_and(|hash| !is_hash(hash)) {
        control.record_mistake("announce-key-sha256", HASH_EXPECTED);
    }
    let advertise = control.optional("advertise", "RPC/ADMIN");
    let operators = operators(document);
    let limits = limits(document.section("records"));
    let tuned = tuning(control, standard);
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
        ..tuned
    })
}

/// The replicas of a new cluster. Without the key, a replica on a loopback address is a cluster of
/// its own unless it joins one.
fn replicas(control: Section<'_>, own: Address) -> Vec<Address> {
    let join = control.value_or("join", "true or false", false);
    let listed: Vec<Address> = control.list("replicas", "RPC/ADMIN, RPC/ADMIN, ...");
    if join {
        return Vec::new();
    }
    if listed.is_empty() {
        if !own.rpc.ip().is_loopback() {
            control.record_mistake(
                "replicas",
                "missing; list the replicas of the new cluster or set join",
            );
        }
        return vec![own];
    }
    if !CLUSTER_SIZES.contains(&listed.len()) {
        control.record_mistake(
            "replicas",
            format!("found {} replicas, expected 1, 3 or 5", listed.len()),
        );
    }
    if !listed.contains(&own) {
        control.record_mistake("replicas", format!("expected this replica, {own}, among them"));
    }
    listed
}

fn tuning(control: Section<'_>, standard: Settings) -> Settings {
    let log = standard.consensus.clone();
    let heartbeat = milliseconds(control, "heartbeat-ms", log.heartbeat, 10..=5_000);
    let election_min = milliseconds(control, "election-min-ms", log.election_min, 50..=60_000);
    let election_max = milliseconds(control, "election-max-ms", log.election_max, 100..=120_000);
    if election_min < 2 * heartbeat {
        control.record_mistake("election-min-ms", "expected at least two heartbeats");
    }
    if election_max <= election_min {
        control.record_mistake("election-max-ms", "expected more than election-min-ms");
    }
    let count = "items";
    Settings {
        lease: milliseconds(control, "lease-ms", standard.lease, 500..=60_000),
        lease_margin: milliseconds(control, "lease-margin-ms", standard.lease_margin, 0..=5_000),
        call_timeout: milliseconds(control, "call-timeout-ms", standard.call_timeout, 20..=10_000),
        request_timeout: milliseconds(
            control,
            "request-timeout-ms",
            standard.request_timeout,
            100..=60_000,
        ),
        queue: number(control, "queue", count, standard.queue, 64..=1_000_000),
        peer_queue: number(control, "peer-queue", count, standard.peer_queue, 16..=100_000),
        snapshot_entries: number(
            control,
            "snapshot-entries",
            "log entries",
            standard.snapshot_entries,
            100..=100_000_000,
        ),
        snapshot_bytes: number(
            control,
            "snapshot-bytes",
            "bytes",
            standard.snapshot_bytes,
            10_000..=1 << 32,
        ),
        consensus: consensus::Settings { heartbeat, election_min, election_max, ..log },
        controller_period: milliseconds(
            control,
            "controller-period-ms",
            standard.controller_period,
            20..=10_000,
        ),
        settle_patience: milliseconds(
            control,
            "settle-patience-ms",
            standard.settle_patience,
            1_000..=600_000,
        ),
        run_deadline: milliseconds(
            control,
            "run-deadline-ms",
            standard.run_deadline,
            1_000..=86_400_000,
        ),
        order_interval: milliseconds(
            control,
            "order-interval-ms",
            standard.order_interval,
            100..=3_600_000,
        ),
        log_level: control.value_or("log-level", "a log level", standard.log_level),
        ..standard
    }
}

fn limits(section: Section<'_>) -> Limits {
    let standard = Limits::default();
    let seconds = |key, default_ms: u64| {
        number(section, key, "seconds", default_ms / 1000, 60..=90 * 24 * 3600) * 1000
    };
    let many = 1..=100_000_000;
    Limits {
        records: number(section, "records", "per workspace", standard.records, many.clone()),
        record_age_ms: seconds("record-age-s", standard.record_age_ms),
        pins: number(section, "pins", "per workspace", standard.pins, many),
        pin_age_ms: seconds("pin-age-s", standard.pin_age_ms),
        stored_bytes: number(section, "stored-bytes", "bytes", standard.stored_bytes, 0..=1 << 20),
        ..standard
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
            section.record_mistake(&name, HASH_EXPECTED);
        }
        if operators.values().any(|known| *known == hash) {
            section.record_mistake(&name, "two operators have the same key");
        }
        operators.insert(Operator::from(name.as_str()), hash.to_lowercase());
    }
    operators
}
