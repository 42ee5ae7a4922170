//! The replicated state machine with resent, reordered and concurrent commands.

use std::time::Duration;

use bytes::Bytes;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::Kind;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet::configuration::Target;
use hickoryreel_fleet::configuration::Workspace;
use hickoryreel_fleet::configuration::earlier;
use hickoryreel_fleet::departure;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::former_keys;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet_control::machine::Command;
use hickoryreel_fleet_control::machine::Machine;
use yare::parameterized;

fn put_configuration(number: u64, source: &str) -> Command {
    let configuration = Configuration { number, ..Configuration::default() };
    Command::PutConfiguration(Box::new(configuration), Bytes::copy_from_slice(source.as_bytes()))
}

fn start_roll_out(target: &str) -> Command {
    let length_ms = Duration::from_secs(24).as_millis() as u64;
    Command::StartRollOut { service: "drafts".into(), target: target.into(), length_ms, share: 100 }
}

fn record_departure(incarnation: u64, kind: departure::Kind) -> Command {
    Command::RecordDepartures(vec![Departure { id: "e1".into(), incarnation, kind }])
}

fn adopt_version(version: &str, replaced: Option<&str>) -> Command {
    let replaced = replaced.map(Into::into);
    Command::AdoptVersion { service: "drafts".into(), version: version.into(), replaced }
}

fn update_roll_out(serial: u64, phase: Phase) -> Command {
    Command::UpdateRollOut { serial, phase, elapsed_ms: 20_000 }
}

fn version(machine: &Machine) -> Option<&str> {
    machine.versions.get("drafts").map(|version| &**version)
}

fn phase(machine: &Machine) -> Option<Phase> {
    machine.roll_outs.for_service("drafts").map(|roll_out| roll_out.phase)
}

/// Guards against an older or resent configuration that replaces the newest one, and against
/// different content with the number of the newest one.
#[test]
fn only_a_higher_number_replaces_a_configuration() {
    let mut machine = Machine::default();
    for command in [
        put_configuration(3, "three"),
        put_configuration(7, "seven"),
        put_configuration(5, "five"),
        put_configuration(7, "other"),
    ] {
        machine.apply(command);
    }

    assert_eq!(machine.configuration.number, 7);
    assert_eq!(&machine.source[..], b"seven");
}

/// Guards against a resent command that restarts a roll-out while it runs or after it has ended.
#[test]
fn resent_start_of_a_roll_out_changes_nothing() {
    let mut machine = Machine::default();
    machine.apply(start_roll_out("v2"));
    machine.apply(Command::UpdateRollOut { serial: 1, phase: Phase::Trial, elapsed_ms: 12_000 });
    let revision = machine.revision;
    machine.apply(start_roll_out("v2"));
    assert_eq!((machine.revision, phase(&machine)), (revision, Some(Phase::Trial)));

    machine.apply(Command::UpdateRollOut {
        serial: 1,
        phase: Phase::RolledBack,
        elapsed_ms: 13_000,
    });
    machine.apply(start_roll_out("v2"));

    assert_eq!(phase(&machine), Some(Phase::RolledBack));
    assert!(machine.roll_outs.is_withdrawn("drafts", "v2"));
}

/// Guards against an update of an old leader that moves a roll-out to an earlier phase or restarts
/// one that has ended.
#[test]
fn phase_of_a_roll_out_never_goes_back() {
    let mut machine = Machine::default();
    machine.apply(start_roll_out("v2"));
    machine.apply(Command::UpdateRollOut { serial: 1, phase: Phase::Moving, elapsed_ms: 18_000 });
    machine.apply(Command::UpdateRollOut { serial: 1, phase: Phase::Trial, elapsed_ms: 19_000 });
    assert_eq!(phase(&machine), Some(Phase::Moving));

    machine.apply(Command::UpdateRollOut { serial: 1, phase: Phase::Complete, elapsed_ms: 20_000 });
    machine.apply(Command::UpdateRollOut {
        serial: 1,
        phase: Phase::RolledBack,
        elapsed_ms: 21_000,
    });

    assert_eq!(phase(&machine), Some(Phase::Complete));
    assert!(!machine.roll_outs.is_withdrawn("drafts", "v2"));
}

/// Guards against sessions that go back to the old version because a late command lowers the share.
#[test]
fn share_of_a_trial_is_never_lowered() {
    let mut machine = Machine::default();
    machine.apply(start_roll_out("v2"));
    machine.apply(Command::UpdateRollOut { serial: 1, phase: Phase::Trial, elapsed_ms: 12_000 });
    let revision = machine.revision;

    machine.apply(Command::RaiseShare { serial: 1, share: 500 });
    machine.apply(Command::RaiseShare { serial: 1, share: 300 });

    let share = machine.roll_outs.for_service("drafts").map(|roll_out| roll_out.share);
    assert_eq!((share, machine.revision), (Some(500), revision + 1));
}

/// Guards against a snapshot that omits part of the state.
#[test]
fn snapshot_restores_the_state() {
    let mut machine = Machine::default();
    for command in [
        put_configuration(7, "seven"),
        adopt_version("v1", None),
        start_roll_out("v2"),
        start_roll_out("v3"),
        record_departure(10, departure::Kind::Gone),
    ] {
        machine.apply(command);
    }

    let restored = Machine::restore(&machine.snapshot()).unwrap();

    assert_eq!(format!("{restored:?}"), format!("{machine:?}"));
}

/// An order that was given after some others for the zone.
fn set_evacuation(zone: &str, evacuated: bool, earlier_orders: u64) -> Command {
    Command::SetEvacuation { zone: zone.into(), evacuated, earlier_orders }
}

fn evacuated(machine: &Machine) -> Vec<String> {
    machine.evacuated.iter().map(|zone| zone.to_string()).collect()
}

/// Guards against a resent order that ends or repeats an evacuation, and against one that changes
/// another zone.
#[test]
fn evacuation_is_idempotent() {
    let mut machine = Machine::default();
    for command in [
        set_evacuation("south", true, 0),
        set_evacuation("north", true, 0),
        set_evacuation("south", true, 1),
    ] {
        machine.apply(command);
    }
    assert_eq!((evacuated(&machine), machine.revision), (vec!["north".into(), "south".into()], 2));

    machine.apply(set_evacuation("south", false, 2));
    machine.apply(set_evacuation("south", false, 3));

    assert_eq!((evacuated(&machine), machine.revision), (vec!["north".into()], 3));
}

/// Guards against a copy of an order that arrives after a later one, for example from a replica that
/// proposed it again on a slow link, and that undoes it. The later one may have changed nothing.
#[parameterized(
    start_after_the_end = { &[true, false], true, &[] },
    end_after_the_next_start = { &[true, false, true], false, &["south"] },
    start_after_an_end_that_changed_nothing = { &[false], true, &[] },
)]
fn late_copy_of_an_order_has_no_effect(orders: &[bool], late: bool, expected: &[&str]) {
    let mut machine = Machine::default();
    for (earlier, evacuated) in (0..).zip(orders) {
        machine.apply(set_evacuation("south", *evacuated, earlier));
    }
    let revision = machine.revision;

    for earlier in 0..orders.len() as u64 {
        machine.apply(set_evacuation("south", late, earlier));
    }

    assert_eq!((evacuated(&machine), machine.revision), (names(expected), revision));
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Guards against an evacuation that is forgotten after a restart.
#[test]
fn snapshot_keeps_evacuations() {
    let mut machine = Machine::default();
    machine.apply(set_evacuation("south", true, 0));

    let mut restored = Machine::restore(&machine.snapshot()).unwrap();
    // A late copy of an earlier order.
    restored.apply(set_evacuation("south", false, 0));

    assert_eq!((evacuated(&restored), restored.revision), (vec!["south".into()], 1));
}

/// A configuration as an earlier build wrote it.
fn earlier_configuration() -> earlier::Configuration {
    let workspace = earlier::Workspace { name: "w".into(), keys: vec!["k".into()], rank: Some(1) };
    earlier::Configuration {
        number: 7,
        routes: vec![earlier::Route {
            name: "route".into(),
            host: "host".into(),
            prefix: "/".into(),
            kind: Kind::Safe,
            timeout_ms: 1_000,
            target_ms: 300,
            target_gap_ms: 300,
            rank: 2,
            models: Vec::new(),
            targets: vec![Target { service: "ledger".into(), weight: 1 }],
            attempts: 2,
            public: true,
            resumable: false,
        }],
        services: vec![earlier::Service {
            name: "ledger".into(),
            health_path: "/".into(),
            max_connections: 1,
            engine: None,
        }],
        workspaces: vec![workspace],
        limits: Limits::default(),
    }
}

fn with_keys(number: u64, keys: &[&str]) -> Command {
    let keys = keys.iter().map(|key| (*key).into()).collect();
    let workspace = Workspace { name: "w".into(), keys, rank: None, allowed_regions: Vec::new() };
    let workspaces = Some(vec![workspace]);
    let configuration = Configuration { number, workspaces, ..Configuration::default() };
    Command::PutConfiguration(Box::new(configuration), Bytes::new())
}

/// Guards against an entry that takes a key that was removed before its start for a credential of a
/// service.
#[parameterized(
    new_entry = { 0, &["first", "skipped"] },
    entry_without_the_last_two = { 2, &["skipped"] },
    current_entry = { 4, &[] },
)]
fn removed_keys_are_remembered(entry_has: u64, expected: &[&str]) {
    let mut machine = Machine::default();
    machine.apply(with_keys(1, &["kept", "first"]));
    machine.apply(with_keys(2, &["kept"]));
    machine.apply(with_keys(3, &["kept", "skipped"]));
    machine.apply(with_keys(4, &["kept"]));

    let restored = Machine::restore(&machine.snapshot()).unwrap();

    let expected: Vec<u64> = expected.iter().map(|key| former_keys::hash(key)).collect();
    assert_eq!(restored.former_keys.removed_after(entry_has), expected);
}

/// Guards against a replicated state that grows with each key that is removed.
#[test]
fn removed_keys_are_bounded() {
    let mut machine = Machine::default();
    for number in 1..=4_u64 {
        let keys: Vec<String> = (0..20_000).map(|key| format!("{number}-{key}")).collect();
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        machine.apply(with_keys(number, &keys));
    }
    machine.apply(with_keys(5, &[]));

    let remembered = machine.former_keys.removed_after(0);

    assert_eq!(remembered.len(), former_keys::MAX_KEYS);
    assert_eq!(remembered.last(), Some(&former_keys::hash("4-19999")));
}

/// Guards against an upgrade after which a replica can't read the log of the build before.
#[test]
fn log_of_an_earlier_build_is_read() {
    // The number of the command in the encoding of that build.
    let mut logged = vec![0];
    logged.extend(postcard::to_stdvec(&(earlier_configuration(), "source".as_bytes())).unwrap());

    let mut machine = Machine::default();
    machine.apply(postcard::from_bytes(&logged).unwrap());

    assert_eq!(*machine.configuration, Configuration::from(earlier_configuration()));
    assert_eq!(&machine.source[..], b"source");
    assert_eq!(machine.configuration.routes[0].attempts, 2);
}

/// Guards against an upgrade after which a replica can't read the snapshot of the build before.
#[test]
fn snapshot_of_an_earlier_build_is_read() {
    let mut machine = Machine::default();
    machine.apply(start_roll_out("v2"));
    let state = (earlier_configuration(), "source".as_bytes(), &*machine.roll_outs, 5_u64, 1_u64);

    let restored = Machine::restore(&postcard::to_stdvec(&state).unwrap()).unwrap();

    assert_eq!(*restored.configuration, Configuration::from(earlier_configuration()));
    assert_eq!((restored.revision, phase(&restored)), (5, Some(Phase::Pending)));
    assert!(restored.evacuated.is_empty());
}

/// Guards against an upgrade from a build that remembered no former keys after which a replica can't
/// read its snapshot.
#[test]
fn snapshot_without_former_keys_is_read() {
    let mut machine = Machine::default();
    machine.apply(with_keys(7, &["key"]));
    machine.apply(set_evacuation("south", true, 0));
    let snapshot = machine.snapshot();
    let (_, state) = postcard::take_from_bytes::<u64>(&snapshot).unwrap();
    // The earlier build wrote the same fields except the former keys, the two maps of departures and
    // the versions in force, which are empty here.
    let mut earlier = postcard::to_stdvec(&u64::MAX).unwrap();
    earlier.extend(&state[..state.len() - 4]);

    let restored = Machine::restore(&earlier).unwrap();

    assert_eq!(format!("{restored:?}"), format!("{machine:?}"));
}

/// Guards against an upgrade from a build that remembered no departures after which a replica can't read
/// its snapshot.
#[test]
fn snapshot_without_departures_is_read() {
    let mut machine = Machine::default();
    machine.apply(with_keys(7, &["key"]));
    machine.apply(with_keys(8, &["other"]));
    let snapshot = machine.snapshot();
    let (_, state) = postcard::take_from_bytes::<u64>(&snapshot).unwrap();
    let mut earlier = postcard::to_stdvec(&(u64::MAX - 1)).unwrap();
    earlier.extend(&state[..state.len() - 3]);

    let restored = Machine::restore(&earlier).unwrap();

    assert_eq!(format!("{restored:?}"), format!("{machine:?}"));
}

/// Guards against a resent or late departure that replaces a later one or is taken for a new one.
#[test]
fn departures_are_recorded_once() {
    let mut machine = Machine::default();
    machine.apply(record_departure(11, departure::Kind::Gone));
    let number = machine.departures.last_number();

    for (incarnation, kind) in [
        (11, departure::Kind::Gone),
        (11, departure::Kind::Draining(3)),
        (10, departure::Kind::Gone),
    ] {
        machine.apply(record_departure(incarnation, kind));
    }

    assert_eq!(machine.departures.last_number(), number);
    let recorded: Vec<u64> =
        machine.departures.since(0).map(|departure| departure.incarnation).collect();
    assert_eq!(recorded, [11]);
}

/// Guards against a version that comes into force without an order, because two leaders see different
/// endpoints or a command arrives late.
#[test]
fn version_is_adopted_only_in_place_of_the_one_that_was_seen() {
    let mut machine = Machine::default();
    machine.apply(adopt_version("v1", None));
    let revision = machine.revision;
    machine.apply(adopt_version("v2", None));
    assert_eq!((version(&machine), machine.revision), (Some("v1"), revision));

    machine.apply(start_roll_out("v2"));
    machine.apply(adopt_version("v3", Some("v1")));
    assert_eq!(version(&machine), Some("v1"), "a roll-out decides");

    machine.apply(update_roll_out(1, Phase::RolledBack));
    machine.apply(adopt_version("v3", Some("v1")));
    assert_eq!(version(&machine), Some("v3"));
}

/// Guards against a version that stays in force after it was replaced, and one that comes into force by a
/// roll-out that fails.
#[parameterized(
    complete = { Phase::Complete, "v2" },
    rolled_back = { Phase::RolledBack, "v1" },
    moving = { Phase::Moving, "v1" },
)]
fn completed_roll_out_puts_its_target_in_force(end: Phase, expected: &str) {
    let mut machine = Machine::default();
    machine.apply(adopt_version("v1", None));
    machine.apply(start_roll_out("v2"));

    machine.apply(update_roll_out(1, end));

    let restored = Machine::restore(&machine.snapshot()).unwrap();
    assert_eq!(version(&restored), Some(expected));
}

/// Guards against a roll-out to the version in force that takes the service down: its share of the
/// requests has a version, and the rest none.
#[test]
fn roll_out_to_the_version_in_force_is_complete_at_once() {
    let mut machine = Machine::default();
    machine.apply(adopt_version("v1", None));

    machine.apply(start_roll_out("v1"));

    assert_eq!((phase(&machine), version(&machine)), (Some(Phase::Complete), Some("v1")));
}

/// Guards against an upgrade after which the version that the build before had rolled out is not the one
/// in force.
#[test]
fn version_in_force_follows_from_a_roll_out_of_an_earlier_build() {
    let mut machine = Machine::default();
    machine.apply(start_roll_out("v2"));
    machine.apply(update_roll_out(1, Phase::Complete));
    let roll_outs = &*machine.roll_outs;
    let state = (earlier_configuration(), "source".as_bytes(), roll_outs, 5_u64, 1_u64);

    let restored = Machine::restore(&postcard::to_stdvec(&state).unwrap()).unwrap();

    assert_eq!(version(&restored), Some("v2"));
}
