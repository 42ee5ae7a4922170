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
use hickoryreel_entry::dispatch::confirms_not_run;
use hickoryreel_entry::dispatch::exchange;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use yare::parameterized;

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

const RUN: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nx-ran: no\r\ncontent-length: 0\r\n\r\n";

/// Starts an endpoint that writes the given responses on each connection, each after it has read a
/// request. Returns the number of requests that it reads.
async fn responder(
    connections: &'static [&'static [&'static str]],
) -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&requests);
    tokio::spawn(async move {
        for responses in connections {
            let (mut socket, _) = listener.accept().await.expect("accept");
            for response in *responses {
                let mut request = Vec::new();
                while !request.ends_with(b"{}") {
                    request.push(socket.read_u8().await.expect("read"));
                }
                counted.fetch_add(1, Ordering::SeqCst);
                socket.write_all(response.as_bytes()).await.expect("write");
            }
        }
        std::future::pending::<()>().await;
    });
    (address, requests)
}

/// Sends a request whose connection is then idle in the pool.
async fn keep_connection(pool: &ConnectionPool, address: std::net::SocketAddr) {
    let sent = pool.send(address, request(), false, TIMEOUT, allow()).await;
    let (response, connection) = sent.expect("it is answered");
    response.into_body().collect().await.expect("a whole body");
    pool.put_idle(connection);
}

/// Guards against a late copy of an earlier refusal on a kept connection, which would be reported as
/// "not run" for a request that the endpoint runs, and against a real refusal that is not believed.
#[tokio::test]
async fn refusal_on_a_kept_connection_confirms_nothing() {
    let (address, _) = responder(&[&[RUN, NOT_RUN], &[NOT_RUN]]).await;
    let pool = connection_pool();
    keep_connection(&pool, address).await;

    let sent = pool.send(address, request(), false, TIMEOUT, allow()).await;
    let (copy, kept) = sent.expect("it is answered");
    let sent = pool.send(address, request(), true, TIMEOUT, allow()).await;
    let (refusal, fresh) = sent.expect("it is answered");

    assert!(!confirms_not_run(&copy, &kept));
    assert!(confirms_not_run(&refusal, &fresh));
}

/// Guards against a run that starts at a second engine because a late copy of an earlier refusal was
/// believed: the engine is asked again on a new connection and tells what became of the run.
#[parameterized(
    runs = { &[&[RUN, NOT_RUN], &[RUN]], 200, false, 3 },
    refuses = { &[&[RUN, NOT_RUN], &[NOT_RUN]], 503, true, 3 },
)]
#[test_macro(tokio::test)]
async fn engine_is_asked_again_after_a_refusal_on_a_kept_connection(
    connections: &'static [&'static [&'static str]],
    status: u16,
    not_run: bool,
    requests: usize,
) {
    let (address, counted) = responder(connections).await;
    let pool = connection_pool();
    keep_connection(&pool, address).await;

    let sent = exchange(&pool, address, request(), TIMEOUT, allow).await;

    let (response, connection) = sent.expect("it is answered");
    assert_eq!(response.status(), status);
    assert_eq!(confirms_not_run(&response, &connection), not_run);
    assert_eq!(counted.load(Ordering::SeqCst), requests);
}

/// Guards against reporting "not run" if the engine can't be asked again.
#[tokio::test]
async fn unconfirmed_refusal_counts_as_sent() {
    let (address, _) = responder(&[&[RUN, NOT_RUN]]).await;
    let pool = connection_pool();
    keep_connection(&pool, address).await;
    let checks = AtomicUsize::new(0);
    let check = || -> SendCheck {
        let first = checks.fetch_add(1, Ordering::SeqCst) == 0;
        Box::new(move || {
            if first { Ok(()) } else { Err(Error::new(Kind::DeadlineUnmet, "the lease ended")) }
        })
    };

    let sent = exchange(&pool, address, request(), TIMEOUT, check).await;

    assert!(matches!(sent, Err(Failure::Sent(_))), "{sent:?}");
}
