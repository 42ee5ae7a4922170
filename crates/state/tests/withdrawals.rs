//! Withdrawals and their effect on opens, pins, roll-outs and later bundles.

mod common;

use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::SYSTEM;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Outcome;

use common::Log;
use common::bundle;
use common::bundle_with;
use common::kind;
use common::version;

const BOTH: [&str; 2] = ["quill/v1", "quill/v2"];

fn in_session(open: Open) -> Open {
    Open { session: Some("basket".into()), ..open }
}

/// Guards against new work on a withdrawn version (G2).
#[test]
fn a_withdrawn_version_opens_no_record() {
    let mut log = Log::with_versions(&BOTH);
    log.withdraw("quill/v1");

    let outcome = log.open(&log.opening("a"));

    assert_eq!(kind(&outcome), Some(Kind::StaleRevision));
}

/// Guards against work on a version that the workspace may not use (G1).
#[test]
fn a_version_outside_the_bundles_opens_no_record() {
    let mut log = Log::with_versions(&["quill/v1"]);

    let outcome = log.open(&Open { target: version("quill/v2"), ..log.opening("a") });

    assert_eq!(kind(&outcome), Some(Kind::NotAllowed));
}

/// Guards against refusing a withdrawal by the control plane because of a concurrent write.
#[test]
fn a_withdrawal_by_control_needs_no_base_revision_and_pauses_the_roll_out() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let id = log.signed_off(&bundle(&BOTH));
    log.write("ann", Change::RollOut { bundle: id }).expect("the roll-out starts");
    let change = Change::Withdraw { version: "quill/v2".into(), reason: "error rate".into() };

    let withdrawn = log.operate(SYSTEM, "health-1", 0, change.clone()).expect("it is accepted");
    let again = log.operate(SYSTEM, "health-2", 0, change).expect("it is accepted again");

    assert_eq!(withdrawn.revision, again.revision);
    let withdrawal = &log.machine.withdrawals()["quill/v2"];
    assert_eq!((&*withdrawal.by, &*withdrawal.reason), (SYSTEM, "error rate"));
    assert!(log.machine.roll_out().is_some_and(|running| running.paused));
}

/// Guards against accepting the withdrawal of a mistyped name.
#[test]
fn an_unknown_version_is_not_withdrawn() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let change = Change::Withdraw { version: "quil/v1".into(), reason: "typo".into() };

    let refused = log.write("ann", change);

    assert_eq!(refused.map_err(|error| error.kind), Err(Kind::NotFound));
}

/// Guards against a bundle or a revert that restores a withdrawn version unintentionally.
#[test]
fn a_version_is_restored_only_by_naming_its_newest_withdrawal() {
    let mut log = Log::with_versions(&BOTH);
    let first = log.withdraw("quill/v1");
    log.publish(&bundle(&BOTH));
    let withdrawn_after_plain = log.machine.config().withdrawn.len();
    let text = bundle_with(&["quill/v1"], &format!("restores = {first}"));
    let restoring = log.publish(&text);
    let withdrawn_after_restoring = log.machine.config().withdrawn.len();
    log.withdraw("quill/v1");

    let stale = log.write("ann", common::submit(&text));
    log.write("ann", Change::Revert { bundle: restoring }).expect("the revert is accepted");

    assert_eq!((withdrawn_after_plain, withdrawn_after_restoring), (1, 0));
    assert_eq!(stale.map_err(|error| error.kind), Err(Kind::InvalidBundle));
    assert!(log.machine.config().withdrawn.contains("quill/v1"));
}

/// Guards against accepting an open from an entry that missed a withdrawal, after the version was
/// restored.
#[test]
fn an_open_routed_before_the_withdrawal_is_refused_after_the_restoration() {
    let mut log = Log::with_versions(&BOTH);
    let delayed = log.opening("a");
    let withdrawn = log.withdraw("quill/v1");
    log.publish(&bundle_with(&["quill/v1"], &format!("restores = {withdrawn}")));

    let outcome = log.open(&delayed);
    let fresh = log.open(&log.opening("b"));

    assert_eq!(kind(&outcome), Some(Kind::StaleRevision));
    assert_eq!(fresh, Outcome::Opened);
}

/// Guards against a session that changes its version (G3), and against one that stays on a
/// withdrawn version.
#[test]
fn a_session_keeps_its_version_until_it_is_withdrawn_and_moves_once() {
    let mut log = Log::with_versions(&BOTH);
    let on = |log: &Log, request: &str, name: &str| Open {
        target: version(name),
        ..in_session(log.opening(request))
    };
    log.open(&on(&log, "a", "quill/v1"));

    let other = log.open(&on(&log, "b", "quill/v2"));
    log.withdraw("quill/v1");
    let moved = log.open(&on(&log, "c", "quill/v2"));
    let resent = log.open(&on(&log, "c", "quill/v2"));
    let next = log.open(&on(&log, "d", "quill/v2"));

    assert_eq!(other, Outcome::Pinned("quill/v1".into()));
    assert_eq!([moved, resent, next], [Outcome::Moved, Outcome::Moved, Outcome::Opened]);
}

/// Guards against a session that can't be served because its workspace may no longer use its
/// version.
#[test]
fn a_session_leaves_a_version_that_its_workspace_may_no_longer_use() {
    let mut log = Log::with_versions(&BOTH);
    log.open(&in_session(log.opening("a")));
    log.publish(&bundle(&["quill/v2"]));

    let outcome = log.open(&Open { target: version("quill/v2"), ..in_session(log.opening("b")) });

    assert_eq!(outcome, Outcome::Moved);
}
