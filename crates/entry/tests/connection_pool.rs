//! The check before the first write of a request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_entry::connection_pool::ConnectionPool;
use hickoryreel_entry::connection_pool::Failure;
use hickoryreel_entry::connection_pool::SendCheck;
use hickoryreel_entry::connection_pool::Settings;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn connection_pool() -> ConnectionPool {
    ConnectionPool::new(Settings {
        connect_timeout: Duration::from_secs(10),
        max_idle: 4,
        idle_timeout: Duration::from_secs(30),
    })
}

fn request() -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(b"{}"));
    Request::post("/transfers").header("host", "service").body(body).expect("request")
}

/// Starts an endpoint that reads `length` bytes and closes. The task returns the number of bytes
/// read.
async fn endpoint(length: usize) -> (std::net::SocketAddr, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let bytes_read = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("accept");
        let mut buffer = vec![0; length];
        let mut read = 0;
        while read < length {
            match socket.read(&mut buffer[read..]).await {
                Ok(count) if count > 0 => read += count,
                _ => break,
            }
        }
        read
    });
    (address, bytes_read)
}

fn allow() -> SendCheck {
    Box::new(|| Ok(()))
}

const TIMEOUT: Duration = Duration::from_secs(60);

/// Guards against a run-once call that is written after its lease lapsed while the connection was
/// being opened.
#[tokio::test]
async fn refused_check_writes_nothing() {
    let (address, bytes_read) = endpoint(1).await;
    let calls = Arc::new(AtomicUsize::new(0));
    let calls_in_check = Arc::clone(&calls);
    let check: SendCheck = Box::new(move || {
        calls_in_check.fetch_add(1, Ordering::Relaxed);
        Err(Error::new(Kind::NoLease, "lapsed"))
    });

    let sent = connection_pool().send(address, request(), true, TIMEOUT, check).await;

    let Err(Failure::NotSent(error)) = sent else { panic!("the request was sent") };
    assert_eq!(error.kind, Kind::NoLease);
    assert_eq!(calls.load(Ordering::Relaxed), 1, "asked once, and not tried again");
    assert_eq!(bytes_read.await.expect("endpoint"), 0);
}

/// Guards against reporting "not run" for a request of which a part was written.
#[tokio::test]
async fn closed_after_the_first_bytes_counts_as_sent() {
    let (address, bytes_read) = endpoint(8).await;

    let sent = connection_pool().send(address, request(), true, TIMEOUT, allow()).await;

    assert!(matches!(sent, Err(Failure::Sent(error)) if error.kind == Kind::EndpointFailed));
    assert_eq!(bytes_read.await.expect("endpoint"), 8);
}

/// Guards against reporting "not run" for a request whose response does not arrive in time.
#[tokio::test]
async fn silent_endpoint_counts_as_sent() {
    let (address, bytes_read) = endpoint(usize::MAX >> 40).await;

    let timeout = Duration::from_millis(100);
    let sent = connection_pool().send(address, request(), true, timeout, allow()).await;

    assert!(matches!(sent, Err(Failure::Sent(error)) if error.kind == Kind::EndpointTimeout));
    assert!(bytes_read.await.expect("endpoint") > 0);
}

/// Guards against reporting "may have run" for a request whose connection was refused.
#[tokio::test]
async fn refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    drop(listener);

    let sent = connection_pool().send(address, request(), true, TIMEOUT, allow()).await;

    assert!(matches!(
        sent, Err(Failure::NotSent(error)) if error.kind == Kind::EndpointUnavailable
    ));
}
