//! Server side of links.

use std::rc::Rc;
use std::time::Duration;

use futures_util::SinkExt;
use futures_util::StreamExt;
use slog::Logger;
use slog::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::Answer;
use super::MAX_FRAME_BYTES;
use super::Request;
use super::decode;
use super::encode;
use super::framed;

/// Time without a request after which a connection is closed. Clients send a request at least once
/// a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Answers that may wait to be written to one connection.
const ANSWER_QUEUE_CAPACITY: usize = 512;

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests of all links of a server.
pub trait Handler: 'static {
    /// Maximum size of a request; a connection with a larger one is closed.
    const MAX_REQUEST_BYTES: usize = MAX_FRAME_BYTES;

    fn handle(self: Rc<Self>, request: Request) -> impl Future<Output = Answer> + 'static;
}

/// Answers the requests of all connections of `listener`, on the current `LocalSet`.
pub async fn serve<H: Handler>(listener: TcpListener, handler: Rc<H>, log: Logger) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(connection(stream, Rc::clone(&handler), log.clone()));
            }
            Err(cause) => {
                debug!(log, "a link was not accepted"; "cause" => %cause);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn connection<H: Handler>(stream: TcpStream, handler: Rc<H>, log: Logger) {
    let (mut sink, mut frames) = framed(stream).split();
    let (answers, mut outbox) = mpsc::channel::<(u64, Answer)>(ANSWER_QUEUE_CAPACITY);
    let writer = tokio::task::spawn_local(async move {
        while let Some((number, answer)) = outbox.recv().await {
            let Ok(frame) = encode(number, &answer) else { return };
            if sink.send(frame).await.is_err() {
                return;
            }
        }
    });
    while let Ok(Some(Ok(bytes))) = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await {
        if bytes.len() > H::MAX_REQUEST_BYTES {
            debug!(log, "a link sent a frame that is too large"; "bytes" => bytes.len());
            break;
        }
        let (number, request) = match decode::<Request>(&bytes) {
            Ok(decoded) => decoded,
            Err(cause) => {
                debug!(log, "a link sent an unreadable frame"; "cause" => %cause);
                break;
            }
        };
        let answer = Rc::clone(&handler).handle(request);
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            // Sending fails if the connection has been closed.
            let _ = answers.send((number, answer.await)).await;
        });
    }
    writer.abort();
}
