//! Exchange of endpoint load and of the use of retry budgets with the other entries.
//!
//! All entries report to the same replica, the one with the lowest address, so that its totals are
//! complete. While it does not answer, they report to the next one.

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

use crate::control_poll::PolledReplicas;
use crate::entry::Entry;

/// Interval between reports. An endpoint of the largest deployments gets two or three requests in
/// it; a shorter interval costs more traffic between regions than it gains.
const REPORT_PERIOD: Duration = Duration::from_millis(250);

/// Timeout of a report.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a replica that did not answer is skipped.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// Reports periodically until the entry stops.
pub async fn run(entry: Rc<Entry>, polled: Rc<PolledReplicas>) {
    let mut clients: HashMap<SocketAddr, Client> = HashMap::new();
    let mut avoided: HashMap<SocketAddr, Duration> = HashMap::new();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        let now = boot_time();
        avoided.retain(|_, until| now < *until);
        let mut replicas = polled.replicas();
        clients.retain(|address, _| replicas.contains(address));
        replicas.sort_unstable();
        let Some(replica) = replicas.into_iter().find(|replica| !avoided.contains_key(replica))
        else {
            continue;
        };
        let start = || Client::start(replica, entry.log.clone());
        let client = clients.entry(replica).or_insert_with(start).clone();
        let name = entry.settings.name.as_str().into();
        let report = Report { entry: name, loads: loads(&entry), sends: entry.take_sends() };
        match client.call(Request::ReportLoad(Box::new(report)), ANSWER_TIMEOUT).await {
            Some(Answer::Totals(totals)) => {
                apply_totals(&entry, &totals.loads);
                entry.apply_send_totals(&totals.sends);
            }
            _ => {
                info!(entry.log, "replica did not answer the load report"; "peer" => %replica);
                avoided.insert(replica, now + AVOID_DURATION);
            }
        }
    }
}

/// Collects the load of all endpoints for a report.
fn loads(entry: &Entry) -> Vec<EndpointLoad> {
    let directory = entry.directory.borrow();
    directory.all().filter_map(|endpoint| endpoint.take_report()).collect()
}

fn apply_totals(entry: &Entry, totals: &[EndpointLoad]) {
    let by_key: HashMap<EndpointKey, &EndpointLoad> =
        totals.iter().map(|total| (total.endpoint, total)).collect();
    for endpoint in entry.directory.borrow().all() {
        endpoint.apply_totals(by_key.get(&endpoint.key()).copied());
    }
}
