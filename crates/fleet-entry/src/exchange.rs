//! HTTP exchanges with an endpoint over a connection pool.
//!
//! A permission is checked right before a request is written: opening the connection may take long
//! enough for it to expire, for example if the process is paused meanwhile.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::time::boot_time;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::head_check::CheckedStream;
use crate::head_check::HeadCheck;

/// Over ten round trips between regions; TCP would resend a lost SYN only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which an idle connection is kept, unless the endpoint states a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Subtracted from the keep-alive time that an endpoint states, to allow for network delay.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Maximum idle time of a connection on which a request that may run only once is sent. The
/// endpoint may be closing an older one, which leaves the outcome of the request unknown.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(900);

/// Size of the read buffer in bytes, which also bounds the head of an answer.
const READ_BUFFER: usize = 64 << 10;

/// An open connection. Dropping it closes it at once, which cancels the request at the endpoint.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_timeout: Duration,
    head_check: HeadCheck,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Idle {
    connection: Connection,
    since: Duration,
}

/// Pool of idle connections to one endpoint.
pub struct Pool {
    address: SocketAddrV4,
    idle: RefCell<Vec<Idle>>,
}

/// Reason why a send got no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unreachable(String),
    /// The permission to send ended before the request was written.
    Withdrawn,
    /// The connection failed after the request was written, at least in part.
    Lost(String),
}

/// An answer whose body has not been read.
pub struct Exchange {
    /// Goes back to the pool after the whole body has been read.
    pub connection: Connection,
    pub response: Response<Incoming>,
}

impl Pool {
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, idle: RefCell::default() }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections whose idle timeout has passed.
    pub fn expire(&self) {
        let now = boot_time();
        self.idle.borrow_mut().retain(|entry| now < entry.since + entry.connection.idle_timeout);
    }

    fn take(&self, fresh: bool) -> Option<Connection> {
        let now = boot_time();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|entry| {
            now < entry.since + entry.connection.idle_timeout && entry.connection.sender.is_ready()
        });
        // The connection that was used last is the least likely to have been closed.
        let newest = idle.pop()?;
        if fresh && now >= newest.since + MAX_FRESH_IDLE {
            idle.push(newest);
            return None;
        }
        Some(newest.connection)
    }

    /// Takes back a connection after a complete exchange, unless the pool has `max_idle` already.
    pub fn put(&self, mut connection: Connection, keep_alive: Option<Duration>, max_idle: usize) {
        if let Some(named) = keep_alive {
            connection.idle_timeout = named.saturating_sub(IDLE_MARGIN).min(IDLE_TIMEOUT);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < max_idle {
            idle.push(Idle { connection, since: boot_time() });
        }
    }

    /// Opens a connection and adds it to the pool. Returns whether the endpoint accepts connections.
    pub async fn preconnect(&self) -> bool {
        let Ok(connection) = self.connect().await else { return false };
        self.idle.borrow_mut().push(Idle { connection, since: boot_time() });
        true
    }

    async fn connect(&self) -> Result<Connection, String> {
        let opening = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| "no connection in time".to_owned())?
            .map_err(|cause| cause.to_string())?;
        let _ = stream.set_nodelay(true);
        let head_check = HeadCheck::default();
        let stream = CheckedStream::new(stream, head_check.clone());
        let handshake =
            http1::Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(|cause| cause.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // The error also reaches the sender of the request.
            let _ = driver.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), idle_timeout: IDLE_TIMEOUT, head_check })
    }

    /// Sends a request and waits for the head of its answer. With `fresh`, only a connection that
    /// is new or was used recently is taken, so that the outcome of the request rarely becomes
    /// unknown. `on_connect` is called before each new connection. `request` builds the request
    /// right before it is written, or returns `None` if it may no longer be sent.
    pub async fn send(
        &self,
        request: impl Fn() -> Option<Request<Full<Bytes>>>,
        fresh: bool,
        on_connect: impl Fn(),
    ) -> Result<Exchange, Failure> {
        loop {
            let (mut connection, reused) = match self.take(fresh) {
                Some(connection) => (connection, true),
                None => {
                    on_connect();
                    (self.connect().await.map_err(Failure::Unreachable)?, false)
                }
            };
            let request = request().ok_or(Failure::Withdrawn)?;
            connection.head_check.expect_head();
            let sent = connection.sender.try_send_request(request).await;
            match sent {
                Ok(response) if connection.head_check.accept_head(&response) => {
                    return Ok(Exchange { connection, response });
                }
                Ok(_) => {
                    let cause = "part of the answer arrived before the request was sent";
                    return Err(Failure::Lost(cause.to_owned()));
                }
                Err(mut failed) => match failed.take_message() {
                    // Nothing was written because the pooled connection had been closed.
                    Some(_) if reused => {}
                    Some(_) => return Err(Failure::Unreachable(failed.into_error().to_string())),
                    None => return Err(Failure::Lost(failed.into_error().to_string())),
                },
            }
        }
    }
}

/// Whether the connection can carry another request: the endpoint keeps it open, and the whole
/// previous request was written.
pub async fn is_reusable(connection: &mut Connection) -> bool {
    // The connection's task must run once to process the end of the answer.
    tokio::task::yield_now().await;
    connection.sender.is_ready()
}
