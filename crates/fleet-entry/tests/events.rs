//! Splitting of a stream into whole events.

use hickoryreel_fleet_entry::relay::Events;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\nda";

/// Guards against events that are lost, repeated or forwarded in part, wherever the stream is split
/// into reads.
#[test]
fn events_are_whole_at_every_split() {
    for split in 0..STREAM.len() {
        let mut events = Events::default();
        let mut passed = Vec::new();
        for bytes in [&STREAM[..split], &STREAM[split..]] {
            passed.extend(events.push(bytes).into_iter().flat_map(|batch| batch.bytes));
        }

        assert!(STREAM.starts_with(&passed) && passed.ends_with(b"data: c\n\n"));
        assert_eq!(events.last_id(), Some(3));
        assert!(events.is_partial());
    }
}
