//! Clients that read their answers slowly or not at all.

mod common;
#[path = "common/harness.rs"]
mod harness;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use common::SAFE;
use common::STREAM;
use common::configuration;
use common::confirmed;
use harness::Action;
use harness::Endpoint;
use harness::TestEntry;
use harness::call;
use harness::learn_configuration;
use harness::read_all;
use harness::serve_with_settings;
use harness::serve_with_state;
use harness::settings;
use harness::status;
use harness::wait_until;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::configuration::Limits;
use hickoryreel_fleet_entry::client_memory::CLIENT_LIMIT;
use hickoryreel_fleet_entry::entry::Entry;
use hickoryreel_fleet_entry::settings::Settings;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::LocalSet;

const CHUNKED: &str =
    "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n";
const END: &str = "0\r\n\r\n";

/// Size of the client's receive buffer, so that little data is on its way.
const RECEIVE_BYTES: u32 = 16 << 10;

/// Time without progress after which a stream is sent elsewhere, and some more.
const LONG_PAUSE: Duration = Duration::from_millis(3_000);

/// An event as a chunk of a body.
fn event(id: Option<u32>, size: usize) -> String {
    let id = id.map_or_else(String::new, |id| format!("id: {id}\n"));
    let event = format!("{id}data: {}\n\n", "x".repeat(size));
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn events(ids: std::ops::RangeInclusive<u32>, size: usize) -> Action {
    let events: String = ids.map(|id| event(Some(id), size)).collect();
    Action::Write(Box::leak(events.into_boxed_str()))
}

/// A stream of events of a size that does not end.
fn endless(size: usize) -> Vec<Action> {
    let part = Box::leak(event(None, size).into_boxed_str());
    vec![Action::Write(CHUNKED), Action::Repeat(part, Duration::ZERO)]
}

/// Ids of the events in an answer, in its order.
fn ids(answer: &str) -> Vec<u32> {
    answer.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}

/// Sends a request and returns the connection without reading from it.
async fn open(served: &TestEntry, prefix: &str, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("loopback works");
    socket.set_recv_buffer_size(RECEIVE_BYTES).expect("loopback works");
    let mut stream = socket.connect(served.address).await.expect("loopback works");
    let request = format!(
        "POST {prefix}x HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: key\r\ndeadline: 19000\r\n\
         connection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.expect("loopback works");
    stream
}

/// Records the largest number of bytes that are held for the clients of streams.
fn watch(entry: &Rc<Entry>) -> (Rc<Cell<usize>>, JoinHandle<()>) {
    let (peak, entry) = (Rc::new(Cell::new(0)), Rc::clone(entry));
    let watched = Rc::clone(&peak);
    let task = tokio::task::spawn_local(async move {
        loop {
            watched.set(watched.get().max(entry.client_memory.used()));
            tokio::task::yield_now().await;
        }
    });
    (peak, task)
}

/// Waits until an endpoint can't write any more, and returns the bytes that it has written.
async fn wait_for_backpressure(endpoint: &Endpoint) -> usize {
    let limit = tokio::time::timeout(harness::WAIT_LIMIT, async {
        loop {
            let before = endpoint.repeated.get();
            tokio::time::sleep(Duration::from_millis(300)).await;
            if before > 0 && endpoint.repeated.get() == before {
                return before;
            }
        }
    });
    limit.await.expect("the endpoint has to wait")
}

fn gauge(entry: &Entry, name: &str) -> usize {
    let text = entry.metrics_text();
    let line = text.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    line.and_then(|value| value.parse().ok()).expect("the metric exists")
}

/// Guards against an entry that reads a stream on although its client does not, and against bytes
/// that operators do not see.
#[tokio::test]
async fn client_that_does_not_read_holds_its_limit() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![endless(48 << 10)]).await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;
            let (peak, task) = watch(&entry);

            let client = open(&served, STREAM, "r1").await;
            wait_for_backpressure(&endpoint).await;

            assert!(peak.get() <= CLIENT_LIMIT, "{} bytes", peak.get());
            assert!(peak.get() > CLIENT_LIMIT / 2, "{} bytes", peak.get());
            let held = entry.client_memory.used();
            assert_eq!(gauge(&entry, "hickoryreel_entry_client_bytes"), held);
            drop(client);
            wait_until("the bytes are released", || entry.client_memory.used() == 0).await;
            task.abort();
        })
        .await;
}

/// Guards against the memory that many such clients take together, and against streams of other
/// clients that get no memory meanwhile.
#[tokio::test]
async fn memory_is_bounded_while_many_clients_do_not_read() {
    const SLOW: usize = 60;
    LocalSet::new()
        .run_until(async {
            let sound: String = [1, 2, 3].map(|id| event(Some(id), 6 << 10)).concat();
            let sound = Box::leak(format!("{CHUNKED}{sound}{END}").into_boxed_str());
            let mut scripts = vec![endless(16 << 10); SLOW];
            scripts.push(vec![Action::Write(sound)]);
            let endpoint = Endpoint::start(scripts).await;
            let settings = Settings { memory: 8 << 20, ..settings() };
            let limit = settings.memory / 4;
            let (served, entry) = serve_with_settings(&[&endpoint], settings).await;
            learn_configuration(&entry);
            let (peak, task) = watch(&entry);
            let mut clients = Vec::new();
            for number in 0..SLOW {
                clients.push(open(&served, STREAM, &format!("slow{number}")).await);
            }
            wait_for_backpressure(&endpoint).await;
            let held = entry.client_memory.used();

            let began = boot_time();
            let calls = (0..20).map(|number| {
                let served = &served;
                async move { call(served, STREAM, &format!("r{number}")).await }
            });
            let answers = futures_util::future::join_all(calls).await;

            let took = boot_time() - began;
            assert!(answers.iter().all(|answer| ids(answer) == [1, 2, 3] && answer.ends_with(END)));
            assert!(took < Duration::from_secs(5), "{took:?}");
            assert!(held > limit / 4, "{held} bytes");
            assert!(peak.get() <= limit, "{} bytes", peak.get());
            drop(clients);
            wait_until("the bytes are released", || entry.client_memory.used() == 0).await;
            task.abort();
        })
        .await;
}

/// Guards against events that are lost or repeated when a stream goes on, and against a pause of the
/// client that counts as one of the endpoint. An event is larger than a read, so that the first read
/// after the pause is no progress.
#[tokio::test]
async fn stream_that_is_read_slowly_arrives_whole_and_in_order() {
    LocalSet::new()
        .run_until(async {
            let script = vec![Action::Write(CHUNKED), events(1..=80, 100_000), Action::Write(END)];
            let first = Endpoint::start(vec![script]).await;
            let second = Endpoint::start(vec![vec![Action::Hang]]).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;

            let client = open(&served, STREAM, "r1").await;
            tokio::time::sleep(LONG_PAUSE).await;
            let answer = read_all(client).await;

            assert_eq!(ids(&answer), (1..=80).collect::<Vec<u32>>());
            assert!(answer.ends_with(END));
            assert_eq!((first.count(), second.count()), (1, 0));
            assert_eq!(entry.metrics.resumed.get(), 0);
            assert!(entry.metrics.client_waits.get() > 0);
        })
        .await;
}

/// Guards against holding it against an endpoint that it gave up a stream that was not read.
#[tokio::test]
async fn endpoint_that_gives_up_an_unread_stream_is_not_blamed() {
    LocalSet::new()
        .run_until(async {
            let script = vec![Action::Write(CHUNKED), events(1..=80, 100_000), Action::Close];
            let first = Endpoint::start(vec![script]).await;
            let rest = vec![Action::Write(CHUNKED), events(81..=82, 10), Action::Write(END)];
            let second = Endpoint::start(vec![rest]).await;
            let (served, entry) = serve_with_state(&[&first, &second]).await;

            let client = open(&served, STREAM, "r1").await;
            tokio::time::sleep(LONG_PAUSE).await;
            let answer = read_all(client).await;

            assert_eq!(ids(&answer), (1..=82).collect::<Vec<u32>>());
            let directory = entry.directory.borrow();
            let shares = directory.all().map(|endpoint| endpoint.failure_share());
            assert_eq!(shares.collect::<Vec<f64>>(), [0.0, 0.0]);
        })
        .await;
}

/// Guards against an answer without events that is not counted while its client does not read it.
#[tokio::test]
async fn answer_is_counted_until_it_is_written() {
    const SIZE: usize = 900_000;
    LocalSet::new()
        .run_until(async {
            let head = format!(
                "HTTP/1.1 200 OK\r\nid: {{id}}\r\nseal: s\r\ncontent-length: {SIZE}\r\n\r\n"
            );
            let answer = Box::leak((head + &"x".repeat(SIZE)).into_boxed_str());
            let endpoint = Endpoint::start(vec![vec![Action::Write(answer)]]).await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;

            let client = open(&served, SAFE, "r1").await;
            wait_until("the answer is read", || entry.answer_memory.used() == SIZE).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
            let held = gauge(&entry, "hickoryreel_entry_answer_bytes");
            let answer = read_all(client).await;

            assert_eq!(held, SIZE);
            assert_eq!((status(&answer), answer.matches('x').count()), (200, SIZE));
            wait_until("the bytes are released", || entry.answer_memory.used() == 0).await;
        })
        .await;
}

/// Guards against clients that have died and hold the memory of answers for ever.
#[tokio::test]
async fn client_that_accepts_nothing_loses_its_connection() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![endless(48 << 10)]).await;
            let (served, entry) = serve_with_settings(&[&endpoint], settings()).await;
            let mut configuration = configuration(1);
            configuration.limits = Limits { idle_ms: 200, ..configuration.limits };
            entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration));

            let client = open(&served, STREAM, "r1").await;
            wait_until("the client holds memory", || entry.client_memory.used() > 0).await;
            wait_until("the bytes are released", || entry.client_memory.used() == 0).await;

            wait_until("the endpoint is left", || *endpoint.closed.borrow() == 1).await;
            drop(client);
        })
        .await;
}

/// Guards against a request whose body is not counted, or counted more than once, while its endpoint
/// does not answer.
#[tokio::test]
async fn request_holds_its_own_body_only() {
    LocalSet::new()
        .run_until(async {
            let endpoint = Endpoint::start(vec![vec![Action::Hang]]).await;
            let (served, entry) = serve_with_state(&[&endpoint]).await;

            let client = open(&served, SAFE, "r1").await;
            wait_until("the request is sent", || endpoint.count() == 1).await;

            assert_eq!(gauge(&entry, "hickoryreel_entry_body_bytes"), "body".len());
            drop(client);
            wait_until("the bytes are released", || entry.body_memory.used() == 0).await;
        })
        .await;
}
