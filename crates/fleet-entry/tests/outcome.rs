//! Checks the decision table for ended sends against its invariants.

use hickoryreel_fleet_entry::answer::Refusal;
use hickoryreel_fleet_entry::outcome::Delivered;
use hickoryreel_fleet_entry::outcome::Fallback;
use hickoryreel_fleet_entry::outcome::Next;
use hickoryreel_fleet_entry::outcome::Runs;
use hickoryreel_fleet_entry::outcome::SendEnd;
use hickoryreel_fleet_entry::outcome::decide;
use proptest::prelude::*;

fn ended() -> impl Strategy<Value = SendEnd> {
    prop_oneof![
        Just(SendEnd::NotRun),
        Just(SendEnd::NotSent),
        Just(SendEnd::NotAdmitted),
        Just(SendEnd::EndpointFailed),
        Just(SendEnd::Unknown),
        Just(SendEnd::DeadlineExceeded),
    ]
}

fn says_not_run(refusal: Refusal) -> bool {
    matches!(refusal.answer().0.as_u16(), 408 | 421 | 429 | 503)
}

proptest! {
    /// Guards against a second run of a request that may run only once, a refusal that states "not
    /// run" for a request that may have run, an interrupted answer that looks complete, and a send
    /// after the deadline.
    #[test]
    fn decisions_for_the_sends_of_a_request(
        ends in prop::collection::vec(ended(), 1..6),
        repeatable: bool,
        passed_at in 0_usize..6,
    ) {
        let runs = if repeatable { Runs::Repeatable } else { Runs::Once };
        let mut ran = false;
        for (turn, ended) in ends.into_iter().enumerate() {
            let delivered = if turn >= passed_at { Delivered::Partial } else { Delivered::Nothing };
            let may_have_run = !matches!(
                ended,
                SendEnd::NotRun | SendEnd::NotSent | SendEnd::NotAdmitted
            );
            ran |= may_have_run;
            let (again, fallback) = match decide(ended, runs, delivered, ran) {
                Next::Retry(fallback) => (true, fallback),
                Next::End(fallback) => (false, fallback),
            };
            if let Fallback::Refuse(refusal) = fallback {
                prop_assert!(!(ran && says_not_run(refusal)));
                prop_assert_eq!(delivered, Delivered::Nothing);
            }
            prop_assert_eq!(fallback == Fallback::Abort, delivered == Delivered::Partial);
            prop_assert!(!again || repeatable || (!ran && delivered == Delivered::Nothing));
            prop_assert!(
                !again || !matches!(ended, SendEnd::DeadlineExceeded | SendEnd::NotAdmitted)
            );
            if !again {
                break;
            }
        }
    }
}
