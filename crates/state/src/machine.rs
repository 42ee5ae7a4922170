//! The state machine: applies commands one after the other.

use std::collections::BTreeMap;
use std::sync::Arc;

use hickoryreel_base::bundle;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Operator;
use hickoryreel_base::name::Request;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Action;
use crate::command::BundleId;
use crate::command::Change;
use crate::command::Command;
use crate::command::Operation;
use crate::command::RecordChange;
use crate::command::Revision;
use crate::config::Candidate;
use crate::config::Config;
use crate::config::Published;
use crate::order;
use crate::order::Fence;
use crate::record;
use crate::record::Bill;
use crate::record::Close;
use crate::record::End;
use crate::record::Key;
use crate::record::Open;
use crate::record::Record;
use crate::record::Target;

/// State of a submitted bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Submitted, not signed off.
    Submitted,
    /// Signed off, not rolled out.
    SignedOff,
    /// Being rolled out.
    RollingOut,
    /// In force.
    Active,
    /// Replaced by a later bundle.
    Superseded,
}

/// A submitted bundle.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Text of the bundle.
    pub text: Arc<str>,
    /// Who submitted it.
    pub submitted_by: Operator,
    /// Who signed it off.
    pub signed_off_by: Option<Operator>,
    /// Where it stands.
    pub stage: Stage,
    /// The bundle whose content a revert brought back.
    pub revert_of: Option<BundleId>,
    /// Revision at which it came into force.
    pub activated: Option<Revision>,
}

/// Answer to an accepted operator write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision after the write.
    pub revision: Revision,
    /// The bundle the write was about, if any.
    pub bundle: Option<BundleId>,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// Answer to an operator write.
    Operation(Result<Accepted, Error>),
    /// Answers to record changes, in the order of the batch.
    Records(Vec<record::Outcome>),
    /// The fencing number that was taken.
    Fence(Fence),
    /// Answer to a change of the order lease or of an order.
    Order(Result<order::Accepted, Error>),
    /// The command was applied and has no answer.
    Applied,
    /// The index was applied before; the command had no effect.
    AlreadyApplied,
}

/// The control state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    config: Config,
    submissions: BTreeMap<BundleId, Submission>,
    answers: BTreeMap<(Operator, Request), Result<Accepted, Error>>,
    records: BTreeMap<Key, Record>,
    pins: BTreeMap<(Workspace, Session), Version>,
}

impl Machine {
    /// Applies the command at `index` of the log.
    pub fn apply(&mut self, _index: u64, command: &Command) -> Outcome {
        match &command.action {
            Action::Operate(operation) => Outcome::Operation(self.operate(operation)),
            Action::Records(changes) => {
                let changes = changes.iter();
                Outcome::Records(changes.map(|change| self.record(command.at_ms, change)).collect())
            }
            Action::Step(_) => Outcome::Operation(Err(missing())),
            Action::Order(_) => Outcome::Order(Err(missing())),
            Action::Lapse(_) | Action::TakeFence { .. } | Action::SetLimits(_) => Outcome::Applied,
        }
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// All submitted bundles.
    pub fn submissions(&self) -> &BTreeMap<BundleId, Submission> {
        &self.submissions
    }

    /// Billed requests, in order of workspace and request id.
    pub fn bills(&self) -> Vec<Bill> {
        let records = self.records.iter();
        records
            .filter_map(|(key, record)| match record.end {
                Some(End::Answered(usage)) => Some(Bill {
                    key: key.clone(),
                    target: record.target.clone(),
                    usage,
                    runs_cost: record.runs_cost,
                }),
                _ => None,
            })
            .collect()
    }

    fn operate(&mut self, operation: &Operation) -> Result<Accepted, Error> {
        let id = (operation.operator.clone(), operation.request.clone());
        if let Some(answer) = self.answers.get(&id) {
            return answer.clone();
        }
        let answer = self.change(operation);
        self.answers.insert(id, answer.clone());
        answer
    }

    fn change(&mut self, operation: &Operation) -> Result<Accepted, Error> {
        let newest = self.config.revision;
        if operation.based_on != newest {
            let message =
                format!("based on revision {}, the newest is {newest}", operation.based_on);
            return Err(Error::new(Kind::StaleRevision, message));
        }
        let bundle = match &operation.change {
            Change::Submit { text } => Some(self.submit(&operation.operator, text)?),
            Change::SignOff { bundle } => Some(self.sign_off(&operation.operator, *bundle)?),
            Change::RollOut { bundle } => Some(self.roll_out(*bundle)?),
            Change::Advance { bundle, percent } => Some(self.advance(*bundle, *percent)?),
            Change::Withdraw { version, .. } => {
                self.config.withdrawn.insert(version.clone());
                None
            }
            Change::Pause { .. } | Change::Resume { .. } | Change::Revert { .. } => {
                return Err(missing());
            }
        };
        self.config.revision += 1;
        Ok(Accepted { revision: self.config.revision, bundle })
    }

    fn submit(&mut self, operator: &Operator, text: &Arc<str>) -> Result<BundleId, Error> {
        bundle::parse("bundle", text).map_err(|mistakes| {
            let lines: Vec<String> = mistakes.iter().map(ToString::to_string).collect();
            Error::new(Kind::InvalidBundle, lines.join("\n"))
        })?;
        let id = self.submissions.len() as BundleId + 1;
        let submission = Submission {
            text: Arc::clone(text),
            submitted_by: operator.clone(),
            signed_off_by: None,
            stage: Stage::Submitted,
            revert_of: None,
            activated: None,
        };
        self.submissions.insert(id, submission);
        Ok(id)
    }

    fn sign_off(&mut self, operator: &Operator, id: BundleId) -> Result<BundleId, Error> {
        let submission = self.expect(id, Stage::Submitted)?;
        if submission.submitted_by == *operator {
            let message =
                format!("operator {operator} submitted bundle {id}; another signs it off");
            return Err(Error::new(Kind::WrongState, message));
        }
        submission.signed_off_by = Some(operator.clone());
        submission.stage = Stage::SignedOff;
        Ok(id)
    }

    fn roll_out(&mut self, id: BundleId) -> Result<BundleId, Error> {
        if let Some(candidate) = &self.config.candidate {
            let message = format!("bundle {} is being rolled out", candidate.published.bundle);
            return Err(Error::new(Kind::WrongState, message));
        }
        let submission = self.expect(id, Stage::SignedOff)?;
        submission.stage = Stage::RollingOut;
        let published = Published { bundle: id, text: Arc::clone(&submission.text) };
        self.config.candidate = Some(Candidate { published, percent: 0, step: 0, paused: false });
        if self.config.active.is_none() {
            self.advance(id, 100)?;
        }
        Ok(id)
    }

    fn advance(&mut self, id: BundleId, percent: u8) -> Result<BundleId, Error> {
        self.expect(id, Stage::RollingOut)?;
        let Some(mut candidate) = self.config.candidate.take() else {
            return Err(Error::new(Kind::WrongState, "no roll-out is running"));
        };
        candidate.percent = percent.max(candidate.percent);
        if candidate.percent < 100 {
            self.config.candidate = Some(candidate);
            return Ok(id);
        }
        let active = self.config.active.replace(candidate.published);
        if let Some(previous) = active.and_then(|old| self.submissions.get_mut(&old.bundle)) {
            previous.stage = Stage::Superseded;
        }
        self.expect(id, Stage::RollingOut)?.stage = Stage::Active;
        Ok(id)
    }

    fn expect(&mut self, id: BundleId, stage: Stage) -> Result<&mut Submission, Error> {
        let submission = self
            .submissions
            .get_mut(&id)
            .ok_or_else(|| Error::new(Kind::NotFound, format!("there is no bundle {id}")))?;
        if submission.stage != stage {
            let message = format!("bundle {id} is {:?}, expected {stage:?}", submission.stage);
            return Err(Error::new(Kind::WrongState, message));
        }
        Ok(submission)
    }

    fn record(&mut self, at_ms: u64, change: &RecordChange) -> record::Outcome {
        match change {
            RecordChange::Open(open) => self.open(at_ms, open),
            RecordChange::Close(close) => self.close(close),
            RecordChange::Move(_) | RecordChange::Settle(_) => record::Outcome::Refused(missing()),
        }
    }

    fn open(&mut self, at_ms: u64, open: &Open) -> record::Outcome {
        if let Some(record) = self.records.get(&open.key) {
            return resend(record, open);
        }
        if let (Some(session), Target::Version(version)) = (&open.session, &open.target) {
            let pin = (open.key.workspace.clone(), session.clone());
            let pinned = self.pins.entry(pin).or_insert_with(|| version.clone());
            if self.config.withdrawn.contains(pinned) {
                *pinned = version.clone();
            }
            if pinned != version {
                return record::Outcome::Pinned(pinned.clone());
            }
        }
        let record = Record {
            opened_ms: at_ms,
            request_ms: open.request_ms,
            attempt: open.attempt,
            moved: false,
            runs_cost: 0.0,
            holder: open.holder.clone(),
            target: open.target.clone(),
            endpoint: open.endpoint.clone(),
            run_once: open.run_once,
            digest: open.digest,
            end: None,
            answer: None,
        };
        self.records.insert(open.key.clone(), record);
        record::Outcome::Opened
    }

    fn close(&mut self, close: &Close) -> record::Outcome {
        let Some(record) = self.records.get_mut(&close.key) else {
            let message = format!("there is no record of request {}", close.key.request);
            return record::Outcome::Refused(Error::new(Kind::NotFound, message));
        };
        if record.end.is_none() && record.holder == close.holder {
            record.end = Some(close.end);
            record.answer = close.answer.clone();
        }
        record::Outcome::Closed
    }
}

fn missing() -> Error {
    Error::new(Kind::Internal, "the state machine doesn't support this command yet")
}

/// Answer to an open whose request id is known already.
fn resend(record: &Record, open: &Open) -> record::Outcome {
    let request = &open.key.request;
    if record.digest != open.digest {
        let message = format!("request id {request} was used for another request");
        return record::Outcome::Refused(Error::new(Kind::RequestIdReused, message));
    }
    let (kind, message) = match (record.end, &record.answer) {
        (Some(End::Answered(_)), Some(answer)) => return record::Outcome::Answered(answer.clone()),
        (Some(End::Answered(_)), None) if !record.run_once => return record::Outcome::Repeat,
        (Some(End::Answered(_)), None) => {
            (Kind::AlreadyAnswered, format!("request {request} ran; its answer is not kept"))
        }
        (Some(_), _) if !record.run_once => return record::Outcome::Repeat,
        (Some(End::NotRun), _) => (Kind::OutcomeUnknown, format!("request {request} did not run")),
        (Some(End::Unknown), _) => {
            (Kind::OutcomeUnknown, format!("the outcome of request {request} is not known"))
        }
        (None, _) => (Kind::StillRunning, format!("request {request} is still running")),
    };
    record::Outcome::Refused(Error::new(kind, message))
}
