//! A short run of the stateful fuzzing with a fixed seed.

use hickoryreel_fuzz::harness::ANSWERS;
use hickoryreel_fuzz::run;

const SEED: u64 = 20_261_204;
const CASES: u32 = 60;
const LENGTH: usize = 300;

/// Answers that the run has to reach; without them a guarantee is checked on nothing.
const REACHED: [&str; 29] = [
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

/// Guards against any guarantee of the control state machine being broken by a history that the
/// tests by feature don't have, and against a run that doesn't reach the interesting answers.
#[test]
fn the_guarantees_hold_for_a_fixed_seed() {
    let report = run::run(SEED, CASES, LENGTH).unwrap_or_else(|failure| panic!("{failure:?}"));

    assert_eq!(report.cases, CASES);
    let answers = ANSWERS.lock().expect("no other case failed").clone();
    let missing: Vec<&str> =
        REACHED.into_iter().filter(|label| !answers.contains_key(*label)).collect();
    assert_eq!(missing, [""; 0], "{answers:?}");
}
