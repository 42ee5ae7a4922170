//! Settings of an entry.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region of each availability zone.
    pub regions: Vec<(String, String)>,
    /// Address for clients.
    pub listen: SocketAddrV4,
    /// Link addresses of control replicas that were known when the settings were written.
    pub seeds: Vec<SocketAddrV4>,
    /// Length of the lease under which keys are honoured, counted from before it was asked for.
    pub lease: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Second sends per first send within the window, over all entries.
    pub retry_ratio: f64,
    /// Window of the ratio.
    pub retry_window: Duration,
    /// Second sends beyond the ratio in a window, over all entries.
    pub retry_slack: f64,
    /// Memory of the process, in bytes.
    pub memory: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            regions: Vec::new(),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            seeds: Vec::new(),
            lease: Duration::from_millis(4_200),
            grace: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 8.0,
            memory: 88 << 20,
        }
    }
}

impl Settings {
    /// Region of an availability zone; the zone itself if it is unknown.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.regions.iter().find(|(one, _)| one == zone).map_or(zone, |(_, region)| region)
    }
}
