//! An entry on loopback, endpoints that answer with scripted bytes, and raw clients.
#![allow(dead_code, reason = "each test file uses some of the fixtures")]

use std::cell::Cell;
use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hickoryreel_base::logging;
use hickoryreel_base::time::boot_time;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet_entry::dialect::Dialect;
use hickoryreel_fleet_entry::dialect::Malformed;
use hickoryreel_fleet_entry::dialect::PromptPart;
use hickoryreel_fleet_entry::dialect::Reply;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::dialect::SendOptions;
use hickoryreel_fleet_entry::entry::Entry;
use hickoryreel_fleet_entry::provenance::Field;
use hickoryreel_fleet_entry::provenance::Proof;
use hickoryreel_fleet_entry::provenance::Unverified;
use hickoryreel_fleet_entry::server;
use hickoryreel_fleet_entry::settings::Settings;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use http::header::AUTHORIZATION;
use http::request::Parts;
use smallvec::SmallVec;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::common::announcement;
use crate::common::configuration;
use crate::common::confirmed;

/// Time limit for conditions that should hold at once; not a bound under test.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// A reset discards what the receiver has not read yet.
const RESET_DELAY: Duration = Duration::from_millis(100);

/// A dialect with only the headers that the tests need.
struct TestDialect;

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Parses the header with the ids of the prompt parts.
fn parts(headers: &HeaderMap) -> SmallVec<[PromptPart; 4]> {
    let ids = headers.get("parts").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let ids = ids.split(',').filter_map(|id| id.parse().ok());
    ids.map(|id| PromptPart { id, tokens: 100 }).collect()
}

impl Dialect for TestDialect {
    fn parse_request(&self, head: &Parts) -> Result<RequestMetadata, Malformed> {
        let id = head.headers.get("id").ok_or(Malformed("no id"))?;
        Ok(RequestMetadata {
            id: id.to_str().unwrap_or_default().to_owned(),
            host: "host".to_owned(),
            deadline_ms: number(&head.headers, "deadline"),
            parts: parts(&head.headers),
            any_model: head.headers.contains_key("any-model"),
            prompt_tokens: number(&head.headers, "prompt").unwrap_or(0),
            key: head.headers.get("key").map(|key| key.to_str().unwrap_or_default().to_owned()),
            ..RequestMetadata::default()
        })
    }

    fn request_headers(&self, head: &Parts, options: &SendOptions<'_>) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert("id", head.headers["id"].clone());
        if let Some(parts) = head.headers.get("parts") {
            headers.insert("parts", parts.clone());
        }
        for value in head.headers.get_all(AUTHORIZATION) {
            headers.append(AUTHORIZATION, value.clone());
        }
        if let Some(event) = options.after_event {
            headers.insert("after", HeaderValue::from(event));
        }
        headers
    }

    fn parse_response(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> Unverified {
        let reply = Reply {
            not_run: headers.contains_key("not-run"),
            wrong_endpoint: status == StatusCode::MISDIRECTED_REQUEST
                && headers.contains_key("not-run"),
            leaving: headers.contains_key("leaving"),
            pause: number(headers, "pause").map(Duration::from_millis),
            ..Reply::default()
        };
        let proof = Proof {
            request_id: Field::parse(headers, "id", |value| value == id),
            receipt: Field::parse(headers, "seal", |value| !value.is_empty()),
        };
        Unverified::new(proof, reply)
    }

    fn response_headers(&self, headers: &HeaderMap) -> HeaderMap {
        let seal = headers.get("seal").map(|value| ("seal", value.clone()));
        seal.into_iter().map(|(name, value)| (http::HeaderName::from_static(name), value)).collect()
    }
}

/// Action of an endpoint after it has read a request.
#[derive(Clone)]
pub(crate) enum Action {
    /// Writes bytes. `{id}` is replaced by the id of the request.
    Write(&'static str),
    /// Closes the connection.
    Close,
    /// Ends the endpoint if the head has this line: closes its connections and accepts no others.
    CrashOn(&'static str),
    /// Resets the connection after a pause in which the entry reads what was written.
    Reset,
    /// Keeps the connection open without writing until the entry closes it.
    Hang,
    /// Waits before the next action.
    Pause(Duration),
    /// Writes bytes again and again, with a pause in between, until the entry closes the connection.
    Repeat(&'static str, Duration),
}

/// An endpoint that runs the next script for each request; the last script repeats.
#[derive(Clone)]
pub(crate) struct Endpoint {
    pub(crate) address: SocketAddrV4,
    /// Heads and bodies of the requests that arrived.
    pub(crate) arrived: Rc<RefCell<Vec<String>>>,
    /// Number of connections that the entry closed.
    pub(crate) closed: Rc<RefCell<u32>>,
    /// Bytes written by [`Action::Repeat`].
    pub(crate) repeated: Rc<Cell<usize>>,
}

impl Endpoint {
    pub(crate) async fn start(scripts: Vec<Vec<Action>>) -> Self {
        Self::start_at(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0), scripts).await
    }

    /// Starts an endpoint at an address, for example that of one that has crashed.
    pub(crate) async fn start_at(address: SocketAddrV4, scripts: Vec<Vec<Action>>) -> Self {
        let listener = TcpListener::bind(address).await.expect("loopback works");
        let SocketAddr::V4(address) = listener.local_addr().expect("loopback works") else {
            unreachable!()
        };
        let arrived = Rc::new(RefCell::new(Vec::new()));
        let closed = Rc::new(RefCell::new(0));
        let repeated = Rc::new(Cell::new(0));
        let endpoint = Self {
            address,
            arrived: arrived.clone(),
            closed: closed.clone(),
            repeated: repeated.clone(),
        };
        tokio::task::spawn_local(async move {
            let crash = CancellationToken::new();
            while let Some(accepted) = crash.run_until_cancelled(listener.accept()).await {
                let (stream, _) = accepted.expect("loopback works");
                let (scripts, repeated, crash) = (scripts.clone(), repeated.clone(), crash.clone());
                let (arrived, closed) = (arrived.clone(), closed.clone());
                tokio::task::spawn_local(async move {
                    let task = connection(stream, scripts, arrived, closed, repeated, &crash);
                    crash.run_until_cancelled(task).await
                });
            }
        });
        endpoint
    }

    pub(crate) fn count(&self) -> usize {
        self.arrived.borrow().len()
    }
}

async fn connection(
    mut stream: TcpStream,
    scripts: Vec<Vec<Action>>,
    arrived: Rc<RefCell<Vec<String>>>,
    closed: Rc<RefCell<u32>>,
    repeated: Rc<Cell<usize>>,
    crash: &CancellationToken,
) {
    while let Some(head) = read_message(&mut stream).await {
        let id = header(&head, "id").unwrap_or_default();
        let turn = arrived.borrow().len().min(scripts.len() - 1);
        arrived.borrow_mut().push(head.clone());
        for action in &scripts[turn] {
            match action {
                Action::Write(bytes) => {
                    let bytes = bytes.replace("{id}", &id);
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        break;
                    }
                }
                Action::Close => return,
                Action::CrashOn(line) => {
                    if head.contains(line) {
                        return crash.cancel();
                    }
                }
                Action::Reset => {
                    tokio::time::sleep(RESET_DELAY).await;
                    stream.set_zero_linger().expect("loopback works");
                    return;
                }
                Action::Pause(time) => tokio::time::sleep(*time).await,
                Action::Repeat(bytes, pause) => {
                    while stream.write_all(bytes.as_bytes()).await.is_ok() {
                        repeated.set(repeated.get() + bytes.len());
                        if !pause.is_zero() {
                            tokio::time::sleep(*pause).await;
                        }
                    }
                    *closed.borrow_mut() += 1;
                    return;
                }
                Action::Hang => {
                    let mut byte = [0];
                    let _ = stream.read(&mut byte).await;
                    *closed.borrow_mut() += 1;
                    return;
                }
            }
        }
    }
    *closed.borrow_mut() += 1;
}

/// Reads a head and a body with a content length. Returns `None` at the end of the connection.
async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(bytes).expect("answers are text");
    let length = header(&head, "content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + std::str::from_utf8(&body).expect("bodies are text"))
}

/// Returns the value of a header in a head.
pub(crate) fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// An entry that serves clients on loopback.
pub(crate) struct TestEntry {
    pub(crate) address: SocketAddr,
}

/// Starts an entry that prefers the first endpoint because the others are in another region.
pub(crate) async fn serve(endpoints: &[&Endpoint]) -> TestEntry {
    serve_with_state(endpoints).await.0
}

/// Like [`serve`]; also returns the state of the entry.
pub(crate) async fn serve_with_state(endpoints: &[&Endpoint]) -> (TestEntry, Rc<Entry>) {
    let (served, entry) = serve_without_configuration(endpoints).await;
    learn_configuration(&entry);
    (served, entry)
}

/// Gives an entry its first configuration, as the answer to a poll does.
pub(crate) fn learn_configuration(entry: &Entry) {
    entry.view.borrow_mut().confirm(boot_time(), confirmed(configuration(1)));
    entry.state_changed.notify_waiters();
}

/// Starts an entry with endpoints but without a configuration.
pub(crate) async fn serve_without_configuration(endpoints: &[&Endpoint]) -> (TestEntry, Rc<Entry>) {
    serve_with_settings(endpoints, settings()).await
}

/// Like [`serve_without_configuration`], with settings.
pub(crate) async fn serve_with_settings(
    endpoints: &[&Endpoint],
    settings: Settings,
) -> (TestEntry, Rc<Entry>) {
    let entry = entry_with_settings(endpoints, settings);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback works");
    let address = listener.local_addr().expect("loopback works");
    let serving = server::serve(Rc::clone(&entry), listener, std::future::pending());
    tokio::task::spawn_local(serving);
    (TestEntry { address }, entry)
}

/// Settings of an entry in the region of the first endpoint.
pub(crate) fn settings() -> Settings {
    Settings {
        zone: "a".to_owned(),
        regions: vec![("a".to_owned(), "near".to_owned()), ("b".to_owned(), "far".to_owned())],
        retry_ratio: 1.0,
        retry_slack: 100.0,
        max_answer_bytes: 1 << 20,
        ..Settings::default()
    }
}

/// Creates an entry with endpoints and a time between SIGTERM and SIGKILL.
pub(crate) fn new_entry(endpoints: &[&Endpoint], grace: Duration) -> Rc<Entry> {
    entry_with_settings(endpoints, Settings { grace, ..settings() })
}

fn entry_with_settings(endpoints: &[&Endpoint], settings: Settings) -> Rc<Entry> {
    let entry = Entry::new(settings, Box::new(TestDialect), logging::discard());
    for (number, endpoint) in endpoints.iter().enumerate() {
        let mut announcement = announcement(number, endpoint.address);
        announcement.zone = if number == 0 { "a".into() } else { "b".into() };
        let update = EndpointUpdate { announcement, status: Status::Present };
        entry.directory.borrow_mut().apply(update, SocketAddr::from(([127, 0, 0, 1], 7_000)));
    }
    entry
}

/// Writes bytes to a new connection.
pub(crate) async fn send(served: &TestEntry, request: &str) -> TcpStream {
    let mut stream = TcpStream::connect(served.address).await.expect("loopback works");
    stream.write_all(request.as_bytes()).await.expect("loopback works");
    stream
}

/// Sends a request on a new connection and reads the answer until the connection is closed.
pub(crate) async fn call(served: &TestEntry, prefix: &str, id: &str) -> String {
    let request = format!(
        "POST {prefix}x HTTP/1.1\r\nhost: host\r\nid: {id}\r\nkey: key\r\ndeadline: 19000\r\n\
         connection: close\r\ncontent-length: 4\r\n\r\nbody"
    );
    read_all(send(served, &request).await).await
}

/// Reads until the connection is closed.
pub(crate) async fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    // A connection reset also ends the answer.
    let read = stream.read_to_end(&mut bytes);
    let _ = tokio::time::timeout(WAIT_LIMIT, read).await.expect("the answer ends");
    String::from_utf8(bytes).expect("answers are text")
}

/// Returns the status code of an answer.
pub(crate) fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let reached = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(WAIT_LIMIT, reached).await.expect(what);
}
