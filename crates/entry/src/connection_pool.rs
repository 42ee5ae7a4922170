//! Pool of HTTP connections to endpoints.
//!
//! Every request carries a [`SendCheck`] that is called again immediately before its first byte is
//! written to the socket. The gate of a connection also tracks whether any byte was written, so a
//! request that fails before the first write is known not to have run.

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

/// Decides whether a request may still be sent.
pub type SendCheck = Box<dyn Fn() -> error::Result<()> + Send + Sync>;

/// Limits of the connection pool.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum idle connections to one endpoint.
    pub max_idle: usize,
    /// Time after which an idle connection is not used again.
    pub idle_timeout: Duration,
}

#[derive(Clone, Debug)]
pub enum Failure {
    /// No byte of the request was written.
    NotSent(Error),
    /// The request was written, at least in part.
    Sent(Error),
}

impl Failure {
    pub fn into_error(self) -> Error {
        match self {
            Self::NotSent(error) | Self::Sent(error) => error,
        }
    }
}

/// Pool of connections to all endpoints.
#[derive(Debug)]
pub struct ConnectionPool {
    settings: Settings,
    idle: Mutex<HashMap<SocketAddr, Vec<(Instant, Connection)>>>,
}

/// A connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
    gate: Arc<Gate>,
    /// Whether it has carried a request before the current one.
    reused: bool,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: Settings) -> Self {
        Self { settings, idle: Mutex::default() }
    }

    /// Sends `request` and waits at most `timeout` for the response head. `fresh` requires a new
    /// connection.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        fresh: bool,
        timeout: Duration,
        check: SendCheck,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let check: Arc<SendCheck> = Arc::new(check);
        let deadline = tokio::time::Instant::now() + timeout;
        if !fresh && let Some(mut connection) = self.take_idle(address) {
            let retry = clone_request(&request);
            match connection.exchange(request, deadline, Arc::clone(&check)).await {
                Ok(response) => return Ok((response, connection)),
                // The endpoint closed the idle connection before anything was written.
                Err(Failure::NotSent(_)) if connection.gate.is_open() => {
                    return self.send_fresh(address, retry, deadline, check).await;
                }
                Err(failure) => return Err(failure),
            }
        }
        self.send_fresh(address, request, deadline, check).await
    }

    async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        deadline: tokio::time::Instant,
        check: Arc<SendCheck>,
    ) -> Result<(Response<Incoming>, Connection), Failure> {
        let mut connection = self.connect(address).await.map_err(Failure::NotSent)?;
        let response = connection.exchange(request, deadline, check).await?;
        Ok((response, connection))
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn put_idle(&self, mut connection: Connection) {
        connection.reused = true;
        let mut idle = self.idle.lock();
        let connections = idle.entry(connection.address).or_default();
        // The oldest connections are at the front, because the most recent one is used first.
        let timeout = self.settings.idle_timeout;
        let expired =
            connections.iter().take_while(|(since, _)| since.elapsed() >= timeout).count();
        connections.drain(..expired);
        if connections.len() < self.settings.max_idle {
            connections.push((Instant::now(), connection));
        }
    }

    /// Drops the idle connections to an endpoint, after one connection to it became unresponsive.
    pub fn drop_idle(&self, address: SocketAddr) {
        self.idle.lock().remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.lock();
        let connections = idle.get_mut(&address)?;
        while let Some((since, connection)) = connections.pop() {
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
        let gated_stream = GatedStream { stream, gate: Arc::clone(&gate) };
        let (sender, driver) =
            http1::handshake(TokioIo::new(gated_stream)).await.map_err(|cause| failed(&cause))?;
        // Errors of the connection are reported by the exchange on it.
        tokio::spawn(driver);
        Ok(Connection { address, sender, gate, reused: false })
    }
}

/// Copies a request, so that it can be sent again.
pub fn clone_request(request: &Request<Full<Bytes>>) -> Request<Full<Bytes>> {
    let mut copy = Request::new(request.body().clone());
    *copy.method_mut() = request.method().clone();
    *copy.uri_mut() = request.uri().clone();
    *copy.headers_mut() = request.headers().clone();
    copy
}

impl Connection {
    /// Whether it has carried a request before the current one. A response to that one may arrive
    /// late, or twice.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        deadline: tokio::time::Instant,
        check: Arc<SendCheck>,
    ) -> Result<Response<Incoming>, Failure> {
        self.gate.reset(check);
        match tokio::time::timeout_at(deadline, self.sender.send_request(request)).await {
            Ok(sent) => sent.map_err(|cause| self.gate.classify(&cause)),
            Err(_) => {
                let message = "the endpoint did not respond in time";
                Err(self.gate.close(Error::new(Kind::EndpointTimeout, message)))
            }
        }
    }
}

/// Runs the check of a request before its first write.
#[derive(Default)]
struct Gate {
    /// Whether the current request was written, at least in part.
    written: AtomicBool,
    /// Locked during the check and the first write, so that [`Gate::close`] cannot run between
    /// them.
    state: Mutex<GateState>,
}

#[derive(Default)]
struct GateState {
    check: Option<Arc<SendCheck>>,
    refused: Option<Error>,
}

impl std::fmt::Debug for Gate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Gate").field("written", &self.written).finish_non_exhaustive()
    }
}

impl Gate {
    fn reset(&self, check: Arc<SendCheck>) {
        let mut state = self.state.lock();
        *state = GateState { check: Some(check), refused: None };
        self.written.store(false, Ordering::Release);
    }

    /// Whether the request was not refused, neither by its check nor by [`Gate::close`].
    fn is_open(&self) -> bool {
        self.state.lock().refused.is_none()
    }

    /// Refuses the request from now on, unless it was already written.
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
        let decision = match (&state.refused, &state.check) {
            (Some(error), _) => Err(error.clone()),
            (None, Some(check)) => check(),
            (None, None) => Ok(()),
        };
        if let Err(error) = decision {
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

    fn classify(&self, cause: &hyper::Error) -> Failure {
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

struct GatedStream {
    stream: TcpStream,
    gate: Arc<Gate>,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
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
