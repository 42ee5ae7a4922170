//! Roll-outs: steps, pauses, paces, reverts and exposure.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::FULL_PACE;
use hickoryreel_state::command::Pace;
use hickoryreel_state::machine::Stage;
use hickoryreel_state::record::Open;

use common::Log;
use common::bundle;
use common::version;

/// Minimum length of a step of the fixture's bundle, in milliseconds.
const STEP_MS: u64 = 60_000;

/// A log in which bundle 2, with the new version `quill/v2`, is being rolled out.
fn log_during_roll_out() -> Log {
    let mut log = Log::with_versions(&["quill/v1"]);
    let bundle = log.signed_off(&bundle(&["quill/v1", "quill/v2"]));
    log.write("ann", Change::RollOut { bundle }).expect("the roll-out starts");
    log
}

fn percent(log: &Log) -> Option<u8> {
    log.machine.config().candidate.as_ref().map(|candidate| candidate.percent)
}

/// Guards against two leaders both advancing a roll-out, and against steps that are cut short.
#[test]
fn steps_are_entered_once_in_order_and_not_early() {
    let mut log = log_during_roll_out();

    let first = log.step(2, 1);
    let again = log.step(2, 1);
    let early = log.step(2, 2);
    let skipped = log.step(2, 3);
    log.at_ms += STEP_MS;
    let second = log.step(2, 2);

    assert_eq!(first, again);
    assert_eq!(early.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(skipped.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(second.map(|accepted| accepted.revision), first.map(|first| first.revision + 1));
    assert_eq!(percent(&log), Some(50));
}

/// Guards against a bundle that is never put into force, and against refusing a resend of the last
/// step because the roll-out has ended.
#[test]
fn the_last_step_puts_the_bundle_into_force() {
    let mut log = log_during_roll_out();
    for number in 1..=3 {
        log.at_ms += STEP_MS;
        log.step(2, number).expect("the step is entered");
    }

    let again = log.step(2, 3);

    assert!(again.is_ok());
    assert_eq!(log.machine.config().active.as_ref().map(|active| active.bundle), Some(2));
    assert_eq!(log.machine.roll_out(), None);
    let stages = [1, 2].map(|id| log.machine.submissions()[&id].stage);
    assert_eq!(stages, [Stage::Superseded, Stage::Active]);
}

/// Guards against a paused roll-out that continues.
#[test]
fn a_paused_roll_out_waits_for_resume() {
    let mut log = log_during_roll_out();
    log.step(2, 1).expect("the first step is entered");
    log.write("ben", Change::Pause { bundle: 2 }).expect("the roll-out is paused");
    log.at_ms += STEP_MS;

    let paused = log.step(2, 2);
    let advanced = log.write("ann", Change::Advance { bundle: 2, percent: 50 });
    log.write("ben", Change::Resume { bundle: 2 }).expect("the roll-out is resumed");
    let resumed = log.step(2, 2);

    assert_eq!(paused.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(advanced.map_err(|error| error.kind), Err(Kind::WrongState));
    assert!(resumed.is_ok());
}

/// Guards against accepting an advance that lowers the share of traffic.
#[test]
fn the_share_of_traffic_does_not_decrease() {
    let mut log = log_during_roll_out();
    log.write("ann", Change::Advance { bundle: 2, percent: 30 }).expect("it advances");
    let before = log.machine.config().clone();

    let lower = log.write("ann", Change::Advance { bundle: 2, percent: 10 });

    assert_eq!(lower.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(*log.machine.config(), before);
    assert_eq!(log.machine.roll_out().map(|running| running.step), Some(1));
}

/// Guards against a revert that lowers the revision or leaves the candidate in place.
#[test]
fn a_revert_is_a_new_revision_with_old_content() {
    let mut log = log_during_roll_out();
    log.step(2, 1).expect("the first step is entered");
    let before = log.machine.config().revision;

    let reverted = log.write("ann", Change::Revert { bundle: 1 }).expect("the revert is accepted");

    let config = log.machine.config();
    assert_eq!((reverted.revision, reverted.bundle), (before + 1, Some(3)));
    assert_eq!(config.candidate, None);
    let active = config.active.as_ref().expect("a bundle is active");
    assert_eq!((active.bundle, &*active.text), (3, &*bundle(&["quill/v1"])));
    assert_eq!(log.machine.submissions()[&2].stage, Stage::Superseded);
}

/// Guards against a revert to content that was never fully in force.
#[test]
fn a_bundle_that_was_never_in_force_is_not_reverted_to() {
    let mut log = log_during_roll_out();

    let reverted = log.write("ann", Change::Revert { bundle: 2 });

    assert_eq!(reverted.map_err(|error| error.kind), Err(Kind::WrongState));
}

/// Guards against charging requests on old versions, or in earlier steps, to the exposure budget of
/// the current step.
#[test]
fn exposure_counts_opens_of_new_versions_in_the_step() {
    let mut log = log_during_roll_out();
    log.step(2, 1).expect("the first step is entered");
    log.open(&log.opening("old"));
    log.open(&Open { target: version("quill/v2"), ..log.opening("new") });
    log.at_ms += STEP_MS;
    log.step(2, 2).expect("the second step is entered");
    log.open(&Open { target: version("quill/v2"), ..log.opening("newer") });

    let running = log.machine.roll_out().expect("the roll-out is running");

    assert_eq!((running.exposed, running.exposed_total), (1, 2));
}

/// Guards against a held step that still exposes requests, against a pace that outlasts its step,
/// and against a late pace for an earlier step that changes the current one.
#[test]
fn a_pace_applies_to_its_step_only_and_changes_the_revision_once() {
    let mut log = log_during_roll_out();
    let entered = log.step(2, 1).expect("the step is entered").revision;
    let share =
        |log: &Log| log.machine.config().candidate.as_ref().map(|candidate| candidate.share());

    let held = log.pace(Pace { bundle: 2, step: 1, parts: 0 });
    let share_held = share(&log);
    let again = log.pace(Pace { bundle: 2, step: 1, parts: 0 });
    let above_full = log.pace(Pace { bundle: 2, step: 1, parts: FULL_PACE + 1 });
    log.at_ms += STEP_MS;
    log.step(2, 2).expect("the next step is entered");
    let late = log.pace(Pace { bundle: 2, step: 1, parts: 0 });

    assert_eq!(held.map(|accepted| accepted.revision), Ok(entered + 1));
    assert_eq!(again.map(|accepted| accepted.revision), Ok(entered + 1));
    assert_eq!(share_held, Some(0.0));
    assert_eq!(above_full.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(late.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(share(&log), Some(0.5));
}
