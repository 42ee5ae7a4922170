//! Request records: resends, billing, late closes, moves and cascades.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Move;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;
use hickoryreel_state::record::Run;
use hickoryreel_state::record::Usage;

use common::Log;
use common::close;
use common::holder;
use common::kind;
use common::run_once;
use common::stored_answer;
use common::usage;
use common::version;

fn resend(open: &Open) -> Open {
    Open { attempt: open.attempt + 1, ..open.clone() }
}

/// Guards against treating an open that its entry sends again as a resend by the caller. An entry
/// sends an open again when the answer was lost.
#[test]
fn a_duplicate_open_of_a_running_dispatch_is_accepted() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = log.opening("a");

    let outcomes = [log.open(&open), log.open(&open), log.open(&resend(&open))];

    assert_eq!(outcomes[..2], [Outcome::Opened, Outcome::Opened]);
    assert_eq!(kind(&outcomes[2]), Some(Kind::StillRunning));
}

/// Guards against billing a request twice (G4).
#[test]
fn a_request_is_billed_once() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = log.opening("a");
    log.open(&open);
    let answered = close(&open, End::Answered(usage()));
    let other = Close { holder: holder(2), ..answered.clone() };

    let outcomes = [log.close(&answered), log.close(&answered), log.close(&other)];
    let repeat = log.open(&resend(&open));

    assert_eq!(outcomes, [Outcome::Closed, Outcome::Closed, Outcome::AlreadyClosed]);
    assert_eq!(repeat, Outcome::Repeat);
    assert_eq!(log.machine.bills().len(), 1);
    assert_eq!(log.machine.totals()["stall"].billed, 1);
}

/// Guards against never billing a repeatable request because its first run was not billed.
#[test]
fn an_unbilled_repeatable_request_is_opened_again_and_billed() {
    for end in [End::NotRun, End::Unknown] {
        let mut log = Log::with_versions(&["quill/v1"]);
        let open = log.opening("a");
        log.open(&open);
        log.close(&close(&open, end));

        let again = log.open(&resend(&open));
        log.close(&close(&resend(&open), End::Answered(usage())));

        assert_eq!(again, Outcome::Opened);
        assert_eq!(log.machine.bills().len(), 1);
    }
}

/// Guards against a second run of a run-once request (G7).
#[yare::parameterized(
    answered = { Some(End::Answered(usage())), Some(Kind::AlreadyAnswered) },
    unknown = { Some(End::Unknown), Some(Kind::OutcomeUnknown) },
    running = { None, Some(Kind::StillRunning) },
    not_run = { Some(End::NotRun), None },
)]
fn a_run_once_request_runs_again_only_after_it_did_not_run(
    end: Option<End>,
    expected: Option<Kind>,
) {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = run_once(log.opening("a"));
    log.open(&open);
    if let Some(end) = end {
        log.close(&close(&open, end));
    }

    let outcome = log.open(&resend(&open));

    assert_eq!(kind(&outcome), expected);
    assert_eq!(outcome == Outcome::Opened, expected.is_none());
}

/// Guards against losing the answer to a run-once call, and against storing large answers.
#[test]
fn a_small_answer_to_a_run_once_request_is_returned_on_a_resend() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let small = run_once(log.opening("small"));
    let large = run_once(log.opening("large"));
    let body = vec![0; log.machine.limits().stored_bytes as usize + 1].into();
    log.open(&small);
    log.open(&large);
    let answered = |open: &Open| close(open, End::Answered(usage()));
    log.close(&Close { answer: Some(stored_answer()), ..answered(&small) });
    let answer = Some(hickoryreel_state::record::StoredAnswer { status: 200, body });
    log.close(&Close { answer, ..answered(&large) });

    let outcomes = [log.open(&resend(&small)), log.open(&resend(&large))];

    assert_eq!(outcomes[0], Outcome::Answered(stored_answer()));
    assert_eq!(kind(&outcomes[1]), Some(Kind::AlreadyAnswered));
}

/// Guards against a duplicate close of an ended dispatch that closes the next dispatch as not run,
/// after which a third run could start.
#[test]
fn a_duplicate_close_does_not_end_the_next_dispatch() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let first = run_once(log.opening("a"));
    let second = resend(&first);
    log.open(&first);
    let not_run = close(&first, End::NotRun);
    log.close(&not_run);
    log.open(&second);

    let outcomes = [log.close(&not_run), log.open(&first), log.open(&resend(&second))];

    assert_eq!(outcomes[0], Outcome::AlreadyClosed);
    assert_eq!(kind(&outcomes[1]), Some(Kind::StillRunning));
    assert_eq!(kind(&outcomes[2]), Some(Kind::StillRunning));
}

/// Guards against a delayed duplicate of an open that leaves a record open forever.
#[test]
fn a_duplicate_open_does_not_open_a_dispatch_that_ended() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = log.opening("a");
    log.open(&open);
    log.close(&close(&open, End::NotRun));

    let outcome = log.open(&open);

    assert_eq!(kind(&outcome), Some(Kind::WrongState));
}

/// Guards against giving the answer of one request to another request with the same id (G5).
#[test]
fn a_request_id_is_not_reused_for_another_request() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let open = log.opening("a");
    log.open(&open);

    let outcome = log.open(&Open { digest: 8, ..resend(&open) });

    assert_eq!(kind(&outcome), Some(Kind::RequestIdReused));
}

/// Guards against opens by an earlier incarnation of an entry, and by one whose lease has lapsed.
#[test]
fn an_older_or_lapsed_incarnation_opens_no_record() {
    let mut log = Log::with_versions(&["quill/v1"]);
    log.open(&Open { holder: holder(2), ..log.opening("a") });
    let older = log.open(&Open { holder: holder(1), ..log.opening("b") });
    log.apply(Action::Lapse(holder(2)));

    let lapsed = log.open(&Open { holder: holder(2), ..log.opening("c") });
    let next = log.open(&Open { holder: holder(3), ..log.opening("d") });

    assert_eq!([kind(&older), kind(&lapsed)], [Some(Kind::NoLease); 2]);
    assert_eq!(next, Outcome::Opened);
}

/// Guards against billing a cascade twice, and against losing the cost of its first run.
#[test]
fn a_cascade_has_one_bill_that_includes_the_cost_of_its_other_runs() {
    let mut log = Log::with_versions(&["quill/v1", "tome/v1"]);
    let open = log.opening("a");
    log.open(&open);
    let moving = Move {
        key: open.key.clone(),
        holder: open.holder.clone(),
        attempt: 2,
        target: version("tome/v1"),
        endpoint: "engine-2".into(),
        session: None,
        revision: open.revision,
    };
    let moved = log.record(RecordChange::Move(moving.clone()));
    let first = Run { version: "quill/v1".into(), usage: Usage { cost: 0.25, ..usage() } };
    let late = log.close(&close(&open, End::NotRun));

    let closing = close(&Open { attempt: 2, ..open }, End::Answered(usage()));
    let closed = log.close(&Close { runs: [first].into(), ..closing });

    assert_eq!([moved, late, closed], [Outcome::Opened, Outcome::AlreadyClosed, Outcome::Closed]);
    let bills = log.machine.bills();
    assert_eq!((bills.len(), &bills[0].target), (1, &version("tome/v1")));
    assert_eq!((bills[0].usage.cost, bills[0].runs_cost), (1.5, 0.25));
    log.withdraw("quill/v1");
    let late_move = log.record(RecordChange::Move(moving));
    assert_eq!(late_move, Outcome::AlreadyClosed);
}

/// Guards against a move that skips the checks of an open.
#[test]
fn a_move_to_a_withdrawn_version_is_refused() {
    let mut log = Log::with_versions(&["quill/v1", "quill/v2"]);
    let open = log.opening("a");
    log.open(&open);
    let revision = log.withdraw("quill/v2");

    let outcome = log.record(RecordChange::Move(Move {
        key: open.key,
        holder: open.holder,
        attempt: 2,
        target: version("quill/v2"),
        endpoint: "engine-2".into(),
        session: None,
        revision,
    }));

    assert_eq!(kind(&outcome), Some(Kind::StaleRevision));
}
