//! HTTP server for clients, with graceful shutdown.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use eyre::WrapErr;
use hickoryreel_base::time::boot_time;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use slog::info;
use tokio::net::TcpListener;

use crate::client_stream::ClientStream;
use crate::entry::Entry;
use crate::forward;

/// Idle timeout before the first configuration arrives.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Added to the configured idle timeout, to allow for the network delay of a request that the client
/// sent in time.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Size of the read buffer in bytes: a request head and data read ahead.
const READ_BUFFER: usize = 48 << 10;

/// Time after SIGTERM in which new connections are still accepted: the load balancer stops sending
/// them after two failed health checks, one second apart.
const ACCEPT_LINGER: Duration = Duration::from_millis(2_600);

/// Part (1/n) of the grace time in which new connections are accepted at most.
const ACCEPT_GRACE_DIVISOR: u32 = 3;

/// Time in which the first request on a connection that was just accepted, or a request that is under
/// way on a kept one, is read before idle connections are closed. Several round trips to a client.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(300);

/// Time before SIGKILL at which the process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the exit at which requests that are unfinished get an answer: several round trips to a
/// client.
const LAST_ANSWER_TIME: Duration = Duration::from_millis(200);

/// Delay after a failed accept, for example when the process has no free file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which expired idle connections to endpoints are closed.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Opens the listener for clients.
pub async fn bind(entry: &Entry) -> eyre::Result<TcpListener> {
    let address = entry.settings.listen;
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Serves clients until `stop` completes, then finishes the outstanding requests.
pub async fn serve(entry: Rc<Entry>, listener: TcpListener, stop: impl Future<Output = ()>) {
    let graceful = GracefulShutdown::new();
    let mut stop = std::pin::pin!(stop);
    loop {
        tokio::select! {
            () = accept(&entry, &listener, &graceful) => {}
            () = &mut stop => break,
        }
    }
    let began = boot_time();
    entry.stopping.set(Some(began));
    info!(entry.log, "stopping"; "open" => entry.outstanding.get());
    let linger = ACCEPT_LINGER.min(entry.settings.grace / ACCEPT_GRACE_DIVISOR);
    let linger = tokio::time::sleep(linger);
    let mut linger = std::pin::pin!(linger);
    loop {
        tokio::select! {
            // Connections that the kernel has accepted get an answer; closing the listener would
            // reset them.
            biased;
            () = accept(&entry, &listener, &graceful) => {}
            () = &mut linger => break,
        }
    }
    drop(listener);
    // The shutdown closes connections on which no request has been read yet.
    tokio::time::sleep(FIRST_REQUEST_TIME).await;
    let mut closed = std::pin::pin!(graceful.shutdown());
    let left = (began + entry.settings.grace).saturating_sub(boot_time() + EXIT_MARGIN);
    let work_left = left.saturating_sub(LAST_ANSWER_TIME);
    if tokio::time::timeout(work_left, closed.as_mut()).await.is_err() {
        info!(entry.log, "requests are cut off by the end of the grace time";
            "open" => entry.outstanding.get());
        entry.ending.cancel();
        // Streams that have begun can't get another end.
        let _ = tokio::time::timeout(LAST_ANSWER_TIME, closed).await;
    }
    info!(entry.log, "stopped"; "open" => entry.outstanding.get());
}

async fn accept(entry: &Rc<Entry>, listener: &TcpListener, graceful: &GracefulShutdown) {
    let stream = match listener.accept().await {
        Ok((stream, _)) => stream,
        Err(cause) => {
            info!(entry.log, "a connection was not accepted"; "cause" => %cause);
            return tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    };
    let index = entry.view.borrow().index.clone();
    let idle_ms = index.map_or(DEFAULT_IDLE_MS, |index| index.configuration.limits.idle_ms);
    let service_entry = Rc::clone(entry);
    let service = service_fn(move |request: Request<Incoming>| {
        let entry = Rc::clone(&service_entry);
        async move { Ok::<_, Infallible>(forward::handle(entry, request).await) }
    });
    // A client that accepts nothing is as idle as one that asks for nothing.
    let max_idle = Duration::from_millis(idle_ms.saturating_add(IDLE_MARGIN_MS));
    let stream = ClientStream::new(stream, max_idle);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the previous request, so it is also the idle timeout.
        .header_read_timeout(max_idle)
        .max_buf_size(READ_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::task::spawn_local(async move {
        // Errors of a client's connection affect only that client.
        let _ = connection.await;
    });
}

/// Closes idle connections to endpoints when their timeout has passed.
pub async fn expire(entry: Rc<Entry>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let directory = entry.directory.borrow();
        directory.all().for_each(|endpoint| endpoint.pool.expire());
    }
}
