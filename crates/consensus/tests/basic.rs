//! A single voter with its store in a folder of the file system.

use std::time::Duration;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::Payload;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Output;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::storage::Store;

/// Processes `inputs` and the inputs that the store returns until there are none left. Returns the
/// merged output.
fn drive(replica: &mut Replica, store: &mut Store, inputs: Vec<Input>, now: Duration) -> Output {
    let mut merged = Output::default();
    let mut inputs = inputs;
    while !inputs.is_empty() {
        let mut output = replica.step_all(inputs, now);
        inputs = store.write(&mut output).expect("write").inputs;
        merged.merge(output);
    }
    merged
}

fn commands(output: &Output) -> Vec<Vec<u8>> {
    let commands = output.committed.iter().filter_map(|entry| match &entry.payload {
        Payload::Command(bytes) => Some(bytes.to_vec()),
        _ => None,
    });
    commands.collect()
}

/// Guards against a single-voter cluster that cannot elect a leader, or that loses acknowledged
/// proposals in a restart.
#[test]
fn single_voter_commits_and_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let settings = Settings::default();
    let (mut store, restored) = Store::open(folder.path(), &settings).unwrap();
    let id = restored.id;
    let mut replica = Replica::new(settings.clone(), restored, 1);
    let members = [Member { id, address: "one".into(), voter: true }].into_iter().collect();
    drive(&mut replica, &mut store, vec![Input::Bootstrap { members }], Duration::ZERO);
    drive(&mut replica, &mut store, vec![Input::Tick], Duration::from_secs(2));
    assert_eq!(replica.role(), Role::Leader);

    let inputs = vec![
        Input::Propose { token: 1, payload: b"a".to_vec() },
        Input::Propose { token: 2, payload: b"b".to_vec() },
        Input::Read { token: 3 },
    ];
    let output = drive(&mut replica, &mut store, inputs, Duration::from_secs(2));
    assert_eq!(commands(&output), [b"a", b"b"]);
    let replies: Vec<_> =
        output.replies.into_iter().map(|reply| (reply.token, reply.outcome)).collect();
    assert_eq!(
        replies,
        [
            (3, Outcome::ReadReady { index: 2 }),
            (1, Outcome::Committed { index: 3 }),
            (2, Outcome::Committed { index: 4 }),
        ]
    );

    drop(store);
    let (mut store, restored) = Store::open(folder.path(), &settings).unwrap();
    assert_eq!(restored.id, id);
    let mut replica = Replica::new(settings, restored, 2);
    drive(&mut replica, &mut store, vec![Input::Tick], Duration::ZERO);
    let output = drive(&mut replica, &mut store, vec![Input::Tick], Duration::from_secs(2));
    assert_eq!(commands(&output), [b"a", b"b"]);
}
