//! Fencing tokens, the order lease and orders.

mod common;

use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_state::command::Action;
use hickoryreel_state::machine::Outcome;
use hickoryreel_state::order::Accepted;
use hickoryreel_state::order::Change;
use hickoryreel_state::order::End;
use hickoryreel_state::order::Progress;

use common::Log;

fn order(log: &mut Log, change: Change) -> Result<Accepted, Error> {
    match log.apply(Action::Order(change)) {
        Outcome::Order(result) => result,
        other => panic!("expected the answer to an order, found {other:?}"),
    }
}

fn lease(log: &mut Log, holder: &str) -> Result<Accepted, Error> {
    order(log, Change::Lease { holder: holder.into(), length_ms: 3_000 })
}

fn send(log: &mut Log, holder: &str, body: &str) -> Result<Accepted, Error> {
    let expires_ms = log.at_ms + 10_000;
    let (holder, endpoint) = (holder.into(), "engine-1".into());
    order(log, Change::Send { holder, endpoint, body: body.into(), expires_ms })
}

fn kind(result: Result<Accepted, Error>) -> Option<Kind> {
    result.err().map(|error| error.kind)
}

/// Guards against assigning a fencing token twice.
#[test]
fn fencing_tokens_increase() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let fences: Vec<Outcome> =
        (0..3).map(|_| log.apply(Action::TakeFence { purpose: "any".into() })).collect();

    assert_eq!(fences, [1, 2, 3].map(Outcome::Fence));
}

/// Guards against two controllers sending orders at the same time. Fencing tokens don't prevent
/// this for an engine that ignores them.
#[test]
fn the_lease_changes_hands_only_after_its_expiry_and_the_send_delay() {
    let mut log = Log::with_versions(&["quill/v1"]);
    let unavailable_ms = 3_000 + log.machine.limits().order_send_ms;
    lease(&mut log, "a").expect("the lease is free");
    log.at_ms += unavailable_ms;
    let early = lease(&mut log, "b");
    log.at_ms += 1;

    let late = lease(&mut log, "b");
    let old = send(&mut log, "a", "load quill/v1");
    let new = send(&mut log, "b", "load quill/v1");

    assert_eq!(kind(early), Some(Kind::WrongState));
    assert!(matches!(late, Ok(Accepted::Lease(lease)) if lease.fence == 2));
    assert_eq!(kind(old), Some(Kind::NoLease));
    assert_eq!(new, Ok(Accepted::Order(3)));
}

/// Guards against recording orders under an expired lease.
#[test]
fn no_order_is_recorded_under_an_expired_lease() {
    let mut log = Log::with_versions(&["quill/v1"]);
    lease(&mut log, "a").expect("the lease is free");
    log.at_ms += 3_000;

    let expired = send(&mut log, "a", "load quill/v1");
    let renewed = lease(&mut log, "a");
    let sent = send(&mut log, "a", "load quill/v1");

    assert_eq!(kind(expired), Some(Kind::NoLease));
    assert!(renewed.is_ok() && sent.is_ok());
}

/// Guards against an order that is executed twice because it was resent under another fencing
/// token, and against a result that is overwritten by a later one.
#[test]
fn an_unfinished_order_keeps_its_number_and_its_first_result() {
    let mut log = Log::with_versions(&["quill/v1"]);
    lease(&mut log, "a").expect("the lease is free");
    let first = send(&mut log, "a", "load quill/v1");
    let repeated = send(&mut log, "a", "load quill/v1");
    let other = send(&mut log, "a", "load quill/v2");
    order(&mut log, Change::Observed { fence: 2, result: End::Done }).expect("it is recorded");
    order(&mut log, Change::Answered { fence: 2, result: End::Failed }).expect("it is accepted");
    let after = send(&mut log, "a", "load quill/v1");

    assert_eq!([&first, &repeated], [&Ok(Accepted::Order(2)); 2]);
    assert_eq!([other, after], [Ok(Accepted::Order(3)), Ok(Accepted::Order(4))]);
    assert_eq!(log.machine.orders()[&2].progress, Progress::Observed(End::Done));
}
