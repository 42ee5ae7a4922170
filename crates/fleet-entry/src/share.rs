//! Shares the open work at endpoints with the other entries.
//!
//! All entries post to the same replica, the first in order of the addresses, so that its sums are
//! complete. While it does not answer they post to the next one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Client;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::Report;
use slog::info;

use crate::entry::Entry;
use crate::follow::Followed;

/// Time between two posts. An endpoint of the largest deployments gets two or three requests in
/// it; posting more often costs more in bytes between regions than it gains.
const PERIOD: Duration = Duration::from_millis(250);

/// Longest wait for the sums.
const LIMIT: Duration = Duration::from_millis(500);

/// Time for which a replica that did not answer is passed over.
const AVOID_TIME: Duration = Duration::from_secs(3);

/// Posts until the entry stops.
pub async fn run(entry: Rc<Entry>, followed: Rc<Followed>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    let mut avoided: HashMap<SocketAddr, Duration> = HashMap::new();
    loop {
        tokio::time::sleep(PERIOD).await;
        let now = boot_time();
        avoided.retain(|_, until| now < *until);
        let mut replicas = followed.replicas();
        clients.retain(|address, _| replicas.contains(address));
        replicas.sort_unstable();
        let Some(replica) = replicas.into_iter().find(|one| !avoided.contains_key(one)) else {
            continue;
        };
        let start = || Client::start(replica, entry.log.clone());
        let client = clients.entry(replica).or_insert_with(start).clone();
        let post = Report { entry: entry.settings.name.as_str().into(), loads: works(&entry) };
        match client.call(Request::ReportLoad(Box::new(post)), LIMIT).await {
            Some(Answer::TotalLoads(sums)) => take_in(&entry, &sums),
            _ => {
                info!(entry.log, "replica does not share the load"; "peer" => %replica);
                avoided.insert(replica, now + AVOID_TIME);
            }
        }
    }
}

/// What is new since the post before.
fn works(entry: &Entry) -> Vec<EndpointLoad> {
    let directory = entry.directory.borrow();
    directory.all().filter_map(|endpoint| endpoint.post()).collect()
}

fn take_in(entry: &Entry, sums: &[EndpointLoad]) {
    let by_key: HashMap<EndpointKey, &EndpointLoad> =
        sums.iter().map(|sum| (sum.endpoint, sum)).collect();
    for endpoint in entry.directory.borrow().all() {
        endpoint.take_in(by_key.get(&endpoint.key()).copied());
    }
}
