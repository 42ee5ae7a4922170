//! Exchange of endpoint load, of the use of retry budgets and of crashes with the other entries.
//!
//! All entries report to the same replica, the one with the lowest address, so that its totals are
//! complete. While it does not answer, they report to the next one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::crash;
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
        judge_alone(&entry, now);
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
        let (crashes, last_loss) = {
            let quarantine = entry.quarantine.borrow();
            (quarantine.report(replica, now), quarantine.last_number())
        };
        let report =
            Report { entry: name, loads: loads(&entry), sends: entry.take_sends(), crashes };
        match client.call(Request::ReportLoad(Box::new(report)), ANSWER_TIMEOUT).await {
            Some(Answer::Totals(totals)) => {
                apply_totals(&entry, &totals.loads);
                entry.apply_send_totals(&totals.sends);
                apply_verdict(&entry, replica, last_loss, totals.crashes);
            }
            _ => {
                info!(entry.log, "replica did not answer the load report"; "peer" => %replica);
                avoided.insert(replica, now + AVOID_DURATION);
            }
        }
    }
}

/// Applies the blocked prompt parts that a replica decided from reports up to a loss.
fn apply_verdict(entry: &Entry, replica: SocketAddr, last_loss: u64, verdict: crash::Verdict) {
    let now = boot_time();
    let mut quarantine = entry.quarantine.borrow_mut();
    for part in quarantine.apply(replica, last_loss, verdict, now) {
        info!(entry.log, "prompt part is blocked"; "part" => format!("{part:x}"),
            "replica" => %replica);
    }
    let blocked = quarantine.blocked_count(now);
    entry.metrics.blocked_parts.set(i64::try_from(blocked).unwrap_or(i64::MAX));
}

/// Blocks prompt parts by the losses of this entry if no replica answers.
fn judge_alone(entry: &Entry, now: Duration) {
    for finding in entry.quarantine.borrow_mut().judge_alone(now) {
        info!(entry.log, "prompt part crashes endpoints and is blocked by this entry alone";
            "part" => format!("{:x}", finding.part), "crashes" => finding.crashes,
            "ambiguous" => finding.ambiguous);
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
