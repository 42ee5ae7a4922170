//! Bodies of responses to clients.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::entry::RequestGuard;

/// The source of a stream failed and the response is incomplete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream was interrupted")]
pub struct StreamInterrupted;

/// A chunk of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Chunk {
    Data(Bytes),
    /// End of a complete stream.
    End,
}

enum Source {
    Whole(Option<Bytes>),
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
        Self { source: Source::Whole(Some(bytes)), guard: None }
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
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|bytes| !bytes.is_empty()).map(|bytes| Ok(Frame::data(bytes))),
            ),
            Source::Chunks(chunks) => chunks.poll_recv(context).map(|chunk| match chunk {
                Some(Chunk::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Chunk::End) => None,
                None => Some(Err(StreamInterrupted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Source::Chunks(_) => SizeHint::default(),
        }
    }
}
