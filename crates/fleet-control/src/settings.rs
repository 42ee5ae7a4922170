//! Settings of a control replica.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::time::Duration;

use hickoryreel_consensus as consensus;

use crate::cold_admission::Limit;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Address on which this replica accepts links.
    pub link_address: SocketAddrV4,
    /// Link addresses of the replicas that were known when the settings were written.
    pub seeds: Vec<SocketAddrV4>,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Directory of the state that survives a restart.
    pub data_dir: PathBuf,
    /// Number of voting replicas that the fault tolerance needs: one more than twice the number of
    /// disks that may be lost at the same time. Voters are not removed below it unless a replica
    /// replaces them, and while a deployment starts for the first time, nothing is acknowledged
    /// before so many vote.
    pub held_voters: usize,
    /// Interval between the announcements of an endpoint.
    pub announce_interval: Duration,
    /// Maximum share of a service's requests that may reach a version that has not passed its
    /// trial, from 0 to 1.
    pub exposure_limit: f64,
    /// Window of the retry budget that the entries share.
    pub retry_window: Duration,
    /// Availability zones of the deployment.
    pub zones: Vec<String>,
    /// Limit on the requests to an endpoint that warms up.
    pub cold_limit: Limit,
    /// Time after which an operator command or read fails. Callers try another replica after 1 s.
    pub answer_timeout: Duration,
    /// Settings of the replicated log.
    pub log: consensus::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        Self {
            name: String::new(),
            zone: String::new(),
            link_address: any_port,
            seeds: Vec::new(),
            bootstrap: false,
            data_dir: PathBuf::new(),
            held_voters: 3,
            announce_interval: Duration::from_millis(1_200),
            exposure_limit: 0.15,
            retry_window: Duration::from_secs(10),
            zones: Vec::new(),
            cold_limit: Limit::default(),
            answer_timeout: Duration::from_millis(900),
            log: log_settings(),
        }
    }
}

/// Settings of the replicated log for small disks and links between regions. The heartbeat of 120
/// ms is ten times the delay between regions. The limits leave room in memory for 16 configurations
/// of the maximum size.
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
