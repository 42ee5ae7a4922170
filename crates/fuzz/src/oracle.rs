//! Simple model of the control state machine, which predicts the answer to each command.
//!
//! It keeps plain lists and searches them linearly. It shares the command types with the machine,
//! but no code: for example, it looks bundles up by their text instead of parsing them.

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

/// Content of a bundle.
#[derive(Clone, Debug, Default)]
pub struct BundleContent {
    /// Versions that each workspace may use.
    pub allowed: BTreeMap<Workspace, Vec<Version>>,
    /// All versions of the bundle.
    pub versions: Vec<Version>,
    /// The service that every workspace may use.
    pub service: Option<Service>,
    /// Withdrawals that the bundle lifts, each with the revision that made it.
    pub restores: Vec<(Version, Revision)>,
    /// Share of traffic of each roll-out step, in percent.
    pub steps: Vec<u8>,
    /// Minimum time in a step, in milliseconds.
    pub step_ms: u64,
}

#[derive(Clone, Debug)]
struct Bundle {
    content: BundleContent,
    submitted_by: String,
    is_signed_off: bool,
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
struct Incarnations {
    entry: Entry,
    newest: u64,
    /// This incarnation and all earlier ones have lapsed.
    lapsed: Option<u64>,
    /// Time of the newest command about this entry, in milliseconds since the Unix epoch.
    seen_ms: u64,
}

/// A request record with its newest dispatch.
#[derive(Clone, Debug)]
pub struct Record {
    /// The last open of the record, updated by later moves.
    pub open: Open,
    /// Whether any open marked the request as run-once. Entries that route by different bundles can
    /// disagree on that.
    pub run_once: bool,
    /// How the record ended, at which time in milliseconds since the Unix epoch, and its number in
    /// the order in which records were closed; `None` while it is open.
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

/// State of the model.
#[derive(Clone, Debug, Default)]
pub struct Oracle {
    /// Content of every bundle text, registered before the text is submitted.
    pub contents: BTreeMap<Arc<str>, BundleContent>,
    pub revision: Revision,
    /// Records that have not been pruned.
    pub records: Vec<Record>,
    limits: Limits,
    bundles: Vec<Bundle>,
    active: Option<BundleId>,
    roll_out: Option<RollOut>,
    withdrawals: Vec<Withdrawal>,
    /// Operator writes with their answer and time, kept to answer resends.
    writes: Vec<(Operation, Result<Revision, hickoryreel_base::error::Kind>, u64)>,
    incarnations: Vec<Incarnations>,
    closed_count: u64,
    /// Newest request time of the pruned records of each workspace. New requests that aren't newer
    /// are refused, because they may have run before.
    horizons: BTreeMap<Workspace, u64>,
    pins: Vec<Pin>,
    fence: Fence,
    /// Holder, fencing token and expiry of the order lease.
    lease: Option<(Controller, Fence, u64)>,
    orders: Vec<Order>,
}

impl Oracle {
    /// Predicts the answer to `command`.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let at_ms = command.at_ms;
        match &command.action {
            Action::Operate(operation) => {
                let result = self.apply_operation(at_ms, operation);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Step(step) => {
                let result = self.apply_step(at_ms, *step);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Pace(pace) => {
                let result = self.apply_pace(*pace);
                self.prune_all(at_ms);
                Answer::Operation(result)
            }
            Action::Records(changes) => {
                let answers =
                    changes.iter().map(|change| self.apply_record_change(at_ms, change)).collect();
                for change in changes {
                    self.prune_workspace(at_ms, &records::record_key(change).workspace);
                }
                Answer::Records(answers)
            }
            Action::Lapse(holder) => {
                let known = self.incarnations_mut(holder);
                known.newest = known.newest.max(holder.incarnation);
                known.lapsed = known.lapsed.max(Some(holder.incarnation));
                known.seen_ms = known.seen_ms.max(at_ms);
                self.prune_all(at_ms);
                Answer::Applied
            }
            Action::TakeFence { .. } => {
                self.fence += 1;
                self.prune_all(at_ms);
                Answer::Fence(self.fence)
            }
            Action::Order(change) => {
                let result = self.apply_order_change(at_ms, change);
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

    fn incarnations_mut(&mut self, holder: &Holder) -> &mut Incarnations {
        let index = self.incarnations.iter().position(|known| known.entry == holder.entry);
        let index = index.unwrap_or_else(|| {
            let entry = holder.entry.clone();
            self.incarnations.push(Incarnations { entry, newest: 0, lapsed: None, seen_ms: 0 });
            self.incarnations.len() - 1
        });
        &mut self.incarnations[index]
    }

    /// Whether the incarnation of `holder` or a later one of its entry has lapsed.
    pub fn has_lapsed(&self, holder: &Holder) -> bool {
        let known = self.incarnations.iter().find(|known| known.entry == holder.entry);
        known.is_some_and(|known| known.lapsed >= Some(holder.incarnation))
    }

    pub fn find(&self, key: &Key) -> Option<&Record> {
        self.records.iter().find(|record| record.open.key == *key)
    }

    pub fn bundle_count(&self) -> u64 {
        self.bundles.len() as u64
    }

    /// The bundle that is being rolled out, and its current step.
    pub fn running_roll_out(&self) -> Option<(BundleId, u32)> {
        self.roll_out.as_ref().map(|running| (running.bundle, running.step))
    }

    /// Revision of the newest withdrawal of `version`, including one that was lifted.
    pub fn withdrawn_at(&self, version: &Version) -> Option<Revision> {
        self.withdrawal(version).map(|found| found.revision)
    }

    fn withdrawal(&self, version: &Version) -> Option<&Withdrawal> {
        self.withdrawals.iter().rev().find(|found| found.version == *version)
    }

    fn is_withdrawn(&self, version: &Version) -> bool {
        self.withdrawal(version).is_some_and(|found| !found.is_lifted)
    }

    fn content(&self, bundle: BundleId) -> &BundleContent {
        &self.bundles[bundle as usize - 1].content
    }

    fn contents_in_use(&self) -> Vec<&BundleContent> {
        let candidate = self.roll_out.as_ref().map(|running| running.bundle);
        self.active.into_iter().chain(candidate).map(|id| self.content(id)).collect()
    }

    fn is_allowed(&self, workspace: &Workspace, target: &Target) -> bool {
        self.contents_in_use().into_iter().any(|content| match target {
            Target::Version(version) => {
                content.allowed.get(workspace).is_some_and(|allowed| allowed.contains(version))
            }
            Target::Service(service) => {
                content.allowed.contains_key(workspace) && content.service.as_ref() == Some(service)
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
        self.incarnations.retain(|known| {
            let has_open_record = records
                .iter()
                .any(|record| record.end.is_none() && record.open.holder.entry == known.entry);
            known.lapsed < Some(known.newest) || known.seen_ms >= before_ms || has_open_record
        });
    }
}

/// Whether a request is run-once: the fuzzed callers use numbers as request ids, and every third
/// request is run-once.
pub fn is_run_once(request: &Request) -> bool {
    request.parse::<u64>().is_ok_and(|id| id % 3 == 0)
}
