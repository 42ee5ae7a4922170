//! One send to an endpoint, and its connections.

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

/// Longest time to open a connection: over ten times the round trip between regions, and a lost
/// opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection is kept idle when the endpoint names no time.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Taken off the idle time that an endpoint names, for the way there.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Idle time up to which a request that may run only once uses a connection. An older one may
/// have been closed by the endpoint, which leaves the outcome of the request unknown.
const FRESH_LIMIT: Duration = Duration::from_millis(900);

/// An open connection. Dropping it closes it at once, which tells the endpoint to stop.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    idle_limit: Duration,
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

/// Connections to one endpoint that wait for the next request.
pub struct Pool {
    address: SocketAddrV4,
    idle: RefCell<Vec<Idle>>,
}

/// Why a send brought no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    Unreachable(String),
    /// The connection failed after the send began.
    Lost(String),
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// The connection; it goes back to the pool after a complete body.
    pub connection: Connection,
    /// The answer.
    pub response: Response<Incoming>,
}

impl Pool {
    /// A pool without connections.
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, idle: RefCell::default() }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        let now = boot_time();
        self.idle.borrow_mut().retain(|one| now < one.since + one.connection.idle_limit);
    }

    fn take(&self, fresh: bool) -> Option<Connection> {
        let now = boot_time();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|one| {
            now < one.since + one.connection.idle_limit && one.connection.sender.is_ready()
        });
        // The newest connection is the most likely to work.
        let newest = idle.pop()?;
        if fresh && now >= newest.since + FRESH_LIMIT {
            idle.push(newest);
            return None;
        }
        Some(newest.connection)
    }

    /// Takes back a connection after a complete exchange, unless `most` are kept already.
    pub fn put(&self, mut connection: Connection, keep_alive: Option<Duration>, most: usize) {
        if let Some(named) = keep_alive {
            connection.idle_limit = named.saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT);
        }
        let mut idle = self.idle.borrow_mut();
        if idle.len() < most {
            idle.push(Idle { connection, since: boot_time() });
        }
    }

    /// Opens a connection and keeps it for the next request. Returns whether the endpoint accepts
    /// connections.
    pub async fn warm(&self) -> bool {
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
        let handshake = http1::Builder::new().handshake(TokioIo::new(stream));
        let (sender, driver) = handshake.await.map_err(|cause| cause.to_string())?;
        let task = tokio::task::spawn_local(async move {
            // The exchange reports the error.
            let _ = driver.await;
        });
        Ok(Connection { sender, task: task.abort_handle(), idle_limit: IDLE_LIMIT })
    }

    /// Sends a request and waits for the head of its answer. `fresh` asks for a connection on
    /// which the outcome of the request can hardly become unknown. `opened` counts new
    /// connections.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        fresh: bool,
        opened: impl Fn(),
    ) -> Result<Exchange, Failure> {
        let mut request = request;
        loop {
            let (mut connection, kept) = match self.take(fresh) {
                Some(connection) => (connection, true),
                None => {
                    opened();
                    (self.connect().await.map_err(Failure::Unreachable)?, false)
                }
            };
            match connection.sender.try_send_request(request).await {
                Ok(response) => return Ok(Exchange { connection, response }),
                Err(mut failed) => match failed.take_message() {
                    // Nothing was written: the kept connection was closed before.
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(Failure::Unreachable(failed.into_error().to_string())),
                    None => return Err(Failure::Lost(failed.into_error().to_string())),
                },
            }
        }
    }
}

/// Whether the connection can carry another request: the endpoint keeps it open, and the whole
/// request was written.
pub async fn settle(connection: &mut Connection) -> bool {
    // The driver needs a turn to see the end of the answer.
    tokio::task::yield_now().await;
    connection.sender.is_ready()
}
