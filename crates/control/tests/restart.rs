//! All replicas are killed and started again.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;

/// Guards against state that depends on memory, on the time of the replay, or on where snapshots
/// were written: after 500 changes and a restart of all replicas the state is the same.
#[tokio::test(flavor = "multi_thread")]
async fn restart_after_500_changes_keeps_state() -> eyre::Result<()> {
    const CHANGES: usize = 500;
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "snapshot-entries = 150\n")?;
    for number in 0..CHANGES {
        let write = common::write(&format!("s{number}"), number as u64, common::submit(number));
        common::accept(&cluster, &common::maria(), &write).await?;
    }
    let before = common::status(&cluster).await?;

    for replica in &mut cluster.replicas {
        replica.kill()?;
    }
    for replica in &mut cluster.replicas {
        replica.start(&harness)?;
    }
    let after = common::status(&cluster).await?;

    assert_eq!(before.config.revision, CHANGES as u64);
    assert_eq!(after.config, before.config);
    assert_eq!(after.bundles, before.bundles);
    let write = common::write("s0", 0, common::submit(0));
    let resent = common::accept(&cluster, &common::maria(), &write).await?;
    assert_eq!(resent.revision, 1);
    Ok(())
}
