//! Finds bytes that don't belong to the answer in front of it or in its head.
//!
//! An endpoint may send bytes after the end of an answer. If they arrive once the next request is on
//! its way, the HTTP client takes them for the beginning of its answer: part of a status line or of a
//! header then swallows the status line that follows. The parsed head can't show this, but the bytes
//! do, because the true status line is still complete in them.

use std::fmt;

use http::Response;

/// First bytes of each head.
const START: &[u8] = b"HTTP/1.";

/// Length of a status line up to the end of the code.
const CODE_END: usize = START.len() + "1 200".len();

/// A reason to distrust the bytes that were received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A head does not begin with a status line.
    NoStatusLine,
    /// A status line begins within a head.
    SecondStatusLine,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoStatusLine => "the answer does not begin with a status line",
            Self::SecondStatusLine => "a status line begins within the head of the answer",
        })
    }
}

/// Reads the bytes of an answer until the end of its final head.
#[derive(Clone, Debug, Default)]
pub struct Scanner {
    /// Bytes of the present head so far.
    length: usize,
    /// The latest bytes, the last one lowest.
    latest: u128,
    status: u16,
    /// Header lines of the present head that are complete.
    headers: usize,
    is_in_status_line: bool,
    /// Bytes of the present line, without its end.
    line_length: usize,
    is_complete: bool,
}

impl Scanner {
    /// Reads more bytes.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        for byte in bytes {
            if self.is_complete {
                break;
            }
            self.push(*byte)?;
        }
        Ok(())
    }

    /// Whether the final head, as the HTTP client has parsed it, is the one that was read. It is not if
    /// the client had received part of it before the request was sent.
    pub fn matches<T>(&self, response: &Response<T>) -> bool {
        self.is_complete
            && response.status().as_u16() == self.status
            && response.headers().len() == self.headers
    }

    fn push(&mut self, byte: u8) -> Result<(), Fault> {
        if self.length < START.len() && byte != START[self.length] {
            return Err(Fault::NoStatusLine);
        }
        self.is_in_status_line |= self.length == 0;
        self.length += 1;
        self.latest = self.latest << 8 | u128::from(byte);
        if let Some(status) = self.latest_code() {
            if self.length != CODE_END {
                return Err(Fault::SecondStatusLine);
            }
            self.status = status;
        }
        match byte {
            b'\n' => self.end_line(),
            b'\r' => {}
            _ => self.line_length += 1,
        }
        Ok(())
    }

    /// The status code, if the latest bytes are the beginning of a status line up to it.
    fn latest_code(&self) -> Option<u16> {
        let bytes = self.latest.to_be_bytes();
        let line = &bytes[bytes.len() - CODE_END..];
        let (version, code) = (&line[START.len()..START.len() + 2], &line[CODE_END - 3..]);
        let is_start = line.starts_with(START)
            && version[0].is_ascii_digit()
            && version[1] == b' '
            && code.iter().all(u8::is_ascii_digit);
        is_start.then(|| code.iter().fold(0, |code, digit| code * 10 + u16::from(digit - b'0')))
    }

    fn end_line(&mut self) {
        let is_blank = self.line_length == 0;
        self.line_length = 0;
        if self.is_in_status_line {
            self.is_in_status_line = false;
        } else if !is_blank {
            self.headers += 1;
        } else if (100..200).contains(&self.status) && self.status != 101 {
            // An interim answer: another head follows.
            *self = Self::default();
        } else {
            self.is_complete = true;
        }
    }
}
