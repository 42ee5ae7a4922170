//! Client side of a link.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::Logger;
use slog::info;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::Answer;
use super::Request;
use super::Socket;
use super::decode;
use super::encode;
use super::framed;

/// Six round trips between regions. A VM without power does not answer at all; a short timeout lets
/// the client reconnect soon after the VM is back.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay after a failed connection attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Requests that may wait for the connection; further ones fail at once.
const QUEUE_CAPACITY: usize = 512;

struct Call {
    request: Request,
    timeout: Duration,
    reply: Option<oneshot::Sender<Answer>>,
}

struct Pending {
    number: u64,
    deadline: Instant,
    reply: Option<oneshot::Sender<Answer>>,
}

/// Client of one process, with a persistent connection that is reopened when it fails.
#[derive(Clone)]
pub struct Client {
    calls: mpsc::Sender<Call>,
}

impl Client {
    /// Starts the connection's task on the current `LocalSet`.
    pub fn start(address: SocketAddr, log: Logger) -> Self {
        let (calls, inbox) = mpsc::channel(QUEUE_CAPACITY);
        tokio::task::spawn_local(run(address, inbox, log));
        Self { calls }
    }

    /// Sends a request and waits for its answer. Returns `None` after `timeout`.
    pub async fn call(&self, request: Request, timeout: Duration) -> Option<Answer> {
        let (reply, answer) = oneshot::channel();
        self.calls.try_send(Call { request, timeout, reply: Some(reply) }).ok()?;
        tokio::time::timeout(timeout, answer).await.ok()?.ok()
    }

    /// Sends a request without waiting. Its answer only shows that the connection works.
    pub fn notify(&self, request: Request, timeout: Duration) {
        // A full queue means that the peer is unreachable; senders repeat what must arrive.
        let _ = self.calls.try_send(Call { request, timeout, reply: None });
    }
}

async fn run(address: SocketAddr, mut inbox: mpsc::Receiver<Call>, log: Logger) {
    let mut connected_before = false;
    loop {
        let Some(first) = inbox.recv().await else { return };
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        match connecting {
            Ok(Ok(stream)) => {
                info!(log, "link is up"; "peer" => %address);
                connected_before = true;
                let cause = exchange(framed(stream), first, &mut inbox).await;
                info!(log, "link is lost"; "peer" => %address, "cause" => cause);
            }
            failed => {
                if connected_before {
                    connected_before = false;
                    info!(log, "link can't be opened"; "peer" => %address,
                        "cause" => format!("{failed:?}"));
                }
                // Queued requests are stale by the time the peer is back.
                while inbox.try_recv().is_ok() {}
                tokio::time::sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Sends calls and delivers answers until the connection fails. Returns the cause.
async fn exchange(mut socket: Socket, first: Call, inbox: &mut mpsc::Receiver<Call>) -> String {
    let mut number = 0;
    let mut pending: VecDeque<Pending> = VecDeque::new();
    let mut next = Some(first);
    loop {
        if let Some(Call { request, timeout, reply }) = next.take() {
            number += 1;
            pending.push_back(Pending { number, deadline: Instant::now() + timeout, reply });
            let frame = match encode(number, &request) {
                Ok(frame) => frame,
                Err(cause) => return format!("{cause:#}"),
            };
            if let Err(cause) = socket.feed(frame).await {
                return cause.to_string();
            }
            if inbox.is_empty()
                && let Err(cause) = SinkExt::<Bytes>::flush(&mut socket).await
            {
                return cause.to_string();
            }
        }
        let deadline = pending.iter().map(|call| call.deadline).min();
        tokio::select! {
            call = inbox.recv() => match call {
                Some(call) => next = Some(call),
                None => return "closed by this process".to_owned(),
            },
            frame = socket.next() => match frame {
                Some(Ok(bytes)) => match decode::<Answer>(&bytes) {
                    Ok((number, answer)) => deliver(&mut pending, number, answer),
                    Err(cause) => return cause.to_string(),
                },
                Some(Err(cause)) => return cause.to_string(),
                None => return "closed by the peer".to_owned(),
            },
            () = tokio::time::sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                return "no answer in time".to_owned();
            }
        }
    }
}

fn deliver(pending: &mut VecDeque<Pending>, number: u64, answer: Answer) {
    let Some(at) = pending.iter().position(|call| call.number == number) else { return };
    if let Some(reply) = pending.remove(at).and_then(|call| call.reply) {
        // The caller may have stopped waiting.
        let _ = reply.send(answer);
    }
}
