//! Applies the committed log to a separate machine, and checks the machine against the oracle and
//! the guarantees.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hickoryreel_base::name::Version;
use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Payload;
use hickoryreel_state::command::Command;
use hickoryreel_state::machine::Machine;

use crate::answer::Answer;
use crate::invariants::Checker;
use crate::oracle::Oracle;
use crate::world::Start;

/// State after the committed log, and the withdrawals that leaders declared in force.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    /// The oracle, in which the content of the bundles is registered.
    pub(crate) oracle: Oracle,
    machine: Machine,
    checker: Checker,
    applied_index: u64,
    in_force: BTreeSet<Version>,
}

impl Observer {
    /// Applies newly committed log entries. Returns the number of commands in them.
    pub(crate) fn apply_committed(&mut self, committed: &BTreeMap<u64, Entry>) -> u64 {
        let mut commands = 0;
        while let Some(entry) = committed.get(&(self.applied_index + 1)) {
            self.applied_index += 1;
            if let Payload::Command(bytes) = &entry.payload {
                let command: Command =
                    postcard::from_bytes(bytes).expect("a committed command can be decoded");
                self.apply(entry.index, &command);
                commands += 1;
            }
        }
        commands
    }

    fn apply(&mut self, index: u64, command: &Command) {
        let before = self.machine.config().clone();
        let outcome = self.machine.apply(index, command);
        self.checker.check_command(&before, command, &outcome, &self.machine);
        assert_eq!(
            Answer::from(&outcome),
            self.oracle.apply(command),
            "machine and oracle differ on {command:?}"
        );
    }

    /// The machine after the committed log.
    pub(crate) fn machine(&self) -> &Machine {
        &self.machine
    }

    pub(crate) fn digest(&self) -> u64 {
        self.machine.digest()
    }

    pub(crate) fn checks(&self) -> u64 {
        self.checker.checks
    }

    /// Records that a leader declared the withdrawal of `version` in force. Returns whether that is
    /// new.
    pub(crate) fn declare_in_force(&mut self, version: &Version) -> bool {
        self.in_force.insert(version.clone())
    }

    /// Checks a dispatch by an entry; `version` is `None` for a plain service.
    pub(crate) fn check_dispatch(&mut self, version: Option<&Version>) {
        let is_withdrawn = version.is_some_and(|version| self.in_force.contains(version));
        self.checker.check(
            !is_withdrawn,
            "no dispatch to a version whose withdrawal is in force",
            &version,
        );
    }

    /// Checks the start of a run at an endpoint.
    pub(crate) fn check_start(&mut self, start: &Start) {
        self.checker.check_start(start);
    }
}
