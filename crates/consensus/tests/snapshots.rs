//! Snapshots: restart after a snapshot at every index, catch-up by chunks, damaged chunks.

mod common;

use std::time::Duration;

use bytes::Bytes;

use hickoryreel_consensus::Members;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::message::Body;
use hickoryreel_consensus::message::Chunk;
use hickoryreel_consensus::message::Outcome;
use hickoryreel_consensus::message::Position;
use hickoryreel_consensus::sim::MemoryDisk;
use hickoryreel_consensus::sim::Network;
use hickoryreel_consensus::sim::Sim;
use hickoryreel_consensus::sim::StateMachine;
use hickoryreel_consensus::storage::Store;

use common::CommandLog;
use common::SECOND;
use common::commit_proposals;
use common::elect;

/// Guards against a lost or repeated entry, or lost members, after a restart from a snapshot at any
/// index.
#[test]
fn snapshot_at_every_index_gives_the_same_state_after_restart() {
    const COUNT: u64 = 20;
    // The first two entries are the initial members and the leader's no-op entry.
    for index in 3..=COUNT + 2 {
        let mut sim: Sim<CommandLog> = Sim::new(index, common::small_settings(), 3);
        let leader = elect(&mut sim);
        let members = sim.get(leader).unwrap().1.members().clone();
        for token in 0..COUNT {
            commit_proposals(&mut sim, leader, token..token + 1);
            let (machine, replica) = sim.get(leader).unwrap();
            if replica.commit_index() == index {
                let data = machine.snapshot();
                sim.input(leader, Input::Snapshot { index, data });
            }
        }
        let expected = sim.get(leader).unwrap().0.clone();
        assert_eq!(expected.0.len() as u64, COUNT);

        sim.run_for(SECOND);
        let names = sim.disk(leader).names();
        assert!(names.contains(&format!("snapshot-{index:016x}")), "{names:?}");

        for id in members.voters() {
            sim.crash(id);
        }
        for id in members.voters() {
            sim.start(id);
        }
        let next = elect(&mut sim);
        sim.run_for(SECOND);
        assert_eq!(sim.get(next).unwrap().0, &expected, "snapshot at {index}");
        assert_eq!(sim.get(leader).unwrap().0, &expected, "snapshot at {index}");
        assert_eq!(sim.get(leader).unwrap().1.members(), &members, "snapshot at {index}");
    }
}

/// Guards against a replica that never catches up when the entries it needs are compacted and
/// chunks are lost, duplicated and reordered.
#[test]
fn catch_up_by_chunks() {
    for seed in 0..20 {
        let mut sim: Sim<CommandLog> = Sim::new(seed, common::small_settings(), 3);
        sim.snapshot_every = Some(10);
        let leader = elect(&mut sim);
        let members = sim.get(leader).unwrap().1.members().clone();
        let behind = members.voters().find(|id| *id != leader).unwrap();
        sim.crash(behind);
        commit_proposals(&mut sim, leader, 0..100);
        sim.network = Network { loss: 0.2, duplication: 0.2, max_delay: Duration::from_millis(20) };
        sim.start(behind);
        let end = sim.now() + 60 * SECOND;
        let caught_up = sim.run_until(end, |sim| {
            let commit = |id| sim.get(id).unwrap().1.commit_index();
            commit(behind) == commit(leader)
        });
        assert!(caught_up, "seed {seed}");
        assert_eq!(sim.get(behind).unwrap().0, sim.get(leader).unwrap().0, "seed {seed}");
        assert_eq!(sim.get(behind).unwrap().1.members(), &members);
    }
}

/// Guards against sending a snapshot to a replica that lacks only a few entries, and against
/// keeping more entries in memory than the limits permit.
#[test]
fn short_gap_is_filled_from_the_log() {
    let wide = common::small_settings();
    let by_count = Settings { trailing_entries: 2, ..wide.clone() };
    let by_bytes = Settings { trailing_bytes: 50, ..wide.clone() };
    for (settings, needs_snapshot) in [(wide, false), (by_count, true), (by_bytes, true)] {
        let mut sim: Sim<CommandLog> = Sim::new(1, settings, 3);
        let leader = elect(&mut sim);
        let members = sim.get(leader).unwrap().1.members().clone();
        let behind = members.voters().find(|id| *id != leader).unwrap();
        commit_proposals(&mut sim, leader, 0..10);
        sim.run_for(SECOND);
        sim.crash(behind);
        commit_proposals(&mut sim, leader, 10..14);
        let (machine, replica) = sim.get(leader).unwrap();
        let (index, data) = (replica.commit_index(), machine.snapshot());
        sim.input(leader, Input::Snapshot { index, data });
        sim.start(behind);
        sim.run_for(2 * SECOND);
        assert_eq!(sim.get(behind).unwrap().0, sim.get(leader).unwrap().0);
        let names = sim.disk(behind).names();
        let installed = names.iter().any(|name| name.starts_with("snapshot-"));
        assert_eq!(installed, needs_snapshot, "{names:?}");
    }
}

/// Guards against a snapshot transfer that cannot be completed after the leader crashes.
#[test]
fn catch_up_continues_with_another_leader() {
    let mut sim: Sim<CommandLog> = Sim::new(4, common::small_settings(), 3);
    sim.snapshot_every = Some(10);
    let leader = elect(&mut sim);
    commit_proposals(&mut sim, leader, 0..100);
    sim.run_for(SECOND);
    let new = sim.add();
    let change =
        hickoryreel_consensus::core::MemberChange::AddLearner { id: new, address: "new".into() };
    common::change(&mut sim, leader, 1_000, change);
    sim.run_for(Duration::from_millis(30));
    assert_eq!(sim.get(new).unwrap().0, &CommandLog::default(), "still in transfer");
    sim.crash(leader);
    let next = elect(&mut sim);
    sim.run_for(2 * SECOND);
    assert_eq!(sim.get(new).unwrap().0, sim.get(next).unwrap().0);
}

fn receiver() -> Replica {
    let (_, restored) =
        Store::open_disk(Box::new(MemoryDisk::default()), &common::small_settings(), || {
            ReplicaId(2)
        })
        .expect("the store opens");
    Replica::new(common::small_settings(), restored, 1)
}

fn chunk(offset: u64, data: &'static [u8]) -> Input {
    const CONTENT: &[u8] = b"0123456789";
    let chunk = Chunk {
        last: Position { index: 50, term: 3 },
        members: Members::default(),
        total: CONTENT.len() as u64,
        checksum: crc32fast::hash(CONTENT),
        offset,
        data: Bytes::from_static(data),
        round: 1,
    };
    let body = Body::Chunk(chunk);
    Input::Message(Message { from: ReplicaId(1), to: ReplicaId(2), term: 4, body })
}

/// Guards against installing a snapshot with a chunk that was damaged in transit.
#[test]
fn damaged_snapshot_is_not_installed() {
    let mut replica = receiver();
    replica.step(chunk(0, b"01234"), SECOND);
    let output = replica.step(chunk(5, b"56x89"), SECOND);
    assert!(output.install.is_none());
    let body = &output.messages[0].body;
    assert!(matches!(body, Body::ChunkReply { offset: 0, .. }), "{body:?}");

    replica.step(chunk(0, b"01234"), SECOND);
    let output = replica.step(chunk(5, b"56789"), SECOND);
    assert_eq!(&output.install.expect("installed").data[..], b"0123456789");
}

/// Guards against acknowledging a snapshot before it is synced, and against gaps, repeated chunks
/// and overlong chunks that corrupt the content.
#[test]
fn chunks_are_collected_in_order() {
    let mut replica = receiver();
    for early in [chunk(5, b"56789"), chunk(2, b"23")] {
        let output = replica.step(early, SECOND);
        let body = &output.messages[0].body;
        assert!(matches!(body, Body::ChunkReply { offset: 0, .. }), "{body:?}");
    }
    replica.step(chunk(0, b"01234"), SECOND);
    replica.step(chunk(0, b"01234"), SECOND);
    let overlong = replica.step(chunk(5, b"567890"), SECOND);
    assert!(overlong.install.is_none());
    let output = replica.step(chunk(5, b"56789"), SECOND);
    assert!(output.install.is_some() && output.messages.is_empty());
    let body = &output.after_sync[0].body;
    let expected = Body::AppendReply { outcome: Outcome::Matched(50), round: 1 };
    assert_eq!(body, &expected);
}

/// Guards against accepting a snapshot of uncommitted entries, or one older than the latest
/// snapshot.
#[test]
fn uncommitted_and_outdated_snapshots_are_ignored() {
    let mut sim: Sim<CommandLog> = Sim::new(1, common::small_settings(), 1);
    let leader = elect(&mut sim);
    commit_proposals(&mut sim, leader, 0..10);
    let commit = sim.get(leader).unwrap().1.commit_index();
    let snapshots = |sim: &Sim<CommandLog>| {
        let names = sim.disk(leader).names();
        names.into_iter().filter(|name| name.starts_with("snapshot-")).collect::<Vec<_>>()
    };
    sim.input(leader, Input::Snapshot { index: commit + 1, data: vec![1] });
    sim.run_for(SECOND);
    assert!(snapshots(&sim).is_empty());
    let data = sim.get(leader).unwrap().0.snapshot();
    sim.input(leader, Input::Snapshot { index: commit, data });
    sim.run_for(SECOND);
    let newest = snapshots(&sim);
    assert_eq!(newest.len(), 1);
    sim.input(leader, Input::Snapshot { index: commit - 1, data: vec![1] });
    sim.run_for(SECOND);
    assert_eq!(snapshots(&sim), newest);
}
