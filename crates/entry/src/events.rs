//! Incremental scanner for server-sent events.
//!
//! [`Scanner::push`] takes chunks as they arrive and returns the complete events. An event inside
//! one chunk is a slice of it; only events that span chunks are copied.

use std::borrow::Cow;
use std::ops::Range;

use bytes::Bytes;

/// One complete event, including the blank line at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    pub bytes: Bytes,
    /// Position in the chunk that ended it; `None` if it spans chunks.
    pub range: Option<Range<usize>>,
}

/// The event is larger than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooLarge;

#[derive(Clone, Debug)]
pub struct Scanner {
    partial: Vec<u8>,
    /// Whether the current line is empty so far.
    is_line_empty: bool,
    limit: usize,
}

impl Scanner {
    /// Creates a scanner that accepts events of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { partial: Vec::new(), is_line_empty: true, limit }
    }

    /// Scans `chunk` and appends the events that end in it to `found`.
    pub fn push(&mut self, chunk: &Bytes, found: &mut Vec<Event>) -> Result<(), TooLarge> {
        let mut start = 0;
        let mut line_start = 0;
        for newline in memchr::memchr_iter(b'\n', chunk) {
            let is_empty = chunk[line_start..newline].iter().all(|byte| *byte == b'\r');
            if self.is_line_empty && is_empty {
                self.end_event(chunk, start..newline + 1, found)?;
                start = newline + 1;
            }
            self.is_line_empty = true;
            line_start = newline + 1;
        }
        self.is_line_empty =
            self.is_line_empty && chunk[line_start..].iter().all(|byte| *byte == b'\r');
        if self.partial.len() + chunk.len() - start > self.limit {
            return Err(TooLarge);
        }
        self.partial.extend_from_slice(&chunk[start..]);
        Ok(())
    }

    fn end_event(
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
        // Skips blank lines between events.
        if event.bytes.iter().any(|byte| !matches!(byte, b'\r' | b'\n')) {
            found.push(event);
        }
        Ok(())
    }
}

/// The fields of an event that the protocol uses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a> {
    /// Offset of the event in its run, from the `id:` line.
    pub offset: Option<u64>,
    /// The `data:` lines, joined by newlines; empty for a comment.
    pub data: Cow<'a, [u8]>,
}

impl Event {
    /// Parses the fields. An `id:` line that is not a number leaves the offset absent.
    pub fn fields(&self) -> Fields<'_> {
        let mut fields = Fields::default();
        for line in self.bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field_value(line, b"id:") {
                fields.offset = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
            } else if let Some(value) = field_value(line, b"data:") {
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

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
