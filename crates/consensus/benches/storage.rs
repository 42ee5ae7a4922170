//! Write-ahead log and snapshots in a temporary folder on the file system.

use std::hint::black_box;

use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::Record;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::Snapshot;
use hickoryreel_consensus::core::Output;
use hickoryreel_consensus::storage::Store;

const RECORD_BYTES: usize = 200;
const COUNTS: [u64; 3] = [10_000, 100_000, 1_000_000];

fn records(from: u64, count: u64) -> Vec<Record> {
    let entry = |index| {
        let payload = Payload::Command(vec![index as u8; RECORD_BYTES].into());
        Record::Entry(Entry { index, term: 1, payload })
    };
    (from..from + count).map(entry).collect()
}

fn snapshot(index: u64, count: u64) -> Snapshot {
    let data: Vec<u8> = (0..count as usize * RECORD_BYTES).map(|at| (at / 7) as u8).collect();
    Snapshot { index, term: 1, members: Members::default(), data: data.into() }
}

fn open(folder: &tempfile::TempDir) -> Store {
    Store::open(folder.path(), &Settings::default()).expect("the store opens").0
}

fn append_and_sync(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("append_and_sync");
    for count in [1, 64] {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open(&folder);
        let mut next = 1;
        group.throughput(Throughput::Elements(count));
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter_batched(
                || {
                    next += count;
                    records(next - count, count)
                },
                |records| {
                    store.append(&records).expect("append");
                    store.sync().expect("sync");
                },
                BatchSize::SmallInput,
            );
        });
    }
    group.finish();
}

fn snapshot_write(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot_write");
    group.sample_size(10);
    for count in COUNTS {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open(&folder);
        let mut next = snapshot(0, count);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                next.index += 1;
                store.write_snapshot(&next).expect("write");
            });
        });
    }
    group.finish();
}

/// One step of a local snapshot, which is the pause per output while the snapshot is written.
fn snapshot_step(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot_step");
    for count in COUNTS {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open(&folder);
        let mut next = snapshot(0, count);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| {
                let mut output = Output::default();
                if store.snapshot_index() == Some(next.index) || next.index == 0 {
                    next.index += 1;
                    output.snapshot = Some(next.clone().into());
                }
                store.persist(&output).expect("persist");
            });
        });
    }
    group.finish();
}

fn snapshot_recovery(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("snapshot_recovery");
    group.sample_size(10);
    for count in COUNTS {
        let folder = tempfile::tempdir().expect("a folder");
        open(&folder).write_snapshot(&snapshot(count, count)).expect("write");
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(open(&folder)));
        });
    }
    group.finish();
}

fn log_recovery(criterion: &mut Criterion) {
    const BATCH: u64 = 1_000;
    let mut group = criterion.benchmark_group("log_recovery");
    group.sample_size(10);
    for count in COUNTS {
        let folder = tempfile::tempdir().expect("a folder");
        let mut store = open(&folder);
        for from in (1..count).step_by(BATCH as usize) {
            store.append(&records(from, BATCH)).expect("append");
        }
        store.sync().expect("sync");
        drop(store);
        group.bench_function(BenchmarkId::from_parameter(count), |bencher| {
            bencher.iter(|| black_box(open(&folder)));
        });
    }
    group.finish();
}

criterion_group!(
    benches,
    append_and_sync,
    snapshot_write,
    snapshot_step,
    snapshot_recovery,
    log_recovery
);
criterion_main!(benches);
