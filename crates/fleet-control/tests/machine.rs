//! The agreed state under resent, overtaken and racing orders.

use std::time::Duration;

use bytes::Bytes;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet_control::machine::Command;
use hickoryreel_fleet_control::machine::Machine;

fn accept(number: u64, source: &str) -> Command {
    let configuration = Configuration { number, ..Configuration::default() };
    Command::Accept(Box::new(configuration), Bytes::copy_from_slice(source.as_bytes()))
}

fn start(target: &str) -> Command {
    let length_ms = Duration::from_secs(24).as_millis() as u64;
    Command::Start { service: "drafts".into(), target: target.into(), length_ms, share: 100 }
}

fn phase(machine: &Machine) -> Option<Phase> {
    machine.roll_outs.for_service("drafts").map(|one| one.phase)
}

/// Guards against an older or resent configuration that replaces the newest one, and against
/// other content under a number that is taken.
#[test]
fn highest_number_wins_and_binds_its_content() {
    let mut machine = Machine::default();
    for command in [accept(3, "three"), accept(7, "seven"), accept(5, "five"), accept(7, "other")] {
        machine.apply(command);
    }

    assert_eq!(machine.configuration.number, 7);
    assert_eq!(&machine.source[..], b"seven");
}

/// Guards against a resent order that starts a roll-out over, during it and after its end.
#[test]
fn resent_order_changes_nothing() {
    let mut machine = Machine::default();
    machine.apply(start("v2"));
    machine.apply(Command::Step { serial: 1, phase: Phase::Trial, elapsed_ms: 12_000 });
    let revision = machine.revision;
    machine.apply(start("v2"));
    assert_eq!((machine.revision, phase(&machine)), (revision, Some(Phase::Trial)));

    machine.apply(Command::Step { serial: 1, phase: Phase::RolledBack, elapsed_ms: 13_000 });
    machine.apply(start("v2"));

    assert_eq!(phase(&machine), Some(Phase::RolledBack));
    assert!(machine.roll_outs.is_withdrawn("drafts", "v2"));
}

/// Guards against a step of an old leader that moves a roll-out back or revives one that ended.
#[test]
fn steps_only_go_forward() {
    let mut machine = Machine::default();
    machine.apply(start("v2"));
    machine.apply(Command::Step { serial: 1, phase: Phase::Moving, elapsed_ms: 18_000 });
    machine.apply(Command::Step { serial: 1, phase: Phase::Trial, elapsed_ms: 19_000 });
    assert_eq!(phase(&machine), Some(Phase::Moving));

    machine.apply(Command::Step { serial: 1, phase: Phase::Complete, elapsed_ms: 20_000 });
    machine.apply(Command::Step { serial: 1, phase: Phase::RolledBack, elapsed_ms: 21_000 });

    assert_eq!(phase(&machine), Some(Phase::Complete));
    assert!(!machine.roll_outs.is_withdrawn("drafts", "v2"));
}

/// Guards against state that a snapshot loses.
#[test]
fn snapshot_restores_the_state() {
    let mut machine = Machine::default();
    for command in [accept(7, "seven"), start("v2"), start("v3")] {
        machine.apply(command);
    }

    let restored = Machine::restore(&machine.snapshot()).unwrap();

    assert_eq!(format!("{restored:?}"), format!("{machine:?}"));
}
