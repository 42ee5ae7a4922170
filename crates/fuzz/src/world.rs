//! Simulates operators, entries, endpoints and the network, and turns events into commands.
//!
//! Entries follow the protocol: they dispatch a request only after the log opened its record and
//! while their lease has not lapsed, and they close a record according to the phase of its
//! dispatch. The network duplicates, delays, reorders and loses their messages.

pub(crate) mod bundles;
mod entries;

use std::collections::BTreeMap;

use hickoryreel_base::name::Version;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::Pace;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::command::Step;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::order;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;

use crate::answer::Answer;
use crate::event::Allowed;
use crate::event::ENTRIES;
use crate::event::Event;
use crate::event::Order;
use crate::event::VERSIONS;
use crate::event::Write;
use crate::oracle::Oracle;

/// Time at the start, in milliseconds since the Unix epoch.
const START_MS: u64 = 1_000_000_000;

/// Phase of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The record is open; nothing was sent.
    Ready,
    /// The request was sent and can still start.
    Sent,
    /// The endpoint is running it.
    Running,
    Finished,
    /// The request can never start.
    Lost,
}

#[derive(Clone, Debug)]
struct Dispatch {
    open: Open,
    phase: Phase,
    /// Whether the entry sent a close, or moved the record elsewhere.
    is_closed: bool,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    incarnation: u64,
    is_alive: bool,
    attempt: u64,
    /// Opens and moves without an answer; a move is stored as the open that it amounts to.
    pending: Vec<Open>,
}

/// A run that an endpoint started.
#[derive(Clone, Debug)]
pub struct Start {
    /// Key of the request record.
    pub key: Key,
    /// The entry that sent the request.
    pub holder: Holder,
    /// Number of the dispatch.
    pub attempt: u64,
    /// Whether the request may run at most once.
    pub run_once: bool,
}

/// Effect of one event on the machine and the endpoints.
#[derive(Clone, Debug, Default)]
pub struct Effect {
    /// Commands for the log with the oracle's predicted answers, in order.
    pub commands: Vec<(Command, Answer)>,
    /// Runs that endpoints started.
    pub starts: Vec<Start>,
    /// Whether the machine is to be replaced by one restored from its snapshot.
    pub is_snapshot: bool,
}

/// State of everything outside the machine, and the oracle.
#[derive(Clone, Debug, Default)]
pub struct World {
    /// Effect of the newest event.
    pub effect: Effect,
    oracle: Oracle,
    at_ms: u64,
    skew_ms: i64,
    entries: Vec<Entry>,
    network: Vec<RecordChange>,
    dispatches: Vec<Dispatch>,
    writes: Vec<Operation>,
    request_times: BTreeMap<Key, u64>,
}

impl World {
    /// Creates a world in which a first bundle is in force that allows every version to every
    /// workspace.
    pub fn with_initial_bundle() -> Self {
        let entry = Entry { incarnation: 1, is_alive: true, ..Entry::default() };
        let entries = vec![entry; ENTRIES.into()];
        let mut world = Self { at_ms: START_MS, entries, ..Self::default() };
        world.issue(Action::SetLimits(limits(false)));
        world.publish([(1 << VERSIONS) - 1; 2], None);
        world
    }

    /// Simulates `event` and stores its effect in [`Self::effect`].
    pub fn apply(&mut self, event: &Event) {
        self.effect = Effect::default();
        match event {
            Event::Wait(ms) => self.at_ms += u64::from(*ms),
            Event::Skew(ms) => self.skew_ms = i64::from(*ms),
            Event::Write { operator, lag, reuse, write } => {
                self.issue_write(*operator, *lag, *reuse, write);
            }
            Event::Publish { allowed, restores } => self.publish(*allowed, *restores),
            Event::Resend(pick) => {
                if let Some(write) = self.writes.get(pick_index(*pick, self.writes.len())) {
                    self.issue(Action::Operate(write.clone()));
                }
            }
            Event::Step(ahead) => self.issue_step(*ahead),
            Event::Pace { ahead, parts } => self.issue_pace(*ahead, *parts),
            Event::Request(request) => self.receive_request(request),
            Event::Deliver { picks, keep, answered } => self.deliver(picks, *keep, *answered),
            Event::Proceed { pick, phases } => self.advance_dispatch(*pick, *phases),
            Event::Lose(pick) => self.lose_message(*pick),
            Event::Close { pick, ended } => self.close_record(*pick, *ended),
            Event::Move { pick, version } => self.move_record(*pick, *version),
            Event::Kill(entry) => self.kill_entry(*entry),
            Event::Lapse(entry) => self.issue(Action::Lapse(self.holder(*entry))),
            Event::Restart(entry) => self.restart_entry(*entry),
            Event::Settle { pick, reachable, hasty } => {
                self.settle_record(*pick, *reachable, *hasty)
            }
            Event::TakeFence => self.issue(Action::TakeFence { purpose: "any".into() }),
            Event::Order { controller, order } => self.issue_order_change(*controller, order),
            Event::Limits(are_wide) => self.issue(Action::SetLimits(limits(*are_wide))),
            Event::Snapshot => self.effect.is_snapshot = true,
        }
    }

    /// Adds a command to the effect of the current event, with the oracle's predicted answer.
    fn issue(&mut self, action: Action) {
        let at_ms = self.at_ms.saturating_add_signed(self.skew_ms);
        let command = Command { at_ms, action };
        let answer = self.oracle.apply(&command);
        self.effect.commands.push((command, answer));
    }

    fn issue_write(&mut self, operator: u8, lag: u8, reuse: bool, write: &Write) {
        let newest = self.oracle.bundle_count();
        let older_bundle = |back: u8| newest.saturating_sub(back.into());
        let running = self.oracle.running_roll_out().map_or(newest, |(bundle, _)| bundle);
        let change = match write {
            Write::Submit { allowed, restores } => {
                Change::Submit { text: bundles::register(&mut self.oracle, *allowed, *restores) }
            }
            Write::SubmitFaulty => Change::Submit { text: "[bundle]\nquality = 7\n".into() },
            Write::SignOff { back } => Change::SignOff { bundle: older_bundle(*back) },
            Write::RollOut { back } => Change::RollOut { bundle: older_bundle(*back) },
            Write::Advance { percent } => Change::Advance { bundle: running, percent: *percent },
            Write::Pause => Change::Pause { bundle: running },
            Write::Resume => Change::Resume { bundle: running },
            Write::Revert { back } => Change::Revert { bundle: older_bundle(*back) },
            Write::Withdraw { version: number } => {
                Change::Withdraw { version: version(*number), reason: "bad answers".into() }
            }
        };
        let number = self.writes.len() - usize::from(reuse);
        self.issue_operation(operator, lag, number, change);
    }

    fn publish(&mut self, allowed: Allowed, restores: Option<bool>) {
        let text = bundles::register(&mut self.oracle, allowed, restores);
        let bundle = self.oracle.bundle_count() + 1;
        let changes = [
            (0, Change::Submit { text }),
            (1, Change::SignOff { bundle }),
            (0, Change::RollOut { bundle }),
            (0, Change::Advance { bundle, percent: 100 }),
        ];
        for (operator, change) in changes {
            self.issue_operation(operator, 0, self.writes.len(), change);
        }
    }

    fn issue_operation(&mut self, operator: u8, lag: u8, number: usize, change: Change) {
        let operation = Operation {
            operator: ["ann", "ben", SYSTEM][usize::from(operator)].into(),
            request: number.to_string().into(),
            based_on: self.oracle.revision.saturating_sub(lag.into()),
            change,
        };
        self.writes.push(operation.clone());
        self.issue(Action::Operate(operation));
    }

    fn issue_step(&mut self, ahead: u8) {
        let (bundle, step) = self.oracle.running_roll_out().unwrap_or((1, 0));
        self.issue(Action::Step(Step { bundle, number: step + u32::from(ahead) }));
    }

    fn issue_pace(&mut self, ahead: u8, parts: u8) {
        let (bundle, step) = self.oracle.running_roll_out().unwrap_or((1, 0));
        self.issue(Action::Pace(Pace { bundle, step: step + u32::from(ahead), parts }));
    }

    fn issue_order_change(&mut self, controller: u8, order: &Order) {
        let holder = ["leader-1", "leader-2"][usize::from(controller)].into();
        let change = match order {
            Order::Lease => order::Change::Lease { holder, length_ms: 3_000 },
            Order::Release => order::Change::Release { holder },
            Order::Send(body) => order::Change::Send {
                holder,
                endpoint: "engine-1".into(),
                body: body.to_string().into(),
                expires_ms: self.at_ms + 5_000,
            },
            Order::End(fence) => {
                let result = order::End::Done;
                order::Change::Answered { fence: u64::from(*fence) % 16 + 1, result }
            }
        };
        self.issue(Action::Order(change));
    }
}

/// Narrow limits, which most cases reach, or wide ones.
fn limits(are_wide: bool) -> Limits {
    let standard = Limits { clock_skew_ms: 3_000, ..Limits::default() };
    if are_wide {
        return Limits { records: 12, record_age_ms: 120_000, ..standard };
    }
    Limits {
        records: 2,
        record_age_ms: 60_000,
        pins: 2,
        pin_age_ms: 30_000,
        answers: 4,
        answer_age_ms: 60_000,
        orders: 2,
        ..standard
    }
}

/// Maps `pick` to an index below `choices`; 0 if there are no choices.
fn pick_index(pick: u8, choices: usize) -> usize {
    usize::from(pick) % choices.max(1)
}

fn version(number: u8) -> Version {
    Version::from(format!("quill/v{number}"))
}
