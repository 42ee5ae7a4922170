//! Runs the stateful fuzzing briefly with a fixed seed.

use hickoryreel_fuzz::harness::ANSWER_COUNTS;
use hickoryreel_fuzz::run;

const SEED: u64 = 20_261_204;
const CASES: u32 = 60;
const MAX_EVENTS: usize = 300;

/// Labels of answers that the run must produce; otherwise some guarantees are not exercised.
const REQUIRED_ANSWERS: [&str; 29] = [
    "operation accepted",
    "operation InvalidBundle",
    "operation NotAllowed",
    "operation NotFound",
    "operation RequestIdReused",
    "operation StaleRevision",
    "operation WrongState",
    "order accepted",
    "order NoLease",
    "order NotFound",
    "order WrongState",
    "record AlreadyAnswered",
    "record AlreadyClosed",
    "record Answered",
    "record Closed",
    "record MalformedRequest",
    "record Moved",
    "record NoLease",
    "record NotAllowed",
    "record NotFound",
    "record Opened",
    "record OutcomeUnknown",
    "record Pinned",
    "record Repeat",
    "record RequestIdReused",
    "record RequestTooOld",
    "record StaleRevision",
    "record StillRunning",
    "record WrongState",
];

/// Guards against sequences of events that break a guarantee of the control state machine and that
/// the feature tests don't cover, and against a run that doesn't produce the required answers.
#[test]
fn the_guarantees_hold_for_a_fixed_seed() {
    let report = run::run(SEED, CASES, MAX_EVENTS).unwrap_or_else(|failure| panic!("{failure:?}"));

    assert_eq!(report.cases, CASES);
    let counts = ANSWER_COUNTS.lock().expect("no case panicked while it held the lock").clone();
    let missing: Vec<&str> =
        REQUIRED_ANSWERS.into_iter().filter(|label| !counts.contains_key(*label)).collect();
    assert_eq!(missing, [""; 0], "{counts:?}");
}
