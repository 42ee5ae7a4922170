//! Settings of a control replica.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use hickoryreel_consensus as consensus;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Address of the links.
    pub links: SocketAddrV4,
    /// Link addresses of replicas that were known when the settings were written.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Folder for the state that survives a restart.
    pub data: PathBuf,
    /// Time between two announcements of an endpoint.
    pub announce_interval: Duration,
    /// Largest share of a service's requests that may reach an unproved version.
    pub exposure: f64,
    /// Longest time until an order or read is answered. Callers try another replica after 1 s.
    pub answer_limit: Duration,
    /// Settings of the log.
    pub log: consensus::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let any = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: String::new(),
            links: any,
            seeds: Vec::new(),
            bootstrap: false,
            data: PathBuf::new(),
            announce_interval: Duration::from_millis(1_200),
            exposure: 0.15,
            answer_limit: Duration::from_millis(900),
            log: log_settings(),
        }
    }
}

/// Settings of the log for small disks and long links: a heartbeat of 120 ms is ten times the
/// delay between regions, and 16 configurations of the largest size fit in memory.
fn log_settings() -> consensus::Settings {
    consensus::Settings {
        heartbeat: Duration::from_millis(120),
        election_min: Duration::from_millis(600),
        election_max: Duration::from_millis(1_100),
        max_payload_bytes: 8 << 20,
        max_append_bytes: 256 << 10,
        max_append_entries: 128,
        max_uncommitted_bytes: 32 << 20,
        max_snapshot_bytes: 64 << 20,
        trailing_entries: 256,
        trailing_bytes: 4 << 20,
        segment_bytes: 4 << 20,
        ..consensus::Settings::default()
    }
}
