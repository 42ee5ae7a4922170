//! Checks of the bytes that an endpoint sends before the head of an answer is complete.
//!
//! The HTTP client bounds each head, but it skips any number of interim answers before the final
//! one. An endpoint that sends them without end would keep the entry busy until the deadline. What the
//! [`Scanner`] finds only shows in the bytes, too.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use http::Response;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::head_scanner::Scanner;

/// Maximum bytes that are received before the head of an answer is complete. They include what one
/// read gets of the body.
pub const MAX_BYTES_BEFORE_HEAD: usize = 256 << 10;

/// Bytes received while the head of an answer is expected.
#[derive(Debug, Default)]
struct Received {
    bytes: usize,
    scanner: Scanner,
}

/// Check of the bytes received while the head of an answer is expected.
#[derive(Clone, Debug, Default)]
pub struct HeadCheck(Rc<RefCell<Option<Received>>>);

impl HeadCheck {
    /// Starts the check: a request is about to be sent.
    pub fn expect_head(&self) {
        *self.0.borrow_mut() = Some(Received::default());
    }

    /// Ends the check with the parsed head. Returns whether all of it was checked.
    pub fn accept_head<T>(&self, response: &Response<T>) -> bool {
        let received = self.0.borrow_mut().take();
        received.is_some_and(|received| received.scanner.matches(response))
    }

    /// Checks received bytes. Returns why they are refused.
    pub fn check(&self, bytes: &[u8]) -> Result<(), String> {
        let mut expected = self.0.borrow_mut();
        let Some(received) = expected.as_mut() else { return Ok(()) };
        received.bytes = received.bytes.saturating_add(bytes.len());
        if received.bytes > MAX_BYTES_BEFORE_HEAD {
            return Err("the endpoint sends too many bytes before the head of its answer".into());
        }
        received.scanner.scan(bytes).map_err(|fault| fault.to_string())
    }
}

/// A connection whose reads fail once a [`HeadCheck`] refuses what was read.
#[derive(Debug)]
pub struct CheckedStream {
    stream: TcpStream,
    check: HeadCheck,
}

impl CheckedStream {
    pub fn new(stream: TcpStream, check: HeadCheck) -> Self {
        Self { stream, check }
    }
}

impl AsyncRead for CheckedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Err(cause) = self.check.check(&buffer.filled()[before..]) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, cause)));
        }
        read
    }
}

impl AsyncWrite for CheckedStream {
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
