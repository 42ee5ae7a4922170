//! `hickoryreel route` against an entry whose state is set by the test.

use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Instant;

use hickoryreel_base::logging;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Engine;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet::configuration::Route;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::configuration::Target;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::link::Confirmed;
use hickoryreel_fleet_entry::entry::Entry;
use hickoryreel_fleet_entry::explain;
use hickoryreel_fleet_entry::settings::Settings;
use hickoryreel_platform::headers::Headers;
use hickoryreel_testkit::Harness;
use hickoryreel_testkit::harness;
use tokio::task::LocalSet;
use yare::parameterized;

const KEY: &str = "key-of-a-workspace";

fn configuration() -> Configuration {
    Configuration {
        number: 7,
        routes: vec![Route {
            name: "chat".into(),
            host: "api".into(),
            prefix: "/chat/".into(),
            kind: Kind::Stream,
            timeout_ms: 20_000,
            target_ms: 1_000,
            target_gap_ms: 600,
            rank: 1,
            models: vec!["small".into(), "large".into()],
            targets: vec![Target { service: "engines".into(), weight: 1 }],
            attempts: 3,
            public: false,
            resumable: true,
            allowed_regions: vec!["north".into()],
        }],
        services: vec![Service {
            name: "engines".into(),
            health_path: "/".into(),
            max_connections: 100,
            engine: Some(Engine {
                slots: 8,
                memory_tokens: 500_000,
                stride: 1,
                models: Vec::new(),
            }),
            cold_start: None,
        }],
        workspaces: Some(vec![Workspace {
            name: "acme".into(),
            keys: vec![KEY.into()],
            rank: None,
            allowed_regions: Vec::new(),
        }]),
        limits: Limits::default(),
    }
}

fn announcement(id: &str, zone: &str) -> Announcement {
    Announcement {
        id: id.into(),
        service: "engines".into(),
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 9),
        zone: zone.into(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        warm_up_left_ms: 0,
        incarnation: 1,
        sequence: 1,
    }
}

/// Serves links of an entry with three endpoints, two of them excluded, until the process ends.
fn start_entry(address: SocketAddrV4, is_configured: bool) {
    let (ready, started) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        LocalSet::new().block_on(&runtime.expect("a runtime starts"), async {
            let regions = [("north-a", "north"), ("north-b", "north"), ("south-a", "south")];
            let settings = Settings {
                name: "edge-1".to_owned(),
                zone: "north-a".to_owned(),
                regions: regions.map(|(zone, region)| (zone.into(), region.into())).to_vec(),
                links: Some(address),
                ..Settings::default()
            };
            let log = logging::discard();
            let entry = Entry::new(settings, Box::new(Headers), log);
            if is_configured {
                let confirmed = Confirmed {
                    number: 7,
                    revision: 1,
                    roll_outs: Some(Default::default()),
                    versions: None,
                    evacuated: Some(vec!["north-b".into()]),
                    configuration: Some(Box::new(configuration())),
                    former_keys: Vec::new(),
                };
                entry.view.borrow_mut().confirm(boot_time(), confirmed);
            }
            let replica = SocketAddr::from(([127, 0, 0, 1], 7_000));
            for (id, zone) in [("e-1", "north-a"), ("e-2", "north-b"), ("e-3", "south-a")] {
                let announcement = announcement(id, zone);
                let update = EndpointUpdate { announcement, status: Status::Present };
                entry.directory.borrow_mut().apply(update, replica);
            }
            explain::start(&Rc::clone(&entry)).await;
            ready.send(()).expect("the test waits");
            std::future::pending::<()>().await;
        });
    });
    started.recv().expect("the entry starts");
}

fn address(harness: &Harness) -> SocketAddrV4 {
    match harness.addresses(1).expect("loopback works")[0] {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(_) => unreachable!("harnesses use IPv4"),
    }
}

/// Runs the command with `command_line`, which is split at spaces, and an operator key in the
/// environment.
fn run(address: SocketAddrV4, command_line: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hickoryreel"));
    command.args(["route", "--entry", &address.to_string()]).args(command_line.split(' '));
    command.env("HICKORYREEL_KEY", "operator-key").stdout(Stdio::piped()).stderr(Stdio::piped());
    // Not `Command::output`: a process that starts while a harness of another test reserves a port
    // keeps that port in use for a moment.
    let child = harness::spawn(&mut command).expect("the command starts");
    child.wait_with_output().expect("the command ends")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Guards against a text that lacks the choice, an excluded endpoint or its reason, and against a key
/// that is printed.
#[test]
fn text_names_the_choice_and_the_reasons() {
    let harness = Harness::new().expect("a folder");
    let address = address(&harness);
    start_entry(address, true);

    let output =
        run(address, &format!("--host API:443 --path /chat/a?b --key {KEY} --part 1f:500"));

    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    for expected in [
        "decision       send to e-1, which gets 100.0% of such requests",
        "workspace      acme",
        "model          small",
        "evacuated      north-b",
        "regions        north by the route, all by the workspace",
        "its availability zone is evacuated",
        "its region is not allowed",
    ] {
        assert!(printed.contains(expected), "{expected}\n{printed}");
    }
    assert!(!printed.contains(KEY) && !printed.contains("operator-key"), "{printed}");
}

/// Guards against JSON that scripts cannot read, or that has the key.
#[test]
fn json_has_the_verdict_and_every_endpoint() {
    let harness = Harness::new().expect("a folder");
    let address = address(&harness);
    start_entry(address, true);

    let output = run(address, &format!("--host api --path /chat/a --key {KEY} --json"));

    let json: serde_json::Value = serde_json::from_slice(&output.stdout).expect("it is JSON");
    assert_eq!(json["verdict"]["Send"], "e-1", "{json}");
    assert_eq!(json["routing"]["endpoints"].as_array().map(Vec::len), Some(3), "{json}");
    assert!(!json.to_string().contains(KEY), "{json}");
}

/// Guards against an operator key from the environment that is sent as the key of the request, and
/// against refusals that are not explained.
#[parameterized(
    without_key = { true, "--host api --path /chat/a", "no workspace has the key" },
    unknown_key = { true, "--host api --path /chat/a --key other", "no workspace has the key" },
    unknown_route = { true, "--host api --path /else/", "no route has this host and path" },
    without_configuration = { false, "--host api --path /chat/a", "the entry has no configuration yet" },
)]
fn refusal_is_explained(is_configured: bool, command_line: &str, expected: &str) {
    let harness = Harness::new().expect("a folder");
    let address = address(&harness);
    start_entry(address, is_configured);

    let output = run(address, command_line);

    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    assert!(printed.contains(expected), "{printed}");
}

/// Guards against bad input that reaches an entry, and against messages that do not name the mistake
/// in one line or that contain the key.
#[parameterized(
    path_without_slash = { "--host api --path chat", "a path starts with a slash" },
    empty_path = { "--host api --path=", "it is empty" },
    host_with_slash = { "--host http://api --path /a", "a host has no slash" },
    no_host = { "--path /a", "--host" },
    negative_tokens = { "--host api --path /a --prompt-tokens=-5", "a number of tokens from 0" },
    negative_tokens_as_flag = { "--host api --path /a --prompt-tokens -5", "--prompt-tokens" },
    huge_tokens = { "--host api --path /a --prompt-tokens 10000001", "a number of tokens from 0" },
    overflowing_tokens = {
        "--host api --path /a --prompt-tokens 99999999999999999999", "a number of tokens from 0"
    },
    signed_tokens = { "--host api --path /a --prompt-tokens +5", "a number of tokens from 0" },
    part_without_tokens = { "--host api --path /a --part 1f", "a part is ID:TOKENS" },
    part_with_bad_id = { "--host api --path /a --part xyz:5", "the id of a part is" },
    part_with_long_id = { "--host api --path /a --part 10000000000000000:5", "the id of a part is" },
    part_without_id = { "--host api --path /a --part :5", "the id of a part is" },
    part_with_negative_tokens = { "--host api --path /a --part 1f:-5", "the tokens of a part" },
    part_with_huge_tokens = { "--host api --path /a --part 1f:99999999", "the tokens of a part" },
    empty_key = { "--host api --path /a --key=", "wrong --key: it is empty" },
    key_with_tab = { "--host api --path /a --key=secret\tkey", "wrong --key: it contains a blank" },
)]
fn bad_input_is_refused_in_one_line(command_line: &str, expected: &str) {
    let unused = SocketAddrV4::new([127, 0, 0, 1].into(), 1);

    let output = run(unused, command_line);

    let message = text(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    assert!(message.contains(expected), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
    assert!(!message.contains("secret"), "{message}");
}

/// Guards against a command that hangs on an entry that is down, or on a process that accepts
/// connections and does not answer.
#[parameterized(down = { false }, silent = { true })]
fn missing_answer_is_reported_in_time(accepts: bool) {
    let harness = Harness::new().expect("a folder");
    let address = address(&harness);
    let listener = accepts.then(|| std::net::TcpListener::bind(address).expect("loopback works"));

    let began = Instant::now();
    let output = run(address, "--host api --path /chat/a");

    assert_eq!(output.status.code(), Some(3), "{}", text(&output.stderr));
    // The time limit of 2 s and the start of a process on a loaded machine.
    assert!(began.elapsed().as_secs() < 10);
    drop(listener);
}
