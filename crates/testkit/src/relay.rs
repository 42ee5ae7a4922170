//! TCP relay that injects network faults: silent connections, cuts, delays and resets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::ReadHalf;
use tokio::net::tcp::WriteHalf;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Maximum size of a forwarded chunk.
const BUFFER_BYTES: usize = 16 << 10;

/// Direction of data through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}

/// Forwards connections to one target address until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Faults>,
    accept_task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Faults {
    accepted: AtomicU64,
    bytes: AtomicU64,
    /// Connections up to this number forward nothing.
    silent_up_to: AtomicU64,
    cut_to_target: AtomicBool,
    cut_from_target: AtomicBool,
    /// Delay of each chunk, in milliseconds.
    delay_ms: AtomicU64,
    /// Connections up to this number are reset.
    reset_up_to: watch::Sender<u64>,
}

impl Faults {
    fn is_forwarding(&self, connection: u64, direction: Direction) -> bool {
        let cut = match direction {
            Direction::ToTarget => &self.cut_to_target,
            Direction::FromTarget => &self.cut_from_target,
        };
        connection > self.silent_up_to.load(Ordering::SeqCst) && !cut.load(Ordering::SeqCst)
    }

    /// Waits for the configured delay. Always returns `true`, so that it can be part of a
    /// condition.
    async fn delay_chunk(&self) -> bool {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        true
    }
}

impl Relay {
    /// Starts a relay that listens on `listen` and forwards connections to `target`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let accept_task = tokio::spawn(accept(listener, target, Arc::clone(&faults)));
        Ok(Self { address, faults, accept_task })
    }

    /// Address on which the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.faults.accepted.load(Ordering::SeqCst)
    }

    /// Number of bytes forwarded so far, in both directions together.
    pub fn bytes(&self) -> u64 {
        self.faults.bytes.load(Ordering::SeqCst)
    }

    /// Permanently stops forwarding on all open connections without closing them. New connections
    /// are not affected.
    pub fn silence(&self) {
        let accepted = self.faults.accepted.load(Ordering::SeqCst);
        self.faults.silent_up_to.store(accepted, Ordering::SeqCst);
    }

    /// Resets all open connections. New connections are not affected.
    pub fn reset(&self) {
        self.faults.reset_up_to.send_replace(self.accepted());
    }

    /// Delays each forwarded chunk by `delay`. Zero removes the delay.
    pub fn delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.faults.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Drops all data in `direction`. A connection that lost data stays silent in that direction,
    /// even after [`Relay::restore`].
    pub fn cut(&self, direction: Direction) {
        self.set_cut(direction, true);
    }

    /// Ends a cut. Connections that lost data stay silent; all others work again.
    pub fn restore(&self, direction: Direction) {
        self.set_cut(direction, false);
    }

    fn set_cut(&self, direction: Direction, cut: bool) {
        match direction {
            Direction::ToTarget => self.faults.cut_to_target.store(cut, Ordering::SeqCst),
            Direction::FromTarget => self.faults.cut_from_target.store(cut, Ordering::SeqCst),
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The connection tasks belong to the `JoinSet` of this task and are aborted with it.
        self.accept_task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    let mut connections = JoinSet::new();
    while let Ok((downstream, _)) = listener.accept().await {
        let number = faults.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        connections.spawn(relay_connection(downstream, target, number, Arc::clone(&faults)));
        while connections.try_join_next().is_some() {}
    }
}

async fn relay_connection(
    downstream: TcpStream,
    target: SocketAddr,
    number: u64,
    faults: Arc<Faults>,
) {
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    // Nagle's algorithm in the relay would add delays that look like delays of the processes.
    let _ = (downstream.set_nodelay(true), upstream.set_nodelay(true));
    let mut resets = faults.reset_up_to.subscribe();
    let (mut downstream, mut upstream) = (downstream, upstream);
    let reset = {
        let (downstream_read, downstream_write) = downstream.split();
        let (upstream_read, upstream_write) = upstream.split();
        let to_target =
            forward(downstream_read, upstream_write, number, Direction::ToTarget, &faults);
        let from_target =
            forward(upstream_read, downstream_write, number, Direction::FromTarget, &faults);
        tokio::select! {
            _ = async { tokio::join!(to_target, from_target) } => false,
            _ = resets.wait_for(|up_to| number <= *up_to) => true,
        }
    };
    if reset {
        // Closing a socket with a linger time of zero sends a reset.
        let _ = (downstream.set_zero_linger(), upstream.set_zero_linger());
    }
}

async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    connection: u64,
    direction: Direction,
    faults: &Faults,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let read = from.read(&mut buffer).await;
        if !faults.is_forwarding(connection, direction) {
            // Keeps the sockets open, so that the peers see a silent connection, not a closed one.
            std::future::pending::<()>().await;
        }
        match read {
            Ok(length)
                if length > 0
                    && faults.delay_chunk().await
                    && to.write_all(&buffer[..length]).await.is_ok() =>
            {
                faults.bytes.fetch_add(length as u64, Ordering::SeqCst);
            }
            _ => break,
        }
    }
    // Only the write half is shut down, since the other direction may still be in use.
    let _ = to.shutdown().await;
}
