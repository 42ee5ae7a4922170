//! Retention of records, pins, answers, bundles and orders.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;

use common::Log;
use common::bundle;
use common::close;
use common::kind;
use common::submit;
use common::usage;
use common::version;

fn log_with_limits(limits: Limits) -> Log {
    let mut log = Log::with_versions(&["quill/v1", "quill/v2"]);
    log.apply(Action::SetLimits(limits));
    log
}

fn open_and_answer(log: &mut Log, open: &Open) {
    log.open(open);
    log.close(&close(open, End::Answered(usage())));
}

/// Guards against a request that runs again because its record was pruned (G4, G7), and against
/// totals that shrink when records are pruned.
#[test]
fn a_resend_after_its_record_was_pruned_is_refused() {
    let mut log = log_with_limits(Limits { records: 2, ..Limits::default() });
    let opens: Vec<Open> = (0..3)
        .map(|n| {
            log.at_ms += 1000;
            let open = log.opening(&n.to_string());
            open_and_answer(&mut log, &open);
            open
        })
        .collect();

    let resent = log.open(&Open { attempt: 2, ..opens[0].clone() });
    let kept = log.open(&Open { attempt: 2, ..opens[1].clone() });

    assert_eq!(kind(&resent), Some(Kind::RequestTooOld));
    assert_eq!(kept, Outcome::Repeat);
    assert_eq!(log.machine.bills().len(), 2);
    assert_eq!(log.machine.totals()["stall"].billed, 3);
}

/// Guards against keeping records forever, and against accepting an old request without a record.
#[test]
fn records_and_requests_expire() {
    let mut log = log_with_limits(Limits { record_age_ms: 10_000, ..Limits::default() });
    let open = log.opening("a");
    open_and_answer(&mut log, &open);
    log.at_ms += 10_001;
    let fresh = log.opening("b");
    log.open(&fresh);

    let old = log.open(&Open { request_ms: open.request_ms, ..log.opening("c") });

    assert_eq!(log.machine.record_of(&open.key), None);
    assert_eq!(kind(&old), Some(Kind::RequestTooOld));
    assert!(log.machine.record_of(&fresh.key).is_some());
}

/// Guards against pruning a record while its request runs.
#[test]
fn open_records_are_kept() {
    let mut log = log_with_limits(Limits { records: 0, record_age_ms: 1, ..Limits::default() });
    let open = log.opening("a");
    log.open(&open);
    log.at_ms += 1_000_000;
    log.apply(Action::TakeFence { purpose: "any".into() });

    let closed = log.close(&close(&open, End::Answered(usage())));

    assert_eq!(closed, Outcome::Closed);
    assert_eq!(log.machine.totals()["stall"].billed, 1);
}

/// Guards against accepting a request time that is far ahead. Once its record was pruned, all later
/// requests of the workspace would be refused as too old.
#[test]
fn a_request_time_in_the_future_is_refused() {
    let mut log = log_with_limits(Limits::default());
    let ahead_ms = log.at_ms + log.machine.limits().clock_skew_ms + 1;

    let outcome = log.open(&Open { request_ms: ahead_ms, ..log.opening("a") });

    assert_eq!(kind(&outcome), Some(Kind::MalformedRequest));
}

/// Guards against a busy workspace displacing the records of another one.
#[test]
fn the_record_limit_applies_per_workspace() {
    let mut log = log_with_limits(Limits { records: 1, ..Limits::default() });
    let quiet = Key { workspace: "lots".into(), request: "quiet".into() };
    let open = Open { key: quiet.clone(), ..log.opening("") };
    open_and_answer(&mut log, &open);
    for n in 0..3 {
        let open = log.opening(&n.to_string());
        open_and_answer(&mut log, &open);
    }

    assert!(log.machine.record_of(&quiet).is_some());
    assert_eq!(log.machine.bills().len(), 2);
}

/// Guards against keeping pins forever, and against dropping a pin that is in use.
#[test]
fn a_pin_is_kept_while_it_is_used() {
    let mut log = log_with_limits(Limits { pin_age_ms: 10_000, ..Limits::default() });
    let on = |log: &Log, request: &str, name: &str| Open {
        session: Some("basket".into()),
        target: version(name),
        ..log.opening(request)
    };
    log.open(&on(&log, "a", "quill/v1"));
    log.at_ms += 8_000;
    log.open(&on(&log, "b", "quill/v1"));
    log.at_ms += 8_000;
    let used = log.open(&on(&log, "c", "quill/v2"));
    log.at_ms += 10_001;
    log.apply(Action::TakeFence { purpose: "any".into() });

    let unused = log.open(&on(&log, "d", "quill/v2"));

    assert_eq!([used, unused], [Outcome::Pinned("quill/v1".into()), Outcome::Opened]);
}

/// Guards against applying a write twice when it is resent after its answer was pruned.
#[test]
fn a_resent_write_whose_answer_was_pruned_is_stale() {
    let mut log = log_with_limits(Limits { answers: 1, ..Limits::default() });
    let based_on = log.machine.config().revision;
    let change = submit(&bundle(&["quill/v1"]));
    log.operate("ann", "1", based_on, change.clone()).expect("the bundle is submitted");
    log.withdraw("quill/v2");

    let resent = log.operate("ann", "1", based_on, change);

    assert_eq!(resent.map_err(|error| error.kind), Err(Kind::StaleRevision));
}

/// Guards against keeping bundles forever, against reusing their ids, and against pruning the
/// bundle that a revert needs.
#[test]
fn old_bundles_are_pruned_but_the_previously_active_one_is_kept() {
    let mut log = log_with_limits(Limits { bundles: 2, ..Limits::default() });
    let active = log.publish(&bundle(&["quill/v2"]));
    for _ in 0..4 {
        log.write("ann", submit(&bundle(&["quill/v1"]))).expect("the bundle is submitted");
    }

    let ids: Vec<u64> = log.machine.submissions().keys().copied().collect();
    let reverted = log.write("ben", Change::Revert { bundle: 1 });

    assert_eq!(ids, [1, active, 5, 6]);
    assert_eq!(reverted.map(|accepted| accepted.bundle), Ok(Some(7)));
}
