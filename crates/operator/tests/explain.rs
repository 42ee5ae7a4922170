//! Collecting the events of one request from logs.

use hickoryreel_operator::ops::events::of_request;

const LOG: &str = r#"
   0.1 edge-1 {"msg":"endpoint changed","ts_ms":900,"id":"edge-1","program":"entry","endpoint":"e1"}
{"msg":"request ended","ts_ms":1300,"id":"edge-1","program":"entry","request":"r1","endpoint":"e2"}
{"msg":"send failed","ts_ms":1200,"id":"edge-1","program":"entry","request":"r1","endpoint":"e1"}
{"msg":"request ended","ts_ms":1250,"id":"edge-1","program":"entry","request":"r2","endpoint":"e1"}
{"msg":"endpoint changed","ts_ms":1000,"id":"edge-1","program":"entry","endpoint":"e3"}
{"msg":"endpoint changed","ts_ms":99000,"id":"edge-1","program":"entry","endpoint":"e1"}
a line that is cut {"msg":
"#;

/// Guards against events of the request that are missing or out of order, and against included
/// events of other requests, of other endpoints or from outside the time window.
#[test]
fn events_of_a_request_and_its_endpoints_are_in_order() {
    let events = of_request("r1", LOG.lines());

    let times: Vec<i64> = events.iter().map(|event| event.at_ms).collect();
    assert_eq!(times, [900, 1_200, 1_300]);
    assert_eq!(
        events[1].text(events[0].at_ms),
        r#"   0.300 s  entry edge-1: send failed endpoint="e1" request="r1""#
    );
}

/// Guards against events of other requests being returned for an unknown request id.
#[test]
fn unknown_request_has_no_events() {
    assert!(of_request("r9", LOG.lines()).is_empty());
}
