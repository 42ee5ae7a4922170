//! All replicas are killed and started again.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;

/// Guards against state that is kept only in memory, or that depends on the time of the replay or
/// on the position of snapshots. The state must be the same after 500 changes and a restart.
#[tokio::test(flavor = "multi_thread")]
async fn restart_after_500_changes_keeps_state() -> eyre::Result<()> {
    const CHANGES: usize = 500;
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "snapshot-entries = 150\n")?;
    for number in 0..CHANGES {
        let write = common::write_request(
            &format!("s{number}"),
            number as u64,
            common::submit_change(number),
        );
        common::expect_accepted(&cluster, &common::maria(), &write).await?;
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
    let write = common::write_request("s0", 0, common::submit_change(0));
    let resent = common::expect_accepted(&cluster, &common::maria(), &write).await?;
    assert_eq!(resent.revision, 1);
    Ok(())
}
