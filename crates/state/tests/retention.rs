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

fn limited(limits: Limits) -> Log {
    let mut log = Log::with(&["quill/v1", "quill/v2"]);
    log.apply(Action::SetLimits(limits));
    log
}

fn answer(log: &mut Log, open: &Open) {
    log.open(open);
    log.close(&close(open, End::Answered(usage())));
}

/// Guards against a request that runs again because its record was dropped (G4, G7), and against
/// totals that shrink with the records.
#[test]
fn a_resend_after_the_record_was_dropped_is_refused() {
    let mut log = limited(Limits { records: 2, ..Limits::default() });
    let opens: Vec<Open> = (0..3)
        .map(|n| {
            log.at_ms += 1000;
            let open = log.opening(&n.to_string());
            answer(&mut log, &open);
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

/// Guards against records kept forever, and against old requests that never had a record.
#[test]
fn records_and_requests_age() {
    let mut log = limited(Limits { record_age_ms: 10_000, ..Limits::default() });
    let open = log.opening("a");
    answer(&mut log, &open);
    log.at_ms += 10_001;
    let fresh = log.opening("b");
    log.open(&fresh);

    let old = log.open(&Open { request_ms: open.request_ms, ..log.opening("c") });

    assert_eq!(log.machine.record_of(&open.key), None);
    assert_eq!(kind(&old), Some(Kind::RequestTooOld));
    assert!(log.machine.record_of(&fresh.key).is_some());
}

/// Guards against a record that is dropped while its request runs.
#[test]
fn open_records_are_kept() {
    let mut log = limited(Limits { records: 0, record_age_ms: 1, ..Limits::default() });
    let open = log.opening("a");
    log.open(&open);
    log.at_ms += 1_000_000;
    log.apply(Action::TakeFence { purpose: "any".into() });

    let closed = log.close(&close(&open, End::Answered(usage())));

    assert_eq!(closed, Outcome::Closed);
    assert_eq!(log.machine.totals()["stall"].billed, 1);
}

/// Guards against a caller whose clock is ahead making every later request too old.
#[test]
fn a_request_time_in_the_future_is_refused() {
    let mut log = limited(Limits::default());
    let ahead_ms = log.at_ms + log.machine.limits().clock_skew_ms + 1;

    let outcome = log.open(&Open { request_ms: ahead_ms, ..log.opening("a") });

    assert_eq!(kind(&outcome), Some(Kind::MalformedRequest));
}

/// Guards against a busy workspace that displaces the records of another.
#[test]
fn records_are_counted_per_workspace() {
    let mut log = limited(Limits { records: 1, ..Limits::default() });
    let quiet = Key { workspace: "lots".into(), request: "quiet".into() };
    let open = Open { key: quiet.clone(), ..log.opening("") };
    answer(&mut log, &open);
    for n in 0..3 {
        let open = log.opening(&n.to_string());
        answer(&mut log, &open);
    }

    assert!(log.machine.record_of(&quiet).is_some());
    assert_eq!(log.machine.bills().len(), 2);
}

/// Guards against pins kept forever, and against a pin that is dropped while it is in use.
#[test]
fn a_pin_is_kept_while_it_is_used() {
    let mut log = limited(Limits { pin_age_ms: 10_000, ..Limits::default() });
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

/// Guards against a resent write that is applied twice after its answer was dropped.
#[test]
fn a_resent_write_whose_answer_was_dropped_is_stale() {
    let mut log = limited(Limits { answers: 1, ..Limits::default() });
    let based_on = log.machine.config().revision;
    let change = submit(&bundle(&["quill/v1"]));
    log.operate("ann", "1", based_on, change.clone()).expect("the bundle is submitted");
    log.withdraw("quill/v2");

    let resent = log.operate("ann", "1", based_on, change);

    assert_eq!(resent.map_err(|error| error.kind), Err(Kind::StaleRevision));
}

/// Guards against bundles kept forever, against reused ids, and against the loss of the bundle
/// that a revert needs.
#[test]
fn old_bundles_are_dropped_but_the_one_before_the_active_one_is_kept() {
    let mut log = limited(Limits { bundles: 2, ..Limits::default() });
    let active = log.publish(&bundle(&["quill/v2"]));
    for _ in 0..4 {
        log.write("ann", submit(&bundle(&["quill/v1"]))).expect("the bundle is submitted");
    }

    let ids: Vec<u64> = log.machine.submissions().keys().copied().collect();
    let reverted = log.write("ben", Change::Revert { bundle: 1 });

    assert_eq!(ids, [1, active, 5, 6]);
    assert_eq!(reverted.map(|accepted| accepted.bundle), Ok(Some(7)));
}
