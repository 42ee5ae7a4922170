//! Follows the committed log with its own machine, the oracle and the ledger.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use hickoryreel_base::name::Version;
use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Payload;
use hickoryreel_state::command::Command;
use hickoryreel_state::machine::Machine;

use crate::answer::Answer;
use crate::ledger::Ledger;
use crate::oracle::Oracle;
use crate::world::Start;

/// What the committed log says, and what was promised from it.
#[derive(Debug, Default)]
pub(crate) struct Observer {
    /// The oracle, which also knows the meaning of the bundle texts.
    pub(crate) oracle: Oracle,
    machine: Machine,
    ledger: Ledger,
    followed: u64,
    in_force: BTreeSet<Version>,
}

impl Observer {
    /// Applies newly committed entries. Returns how many commands they held.
    pub(crate) fn follow(&mut self, committed: &BTreeMap<u64, Entry>) -> u64 {
        let mut commands = 0;
        while let Some(entry) = committed.get(&(self.followed + 1)) {
            self.followed += 1;
            if let Payload::Command(bytes) = &entry.payload {
                let command: Command = postcard::from_bytes(bytes).expect("it is decoded");
                self.apply(entry.index, &command);
                commands += 1;
            }
        }
        commands
    }

    fn apply(&mut self, index: u64, command: &Command) {
        let before = self.machine.config().clone();
        let outcome = self.machine.apply(index, command);
        self.ledger.note(&before, command, &outcome, &self.machine);
        assert_eq!(Answer::from(&outcome), self.oracle.apply(command), "oracle, for {command:?}");
    }

    /// The machine after the committed log.
    pub(crate) fn machine(&self) -> &Machine {
        &self.machine
    }

    pub(crate) fn digest(&self) -> u64 {
        self.machine.digest()
    }

    pub(crate) fn checks(&self) -> u64 {
        self.ledger.checks
    }

    /// A leader declared the withdrawal of `version` to be in force. Returns whether it is new.
    pub(crate) fn declare(&mut self, version: &Version) -> bool {
        self.in_force.insert(version.clone())
    }

    /// An entry dispatches a request.
    pub(crate) fn note_dispatch(&mut self, version: Option<&Version>) {
        let is_withdrawn = version.is_some_and(|version| self.in_force.contains(version));
        self.ledger.check(!is_withdrawn, "no dispatch after a withdrawal is in force", &version);
    }

    /// An endpoint starts a run.
    pub(crate) fn note_start(&mut self, start: &Start) {
        self.ledger.note_start(start);
    }
}
