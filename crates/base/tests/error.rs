//! Responses of the error kinds.

use std::collections::BTreeSet;

use hickoryreel_base::error::Body;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_base::error::Ran;

/// Guards against two kinds that a caller cannot distinguish.
#[test]
fn codes_are_unique() {
    let codes: BTreeSet<&str> = Kind::ALL.iter().map(|kind| kind.answer().code).collect();

    assert_eq!(codes.len(), Kind::ALL.len());
}

/// Guards against a retry hint in a response to work that ran.
#[test]
fn retry_is_not_suggested_for_work_that_ran() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let may_not_have_run = answer.ran != Ran::Yes;
        assert!(answer.retry_after_s.is_none() || may_not_have_run, "{kind:?}");
        assert!((400..600).contains(&answer.status), "{kind:?}");
    }
}

/// Guards against an incompatible change of the response body, which callers parse.
#[test]
fn body_has_code_message_and_ran() {
    let error = Error::new(Kind::QueueFull, "the queue of rank bulk is full");

    let json = serde_json::to_string(&Body::from(&error)).expect("the body is JSON");

    assert_eq!(
        json,
        r#"{"error":{"code":"queue_full","message":"the queue of rank bulk is full","ran":"no"}}"#
    );
}
