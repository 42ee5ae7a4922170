//! Fixtures shared by the tests.
#![allow(dead_code)]

use std::time::Duration;

use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::MemberChange;
use hickoryreel_consensus::core::Outcome;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::message::Body;
use hickoryreel_consensus::sim::Sim;
use hickoryreel_consensus::sim::StateMachine;
use hickoryreel_consensus::storage::Store;

/// State machine that records every command with its index, so that equal states imply equal logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CommandLog(pub(crate) Vec<(u64, Vec<u8>)>);

impl StateMachine for CommandLog {
    fn apply(&mut self, index: u64, command: &[u8]) {
        self.0.push((index, command.to_vec()));
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.0).expect("the command log is serializable")
    }

    fn restore(data: &[u8]) -> Self {
        Self(postcard::from_bytes(data).expect("the snapshot can be decoded"))
    }
}

/// Settings with small limits, so that short runs reach them.
pub(crate) fn small_settings() -> Settings {
    Settings {
        max_append_bytes: 256,
        max_append_entries: 4,
        max_inflight: 3,
        snapshot_chunk_bytes: 64,
        snapshot_step_bytes: 100,
        trailing_entries: 4,
        promote_lag_entries: 4,
        segment_bytes: 512,
        ..Settings::default()
    }
}

pub(crate) const SECOND: Duration = Duration::from_secs(1);

/// Advances the time until a quorum has confirmed a leader.
pub(crate) fn elect(sim: &mut Sim<CommandLog>) -> ReplicaId {
    let end = sim.now() + 20 * SECOND;
    let done = sim.run_until(end, |sim| {
        let leader = sim.leader().and_then(|id| sim.get(id));
        leader.is_some_and(|(_, replica)| replica.quorum_confirmed_at().is_some())
    });
    assert!(done, "no leader within 20 s");
    sim.leader().expect("there is a leader")
}

/// Sends an input and returns the outcome for `token`. Panics if there is none within 10 s.
pub(crate) fn request(
    sim: &mut Sim<CommandLog>,
    id: ReplicaId,
    token: u64,
    input: Input,
) -> Outcome {
    sim.input(id, input);
    let end = sim.now() + 10 * SECOND;
    sim.run_until(end, |sim| sim.replies.iter().any(|(_, reply)| reply.token == token));
    let position = sim.replies.iter().position(|(_, reply)| reply.token == token);
    sim.replies.remove(position.expect("a reply within 10 s")).1.outcome
}

pub(crate) fn propose(sim: &mut Sim<CommandLog>, id: ReplicaId, token: u64) -> Outcome {
    request(sim, id, token, Input::Propose { token, payload: token.to_le_bytes().to_vec() })
}

pub(crate) fn change(
    sim: &mut Sim<CommandLog>,
    id: ReplicaId,
    token: u64,
    change: MemberChange,
) -> Outcome {
    request(sim, id, token, Input::Change { token, change })
}

/// Proposes and commits one command per token.
pub(crate) fn commit_proposals(
    sim: &mut Sim<CommandLog>,
    id: ReplicaId,
    tokens: std::ops::Range<u64>,
) {
    for token in tokens {
        assert!(matches!(propose(sim, id, token), Outcome::Committed { .. }), "proposal {token}");
    }
}

/// Crashes a replica and returns a new one restored from its disk, which the test steps itself.
pub(crate) fn crash_and_restore(
    sim: &mut Sim<CommandLog>,
    id: ReplicaId,
    settings: &Settings,
) -> Replica {
    sim.crash(id);
    let (_, restored) = Store::open_disk(Box::new(sim.disk(id)), settings, || id).expect("opens");
    Replica::new(settings.clone(), restored, 1)
}

/// Creates an input with a message for `to`.
pub(crate) fn message(from: ReplicaId, to: ReplicaId, term: u64, body: Body) -> Input {
    Input::Message(Message { from, to, term, body })
}
