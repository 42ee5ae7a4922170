//! Request records: applied changes per second, bytes per command, memory per record, and the time
//! and size of snapshots.
//!
//! `cargo bench -p hickoryreel-state` prints the sizes once and measures the times.

use std::hint::black_box;

use criterion::BatchSize;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;
use hickoryreel_state::command::Action;
use hickoryreel_state::command::Change;
use hickoryreel_state::command::Command;
use hickoryreel_state::command::Holder;
use hickoryreel_state::command::Operation;
use hickoryreel_state::command::RecordChange;
use hickoryreel_state::limits::Limits;
use hickoryreel_state::machine::Machine;
use hickoryreel_state::record::Close;
use hickoryreel_state::record::End;
use hickoryreel_state::record::Key;
use hickoryreel_state::record::Open;
use hickoryreel_state::record::Target;
use hickoryreel_state::record::Usage;

const START_MS: u64 = 1_796_371_200_000;
const WORKSPACES: u64 = 10;
const ENTRIES: u64 = 8;
const ENDPOINTS: u64 = 15;

fn bundle() -> String {
    let mut text = "[bundle]\ndeployment = registry\n[version quill/v1]\n".to_owned();
    for number in 0..WORKSPACES {
        let key = number.to_string().repeat(64);
        text +=
            &format!("[workspace workspace-{number}]\nkey-sha256 = {key}\nversions = quill/v1\n");
    }
    text
}

struct Log {
    machine: Machine,
    index: u64,
}

impl Log {
    fn start() -> Self {
        let mut log = Self { machine: Machine::default(), index: 0 };
        log.apply(Action::SetLimits(Limits { records: u32::MAX, ..Limits::default() }));
        let text = bundle().into();
        let changes =
            [Change::Submit { text }, Change::SignOff { bundle: 1 }, Change::RollOut { bundle: 1 }];
        for (number, change) in changes.into_iter().enumerate() {
            log.apply(Action::Operate(Operation {
                operator: ["ann", "ben"][number % 2].into(),
                request: number.to_string().into(),
                based_on: number as u64,
                change,
            }));
        }
        log
    }

    fn apply(&mut self, action: Action) {
        self.index += 1;
        black_box(self.machine.apply(self.index, &Command { at_ms: START_MS, action }));
    }

    /// A log with `count` closed records.
    fn with_records(count: u64) -> Self {
        let mut log = Self::start();
        for number in 0..count {
            log.apply(Action::Records(open_and_close(number)));
        }
        assert_eq!(log.machine.totals().values().map(|totals| totals.billed).sum::<u64>(), count);
        log
    }
}

fn open(number: u64) -> Open {
    Open {
        key: Key {
            workspace: format!("workspace-{}", number % WORKSPACES).into(),
            request: format!("018f4e5a-7c1b-7000-8000-{number:012x}").into(),
        },
        holder: Holder {
            entry: format!("entry-attica-{}", number % ENTRIES).into(),
            incarnation: START_MS,
        },
        attempt: number,
        target: Target::Version("quill/v1".into()),
        endpoint: format!("engine-attica-{}", number % ENDPOINTS).into(),
        run_once: false,
        session: None,
        digest: 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number),
        revision: 3,
        request_ms: START_MS,
    }
}

fn close(open: &Open) -> Close {
    let usage = Usage { prompt_tokens: 812, completion_tokens: 164, cost: 0.976 };
    Close {
        key: open.key.clone(),
        holder: open.holder.clone(),
        attempt: open.attempt,
        end: End::Answered(usage),
        runs: Default::default(),
        answer: None,
    }
}

/// The open and the close of one request.
fn open_and_close(number: u64) -> Vec<RecordChange> {
    let open = open(number);
    let close = close(&open);
    vec![RecordChange::Open(open), RecordChange::Close(close)]
}

fn print_sizes() {
    let command = |change| Command { at_ms: START_MS, action: Action::Records(vec![change]) };
    let commands = open_and_close(1_000_000).into_iter().map(command);
    for (name, command) in ["open", "close"].into_iter().zip(commands) {
        let postcard = postcard::to_stdvec(&command).expect("it encodes").len();
        let json = serde_json::to_vec(&command).expect("it encodes").len();
        println!("{name}: {postcard} bytes in postcard, {json} bytes in JSON");
    }
}

/// Resident memory of this process in bytes, on systems that have `/proc`.
fn resident_bytes() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kib| kib * 1024)
}

/// Prints the memory per record. All logs are kept until the end: memory freed by one of them would
/// be reused by the next without a growth of the resident memory.
fn print_memory() {
    let mut logs = Vec::new();
    for count in [10_000, 100_000, 1_000_000] {
        let before = resident_bytes();
        logs.push(Log::with_records(count));
        if let (Some(before), Some(after)) = (before, resident_bytes()) {
            println!("{count} records: {} resident bytes each", (after - before) / count);
        }
    }
}

fn apply_records(criterion: &mut Criterion) {
    print_sizes();
    print_memory();
    let mut group = criterion.benchmark_group("apply");
    for batch in [1, 64] {
        // Opens and closes alternate, so half of the changes in a batch of 64 are opens.
        let changes: Vec<RecordChange> = (0..32_000).flat_map(open_and_close).collect();
        group.throughput(Throughput::Elements(changes.len() as u64));
        let actions: Vec<Action> =
            changes.chunks(batch).map(|chunk| Action::Records(chunk.to_vec())).collect();
        group.sample_size(10).bench_function(format!("batch of {batch}"), |bencher| {
            bencher.iter_batched(
                || (Log::start(), actions.clone()),
                |(mut log, actions)| {
                    for action in actions {
                        log.apply(action);
                    }
                    log
                },
                BatchSize::PerIteration,
            );
        });
    }
    group.finish();
}

fn decode(criterion: &mut Criterion) {
    let changes: Vec<RecordChange> = (0..32).flat_map(open_and_close).collect();
    let command = Command { at_ms: START_MS, action: Action::Records(changes) };
    let postcard = postcard::to_stdvec(&command).expect("it encodes");
    let json = serde_json::to_vec(&command).expect("it encodes");
    let mut group = criterion.benchmark_group("decode 64 changes");
    group.throughput(Throughput::Elements(64));
    group.bench_function("postcard", |bencher| {
        bencher.iter(|| postcard::from_bytes::<Command>(&postcard));
    });
    group.bench_function("JSON", |bencher| {
        bencher.iter(|| serde_json::from_slice::<Command>(&json));
    });
    group.finish();
}

fn snapshots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot");
    group.sample_size(10);
    for count in [10_000, 100_000, 1_000_000] {
        let log = Log::with_records(count);
        let snapshot = log.machine.snapshot();
        println!("{count} records: snapshot of {} bytes", snapshot.len());
        group.bench_function(format!("write {count}"), |bencher| {
            bencher.iter(|| log.machine.snapshot());
        });
        group.bench_function(format!("digest {count}"), |bencher| {
            bencher.iter(|| log.machine.digest());
        });
        group.bench_function(format!("restore {count}"), |bencher| {
            bencher.iter(|| Machine::restore(&snapshot));
        });
    }
    group.finish();
}

criterion_group!(benches, apply_records, decode, snapshots);
criterion_main!(benches);
