//! Versions that come into force without a roll-out.

use std::time::Duration;

use hickoryreel_fleet_control::machine::Command;
use hickoryreel_fleet_control::machine::Machine;
use hickoryreel_fleet_control::version_adoption::Present;
use hickoryreel_fleet_control::version_adoption::Versions;
use hickoryreel_fleet_control::version_adoption::next_version;
use yare::parameterized;

/// Version, earliest start and number of endpoints.
type Announced<'a> = (&'a str, u64, usize);

fn versions(announced: &[Announced<'_>]) -> Versions {
    let present = |(version, since, endpoints): &Announced<'_>| Present {
        version: (*version).into(),
        since: *since,
        endpoints: *endpoints,
    };
    announced.iter().map(present).collect()
}

/// The state with a version in force.
fn machine(in_force: Option<&str>) -> Machine {
    let mut machine = Machine::default();
    if let Some(version) = in_force {
        let version = version.into();
        machine.apply(Command::AdoptVersion { service: "ledger".into(), version, replaced: None });
    }
    machine
}

fn adopted(in_force: Option<&str>, announced: &[Announced<'_>], needed_s: u64) -> Option<String> {
    let needed_for = Duration::from_secs(needed_s);
    let next = next_version(&machine(in_force), "ledger", &versions(announced), needed_for);
    next.map(|version| version.to_string())
}

/// Guards against a version in force that is not the one that a service started with.
#[parameterized(
    only_one = { &[("v1", 50, 3)], Some("v1") },
    earliest_start = { &[("v10", 90, 9), ("v9", 50, 3)], Some("v9") },
    no_start_stated = { &[("v2", 0, 1), ("v1", 50, 3)], Some("v1") },
    same_start = { &[("v1", 50, 1), ("v2", 50, 3)], Some("v2") },
    no_endpoint = { &[], None },
)]
fn first_version_is_the_one_that_started_first(
    announced: &[Announced<'_>],
    expected: Option<&str>,
) {
    assert_eq!(adopted(None, announced, 3).as_deref(), expected);
}

/// Guards against a first version that is chosen before all endpoints can have announced themselves.
#[test]
fn first_version_waits_until_endpoints_are_heard() {
    assert_eq!(adopted(None, &[("v2", 90, 1)], 2), None);
}

/// Guards against a version that replaces the one in force without a roll-out, and against a service that
/// stays down for good because the endpoints of that one never return.
#[parameterized(
    present = { &[("v1", 90, 1), ("v2", 10, 9)], 600, None },
    gone_for_a_moment = { &[("v2", 10, 9)], 59, None },
    gone_for_long = { &[("v2", 10, 9)], 60, Some("v2") },
)]
fn version_in_force_stays_while_it_may_return(
    announced: &[Announced<'_>],
    needed_s: u64,
    expected: Option<&str>,
) {
    assert_eq!(adopted(Some("v1"), announced, needed_s).as_deref(), expected);
}

/// Guards against a version that was withdrawn and comes back into force without an order, and against an
/// adoption during a roll-out.
#[test]
fn withdrawn_or_ordered_versions_are_not_adopted() {
    let mut machine = machine(None);
    let target = |target: &str| Command::StartRollOut {
        service: "ledger".into(),
        target: target.into(),
        length_ms: 24_000,
        share: 100,
    };
    let present = versions(&[("v2", 10, 3)]);
    let next =
        |machine: &Machine| next_version(machine, "ledger", &present, Duration::from_secs(600));

    machine.apply(target("v2"));
    assert_eq!(next(&machine), None);

    let phase = hickoryreel_fleet::roll_out::Phase::RolledBack;
    machine.apply(Command::UpdateRollOut { serial: 1, phase, elapsed_ms: 9_000 });
    assert_eq!(next(&machine), None);
}
