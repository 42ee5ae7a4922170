//! The event scanner, with input split at every byte.

use bytes::Bytes;
use hickoryreel_entry::events::Event;
use hickoryreel_entry::events::Scanner;
use hickoryreel_entry::events::TooLarge;
use yare::parameterized;

const PLAIN: &str = "id: 0\ndata: {\"a\":\"x\"}\n\nid: 1\ndata: {\"a\":\"\u{e9}\u{1f389}\"}\n\n";
const CARRIAGE_RETURNS: &str = "id: 0\r\ndata: {}\r\n\r\nid: 1\r\ndata: []\r\n\r\n";
const COMMENTS: &str = "\n: ping\n\nid: 0\ndata: a\ndata: b\n\n\n\nid: 1\ndata: c\n\n";

fn scan(chunks: &[&[u8]]) -> Vec<Event> {
    let mut scanner = Scanner::new(1_024);
    let mut found = Vec::new();
    for chunk in chunks {
        scanner.push(&Bytes::copy_from_slice(chunk), &mut found).expect("below the limit");
    }
    found
}

fn bytes(events: &[Event]) -> Vec<Vec<u8>> {
    events.iter().map(|event| event.bytes.to_vec()).collect()
}

/// Guards against events that are lost, duplicated or altered when they span chunks.
#[parameterized(
    plain = { PLAIN, 2 },
    carriage_returns = { CARRIAGE_RETURNS, 2 },
    comments_and_blank_lines = { COMMENTS, 3 },
)]
fn events_survive_a_split_at_every_byte(text: &str, count: usize) {
    let text = text.as_bytes();
    let whole = scan(&[text]);
    assert_eq!(whole.len(), count);
    for first in 0..=text.len() {
        for second in first..=text.len() {
            let found = scan(&[&text[..first], &text[first..second], &text[second..]]);
            let split = format!("split at {first} and {second}");
            assert_eq!(bytes(&found), bytes(&whole), "{split}");
            let fields = |events: &[Event]| {
                events.iter().map(|event| event.fields().offset).collect::<Vec<_>>()
            };
            assert_eq!(fields(&found), fields(&whole), "{split}");
        }
    }
}

/// Guards against copying events that lie inside one chunk: they must be slices of it.
#[test]
fn events_inside_one_chunk_are_not_copied() {
    let chunk = Bytes::from_static(PLAIN.as_bytes());
    let mut found = Vec::new();
    Scanner::new(1_024).push(&chunk, &mut found).expect("below the limit");
    let inside = chunk.as_ptr_range();
    assert!(found.iter().all(|event| inside.contains(&event.bytes.as_ptr())));
}

/// Guards against unbounded memory use by an event that does not end.
#[test]
fn endless_event_is_refused() {
    let mut scanner = Scanner::new(1_024);
    let mut found = Vec::new();
    let chunk = Bytes::from(vec![b'x'; 600]);
    assert_eq!(scanner.push(&chunk, &mut found), Ok(()));
    assert_eq!(scanner.push(&chunk, &mut found), Err(TooLarge));
}
