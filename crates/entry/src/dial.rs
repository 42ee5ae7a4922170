//! Connections to endpoints.
//!
//! Every request carries a [`Permit`] that is asked again immediately before its first byte is
//! written to the socket. The gate below it also knows whether any byte was written, so that a
//! failure before the first write is known to have run nothing.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hickoryreel_base::error;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a request may still be sent.
pub type Permit = Box<dyn Fn() -> error::Result<()> + Send + Sync>;

/// Limits of the connections.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Idle connections kept for one endpoint.
    pub idle_most: usize,
    /// Idle connections older than this are not used again.
    pub idle_timeout: Duration,
}

/// A failed exchange.
#[derive(Clone, Debug)]
pub enum Failure {
    /// No byte of the request was written.
    NotSent(Error),
    /// The request was written, at least in part.
    Sent(Error),
}

impl Failure {
    /// The error.
    pub fn error(self) -> Error {
        match self {
            Self::NotSent(error) | Self::Sent(error) => error,
        }
    }
}

/// Connections to all endpoints.
#[derive(Debug)]
pub struct Dial {
    settings: Settings,
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    gate: Arc<Gate>,
}

impl Dial {
    /// No connections yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, idle: Mutex::default() }
    }

    /// Sends `request` and waits at most `timeout` for the head of the answer. `fresh` asks for a
    /// new connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        timeout: Duration,
        permit: Permit,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let permit: Arc<Permit> = Arc::new(permit);
        let by = tokio::time::Instant::now() + timeout;
        if !fresh && let Some(mut connection) = self.checkout(address) {
            let again = copy(&request);
            match connection.exchange(request, by, Arc::clone(&permit)).await {
                Ok(response) => return Ok((response, connection)),
                // The endpoint closed the idle connection before anything was written.
                Err(Failure::NotSent(_)) if connection.gate.is_open() => {
                    return self.send_fresh(address, again, by, permit).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        self.send_fresh(address, request, by, permit).await
    }

    async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        by: tokio::time::Instant,
        permit: Arc<Permit>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let mut connection = self.connect(address).await.map_err(Failure::NotSent)?;
        let response = connection.exchange(request, by, permit).await?;
        Ok((response, connection))
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn keep(&self, connection: Connection) {
        let mut idle = self.idle.lock();
        let list = idle.entry(connection.address).or_default();
        // The oldest are at the front, because the latest one is used first.
        let timeout = self.settings.idle_timeout;
        let expired = list.iter().take_while(|(since, _)| since.elapsed() >= timeout).count();
        list.drain(..expired);
        if list.len() < self.settings.idle_most {
            list.push((Instant::now(), connection));
        }
    }

    /// Drops the idle connections to an endpoint, after one connection to it went silent.
    pub fn forget(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    fn checkout(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let list = idle.get_mut(&address)?;
        while let Some((since, connection)) = list.pop() {
            if connection.sender.is_ready() && since.elapsed() < self.settings.idle_timeout {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    async fn connect(&self, address: SocketAddr) -> error::Result<Connection> {
        let failed = |cause: &dyn std::fmt::Display| {
            Error::new(Kind::EndpointUnavailable, format!("cannot connect to {address}: {cause}"))
        };
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(self.settings.connect_timeout, connecting)
            .await
            .map_err(|_| failed(&"timed out"))?
            .map_err(|cause| failed(&cause))?;
        stream.set_nodelay(true).map_err(|cause| failed(&cause))?;
        let gate = Arc::new(Gate::default());
        let gated = Gated { stream, gate: Arc::clone(&gate) };
        let (sender, driver) =
            http1::handshake(TokioIo::new(gated)).await.map_err(|cause| failed(&cause))?;
        // An error of the connection reaches the exchange on it.
        tokio::spawn(driver);
        Ok(Connection { address, sender, gate })
    }
}

fn copy(request: &Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}

impl Connection {
    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        by: tokio::time::Instant,
        permit: Arc<Permit>,
    ) -> Result<Response<Incoming>, Failure> {
        self.gate.arm(permit);
        match tokio::time::timeout_at(by, self.sender.send_request(request)).await {
            Ok(sent) => sent.map_err(|cause| self.gate.failure(&cause)),
            Err(_) => {
                let message = "the endpoint did not answer in time";
                Err(self.gate.close(Error::new(Kind::EndpointTimeout, message)))
            }
        }
    }
}

/// Asks the permit of a request before its first write.
#[derive(Default)]
struct Gate {
    /// Whether the present request was written, at least in part.
    written: AtomicBool,
    /// Held over the check and the first write, so that [`Gate::close`] never comes in between.
    state: Mutex<GateState>,
}

#[derive(Default)]
struct GateState {
    permit: Option<Arc<Permit>>,
    refused: Option<Error>,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate").field("written", &self.written).finish_non_exhaustive()
    }
}

impl Gate {
    fn arm(&self, permit: Arc<Permit>) {
        let mut state = self.state.lock();
        *state = GateState { permit: Some(permit), refused: None };
        self.written.store(false, Ordering::Release);
    }

    /// Whether the permit has not refused the request.
    fn is_open(&self) -> bool {
        self.state.lock().refused.is_none()
    }

    /// Refuses the request from now on, unless it was written.
    fn close(&self, error: Error) -> Failure {
        let mut state = self.state.lock();
        if self.written.load(Ordering::Acquire) {
            return Failure::Sent(error);
        }
        let error = Error::new(Kind::EndpointUnavailable, error.message);
        Failure::NotSent(state.refused.get_or_insert(error).clone())
    }

    fn write(&self, write: impl FnOnce() -> Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if self.written.load(Ordering::Acquire) {
            return write();
        }
        let mut state = self.state.lock();
        let answer = match (&state.refused, &state.permit) {
            (Some(error), _) => Err(error.clone()),
            (None, Some(permit)) => permit(),
            (None, None) => Ok(()),
        };
        if let Err(error) = answer {
            let cause = io::Error::new(io::ErrorKind::PermissionDenied, error.to_string());
            state.refused = Some(error);
            return Poll::Ready(Err(cause));
        }
        let result = write();
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.written.store(true, Ordering::Release);
        }
        result
    }

    fn failure(&self, cause: &hyper::Error) -> Failure {
        if let Some(error) = self.state.lock().refused.clone() {
            return Failure::NotSent(error);
        }
        if self.written.load(Ordering::Acquire) {
            let message = format!("the endpoint failed: {cause}");
            Failure::Sent(Error::new(Kind::EndpointFailed, message))
        } else {
            let message = format!("the endpoint closed the connection: {cause}");
            Failure::NotSent(Error::new(Kind::EndpointUnavailable, message))
        }
    }
}

struct Gated {
    stream: TcpStream,
    gate: Arc<Gate>,
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = &mut *self;
        gate.write(|| Pin::new(stream).poll_write(context, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Self { stream, gate } = &mut *self;
        gate.write(|| Pin::new(stream).poll_write_vectored(context, slices))
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
