//! Replicas on loopback that form a cluster and replace lost members without an operator.

use std::net::SocketAddrV4;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hickoryreel_base::logging;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Service;
use hickoryreel_fleet::endpoint::Announcement;
use hickoryreel_fleet::link::Answer;
use hickoryreel_fleet::link::Cursor;
use hickoryreel_fleet::link::Handler;
use hickoryreel_fleet::link::Identity;
use hickoryreel_fleet::link::Poll;
use hickoryreel_fleet::link::Request;
use hickoryreel_fleet_control::control::Control;
use hickoryreel_fleet_control::control::Rejection;
use hickoryreel_fleet_control::control::Unconfirmed;
use hickoryreel_fleet_control::long_poll;
use hickoryreel_fleet_control::members::MAX_ALIVE_SILENCE;
use hickoryreel_fleet_control::run;
use hickoryreel_fleet_control::settings::Settings;
use tempfile::TempDir;
use tokio::task::LocalSet;
use yare::parameterized;

/// Time after which the test fails. A few elections take far less; the time itself is not under
/// test.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

async fn free_address() -> SocketAddrV4 {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
    match listener.local_addr().expect("a bound listener has an address") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(_) => unreachable!("bound to IPv4"),
    }
}

async fn start(
    link_address: SocketAddrV4,
    seeds: &[SocketAddrV4],
    data_dir: &Path,
    bootstrap: bool,
) -> Rc<Control> {
    let held_voters = seeds.len();
    start_with(Settings { bootstrap, held_voters, ..settings(link_address, seeds, data_dir) }).await
}

fn settings(link_address: SocketAddrV4, seeds: &[SocketAddrV4], data_dir: &Path) -> Settings {
    Settings {
        name: link_address.to_string(),
        link_address,
        seeds: seeds.to_vec(),
        data_dir: data_dir.to_owned(),
        ..Settings::default()
    }
}

async fn start_with(settings: Settings) -> Rc<Control> {
    let started = run::start(settings, logging::discard()).await;
    started.expect("the replica starts").0
}

/// Starts three replicas that form a cluster, with the first data directories.
async fn start_three_seeds(data_dirs: &[TempDir]) -> ([SocketAddrV4; 3], Vec<Rc<Control>>) {
    let seeds = [free_address().await, free_address().await, free_address().await];
    let mut replicas = Vec::new();
    for (seed, data_dir) in seeds.iter().zip(data_dirs) {
        replicas.push(start(*seed, &seeds, data_dir.path(), true).await);
    }
    (seeds, replicas)
}

/// Starts a seed and a replica that joins it.
async fn start_two_voters(data_dirs: &[TempDir]) -> (Rc<Control>, Rc<Control>) {
    let seed = free_address().await;
    let first = start(seed, &[seed], data_dirs[0].path(), true).await;
    let second = start(free_address().await, &[seed], data_dirs[1].path(), true).await;
    wait_until("the second replica votes", || voters(&second) == 2).await;
    (first, second)
}

/// Stops the only replica of a cluster and starts one with its data directory, up to its first read.
async fn restart(before: &Control, data_dir: &Path) -> Rc<Control> {
    before.log_handle.stop();
    wait_until("the log is closed", || before.log_handle.state.has_changed().is_err()).await;
    let restarted = start(free_address().await, &before.settings.seeds, data_dir, false).await;
    newest_configuration(&restarted).await;
    restarted
}

async fn wait_until(expected: &str, check: impl Fn() -> bool) {
    let reached = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, reached).await.expect(expected);
}

async fn put_configuration(control: &Control, number: u64) {
    let source = Bytes::from(number.to_string());
    let accepted = async {
        loop {
            let services = vec![Service {
                name: "ledger".into(),
                health_path: "/".into(),
                max_connections: 1,
                engine: None,
                cold_start: None,
            }];
            let configuration = Configuration { number, services, ..Configuration::default() };
            if control.put_configuration(configuration, source.clone()).await.is_ok() {
                return;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, accepted).await.expect("the configuration is accepted");
}

/// The announcement of an endpoint with a sequence number.
fn announcement(sequence: u64, draining: bool) -> Announcement {
    Announcement {
        id: "e1".into(),
        service: "ledger".into(),
        address: SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, 8_080),
        zone: "a".into(),
        version: "v1".into(),
        slots: 6,
        draining,
        warm_up_left_ms: 0,
        incarnation: 11,
        sequence,
    }
}

/// The first poll of an entry.
fn first_poll() -> Poll {
    Poll {
        entry: "entry".into(),
        incarnation: 1,
        configuration: 0,
        wants_configuration: true,
        revision: 0,
        cursor: Cursor::default(),
        wait_ms: 1_000,
        tallies: Vec::new(),
    }
}

async fn newest_configuration(control: &Control) -> Bytes {
    let read = async {
        loop {
            if let Ok(source) = control.newest_configuration().await {
                return source;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, read).await.expect("the configuration can be read")
}

fn voters(control: &Control) -> usize {
    control.consensus.state().members.voters().count()
}

/// Guards against a cluster that needs an operator to form, to add a replica that is not a seed, or
/// to replace a lost replica by one with an empty disk. Also guards against a stale read at any
/// replica.
#[tokio::test]
async fn cluster_forms_grows_and_replaces_a_lost_replica() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..6).map(|_| TempDir::new().unwrap()).collect();
            let (seeds, replicas) = start_three_seeds(&data_dirs).await;
            put_configuration(&replicas[1], 3).await;
            for replica in &replicas {
                assert_eq!(newest_configuration(replica).await, "3");
            }

            let fourth = start(free_address().await, &seeds, data_dirs[3].path(), true).await;
            wait_until("the fourth replica votes", || voters(&fourth) == 4).await;
            put_configuration(&fourth, 9).await;
            put_configuration(&replicas[0], 5).await;
            assert_eq!(newest_configuration(&replicas[2]).await, "9");

            // The fourth replica stops, and two with empty disks start at other addresses.
            let lost = fourth.consensus.state().id;
            fourth.log_handle.stop();
            let fifth = start(free_address().await, &seeds, data_dirs[4].path(), false).await;
            let sixth = start(free_address().await, &seeds, data_dirs[5].path(), false).await;
            let replaced = || {
                let members = &sixth.consensus.state().members;
                members.voters().count() == 5 && members.get(lost).is_none()
            };
            wait_until("the lost replica is replaced", replaced).await;
            assert_eq!(newest_configuration(&fifth).await, "9");
        })
        .await;
}

/// Guards against a first configuration that is acknowledged while so few replicas vote that the loss of
/// two disks loses it.
#[tokio::test]
async fn first_configuration_waits_for_the_voters_that_are_held() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..5).map(|_| TempDir::new().unwrap()).collect();
            let seeds = [free_address().await, free_address().await, free_address().await];
            let others = [free_address().await, free_address().await];
            let first_start = |address, data_dir: &TempDir| Settings {
                bootstrap: true,
                held_voters: 5,
                ..settings(address, &seeds, data_dir.path())
            };
            let mut replicas = Vec::new();
            for (seed, data_dir) in seeds.iter().zip(&data_dirs) {
                replicas.push(start_with(first_start(*seed, data_dir)).await);
            }
            let leads =
                || replicas.iter().any(|replica| replica.consensus.state().leader.is_some());
            wait_until("a replica leads", leads).await;

            let early = replicas[0].put_configuration(Configuration::default(), Bytes::new()).await;
            for (address, data_dir) in others.iter().zip(&data_dirs[3..]) {
                replicas.push(start_with(first_start(*address, data_dir)).await);
            }
            put_configuration(&replicas[0], 1).await;

            assert!(early.is_err(), "acknowledged by a quorum of three");
            assert_eq!(voters(&replicas[0]), 5);
        })
        .await;
}

/// Guards against the same on busy VMs, where a replica that has joined takes long to catch up. This one
/// never does.
#[tokio::test]
async fn first_configuration_waits_for_replicas_that_join() {
    LocalSet::new()
        .run_until(async {
            let data_dir = TempDir::new().unwrap();
            let seed = free_address().await;
            let settings = settings(seed, &[seed], data_dir.path());
            let first = start_with(Settings { bootstrap: true, ..settings }).await;
            let address = free_address().await.to_string().into();
            let joining = Identity { id: ReplicaId(9), address };
            let joined = || first.consensus.state().members.get(joining.id).is_some();
            let started = Instant::now();
            while !joined() {
                Rc::clone(&first).handle(Request::Join(joining.clone())).await;
                tokio::time::sleep(Duration::from_millis(50)).await;
                assert!(started.elapsed() < TEST_TIMEOUT, "the replica does not join");
            }
            tokio::time::sleep(Duration::from_secs(6)).await;

            let early = first.put_configuration(Configuration::default(), Bytes::new()).await;

            assert!(early.is_err(), "acknowledged by one of three voters");
        })
        .await;
}

/// Guards against voters that are gone for good after planned replacements: the new replicas vote
/// before the earlier ones stop.
#[tokio::test]
async fn replicas_that_stop_give_up_their_votes() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..5).map(|_| TempDir::new().unwrap()).collect();
            let (seeds, mut replicas) = start_three_seeds(&data_dirs).await;
            for data_dir in &data_dirs[3..] {
                let address = free_address().await;
                replicas.push(start(address, &seeds, data_dir.path(), false).await);
            }
            wait_until("five replicas vote", || voters(&replicas[3]) == 5).await;

            tokio::join!(run::leave(&replicas[0]), run::leave(&replicas[1]));

            let state = replicas[2].consensus.state();
            let stopped =
                [&replicas[0], &replicas[1]].map(|replica| replica.log_handle.state.borrow().id);
            assert_eq!(stopped.map(|id| state.members.is_voter(id)), [false, false]);
            assert_eq!(state.members.voters().count(), 3);
        })
        .await;
}

/// Guards against a configuration that is acknowledged while a voter that is gone for good still counts
/// for the quorum beside its successor: the tolerated loss of a disk would then take it back.
#[tokio::test]
async fn acknowledgement_waits_until_a_lost_voter_is_removed_beside_its_successor() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..4).map(|_| TempDir::new().unwrap()).collect();
            let (seeds, mut replicas) = start_three_seeds(&data_dirs).await;
            put_configuration(&replicas[0], 1).await;
            let successor = start(free_address().await, &seeds, data_dirs[3].path(), false).await;
            wait_until("the successor votes", || voters(&successor) == 4).await;
            let is_leader = |control: &Rc<Control>| control.consensus.state().role == Role::Leader;
            let follower = replicas.iter().position(|replica| !is_leader(replica)).unwrap();
            let lost = replicas.remove(follower);

            lost.log_handle.stop();
            tokio::time::sleep(MAX_ALIVE_SILENCE).await;
            put_configuration(&successor, 2).await;

            assert_eq!(voters(&successor), 3);
            assert_eq!(newest_configuration(&replicas[0]).await, "2");
        })
        .await;
}

/// Guards against a replica that is never admitted again after it was removed during an outage: the
/// leader doesn't know it, and the replicas that know it keep its request for themselves.
#[tokio::test]
async fn join_request_of_a_known_replica_reaches_a_leader_that_does_not_know_it() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..2).map(|_| TempDir::new().unwrap()).collect();
            let (first, second) = start_two_voters(&data_dirs).await;
            let leads = |control: &Control| control.consensus.state().role == Role::Leader;
            let returned =
                Identity { id: ReplicaId(9), address: free_address().await.to_string().into() };
            // Only the first replica has heard the one that returns.
            Rc::clone(&first).handle(Request::Log(returned.clone(), Vec::new())).await;
            wait_until("the second replica leads", || {
                if leads(&first) {
                    first.log_handle.transfer_leadership(None);
                }
                leads(&second) && first.consensus.state().leader.is_some()
            })
            .await;

            Rc::clone(&first).handle(Request::Join(returned.clone())).await;

            let admitted = || second.consensus.state().members.get(returned.id).is_some();
            wait_until("the replica is admitted", admitted).await;
        })
        .await;
}

/// Guards against the late deregistration of an endpoint's earlier incarnation that takes the present
/// one out of use for good, and against one without an incarnation that has no effect.
#[tokio::test]
async fn late_deregistration_leaves_a_later_incarnation() {
    LocalSet::new()
        .run_until(async {
            let data_dir = TempDir::new().unwrap();
            let seed = free_address().await;
            let replica = start(seed, &[seed], data_dir.path(), true).await;
            put_configuration(&replica, 1).await;
            replica.announce(announcement(1, false)).await.expect("the service is configured");

            replica.deregister("e1", Some(10)).await.expect("a single replica is a quorum");
            assert_eq!(replica.directory.borrow().present_count(), 1);

            replica.deregister("e1", None).await.expect("a single replica is a quorum");
            assert_eq!(replica.directory.borrow().present_count(), 0);
        })
        .await;
}

/// Guards against an endpoint that gets requests again after all replicas have restarted, because an
/// announcement from before it left arrives late.
#[parameterized(
    deregistered = { true },
    draining = { false },
)]
#[test_macro(tokio::test)]
async fn departure_outlives_the_processes(deregisters: bool) {
    LocalSet::new()
        .run_until(async {
            let data_dir = TempDir::new().unwrap();
            let seed = free_address().await;
            let before = start(seed, &[seed], data_dir.path(), true).await;
            put_configuration(&before, 1).await;
            before.announce(announcement(1, false)).await.expect("the service is configured");
            let acknowledged = match deregisters {
                true => before.deregister("e1", None).await.is_ok(),
                false => before.announce(announcement(3, true)).await.is_ok(),
            };

            let restarted = restart(&before, data_dir.path()).await;
            restarted.announce(announcement(2, false)).await.expect("the service is configured");

            let updates = restarted.directory.borrow().updates_since(Cursor::default());
            let usable = updates.iter().any(|update| !update.announcement.draining);
            assert_eq!((acknowledged, usable), (true, false));
        })
        .await;
}

/// Guards against entries that don't learn of a departure, because the replica that they poll has had no
/// announcement of the endpoint, nor the call with which it deregistered.
#[tokio::test]
async fn departure_is_in_the_answers_of_all_replicas() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..2).map(|_| TempDir::new().unwrap()).collect();
            let (first, second) = start_two_voters(&data_dirs).await;
            put_configuration(&first, 1).await;

            first.deregister("e1", Some(11)).await.expect("both replicas run");

            for replica in [&first, &second] {
                let answer = long_poll::answer(Rc::clone(replica), first_poll()).await;
                let Answer::Poll(answer) = answer else { panic!("not an answer to a poll") };
                let departed: Vec<_> = answer.departures.iter().map(|gone| &*gone.id).collect();
                assert_eq!(departed, ["e1"]);
            }
        })
        .await;
}

/// Guards against a version in use that is forgotten when its endpoints have been replaced and all
/// processes have restarted.
#[tokio::test]
async fn first_version_outlives_its_endpoints_and_the_processes() {
    LocalSet::new()
        .run_until(async {
            let data_dir = TempDir::new().unwrap();
            let seed = free_address().await;
            let before = start(seed, &[seed], data_dir.path(), true).await;
            put_configuration(&before, 1).await;
            before.announce(announcement(1, false)).await.expect("the service is configured");
            let version = |control: &Control| {
                let state = control.consensus.state();
                state.machine.versions.get("ledger").map(|version| version.to_string())
            };
            wait_until("the version is in force", || version(&before).is_some()).await;

            let restarted = restart(&before, data_dir.path()).await;
            let other = Announcement { version: "v0".into(), ..announcement(2, false) };
            restarted.announce(other).await.expect("the service is configured");

            assert_eq!(version(&restarted).as_deref(), Some("v1"));
        })
        .await;
}

/// Guards against an endpoint that stops because its departure was acknowledged, though no quorum has
/// recorded it.
#[tokio::test]
async fn departure_is_not_acknowledged_without_a_quorum() {
    LocalSet::new()
        .run_until(async {
            let data_dirs: Vec<TempDir> = (0..2).map(|_| TempDir::new().unwrap()).collect();
            let (first, second) = start_two_voters(&data_dirs).await;
            put_configuration(&first, 1).await;
            second.log_handle.stop();
            first.announce(announcement(1, false)).await.expect("the service is configured");

            let drained = first.announce(announcement(2, true)).await;
            let deregistered = first.deregister("e1", None).await;

            assert_eq!(drained, Err(Rejection::Unconfirmed));
            assert_eq!(deregistered, Err(Unconfirmed));
            assert_eq!(first.directory.borrow().present_count(), 0, "no entry uses it");
        })
        .await;
}

/// Guards against a new configuration that every replica sends to every entry.
#[tokio::test]
async fn configuration_is_sent_to_polls_that_want_it() {
    LocalSet::new()
        .run_until(async {
            let data_dir = TempDir::new().unwrap();
            let seed = free_address().await;
            let replica = start(seed, &[seed], data_dir.path(), true).await;
            put_configuration(&replica, 1).await;
            let poll = |wants_configuration, wait_ms| Poll {
                entry: "entry".into(),
                incarnation: 1,
                configuration: 1,
                wants_configuration,
                revision: replica.consensus.state().machine.revision,
                cursor: replica.directory.borrow().cursor(),
                wait_ms,
                tallies: Vec::new(),
            };
            let mut content = Vec::new();
            let mut waits = [(true, 60_000), (false, 200)].map(|(wants, wait_ms)| {
                tokio::task::spawn_local(long_poll::answer(
                    Rc::clone(&replica),
                    poll(wants, wait_ms),
                ))
            });

            put_configuration(&replica, 2).await;
            for wait in &mut waits {
                let Ok(Answer::Poll(answer)) = wait.await else {
                    panic!("not an answer to a poll")
                };
                let confirmed = answer.confirmed.expect("a single replica is a quorum");
                content.push((confirmed.number, confirmed.configuration.is_some()));
            }

            assert_eq!(content, [(2, true), (2, false)]);
        })
        .await;
}
