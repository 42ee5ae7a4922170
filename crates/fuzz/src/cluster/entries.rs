//! Entries with leases, and runs at endpoints.

use std::time::Duration;

use hickoryreel_base::name::Version;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::core::Role;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::Revision;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;
use rand::RngExt;

use super::Answer;
use super::Cluster;
use super::LEASE_LENGTH;
use super::ReplyTo;
use crate::event::VERSIONS;
use crate::event::WORKSPACES;
use crate::oracle::is_run_once;
use crate::world::Start;
use crate::world::bundles;

/// Interval between renewals of a lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which an entry resends an open or a close that has no effect yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// A simulated entry. Its incarnation grows with each restart.
#[derive(Debug)]
pub(crate) struct Entry {
    number: usize,
    incarnation: u64,
    is_alive: bool,
    paused_until: Duration,
    lease_until: Duration,
    revision: Revision,
    withdrawn: Vec<Version>,
    next_renewal: Duration,
    attempt: u64,
    /// Opens without an answer, with the time each was last sent.
    pending_opens: Vec<(Open, Duration)>,
}

impl Entry {
    pub(crate) fn new(number: usize) -> Self {
        Self {
            number,
            incarnation: 1,
            is_alive: true,
            paused_until: Duration::ZERO,
            lease_until: Duration::ZERO,
            revision: 0,
            withdrawn: Vec::new(),
            next_renewal: Duration::ZERO,
            attempt: 0,
            pending_opens: Vec::new(),
        }
    }

    fn restart(&mut self) {
        let (incarnation, attempt) = (self.incarnation + 1, self.attempt);
        *self = Self { incarnation, attempt, ..Self::new(self.number) };
    }

    fn may_dispatch(&self, now: Duration, target: &Target) -> bool {
        let is_withdrawn = match target {
            Target::Version(version) => self.withdrawn.contains(version),
            Target::Service(_) => false,
        };
        self.is_alive && now < self.lease_until && !is_withdrawn
    }
}

/// A request that was sent to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    open: Open,
    /// `None` if the request is never sent or is lost.
    starts_at: Option<Duration>,
    finishes_at: Duration,
    is_started: bool,
    last_close_sent: Duration,
}

pub(crate) fn holder(number: usize, incarnation: u64) -> Holder {
    Holder { entry: number.to_string().into(), incarnation }
}

impl Cluster {
    /// Runs what is due at every entry and endpoint.
    pub(crate) fn run_entries_and_endpoints(&mut self) {
        let now = self.sim.now();
        for number in 0..self.entries.len() {
            let entry = &mut self.entries[number];
            if entry.paused_until > now {
                continue;
            }
            // An entry without a lease for more than one lease length restarts at some point,
            // whether or not it has crashed.
            if now > entry.lease_until + LEASE_LENGTH && self.sim.random.random_bool(0.02) {
                entry.restart();
            }
            let entry = &mut self.entries[number];
            if !entry.is_alive {
                continue;
            }
            let (incarnation, revision) = (entry.incarnation, entry.revision);
            if now >= entry.next_renewal {
                entry.next_renewal = now + RENEWAL_INTERVAL;
                self.renew(number, incarnation, revision);
            }
            if self.sim.random.random_bool(0.3) {
                self.receive_request(number);
            }
            self.send_opens(number);
        }
        self.run_endpoints();
    }

    /// Receives a caller's request, which is often a resend.
    fn receive_request(&mut self, number: usize) {
        let now = self.sim.now();
        let newest_id = now.as_millis() as u64 / 300;
        let id = newest_id.saturating_sub(self.sim.random.random_range(0..12));
        let key = Key {
            workspace: bundles::workspace((id % u64::from(WORKSPACES)) as usize),
            request: id.to_string().into(),
        };
        let run_once = is_run_once(&key.request);
        let version = self.sim.random.random_range(0..VERSIONS);
        let caller_ms = self.caller_ms();
        let request_ms = *self.request_times.entry(key.clone()).or_insert(caller_ms);
        let entry = &mut self.entries[number];
        if now >= entry.lease_until {
            return;
        }
        entry.attempt += 1;
        let open = Open {
            session: (id % 5 == 1).then(|| (id % 20).to_string().into()),
            key,
            holder: holder(number, entry.incarnation),
            attempt: entry.attempt,
            target: match run_once {
                true => Target::Service(bundles::SERVICE.into()),
                false => Target::Version(format!("quill/v{version}").into()),
            },
            endpoint: "engine-1".into(),
            run_once,
            digest: id,
            revision: entry.revision,
            request_ms,
        };
        entry.pending_opens.push((open, Duration::ZERO));
    }

    /// Sends opens without an answer that are due for a retry.
    fn send_opens(&mut self, number: usize) {
        let now = self.sim.now();
        let due = self.entries[number]
            .pending_opens
            .iter_mut()
            .filter(|(_, sent)| now >= *sent + RETRY_INTERVAL);
        let mut opens = Vec::new();
        for (open, sent) in due {
            *sent = now;
            opens.push(open.clone());
        }
        for open in opens {
            let Open { attempt, holder: Holder { incarnation, .. }, .. } = open;
            let reply_to = ReplyTo::Open { entry: number, incarnation, attempt };
            self.propose_change(RecordChange::Open(open), reply_to);
        }
    }

    fn propose_change(&mut self, change: RecordChange, reply_to: ReplyTo) {
        if let Some(leader) = self.random_leader().filter(|_| !self.draw_loss()) {
            self.propose(leader, Action::Records(vec![change]), reply_to);
        }
    }

    /// Picks one of the replicas in the leader role, which include deposed leaders that haven't
    /// noticed it yet.
    pub(crate) fn random_leader(&mut self) -> Option<ReplicaId> {
        let leads = |id: &ReplicaId| {
            self.sim.get(*id).is_some_and(|(_, replica)| replica.role() == Role::Leader)
        };
        let leaders: Vec<ReplicaId> = self.replicas.iter().copied().filter(leads).collect();
        let pick = self.sim.random.random_range(0..leaders.len().max(1));
        leaders.get(pick).copied()
    }

    /// Delivers answers that are due to their entries.
    pub(crate) fn deliver_answers(&mut self) {
        let now = self.sim.now();
        let entries = &self.entries;
        let is_due = |answer: &(Duration, usize, u64, Answer)| {
            now >= answer.0 && now >= entries[answer.1].paused_until
        };
        let (due, later) =
            std::mem::take(&mut self.answers_in_flight).into_iter().partition(is_due);
        self.answers_in_flight = later;
        for (_, number, incarnation, answer) in due {
            let entry = &self.entries[number];
            if entry.is_alive && entry.incarnation == incarnation {
                self.handle_answer(number, answer);
            }
        }
    }

    fn handle_answer(&mut self, number: usize, answer: Answer) {
        let entry = &mut self.entries[number];
        match answer {
            Answer::Grant { sent, revision, withdrawn } => {
                entry.lease_until = entry.lease_until.max(sent + LEASE_LENGTH);
                if revision > entry.revision {
                    entry.revision = revision;
                    entry.withdrawn = withdrawn;
                }
            }
            Answer::Open { attempt, outcome } => {
                let index =
                    entry.pending_opens.iter().position(|(open, _)| open.attempt == attempt);
                let Some(index) = index else { return };
                let (open, _) = entry.pending_opens.remove(index);
                match outcome {
                    Outcome::Opened | Outcome::Moved => self.dispatch(number, open),
                    Outcome::Pinned(version) => {
                        entry.attempt += 1;
                        let (attempt, target) = (entry.attempt, Target::Version(version));
                        let open = Open { attempt, target, ..open };
                        entry.pending_opens.push((open, Duration::ZERO));
                    }
                    _ => {}
                }
            }
        }
    }

    /// Dispatches a request after its record was opened, if the lease and the configuration still
    /// permit it. Otherwise, the record is closed as not run.
    fn dispatch(&mut self, number: usize, open: Open) {
        let now = self.sim.now();
        let may_dispatch = self.entries[number].may_dispatch(now, &open.target);
        let is_lost = !may_dispatch || self.draw_loss();
        let delay = Duration::from_millis(self.sim.random.random_range(0..1_500));
        let length = Duration::from_millis(self.sim.random.random_range(10..3_000));
        if may_dispatch {
            let version = match &open.target {
                Target::Version(version) => Some(version),
                Target::Service(_) => None,
            };
            self.observer.check_dispatch(version);
            self.coverage.dispatches += 1;
        }
        self.runs.push(Run {
            open,
            starts_at: (!is_lost).then_some(now + delay),
            finishes_at: now + delay + length,
            is_started: false,
            last_close_sent: Duration::ZERO,
        });
    }

    /// Starts the runs that are due, and has entries close the records of runs that ended.
    fn run_endpoints(&mut self) {
        let now = self.sim.now();
        for index in 0..self.runs.len() {
            let run = &mut self.runs[index];
            if run.starts_at.is_some_and(|starts_at| starts_at <= now) && !run.is_started {
                run.is_started = true;
                let Open { key, holder, attempt, run_once, .. } = run.open.clone();
                self.observer.check_start(&Start { key, holder, attempt, run_once });
            }
            self.close_record(index);
        }
        let machine = self.observer.machine();
        self.runs.retain(|run| {
            let record = machine.record_of(&run.open.key);
            let is_own = record.is_some_and(|record| {
                record.end.is_none()
                    && record.holder == run.open.holder
                    && record.attempt == run.open.attempt
            });
            is_own || run.starts_at.is_some_and(|_| run.finishes_at > now)
        });
    }

    fn close_record(&mut self, index: usize) {
        let now = self.sim.now();
        let Run { open, starts_at, finishes_at, last_close_sent, .. } = &mut self.runs[index];
        let number: usize = open.holder.entry.parse().unwrap_or_default();
        let entry = &self.entries[number];
        let is_current = entry.is_alive && entry.incarnation == open.holder.incarnation;
        let has_ended = starts_at.is_none() || *finishes_at <= now;
        if !is_current
            || entry.paused_until > now
            || !has_ended
            || now < *last_close_sent + RETRY_INTERVAL
        {
            return;
        }
        *last_close_sent = now;
        let end = if starts_at.is_none() { End::NotRun } else { End::Answered(usage()) };
        let close = Close {
            key: open.key.clone(),
            holder: open.holder.clone(),
            attempt: open.attempt,
            end,
            runs: Default::default(),
            answer: None,
        };
        self.propose_change(RecordChange::Close(close), ReplyTo::Nobody);
    }

    /// The endpoint's report about a run; `None` while it is running.
    pub(crate) fn finding(&self, key: &Key, holder: &Holder, attempt: u64) -> Option<Finding> {
        let now = self.sim.now();
        let run = self.runs.iter().find(|run| {
            run.open.key == *key && run.open.holder == *holder && run.open.attempt == attempt
        });
        match run {
            Some(run) if run.starts_at.is_some() => {
                let is_finished = run.is_started && run.finishes_at <= now;
                match (run.is_started, is_finished) {
                    (false, _) => Some(Finding::NeverStarted { may_start: true }),
                    (true, false) => None,
                    (true, true) => Some(Finding::Finished { usage: usage(), answer: None }),
                }
            }
            _ => Some(Finding::NeverStarted { may_start: false }),
        }
    }

    pub(crate) fn kill_entry(&mut self) {
        let number = self.sim.random.random_range(0..self.entries.len());
        let entry = &mut self.entries[number];
        entry.is_alive = false;
        entry.pending_opens.clear();
    }

    /// Pauses an entry, possibly for longer than its lease.
    pub(crate) fn pause_entry(&mut self) {
        let number = self.sim.random.random_range(0..self.entries.len());
        let time = Duration::from_millis(self.sim.random.random_range(100..6_000));
        self.entries[number].paused_until = self.sim.now() + time;
    }
}

fn usage() -> Usage {
    Usage { prompt_tokens: 10, completion_tokens: 5, cost: 0.5 }
}
