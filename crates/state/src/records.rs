//! Opening, moving, closing and settling request records.

use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;

use crate::command::Holder;
use crate::machine::Machine;
use crate::record::Close;
use crate::record::End;
use crate::record::Finding;
use crate::record::Key;
use crate::record::Move;
use crate::record::Open;
use crate::record::Outcome;
use crate::record::Record;
use crate::record::Settle;
use crate::record::StoredAnswer;
use crate::record::Target;
use crate::record::Usage;

/// How to handle an open whose request id has a record.
enum Resend {
    /// Give this answer and change nothing.
    Answer(Outcome),
    /// Let the request run again without a second bill.
    Repeat,
    /// Open the record again: the request didn't run, or it is repeatable and was not billed.
    Reopen,
}

impl Machine {
    pub(crate) fn open_record(&mut self, at_ms: u64, open: &Open) -> error::Result<Outcome> {
        self.contents.holders.check_current(&open.holder)?;
        let repeat = match self.record_of(&open.key) {
            None => {
                self.check_request_age(at_ms, open)?;
                false
            }
            Some(record) => match classify_resend(record, open)? {
                Resend::Answer(answer) => return Ok(answer),
                Resend::Repeat => true,
                Resend::Reopen => false,
            },
        };
        self.admit(&open.key.workspace, &open.target, open.revision)?;
        let session = open.session.as_ref();
        if let Some(pinned) = self.conflicting_pin(&open.key.workspace, session, &open.target) {
            return Ok(Outcome::Pinned(pinned));
        }
        let moved = self.set_pin(at_ms, &open.key.workspace, session, &open.target);
        self.count_exposure(&open.target);
        if repeat {
            return Ok(Outcome::Repeat);
        }
        self.insert_record(at_ms, open, moved);
        Ok(opened_outcome(moved))
    }

    pub(crate) fn move_record(&mut self, at_ms: u64, change: &Move) -> error::Result<Outcome> {
        self.contents.holders.check_current(&change.holder)?;
        let Some(record) = self.find_open_record(&change.key, &change.holder)? else {
            return Ok(Outcome::AlreadyClosed);
        };
        if record.run_once {
            let message = "a run-once request must be closed as not run instead of moved";
            return Err(Error::new(Kind::WrongState, message));
        }
        let is_same = record.target == change.target && record.endpoint == change.endpoint;
        if change.attempt == record.attempt && is_same {
            return Ok(opened_outcome(record.moved));
        }
        if change.attempt <= record.attempt {
            return Err(attempt_not_newer(change.attempt, record.attempt));
        }
        let workspace = &change.key.workspace;
        self.admit(workspace, &change.target, change.revision)?;
        let session = change.session.as_ref();
        if let Some(pinned) = self.conflicting_pin(workspace, session, &change.target) {
            return Ok(Outcome::Pinned(pinned));
        }
        let moved = self.set_pin(at_ms, workspace, session, &change.target);
        self.count_exposure(&change.target);
        let target = self.parsed.intern_target(&change.target);
        let endpoint = self.parsed.intern_endpoint(&change.endpoint);
        if let Some(record) = self.find_open_record(&change.key, &change.holder)? {
            record.attempt = change.attempt;
            record.target = target;
            record.endpoint = endpoint;
            record.moved |= moved;
        }
        Ok(opened_outcome(moved))
    }

    pub(crate) fn close_record(&mut self, at_ms: u64, close: &Close) -> error::Result<Outcome> {
        let runs = close.runs.iter().map(|run| run.usage);
        for usage in runs.chain(billed_usage(close.end)) {
            check_usage(usage)?;
        }
        let Some(record) = self.find_open_record(&close.key, &close.holder)? else {
            return Ok(self.outcome_of_late_close(close));
        };
        if record.attempt != close.attempt {
            return Ok(Outcome::AlreadyClosed);
        }
        let runs_cost = close.runs.iter().map(|run| run.usage.cost).sum();
        self.finish_record(at_ms, &close.key, close.end, close.answer.as_ref(), runs_cost);
        Ok(Outcome::Closed)
    }

    /// Settles a record of a lapsed holder. The holder's own close may also be in the log; the
    /// first of the two takes effect and the other is ignored.
    pub(crate) fn settle_record(&mut self, at_ms: u64, settle: &Settle) -> error::Result<Outcome> {
        if let Finding::Finished { usage, .. } = &settle.finding {
            check_usage(*usage)?;
        }
        if !self.contents.holders.has_lapsed(&settle.holder) {
            let message = format!("entry {} has not lapsed", settle.holder.entry);
            return Err(Error::new(Kind::WrongState, message));
        }
        let Some(record) = self.find_open_record(&settle.key, &settle.holder)? else {
            return Ok(Outcome::AlreadyClosed);
        };
        if record.attempt != settle.attempt {
            return Ok(Outcome::AlreadyClosed);
        }
        let (end, answer) = end_for_finding(&settle.finding);
        self.finish_record(at_ms, &settle.key, end, answer, 0.0);
        Ok(Outcome::Closed)
    }

    /// Returns the record if it is open and held by `holder`. Fails if there is no record.
    fn find_open_record(
        &mut self,
        key: &Key,
        holder: &Holder,
    ) -> error::Result<Option<&mut Record>> {
        let account = self.contents.accounts.get_mut(&key.workspace);
        let Some(account) = account.filter(|account| account.record(&key.request).is_some()) else {
            let message = format!("there is no record of request {}", key.request);
            return Err(Error::new(Kind::NotFound, message));
        };
        Ok(account.open_record_mut(&key.request).filter(|record| record.holder == *holder))
    }

    /// Answer to a close that changes nothing, because it is a resend or came too late.
    fn outcome_of_late_close(&self, close: &Close) -> Outcome {
        let is_resend = self.record_of(&close.key).is_some_and(|record| {
            record.holder == close.holder
                && record.attempt == close.attempt
                && record.end == Some(close.end)
        });
        if is_resend { Outcome::Closed } else { Outcome::AlreadyClosed }
    }

    fn finish_record(
        &mut self,
        at_ms: u64,
        key: &Key,
        end: End,
        answer: Option<&StoredAnswer>,
        cost: f64,
    ) {
        let max_bytes = self.contents.limits.stored_bytes as usize;
        let Some(account) = self.contents.accounts.get_mut(&key.workspace) else { return };
        let run_once = account.record(&key.request).is_some_and(|record| record.run_once);
        let stored = answer.filter(|answer| {
            run_once && matches!(end, End::Answered(_)) && answer.body.len() <= max_bytes
        });
        account.close(&key.request, at_ms, end, stored.cloned(), cost);
    }

    /// Refuses a new request id whose record may have been pruned, or whose request time is too far
    /// in the future.
    fn check_request_age(&self, at_ms: u64, open: &Open) -> error::Result<()> {
        let limits = &self.contents.limits;
        if open.request_ms > at_ms.saturating_add(limits.clock_skew_ms) {
            let message = format!("request time {} is in the future", open.request_ms);
            return Err(Error::new(Kind::MalformedRequest, message));
        }
        let account = self.contents.accounts.get(&open.key.workspace);
        let horizon_ms = account.map_or(0, |account| account.horizon_ms);
        let oldest_ms = at_ms.saturating_sub(limits.record_age_ms);
        if open.request_ms <= horizon_ms || open.request_ms < oldest_ms {
            let message =
                format!("request {} is older than the kept request records", open.key.request);
            return Err(Error::new(Kind::RequestTooOld, message));
        }
        Ok(())
    }

    /// The version that the session has to stay on, if `target` is another one.
    fn conflicting_pin(
        &self,
        workspace: &Workspace,
        session: Option<&Session>,
        target: &Target,
    ) -> Option<Version> {
        let Target::Version(version) = target else { return None };
        let pinned = self.pin(workspace, session?)?;
        (pinned != version && self.may_stay_pinned(workspace, pinned)).then(|| pinned.clone())
    }

    /// Pins the session to `target`. Returns whether the session was pinned to another version.
    fn set_pin(
        &mut self,
        at_ms: u64,
        workspace: &Workspace,
        session: Option<&Session>,
        target: &Target,
    ) -> bool {
        let (Some(session), Target::Version(version)) = (session, target) else { return false };
        let moved = self.pin(workspace, session).is_some_and(|pinned| pinned != version);
        let account = self.contents.accounts.entry(workspace.clone()).or_default();
        account.set_pin(session, version, at_ms);
        moved
    }

    fn insert_record(&mut self, at_ms: u64, open: &Open, moved: bool) {
        let previous = self.record_of(&open.key);
        let record = Record {
            opened_ms: at_ms,
            request_ms: previous.map_or(0, |record| record.request_ms).max(open.request_ms),
            run_once: open.run_once || previous.is_some_and(|record| record.run_once),
            runs_cost: previous.map_or(0.0, |record| record.runs_cost),
            holder: self.contents.holders.register_open(&open.holder, at_ms),
            attempt: open.attempt,
            target: self.parsed.intern_target(&open.target),
            endpoint: self.parsed.intern_endpoint(&open.endpoint),
            moved,
            digest: open.digest,
            end: None,
            answer: None,
        };
        let account = self.contents.accounts.entry(open.key.workspace.clone()).or_default();
        account.insert(&open.key.request, record);
    }
}

fn opened_outcome(moved: bool) -> Outcome {
    if moved { Outcome::Moved } else { Outcome::Opened }
}

/// Decides how to handle an open whose request id has a record.
fn classify_resend(record: &Record, open: &Open) -> error::Result<Resend> {
    let request = &open.key.request;
    if record.digest != open.digest {
        let message = format!("request id {request} was used for another request");
        return Err(Error::new(Kind::RequestIdReused, message));
    }
    // The two opens may have been routed by bundles that differ in whether the path is run-once.
    let run_once = record.run_once || open.run_once;
    let is_same = record.holder == open.holder && record.attempt == open.attempt;
    let refused = |kind, message: String| Err(Error::new(kind, message));
    match (record.end, &record.answer) {
        (None, _) if is_same && record.target == open.target => {
            Ok(Resend::Answer(opened_outcome(record.moved)))
        }
        (None, _) => refused(Kind::StillRunning, format!("request {request} is still running")),
        (Some(End::Answered(_)), Some(answer)) => {
            Ok(Resend::Answer(Outcome::Answered(answer.clone())))
        }
        (Some(End::Answered(_)), None) if run_once => {
            refused(Kind::AlreadyAnswered, format!("request {request} ran; its answer is not kept"))
        }
        (Some(End::Answered(_)), None) => Ok(Resend::Repeat),
        (Some(End::Unknown), _) if run_once => {
            refused(Kind::OutcomeUnknown, format!("the outcome of request {request} is not known"))
        }
        // A delayed duplicate of an open whose dispatch has ended. Nothing waits for its answer, so
        // a reopened record would never be closed.
        (Some(_), _) if record.holder == open.holder && open.attempt <= record.attempt => {
            Err(attempt_not_newer(open.attempt, record.attempt))
        }
        (Some(End::NotRun | End::Unknown), _) => Ok(Resend::Reopen),
    }
}

fn attempt_not_newer(attempt: u64, newest: u64) -> Error {
    Error::new(Kind::WrongState, format!("dispatch {attempt} is not newer than {newest}"))
}

/// How to close a record of a lapsed holder. The end is "not run" only if the run can no longer
/// start. After an unknown outcome, a repeatable request is not billed and a resend runs it again,
/// but a resend of a run-once request is refused.
fn end_for_finding(finding: &Finding) -> (End, Option<&StoredAnswer>) {
    match finding {
        Finding::Finished { usage, answer } => (End::Answered(*usage), answer.as_ref()),
        Finding::NeverStarted { may_start: false } => (End::NotRun, None),
        Finding::NeverStarted { may_start: true } | Finding::Cancelled | Finding::Unreachable => {
            (End::Unknown, None)
        }
    }
}

fn billed_usage(end: End) -> Option<Usage> {
    match end {
        End::Answered(usage) => Some(usage),
        End::NotRun | End::Unknown => None,
    }
}

fn check_usage(usage: Usage) -> error::Result<()> {
    if usage.cost.is_finite() && usage.cost >= 0.0 {
        return Ok(());
    }
    let message =
        format!("cost {} is not a finite, non-negative number of currency units", usage.cost);
    Err(Error::new(Kind::MalformedRequest, message))
}
