//! Operator writes: concurrent writes, resends, sign-off and invalid bundles.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::machine::Stage;

use common::Log;
use common::bundle;
use common::submit;

/// Guards against accepting two writes that are based on the same revision.
#[test]
fn the_second_of_two_concurrent_writes_is_refused_with_the_newest_revision() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let newest = log.machine.config().revision;
    let text = bundle(&["quill/v1", "quill/v2"]);

    let first = log.operate("ann", "1", newest, submit(&text));
    let second = log.operate("ben", "1", newest, submit(&text));

    assert_eq!(first.map(|accepted| accepted.revision), Ok(newest + 1));
    let error = second.expect_err("the second write is based on an old revision");
    assert_eq!(error.kind, Kind::StaleRevision);
    assert!(error.message.contains(&(newest + 1).to_string()), "{error}");
}

/// Guards against applying a write twice, or refusing it as stale, when it is resent after a lost
/// answer.
#[test]
fn a_resend_gets_the_first_answer() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let newest = log.machine.config().revision;
    let change = submit(&bundle(&["quill/v1"]));
    let first = log.operate("ann", "1", newest, change.clone());
    let refused = log.operate("ben", "1", newest, change.clone());
    log.withdraw("quill/v1");

    let resent = log.operate("ann", "1", newest, change.clone());
    let resent_refused = log.operate("ben", "1", newest, change);

    assert_eq!((resent, resent_refused), (first, refused));
    assert_eq!(log.machine.submissions().len(), 2);
}

/// Guards against giving the answer of one write to another write with the same request id.
#[test]
fn a_request_id_is_not_reused_for_another_write() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let newest = log.machine.config().revision;
    let first = log.operate("ann", "1", newest, submit(&bundle(&["quill/v1"])));

    let other = log.operate("ann", "1", newest + 1, Change::SignOff { bundle: 2 });

    assert!(first.is_ok());
    assert_eq!(other.map_err(|error| error.kind), Err(Kind::RequestIdReused));
}

/// Guards against a refused write that consumes a revision or a bundle id.
#[test]
fn an_invalid_bundle_changes_nothing() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let before = log.machine.config().clone();

    let invalid = log.write("ann", submit("[bundle]\nquality-target = 7\n"));

    assert_eq!(invalid.map_err(|error| error.kind), Err(Kind::InvalidBundle));
    assert_eq!(*log.machine.config(), before);
    let next = log.write("ann", submit(&bundle(&["quill/v1"])));
    assert_eq!(next.map(|accepted| accepted.bundle), Ok(Some(2)));
}

/// Guards against a bundle that is signed off by its submitter or by the control plane.
#[test]
fn a_bundle_is_signed_off_by_another_operator_only() {
    let mut log = Log::with_versions(&["quill/v1"]);
    log.write("ann", submit(&bundle(&["quill/v1"]))).expect("the bundle is submitted");

    let own = log.write("ann", Change::SignOff { bundle: 2 });
    let system = log.write(SYSTEM, Change::SignOff { bundle: 2 });
    let other = log.write("ben", Change::SignOff { bundle: 2 });

    assert_eq!(own.map_err(|error| error.kind), Err(Kind::WrongState));
    assert_eq!(system.map_err(|error| error.kind), Err(Kind::NotAllowed));
    assert!(other.is_ok());
    assert_eq!(log.machine.submissions()[&2].stage, Stage::SignedOff);
}
