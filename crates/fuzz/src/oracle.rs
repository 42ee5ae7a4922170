//! A simple model of the control state machine: plain lists that are searched from end to end.
//!
//! It predicts the answer to each command. It shares the command types with the machine, but no
//! code: bundles are looked up by their text, never parsed.

mod operations;
mod orders;
mod records;

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::name::Entry;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Service;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::BundleId;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::Revision;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::order::Controller;
use hickoryreel_state::order::Fence;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Target;

use crate::answer::Answer;

/// What a bundle text means.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Versions of each workspace.
    pub allowed: BTreeMap<Workspace, Vec<Version>>,
    /// All versions.
    pub versions: Vec<Version>,
    /// The service that every workspace may use.
    pub service: Option<Service>,
    /// Withdrawals that the bundle lifts.
    pub restores: Vec<(Version, Revision)>,
    /// Shares of the steps.
    pub steps: Vec<u8>,
    /// Least time in a step, in milliseconds.
    pub step_ms: u64,
}

#[derive(Clone, Debug)]
struct Bundle {
    plan: Plan,
    submitted_by: String,
    is_signed: bool,
    was_started: bool,
    was_active: bool,
}

#[derive(Clone, Debug)]
struct RollOut {
    bundle: BundleId,
    step: u32,
    percent: u8,
    started_ms: u64,
    is_paused: bool,
    pace: u8,
}

#[derive(Clone, Debug)]
struct Withdrawal {
    version: Version,
    revision: Revision,
    is_lifted: bool,
}

#[derive(Clone, Debug)]
struct Life {
    entry: Entry,
    newest: u64,
    lapsed: Option<u64>,
    seen_ms: u64,
}

/// A record with its newest dispatch.
#[derive(Clone, Debug)]
pub struct Record {
    /// The open that the record was last opened by.
    pub open: Open,
    /// Whether any open saw the request as run-once.
    pub run_once: bool,
    /// How it ended and when, and the place in the order of closing.
    pub end: Option<(End, u64, u64)>,
    has_answer: bool,
    was_moved: bool,
}

#[derive(Clone, Debug)]
struct Pin {
    workspace: Workspace,
    session: Session,
    version: Version,
    used_ms: u64,
}

#[derive(Clone, Debug)]
struct Order {
    fence: Fence,
    content: (String, Arc<str>),
    expires_ms: u64,
    is_finished: bool,
}

/// The model.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Meaning of every bundle text.
    pub plans: BTreeMap<Arc<str>, Plan>,
    /// Newest revision.
    pub revision: Revision,
    /// Records that are kept.
    pub records: Vec<Record>,
    limits: Limits,
    bundles: Vec<Bundle>,
    active: Option<BundleId>,
    roll_out: Option<RollOut>,
    withdrawals: Vec<Withdrawal>,
    writes: Vec<(Operation, Result<Revision, hickoryreel_base::error::Kind>, u64)>,
    lives: Vec<Life>,
    closings: u64,
    horizons: BTreeMap<Workspace, u64>,
    pins: Vec<Pin>,
    fence: Fence,
    lease: Option<(Controller, Fence, u64)>,
    orders: Vec<Order>,
}

impl Oracle {
    /// Predicts the answer to `command`.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let at_ms = command.at_ms;
        match &command.action {
            Action::Operate(operation) => {
                let result = self.operate(at_ms, operation);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Step(step) => {
                let result = self.step(at_ms, *step);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Pace(pace) => {
                let result = self.pace(*pace);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Records(changes) => {
                let answers = changes.iter().map(|change| self.record(at_ms, change)).collect();
                for change in changes {
                    self.prune_workspace(at_ms, &records::key(change).workspace);
                }
                Answer::Records(answers)
            }
            Action::Lapse(holder) => {
                let life = self.life(holder);
                life.newest = life.newest.max(holder.incarnation);
                life.lapsed = life.lapsed.max(Some(holder.incarnation));
                life.seen_ms = life.seen_ms.max(at_ms);
                self.prune_all(at_ms);
                Answer::Applied
            }
            Action::TakeFence { .. } => {
                self.fence += 1;
                self.prune_all(at_ms);
                Answer::Fence(self.fence)
            }
            Action::Order(change) => {
                let result = self.order(at_ms, change);
                self.prune_all(at_ms);
                Answer::Order(result)
            }
            Action::SetLimits(limits) => {
                self.limits = limits.clone();
                self.prune_all(at_ms);
                Answer::Applied
            }
        }
    }

    fn life(&mut self, holder: &Holder) -> &mut Life {
        let found = self.lives.iter().position(|life| life.entry == holder.entry);
        let found = found.unwrap_or_else(|| {
            let entry = holder.entry.clone();
            self.lives.push(Life { entry, newest: 0, lapsed: None, seen_ms: 0 });
            self.lives.len() - 1
        });
        &mut self.lives[found]
    }

    /// Whether the holder has lapsed.
    pub fn has_lapsed(&self, holder: &Holder) -> bool {
        let life = self.lives.iter().find(|life| life.entry == holder.entry);
        life.is_some_and(|life| life.lapsed >= Some(holder.incarnation))
    }

    /// The record of `key`.
    pub fn find(&self, key: &Key) -> Option<&Record> {
        self.records.iter().find(|record| record.open.key == *key)
    }

    /// Number of submitted bundles.
    pub fn bundle_count(&self) -> u64 {
        self.bundles.len() as u64
    }

    /// The bundle under roll-out and its step.
    pub fn running(&self) -> Option<(BundleId, u32)> {
        self.roll_out.as_ref().map(|running| (running.bundle, running.step))
    }

    /// Newest withdrawal of `version`.
    pub fn withdrawn_at(&self, version: &Version) -> Option<Revision> {
        self.withdrawal(version).map(|found| found.revision)
    }

    fn withdrawal(&self, version: &Version) -> Option<&Withdrawal> {
        self.withdrawals.iter().rev().find(|found| found.version == *version)
    }

    fn is_withdrawn(&self, version: &Version) -> bool {
        self.withdrawal(version).is_some_and(|found| !found.is_lifted)
    }

    fn plan(&self, bundle: BundleId) -> &Plan {
        &self.bundles[bundle as usize - 1].plan
    }

    fn plans_in_use(&self) -> Vec<&Plan> {
        let candidate = self.roll_out.as_ref().map(|running| running.bundle);
        self.active.into_iter().chain(candidate).map(|id| self.plan(id)).collect()
    }

    fn is_allowed(&self, workspace: &Workspace, target: &Target) -> bool {
        self.plans_in_use().into_iter().any(|plan| match target {
            Target::Version(version) => {
                plan.allowed.get(workspace).is_some_and(|allowed| allowed.contains(version))
            }
            Target::Service(service) => {
                plan.allowed.contains_key(workspace) && plan.service.as_ref() == Some(service)
            }
        })
    }

    fn prune_all(&mut self, at_ms: u64) {
        let workspaces: Vec<Workspace> =
            self.records.iter().map(|record| record.open.key.workspace.clone()).collect();
        let pinned = self.pins.iter().map(|pin| pin.workspace.clone());
        for workspace in workspaces.into_iter().chain(pinned.collect::<Vec<_>>()) {
            self.prune_workspace(at_ms, &workspace);
        }
        self.prune_writes(at_ms);
        self.prune_orders(at_ms);
        let before_ms = at_ms.saturating_sub(self.limits.record_age_ms);
        let records = &self.records;
        self.lives.retain(|life| {
            let holds = records
                .iter()
                .any(|record| record.end.is_none() && record.open.holder.entry == life.entry);
            life.lapsed < Some(life.newest) || life.seen_ms >= before_ms || holds
        });
    }
}

/// Request ids of the fuzzed callers are their number; each third request is run-once.
pub fn is_run_once(request: &Request) -> bool {
    request.parse::<u64>().is_ok_and(|id| id % 3 == 0)
}
