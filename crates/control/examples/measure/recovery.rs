//! Time to restart a replica with many records.

use std::time::Instant;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;

use crate::entry;
use crate::entry::Entry;

const BATCH_SIZE: usize = 500;

/// Number of records in each round; the limit per workspace is 100,000 closed records.
const RECORD_COUNTS: [usize; 3] = [1_000, 20_000, 100_000];

pub(crate) async fn run() -> eyre::Result<()> {
    for records in RECORD_COUNTS {
        let harness = Harness::new()?;
        // The entry does not renew its lease, so the lease has to outlast the measurement.
        let extra = "snapshot-bytes = 8000000\nlease-ms = 60000\n";
        let mut cluster = Cluster::start(&harness, 1, extra)?;
        let revision = entry::put_into_force(&cluster).await?;
        let entry = Entry::new("entry0", cluster.replicas[0].rpc, revision)?;
        for first in (0..records).step_by(BATCH_SIZE) {
            let requests: Vec<String> =
                (first..first + BATCH_SIZE).map(|number| format!("request-{number}")).collect();
            let open: Vec<_> = requests.iter().map(|request| entry.open(request)).collect();
            entry.submit(&open).await?;
            let close: Vec<_> = requests.iter().map(|request| entry.close(request)).collect();
            entry.submit(&close).await?;
        }
        cluster.replicas[0].kill()?;
        let started = Instant::now();
        cluster.replicas[0].start(&harness)?;
        cluster.leader().await?;
        let elapsed_ms = started.elapsed().as_millis();
        let log = harness.log("control0");
        let snapshot = log.lines().rfind(|line| line.contains("snapshot written"));
        println!("recovery records={records} ms_to_first_read={elapsed_ms}");
        if let Some(last) = snapshot {
            println!("  last snapshot: {last}");
        }
        if let Some(opened) = log.lines().rfind(|line| line.contains("log is open")) {
            println!("  {opened}");
        }
    }
    Ok(())
}
