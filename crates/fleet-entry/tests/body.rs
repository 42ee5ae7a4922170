//! Bodies of responses to clients.

use hickoryreel_fleet_entry::body::Body;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Guards against a stream that looks complete because its relay ended without a word, for example by
/// a panic.
#[tokio::test]
async fn stream_without_an_explicit_end_is_interrupted() {
    let (sender, receiver) = mpsc::channel(1);
    let mut body = Body::chunks(receiver);

    drop(sender);

    assert!(body.frame().await.is_some_and(|frame| frame.is_err()));
}
