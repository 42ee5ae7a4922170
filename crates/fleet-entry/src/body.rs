//! Bodies of responses to clients.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::client_memory::Hold;
use crate::entry::RequestGuard;
use crate::memory::Reservation;

/// The source of a stream failed and the response is incomplete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream was interrupted")]
pub struct StreamInterrupted;

/// Memory that is released when a part has been written.
#[derive(Debug, From)]
#[expect(dead_code, reason = "the fields release their memory when they are dropped")]
enum Held {
    Answer(Reservation),
    Stream(Hold),
}

/// Bytes of a body. The connection drops it when all of them are written.
#[derive(Debug, Default)]
pub struct Part {
    bytes: Bytes,
    #[expect(dead_code, reason = "it releases its memory when it is dropped")]
    held: Option<Held>,
}

impl Part {
    /// Creates a part of a stream, and the memory that it takes.
    pub fn of_stream(bytes: Bytes, hold: Hold) -> Self {
        Self { bytes, held: Some(hold.into()) }
    }
}

impl Buf for Part {
    fn remaining(&self) -> usize {
        self.bytes.len()
    }

    fn chunk(&self) -> &[u8] {
        &self.bytes
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        if self.bytes.is_empty() {
            *self = Self::default();
        }
    }
}

/// A chunk of a stream.
#[derive(Debug)]
pub enum Chunk {
    Data(Part),
    /// End of a complete stream.
    End,
}

enum Source {
    Whole(Part),
    /// A stream that is interrupted if all senders are dropped before [`Chunk::End`].
    Chunks(mpsc::Receiver<Chunk>),
}

/// Body of a response.
pub struct Body {
    source: Source,
    /// Counts the request as outstanding until the last byte is written.
    guard: Option<RequestGuard>,
}

impl Body {
    /// Creates a body from bytes that are all in memory.
    pub fn whole(bytes: Bytes) -> Self {
        Self { source: Source::Whole(Part { bytes, held: None }), guard: None }
    }

    /// Creates a body from an answer, and the memory that it takes.
    pub fn answer(bytes: Bytes, memory: Reservation) -> Self {
        let part = Part { bytes, held: Some(memory.into()) };
        Self { source: Source::Whole(part), guard: None }
    }

    /// Creates a body whose chunks arrive over time.
    pub fn chunks(chunks: mpsc::Receiver<Chunk>) -> Self {
        Self { source: Source::Chunks(chunks), guard: None }
    }

    /// Keeps `guard` until the body is dropped.
    pub fn set_guard(&mut self, guard: RequestGuard) {
        self.guard = Some(guard);
    }
}

impl hyper::body::Body for Body {
    type Data = Part;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Part>, StreamInterrupted>>> {
        match &mut self.source {
            Source::Whole(part) if part.has_remaining() => {
                Poll::Ready(Some(Ok(Frame::data(std::mem::take(part)))))
            }
            Source::Whole(_) => Poll::Ready(None),
            Source::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(part)) => Some(Ok(Frame::data(part))),
                Some(Chunk::End) => None,
                None => Some(Err(StreamInterrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(part) if !part.has_remaining())
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(part) => SizeHint::with_exact(part.remaining() as u64),
            Source::Chunks(_) => SizeHint::default(),
        }
    }
}
