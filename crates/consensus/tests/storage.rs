//! Storage faults: torn tails, corruption, failed syncs, full disks and crashes at every point.

mod common;

use rand::SeedableRng;
use rand::rngs::StdRng;

use hickoryreel_consensus::Entry;
use hickoryreel_consensus::Members;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::Record;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::Snapshot;
use hickoryreel_consensus::core::Output;
use hickoryreel_consensus::sim::MemoryDisk;
use hickoryreel_consensus::storage::Disk;
use hickoryreel_consensus::storage::Error;
use hickoryreel_consensus::storage::Restored;
use hickoryreel_consensus::storage::Store;

const ID: ReplicaId = ReplicaId(7);
const FIRST_SEGMENT: &str = "log-0000000000000001";

fn open(disk: &MemoryDisk) -> Result<(Store, Restored), Error> {
    Store::open_disk(Box::new(disk.clone()), &common::small_settings(), || ID)
}

fn reopen(disk: &MemoryDisk) -> Restored {
    open(disk).expect("the store opens").1
}

fn entry(index: u64, term: u64) -> Record {
    let payload = Payload::Command(vec![index as u8; 20].into());
    Record::Entry(Entry { index, term, payload })
}

fn entries(indexes: std::ops::RangeInclusive<u64>) -> Vec<Record> {
    indexes.map(|index| entry(index, 1)).collect()
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let data = vec![index as u8; 100].into();
    Snapshot { index, term, members: Members::default(), data }
}

fn indexes(restored: &Restored) -> Vec<u64> {
    restored.entries.iter().map(|entry| entry.index).collect()
}

/// Creates a store and syncs the given batches into one segment.
fn store_with(batches: &[Vec<Record>]) -> (MemoryDisk, Store) {
    let disk = MemoryDisk::default();
    let settings = Settings { segment_bytes: u64::MAX, ..Settings::default() };
    let (mut store, _) =
        Store::open_disk(Box::new(disk.clone()), &settings, || ID).expect("the store opens");
    for batch in batches {
        store.append(batch).expect("append");
        store.sync().expect("sync");
    }
    (disk, store)
}

fn length(disk: &MemoryDisk, name: &str) -> usize {
    let mut length = 0;
    disk.edit(name, |bytes| length = bytes.len());
    length
}

fn expect_corrupt(result: Result<(Store, Restored), Error>) -> (String, u64) {
    match result {
        Err(Error::Corrupt { file, offset, .. }) => (file, offset),
        Err(other) => panic!("unexpected error: {other}"),
        Ok((_, restored)) => panic!("the store opened: {restored:?}"),
    }
}

/// Guards against a restart that fails because a crash interrupted the write of a batch, or that
/// restores incomplete records.
#[test]
fn torn_tail_is_truncated_at_every_length() {
    let (disk, mut store) = store_with(&[entries(1..=3)]);
    let synced = length(&disk, FIRST_SEGMENT);
    store.append(&entries(4..=6)).unwrap();
    for cut in synced..length(&disk, FIRST_SEGMENT) {
        let (disk, mut store) = store_with(&[entries(1..=3)]);
        store.append(&entries(4..=6)).unwrap();
        disk.edit(FIRST_SEGMENT, |bytes| bytes.truncate(cut));

        let (mut store, restored) = open(&disk).unwrap();
        let last = restored.entries.last().unwrap().index;
        assert!((3..6).contains(&last), "cut at {cut}");
        store.append(&[entry(last + 1, 2)]).unwrap();
        store.sync().unwrap();

        assert_eq!(indexes(&reopen(&disk)), (1..=last + 1).collect::<Vec<_>>(), "cut at {cut}");
    }
}

/// Guards against treating a hole in an unsynced batch as corruption: after a crash, a later page
/// of the batch may be on disk and an earlier one may not.
#[test]
fn hole_in_an_unsynced_batch_is_truncated() {
    let (disk, mut store) = store_with(&[entries(1..=3)]);
    let synced = length(&disk, FIRST_SEGMENT);
    store.append(&entries(4..=6)).unwrap();
    disk.edit(FIRST_SEGMENT, |bytes| bytes[synced..synced + 30].fill(0));
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3]);
}

/// Guards against restoring, or silently dropping, a synced record that was damaged by a bit error.
#[test]
fn bit_error_in_a_synced_record_is_corruption() {
    const MARK_BYTES: usize = 24;
    let (disk, _) = store_with(&[entries(1..=2), entries(3..=3), entries(4..=5)]);
    for offset in 0..length(&disk, FIRST_SEGMENT) - MARK_BYTES {
        for bit in [1, 128] {
            disk.edit(FIRST_SEGMENT, |bytes| bytes[offset] ^= bit);
            let (file, reported) = expect_corrupt(open(&disk));
            assert_eq!(file, FIRST_SEGMENT);
            assert!(reported as usize <= offset && offset < reported as usize + 90, "at {offset}");
            disk.edit(FIRST_SEGMENT, |bytes| bytes[offset] ^= bit);
        }
    }
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3, 4, 5]);
}

/// Guards against starting with a part of the log or the snapshot missing or damaged.
#[test]
fn missing_or_damaged_files_are_corruption() {
    let build = || {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk).unwrap();
        for index in 1..=40 {
            store.append(&[entry(index, 1)]).unwrap();
            store.sync().unwrap();
            if index == 20 {
                store.write_snapshot(&snapshot(20, 1)).unwrap();
            }
        }
        disk
    };
    let names = build().names();
    assert!(names.len() > 3, "several segments and a snapshot: {names:?}");
    let (last, others) = names.split_last().unwrap();
    assert!(last.starts_with("snapshot-"));
    for name in &names {
        let disk = build();
        disk.edit(name, |bytes| bytes[30] ^= 4);
        assert_eq!(&expect_corrupt(open(&disk)).0, name, "damaged");
    }
    // A log without its last segment is a valid older log, so this loss cannot be detected from the
    // folder alone.
    for name in others[..others.len() - 1].iter().chain([last]) {
        let disk = build();
        Disk::remove(&mut disk.clone(), name).unwrap();
        expect_corrupt(open(&disk));
    }
}

/// Guards against a replica that lost all segments, but not its snapshot, and keeps its id: it
/// could vote twice in a term.
#[test]
fn replica_id_is_lost_with_the_log() {
    let (disk, mut store) = store_with(&[entries(1..=3)]);
    store.write_snapshot(&snapshot(3, 1)).unwrap();
    Disk::remove(&mut disk.clone(), FIRST_SEGMENT).unwrap();
    expect_corrupt(open(&disk));

    let first = Store::open(tempfile::tempdir().unwrap().path(), &Settings::default()).unwrap().1;
    let second = Store::open(tempfile::tempdir().unwrap().path(), &Settings::default()).unwrap().1;
    assert_ne!(first.id, second.id);
}

/// Guards against acknowledging records after a failed sync, because the operating system may have
/// dropped them.
#[test]
fn failed_sync_is_fatal() {
    let (disk, mut store) = store_with(&[entries(1..=3)]);
    store.append(&entries(4..=5)).unwrap();
    disk.set_fail_syncs(true);
    assert!(matches!(store.sync(), Err(Error::SyncFailed)));
    disk.set_fail_syncs(false);
    assert!(matches!(store.sync(), Err(Error::SyncFailed)));
    assert!(matches!(store.append(&entries(6..=6)), Err(Error::SyncFailed)));
    assert!(matches!(store.write_snapshot(&snapshot(3, 1)), Err(Error::SyncFailed)));
    drop(store);
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3]);
}

/// Guards against restored records that are not durable: after a process crash between append and
/// sync, records may be only in the page cache and would be lost in a crash of the machine.
#[test]
fn restored_records_are_synced() {
    let (disk, mut store) = store_with(&[entries(1..=3)]);
    store.append(&entries(4..=5)).unwrap();
    drop(store);
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3, 4, 5]);
    disk.crash(&mut StdRng::seed_from_u64(1));
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3, 4, 5]);
}

/// Guards against a partial batch, a lost record or a log that stays unusable after the disk was
/// full. The disk becomes full at every possible point: in a batch, a new segment or a snapshot.
#[test]
fn store_recovers_from_a_full_disk_at_every_size() {
    for free in 0..700 {
        let disk = MemoryDisk::default();
        let (mut store, _) = open(&disk).unwrap();
        store.append(&entries(1..=3)).unwrap();
        store.sync().unwrap();
        disk.set_capacity(Some(disk.size() + free));
        let mut next = 4;
        let refused = loop {
            let result = store.append(&entries(next..=next + 2)).and_then(|()| store.sync());
            match result {
                Ok(()) => next += 3,
                Err(error) => break error,
            }
        };
        assert!(matches!(refused, Error::Full), "{refused}");
        let full = store.write_snapshot(&snapshot(3, 1));
        assert!(matches!(full, Ok(()) | Err(Error::Full)), "{full:?}");

        disk.set_capacity(None);
        store.append(&entries(next..=next + 2)).unwrap();
        store.sync().unwrap();
        let restored = reopen(&disk);
        let first = restored.snapshot.as_ref().map_or(1, |snapshot| snapshot.index + 1);
        assert_eq!(indexes(&restored), (first..=next + 2).collect::<Vec<_>>(), "{free} bytes");
    }
}

/// What the store must contain after a crash, and what it may contain beyond that.
#[derive(Default)]
struct Expected {
    /// Index and term of the synced entries, which must be restored.
    synced: Vec<(u64, u64)>,
    /// Index and term of all written entries.
    written: Vec<(u64, u64)>,
    /// Hard states that may be restored.
    hard_state: Vec<(u64, Option<ReplicaId>)>,
    /// Index of the latest complete snapshot.
    snapshot: u64,
    /// Index of the latest snapshot whose write was started.
    snapshot_started: u64,
}

/// Runs a fixed sequence of operations until the disk fails.
fn run_workload(store: &mut Store, expected: &mut Expected) -> Result<(), Error> {
    let mut term = 0;
    for round in 0..30_u64 {
        let last = expected.written.len() as u64;
        let mut records = Vec::new();
        if round % 5 == 0 {
            term += 1;
            records.push(Record::HardState { term, vote: Some(ReplicaId(round.into())) });
            expected.hard_state.push((term, Some(ReplicaId(round.into()))));
        }
        // Every seventh batch replaces the last two entries.
        let from = if round % 7 == 6 { last - 1 } else { last + 1 };
        records.extend((from..from + 3).map(|index| entry(index, term)));
        expected.written.truncate(from as usize - 1);
        expected.synced.truncate(from as usize - 1);
        expected.written.extend((from..from + 3).map(|index| (index, term)));
        store.append(&records)?;
        store.sync()?;
        expected.synced = expected.written.clone();
        expected.hard_state.drain(..expected.hard_state.len() - 1);
        if round % 6 == 5 {
            let (index, term) = expected.written[expected.written.len() - 3];
            expected.snapshot_started = index;
            store.write_snapshot(&snapshot(index, term))?;
            expected.snapshot = index;
        }
    }
    Ok(())
}

/// Guards against a crash at any disk operation that makes the store unreadable, loses synced data
/// or yields data that was never written.
#[test]
fn crash_at_every_operation_keeps_what_was_synced() {
    let mut random = StdRng::seed_from_u64(5);
    let mut operations = 0;
    loop {
        let disk = MemoryDisk::default();
        let mut expected = Expected { hard_state: vec![(0, None)], ..Expected::default() };
        let (mut store, _) = open(&disk).unwrap();
        disk.stop_after(operations);
        let finished = run_workload(&mut store, &mut expected).is_ok();
        drop(store);
        disk.crash(&mut random);

        let restored = reopen(&disk);
        let snapshot_index = restored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        assert!(
            snapshot_index == expected.snapshot || snapshot_index == expected.snapshot_started,
            "at {operations}"
        );
        assert!(expected.hard_state.contains(&(restored.term, restored.vote)), "at {operations}");
        let restored_entries: Vec<_> =
            restored.entries.iter().map(|entry| (entry.index, entry.term)).collect();
        let synced = expected.synced.get(snapshot_index as usize..).unwrap_or_default();
        let first_index = restored_entries.first().map_or(snapshot_index + 1, |(index, _)| *index);
        assert_eq!(first_index, snapshot_index + 1, "at {operations}");
        assert!(
            restored_entries.len() >= synced.len(),
            "at {operations}: {restored_entries:?} lacks {synced:?}"
        );
        assert_eq!(&restored_entries[..synced.len()], synced, "at {operations}");
        if finished {
            assert!(operations > 100, "the history was not interrupted");
            break;
        }
        operations += 1;
    }
}

fn local_snapshot(index: u64) -> Output {
    let data = vec![index as u8; 1_000].into();
    let snapshot = Snapshot { index, term: 1, members: Members::default(), data };
    Output { snapshot: Some(snapshot.into()), ..Output::default() }
}

/// Guards against a large snapshot that delays heartbeats, against one that is never completed
/// because newer ones replace it, and against a crash during the write that loses the log.
#[test]
fn local_snapshot_is_written_in_steps() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    store.append(&entries(1..=40)).unwrap();
    store.sync().unwrap();
    let mut size = disk.size();
    store.persist(&local_snapshot(20)).unwrap();
    for calls in 0.. {
        assert!(calls < 15, "the first snapshot is never completed");
        assert!(disk.size() <= size + 150, "more than a step of 100 bytes and a header");
        size = disk.size();
        if store.snapshot_index() == Some(20) {
            break;
        }
        store.persist(&local_snapshot(21 + calls)).unwrap();
    }
    store.persist(&Output::default()).unwrap();
    drop(store);
    disk.crash(&mut StdRng::seed_from_u64(1));
    let restored = reopen(&disk);
    assert_eq!(restored.snapshot.as_ref().map(|snapshot| snapshot.index), Some(20));
    assert_eq!(indexes(&restored), (21..=40).collect::<Vec<_>>());
}

/// Guards against a snapshot that uses the last space, which the log needs.
#[test]
fn local_snapshot_is_discarded_when_the_disk_is_full() {
    let disk = MemoryDisk::default();
    let (mut store, _) = open(&disk).unwrap();
    store.append(&entries(1..=3)).unwrap();
    store.sync().unwrap();
    disk.set_capacity(Some(disk.size() + 450));
    store.persist(&local_snapshot(3)).unwrap();
    for _ in 0..20 {
        store.persist(&Output::default()).unwrap();
    }
    assert_eq!(store.snapshot_index(), None);
    let records = entries(4..=6);
    store.persist(&Output { records, ..Output::default() }).unwrap();
    assert_eq!(indexes(&reopen(&disk)), [1, 2, 3, 4, 5, 6]);
}

/// Guards against a crash between the write of a received snapshot and the reset of the log, after
/// which entries of a conflicting log would follow the snapshot.
#[test]
fn received_snapshot_discards_a_different_log() {
    let (disk, mut store) = store_with(&[entries(1..=10)]);
    store.write_snapshot(&snapshot(8, 3)).unwrap();
    drop(store);
    let (mut store, restored) = open(&disk).unwrap();
    assert_eq!(indexes(&restored), []);
    store.append(&[entry(9, 3)]).unwrap();
    store.sync().unwrap();
    assert_eq!(indexes(&reopen(&disk)), [9]);
}

/// Guards against removing files that the store did not create, and against leftover temporary
/// files that fill the disk.
#[test]
fn only_own_temporary_files_are_removed() {
    let (disk, _) = store_with(&[entries(1..=3)]);
    let names = ["log-0000000000000002.tmp", "notes.tmp", "snapshot-0000000000000009.tmp"];
    for name in names {
        Disk::create(&mut disk.clone(), name).unwrap();
    }
    reopen(&disk);
    assert_eq!(disk.names(), [FIRST_SEGMENT, "notes.tmp"]);
}

/// Guards against two processes that write to the same folder.
#[test]
fn folder_is_locked() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _) = Store::open(folder.path(), &Settings::default()).unwrap();
    let second = Store::open(folder.path(), &Settings::default());
    assert!(matches!(second, Err(Error::InUse)));
    drop(store);
    Store::open(folder.path(), &Settings::default()).unwrap();
}
