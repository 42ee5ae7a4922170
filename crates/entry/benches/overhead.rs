//! Benchmark of an entry: latency added over direct calls of the stand-in engine, requests per
//! second of processor time, and memory of an idle entry.
//!
//! Build the processes first with `cargo build --release --workspace --bins`, then run
//! `cargo bench -p hickoryreel-entry --bench overhead`. Direct and routed rounds alternate in one
//! run, so that other load on the machine affects both. Each result is one JSON line. Numbers given
//! as arguments replace the default numbers of open streams.

#[path = "../tests/common/mod.rs"]
mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use common::Cluster;
use hdrhistogram::Histogram;
use hickoryreel_base::client;
use hickoryreel_base::client::HttpClient;
use hickoryreel_testkit::http::Http;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;

/// Default numbers of open streams, one per measurement.
const STREAMS: [usize; 3] = [1, 64, 512];

/// Length of one round.
const ROUND: Duration = Duration::from_secs(3);

/// Number of rounds of each kind.
const ROUNDS: usize = 3;

/// Tokens of one streamed response, and milliseconds between two tokens.
const TOKENS: u32 = 30;
const TOKEN_MS: &str = "10";

/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Number of callers of the throughput measurement.
const CALLERS: usize = 64;

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// Microseconds to the first event and between events.
struct Samples {
    first: Histogram<u64>,
    between: Histogram<u64>,
    errors: u64,
}

impl Samples {
    fn new() -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_MICROS, 3).expect("bounds");
        Self { first: histogram(), between: histogram(), errors: 0 }
    }

    fn add(&mut self, other: &Self) {
        self.first.add(&other.first).expect("same range");
        self.between.add(&other.between).expect("same range");
        self.errors += other.errors;
    }
}

/// Where requests are sent.
#[derive(Clone, Copy)]
enum Target {
    Engine(SocketAddr),
    Entry(SocketAddr),
}

fn request(target: Target, tokens: u32, streamed: bool) -> Request<Full<Bytes>> {
    let id = format!("b{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
    let (address, body) = match target {
        Target::Engine(address) => (
            address,
            json!({"request_id": id, "version": "small/1", "prompt": "a b c",
                "max_tokens": tokens, "priority": "normal"}),
        ),
        Target::Entry(address) => (
            address,
            json!({"model": "small", "prompt": "a b c", "max_tokens": tokens,
                "stream": streamed}),
        ),
    };
    Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", "Bearer athens-key")
        .header("content-type", "application/json")
        .header("x-request-id", id)
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("request")
}

/// Requests one stream after another until `end`.
async fn stream(client: HttpClient, target: Target, end: Instant) -> Samples {
    let mut samples = Samples::new();
    while Instant::now() < end {
        let sent_at = Instant::now();
        let answer = client.request(request(target, TOKENS, true)).await;
        let Ok(answer) = answer
            .map_err(|_| ())
            .and_then(|answer| if answer.status().is_success() { Ok(answer) } else { Err(()) })
        else {
            samples.errors += 1;
            continue;
        };
        let mut body = answer.into_body();
        let mut last = None;
        while let Some(Ok(_)) = body.frame().await {
            let now = Instant::now();
            let (histogram, since) = match last {
                None => (&mut samples.first, sent_at),
                Some(last) => (&mut samples.between, last),
            };
            histogram.saturating_record(micros(now - since));
            last = Some(now);
        }
    }
    samples
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

async fn round(client: &HttpClient, target: Target, streams: usize) -> Samples {
    let end = Instant::now() + ROUND;
    let callers = (0..streams).map(|_| tokio::spawn(stream(client.clone(), target, end)));
    let callers: Vec<_> = callers.collect();
    let mut all = Samples::new();
    for caller in callers {
        all.add(&caller.await.expect("caller"));
    }
    all
}

async fn latency(client: &HttpClient, engine: SocketAddr, cluster: &Cluster, streams: usize) {
    let (mut direct, mut routed) = (Samples::new(), Samples::new());
    let (entry, process) = (cluster.entries[0], &cluster.entry_processes[0]);
    let mut used = Duration::ZERO;
    for _ in 0..ROUNDS {
        direct.add(&round(client, Target::Engine(engine), streams).await);
        let before = process.cpu_time().expect("processor time");
        routed.add(&round(client, Target::Entry(entry), streams).await);
        used += process.cpu_time().expect("processor time") - before;
    }
    let events = routed.between.len() + routed.first.len();
    println!(
        "{}",
        json!({"bench": "processor", "streams": streams, "entry_s": used.as_secs_f64(),
        "us_per_event": used.as_secs_f64() * 1e6 / events.max(1) as f64})
    );
    let pairs =
        [("first", &direct.first, &routed.first), ("between", &direct.between, &routed.between)];
    for (measure, direct_to, routed_to) in pairs {
        for quantile in [0.5, 0.99] {
            let direct = direct_to.value_at_quantile(quantile);
            let routed = routed_to.value_at_quantile(quantile);
            let line = json!({
                "bench": "latency", "measure": measure, "streams": streams, "quantile": quantile,
                "direct_us": direct, "routed_us": routed,
                "added_us": routed as i64 - direct as i64,
                "ratio": routed as f64 / direct.max(1) as f64, "samples": routed_to.len(),
            });
            println!("{line}");
        }
    }
    println!(
        "{}",
        json!({"bench": "errors", "streams": streams,
        "direct": direct.errors, "routed": routed.errors})
    );
}

/// Measures complete responses of one token for [`CALLERS`] concurrent callers.
async fn throughput(client: &HttpClient, cluster: &Cluster, entry: SocketAddr) {
    let process = &cluster.entry_processes[0];
    let (errors, done) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let before = process.cpu_time().expect("processor time");
    let started = Instant::now();
    let end = started + ROUND * 2;
    let callers = (0..CALLERS).map(|_| {
        let (client, errors, done) = (client.clone(), Arc::clone(&errors), Arc::clone(&done));
        tokio::spawn(async move {
            while Instant::now() < end {
                let answer = client.request(request(Target::Entry(entry), 1, false)).await;
                let ok = match answer {
                    Ok(answer) if answer.status().is_success() => {
                        answer.into_body().collect().await.is_ok()
                    }
                    _ => false,
                };
                let counter = if ok { &done } else { &errors };
                counter.fetch_add(1, Ordering::Relaxed);
            }
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("caller");
    }
    let wall = started.elapsed().as_secs_f64();
    let used = process.cpu_time().expect("processor time") - before;
    let done = done.load(Ordering::Relaxed) as f64;
    println!(
        "{}",
        json!({
            "bench": "throughput", "callers": CALLERS, "per_s": done / wall,
            "per_processor_s": done / used.as_secs_f64(),
            "errors": errors.load(Ordering::Relaxed),
        })
    );
}

/// Resident memory of a process, in KB.
fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

#[tokio::main]
async fn main() {
    let mut cluster = Cluster::start(1, "max-records = 100000").await;
    let arguments = ["--version", "small/1", "--token-ms", TOKEN_MS, "--slots", "4096"];
    let engine = cluster.stand_in("engine", "e0", &arguments);
    cluster.wait_until_served("small").await;
    let memory = resident_kb(cluster.entry_processes[0].id());
    println!("{}", json!({"bench": "memory", "idle_kb": memory}));
    let client = client::http_client();
    let requested: Vec<usize> = std::env::args().filter_map(|text| text.parse().ok()).collect();
    for streams in if requested.is_empty() { STREAMS.to_vec() } else { requested } {
        latency(&client, engine, &cluster, streams).await;
    }
    throughput(&client, &cluster, cluster.entries[0]).await;
    let memory = resident_kb(cluster.entry_processes[0].id());
    println!("{}", json!({"bench": "memory", "after_kb": memory}));
    let metrics = Http::new().get(cluster.entries[0], "/metrics").await.expect("metrics");
    let text = String::from_utf8_lossy(&metrics.body).into_owned();
    for line in text.lines().filter(|line| {
        line.contains("_requests_total")
            || line.contains("resumes_total")
            || line.contains("retries_total")
    }) {
        println!("{}", json!({"bench": "metric", "line": line}));
    }
}
