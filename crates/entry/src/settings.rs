//! Settings of an entry. docs/entry-settings.md lists every key with unit, default and bounds.

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

use crate::answer;
use crate::dial;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry, stable over restarts.
    pub name: Entry,
    /// Address to take requests on.
    pub listen: SocketAddr,
    /// JSON-RPC addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Key that calls to the control replicas carry; they carry none when absent.
    pub cluster_key: Option<String>,
    /// Region of this VM.
    pub region: Region,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// SHA-256 of the key that announcements carry; announcements need no key when absent.
    pub announce_key_sha256: Option<String>,
    /// Entries of the deployment; each uses its part of an endpoint's slots.
    pub entries: u32,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Longest time a request body may take.
    pub body_timeout: Duration,
    /// Largest `max_tokens` of a request.
    pub max_tokens: u32,
    /// Time between two lease renewals.
    pub renew_every: Duration,
    /// Most requests in the queue of each rank and pool.
    pub queue: [usize; 3],
    /// Records that may be open or not yet acknowledged as closed.
    pub max_records: usize,
    /// Longest wait for the commit of an open.
    pub record_timeout: Duration,
    /// A dispatch that was not written this long after the request arrived is not written.
    pub dispatch_timeout: Duration,
    /// Longest time to open a connection to an endpoint.
    pub connect_timeout: Duration,
    /// Idle connections kept for one endpoint.
    pub idle_connections: usize,
    /// Longest wait for the first event of an answer.
    pub first_event_timeout: Duration,
    /// Longest wait for each further event.
    pub progress_timeout: Duration,
    /// Attempts to resume a stream without progress in between.
    pub resumes: u32,
    /// Largest event of an answer, in bytes.
    pub max_event: usize,
    /// Longest time for a call to a plain service.
    pub call_timeout: Duration,
    /// Largest answer of a plain service, in bytes.
    pub max_answer: usize,
    /// Largest answer that is kept for resends of a run-once call, in bytes.
    pub max_stored: usize,
    /// Longest time that the end of an answer waits for the acknowledged close of its record.
    pub close_wait: Duration,
    /// Time at a stop between readiness turning off and the end of accepting.
    pub drain_wait: Duration,
    /// Longest wait for the last records at a stop.
    pub stop_timeout: Duration,
    /// Lowest level of log lines.
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
            renew_every: Duration::from_millis(500),
            queue: [2_048, 2_048, 8_192],
            max_records: 20_000,
            record_timeout: Duration::from_secs(3),
            dispatch_timeout: Duration::from_secs(60),
            connect_timeout: Duration::from_millis(500),
            idle_connections: 512,
            first_event_timeout: Duration::from_secs(5),
            progress_timeout: Duration::from_secs(2),
            resumes: 5,
            max_event: 256 << 10,
            call_timeout: Duration::from_secs(10),
            max_answer: 4 << 20,
            max_stored: 4 << 10,
            close_wait: Duration::from_secs(1),
            drain_wait: Duration::ZERO,
            stop_timeout: Duration::from_secs(60),
            log_level: slog::Level::Info,
        }
    }
}

impl Settings {
    /// Deadlines and limits of an answer.
    pub fn answer(&self) -> answer::Settings {
        answer::Settings {
            first_event: self.first_event_timeout,
            progress: self.progress_timeout,
            resumes: self.resumes,
            max_event: self.max_event,
        }
    }

    /// Limits of the connections to endpoints.
    pub fn dial(&self) -> dial::Settings {
        dial::Settings {
            connect_timeout: self.connect_timeout,
            idle_most: self.idle_connections,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Reads a settings file.
pub fn load(path: &Path) -> eyre::Result<Settings> {
    settings::load(path, |document| {
        let standard = Settings::default();
        let entry = document.section("entry");
        let mut settings = Settings {
            name: entry.required("name", "a name")?,
            listen: entry.required("listen", "ADDRESS:PORT")?,
            control: entry.list("control", "ADDRESS:PORT"),
            cluster_key: entry.text("cluster-key").filter(|key| !key.is_empty()),
            region: entry.required("region", "a region name")?,
            zone: entry.required("zone", "an availability zone name")?,
            announce_key_sha256: announce_key(&entry),
            log_level: entry.value_or("log-level", "a log level", standard.log_level),
            ..standard
        };
        if settings.control.is_empty() {
            entry.record_mistake(
                "control",
                "missing, expected ADDRESS:PORT of each control replica",
            );
        }
        limits(&entry, &mut settings);
        timeouts(&entry, &mut settings);
        Some(settings)
    })
}

fn announce_key(entry: &Section<'_>) -> Option<String> {
    let hash = entry.text("announce-key-sha256")?.to_lowercase();
    if hash.len() != 64 || !hash.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        entry.record_mistake("announce-key-sha256", "expected 64 hexadecimal digits");
    }
    Some(hash)
}

fn limits(entry: &Section<'_>, settings: &mut Settings) {
    bounded(entry, "entries", &mut settings.entries, 1..=10_000);
    bounded(entry, "max-body", &mut settings.max_body, 1_024..=256 << 20);
    bounded(entry, "max-tokens", &mut settings.max_tokens, 1..=10_000_000);
    for (key, value) in
        ["queue-urgent", "queue-normal", "queue-bulk"].into_iter().zip(&mut settings.queue)
    {
        bounded(entry, key, value, 1..=1_000_000);
    }
    bounded(entry, "max-records", &mut settings.max_records, 16..=1_000_000);
    bounded(entry, "idle-connections", &mut settings.idle_connections, 0..=10_000);
    bounded(entry, "resumes", &mut settings.resumes, 0..=100);
    bounded(entry, "max-event", &mut settings.max_event, 1_024..=16 << 20);
    bounded(entry, "max-answer", &mut settings.max_answer, 1_024..=256 << 20);
    bounded(entry, "max-stored", &mut settings.max_stored, 0..=64 << 10);
}

fn timeouts(entry: &Section<'_>, settings: &mut Settings) {
    let list = [
        ("body-timeout-ms", &mut settings.body_timeout, 10..=600_000),
        // Six renewals have to fit into a lease of 3 s, so that a few lost answers don't end it.
        ("renew-every-ms", &mut settings.renew_every, 10..=500),
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
    for (key, value, range) in list {
        let mut millis = u64::try_from(value.as_millis()).unwrap_or(u64::MAX);
        bounded(entry, key, &mut millis, range);
        *value = Duration::from_millis(millis);
    }
}

/// Reads `key` into `value`; a number outside of `range` is a mistake.
fn bounded<T: Copy + Display + FromStr + PartialOrd>(
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
