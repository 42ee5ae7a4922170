//! Runs the operator command as a process against control replicas.

use std::net::SocketAddr;

use hickoryreel_testkit::Cluster;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::Process;
use hickoryreel_testkit::Relay;
use hickoryreel_testkit::cluster::OPERATOR_KEYS;
use hickoryreel_testkit::http;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::relay::Direction;
use hickoryreel_testkit::wait;
use hickoryreel_wire::admin::Status;

const BUNDLE: &str = include_str!("../../../examples/registry.ini");

/// Starts the command with the key of the first operator. `command_line` is split at spaces.
fn start(
    harness: &Harness,
    name: &str,
    control: &str,
    command_line: &str,
) -> eyre::Result<Process> {
    let mut arguments = vec!["--key", OPERATOR_KEYS[0]];
    if !control.is_empty() {
        arguments.extend(["--control", control]);
    }
    arguments.extend(command_line.split(' '));
    harness.start(name, "hickoryreel", &arguments)
}

async fn exit_code(mut process: Process) -> eyre::Result<Option<i32>> {
    let condition = format!("{} has ended", process.name());
    let status = wait::until(&condition, || std::future::ready(process.exit_status())).await?;
    Ok(status.code())
}

async fn status(admin: SocketAddr) -> eyre::Result<Status> {
    http::json(&Http::with_key(OPERATOR_KEYS[0]).ready(admin, "/admin/v1/status").await?)
}

/// Guards against exit codes that let a script confuse success, a refusal, wrong arguments and an
/// unreachable cluster.
#[tokio::test(flavor = "multi_thread")]
async fn exit_code_identifies_the_kind_of_failure() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let admin = cluster.replicas[cluster.leader().await?].admin.to_string();
    let file = harness.write("bundle.ini", BUNDLE)?.display().to_string();
    let invalid_file = harness.write("wrong.ini", "[nonsense]\n")?.display().to_string();
    let unused_address = harness.addresses(1)?[0].to_string();
    let cases = [
        ("", format!("check {file}"), 0),
        ("", format!("check {invalid_file}"), 1),
        ("", "check no-such-file".to_owned(), 2),
        ("", "status".to_owned(), 2),
        (&*admin, "status".to_owned(), 0),
        (&*admin, "--json endpoints".to_owned(), 0),
        (&*admin, format!("submit {invalid_file}"), 1),
        (&*admin, format!("submit {file}"), 0),
        (&*admin, format!("diff {file}"), 0),
        (&*admin, "sign-off 1".to_owned(), 1),
        (&*admin, "sign-off one".to_owned(), 2),
        (&*admin, "in-force --wait 1".to_owned(), 0),
        (&*admin, "in-force 9".to_owned(), 1),
        (&*admin, "fly".to_owned(), 2),
        (&*unused_address, "--patience-s 0 status".to_owned(), 3),
    ];

    for (number, (control, command_line, expected)) in cases.into_iter().enumerate() {
        let name = format!("case{number}");
        let code = exit_code(start(&harness, &name, control, &command_line)?).await?;
        assert_eq!(code, Some(expected), "{command_line}: {}", harness.log(&name));
    }
    Ok(())
}

/// Guards against a write that takes effect twice: its answer is lost and the command retries it
/// with another request id.
#[tokio::test(flavor = "multi_thread")]
async fn write_is_retried_with_the_same_request_id_after_a_lost_answer() -> eyre::Result<()> {
    let harness = Harness::new()?;
    let cluster = Cluster::start(&harness, 1, "")?;
    let admin = cluster.replicas[cluster.leader().await?].admin;
    let relay = Relay::start(harness.addresses(1)?[0], admin).await?;
    let file = harness.write("bundle.ini", BUNDLE)?.display().to_string();

    relay.cut(Direction::FromTarget);
    let command_line = format!("--patience-s 60 submit --based-on 0 {file}");
    let submit = start(&harness, "submit", &relay.address().to_string(), &command_line)?;
    wait::until("the write took effect", || async {
        Ok((status(admin).await?.config.revision == 1).then_some(()))
    })
    .await?;
    relay.restore(Direction::FromTarget);

    assert_eq!(exit_code(submit).await?, Some(0), "{}", harness.log("submit"));
    assert!(relay.accepted() >= 2, "the answer was not lost");
    assert_eq!(status(admin).await?.bundles.len(), 1);
    Ok(())
}
