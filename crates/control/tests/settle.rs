//! Settlement of the records of lapsed entries.

mod common;

use std::net::SocketAddr;

use common::StubEntry;
use hickoryreel_base::name::Endpoint;
use hickoryreel_base::time::unix_millis;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record;
use hickoryreel_state::record::Bill;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Target;
use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::Process;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use hickoryreel_wire::endpoint::Announcement;
use serde_json::json;

fn key(request: &str) -> Key {
    Key { workspace: "athens".into(), request: request.into() }
}

fn open(entry: &StubEntry, request: &str, target: Target, revision: u64) -> RecordChange {
    RecordChange::Open(Open {
        key: key(request),
        holder: entry.holder.clone(),
        attempt: 1,
        run_once: matches!(target, Target::Service(_)),
        target,
        endpoint: Endpoint::from("engine0"),
        session: None,
        digest: 1,
        revision,
        request_ms: unix_millis(),
    })
}

/// Starts an engine that announces itself to all replicas, and waits until the leader knows it.
async fn start_engine(harness: &Harness, cluster: &Cluster) -> eyre::Result<(Process, SocketAddr)> {
    let mut arguments =
        vec!["engine", "--name", "engine0", "--region", "attica", "--zone", "attica-a"];
    arguments.extend(["--version", "small/1", "--token-ms", "1"]);
    let admins: Vec<String> = cluster.admin_addresses().iter().map(ToString::to_string).collect();
    for admin in &admins {
        arguments.extend(["--announce", admin]);
    }
    let process = harness.start("engine0", "hickoryreel-standin", &arguments)?;
    let admin = cluster.replicas[cluster.leader().await?].admin;
    let address = wait::until("the engine is in the directory", || async {
        let answer = common::maria().get(admin, "/admin/v1/endpoints").await?;
        let listed: Vec<Announcement> = http::json(&answer)?;
        Ok(listed.first().map(|announcement| announcement.address))
    })
    .await?;
    Ok((process, address))
}

/// Guards against records that stay open after their entry has lapsed, a finished run that is not
/// billed or is billed twice, and a run-once call that is reported as not run although it may still
/// start.
#[tokio::test(flavor = "multi_thread")]
async fn records_of_a_lapsed_entry_are_settled_once() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 3, "lease-ms = 500\nsettle-patience-ms = 1000\n")?;
    let revision = common::put_into_force(&cluster).await?;
    let (_engine, engine) = start_engine(&harness, &cluster).await?;
    let rpc = cluster.replicas[cluster.leader().await?].rpc;
    let entry = StubEntry::new("entry0");
    entry.renew(rpc, revision).await?.expect("a lease");
    let small = || Target::Version("small/1".into());
    let changes = [
        open(&entry, "finished", small(), revision),
        open(&entry, "never-started", small(), revision),
        open(&entry, "run-once", Target::Service("ledger".into()), revision),
    ];
    let opened = entry.submit(rpc, &changes).await?.expect("outcomes");
    assert_eq!(opened, [Outcome::Opened, Outcome::Opened, Outcome::Opened]);
    let run = json!({
        "request_id": "athens:finished", "version": "small/1", "prompt": "how many trays",
        "max_tokens": 5, "priority": "normal",
    });
    assert_eq!(Http::new().post(engine, "/v1/completions", &run).await?.status, 200);

    // The entry does not renew its lease, so that it lapses.
    let bills: Vec<Bill> = wait::until("the finished run is billed", || async {
        let admin = cluster.replicas[cluster.leader().await?].admin;
        let answer = common::maria().get(admin, "/admin/v1/billing").await?;
        Ok(Some(http::json::<Vec<Bill>>(&answer)?).filter(|bills| !bills.is_empty()))
    })
    .await?;

    assert_eq!(bills.len(), 1);
    assert_eq!(bills[0].key, key("finished"));
    assert_eq!((bills[0].usage.prompt_tokens, bills[0].usage.completion_tokens), (3, 5));
    assert!(bills[0].usage.cost > 0.0);
    // When the callers send the requests again, the next incarnation of the entry gets the
    // outcomes.
    let mut restarted_entry = StubEntry::new("entry0");
    restarted_entry.holder.incarnation = 2;
    restarted_entry.renew(rpc, revision).await?.expect("a lease");
    let resent = [
        open(&restarted_entry, "finished", small(), revision),
        open(&restarted_entry, "never-started", small(), revision),
        open(&restarted_entry, "run-once", Target::Service("ledger".into()), revision),
    ];
    let resent = restarted_entry.submit(rpc, &resent).await?.expect("outcomes");
    assert_eq!(resent[..2], [Outcome::Repeat, Outcome::Opened]);
    assert!(format!("{:?}", resent[2]).contains("OutcomeUnknown"), "{:?}", resent[2]);
    let close = RecordChange::Close(record::Close {
        key: key("finished"),
        holder: entry.holder.clone(),
        attempt: 1,
        end: End::NotRun,
        runs: Default::default(),
        answer: None,
    });
    let late_outcomes = entry.submit(rpc, &[close]).await?.expect("outcomes");
    assert_eq!(late_outcomes, [Outcome::AlreadyClosed]);
    assert!(entry.renew(rpc, revision).await?.is_err(), "a lapsed holder got a lease");
    Ok(())
}
