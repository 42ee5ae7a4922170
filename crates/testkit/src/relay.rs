//! TCP relay that makes connections fail without closing them.

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

/// Size of one forwarded piece in bytes.
const BUFFER: usize = 16 << 10;

/// A direction through the relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target to the connecting side.
    FromTarget,
}

/// Forwards connections to one target until it is dropped.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    faults: Arc<Faults>,
    accepting: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct Faults {
    accepted: AtomicU64,
    bytes: AtomicU64,
    /// Connections up to this number are silent.
    silent_up_to: AtomicU64,
    cut_to_target: AtomicBool,
    cut_from_target: AtomicBool,
    /// Time for which each piece is held back, in milliseconds.
    delay_ms: AtomicU64,
    /// Connections up to this number are reset.
    reset_up_to: watch::Sender<u64>,
}

impl Faults {
    fn forwards(&self, connection: u64, direction: Direction) -> bool {
        let cut = match direction {
            Direction::ToTarget => &self.cut_to_target,
            Direction::FromTarget => &self.cut_from_target,
        };
        connection > self.silent_up_to.load(Ordering::SeqCst) && !cut.load(Ordering::SeqCst)
    }

    /// Waits for the delay of a piece.
    async fn hold(&self) -> bool {
        let delay_ms = self.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        true
    }
}

impl Relay {
    /// Starts a relay on `listener`.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let faults = Arc::new(Faults::default());
        let accepting = tokio::spawn(accept(listener, target, Arc::clone(&faults)));
        Ok(Self { address, faults, accepting })
    }

    /// Where the relay listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.faults.accepted.load(Ordering::SeqCst)
    }

    /// Bytes forwarded so far in both directions.
    pub fn bytes(&self) -> u64 {
        self.faults.bytes.load(Ordering::SeqCst)
    }

    /// Stops forwarding on all open connections for good, without closing them. New ones work.
    pub fn silence(&self) {
        let accepted = self.faults.accepted.load(Ordering::SeqCst);
        self.faults.silent_up_to.store(accepted, Ordering::SeqCst);
    }

    /// Resets all open connections. New ones work.
    pub fn reset(&self) {
        self.faults.reset_up_to.send_replace(self.accepted());
    }

    /// Holds each piece that is forwarded back for `delay`; zero ends it.
    pub fn delay(&self, delay: Duration) {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.faults.delay_ms.store(delay_ms, Ordering::SeqCst);
    }

    /// Drops everything sent in `direction`. A connection that lost bytes stays silent in that
    /// direction after [`Relay::restore`].
    pub fn cut(&self, direction: Direction) {
        self.set_cut(direction, true);
    }

    /// Ends a cut; new connections work again.
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
        // The connections belong to this task and end with it.
        self.accepting.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: Arc<Faults>) {
    let mut connections = JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let number = faults.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        connections.spawn(connect(near, target, number, Arc::clone(&faults)));
        while connections.try_join_next().is_some() {}
    }
}

async fn connect(near: TcpStream, target: SocketAddr, number: u64, faults: Arc<Faults>) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    // Delays of the relay must not look like delays of the processes.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let mut resets = faults.reset_up_to.subscribe();
    let (mut near, mut far) = (near, far);
    let reset = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        let to_target = forward(near_read, far_write, number, Direction::ToTarget, &faults);
        let from_target = forward(far_read, near_write, number, Direction::FromTarget, &faults);
        tokio::select! {
            _ = async { tokio::join!(to_target, from_target) } => false,
            _ = resets.wait_for(|up_to| number <= *up_to) => true,
        }
    };
    if reset {
        // A socket without a linger time is closed by a reset.
        let _ = (near.set_zero_linger(), far.set_zero_linger());
    }
}

async fn forward(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    connection: u64,
    direction: Direction,
    faults: &Faults,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await;
        if !faults.forwards(connection, direction) {
            // Keeps the sockets open, so that the peer sees silence and not a close.
            std::future::pending::<()>().await;
        }
        match read {
            Ok(length)
                if length > 0
                    && faults.hold().await
                    && to.write_all(&buffer[..length]).await.is_ok() =>
            {
                faults.bytes.fetch_add(length as u64, Ordering::SeqCst);
            }
            _ => break,
        }
    }
    // The other direction may go on.
    let _ = to.shutdown().await;
}
