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

use crate::entry::Guard;

/// The source of a stream is lost; the response must not look complete.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stream broke off")]
pub struct BrokenOff;

/// A piece of a stream, or its failure.
pub type Piece = Result<Bytes, BrokenOff>;

enum Source {
    Whole(Option<Bytes>),
    /// A stream that ends when all senders are gone.
    Pieces(mpsc::Receiver<Piece>),
}

/// Body of a response.
pub struct Body {
    source: Source,
    /// Counts the request as open until the last byte is written.
    guard: Option<Guard>,
}

impl Body {
    /// A body that is known at once.
    pub fn whole(bytes: Bytes) -> Self {
        Self { source: Source::Whole(Some(bytes)), guard: None }
    }

    /// A body whose pieces arrive over time.
    pub fn pieces(pieces: mpsc::Receiver<Piece>) -> Self {
        Self { source: Source::Pieces(pieces), guard: None }
    }

    /// Keeps `guard` until the body is dropped.
    pub fn set_guard(&mut self, guard: Guard) {
        self.guard = Some(guard);
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(
                bytes.take().filter(|one| !one.is_empty()).map(|one| Ok(Frame::data(one))),
            ),
            Source::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(&self.source, Source::Whole(bytes) if bytes.as_ref().is_none_or(Bytes::is_empty))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |one| one.len() as u64))
            }
            Source::Pieces(_) => SizeHint::default(),
        }
    }
}
