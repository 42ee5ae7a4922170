//! The guarantees, checked on the machine's own answers.
//!
//! The ledger remembers what the machine granted and what endpoints ran. It doesn't use the
//! oracle, so a mistake that machine and oracle share is still seen.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::config::Config;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::order;
use hickoryreel_state::order::Fence;
use hickoryreel_state::record;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Target;

use crate::world::Start;

/// One dispatch of a request.
type Dispatch = (Key, Holder, u64);

#[derive(Clone, Debug)]
struct Pin {
    version: Version,
    used_ms: u64,
}

/// What the machine granted and what endpoints ran.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Checks made.
    pub checks: u64,
    revision: Revision,
    withdrawn: BTreeMap<Version, Revision>,
    granted: BTreeSet<Dispatch>,
    billed: BTreeMap<Key, Dispatch>,
    started: BTreeSet<Dispatch>,
    run_once: BTreeMap<Key, u32>,
    not_run: BTreeSet<Dispatch>,
    sessions: BTreeMap<(Workspace, Session), Pin>,
    /// Newest time of a command; the proposers' clocks differ.
    newest_ms: u64,
    narrowest_pins: usize,
    narrowest_pin_age_ms: u64,
    newest_fence: Fence,
    orders: BTreeMap<Fence, Arc<str>>,
    parsed: BTreeMap<Arc<str>, Option<Bundle>>,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            checks: 0,
            revision: 0,
            withdrawn: BTreeMap::new(),
            granted: BTreeSet::new(),
            billed: BTreeMap::new(),
            started: BTreeSet::new(),
            run_once: BTreeMap::new(),
            not_run: BTreeSet::new(),
            sessions: BTreeMap::new(),
            newest_ms: 0,
            narrowest_pins: usize::MAX,
            narrowest_pin_age_ms: u64::MAX,
            newest_fence: 0,
            orders: BTreeMap::new(),
            parsed: BTreeMap::new(),
        }
    }
}

impl Ledger {
    /// Panics with `guarantee` and `detail` unless `holds`.
    pub fn check(&mut self, holds: bool, guarantee: &str, detail: &dyn std::fmt::Debug) {
        self.checks += 1;
        assert!(holds, "{guarantee}: {detail:?}");
    }

    /// Checks what an applied command led to; `before` is the configuration it met.
    pub fn note(&mut self, before: &Config, command: &Command, outcome: &Outcome, after: &Machine) {
        self.newest_ms = self.newest_ms.max(command.at_ms);
        let revision = after.config().revision;
        let steps = revision.wrapping_sub(self.revision);
        self.check(steps <= 1, "the revision grows by one change at a time", command);
        if let (Action::Operate(operation), Outcome::Operation(Ok(_))) = (&command.action, outcome)
        {
            self.note_operation(operation, steps == 1, revision);
        }
        self.revision = revision;
        match (&command.action, outcome) {
            (Action::Records(changes), Outcome::Records(outcomes)) => {
                for (change, outcome) in changes.iter().zip(outcomes) {
                    self.note_record(before, command.at_ms, change, outcome, after);
                }
            }
            (Action::TakeFence { .. }, Outcome::Fence(fence)) => self.note_fence(*fence),
            (Action::SetLimits(limits), _) => {
                self.narrowest_pins = self.narrowest_pins.min(limits.pins as usize);
                self.narrowest_pin_age_ms = self.narrowest_pin_age_ms.min(limits.pin_age_ms);
            }
            (Action::Order(change), Outcome::Order(Ok(accepted))) => {
                self.note_order(change, accepted);
            }
            _ => {}
        }
        self.check_state(after);
    }

    fn note_operation(&mut self, operation: &Operation, is_new: bool, revision: Revision) {
        if !is_new {
            return;
        }
        let has_base = operation.based_on == self.revision || *operation.operator == *SYSTEM;
        self.check(has_base, "an accepted write is based on the newest revision", operation);
        if let Change::Withdraw { version, .. } = &operation.change {
            self.withdrawn.insert(version.clone(), revision);
        }
    }

    fn note_record(
        &mut self,
        config: &Config,
        at_ms: u64,
        change: &RecordChange,
        outcome: &record::Outcome,
        after: &Machine,
    ) {
        use record::Outcome as Is;
        match (change, outcome) {
            (RecordChange::Open(open), Is::Opened | Is::Moved | Is::Repeat) => {
                let dispatch = (open.key.clone(), open.holder.clone(), open.attempt);
                let wanted = (&open.target, open.revision, open.session.as_ref());
                self.note_grant(config, at_ms, dispatch, wanted);
            }
            (RecordChange::Move(change), Is::Opened | Is::Moved) => {
                let dispatch = (change.key.clone(), change.holder.clone(), change.attempt);
                let wanted = (&change.target, change.revision, change.session.as_ref());
                self.note_grant(config, at_ms, dispatch, wanted);
            }
            (RecordChange::Close(close), Is::Closed) => {
                let dispatch = (close.key.clone(), close.holder.clone(), close.attempt);
                self.note_end(dispatch, close.end);
            }
            (RecordChange::Settle(settle), Is::Closed) => {
                let dispatch = (settle.key.clone(), settle.holder.clone(), settle.attempt);
                let kept = after.record_of(&settle.key).filter(|record| {
                    record.holder == settle.holder && record.attempt == settle.attempt
                });
                let end = kept.and_then(|record| record.end);
                self.note_end(dispatch, end.unwrap_or_else(|| implied(&settle.finding)));
            }
            _ => {}
        }
    }

    /// Checks a granted dispatch. A grant that is asked for again is the same grant: the entry
    /// compares the version with its own configuration once more when it dispatches.
    fn note_grant(
        &mut self,
        config: &Config,
        at_ms: u64,
        dispatch: Dispatch,
        (target, routed, session): (&Target, Revision, Option<&Session>),
    ) {
        let workspace = dispatch.0.workspace.clone();
        if self.granted.insert(dispatch) {
            self.check_target(config, &workspace, target, routed);
            self.note_session(config, at_ms, &workspace, session, target);
        }
    }

    fn check_target(
        &mut self,
        config: &Config,
        workspace: &Workspace,
        target: &Target,
        routed: Revision,
    ) {
        let is_allowed = self.is_allowed(config, workspace, target);
        self.check(is_allowed, "no record is opened on a target that is not allowed", target);
        if let Target::Version(version) = target {
            let is_withdrawn = config.withdrawn.contains(version);
            self.check(!is_withdrawn, "no record is opened on a withdrawn version", version);
            let is_stale = self.withdrawn.get(version).is_some_and(|found| routed < *found);
            self.check(!is_stale, "no record is opened by an entry behind a withdrawal", version);
        }
    }

    fn is_allowed(&mut self, config: &Config, workspace: &Workspace, target: &Target) -> bool {
        let candidate = config.candidate.as_ref().map(|candidate| &candidate.published);
        config.active.iter().chain(candidate).any(|published| {
            let parsed = self.parsed.entry(Arc::clone(&published.text));
            let bundle = parsed.or_insert_with(|| bundle::parse("", &published.text).ok());
            let terms = bundle.as_ref().and_then(|bundle| bundle.workspaces.get(workspace));
            terms.is_some_and(|terms| match target {
                Target::Version(version) => terms.allows(version),
                Target::Service(service) => terms.services.contains(service),
            })
        })
    }

    /// A session may leave its version when that is withdrawn or no longer allowed, or when its
    /// pin was dropped by age or count.
    fn note_session(
        &mut self,
        config: &Config,
        at_ms: u64,
        workspace: &Workspace,
        session: Option<&Session>,
        target: &Target,
    ) {
        let (Some(session), Target::Version(version)) = (session, target) else { return };
        let id = (workspace.clone(), session.clone());
        let others = self.sessions.iter().filter(|(other, _)| other.0 == *workspace);
        let is_crowded = others.count() > self.narrowest_pins;
        if let Some(last) = self.sessions.get(&id).cloned()
            && last.version != *version
        {
            let left = Target::Version(last.version.clone());
            let may_leave = config.withdrawn.contains(&last.version)
                || !self.is_allowed(config, workspace, &left)
                || self.newest_ms > last.used_ms.saturating_add(self.narrowest_pin_age_ms)
                || is_crowded;
            self.check(may_leave, "a session keeps its version", &(id.clone(), version, last));
        }
        self.sessions.insert(id, Pin { version: version.clone(), used_ms: at_ms });
    }

    fn note_end(&mut self, dispatch: Dispatch, end: End) {
        match end {
            End::Answered(_) => {
                let first = self.billed.get(&dispatch.0).cloned();
                let is_only = first.is_none_or(|first| first == dispatch);
                self.check(is_only, "a request is billed once", &dispatch);
                self.billed.insert(dispatch.0.clone(), dispatch);
            }
            End::NotRun => {
                let ran = self.started.contains(&dispatch);
                self.check(!ran, "a request that ended as not run has no run", &dispatch);
                self.not_run.insert(dispatch);
            }
            End::Unknown => {}
        }
    }

    /// Checks a run that an endpoint started.
    pub fn note_start(&mut self, start: &Start) {
        let dispatch = (start.key.clone(), start.holder.clone(), start.attempt);
        let is_false = self.not_run.contains(&dispatch);
        self.check(!is_false, "a request that ended as not run has no run", start);
        self.started.insert(dispatch);
        if start.run_once {
            let runs = self.run_once.entry(start.key.clone()).or_default();
            *runs += 1;
            let runs = *runs;
            self.check(runs <= 1, "a run-once request runs at most once", start);
        }
    }

    fn note_fence(&mut self, fence: Fence) {
        self.check(fence > self.newest_fence, "fencing numbers grow", &fence);
        self.newest_fence = fence;
    }

    fn note_order(&mut self, change: &order::Change, accepted: &order::Accepted) {
        match (change, accepted) {
            (order::Change::Lease { .. }, order::Accepted::Lease(lease)) => {
                if lease.fence > self.newest_fence {
                    self.note_fence(lease.fence);
                }
                let is_order = self.orders.contains_key(&lease.fence);
                self.check(!is_order, "no two uses of one fencing number", lease);
            }
            (order::Change::Send { body, .. }, order::Accepted::Order(fence)) => {
                let same = self.orders.get(fence).is_some_and(|known| known == body);
                if !same {
                    self.note_fence(*fence);
                }
                self.orders.insert(*fence, Arc::clone(body));
            }
            _ => {}
        }
    }

    fn check_state(&mut self, machine: &Machine) {
        let billed: u64 = machine.totals().values().map(|totals| totals.billed).sum();
        let is_exact = billed == self.billed.len() as u64;
        self.check(is_exact, "the totals count each billed request once", &billed);
        let bills = machine.bills();
        let are_known = bills.iter().all(|bill| self.billed.contains_key(&bill.key));
        self.check(are_known, "every bill belongs to an answered request", &bills.len());
        let active = machine.config().active.as_ref();
        let submission = active.and_then(|active| machine.submissions().get(&active.bundle));
        let is_signed = submission.is_none_or(|submission| {
            let other = submission.signed_off_by.as_ref();
            submission.revert_of.is_some()
                || other.is_some_and(|other| *other != submission.submitted_by)
        });
        self.check(is_signed, "a bundle in force was signed off by another operator", &active);
    }
}

/// How a record ends by a finding, when the record is no longer kept.
fn implied(finding: &Finding) -> End {
    match finding {
        Finding::Finished { usage, .. } => End::Answered(*usage),
        Finding::NeverStarted { may_start: false } => End::NotRun,
        _ => End::Unknown,
    }
}
