//! Simulates entries, endpoints, and the network between entries and the log.

use std::sync::Arc;

use hickoryreel_state::command::Action;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Move;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Settle;
use hickoryreel_state::record::StoredAnswer;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;

use super::Dispatch;
use super::Phase;
use super::Start;
use super::World;
use super::bundles::SERVICE;
use super::bundles::workspace;
use super::pick_index;
use super::version;
use crate::answer::Answer;
use crate::answer::Record;
use crate::event;
use crate::oracle::is_run_once;

/// Half of the deliveries pick one of this many newest messages; the others pick any message.
const RECENT_MESSAGES: usize = 4;

impl World {
    pub(super) fn holder(&self, entry: u8) -> Holder {
        let number = usize::from(entry);
        let incarnation = self.entries[number].incarnation;
        Holder { entry: entry_name(number), incarnation }
    }

    /// Whether the entry is running in the incarnation of `holder`.
    fn is_current(&self, holder: &Holder) -> bool {
        let entry = &self.entries[entry_number(holder)];
        entry.is_alive && entry.incarnation == holder.incarnation
    }

    fn next_attempt(&mut self, holder: &Holder) -> u64 {
        let entry = &mut self.entries[entry_number(holder)];
        entry.attempt += 1;
        entry.attempt
    }

    /// Receives a caller's request; the entry sends an open to the log.
    pub(super) fn receive_request(&mut self, request: &event::Request) {
        let holder = self.holder(request.entry);
        if !self.is_current(&holder) {
            return;
        }
        let key = Key {
            workspace: workspace(request.workspace.into()),
            request: request.id.to_string().into(),
        };
        let now_ms = self.at_ms;
        let run_once = is_run_once(&key.request);
        let target = if run_once {
            Target::Service(SERVICE.into())
        } else {
            Target::Version(version(request.version))
        };
        let open = Open {
            request_ms: *self.request_times.entry(key.clone()).or_insert(now_ms),
            key,
            attempt: self.next_attempt(&holder),
            holder,
            target,
            endpoint: "engine-1".into(),
            run_once,
            session: request.session.map(|number| number.to_string().into()),
            digest: u64::from(request.is_other),
            revision: self.oracle.revision.saturating_sub(request.lag.into()),
        };
        self.send_open(open);
    }

    fn send_open(&mut self, open: Open) {
        self.entries[entry_number(&open.holder)].pending.push(open.clone());
        self.network.push(RecordChange::Open(open));
    }

    /// Delivers the picked messages to the log as one batch.
    pub(super) fn deliver(&mut self, picks: &[u8], keep: bool, answered: bool) {
        let mut batch = Vec::new();
        for pick in picks {
            if self.network.is_empty() {
                break;
            }
            let recent = if *pick < u8::MAX / 2 { RECENT_MESSAGES } else { usize::MAX };
            let back = pick_index(*pick, self.network.len().min(recent));
            let chosen = self.network.len() - 1 - back;
            let message = self.network[chosen].clone();
            if !keep {
                self.network.remove(chosen);
            }
            batch.push(message);
        }
        if batch.is_empty() {
            return;
        }
        self.issue(Action::Records(batch.clone()));
        let Some((_, Answer::Records(answers))) = self.effect.commands.last().cloned() else {
            return;
        };
        for (change, answer) in batch.iter().zip(answers) {
            if answered {
                self.receive_answer(change, answer);
            }
        }
    }

    /// Handles the answer to an entry's open or move.
    fn receive_answer(&mut self, change: &RecordChange, answer: Record) {
        let (holder, attempt) = match change {
            RecordChange::Open(open) => (&open.holder, open.attempt),
            RecordChange::Move(change) => (&change.holder, change.attempt),
            RecordChange::Close(_) | RecordChange::Settle(_) => return,
        };
        if !self.is_current(holder) {
            return;
        }
        let pending = &mut self.entries[entry_number(holder)].pending;
        let Some(index) = pending.iter().position(|open| open.attempt == attempt) else { return };
        let open = pending.remove(index);
        match answer {
            Record::Opened | Record::Moved => self.dispatch(open),
            Record::Pinned(version) if matches!(change, RecordChange::Open(_)) => {
                let attempt = self.next_attempt(&open.holder);
                self.send_open(Open { attempt, target: Target::Version(version), ..open });
            }
            _ => {}
        }
    }

    /// Starts a dispatch after the log opened or moved its record. The holder's earlier dispatches
    /// of the same request end.
    fn dispatch(&mut self, open: Open) {
        for dispatch in &mut self.dispatches {
            dispatch.is_closed |=
                dispatch.open.key == open.key && dispatch.open.holder == open.holder;
        }
        self.dispatches.push(Dispatch { open, phase: Phase::Ready, is_closed: false });
    }

    /// Whether the entry is running in this incarnation and its lease has not lapsed.
    fn has_lease(&self, holder: &Holder) -> bool {
        self.is_current(holder) && !self.oracle.has_lapsed(holder)
    }

    /// Advances an unfinished dispatch by up to `phases` phases. It is sent only under a valid
    /// lease.
    pub(super) fn advance_dispatch(&mut self, pick: u8, phases: u8) {
        let indexed = self.dispatches.iter().enumerate();
        let unfinished = indexed.filter(|(_, dispatch)| {
            matches!(dispatch.phase, Phase::Ready | Phase::Sent | Phase::Running)
        });
        let unfinished: Vec<usize> = unfinished.map(|(index, _)| index).collect();
        if let Some(index) = unfinished.get(pick_index(pick, unfinished.len())) {
            for _ in 0..phases {
                self.enter_next_phase(*index);
            }
        }
    }

    fn enter_next_phase(&mut self, index: usize) {
        let Dispatch { open, phase, is_closed } = self.dispatches[index].clone();
        let next = match phase {
            Phase::Ready if is_closed => Phase::Lost,
            Phase::Ready if !self.has_lease(&open.holder) => return,
            Phase::Ready => Phase::Sent,
            Phase::Sent => Phase::Running,
            Phase::Running => Phase::Finished,
            Phase::Finished | Phase::Lost => return,
        };
        self.dispatches[index].phase = next;
        if next == Phase::Running {
            let Open { key, holder, attempt, run_once, .. } = open;
            self.effect.starts.push(Start { key, holder, attempt, run_once });
        }
    }

    pub(super) fn lose_message(&mut self, pick: u8) {
        let sent = |dispatch: &&mut Dispatch| dispatch.phase == Phase::Sent;
        let count = self.dispatches.iter_mut().filter(sent).count();
        if let Some(dispatch) = self.dispatches.iter_mut().filter(sent).nth(pick_index(pick, count))
        {
            dispatch.phase = Phase::Lost;
        }
    }

    /// Indices of the dispatches whose record a running entry may still close.
    fn closable(&self) -> Vec<usize> {
        let indexed = self.dispatches.iter().enumerate();
        let open = indexed
            .filter(|(_, dispatch)| !dispatch.is_closed && self.is_current(&dispatch.open.holder));
        open.map(|(index, _)| index).collect()
    }

    pub(super) fn close_record(&mut self, pick: u8, ended: bool) {
        let mut closable = self.closable();
        let has_ended = |phase| matches!(phase, Phase::Finished | Phase::Lost);
        closable.retain(|index| !ended || has_ended(self.dispatches[*index].phase));
        let Some(index) = closable.get(pick_index(pick, closable.len())) else { return };
        let dispatch = &mut self.dispatches[*index];
        dispatch.is_closed = true;
        let end = match dispatch.phase {
            Phase::Finished => End::Answered(usage()),
            Phase::Lost => End::NotRun,
            Phase::Ready => {
                dispatch.phase = Phase::Lost;
                End::NotRun
            }
            Phase::Sent | Phase::Running => End::Unknown,
        };
        let open = &dispatch.open;
        let answer =
            (open.attempt.is_multiple_of(2)).then(stored_answer).filter(|_| end != End::Unknown);
        self.network.push(RecordChange::Close(Close {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            end,
            runs: Default::default(),
            answer,
        }));
    }

    pub(super) fn move_record(&mut self, pick: u8, version_number: u8) {
        let closable = self.closable();
        let Some(index) = closable.get(pick_index(pick, closable.len())) else { return };
        let open = self.dispatches[*index].open.clone();
        if open.run_once {
            return;
        }
        let open = Open {
            attempt: self.next_attempt(&open.holder),
            target: Target::Version(version(version_number)),
            endpoint: "engine-2".into(),
            revision: self.oracle.revision,
            ..open
        };
        self.network.push(RecordChange::Move(Move {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            target: open.target.clone(),
            endpoint: open.endpoint.clone(),
            session: open.session.clone(),
            revision: open.revision,
        }));
        self.entries[entry_number(&open.holder)].pending.push(open);
    }

    pub(super) fn kill_entry(&mut self, entry: u8) {
        let entry = &mut self.entries[usize::from(entry)];
        entry.is_alive = false;
        entry.pending.clear();
    }

    pub(super) fn restart_entry(&mut self, entry: u8) {
        self.kill_entry(entry);
        let entry = &mut self.entries[usize::from(entry)];
        entry.is_alive = true;
        entry.incarnation += 1;
    }

    /// Settles an open record of a lapsed holder according to what its endpoint reports.
    pub(super) fn settle_record(&mut self, pick: u8, reachable: bool, hasty: bool) {
        let unsettled = self.oracle.records.iter().filter(|record| {
            record.end.is_none() && (hasty || self.oracle.has_lapsed(&record.open.holder))
        });
        let unsettled: Vec<Open> = unsettled.map(|record| record.open.clone()).collect();
        let Some(open) = unsettled.get(pick_index(pick, unsettled.len())) else { return };
        let dispatch = self.dispatches.iter().find(|dispatch| {
            dispatch.open.key == open.key
                && dispatch.open.holder == open.holder
                && dispatch.open.attempt == open.attempt
        });
        let finding = match dispatch.map(|dispatch| dispatch.phase) {
            _ if !reachable => Finding::Unreachable,
            None | Some(Phase::Ready | Phase::Lost) => Finding::NeverStarted { may_start: false },
            Some(Phase::Sent) => Finding::NeverStarted { may_start: true },
            Some(Phase::Running) => Finding::Cancelled,
            Some(Phase::Finished) => {
                Finding::Finished { usage: usage(), answer: Some(stored_answer()) }
            }
        };
        let settle = RecordChange::Settle(Settle {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            finding,
        });
        if self.oracle.has_lapsed(&open.holder) {
            self.network.push(settle);
        } else {
            // A report from before the lapse must not be used after it, because the entry may still
            // send the request in between. So this settle is applied at once; it must be refused.
            self.issue(Action::Records(vec![settle]));
        }
    }
}

fn entry_name(number: usize) -> hickoryreel_base::name::Entry {
    hickoryreel_base::name::Entry::from(number.to_string())
}

fn entry_number(holder: &Holder) -> usize {
    holder.entry.parse().unwrap_or_default()
}

fn usage() -> Usage {
    Usage { prompt_tokens: 10, completion_tokens: 5, cost: 0.5 }
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer { status: 200, body: Arc::from(&b"done"[..]) }
}
