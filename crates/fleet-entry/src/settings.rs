//! Settings of an entry process.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub name: String,
    /// Availability zone of the VM.
    pub zone: String,
    /// Pairs of an availability zone and its region.
    pub regions: Vec<(String, String)>,
    /// Address for clients.
    pub listen: SocketAddrV4,
    /// Address for links, on which operators ask for explanations; `None` for none.
    pub links: Option<SocketAddrV4>,
    /// Link addresses of the control replicas to poll first; they name the others.
    pub seeds: Vec<SocketAddrV4>,
    /// Duration of the lease under which keys are accepted, from the start of the poll that renews
    /// it.
    pub lease: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Retries per first send within the window, over all entries.
    pub retry_ratio: f64,
    pub retry_window: Duration,
    /// Retries beyond the ratio in a window, over all entries.
    pub retry_slack: f64,
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Maximum size of an answer without events, in bytes.
    pub max_answer_bytes: usize,
    /// Maximum size of a stream's data from one event to the next, in bytes.
    pub max_event_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            regions: Vec::new(),
            listen: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            links: None,
            seeds: Vec::new(),
            lease: Duration::from_millis(4_200),
            grace: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_window: Duration::from_secs(10),
            retry_slack: 8.0,
            memory: 88 << 20,
            max_answer_bytes: 8 << 20,
            max_event_bytes: 256 << 10,
        }
    }
}

impl Settings {
    /// Returns the region of an availability zone, or the zone itself if it is unknown.
    pub fn region<'a>(&'a self, zone: &'a str) -> &'a str {
        self.known_region(zone).unwrap_or(zone)
    }

    /// Returns the region of an availability zone, unless it is unknown.
    pub fn known_region(&self, zone: &str) -> Option<&str> {
        let known = self.regions.iter().find(|(known, _)| known == zone);
        known.map(|(_, region)| region.as_str())
    }
}
