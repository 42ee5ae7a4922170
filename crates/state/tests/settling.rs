//! Settling the records of an entry whose lease has lapsed.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Finding;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Settle;

use common::Log;
use common::close;
use common::holder;
use common::kind;
use common::run_once;
use common::stored_answer;
use common::usage;

fn settle(open: &Open, finding: Finding) -> RecordChange {
    let (key, holder) = (open.key.clone(), open.holder.clone());
    RecordChange::Settle(Settle { key, holder, attempt: open.attempt, finding })
}

fn finished() -> Finding {
    Finding::Finished { usage: usage(), answer: Some(stored_answer()) }
}

/// Guards against wrong ends of settled records: a false "not run" (G6), a second run of a run-once
/// request (G7), and a missing bill (G4). The rules are those of the design page.
#[yare::parameterized(
    ran = { finished(), End::Answered(usage()), false },
    never_started = { Finding::NeverStarted { may_start: false }, End::NotRun, true },
    may_start = { Finding::NeverStarted { may_start: true }, End::Unknown, false },
    cancelled = { Finding::Cancelled, End::Unknown, false },
    unreachable = { Finding::Unreachable, End::Unknown, false },
)]
fn a_finding_decides_the_end_and_whether_run_once_work_may_run_again(
    finding: Finding,
    end: End,
    runs_again: bool,
) {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = run_once(log.opening("a"));
    log.open(&open);
    log.apply(Action::Lapse(holder(1)));

    let outcome = log.record(settle(&open, finding));
    let resent = log.open(&Open { holder: holder(2), ..open.clone() });

    assert_eq!(outcome, Outcome::Closed);
    assert_eq!(resent == Outcome::Opened, runs_again);
    if !runs_again {
        assert_eq!(log.machine.record_of(&open.key).and_then(|record| record.end), Some(end));
    }
}

/// Guards against settling a record while its entry may still work on the request.
#[test]
fn records_are_settled_only_after_their_holder_lapsed() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = log.opening("a");
    log.open(&open);

    let early = log.record(settle(&open, finished()));
    log.apply(Action::Lapse(holder(1)));
    let unsettled = log.machine.unsettled();

    assert_eq!(kind(&early), Some(Kind::WrongState));
    assert_eq!(unsettled.len(), 1);
    assert!(log.machine.has_lapsed(&holder(1)) && !log.machine.has_lapsed(&holder(2)));
}

/// Guards against two bills or two ends of a record that is both settled and closed, or settled
/// twice.
#[test]
fn the_first_of_settle_and_close_takes_effect() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let (first, second) = (log.opening("a"), log.opening("b"));
    log.open(&first);
    log.open(&second);
    log.apply(Action::Lapse(holder(1)));
    log.record(settle(&first, Finding::Unreachable));
    log.close(&close(&second, End::Answered(usage())));

    let late_close = log.close(&close(&first, End::Answered(usage())));
    let late_settle = log.record(settle(&second, Finding::Unreachable));
    let again = log.record(settle(&first, finished()));

    assert_eq!([late_close, late_settle, again], [const { Outcome::AlreadyClosed }; 3]);
    assert_eq!(log.machine.bills().len(), 1);
    assert!(log.machine.unsettled().is_empty());
}

/// Guards against a late close by a lapsed entry that ends the run of the entry that took over.
#[test]
fn a_late_close_does_not_end_the_run_of_the_next_holder() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = run_once(log.opening("a"));
    log.open(&open);
    log.apply(Action::Lapse(holder(1)));
    log.record(settle(&open, Finding::NeverStarted { may_start: false }));
    log.open(&Open { holder: holder(2), ..open.clone() });

    let late = log.close(&close(&open, End::NotRun));

    assert_eq!(late, Outcome::AlreadyClosed);
    assert_eq!(log.machine.record_of(&open.key).map(|record| record.end), Some(None));
}
