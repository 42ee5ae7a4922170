//! Controllers of the leader: roll-outs, version health and orders to engines.

mod common;

use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Change;
use hickoryreel_state::machine::Stage;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Rating;
use hickoryreel_wire::endpoint::Role;
use serde_json::Value;

/// Submits `text`, signs it off and starts its roll-out.
async fn roll_out(cluster: &Cluster, based_on: u64, text: String) -> eyre::Result<BundleId> {
    let write = |step: &str, based_on, change| {
        common::write_request(&format!("{step}-2"), based_on, change)
    };
    let submit = write("submit", based_on, Change::Submit { text: text.into() });
    let submitted = common::expect_accepted(cluster, &common::maria(), &submit).await?;
    let bundle = submitted.bundle.unwrap_or_default();
    let sign_off = write("sign-off", submitted.revision, Change::SignOff { bundle });
    let signed_off = common::expect_accepted(cluster, &common::nikos(), &sign_off).await?;
    let roll_out = write("roll-out", signed_off.revision, Change::RollOut { bundle });
    common::expect_accepted(cluster, &common::maria(), &roll_out).await?;
    Ok(bundle)
}

/// Guards against a roll-out that stops or starts from the beginning when the leader is killed.
#[tokio::test(flavor = "multi_thread")]
async fn next_leader_resumes_roll_out() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let mut cluster = Cluster::start(&harness, 3, "")?;
    let revision = common::put_into_force(&cluster).await?;
    let text = common::BUNDLE.replace("step-s = 60", "step-s = 1");
    let bundle = roll_out(&cluster, revision, text).await?;
    let step = wait::until("a step of the roll-out", || async {
        let status = common::status(&cluster).await?;
        Ok(status.roll_out.filter(|running| running.step >= 2).map(|running| running.step))
    })
    .await?;
    let leader = cluster.leader().await?;

    cluster.replicas[leader].kill()?;

    let mut steps = vec![step];
    loop {
        let status = common::status(&cluster).await?;
        if status.bundles[&bundle].stage == Stage::Active {
            break;
        }
        steps.push(status.roll_out.expect("the roll-out goes on").step);
        tokio::time::sleep(wait::POLL_INTERVAL).await;
    }
    assert!(steps.is_sorted(), "steps went back: {steps:?}");
    Ok(())
}

/// Guards against a version that stays in use despite bad ratings.
#[tokio::test(flavor = "multi_thread")]
async fn badly_rated_version_is_withdrawn() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "")?;
    let revision = common::put_into_force(&cluster).await?;
    let new = "[version small/9]\nprice-per-1k = 0.1\nreplaces = small/1\n\n[version large/1]";
    roll_out(&cluster, revision, common::BUNDLE.replace("[version large/1]", new)).await?;
    let ratings = vec![Rating { version: "small/9".into(), good: false }; 20];

    let status = wait::until("the version is withdrawn", || async {
        for admin in cluster.admin_addresses() {
            let answer = Http::new().post(admin, "/v1/ratings", &ratings).await?;
            assert_eq!(answer.status, 200);
        }
        let status = common::status(&cluster).await?;
        Ok(Some(status).filter(|status| status.config.withdrawn.contains("small/9")))
    })
    .await?;

    assert_eq!(&*status.withdrawals["small/9"].by, "system");
    assert!(status.roll_out.is_some_and(|running| running.paused));
    assert!(!status.config.withdrawn.contains("small/1"));
    Ok(())
}

/// Guards against a version of the active bundle that is not loaded by any engine, and against
/// orders without a fencing token from the log.
#[tokio::test(flavor = "multi_thread")]
async fn missing_version_is_loaded_with_a_fencing_token() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "order-interval-ms = 100\n")?;
    common::put_into_force(&cluster).await?;
    let mut arguments = vec!["engine", "--name", "engine0", "--region", "r", "--zone", "z"];
    arguments.extend(["--version", "small/1", "--version", "small/2"]);
    let admins: Vec<String> = cluster.admin_addresses().iter().map(ToString::to_string).collect();
    for admin in &admins {
        arguments.extend(["--announce", admin]);
    }
    let _engine = harness.start("engine0", "hickoryreel-standin", &arguments)?;

    let address = wait::until("the engine serves large/1", || async {
        let admin = cluster.replicas[cluster.leader().await?].admin;
        let answer = common::maria().get(admin, "/admin/v1/endpoints").await?;
        let listed: Vec<Announcement> = http::json(&answer)?;
        let serves = |announcement: &Announcement| match &announcement.role {
            Role::Engine { versions, .. } => versions.iter().any(|version| &**version == "large/1"),
            Role::Service { .. } => false,
        };
        Ok(listed
            .iter()
            .find(|announcement| serves(announcement))
            .map(|announcement| announcement.address))
    })
    .await?;

    let state: Value = http::json(&Http::new().get(address, "/v1/state").await?)?;
    // The order lease used the first token.
    assert_eq!(state["fence"], 2);
    Ok(())
}
