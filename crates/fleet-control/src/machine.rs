//! The state that control replicas agree on.

use std::sync::Arc;

use bytes::Bytes;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::RollOuts;
use serde::Deserialize;
use serde::Serialize;

/// A change of the agreed state. Applying a command twice has the effect of applying it once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// A checked configuration and the text that the operator sent.
    Accept(Box<Configuration>, Bytes),
    /// A new roll-out.
    Start {
        /// Service.
        service: Name,
        /// New version.
        target: Name,
        /// Time for the roll-out, in milliseconds.
        length_ms: u64,
        /// Share of the new version in the trial, in parts of 1,000.
        share: u32,
    },
    /// Progress of a roll-out.
    Step {
        /// Number of the roll-out.
        serial: u64,
        /// New phase.
        phase: Phase,
        /// Time that has passed since the order, in milliseconds.
        elapsed_ms: u64,
    },
}

impl Command {
    /// The form in the log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command has only serializable parts")
    }
}

/// The agreed state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machine {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The configuration as the operator sent it.
    pub source: Bytes,
    /// Roll-outs.
    pub roll_outs: Arc<RollOuts>,
    /// Rises with each change of the roll-outs.
    pub revision: u64,
    serials: u64,
}

impl Machine {
    /// Applies one command.
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::Accept(configuration, source) => {
                if configuration.number > self.configuration.number {
                    self.configuration = Arc::from(configuration);
                    self.source = source;
                }
            }
            Command::Start { service, target, length_ms, share } => {
                self.start(service, target, length_ms, share);
            }
            Command::Step { serial, phase, elapsed_ms } => self.step(serial, phase, elapsed_ms),
        }
    }

    /// A resent order names the target of the newest roll-out and changes nothing.
    fn start(&mut self, service: Name, target: Name, length_ms: u64, share: u32) {
        if self.roll_outs.for_service(&service).is_some_and(|one| one.target == target) {
            return;
        }
        self.serials += 1;
        let started = RollOut {
            serial: self.serials,
            service,
            target,
            length_ms,
            phase: Phase::Pending,
            share,
            elapsed_ms: 0,
        };
        let roll_outs = Arc::make_mut(&mut self.roll_outs);
        // An order for a version that was withdrawn earlier gives it another trial.
        roll_outs
            .withdrawn
            .retain(|(of, version)| *of != started.service || *version != started.target);
        roll_outs.newest.retain(|one| one.service != started.service);
        roll_outs.newest.push(started);
        self.revision += 1;
    }

    fn step(&mut self, serial: u64, phase: Phase, elapsed_ms: u64) {
        let roll_outs = Arc::make_mut(&mut self.roll_outs);
        let running = |one: &&mut RollOut| one.serial == serial && one.phase.is_running();
        let Some(one) = roll_outs.newest.iter_mut().find(running) else { return };
        if phase < one.phase {
            return;
        }
        one.elapsed_ms = one.elapsed_ms.max(elapsed_ms);
        if one.phase == phase {
            return;
        }
        one.phase = phase;
        if phase == Phase::RolledBack {
            let withdrawn = (one.service.clone(), one.target.clone());
            roll_outs.withdrawn.push(withdrawn);
        }
        self.revision += 1;
    }

    /// The form in a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("the state has only serializable parts")
    }

    /// Reads what [`Machine::snapshot`] wrote.
    pub fn restore(data: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(data)
    }
}
