//! Checks the guarantees on the machine's own answers.
//!
//! The [`Checker`] records what the machine granted and what endpoints ran. It doesn't use the
//! oracle, so that it also detects mistakes that the machine and the oracle share.

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

/// One dispatch of a request: the request, its holder and the number of the dispatch.
type Dispatch = (Key, Holder, u64);

#[derive(Clone, Debug)]
struct Pin {
    version: Version,
    used_ms: u64,
}

/// Records what the machine granted and what endpoints ran, and checks the guarantees on it.
#[derive(Clone, Debug)]
pub struct Checker {
    /// Number of checks made.
    pub checks: u64,
    revision: Revision,
    withdrawn: BTreeMap<Version, Revision>,
    granted: BTreeSet<Dispatch>,
    billed: BTreeMap<Key, Dispatch>,
    started: BTreeSet<Dispatch>,
    run_once_starts: BTreeMap<Key, u32>,
    not_run: BTreeSet<Dispatch>,
    sessions: BTreeMap<(Workspace, Session), Pin>,
    /// Largest time of a command so far. Times can decrease, because the proposers' clocks differ.
    newest_ms: u64,
    /// Smallest limits on pins so far. Pins within them can't have been pruned.
    min_pins: usize,
    min_pin_age_ms: u64,
    newest_fence: Fence,
    orders: BTreeMap<Fence, Arc<str>>,
    /// Parsed bundles by their text; `None` for a text that is not a valid bundle.
    bundles: BTreeMap<Arc<str>, Option<Bundle>>,
}

impl Default for Checker {
    fn default() -> Self {
        Self {
            checks: 0,
            revision: 0,
            withdrawn: BTreeMap::new(),
            granted: BTreeSet::new(),
            billed: BTreeMap::new(),
            started: BTreeSet::new(),
            run_once_starts: BTreeMap::new(),
            not_run: BTreeSet::new(),
            sessions: BTreeMap::new(),
            newest_ms: 0,
            min_pins: usize::MAX,
            min_pin_age_ms: u64::MAX,
            newest_fence: 0,
            orders: BTreeMap::new(),
            bundles: BTreeMap::new(),
        }
    }
}

impl Checker {
    /// Counts the check and panics with `guarantee` and `detail` unless `holds`.
    pub fn check(&mut self, holds: bool, guarantee: &str, detail: &dyn std::fmt::Debug) {
        self.checks += 1;
        assert!(holds, "{guarantee}: {detail:?}");
    }

    /// Checks the result of an applied command; `before` is the configuration before the command.
    pub fn check_command(
        &mut self,
        before: &Config,
        command: &Command,
        outcome: &Outcome,
        after: &Machine,
    ) {
        self.newest_ms = self.newest_ms.max(command.at_ms);
        let revision = after.config().revision;
        let increments = revision.wrapping_sub(self.revision);
        self.check(increments <= 1, "a command increases the revision by at most one", command);
        if let (Action::Operate(operation), Outcome::Operation(Ok(_))) = (&command.action, outcome)
        {
            self.check_operation(operation, increments == 1, revision);
        }
        self.revision = revision;
        match (&command.action, outcome) {
            (Action::Records(changes), Outcome::Records(outcomes)) => {
                for (change, outcome) in changes.iter().zip(outcomes) {
                    self.check_record_change(before, command.at_ms, change, outcome, after);
                }
            }
            (Action::TakeFence { .. }, Outcome::Fence(fence)) => self.check_fence(*fence),
            (Action::SetLimits(limits), _) => {
                self.min_pins = self.min_pins.min(limits.pins as usize);
                self.min_pin_age_ms = self.min_pin_age_ms.min(limits.pin_age_ms);
            }
            (Action::Order(change), Outcome::Order(Ok(accepted))) => {
                self.check_order(change, accepted);
            }
            _ => {}
        }
        self.check_state(after);
    }

    fn check_operation(&mut self, operation: &Operation, is_new: bool, revision: Revision) {
        if !is_new {
            return;
        }
        let has_base = operation.based_on == self.revision || *operation.operator == *SYSTEM;
        self.check(has_base, "an accepted write is based on the newest revision", operation);
        if let Change::Withdraw { version, .. } = &operation.change {
            self.withdrawn.insert(version.clone(), revision);
        }
    }

    fn check_record_change(
        &mut self,
        config: &Config,
        at_ms: u64,
        change: &RecordChange,
        outcome: &record::Outcome,
        after: &Machine,
    ) {
        use record::Outcome as RecordOutcome;
        match (change, outcome) {
            (
                RecordChange::Open(open),
                RecordOutcome::Opened | RecordOutcome::Moved | RecordOutcome::Repeat,
            ) => {
                let dispatch = (open.key.clone(), open.holder.clone(), open.attempt);
                let grant = (&open.target, open.revision, open.session.as_ref());
                self.check_grant(config, at_ms, dispatch, grant);
            }
            (RecordChange::Move(change), RecordOutcome::Opened | RecordOutcome::Moved) => {
                let dispatch = (change.key.clone(), change.holder.clone(), change.attempt);
                let grant = (&change.target, change.revision, change.session.as_ref());
                self.check_grant(config, at_ms, dispatch, grant);
            }
            (RecordChange::Close(close), RecordOutcome::Closed) => {
                let dispatch = (close.key.clone(), close.holder.clone(), close.attempt);
                self.check_end(dispatch, close.end);
            }
            (RecordChange::Settle(settle), RecordOutcome::Closed) => {
                let dispatch = (settle.key.clone(), settle.holder.clone(), settle.attempt);
                let stored = after.record_of(&settle.key).filter(|record| {
                    record.holder == settle.holder && record.attempt == settle.attempt
                });
                let end = stored.and_then(|record| record.end);
                self.check_end(dispatch, end.unwrap_or_else(|| implied_end(&settle.finding)));
            }
            _ => {}
        }
    }

    /// Checks a granted dispatch. A repeated grant of the same dispatch is not checked again: its
    /// version may have been withdrawn in the meantime, and the entry checks its own configuration
    /// once more when it dispatches.
    fn check_grant(
        &mut self,
        config: &Config,
        at_ms: u64,
        dispatch: Dispatch,
        (target, routing_revision, session): (&Target, Revision, Option<&Session>),
    ) {
        let workspace = dispatch.0.workspace.clone();
        if self.granted.insert(dispatch) {
            self.check_target(config, &workspace, target, routing_revision);
            self.check_session(config, at_ms, &workspace, session, target);
        }
    }

    fn check_target(
        &mut self,
        config: &Config,
        workspace: &Workspace,
        target: &Target,
        routing_revision: Revision,
    ) {
        let is_allowed = self.is_allowed(config, workspace, target);
        self.check(is_allowed, "no record is opened on a target that is not allowed", target);
        if let Target::Version(version) = target {
            let is_withdrawn = config.withdrawn.contains(version);
            self.check(!is_withdrawn, "no record is opened on a withdrawn version", version);
            let is_stale =
                self.withdrawn.get(version).is_some_and(|found| routing_revision < *found);
            self.check(
                !is_stale,
                "no record is opened under a revision older than a withdrawal of its version",
                version,
            );
        }
    }

    fn is_allowed(&mut self, config: &Config, workspace: &Workspace, target: &Target) -> bool {
        let candidate = config.candidate.as_ref().map(|candidate| &candidate.published);
        config.active.iter().chain(candidate).any(|published| {
            let parsed = self.bundles.entry(Arc::clone(&published.text));
            let bundle = parsed.or_insert_with(|| bundle::parse("", &published.text).ok());
            let workspace_config =
                bundle.as_ref().and_then(|bundle| bundle.workspaces.get(workspace));
            workspace_config.is_some_and(|workspace_config| match target {
                Target::Version(version) => workspace_config.allows(version),
                Target::Service(service) => workspace_config.services.contains(service),
            })
        })
    }

    /// Checks that a session leaves its version only if the version is withdrawn or no longer
    /// allowed, or if the pin may have been pruned because of its age or the number of pins.
    fn check_session(
        &mut self,
        config: &Config,
        at_ms: u64,
        workspace: &Workspace,
        session: Option<&Session>,
        target: &Target,
    ) {
        let (Some(session), Target::Version(version)) = (session, target) else { return };
        let id = (workspace.clone(), session.clone());
        let pinned_sessions = self.sessions.iter().filter(|(other, _)| other.0 == *workspace);
        let exceeds_pin_limit = pinned_sessions.count() > self.min_pins;
        if let Some(pin) = self.sessions.get(&id).cloned()
            && pin.version != *version
        {
            let pinned = Target::Version(pin.version.clone());
            let may_leave = config.withdrawn.contains(&pin.version)
                || !self.is_allowed(config, workspace, &pinned)
                || self.newest_ms > pin.used_ms.saturating_add(self.min_pin_age_ms)
                || exceeds_pin_limit;
            self.check(may_leave, "a session keeps its version", &(id.clone(), version, pin));
        }
        self.sessions.insert(id, Pin { version: version.clone(), used_ms: at_ms });
    }

    fn check_end(&mut self, dispatch: Dispatch, end: End) {
        match end {
            End::Answered(_) => {
                let first = self.billed.get(&dispatch.0).cloned();
                let is_same_dispatch = first.is_none_or(|first| first == dispatch);
                self.check(is_same_dispatch, "a request is billed once", &dispatch);
                self.billed.insert(dispatch.0.clone(), dispatch);
            }
            End::NotRun => {
                let ran = self.started.contains(&dispatch);
                self.check(!ran, "a dispatch that ended as not run has no run", &dispatch);
                self.not_run.insert(dispatch);
            }
            End::Unknown => {}
        }
    }

    /// Checks the start of a run at an endpoint.
    pub fn check_start(&mut self, start: &Start) {
        let dispatch = (start.key.clone(), start.holder.clone(), start.attempt);
        let is_closed_as_not_run = self.not_run.contains(&dispatch);
        self.check(!is_closed_as_not_run, "a dispatch that ended as not run has no run", start);
        self.started.insert(dispatch);
        if start.run_once {
            let runs = self.run_once_starts.entry(start.key.clone()).or_default();
            *runs += 1;
            let runs = *runs;
            self.check(runs <= 1, "a run-once request runs at most once", start);
        }
    }

    fn check_fence(&mut self, fence: Fence) {
        self.check(fence > self.newest_fence, "fencing tokens increase", &fence);
        self.newest_fence = fence;
    }

    fn check_order(&mut self, change: &order::Change, accepted: &order::Accepted) {
        match (change, accepted) {
            (order::Change::Lease { .. }, order::Accepted::Lease(lease)) => {
                if lease.fence > self.newest_fence {
                    self.check_fence(lease.fence);
                }
                let is_used = self.orders.contains_key(&lease.fence);
                self.check(!is_used, "a fencing token is used only once", lease);
            }
            (order::Change::Send { body, .. }, order::Accepted::Order(fence)) => {
                let is_known = self.orders.get(fence).is_some_and(|known| known == body);
                if !is_known {
                    self.check_fence(*fence);
                }
                self.orders.insert(*fence, Arc::clone(body));
            }
            _ => {}
        }
    }

    fn check_state(&mut self, machine: &Machine) {
        let billed: u64 = machine.totals().values().map(|totals| totals.billed).sum();
        let is_equal = billed == self.billed.len() as u64;
        self.check(is_equal, "the totals count each billed request once", &billed);
        let bills = machine.bills();
        let are_known = bills.iter().all(|bill| self.billed.contains_key(&bill.key));
        self.check(are_known, "every bill belongs to an answered request", &bills.len());
        let active = machine.config().active.as_ref();
        let submission = active.and_then(|active| machine.submissions().get(&active.bundle));
        let is_signed_off = submission.is_none_or(|submission| {
            let other = submission.signed_off_by.as_ref();
            submission.revert_of.is_some()
                || other.is_some_and(|other| *other != submission.submitted_by)
        });
        self.check(is_signed_off, "a bundle in force was signed off by another operator", &active);
    }
}

/// The end that a settle implies. It is used when the settled record has already been pruned.
fn implied_end(finding: &Finding) -> End {
    match finding {
        Finding::Finished { usage, .. } => End::Answered(*usage),
        Finding::NeverStarted { may_start: false } => End::NotRun,
        _ => End::Unknown,
    }
}
