//! Settings of an entry. docs/entry-settings.md lists every key with its unit, default and bounds.

use std::fmt::Display;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::str::FromStr;
use std::time::Duration;

use hickoryreel_base::ini::Section;
use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Zone;
use hickoryreel_base::settings;

use crate::connection_pool;
use crate::run_stream;

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry. It stays the same over restarts.
    pub name: Entry,
    /// Address to accept requests on.
    pub listen: SocketAddr,
    /// JSON-RPC addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Key for the calls to the control replicas. If absent, the calls carry no key.
    pub cluster_key: Option<String>,
    /// Region of this VM.
    pub region: Region,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// SHA-256 of the key for announcements. If absent, announcements need no key.
    pub announce_key_sha256: Option<String>,
    /// Number of entries of the deployment. Each uses its share of an endpoint's slots.
    pub entries: u32,
    /// Maximum size of a request body, in bytes.
    pub max_body: usize,
    /// Maximum time to receive a request body.
    pub body_timeout: Duration,
    /// Maximum `max_tokens` of a request.
    pub max_tokens: u32,
    pub renew_interval: Duration,
    /// Maximum requests in the queue of each rank, per pool.
    pub queue_capacity: [usize; 3],
    /// Maximum records that are open or whose close is not acknowledged.
    pub max_records: usize,
    /// Maximum wait for the commit that opens a record.
    pub record_timeout: Duration,
    /// Time after the arrival of a request after which it is not dispatched any more.
    pub dispatch_timeout: Duration,
    /// Maximum time to connect to an endpoint.
    pub connect_timeout: Duration,
    /// Maximum idle connections to one endpoint.
    pub idle_connections: usize,
    /// Maximum wait for the first event of a response.
    pub first_event_timeout: Duration,
    /// Maximum wait for each further event.
    pub progress_timeout: Duration,
    /// Maximum consecutive attempts to resume a stream without progress.
    pub max_resumes: u32,
    /// Maximum size of one event of a response, in bytes.
    pub max_event: usize,
    /// Maximum time for a call to a plain service.
    pub call_timeout: Duration,
    /// Maximum size of the response of a plain service, in bytes.
    pub max_response: usize,
    /// Maximum size of a response that is stored for resends of a run-once call, in bytes.
    pub max_stored_response: usize,
    /// Maximum time that the end of a response is delayed until the close of its record is
    /// acknowledged.
    pub close_wait: Duration,
    /// Time during shutdown between the end of readiness and the end of accepting requests.
    pub drain_wait: Duration,
    /// Maximum wait during shutdown for the close of the last records.
    pub stop_timeout: Duration,
    /// Minimum level of log lines.
    pub log_level: slog::Level,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Entry::from("entry"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: Vec::new(),
            cluster_key: None,
            region: Region::from("region"),
            zone: Zone::from("zone"),
            announce_key_sha256: None,
            entries: 1,
            max_body: 4 << 20,
            body_timeout: Duration::from_secs(10),
            max_tokens: 32_768,
            renew_interval: Duration::from_millis(500),
            queue_capacity: [2_048, 2_048, 8_192],
            max_records: 20_000,
            record_timeout: Duration::from_secs(3),
            dispatch_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_millis(500),
            idle_connections: 512,
            first_event_timeout: Duration::from_secs(5),
            progress_timeout: Duration::from_secs(2),
            max_resumes: 5,
            max_event: 256 << 10,
            call_timeout: Duration::from_secs(10),
            max_response: 4 << 20,
            max_stored_response: 4 << 10,
            close_wait: Duration::from_secs(1),
            drain_wait: Duration::ZERO,
            stop_timeout: Duration::from_secs(60),
            log_level: slog::Level::Info,
        }
    }
}

impl Settings {
    /// Timeouts and limits of a run stream.
    pub fn run_stream(&self) -> run_stream::Settings {
        run_stream::Settings {
            first_event_timeout: self.first_event_timeout,
            progress_timeout: self.progress_timeout,
            max_resumes: self.max_resumes,
            max_event_bytes: self.max_event,
        }
    }

    /// Limits of the connection pool.
    pub fn connection_pool(&self) -> connection_pool::Settings {
        connection_pool::Settings {
            connect_timeout: self.connect_timeout,
            max_idle: self.idle_connections,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

pub fn load(path: &Path) -> eyre::Result<Settings> {
    settings::load(path, |document| {
        let defaults = Settings::default();
        let entry = document.section("entry");
        let mut settings = Settings {
            name: entry.required("name", "a name")?,
            listen: entry.required("listen", "ADDRESS:PORT")?,
            control: entry.list("control", "ADDRESS:PORT"),
            cluster_key: entry.text("cluster-key").filter(|key| !key.is_empty()),
            region: entry.required("region", "a region name")?,
            zone: entry.required("zone", "an availability zone name")?,
            announce_key_sha256: read_announce_key(&entry),
            log_level: entry.value_or("log-level", "a log level", defaults.log_level),
            ..defaults
        };
        if settings.control.is_empty() {
            entry.record_mistake(
                "control",
                "missing, expected ADDRESS:PORT of each control replica",
            );
        }
        read_limits(&entry, &mut settings);
        read_timeouts(&entry, &mut settings);
        Some(settings)
    })
}

fn read_announce_key(entry: &Section<'_>) -> Option<String> {
    let hash = entry.text("announce-key-sha256")?.to_lowercase();
    if hash.len() != 64 || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        entry.record_mistake("announce-key-sha256", "expected 64 hexadecimal digits");
    }
    Some(hash)
}

fn read_limits(entry: &Section<'_>, settings: &mut Settings) {
    read_bounded(entry, "entries", &mut settings.entries, 1..=10_000);
    read_bounded(entry, "max-body", &mut settings.max_body, 1_024..=256 << 20);
    read_bounded(entry, "max-tokens", &mut settings.max_tokens, 1..=10_000_000);
    for (key, value) in
        ["queue-urgent", "queue-normal", "queue-bulk"].into_iter().zip(&mut settings.queue_capacity)
    {
        read_bounded(entry, key, value, 1..=1_000_000);
    }
    read_bounded(entry, "max-records", &mut settings.max_records, 16..=1_000_000);
    read_bounded(entry, "idle-connections", &mut settings.idle_connections, 0..=10_000);
    read_bounded(entry, "resumes", &mut settings.max_resumes, 0..=100);
    read_bounded(entry, "max-event", &mut settings.max_event, 1_024..=16 << 20);
    read_bounded(entry, "max-answer", &mut settings.max_response, 1_024..=256 << 20);
    read_bounded(entry, "max-stored", &mut settings.max_stored_response, 0..=64 << 10);
}

fn read_timeouts(entry: &Section<'_>, settings: &mut Settings) {
    let timeouts = [
        ("body-timeout-ms", &mut settings.body_timeout, 10..=600_000),
        // At least six renewals must fit into a lease of 3 s, so that a few lost responses do not
        // let it lapse.
        ("renew-every-ms", &mut settings.renew_interval, 10..=500),
        ("record-timeout-ms", &mut settings.record_timeout, 100..=60_000),
        ("dispatch-timeout-ms", &mut settings.dispatch_timeout, 100..=600_000),
        ("connect-timeout-ms", &mut settings.connect_timeout, 10..=10_000),
        ("first-event-timeout-ms", &mut settings.first_event_timeout, 50..=600_000),
        ("progress-timeout-ms", &mut settings.progress_timeout, 50..=600_000),
        ("call-timeout-ms", &mut settings.call_timeout, 50..=600_000),
        ("close-wait-ms", &mut settings.close_wait, 0..=10_000),
        ("drain-wait-ms", &mut settings.drain_wait, 0..=600_000),
        ("stop-timeout-ms", &mut settings.stop_timeout, 0..=3_600_000),
    ];
    for (key, value, range) in timeouts {
        let mut millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        read_bounded(entry, key, &mut millis, range);
        *value = Duration::from_millis(millis);
    }
}

/// Reads `key` into `value` and records a mistake if the number is outside `range`.
fn read_bounded<T: Copy + Display + FromStr + PartialOrd>(
    entry: &Section<'_>,
    key: &str,
    value: &mut T,
    range: RangeInclusive<T>,
) {
    let expected = format!("a number from {} to {}", range.start(), range.end());
    *value = entry.value_or(key, &expected, *value);
    if !range.contains(value) {
        entry.record_mistake(key, format!("found {value}, expected {expected}"));
    }
}
