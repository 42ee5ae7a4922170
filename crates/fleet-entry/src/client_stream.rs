//! Connection of a client, which fails when the client stops reading.
//!
//! What waits for a client is bounded, but it is held until the client takes it or closes its
//! connection. A client that accepts nothing for a time loses its connection, so that the answers of
//! clients that have died do not take the memory of others.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Bytes that the kernel takes from the entry before it can send them. The default buffer of a socket
/// grows to 4 MiB, for each client that reads slowly; data on its way to the client is not limited.
const MAX_UNSENT_BYTES: u32 = 64 << 10;

/// A connection whose writes fail if the client accepts no byte for a time.
#[derive(Debug)]
pub struct ClientStream {
    stream: TcpStream,
    /// Time without an accepted byte after which a write fails.
    max_stall: Duration,
    /// Present while a write waits.
    stall: Option<Pin<Box<Sleep>>>,
}

impl ClientStream {
    pub fn new(stream: TcpStream, max_stall: Duration) -> Self {
        // An event would wait for the acknowledgement of the previous one. The stream works without
        // the options.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self { stream, max_stall, stall: None }
    }

    /// Ends a write that has waited for too long.
    fn check_stall<T>(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let max_stall = self.max_stall;
        let stall = self.stall.get_or_insert_with(|| Box::pin(tokio::time::sleep(max_stall)));
        stall.as_mut().poll(context).map(|()| Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_stall(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check_stall(context, written)
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
