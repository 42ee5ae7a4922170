//! A small deployment of real processes: one control replica, entries and stand-in endpoints.

// Each test file uses only some of these items.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::process::Command;
use std::process::Stdio;

use hickoryreel_testkit::Harness;
use hickoryreel_testkit::Process;
use hickoryreel_testkit::harness;
use hickoryreel_testkit::http::Http;
use hickoryreel_testkit::wait;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Bundle of the tests. The key of each workspace is `NAME-key`.
pub(crate) const BUNDLE: &str = include_str!("../../../../examples/registry.ini");

/// The processes of one deployment.
pub(crate) struct Cluster {
    pub(crate) harness: Harness,
    pub(crate) admin: SocketAddr,
    pub(crate) rpc: SocketAddr,
    pub(crate) entries: Vec<SocketAddr>,
    pub(crate) entry_processes: Vec<Process>,
    other_processes: Vec<Process>,
}

impl Cluster {
    /// Starts control and `count` entries and rolls out the bundle. `settings` is appended to the
    /// settings of each entry.
    pub(crate) async fn start(count: usize, settings: &str) -> Self {
        Self::start_with_control(count, settings, "").await
    }

    /// Like [`Cluster::start`]; `control` is appended to the section `[control]`.
    pub(crate) async fn start_with_control(count: usize, settings: &str, control: &str) -> Self {
        let harness = Harness::new().expect("harness");
        let addresses = harness.addresses(2 + count).expect("addresses");
        let (rpc, admin) = (addresses[0], addresses[1]);
        let mut cluster = Self {
            harness,
            admin,
            rpc,
            entries: addresses[2..].to_vec(),
            entry_processes: Vec::new(),
            other_processes: Vec::new(),
        };
        cluster.start_control(control);
        for index in 0..count {
            let process = cluster.start_entry(index, rpc, settings);
            cluster.entry_processes.push(process);
        }
        cluster.activate_bundle(BUNDLE).await;
        for entry in cluster.entries.clone() {
            Http::new().ready(entry, "/ready").await.expect("ready");
        }
        cluster
    }

    fn start_control(&mut self, extra: &str) {
        let data = self.harness.folder().join("control");
        let key_sha256 = hickoryreel_base::bundle::key_sha256;
        let settings = format!(
            "[control]\nrpc = {}\nadmin = {}\ndata = {}\n{extra}\n[operators]\nmaria = {}\nnikos = {}\n",
            self.rpc,
            self.admin,
            data.display(),
            key_sha256("maria-key"),
            key_sha256("nikos-key"),
        );
        let started = self.harness.start_with("control", "hickoryreel-control", &settings);
        self.other_processes.push(started.expect("control"));
    }

    /// Starts entry `index` with control at `control`.
    pub(crate) fn start_entry(&self, index: usize, control: SocketAddr, settings: &str) -> Process {
        let settings = format!(
            "[entry]\nname = entry{index}\nlisten = {}\ncontrol = {control}\n\
             region = attica\nzone = attica-a\n{settings}\n",
            self.entries[index],
        );
        let name = format!("entry{index}");
        self.harness.start_with(&name, "hickoryreel-entry", &settings).expect("entry")
    }

    /// Runs the operator command line and returns its standard output.
    pub(crate) fn run_operator(&self, key: &str, arguments: &[&str]) -> eyre::Result<String> {
        let mut command = Command::new(harness::binary("hickoryreel")?);
        command.args(["--control", &self.admin.to_string(), "--key", key, "--json"]);
        command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
        let output = harness::spawn(&mut command)?.wait_with_output()?;
        let stdout = String::from_utf8(output.stdout)?;
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        if output.status.success() { Ok(stdout) } else { Err(eyre::eyre!("{stderr}")) }
    }

    async fn activate_bundle(&self, bundle: &str) {
        let path = self.harness.write("bundle.ini", bundle).expect("bundle");
        let path = path.display().to_string();
        wait::until("control answers", || async {
            self.run_operator("maria-key", &["status"]).map(Some)
        })
        .await
        .expect("control");
        self.run_operator("maria-key", &["submit", &path]).expect("submit");
        self.run_operator("nikos-key", &["sign-off", "1"]).expect("sign-off");
        self.run_operator("maria-key", &["roll-out", "1"]).expect("roll-out");
    }

    /// Starts a stand-in that announces itself to all entries, and returns its address. When
    /// stopped, it leaves immediately unless `arguments` contain `--leave-ms`.
    pub(crate) fn stand_in(&mut self, kind: &str, name: &str, arguments: &[&str]) -> SocketAddr {
        let address = self.harness.addresses(1).expect("address")[0];
        let process = self.stand_in_at(address, kind, name, arguments);
        self.other_processes.push(process);
        address
    }

    /// Starts a stand-in at `address` that announces itself to all entries.
    pub(crate) fn stand_in_at(
        &self,
        address: SocketAddr,
        kind: &str,
        name: &str,
        arguments: &[&str],
    ) -> Process {
        let listen = address.to_string();
        let mut command_line = vec![kind, "--name", name, "--listen", &listen];
        command_line.extend(["--region", "attica", "--zone", "attica-a"]);
        if !arguments.contains(&"--leave-ms") {
            command_line.extend(["--leave-ms", "0"]);
        }
        let entries: Vec<String> = self.entries.iter().map(ToString::to_string).collect();
        entries.iter().for_each(|entry| command_line.extend(["--announce", entry]));
        command_line.extend(arguments);
        self.harness.start(name, "hickoryreel-standin", &command_line).expect("stand-in")
    }

    /// Sends a completion and reads the complete response.
    pub(crate) async fn complete(&self, entry: usize, id: &str, body: &Value) -> (u16, String) {
        let headers = [("x-request-id", id)];
        let body = serde_json::to_vec(body).expect("JSON").into();
        let answer = Http::with_key("athens-key")
            .call(hyper::Method::POST, self.entries[entry], "/v1/completions", &headers, body)
            .await
            .expect("answer");
        (answer.status, String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Waits until a completion for `model` succeeds through every entry.
    pub(crate) async fn wait_until_served(&self, model: &str) {
        for entry in 0..self.entries.len() {
            wait::until("a model is served", || async {
                let id = format!("warm-{entry}-{}", next_id());
                let body = json!({"model": model, "prompt": "x", "max_tokens": 1});
                let (status, text) = self.complete(entry, &id, &body).await;
                if status == 200 { Ok(Some(())) } else { Err(eyre::eyre!(text)) }
            })
            .await
            .expect("served");
        }
    }

    /// Waits until a call of the service `ledger` succeeds through every entry.
    pub(crate) async fn wait_until_ledger_served(&self) {
        for entry in 0..self.entries.len() {
            wait::until("the ledger is served", || async {
                let answer =
                    self.call_ledger(entry, &format!("warm-{}", next_id()), "read", now_ms()).await;
                if answer.0 == 200 { Ok(Some(())) } else { Err(eyre::eyre!(answer.1)) }
            })
            .await
            .expect("served");
        }
    }

    /// Calls the service `ledger`.
    pub(crate) async fn call_ledger(
        &self,
        entry: usize,
        id: &str,
        path: &str,
        at_ms: u64,
    ) -> (u16, String) {
        let time = at_ms.to_string();
        let headers = [("x-request-id", id), ("x-request-time", &time)];
        let path = format!("/v1/services/ledger/{path}");
        let answer = Http::with_key("athens-key")
            .call(hyper::Method::POST, self.entries[entry], &path, &headers, "{}".into())
            .await
            .expect("answer");
        (answer.status, String::from_utf8_lossy(&answer.body).into_owned())
    }

    /// Returns the bills of request `id`.
    pub(crate) fn bills(&self, id: &str) -> Vec<Value> {
        let text = self.run_operator("maria-key", &["billing"]).expect("billing");
        let bills: Vec<Value> = serde_json::from_str(&text).expect("JSON");
        bills.into_iter().filter(|bill| bill["key"]["request"] == id).collect()
    }

    /// Returns the sum of the samples of an entry whose metric name starts with `name`; 0 if there
    /// are none.
    pub(crate) async fn metric(&self, entry: usize, name: &str) -> f64 {
        let answer = Http::new().get(self.entries[entry], "/metrics").await.expect("metrics");
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let parse_value = |line: &str| {
            let rest = line.strip_prefix("hickoryreel_entry_")?.strip_prefix(name)?;
            rest.rsplit(' ').next()?.parse::<f64>().ok()
        };
        text.lines().filter_map(parse_value).sum()
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn now_ms() -> u64 {
    hickoryreel_base::time::unix_millis()
}

fn next_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    use std::sync::atomic::Ordering;
    static COUNT: AtomicU64 = AtomicU64::new(0);
    COUNT.fetch_add(1, Ordering::Relaxed)
}

/// Sets the faults that a stand-in injects.
pub(crate) async fn set_faults(stand_in: SocketAddr, faults: Value) {
    let answer = Http::new().post(stand_in, "/fault", &faults).await.expect("fault");
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Reads a JSON document from a stand-in.
pub(crate) async fn read_json(stand_in: SocketAddr, path: &str) -> Value {
    let answer = Http::new().get(stand_in, path).await.expect("answer");
    serde_json::from_slice(&answer.body).expect("JSON")
}

/// A raw TCP connection of a caller.
pub(crate) struct RawConnection(pub(crate) TcpStream);

impl RawConnection {
    pub(crate) async fn open(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.expect("connect"))
    }

    /// Connects and sends a completion request.
    pub(crate) async fn post(address: SocketAddr, id: &str, body: &Value) -> Self {
        let body = body.to_string();
        let mut connection = Self::open(address).await;
        connection.send(&format!("{}{body}", request_head(id, body.len()))).await;
        connection
    }

    pub(crate) async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.expect("write");
    }

    /// Reads until `text` has been received. Returns everything that was read.
    pub(crate) async fn read_until(&mut self, text: &str) -> String {
        let mut received = String::new();
        while !received.contains(text) {
            let mut buffer = [0; 4_096];
            let count = self.0.read(&mut buffer).await.expect("read");
            assert!(count > 0, "closed before {text:?}: {received}");
            received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        }
        received
    }

    /// Reads until the connection is closed.
    pub(crate) async fn read_to_end(&mut self) -> String {
        let mut received = Vec::new();
        // A reset also ends the connection.
        let _ = self.0.read_to_end(&mut received).await;
        String::from_utf8_lossy(&received).into_owned()
    }
}

/// Head of a completion request of workspace `athens`, which asks to close the connection after the
/// response.
pub(crate) fn request_head(id: &str, length: usize) -> String {
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer athens-key\r\n\
         x-request-id: {id}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Returns the texts of the events of a stream, in order.
pub(crate) fn event_texts(stream: &str) -> Vec<String> {
    let data = stream.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    events.filter_map(|event| Some(event["choices"][0]["text"].as_str()?.to_owned())).collect()
}

/// Returns the event texts of a complete stream of `count` tokens.
pub(crate) fn expected_texts(count: usize) -> Vec<String> {
    let tokens = (0..count).map(|token| format!("token{token} "));
    tokens.chain([String::new()]).collect()
}
