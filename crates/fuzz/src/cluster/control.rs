//! The leader's tasks (leases, withdrawals in force, settling records) and the operators' writes.

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
use super::LEASE_LENGTH;
use super::ReplyTo;
use super::entries::holder;

/// Volatile state of a leader in one of its terms. A new leader starts without it.
#[derive(Debug, Default)]
pub(crate) struct LeaderState {
    term: u64,
    /// When the leader was first seen in this term. Leases that earlier leaders granted expire at
    /// most one lease length later.
    since: Duration,
    leases: BTreeMap<Holder, Lease>,
    /// Holders whose lapse was proposed. They are granted no lease even before the commit.
    lapsing: BTreeSet<Holder>,
}

#[derive(Debug)]
struct Lease {
    expires: Duration,
    confirmed: Revision,
}

impl Cluster {
    /// Grants a lease with the configuration of the leader `id`, right after a quorum confirmed
    /// that it leads.
    pub(crate) fn grant(
        &mut self,
        id: ReplicaId,
        to: (usize, u64),
        sent: Duration,
        confirmed: Revision,
    ) {
        self.start_leader_state(id);
        let now = self.sim.now();
        let holder = holder(to.0, to.1);
        let Some((replicated, replica)) = self.sim.get(id) else { return };
        let Some(leader_state) = self.leader_states.get_mut(&id) else { return };
        let is_ending =
            leader_state.lapsing.contains(&holder) || replicated.machine.has_lapsed(&holder);
        if is_ending || replica.role() != Role::Leader {
            return;
        }
        let config = replicated.machine.config();
        let revision = config.revision;
        let withdrawn = config.withdrawn.iter().cloned().collect();
        leader_state.leases.insert(holder, Lease { expires: now + LEASE_LENGTH, confirmed });
        self.coverage.grants += 1;
        self.send_answer(to, Answer::Grant { sent, revision, withdrawn });
    }

    /// Resets the leader's state when it is first seen in a new term.
    fn start_leader_state(&mut self, leader: ReplicaId) {
        let Some((_, replica)) = self.sim.get(leader) else { return };
        let term = replica.term();
        let is_new =
            self.leader_states.get(&leader).is_none_or(|leader_state| leader_state.term != term);
        if replica.role() == Role::Leader && is_new {
            let since = self.sim.now();
            self.leader_states
                .insert(leader, LeaderState { term, since, ..LeaderState::default() });
        }
    }

    pub(crate) fn run_leader_tasks(&mut self) {
        let Some(leader) = self.random_leader() else { return };
        self.start_leader_state(leader);
        self.declare_withdrawals(leader);
        if self.sim.random.random_bool(0.2) {
            self.lapse_holders(leader);
            self.settle_records(leader);
        }
        if self.sim.random.random_bool(0.1) {
            self.write_as_operator(leader);
        }
    }

    /// Declares withdrawals in force. A withdrawal is in force when all leases of earlier leaders
    /// have expired, and each entry that was granted a lease by this leader has confirmed the
    /// revision of the withdrawal or its lease has expired.
    fn declare_withdrawals(&mut self, leader: ReplicaId) {
        let now = self.sim.now();
        let Some(leader_state) = self.leader_states.get(&leader) else { return };
        if now < leader_state.since + LEASE_LENGTH {
            return;
        }
        let held = leader_state.leases.values().filter(|lease| lease.expires > now);
        let confirmed = held.map(|lease| lease.confirmed).min().unwrap_or(Revision::MAX);
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let machine = &replicated.machine;
        let withdrawn = machine.config().withdrawn.iter();
        let in_force: Vec<Version> = withdrawn
            .filter(|version| machine.withdrawals()[*version].revision <= confirmed)
            .cloned()
            .collect();
        for version in in_force {
            self.coverage.in_force += u64::from(self.observer.declare_in_force(&version));
        }
    }

    /// Proposes the lapse of each active holder whose lease has expired.
    fn lapse_holders(&mut self, leader: ReplicaId) {
        let now = self.sim.now();
        let Some(leader_state) = self.leader_states.get(&leader) else { return };
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let machine = &replicated.machine;
        let expired = machine.active_holders().into_iter().filter(|holder| {
            let expires = leader_state.leases.get(holder).map(|lease| lease.expires);
            expires.unwrap_or(leader_state.since + LEASE_LENGTH) <= now
                && !machine.has_lapsed(holder)
        });
        for holder in expired.collect::<Vec<_>>() {
            if let Some(leader_state) = self.leader_states.get_mut(&leader) {
                leader_state.lapsing.insert(holder.clone());
            }
            self.propose(leader, Action::Lapse(holder), ReplyTo::Nobody);
        }
    }

    /// Puts the first bundle into force, before any fault is injected.
    pub(crate) fn publish_first_bundle(&mut self) {
        let changes = [
            Change::Submit { text: self.bundle_text.clone() },
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
            self.propose(leader, Action::Operate(operation), ReplyTo::Nobody);
            self.sim.run_for(Duration::from_secs(1));
        }
        self.observer.apply_committed(self.sim.invariants.committed());
        assert!(
            self.observer.machine().config().active.is_some(),
            "the first bundle is not in force"
        );
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
            self.coverage.settled += settles.len() as u64;
            self.propose(leader, Action::Records(settles), ReplyTo::Nobody);
        }
    }

    /// Proposes an operator's write. Some writes are based on an old revision or sent twice.
    fn write_as_operator(&mut self, leader: ReplicaId) {
        let Some((replicated, _)) = self.sim.get(leader) else { return };
        let config = replicated.machine.config();
        let (revision, can_withdraw) = (config.revision, config.withdrawn.len() < 2);
        let number = self.sim.random.random_range(0..4u8);
        let change = if can_withdraw && number == 0 {
            let version = format!("quill/v{}", self.sim.random.random_range(0..4));
            Change::Withdraw { version: version.as_str().into(), reason: "bad".into() }
        } else {
            Change::Submit { text: self.bundle_text.clone() }
        };
        let operation = Operation {
            operator: ["ann", "ben"][usize::from(number % 2)].into(),
            request: self.sim.random.random_range(0..10_000u32).to_string().into(),
            based_on: revision.saturating_sub(u64::from(self.sim.random.random_bool(0.1))),
            change,
        };
        for _ in 0..self.sim.random.random_range(1..3) {
            self.propose(leader, Action::Operate(operation.clone()), ReplyTo::Nobody);
        }
    }

    /// Requests the renewal of a lease. The leader answers after a read of the log, for which a
    /// quorum confirms that it still leads.
    pub(crate) fn renew(&mut self, entry: usize, incarnation: u64, revision: Revision) {
        let sent = self.sim.now();
        let Some(leader) = self.random_leader().filter(|_| !self.draw_loss()) else { return };
        let token = self.next_token(ReplyTo::Renewal { entry, incarnation, sent, revision });
        self.sim.input(leader, Input::Read { token });
    }
}
