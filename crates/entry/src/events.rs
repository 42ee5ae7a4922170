//! Scanner for server-sent events.
//!
//! [`Scanner::push`] takes chunks as they arrive and returns the events that are whole. An event
//! inside one chunk is a slice of it; only the bytes of an event that spans chunks are copied.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;

/// One whole event, blank line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes.
    pub bytes: Bytes,
    /// Where it lies in the chunk that ended it; `None` when it spans chunks.
    pub range: Option<Range<usize>>,
}

/// The event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

/// Splits a byte stream into events.
#[derive(Clone, Debug)]
pub struct Scanner {
    partial: Vec<u8>,
    /// Whether the current line has no content so far.
    blank: bool,
    limit: usize,
}

impl Scanner {
    /// A scanner that accepts events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { partial: Vec::new(), blank: true, limit }
    }

    /// Takes in `chunk` and appends the events that it ends to `found`.
    pub fn push(&mut self, chunk: &Bytes, found: &mut Vec<Event>) -> Result<(), TooLarge> {
        let mut start = 0;
        let mut line = 0;
        for newline in memchr::memchr_iter(b'\n', chunk) {
            let empty = chunk[line..newline].iter().all(|byte| *byte == b'\r');
            if self.blank && empty {
                self.end(chunk, start..newline + 1, found)?;
                start = newline + 1;
            }
            self.blank = true;
            line = newline + 1;
        }
        self.blank = self.blank && chunk[line..].iter().all(|byte| *byte == b'\r');
        if self.partial.len() + chunk.len() - start > self.limit {
            return Err(TooLarge);
        }
        self.partial.extend_from_slice(&chunk[start..]);
        Ok(())
    }

    fn end(
        &mut self,
        chunk: &Bytes,
        range: Range<usize>,
        found: &mut Vec<Event>,
    ) -> Result<(), TooLarge> {
        if self.partial.len() + range.len() > self.limit {
            return Err(TooLarge);
        }
        let event = if self.partial.is_empty() {
            Event { bytes: chunk.slice(range.clone()), range: Some(range) }
        } else {
            self.partial.extend_from_slice(&chunk[range]);
            Event { bytes: Bytes::from(std::mem::take(&mut self.partial)), range: None }
        };
        // Blank lines between events carry nothing.
        if event.bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            found.push(event);
        }
        Ok(())
    }
}

/// The fields of an event that the protocol uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    /// Offset from the `id:` line.
    pub offset: Option<u64>,
    /// The data; empty for a comment.
    pub data: Cow<'a, [u8]>,
}

impl Event {
    /// Reads the fields. An `id:` line that is no number reads as absent.
    pub fn fields(&self) -> Fields<'_> {
        let mut fields = Fields::default();
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = value(line, b"id:") {
                fields.offset = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            } else if let Some(value) = value(line, b"data:") {
                if fields.data.is_empty() {
                    fields.data = Cow::Borrowed(value);
                } else {
                    let data = fields.data.to_mut();
                    data.push(b'\n');
                    data.extend_from_slice(value);
                }
            }
        }
        fields
    }
}

fn value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
