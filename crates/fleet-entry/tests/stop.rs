//! Planned stop of an entry under load.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use common::ONCE;
use harness::Action;
use harness::Endpoint;
use harness::serve_without_configuration;
use harness::status;
use hickoryreel_fleet_entry::server;
use tokio::net::TcpListener;
use tokio::task::LocalSet;

const GOOD: &str = "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ncontent-length: 4\r\n\r\ngood";

/// Longer than the time after the stop in which new connections are accepted.
const PAUSE: Duration = Duration::from_millis(2_800);

/// Guards against requests on connections in the accept queue that are reset because the process was
/// paused until the end of the time in which it accepts connections.
#[tokio::test]
async fn queued_connections_are_answered_at_a_stop() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Action::Write(GOOD)]]).await;
            let (_, entry) = serve_without_configuration(&[&endpoint]).await;
            harness::learn_configuration(&entry);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
            let address = listener.local_addr().expect("loopback works");
            let serving = server::serve(Rc::clone(&entry), listener, std::future::ready(()));
            let serving = tokio::task::spawn_local(serving);
            // The entry reaches the stop before the process is paused.
            tokio::time::sleep(Duration::from_millis(100)).await;

            let mut clients: Vec<TcpStream> = (0..20)
                .map(|_| TcpStream::connect(address).expect("the entry accepts connections"))
                .collect();
            for (number, client) in clients.iter_mut().enumerate() {
                let request = format!(
                    "POST {ONCE}x HTTP/1.1\r\nhost: host\r\nid: r{number}\r\nkey: key\r\n\
                     deadline: 9000\r\ncontent-length: 0\r\n\r\n"
                );
                client.write_all(request.as_bytes()).expect("loopback works");
            }
            std::thread::sleep(PAUSE);
            serving.await.expect("the entry stops");

            let answers = clients.iter_mut().map(|client| {
                let mut answer = String::new();
                // A connection reset also ends the answer.
                let _ = client.read_to_string(&mut answer);
                status(&answer)
            });
            assert_eq!(answers.collect::<Vec<_>>(), [200; 20]);
        })
        .await;
}
