//! Limit on the bytes that an endpoint sends before the head of an answer is complete.
//!
//! The HTTP client bounds each head, but it skips any number of interim answers before the final
//! one. An endpoint that sends them without end would keep the entry busy until the deadline.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Maximum bytes that are received before the head of an answer is complete. They include what one
/// read gets of the body.
pub const MAX_BYTES_BEFORE_HEAD: usize = 256 << 10;

/// Count of the bytes received while the head of an answer is expected.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Starts to count: a request is about to be sent.
    pub fn expect_head(&self) {
        self.0.set(Some(0));
    }

    /// Stops to count: the head has arrived.
    pub fn head_received(&self) {
        self.0.set(None);
    }

    /// Counts received bytes. Returns whether they are within the limit.
    pub fn record(&self, bytes: usize) -> bool {
        let Some(received) = self.0.get() else { return true };
        let received = received.saturating_add(bytes);
        self.0.set(Some(received));
        received <= MAX_BYTES_BEFORE_HEAD
    }
}

/// A connection whose reads fail once a [`HeadLimit`] is exceeded.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if !self.limit.record(buffer.filled().len() - before) {
            let cause = "the endpoint sends too many bytes before the head of its answer";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        read
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
