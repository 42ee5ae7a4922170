//! Snapshots: replaying the log from any snapshot gives the same state, outcomes and revision.

mod common;

use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::order;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Settle;
use hickoryreel_state::snapshot::RestoreError;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use common::START_MS;
use common::bundle;
use common::bundle_with;
use common::close;
use common::holder;
use common::open;
use common::stored_answer;
use common::usage;
use common::version;

const COMMAND_COUNT: usize = 400;

/// A history of [`COMMAND_COUNT`] commands that reaches every part of the state.
fn history(seed: u64) -> Vec<Command> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut at_ms = START_MS;
    let mut current = Machine::default();
    let mut commands = Vec::new();
    for index in 1..=COMMAND_COUNT as u64 {
        at_ms += random.random_range(0..3_000);
        let action = if index == 1 {
            Action::SetLimits(Limits { records: 10, pins: 3, answers: 5, ..Limits::default() })
        } else {
            action(&mut random, &current, at_ms)
        };
        let command = Command { at_ms, action };
        current.apply(index, &command);
        commands.push(command);
    }
    commands
}

fn action(random: &mut StdRng, current: &Machine, at_ms: u64) -> Action {
    match random.random_range(0..10) {
        0..3 => operation(random, current),
        3..8 => Action::Records((0..8).map(|_| record(random, current, at_ms)).collect()),
        8 => Action::Lapse(holder(incarnation_at(at_ms))),
        _ => Action::Order(match random.random_range(0..2) {
            0 => order::Change::Lease { holder: "a".into(), length_ms: 3_000 },
            _ => order::Change::Send {
                holder: "a".into(),
                endpoint: "engine-1".into(),
                body: random.random_range(0..9).to_string().into(),
                expires_ms: at_ms + 1_000,
            },
        }),
    }
}

/// Incarnation of the entry that a lapse at this time ends; it grows by 1 each minute.
fn incarnation_at(at_ms: u64) -> u64 {
    (at_ms - START_MS) / 60_000
}

fn operation(random: &mut StdRng, current: &Machine) -> Action {
    let newest = current.submissions().keys().last().copied().unwrap_or(0);
    let withdrawn = current.withdrawals().get("quill/v1").map(|found| found.revision);
    let restores = withdrawn.map(|found| format!("restores = {found}")).unwrap_or_default();
    let change = match random.random_range(0..10) {
        0..2 => Change::Submit { text: bundle(&["quill/v1", "quill/v2"]).into() },
        2 => Change::Submit { text: bundle_with(&["quill/v1"], &restores).into() },
        3..5 => Change::SignOff { bundle: newest },
        5..7 => Change::RollOut { bundle: newest },
        7 => Change::Advance { bundle: newest, percent: random.random_range(1..=100) },
        8 => Change::Revert { bundle: random.random_range(1..=newest.max(1)) },
        _ => Change::Withdraw { version: "quill/v1".into(), reason: "bad answers".into() },
    };
    Action::Operate(Operation {
        operator: ["ann", "ben"][random.random_range(0..2)].into(),
        request: random.random_range(0..1_000).to_string().into(),
        based_on: current.config().revision,
        change,
    })
}

fn record(random: &mut StdRng, current: &Machine, at_ms: u64) -> RecordChange {
    // Request ids grow with time, so that most records are closed at some point.
    let newest = (at_ms - START_MS) / 10_000;
    let open = Open {
        holder: holder(incarnation_at(at_ms) + random.random_range(0..2)),
        attempt: random.random_range(1..4),
        target: version(["quill/v1", "quill/v2"][random.random_range(0..2)]),
        run_once: random.random_bool(0.5),
        session: random.random_bool(0.5).then(|| random.random_range(0..5).to_string().into()),
        revision: current.config().revision,
        request_ms: at_ms,
        ..open(&(newest + random.random_range(0..8)).to_string())
    };
    let holder_and_attempt =
        current.record_of(&open.key).map(|record| (record.holder.clone(), record.attempt));
    let (holder, attempt) = holder_and_attempt.unwrap_or((open.holder.clone(), open.attempt));
    match random.random_range(0..8) {
        0..5 => RecordChange::Open(open),
        5..7 => {
            let closing = close(&open, End::Answered(usage()));
            RecordChange::Close(Close { holder, attempt, answer: Some(stored_answer()), ..closing })
        }
        _ => {
            let finding = Finding::NeverStarted { may_start: false };
            RecordChange::Settle(Settle { key: open.key, holder, attempt, finding })
        }
    }
}

fn replay(machine: &mut Machine, first: usize, commands: &[Command]) -> Vec<Outcome> {
    let numbered = commands.iter().enumerate();
    numbered.map(|(n, command)| machine.apply((first + n) as u64, command)).collect()
}

/// Guards against state that is missing from snapshots. A replica that catches up by snapshot would
/// then answer differently from the others.
#[test]
fn replay_from_a_snapshot_at_any_index_equals_a_full_replay() {
    let commands = history(7);
    let mut whole = Machine::default();
    let outcomes = replay(&mut whole, 1, &commands);
    let mut prefix = Machine::default();

    for index in 0..=commands.len() {
        let mut restored = Machine::restore(&prefix.snapshot()).expect("the snapshot is read");
        assert_eq!(restored.digest(), prefix.digest(), "at index {index}");
        let rest = replay(&mut restored, index + 1, &commands[index..]);
        assert_eq!(rest, outcomes[index..], "after index {index}");
        assert_eq!(restored, whole, "after index {index}");
        assert_eq!(restored.config().revision, whole.config().revision);
        assert_eq!(restored.digest(), whole.digest());
        if let Some(command) = commands.get(index) {
            prefix.apply(index as u64 + 1, command);
        }
    }
    // Check that the history made many changes and bills, and that some records were pruned.
    let billed = whole.totals()["stall"].billed;
    assert!(whole.config().revision > 20 && billed > 20, "{billed} bills");
    assert!(whole.bills().len() < billed as usize, "no record was pruned");
}

/// Guards against applying a command twice when a replica replays its log.
#[test]
fn a_log_index_is_applied_once() {
    let commands = history(8);
    let mut machine = Machine::default();
    replay(&mut machine, 1, &commands);
    let before = machine.clone();

    let outcomes = replay(&mut machine, 1, &commands);

    assert!(outcomes.iter().all(|outcome| *outcome == Outcome::AlreadyApplied));
    assert_eq!(machine, before);
}

/// Guards against decoding a truncated snapshot or one in another encoding.
#[test]
fn an_unreadable_snapshot_is_refused() {
    let mut snapshot = Machine::default().snapshot();
    let truncated = Machine::restore(&snapshot[..snapshot.len() - 1]);
    snapshot[0] = 0;

    let other = Machine::restore(&snapshot);

    assert_eq!(truncated.err(), Some(RestoreError::Contents));
    assert_eq!(other.err(), Some(RestoreError::Version { found: 0 }));
    assert_eq!(Machine::restore(&[]).err(), Some(RestoreError::Empty));
}
