//! Versions that are in force without a roll-out.
//!
//! A service gets its first version from the endpoints that announce themselves. The leader writes it to
//! the replicated log, so that it holds when all of these endpoints have been replaced and entries and
//! replicas have restarted. From then on only roll-outs change it, unless it has had no endpoint for
//! long.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::time::boot_time;
use hickoryreel_consensus::core::Role;
use hickoryreel_fleet::Name;
use slog::info;
use smallvec::SmallVec;

use crate::control::Control;
use crate::machine::Command;
use crate::machine::Machine;

/// Interval at which the leader looks for services without a version in force.
const PERIOD: Duration = Duration::from_millis(500);

/// Time after the first announcement of a service in which the leader hears its other endpoints.
const HEARING_TIME: Duration = Duration::from_secs(3);

/// Time without an endpoint of the version in force after which another one takes its place.
const ABSENCE_TIME: Duration = Duration::from_secs(60);

/// A version of a service whose endpoints announce themselves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Present {
    pub version: Name,
    /// Earliest start of its endpoints by their own clocks; 0 if one states none.
    pub since: u64,
    /// Number of its endpoints.
    pub endpoints: usize,
}

/// Versions of a service whose endpoints announce themselves.
pub type Versions = SmallVec<[Present; 2]>;

/// Whether endpoints of a service are present, but none of the version in force, and no roll-out
/// decides on them.
fn needs_version(machine: &Machine, service: &str, present: &Versions) -> bool {
    let in_force = machine.versions.get(service);
    let roll_out = machine.roll_outs.for_service(service);
    !present.is_empty()
        && !present.iter().any(|present| Some(&present.version) == in_force)
        && !roll_out.is_some_and(|roll_out| roll_out.phase.is_running())
}

/// Returns the version that is put in force, if there is one. `needed_for` is the time for which the
/// service has had none, or no endpoint of it.
pub fn next_version(
    machine: &Machine,
    service: &str,
    present: &Versions,
    needed_for: Duration,
) -> Option<Name> {
    let wait = if machine.versions.contains_key(service) { ABSENCE_TIME } else { HEARING_TIME };
    if needed_for < wait || !needs_version(machine, service, present) {
        return None;
    }
    let is_withdrawn =
        |present: &&Present| machine.roll_outs.is_withdrawn(service, &present.version);
    let candidates = present.iter().filter(|present| !is_withdrawn(present));
    // An endpoint that does not state when it started may be anyone's.
    let first = candidates.min_by_key(|present| {
        let more_endpoints = usize::MAX - present.endpoints;
        (present.since == 0, present.since, more_endpoints, &present.version)
    });
    first.map(|present| present.version.clone())
}

/// Puts versions in force while this replica is the leader.
pub async fn run_controller(control: Rc<Control>) {
    let Control { log_handle, log, directory, .. } = &*control;
    let mut needed_since: HashMap<Name, Duration> = HashMap::new();
    // Ends with the thread that owns the log.
    while log_handle.state.has_changed().is_ok() {
        tokio::time::sleep(PERIOD).await;
        let state = log_handle.state.borrow().clone();
        let machine = &state.machine;
        let now = boot_time();
        for service in machine.configuration.services.iter().map(|service| &service.name) {
            let present = directory.borrow().versions(service);
            if !needs_version(machine, service, &present) {
                needed_since.remove(service);
                continue;
            }
            let since = *needed_since.entry(service.clone()).or_insert(now);
            let next = next_version(machine, service, &present, now.saturating_sub(since));
            let Some(version) = next.filter(|_| state.role == Role::Leader) else { continue };
            let replaced = machine.versions.get(service).cloned();
            info!(log, "version put in force without a roll-out"; "service" => &**service,
                "version" => &*version, "replaced" => replaced.as_deref());
            let service = service.clone();
            let command = Command::AdoptVersion { service, version, replaced };
            log_handle.propose(command.encode()).await;
        }
    }
}
