//! The table of outcomes against a plain statement of what must hold.

use hickoryreel_fleet_entry::answer::Refusal;
use hickoryreel_fleet_entry::outcome::Ended;
use hickoryreel_fleet_entry::outcome::Next;
use hickoryreel_fleet_entry::outcome::Otherwise;
use hickoryreel_fleet_entry::outcome::Passed;
use hickoryreel_fleet_entry::outcome::Runs;
use hickoryreel_fleet_entry::outcome::next;
use proptest::prelude::*;

fn ended() -> impl Strategy<Value = Ended> {
    prop_oneof![
        Just(Ended::NotRun),
        Just(Ended::FailedThere),
        Just(Ended::Unknown),
        Just(Ended::OutOfTime),
    ]
}

fn says_not_run(refusal: Refusal) -> bool {
    matches!(refusal.answer().0.as_u16(), 408 | 421 | 429 | 503)
}

proptest! {
    /// Guards against a second run of a request that runs once, a refusal that says "not run" of a
    /// request that may have run, an answer that looks whole after a break, and a send after the
    /// time ran out.
    #[test]
    fn sends_of_a_request(
        ends in prop::collection::vec(ended(), 1..6),
        repeatable: bool,
        passed_at in 0_usize..6,
    ) {
        let runs = if repeatable { Runs::Repeatable } else { Runs::Once };
        let mut ran = false;
        for (turn, ended) in ends.into_iter().enumerate() {
            let passed = if turn >= passed_at { Passed::Part } else { Passed::Nothing };
            let may_have_run = ended != Ended::NotRun;
            ran |= may_have_run;
            let (again, otherwise) = match next(ended, runs, passed, ran) {
                Next::Again(otherwise) => (true, otherwise),
                Next::End(otherwise) => (false, otherwise),
            };
            if let Otherwise::Refuse(refusal) = otherwise {
                prop_assert!(!(ran && says_not_run(refusal)));
                prop_assert_eq!(passed, Passed::Nothing);
            }
            prop_assert_eq!(otherwise == Otherwise::BreakOff, passed == Passed::Part);
            prop_assert!(!again || repeatable || (!ran && passed == Passed::Nothing));
            prop_assert!(!again || ended != Ended::OutOfTime);
            if !again {
                break;
            }
        }
    }
}
