//! Operator writes: deduplication by request id, the check of the base revision, submissions,
//! sign-offs, reverts and withdrawals. Roll-outs are in `roll_out`.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::bundle::Bundle;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::command::BundleId;
use crate::command::Change;
use crate::command::Operation;
use crate::command::SYSTEM;
use crate::config::PublishedBundle;
use crate::limits::Limits;
use crate::machine::Accepted;
use crate::machine::Machine;
use crate::machine::Stage;
use crate::machine::Submission;
use crate::machine::Withdrawal;
use crate::roll_out::bundle_not_found;
use crate::roll_out::wrong_state;

/// Longer error messages are truncated, because answers are kept for resends.
const MAX_MESSAGE_BYTES: usize = 4096;

/// The answer to an operator write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Answer {
    at_ms: u64,
    /// Hash of the write, to detect a request id that is reused for another write.
    digest: u64,
    result: error::Result<Accepted>,
}

/// Answers to operator writes, kept so that a resend gets the first answer again.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answers {
    by_id: BTreeMap<(Operator, Request), Answer>,
    /// Ids in the order of their answers, oldest first.
    order: VecDeque<(Operator, Request)>,
}

impl Answers {
    fn insert(&mut self, id: (Operator, Request), answer: Answer) {
        self.order.push_back(id.clone());
        self.by_id.insert(id, answer);
    }

    /// Drops answers beyond the limits, oldest first. A write that is resent after its answer was
    /// dropped is refused as stale, unless it changed nothing the first time.
    pub(crate) fn prune(&mut self, limits: &Limits, at_ms: u64) {
        let before_ms = at_ms.saturating_sub(limits.answer_age_ms);
        while let Some(first) = self.order.front() {
            let is_recent = self.by_id.get(first).is_some_and(|answer| answer.at_ms >= before_ms);
            if is_recent && self.order.len() <= limits.answers as usize {
                return;
            }
            if let Some(first) = self.order.pop_front() {
                self.by_id.remove(&first);
            }
        }
    }
}

impl Machine {
    pub(crate) fn apply_operation(
        &mut self,
        at_ms: u64,
        operation: &Operation,
    ) -> error::Result<Accepted> {
        let digest = digest(operation);
        let id = (operation.operator.clone(), operation.request.clone());
        if let Some(first) = self.contents.answers.by_id.get(&id) {
            if first.digest != digest {
                let message = format!("request id {} was used for another write", id.1);
                return Err(Error::new(Kind::RequestIdReused, message));
            }
            return first.result.clone();
        }
        let result = self.apply_change(at_ms, operation).map_err(truncate_message);
        self.contents.answers.insert(id, Answer { at_ms, digest, result: result.clone() });
        result
    }

    fn apply_change(&mut self, at_ms: u64, operation: &Operation) -> error::Result<Accepted> {
        self.check_base_revision(operation)?;
        let operator = &operation.operator;
        let bundle = match &operation.change {
            Change::Submit { text } => self.submit(operator, text)?,
            Change::SignOff { bundle } => self.sign_off(operator, *bundle)?,
            Change::RollOut { bundle } => self.start_roll_out(at_ms, *bundle)?,
            Change::Advance { bundle, percent } => self.advance(at_ms, *bundle, *percent)?,
            Change::Pause { bundle } => self.pause_or_resume(*bundle, true)?,
            Change::Resume { bundle } => self.pause_or_resume(*bundle, false)?,
            Change::Revert { bundle } => self.revert(operator, *bundle)?,
            Change::Withdraw { version, .. }
                if self.contents.config.withdrawn.contains(version) =>
            {
                // The version is already withdrawn, so the revision stays.
                return Ok(Accepted { revision: self.contents.config.revision, bundle: None });
            }
            Change::Withdraw { version, reason } => {
                self.withdraw(at_ms, operator, version, reason)?
            }
        };
        self.contents.config.revision += 1;
        Ok(Accepted { revision: self.contents.config.revision, bundle })
    }

    /// Refuses a write that isn't based on the newest revision, so that only one of two concurrent
    /// writes is accepted. Withdrawals by [`SYSTEM`] are exempt: taking a faulty version out of
    /// service must not fail because of a concurrent write.
    fn check_base_revision(&self, operation: &Operation) -> error::Result<()> {
        if *operation.operator == *SYSTEM {
            if matches!(operation.change, Change::Withdraw { .. }) {
                return Ok(());
            }
            let message = format!("operator {SYSTEM} only withdraws versions");
            return Err(Error::new(Kind::NotAllowed, message));
        }
        let newest = self.contents.config.revision;
        if operation.based_on != newest {
            let message =
                format!("based on revision {}, the newest is {newest}", operation.based_on);
            return Err(Error::new(Kind::StaleRevision, message));
        }
        Ok(())
    }

    fn submit(&mut self, operator: &Operator, text: &Arc<str>) -> error::Result<Option<BundleId>> {
        let bundle = bundle::parse("bundle", text).map_err(|mistakes| {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            Error::new(Kind::InvalidBundle, lines.join("\n"))
        })?;
        self.check_restores(&bundle)?;
        Ok(Some(self.add_submission(Submission {
            text: Arc::clone(text),
            submitted_by: operator.clone(),
            signed_off_by: None,
            stage: Stage::Submitted,
            revert_of: None,
            activated: None,
        })))
    }

    /// Refuses a bundle whose `restores` names any other than the newest withdrawal of the version.
    fn check_restores(&self, bundle: &Bundle) -> error::Result<()> {
        for (version, version_config) in &bundle.versions {
            let Some(named_revision) = version_config.restores else { continue };
            let newest =
                self.contents.withdrawals.get(version).map(|withdrawal| withdrawal.revision);
            if newest != Some(named_revision) {
                let found = newest.map_or_else(
                    || "it was never withdrawn".to_owned(),
                    |newest| format!("its newest withdrawal is revision {newest}"),
                );
                let message =
                    format!("version {version} has restores = {named_revision}, but {found}");
                return Err(Error::new(Kind::InvalidBundle, message));
            }
        }
        Ok(())
    }

    fn add_submission(&mut self, submission: Submission) -> BundleId {
        self.contents.newest_bundle += 1;
        self.contents.submissions.insert(self.contents.newest_bundle, submission);
        self.contents.newest_bundle
    }

    fn sign_off(&mut self, operator: &Operator, id: BundleId) -> error::Result<Option<BundleId>> {
        let submission = self.submission(id, Stage::Submitted)?;
        if submission.submitted_by == *operator {
            let message =
                format!("operator {operator} submitted bundle {id}; another signs it off");
            return Err(wrong_state(message));
        }
        submission.signed_off_by = Some(operator.clone());
        submission.stage = Stage::SignedOff;
        Ok(Some(id))
    }

    /// Puts the content of an earlier bundle into force at once. It needs neither a second operator
    /// nor steps, because the content was signed off and in force before. Withdrawn versions stay
    /// withdrawn.
    fn revert(&mut self, operator: &Operator, id: BundleId) -> error::Result<Option<BundleId>> {
        let reverted = self.contents.submissions.get(&id).ok_or_else(|| bundle_not_found(id))?;
        if reverted.activated.is_none() {
            return Err(wrong_state(format!("bundle {id} was never in force")));
        }
        let text = Arc::clone(&reverted.text);
        let submission = Submission {
            text: Arc::clone(&text),
            submitted_by: operator.clone(),
            signed_off_by: reverted.signed_off_by.clone(),
            stage: Stage::SignedOff,
            revert_of: Some(id),
            activated: None,
        };
        self.cancel_roll_out();
        let bundle = self.add_submission(submission);
        self.activate(PublishedBundle { bundle, text });
        Ok(Some(bundle))
    }

    fn withdraw(
        &mut self,
        at_ms: u64,
        by: &Operator,
        version: &Version,
        reason: &Arc<str>,
    ) -> error::Result<Option<BundleId>> {
        if !self.is_in_kept_bundle(version) {
            let message = format!("no kept bundle has a version {version}");
            return Err(Error::new(Kind::NotFound, message));
        }
        let withdrawal = Withdrawal {
            revision: self.contents.config.revision + 1,
            at_ms,
            by: by.clone(),
            reason: Arc::clone(reason),
            lifted: None,
        };
        self.contents.withdrawals.insert(version.clone(), withdrawal);
        self.contents.config.withdrawn.insert(version.clone());
        if self.is_rolling_out(version) {
            self.set_paused(true);
        }
        Ok(None)
    }

    /// Whether any kept bundle defines `version`. Withdrawing a mistyped name must fail instead of
    /// appearing to succeed.
    fn is_in_kept_bundle(&self, version: &Version) -> bool {
        let defines_version = |bundle: &Bundle| bundle.versions.contains_key(version);
        let in_use = self.parsed.active().is_some_and(defines_version)
            || self.parsed.candidate().is_some_and(defines_version);
        in_use
            || self.contents.submissions.values().any(|submission| {
                bundle::parse("bundle", &submission.text)
                    .is_ok_and(|bundle| defines_version(&bundle))
            })
    }
}

/// Hash of the requested change and its base revision.
fn digest(operation: &Operation) -> u64 {
    let bytes = postcard::to_stdvec(&(operation.based_on, &operation.change))
        .expect("a change has no sequence of unknown length");
    xxhash_rust::xxh3::xxh3_64(&bytes)
}

fn truncate_message(mut error: Error) -> Error {
    let mut end = MAX_MESSAGE_BYTES;
    while !error.message.is_char_boundary(end.min(error.message.len())) {
        end -= 1;
    }
    error.message.truncate(end);
    error
}
