//! Connections between replicas go silent for good, while new ones work.

mod common;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;

/// Guards against replicas that wait forever on connections that went silent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_are_replaced() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let (cluster, relays) = Cluster::start_behind_relays(&harness, 3, "").await?;
    common::accept(&cluster, &common::maria(), &common::write("s0", 0, common::submit(0))).await?;

    for round in 1..=3 {
        for relay in &relays {
            relay.silence();
        }
        let write = common::write(&format!("s{round}"), round as u64, common::submit(round));
        let accepted = common::accept(&cluster, &common::maria(), &write).await?;
        assert_eq!(accepted.revision, round as u64 + 1);
    }
    Ok(())
}
