//! The replicated state machine of the control replicas.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use hickoryreel_fleet::Name;
use hickoryreel_fleet::configuration::Configuration;
use hickoryreel_fleet::configuration::earlier;
use hickoryreel_fleet::departure::Departure;
use hickoryreel_fleet::departure::Departures;
use hickoryreel_fleet::former_keys;
use hickoryreel_fleet::roll_out::Phase;
use hickoryreel_fleet::roll_out::RollOut;
use hickoryreel_fleet::roll_out::RollOuts;
use serde::Deserialize;
use serde::Serialize;

/// A change of the replicated state. Commands are idempotent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Command {
    /// [`Self::PutConfiguration`] in the log of an earlier build.
    PutEarlierConfiguration(Box<earlier::Configuration>, Bytes),
    /// Starts a roll-out, unless the newest one of the service has the same target.
    StartRollOut {
        service: Name,
        /// New version.
        target: Name,
        /// Planned duration.
        length_ms: u64,
        /// Share of the requests that go to the new version during the trial, in thousandths.
        share: u32,
    },
    /// Records the phase and the elapsed time of a roll-out. Neither goes back.
    UpdateRollOut {
        /// Number of the roll-out.
        serial: u64,
        phase: Phase,
        /// Time since the operator ordered the roll-out.
        elapsed_ms: u64,
    },
    /// Raises the share of the requests that go to the new version during the trial.
    RaiseShare {
        /// Number of the roll-out.
        serial: u64,
        /// In thousandths.
        share: u32,
    },
    /// Puts a validated configuration in force, unless one with the same or a higher number is.
    /// Also carries the configuration as the operator sent it.
    PutConfiguration(Box<Configuration>, Bytes),
    /// Starts or ends the evacuation of an availability zone.
    SetEvacuation {
        zone: Name,
        evacuated: bool,
        /// Number of orders for the zone that were applied before this one was given. A copy that
        /// arrives after a later order has no effect.
        earlier_orders: u64,
    },
    /// Records that endpoints drain or have deregistered, so that a late announcement does not bring
    /// them back after all processes have restarted.
    RecordDepartures(Vec<Departure>),
    /// Puts a version of a service in force without a roll-out, unless another one than `replaced` is.
    AdoptVersion { service: Name, version: Name, replaced: Option<Name> },
}

impl Command {
    /// Encodes the command for the replicated log.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a command can always be serialized")
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Machine {
    /// The configuration in force.
    pub configuration: Arc<Configuration>,
    /// The configuration as the operator sent it.
    pub source: Bytes,
    pub roll_outs: Arc<RollOuts>,
    /// Increases with each new roll-out, each change of a phase, a share or a version in force, and
    /// each start or end of an evacuation.
    pub revision: u64,
    /// Number of the newest roll-out.
    last_serial: u64,
    /// Availability zones whose endpoints get no requests, in alphabetical order.
    pub evacuated: Arc<Vec<Name>>,
    /// Number of applied orders for each availability zone that had one.
    evacuation_orders: BTreeMap<Name, u64>,
    /// Keys of earlier configurations.
    pub former_keys: Arc<former_keys::History>,
    /// Endpoints that have left.
    pub departures: Arc<Departures>,
    /// Version in force of each service that has one. Without a roll-out only it gets requests.
    pub versions: Arc<BTreeMap<Name, Name>>,
}

/// First number of a snapshot. The first builds began theirs with the number of the configuration,
/// which is never as large.
const SNAPSHOT_FORMAT: u64 = u64::MAX - 2;

/// First number of a snapshot of a build that remembered neither departures nor versions in force.
const SNAPSHOT_FORMAT_WITHOUT_DEPARTURES: u64 = u64::MAX - 1;

/// The same of a build that remembered no former keys either.
const SNAPSHOT_FORMAT_WITHOUT_FORMER_KEYS: u64 = u64::MAX;

/// The replicated state in a snapshot of the first builds.
#[derive(Deserialize)]
struct EarlierMachine {
    configuration: earlier::Configuration,
    source: Bytes,
    roll_outs: Arc<RollOuts>,
    revision: u64,
    last_serial: u64,
}

impl From<EarlierMachine> for Machine {
    fn from(earlier: EarlierMachine) -> Self {
        let EarlierMachine { configuration, source, roll_outs, revision, last_serial } = earlier;
        let configuration = Arc::new(configuration.into());
        Self { configuration, source, roll_outs, revision, last_serial, ..Self::default() }
    }
}

impl Machine {
    pub fn apply(&mut self, command: Command) {
        match command {
            Command::PutConfiguration(configuration, source) => {
                self.put_configuration(*configuration, source);
            }
            Command::PutEarlierConfiguration(configuration, source) => {
                self.put_configuration((*configuration).into(), source);
            }
            Command::StartRollOut { service, target, length_ms, share } => {
                self.start_roll_out(service, target, length_ms, share);
            }
            Command::UpdateRollOut { serial, phase, elapsed_ms } => {
                self.update_roll_out(serial, phase, elapsed_ms)
            }
            Command::RaiseShare { serial, share } => self.raise_share(serial, share),
            Command::SetEvacuation { zone, evacuated, earlier_orders } => {
                self.set_evacuation(zone, evacuated, earlier_orders);
            }
            Command::RecordDepartures(departures) => self.record_departures(&departures),
            Command::AdoptVersion { service, version, replaced } => {
                self.adopt_version(service, version, replaced.as_ref());
            }
        }
    }

    fn put_configuration(&mut self, configuration: Configuration, source: Bytes) {
        if configuration.number > self.configuration.number {
            let former_keys = Arc::make_mut(&mut self.former_keys);
            former_keys.add_removed(&self.configuration, &configuration);
            self.configuration = Arc::new(configuration);
            self.source = source;
        }
    }

    /// Whether no command has had an effect yet.
    pub fn is_pristine(&self) -> bool {
        self.configuration.number == 0 && self.last_serial == 0 && self.evacuation_orders.is_empty()
    }

    /// Number of orders to start or end the evacuation of a zone that were applied.
    pub fn evacuation_orders(&self, zone: &str) -> u64 {
        self.evacuation_orders.get(zone).copied().unwrap_or(0)
    }

    fn set_evacuation(&mut self, zone: Name, evacuated: bool, earlier_orders: u64) {
        let orders = self.evacuation_orders.entry(zone.clone()).or_default();
        if earlier_orders != *orders {
            return;
        }
        *orders += 1;
        let known = self.evacuated.binary_search(&zone);
        let zones = Arc::make_mut(&mut self.evacuated);
        match (known, evacuated) {
            (Err(at), true) => zones.insert(at, zone),
            (Ok(at), false) => drop(zones.remove(at)),
            // Resent.
            _ => return,
        }
        self.revision += 1;
    }

    fn adopt_version(&mut self, service: Name, version: Name, replaced: Option<&Name>) {
        let is_running = |roll_out: &RollOut| roll_out.phase.is_running();
        if self.versions.get(&service) != replaced
            || self.roll_outs.for_service(&service).is_some_and(is_running)
        {
            return;
        }
        Arc::make_mut(&mut self.versions).insert(service, version);
        self.revision += 1;
    }

    fn record_departures(&mut self, recorded: &[Departure]) {
        let departures = Arc::make_mut(&mut self.departures);
        for departure in recorded {
            departures.record(departure, departures.last_number() + 1);
        }
    }

    /// Starts a roll-out. A resent command has the target of the newest roll-out and changes
    /// nothing.
    fn start_roll_out(&mut self, service: Name, target: Name, length_ms: u64, share: u32) {
        if self.roll_outs.for_service(&service).is_some_and(|newest| newest.target == target) {
            return;
        }
        self.last_serial += 1;
        let is_in_force = self.versions.get(&service) == Some(&target);
        let started = RollOut {
            serial: self.last_serial,
            service,
            target,
            length_ms,
            phase: if is_in_force { Phase::Complete } else { Phase::Pending },
            share,
            elapsed_ms: 0,
        };
        let roll_outs = Arc::make_mut(&mut self.roll_outs);
        // A new roll-out of a withdrawn version cancels the withdrawal.
        roll_outs
            .withdrawn
            .retain(|(service, version)| *service != started.service || *version != started.target);
        roll_outs.newest.retain(|roll_out| roll_out.service != started.service);
        roll_outs.newest.push(started);
        self.revision += 1;
    }

    fn update_roll_out(&mut self, serial: u64, phase: Phase, elapsed_ms: u64) {
        let roll_outs = Arc::make_mut(&mut self.roll_outs);
        let running =
            |roll_out: &&mut RollOut| roll_out.serial == serial && roll_out.phase.is_running();
        let Some(roll_out) = roll_outs.newest.iter_mut().find(running) else { return };
        if phase < roll_out.phase {
            return;
        }
        roll_out.elapsed_ms = roll_out.elapsed_ms.max(elapsed_ms);
        if roll_out.phase == phase {
            return;
        }
        roll_out.phase = phase;
        if phase == Phase::Complete {
            let versions = Arc::make_mut(&mut self.versions);
            versions.insert(roll_out.service.clone(), roll_out.target.clone());
        }
        if phase == Phase::RolledBack {
            let withdrawn = (roll_out.service.clone(), roll_out.target.clone());
            roll_outs.withdrawn.push(withdrawn);
        }
        self.revision += 1;
    }

    /// Raises the share of a trial. A share that has moved sessions to the new version is never lowered,
    /// because they must stay there.
    fn raise_share(&mut self, serial: u64, share: u32) {
        let roll_outs = Arc::make_mut(&mut self.roll_outs);
        let raised = |roll_out: &&mut RollOut| {
            roll_out.serial == serial && roll_out.phase == Phase::Trial && roll_out.share < share
        };
        let Some(roll_out) = roll_outs.newest.iter_mut().find(raised) else { return };
        roll_out.share = share;
        self.revision += 1;
    }

    /// Encodes the state for a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&(SNAPSHOT_FORMAT, self)).expect("the state can always be serialized")
    }

    /// Decodes a state encoded by [`Machine::snapshot`] of this or an earlier build.
    pub fn restore(data: &[u8]) -> Result<Self, postcard::Error> {
        let without_versions = (Departures::default(), BTreeMap::<Name, Name>::new());
        let earlier = match postcard::take_from_bytes(data)? {
            (SNAPSHOT_FORMAT, state) => return postcard::from_bytes(state),
            (SNAPSHOT_FORMAT_WITHOUT_DEPARTURES, state) => {
                Self::restore_with(state, &without_versions)
            }
            (SNAPSHOT_FORMAT_WITHOUT_FORMER_KEYS, state) => {
                Self::restore_with(state, &(former_keys::History::default(), without_versions))
            }
            _ => postcard::from_bytes::<EarlierMachine>(data).map(Self::from),
        };
        earlier.map(Self::with_completed_versions)
    }

    /// Decodes a state without its last fields, which get the values `missing`.
    fn restore_with(state: &[u8], missing: &impl Serialize) -> Result<Self, postcard::Error> {
        postcard::from_bytes(&[state, &postcard::to_stdvec(missing)?].concat())
    }

    /// Puts the targets of roll-outs in force that an earlier build has completed.
    fn with_completed_versions(mut self) -> Self {
        let is_complete = |roll_out: &&RollOut| roll_out.phase == Phase::Complete;
        for roll_out in self.roll_outs.newest.iter().filter(is_complete) {
            let versions = Arc::make_mut(&mut self.versions);
            versions.insert(roll_out.service.clone(), roll_out.target.clone());
        }
        self
    }
}
