//! Connections of clients, and the graceful stop.

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

use crate::entry::Entry;
use crate::forward;

/// Idle time before the configuration names one, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Added to the idle time of the configuration: the way of a request that the client sent in time.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Bytes of a head and what is read ahead.
const READ_BUFFER: usize = 48 << 10;

/// Time after SIGTERM in which new connections are still accepted: the balancer takes two misses,
/// a second apart, to turn away.
const LINGER: Duration = Duration::from_millis(2_600);

/// Time before SIGKILL at which the process ends.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Pause after a failed accept, for example when file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time between two rounds in which idle connections to endpoints are closed.
const EXPIRE_PERIOD: Duration = Duration::from_secs(1);

/// Opens the listener for clients.
pub async fn bind(entry: &Entry) -> eyre::Result<TcpListener> {
    let address = entry.settings.listen;
    TcpListener::bind(address).await.wrap_err_with(|| format!("cannot listen on {address}"))
}

/// Serves clients until `stop` completes, then finishes the open requests.
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
    info!(entry.log, "stopping"; "open" => entry.open.get());
    let linger = tokio::time::sleep(LINGER);
    let mut linger = std::pin::pin!(linger);
    loop {
        tokio::select! {
            () = accept(&entry, &listener, &graceful) => {}
            () = &mut linger => break,
        }
    }
    drop(listener);
    let left = (began + entry.settings.grace).saturating_sub(boot_time() + EXIT_MARGIN);
    if tokio::time::timeout(left, graceful.shutdown()).await.is_err() {
        info!(entry.log, "requests are cut off by the end of the grace time";
            "open" => entry.open.get());
    }
    info!(entry.log, "stopped"; "open" => entry.open.get());
}

async fn accept(entry: &Rc<Entry>, listener: &TcpListener, graceful: &GracefulShutdown) {
    let stream = match listener.accept().await {
        Ok((stream, _)) => stream,
        Err(cause) => {
            info!(entry.log, "a connection was not accepted"; "cause" => %cause);
            return tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    };
    // Events must not wait for the acknowledgement of the one before.
    let _ = stream.set_nodelay(true);
    let index = entry.view.borrow().index.clone();
    let idle_ms = index.map_or(DEFAULT_IDLE_MS, |one| one.configuration.limits.idle_ms);
    let service_entry = Rc::clone(entry);
    let service = service_fn(move |request: Request<Incoming>| {
        let entry = Rc::clone(&service_entry);
        async move { Ok::<_, Infallible>(forward::handle(entry, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // Counts from the end of the request before, so it is the idle limit as well.
        .header_read_timeout(Duration::from_millis(idle_ms + IDLE_MARGIN_MS))
        .max_buf_size(READ_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::task::spawn_local(async move {
        // Errors of a client's connection concern that client alone.
        let _ = connection.await;
    });
}

/// Closes idle connections to endpoints in time.
pub async fn expire(entry: Rc<Entry>) {
    loop {
        tokio::time::sleep(EXPIRE_PERIOD).await;
        let directory = entry.directory.borrow();
        directory.all().for_each(|endpoint| endpoint.pool.expire());
    }
}
