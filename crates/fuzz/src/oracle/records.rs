//! Model of request records and session pins.

use hickoryreel_base::error::Kind;
use hickoryreel_base::name::Session;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Move;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Settle;
use hickoryreel_state::record::Target;

use super::Oracle;
use super::Pin;
use super::Record;
use crate::answer;
use crate::answer::Record as Answer;

pub(super) fn record_key(change: &RecordChange) -> &Key {
    match change {
        RecordChange::Open(open) => &open.key,
        RecordChange::Close(close) => &close.key,
        RecordChange::Move(change) => &change.key,
        RecordChange::Settle(settle) => &settle.key,
    }
}

impl Oracle {
    pub(super) fn apply_record_change(&mut self, at_ms: u64, change: &RecordChange) -> Answer {
        let result = match change {
            RecordChange::Open(open) => self.open_record(at_ms, open),
            RecordChange::Close(close) => self.close_record(at_ms, close),
            RecordChange::Move(change) => self.move_record(at_ms, change),
            RecordChange::Settle(settle) => self.settle_record(at_ms, settle),
        };
        result.unwrap_or_else(Answer::Refused)
    }

    fn open_record(&mut self, at_ms: u64, open: &Open) -> Result<Answer, Kind> {
        self.check_holder(&open.holder)?;
        let previous = self.find(&open.key).cloned();
        let mut is_repeat = false;
        match &previous {
            None => {
                let horizon_ms = self.horizons.get(&open.key.workspace).copied().unwrap_or(0);
                if open.request_ms > at_ms + self.limits.clock_skew_ms {
                    return Err(Kind::MalformedRequest);
                }
                if open.request_ms <= horizon_ms
                    || open.request_ms + self.limits.record_age_ms < at_ms
                {
                    return Err(Kind::RequestTooOld);
                }
            }
            Some(previous) => {
                if let Some(answer) = answer_to_resend(previous, open)? {
                    return Ok(answer);
                }
                is_repeat = matches!(previous.end, Some((End::Answered(_), ..)));
            }
        }
        let session = open.session.as_ref();
        let admitted =
            self.admit_target(at_ms, (&open.key.workspace, session), &open.target, open.revision)?;
        if is_repeat && !matches!(admitted, Answer::Pinned(_)) {
            return Ok(Answer::Repeat);
        }
        let was_moved = match &admitted {
            Answer::Pinned(_) => return Ok(admitted),
            other => *other == Answer::Moved,
        };
        let known = self.incarnations_mut(&open.holder);
        known.newest = known.newest.max(open.holder.incarnation);
        known.seen_ms = known.seen_ms.max(at_ms);
        let run_once = open.run_once || previous.as_ref().is_some_and(|previous| previous.run_once);
        let mut open = open.clone();
        open.request_ms =
            previous.as_ref().map_or(0, |previous| previous.open.request_ms).max(open.request_ms);
        self.records.retain(|record| record.open.key != open.key);
        self.records.push(Record { open, run_once, end: None, has_answer: false, was_moved });
        Ok(admitted)
    }

    fn check_holder(&self, holder: &Holder) -> Result<(), Kind> {
        let known = self.incarnations.iter().find(|known| known.entry == holder.entry);
        let is_older = known.is_some_and(|known| holder.incarnation < known.newest);
        if is_older || self.has_lapsed(holder) { Err(Kind::NoLease) } else { Ok(()) }
    }

    /// Checks that the target is allowed and that the session's pin permits it, then sets the pin.
    fn admit_target(
        &mut self,
        at_ms: u64,
        (workspace, session): (&Workspace, Option<&Session>),
        target: &Target,
        routing_revision: Revision,
    ) -> Result<Answer, Kind> {
        if let Target::Version(version) = target {
            let is_stale = self.withdrawn_at(version).is_some_and(|found| routing_revision < found);
            if self.is_withdrawn(version) || is_stale {
                return Err(Kind::StaleRevision);
            }
        }
        if !self.is_allowed(workspace, target) {
            return Err(Kind::NotAllowed);
        }
        let (Some(session), Target::Version(version)) = (session, target) else {
            return Ok(Answer::Opened);
        };
        let index =
            self.pins.iter().position(|pin| pin.workspace == *workspace && pin.session == *session);
        let Some(index) = index else {
            let (workspace, session) = (workspace.clone(), session.clone());
            self.pins.push(Pin { workspace, session, version: version.clone(), used_ms: at_ms });
            return Ok(Answer::Opened);
        };
        let pinned = self.pins[index].version.clone();
        if pinned != *version && self.may_stay(workspace, &pinned) {
            return Ok(Answer::Pinned(pinned));
        }
        let pin = &mut self.pins[index];
        pin.version = version.clone();
        pin.used_ms = pin.used_ms.max(at_ms);
        Ok(if pinned == *version { Answer::Opened } else { Answer::Moved })
    }

    fn may_stay(&self, workspace: &Workspace, version: &Version) -> bool {
        !self.is_withdrawn(version) && self.is_allowed(workspace, &Target::Version(version.clone()))
    }

    fn move_record(&mut self, at_ms: u64, change: &Move) -> Result<Answer, Kind> {
        self.check_holder(&change.holder)?;
        let found = self.find(&change.key).cloned().ok_or(Kind::NotFound)?;
        if found.end.is_some() || found.open.holder != change.holder {
            return Ok(Answer::AlreadyClosed);
        }
        if found.run_once {
            return Err(Kind::WrongState);
        }
        let is_same = found.open.target == change.target && found.open.endpoint == change.endpoint;
        if found.open.attempt == change.attempt && is_same {
            return Ok(if found.was_moved { Answer::Moved } else { Answer::Opened });
        }
        if change.attempt <= found.open.attempt {
            return Err(Kind::WrongState);
        }
        let session = change.session.as_ref();
        let admitted = self.admit_target(
            at_ms,
            (&change.key.workspace, session),
            &change.target,
            change.revision,
        )?;
        if !matches!(admitted, Answer::Pinned(_)) {
            let record = self.records.iter_mut().find(|record| record.open.key == change.key);
            let record = record.ok_or(Kind::NotFound)?;
            record.open.attempt = change.attempt;
            record.open.target = change.target.clone();
            record.open.endpoint = change.endpoint.clone();
            record.was_moved |= admitted == Answer::Moved;
        }
        Ok(admitted)
    }

    fn close_record(&mut self, at_ms: u64, close: &Close) -> Result<Answer, Kind> {
        let found = self.find(&close.key).cloned().ok_or(Kind::NotFound)?;
        let is_same_dispatch =
            found.open.holder == close.holder && found.open.attempt == close.attempt;
        match found.end {
            None if is_same_dispatch => {
                let has_answer = close.answer.is_some();
                self.end_record(at_ms, &close.key, close.end, has_answer);
                Ok(Answer::Closed)
            }
            Some((end, ..)) if is_same_dispatch && end == close.end => Ok(Answer::Closed),
            _ => Ok(Answer::AlreadyClosed),
        }
    }

    fn settle_record(&mut self, at_ms: u64, settle: &Settle) -> Result<Answer, Kind> {
        if !self.has_lapsed(&settle.holder) {
            return Err(Kind::WrongState);
        }
        let found = self.find(&settle.key).cloned().ok_or(Kind::NotFound)?;
        let is_same_dispatch =
            found.open.holder == settle.holder && found.open.attempt == settle.attempt;
        if found.end.is_some() || !is_same_dispatch {
            return Ok(Answer::AlreadyClosed);
        }
        let (end, has_answer) = match &settle.finding {
            Finding::Finished { usage, answer } => (End::Answered(*usage), answer.is_some()),
            Finding::NeverStarted { may_start: false } => (End::NotRun, false),
            _ => (End::Unknown, false),
        };
        self.end_record(at_ms, &settle.key, end, has_answer);
        Ok(Answer::Closed)
    }

    fn end_record(&mut self, at_ms: u64, key: &Key, end: End, has_answer: bool) {
        self.closed_count += 1;
        if let Some(record) = self.records.iter_mut().find(|record| record.open.key == *key) {
            record.end = Some((end, at_ms, self.closed_count));
            record.has_answer = has_answer && record.run_once && matches!(end, End::Answered(_));
        }
    }

    pub(super) fn prune_workspace(&mut self, at_ms: u64, workspace: &Workspace) {
        let before_ms = at_ms.saturating_sub(self.limits.record_age_ms);
        loop {
            let in_workspace =
                self.records.iter().filter(|record| record.open.key.workspace == *workspace);
            let closed: Vec<&Record> = in_workspace.filter(|record| record.end.is_some()).collect();
            let oldest = closed.iter().min_by_key(|record| record.end.map(|end| end.2));
            let Some(oldest) = oldest else { break };
            let is_recent = oldest.end.is_some_and(|end| end.1 >= before_ms);
            if is_recent && closed.len() <= self.limits.records as usize {
                break;
            }
            let dropped = oldest.open.clone();
            let horizon_ms = self.horizons.entry(workspace.clone()).or_default();
            *horizon_ms = dropped.request_ms.max(*horizon_ms);
            self.records.retain(|record| record.open.key != dropped.key);
        }
        let before_ms = at_ms.saturating_sub(self.limits.pin_age_ms);
        loop {
            let in_workspace = self.pins.iter().filter(|pin| pin.workspace == *workspace);
            let count = in_workspace.clone().count();
            let oldest = in_workspace.min_by_key(|pin| (pin.used_ms, pin.session.clone())).cloned();
            let Some(oldest) = oldest else { break };
            if oldest.used_ms >= before_ms && count <= self.limits.pins as usize {
                break;
            }
            self.pins.retain(|pin| pin.workspace != *workspace || pin.session != oldest.session);
        }
    }
}

/// Answer to an open whose request id has a record; `None` if the request may run again.
fn answer_to_resend(previous: &Record, open: &Open) -> Result<Option<Answer>, Kind> {
    if previous.open.digest != open.digest {
        return Err(Kind::RequestIdReused);
    }
    let run_once = previous.run_once || open.run_once;
    let same_holder = previous.open.holder == open.holder;
    let Some((end, ..)) = previous.end else {
        let is_same = same_holder
            && previous.open.attempt == open.attempt
            && previous.open.target == open.target;
        let opened = if previous.was_moved { Answer::Moved } else { Answer::Opened };
        return if is_same { Ok(Some(opened)) } else { Err(Kind::StillRunning) };
    };
    match end {
        End::Answered(_) if previous.has_answer => Ok(Some(answer::Record::Answered)),
        End::Answered(_) if run_once => Err(Kind::AlreadyAnswered),
        End::Answered(_) => Ok(None),
        End::Unknown if run_once => Err(Kind::OutcomeUnknown),
        _ if same_holder && open.attempt <= previous.open.attempt => Err(Kind::WrongState),
        _ => Ok(None),
    }
}
