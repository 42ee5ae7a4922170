//! The leader's duties: leases, withdrawals in force, settling, and the operators' writes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hickoryreel_base::name::Version;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Role;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::record::Record;
use hickoryreel_state::record::Settle;
use rand::RngExt;

use super::Answer;
use super::Cluster;
use super::LEASE;
use super::Wait;
use super::entries::holder;

/// What a leader knows in one of its terms; the next leader starts anew.
#[derive(Debug, Default)]
pub(crate) struct Duties {
    term: u64,
    /// When this leader began. Leases of earlier leaders end one length later at the latest.
    since: Duration,
    leases: BTreeMap<Holder, Lease>,
    /// Holders whose lapse was proposed; they get no lease even before it commits.
    lapsing: BTreeSet<Holder>,
}

#[derive(Debug)]
struct Lease {
    expires: Duration,
    confirmed: Revision,
}

impl Cluster {
    /// A quorum has just confirmed the leader `id`: it grants a lease with its configuration.
    pub(crate) fn grant(
        &mut self,
        id: ReplicaId,
        to: (usize, u64),
        sent: Duration,
        confirmed: Revision,
    ) {
        self.start_duties(id);
        let now = self.sim.now();
        let holder = holder(to.0, to.1);
        let Some((replicated, replica)) = self.sim.get(id) else { return };
        let Some(duties) = self.duties.get_mut(&id) else { return };
        let is_ending = duties.lapsing.contains(&holder) || replicated.machine.has_lapsed(&holder);
        if is_ending || replica.role() != Role::Leader {
            return;
        }
        let config = replicated.machine.config();
        let revision = config.revision;
        let withdrawn = config.withdrawn.iter().cloned().collect();
        duties.leases.insert(holder, Lease { expires: now + LEASE, confirmed });
        self.reached.grants += 1;
        self.send_answer(to, Answer::Grant { sent, revision, withdrawn });
    }

    /// Duties begin when a leader of a new term is first seen.
    fn start_duties(&mut self, leader: ReplicaId) {
        let Some((_, replica)) = self.sim.get(leader) else { return };
        let term = replica.term();
        let is_new = self.duties.get(&leader).is_none_or(|duties| duties.term != term);
        if replica.role() == Role::Leader && is_new {
            let since = self.sim.now();
            self.duties.insert(leader, Duties { term, since, ..Duties::default() });
        }
    }

    pub(crate) fn perform_duties(&mut self) {
        let Some(leader) = self.any_leader() else { return };
        self.start_duties(leader);
        self.declare_withdrawals(leader);
        if self.sim.random.random_bool(0.2) {
            self.lapse_holders(leader);
            self.settle_records(leader);
        }
        if self.sim.random.random_bool(0.1) {
            self.operate(leader);
        }
    }

    /// A withdrawal is in force when each entry that held a lease has confirmed its revision or
    /// its lease has expired, and the leases of earlier leaders have expired too.
    fn declare_withdrawals(&mut self, leader: ReplicaId) {
        let now = self.sim.now();
        let Some(duties) = self.duties.get(&leader) else { return };
        if now < duties.since + LEASE {
            return;
        }
        let held = duties.leases.values().filter(|lease| lease.expires > now);
        let known = held.map(|lease| lease.confirmed).min().unwrap_or(Revision::MAX);
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let machine = &replicated.machine;
        let withdrawn = machine.config().withdrawn.iter();
        let in_force: Vec<Version> = withdrawn
            .filter(|version| machine.withdrawals()[*version].revision <= known)
            .cloned()
            .collect();
        for version in in_force {
            self.reached.in_force += u64::from(self.observer.declare(&version));
        }
    }

    /// Ends the holders of open records whose lease has expired.
    fn lapse_holders(&mut self, leader: ReplicaId) {
        let now = self.sim.now();
        let Some(duties) = self.duties.get(&leader) else { return };
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let machine = &replicated.machine;
        let expired = machine.active_holders().into_iter().filter(|holder| {
            let expires = duties.leases.get(holder).map(|lease| lease.expires);
            expires.unwrap_or(duties.since + LEASE) <= now && !machine.has_lapsed(holder)
        });
        for holder in expired.collect::<Vec<_>>() {
            if let Some(duties) = self.duties.get_mut(&leader) {
                duties.lapsing.insert(holder.clone());
            }
            self.propose(leader, Action::Lapse(holder), Wait::Nothing);
        }
    }

    /// The first bundle comes into force before any fault.
    pub(crate) fn publish_first(&mut self) {
        let changes = [
            Change::Submit { text: self.text.clone() },
            Change::SignOff { bundle: 1 },
            Change::RollOut { bundle: 1 },
        ];
        for (number, change) in changes.into_iter().enumerate() {
            let leader = self.sim.leader().expect("there is a leader");
            let operation = Operation {
                operator: ["ann", "ben"][number % 2].into(),
                request: format!("first-{number}").as_str().into(),
                based_on: number as Revision,
                change,
            };
            self.propose(leader, Action::Operate(operation), Wait::Nothing);
            self.sim.run_for(Duration::from_secs(1));
        }
        self.observer.follow(self.sim.invariants.committed());
        assert!(self.observer.machine().config().active.is_some(), "no bundle is in force");
    }

    fn settle_records(&mut self, leader: ReplicaId) {
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let unsettled = replicated.machine.unsettled();
        let settles: Vec<RecordChange> = unsettled
            .into_iter()
            .filter_map(|(key, record)| {
                let Record { holder, attempt, .. } = record;
                let finding = self.finding(&key, &holder, attempt)?;
                Some(RecordChange::Settle(Settle { key, holder, attempt, finding }))
            })
            .collect();
        if !settles.is_empty() {
            self.reached.settled += settles.len() as u64;
            self.propose(leader, Action::Records(settles), Wait::Nothing);
        }
    }

    /// An operator's write, some of them based on an old revision or sent twice.
    fn operate(&mut self, leader: ReplicaId) {
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let config = replicated.machine.config();
        let (revision, can_withdraw) = (config.revision, config.withdrawn.len() < 2);
        let number = self.sim.random.random_range(0..4u8);
        let change = if can_withdraw && number == 0 {
            let version = format!("quill/v{}", self.sim.random.random_range(0..4));
            Change::Withdraw { version: version.as_str().into(), reason: "bad".into() }
        } else {
            Change::Submit { text: self.text.clone() }
        };
        let operation = Operation {
            operator: ["ann", "ben"][usize::from(number % 2)].into(),
            request: self.sim.random.random_range(0..10_000u32).to_string().into(),
            based_on: revision.saturating_sub(u64::from(self.sim.random.random_bool(0.1))),
            change,
        };
        for _ in 0..self.sim.random.random_range(1..3) {
            self.propose(leader, Action::Operate(operation.clone()), Wait::Nothing);
        }
    }

    /// Renews a lease with a read of the log, which a quorum confirms.
    pub(crate) fn renew(&mut self, entry: usize, incarnation: u64, revision: Revision) {
        let sent = self.sim.now();
        let Some(leader) = self.any_leader().filter(|_| !self.is_lost()) else { return };
        let token = self.next_token(Wait::Renewal { entry, incarnation, sent, revision });
        self.sim.input(leader, Input::Read { token });
    }
}
