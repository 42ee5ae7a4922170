//! The check before the first write of a request.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hickoryreel_base::error::Error;
use hickoryreel_base::error::Kind;
use hickoryreel_entry::dial::Dial;
use hickoryreel_entry::dial::Failure;
use hickoryreel_entry::dial::Permit;
use hickoryreel_entry::dial::Settings;
use http_body_util::Full;
use hyper::Request;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn dial() -> Dial {
    Dial::new(Settings {
        connect_timeout: Duration::from_secs(10),
        idle_most: 4,
        idle_timeout: Duration::from_secs(30),
    })
}

fn request() -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(b"{}"));
    Request::post("/transfers").header("host", "service").body(body).expect("request")
}

/// An endpoint that reads `length` bytes and closes; returns what it read.
async fn endpoint(length: usize) -> (std::net::SocketAddr, tokio::task::JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let reading = tokio::spawn(async move {
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
    (address, reading)
}

fn granted() -> Permit {
    Box::new(|| Ok(()))
}

const LIMIT: Duration = Duration::from_secs(60);

/// Guards against a run-once call that is written after its lease lapsed during the connect.
#[tokio::test]
async fn refused_permit_writes_nothing() {
    let (address, reading) = endpoint(1).await;
    let asked = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&asked);
    let permit: Permit = Box::new(move || {
        count.fetch_add(1, Ordering::Relaxed);
        Err(Error::new(Kind::NoLease, "lapsed"))
    });

    let sent = dial().send(address, request(), true, LIMIT, permit).await;

    let Err(Failure::NotSent(error)) = sent else { panic!("the request was sent") };
    assert_eq!(error.kind, Kind::NoLease);
    assert_eq!(asked.load(Ordering::Relaxed), 1, "asked once, and not tried again");
    assert_eq!(reading.await.expect("endpoint"), 0);
}

/// Guards against "not run" for a request of which a part was written.
#[tokio::test]
async fn closed_after_the_first_bytes_counts_as_sent() {
    let (address, reading) = endpoint(8).await;

    let sent = dial().send(address, request(), true, LIMIT, granted()).await;

    assert!(matches!(sent, Err(Failure::Sent(error)) if error.kind == Kind::EndpointFailed));
    assert_eq!(reading.await.expect("endpoint"), 8);
}

/// Guards against "not run" for a request whose answer does not come in time.
#[tokio::test]
async fn silent_endpoint_counts_as_sent() {
    let (address, reading) = endpoint(usize::MAX >> 40).await;

    let timeout = Duration::from_millis(100);
    let sent = dial().send(address, request(), true, timeout, granted()).await;

    assert!(matches!(sent, Err(Failure::Sent(error)) if error.kind == Kind::EndpointTimeout));
    assert!(reading.await.expect("endpoint") > 0);
}

/// Guards against "may have run" for a request that found no listener.
#[tokio::test]
async fn refused_connection_counts_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    drop(listener);

    let sent = dial().send(address, request(), true, LIMIT, granted()).await;

    assert!(matches!(
        sent, Err(Failure::NotSent(error)) if error.kind == Kind::EndpointUnavailable
    ));
}
