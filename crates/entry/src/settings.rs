//! Settings of an entry.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Region;
use hickoryreel_base::name::Zone;
use hickoryreel_base::settings;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry, stable over restarts.
    pub name: Entry,
    /// Address to take requests on.
    pub listen: SocketAddr,
    /// JSON-RPC addresses of the control replicas.
    pub control: Vec<SocketAddr>,
    /// Region of this VM.
    pub region: Region,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Longest time a request body may take.
    pub body_timeout: Duration,
    /// Time between two lease renewals.
    pub renew_every: Duration,
    /// Lowest level of log lines.
    pub log_level: slog::Level,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: Entry::from("entry"),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: Vec::new(),
            region: Region::from("region"),
            zone: Zone::from("zone"),
            max_body: 4 << 20,
            body_timeout: Duration::from_secs(10),
            renew_every: Duration::from_millis(500),
            log_level: slog::Level::Info,
        }
    }
}

/// Reads a settings file.
pub fn load(path: &Path) -> eyre::Result<Settings> {
    settings::load(path, |document| {
        let standard = Settings::default();
        let entry = document.section("entry");
        Some(Settings {
            name: entry.required("name", "a name")?,
            listen: entry.required("listen", "ADDRESS:PORT")?,
            control: entry.list("control", "ADDRESS:PORT"),
            region: entry.required("region", "a region name")?,
            zone: entry.required("zone", "an availability zone name")?,
            max_body: entry.or("max-body", "bytes", standard.max_body),
            log_level: entry.or("log-level", "a log level", standard.log_level),
            ..standard
        })
    })
}
