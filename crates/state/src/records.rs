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
use crate::record::Stored;
use crate::record::Target;
use crate::record::Usage;

/// What an open of a known request id leads to.
enum Known {
    /// This answer.
    Answer(Outcome),
    /// A repeat without a second bill.
    Repeat,
    /// A new run: the last one didn't run, or is repeatable and was not billed.
    Reopen,
}

impl Machine {
    pub(crate) fn open(&mut self, at_ms: u64, open: &Open) -> error::Result<Outcome> {
        self.contents.holders.check(&open.holder)?;
        let repeat = match self.record_of(&open.key) {
            None => {
                self.check_age(at_ms, open)?;
                false
            }
            Some(record) => match resend(record, open)? {
                Known::Answer(answer) => return Ok(answer),
                Known::Repeat => true,
                Known::Reopen => false,
            },
        };
        self.admit(&open.key.workspace, &open.target, open.revision)?;
        let session = open.session.as_ref();
        if let Some(pinned) = self.other_pin(&open.key.workspace, session, &open.target) {
            return Ok(Outcome::Pinned(pinned));
        }
        let moved = self.set_pin(at_ms, &open.key.workspace, session, &open.target);
        self.count_exposure(&open.target);
        if repeat {
            return Ok(Outcome::Repeat);
        }
        self.insert(at_ms, open, moved);
        Ok(opened(moved))
    }

    pub(crate) fn change_target(&mut self, at_ms: u64, change: &Move) -> error::Result<Outcome> {
        self.contents.holders.check(&change.holder)?;
        let Some(record) = self.open_record(&change.key, &change.holder)? else {
            return Ok(Outcome::AlreadyClosed);
        };
        if record.run_once {
            let message = "a run-once request is closed as not run before it is sent elsewhere";
            return Err(Error::new(Kind::WrongState, message));
        }
        let is_same = record.target == change.target && record.endpoint == change.endpoint;
        if change.attempt == record.attempt && is_same {
            return Ok(opened(record.moved));
        }
        if change.attempt <= record.attempt {
            return Err(old_attempt(change.attempt, record.attempt));
        }
        let workspace = &change.key.workspace;
        self.admit(workspace, &change.target, change.revision)?;
        let session = change.session.as_ref();
        if let Some(pinned) = self.other_pin(workspace, session, &change.target) {
            return Ok(Outcome::Pinned(pinned));
        }
        let moved = self.set_pin(at_ms, workspace, session, &change.target);
        self.count_exposure(&change.target);
        let target = self.rules.share_target(&change.target);
        let endpoint = self.rules.share_endpoint(&change.endpoint);
        if let Some(record) = self.open_record(&change.key, &change.holder)? {
            record.attempt = change.attempt;
            record.target = target;
            record.endpoint = endpoint;
            record.moved |= moved;
        }
        Ok(opened(moved))
    }

    pub(crate) fn close(&mut self, at_ms: u64, close: &Close) -> error::Result<Outcome> {
        let runs = close.runs.iter().map(|run| run.usage);
        for usage in runs.chain(billed(close.end)) {
            check_usage(usage)?;
        }
        let Some(record) = self.open_record(&close.key, &close.holder)? else {
            return Ok(self.closed_before(close));
        };
        if record.attempt != close.attempt {
            return Ok(Outcome::AlreadyClosed);
        }
        let runs_cost = close.runs.iter().map(|run| run.usage.cost).sum();
        self.finish(at_ms, &close.key, close.end, close.answer.as_ref(), runs_cost);
        Ok(Outcome::Closed)
    }

    /// Settles a record of a lapsed holder. Whichever of the settling and the holder's own close
    /// comes first in the log wins; the other has no effect.
    pub(crate) fn settle(&mut self, at_ms: u64, settle: &Settle) -> error::Result<Outcome> {
        if let Finding::Finished { usage, .. } = &settle.finding {
            check_usage(*usage)?;
        }
        if !self.contents.holders.has_lapsed(&settle.holder) {
            let message = format!("entry {} has not lapsed", settle.holder.entry);
            return Err(Error::new(Kind::WrongState, message));
        }
        let Some(record) = self.open_record(&settle.key, &settle.holder)? else {
            return Ok(Outcome::AlreadyClosed);
        };
        if record.attempt != settle.attempt {
            return Ok(Outcome::AlreadyClosed);
        }
        let (end, answer) = settled(&settle.finding);
        self.finish(at_ms, &settle.key, end, answer, 0.0);
        Ok(Outcome::Closed)
    }

    /// The record when it is open and held by `holder`; an error when there is no record.
    fn open_record(&mut self, key: &Key, holder: &Holder) -> error::Result<Option<&mut Record>> {
        let account = self.contents.accounts.get_mut(&key.workspace);
        let Some(account) = account.filter(|account| account.record(&key.request).is_some()) else {
            let message = format!("there is no record of request {}", key.request);
            return Err(Error::new(Kind::NotFound, message));
        };
        Ok(account.open_record(&key.request).filter(|record| record.holder == *holder))
    }

    /// Answer to a close that changes nothing: the same close sent again, or a late one.
    fn closed_before(&self, close: &Close) -> Outcome {
        let same = self.record_of(&close.key).is_some_and(|record| {
            record.holder == close.holder
                && record.attempt == close.attempt
                && record.end == Some(close.end)
        });
        if same { Outcome::Closed } else { Outcome::AlreadyClosed }
    }

    fn finish(&mut self, at_ms: u64, key: &Key, end: End, answer: Option<&Stored>, cost: f64) {
        let max = self.contents.limits.stored_bytes as usize;
        let Some(account) = self.contents.accounts.get_mut(&key.workspace) else { return };
        let run_once = account.record(&key.request).is_some_and(|record| record.run_once);
        let kept = answer.filter(|answer| {
            run_once && matches!(end, End::Answered(_)) && answer.body.len() <= max
        });
        account.close(&key.request, at_ms, end, kept.cloned(), cost);
    }

    /// Refuses a new request id whose record may have been pruned.
    fn check_age(&self, at_ms: u64, open: &Open) -> error::Result<()> {
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

    /// The version the session has to stay on, when `target` is another one.
    fn other_pin(
        &self,
        workspace: &Workspace,
        session: Option<&Session>,
        target: &Target,
    ) -> Option<Version> {
        let Target::Version(version) = target else { return None };
        let pinned = self.pin(workspace, session?)?;
        (pinned != version && self.keeps(workspace, pinned)).then(|| pinned.clone())
    }

    /// Pins the session to `target`. Returns whether the session left another version.
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

    fn insert(&mut self, at_ms: u64, open: &Open, moved: bool) {
        let before = self.record_of(&open.key);
        let record = Record {
            opened_ms: at_ms,
            request_ms: before.map_or(0, |record| record.request_ms).max(open.request_ms),
            run_once: open.run_once || before.is_some_and(|record| record.run_once),
            runs_cost: before.map_or(0.0, |record| record.runs_cost),
            holder: self.contents.holders.note(&open.holder, at_ms),
            attempt: open.attempt,
            target: self.rules.share_target(&open.target),
            endpoint: self.rules.share_endpoint(&open.endpoint),
            moved,
            digest: open.digest,
            end: None,
            answer: None,
        };
        let account = self.contents.accounts.entry(open.key.workspace.clone()).or_default();
        account.insert(&open.key.request, record);
    }
}

fn opened(moved: bool) -> Outcome {
    if moved { Outcome::Moved } else { Outcome::Opened }
}

/// What an open of a known request id leads to.
fn resend(record: &Record, open: &Open) -> error::Result<Known> {
    let request = &open.key.request;
    if record.digest != open.digest {
        let message = format!("request id {request} was used for another request");
        return Err(Error::new(Kind::RequestIdReused, message));
    }
    // Either of the two opens may have seen the path as run-once, depending on its bundle.
    let run_once = record.run_once || open.run_once;
    let is_same = record.holder == open.holder && record.attempt == open.attempt;
    let refused = |kind, message: String| Err(Error::new(kind, message));
    match (record.end, &record.answer) {
        (None, _) if is_same && record.target == open.target => {
            Ok(Known::Answer(opened(record.moved)))
        }
        (None, _) => refused(Kind::StillRunning, format!("request {request} is still running")),
        (Some(End::Answered(_)), Some(answer)) => {
            Ok(Known::Answer(Outcome::Answered(answer.clone())))
        }
        (Some(End::Answered(_)), None) if run_once => {
            refused(Kind::AlreadyAnswered, format!("request {request} ran; its answer is not kept"))
        }
        (Some(End::Answered(_)), None) => Ok(Known::Repeat),
        (Some(End::Unknown), _) if run_once => {
            refused(Kind::OutcomeUnknown, format!("the outcome of request {request} is not known"))
        }
        // A delayed duplicate of an open whose dispatch has ended. Nobody waits for its answer.
        (Some(_), _) if record.holder == open.holder && open.attempt <= record.attempt => {
            Err(old_attempt(open.attempt, record.attempt))
        }
        (Some(End::NotRun | End::Unknown), _) => Ok(Known::Reopen),
    }
}

fn old_attempt(attempt: u64, newest: u64) -> Error {
    Error::new(Kind::WrongState, format!("dispatch {attempt} is not newer than {newest}"))
}

/// How a record of a dead entry ends. Only a run that can no longer start counts as not run. With
/// an unknown outcome a repeatable request is unbilled and a resend runs it anew; a resend of a
/// run-once request is refused.
fn settled(finding: &Finding) -> (End, Option<&Stored>) {
    match finding {
        Finding::Finished { usage, answer } => (End::Answered(*usage), answer.as_ref()),
        Finding::NeverStarted { may_start: false } => (End::NotRun, None),
        Finding::NeverStarted { may_start: true } | Finding::Cancelled | Finding::Unreachable => {
            (End::Unknown, None)
        }
    }
}

fn billed(end: End) -> Option<Usage> {
    match end {
        End::Answered(usage) => Some(usage),
        End::NotRun | End::Unknown => None,
    }
}

fn check_usage(usage: Usage) -> error::Result<()> {
    if usage.cost.is_finite() && usage.cost >= 0.0 {
        return Ok(());
    }
    let message = format!("cost {} is not a number of currency units", usage.cost);
    Err(Error::new(Kind::MalformedRequest, message))
}
