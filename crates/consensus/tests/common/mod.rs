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
use hickoryreel_consensus::sim::Machine;
use hickoryreel_consensus::sim::Sim;
use hickoryreel_consensus::storage::Store;

/// Keeps every command, so that equal content means equal history.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Journal(pub(crate) Vec<(u64, Vec<u8>)>);

impl Machine for Journal {
    fn apply(&mut self, index: u64, command: &[u8]) {
        self.0.push((index, command.to_vec()));
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.0).expect("a journal is serializable")
    }

    fn restore(data: &[u8]) -> Self {
        Self(postcard::from_bytes(data).expect("the snapshot is whole"))
    }
}

/// Small limits, so that short runs reach them.
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

/// Lets time pass until there is a leader that a quorum confirmed.
pub(crate) fn elect(sim: &mut Sim<Journal>) -> ReplicaId {
    let end = sim.now() + 20 * SECOND;
    let done = sim.run_until(end, |sim| {
        let leader = sim.leader().and_then(|id| sim.get(id));
        leader.is_some_and(|(_, replica)| replica.quorum_confirmed_at().is_some())
    });
    assert!(done, "no leader within 20 s");
    sim.leader().expect("there is a leader")
}

/// Feeds an input and returns the answer to `token`, which must come within 10 s.
pub(crate) fn ask(sim: &mut Sim<Journal>, id: ReplicaId, token: u64, input: Input) -> Outcome {
    sim.input(id, input);
    let end = sim.now() + 10 * SECOND;
    sim.run_until(end, |sim| sim.replies.iter().any(|(_, reply)| reply.token == token));
    let position = sim.replies.iter().position(|(_, reply)| reply.token == token);
    sim.replies.remove(position.expect("a reply within 10 s")).1.outcome
}

pub(crate) fn propose(sim: &mut Sim<Journal>, id: ReplicaId, token: u64) -> Outcome {
    ask(sim, id, token, Input::Propose { token, payload: token.to_le_bytes().to_vec() })
}

pub(crate) fn change(
    sim: &mut Sim<Journal>,
    id: ReplicaId,
    token: u64,
    change: MemberChange,
) -> Outcome {
    ask(sim, id, token, Input::Change { token, change })
}

/// Commits the proposals with these tokens.
pub(crate) fn fill(sim: &mut Sim<Journal>, id: ReplicaId, tokens: std::ops::Range<u64>) {
    for token in tokens {
        assert!(matches!(propose(sim, id, token), Outcome::Committed { .. }), "proposal {token}");
    }
}

/// Crashes a replica and returns it restored from its disk, to be stepped by hand.
pub(crate) fn take(sim: &mut Sim<Journal>, id: ReplicaId, settings: &Settings) -> Replica {
    sim.crash(id);
    let (_, restored) = Store::open_disk(Box::new(sim.disk(id)), settings, || id).expect("opens");
    Replica::new(settings.clone(), restored, 1)
}

/// A message for `to` as an input.
pub(crate) fn message(from: ReplicaId, to: ReplicaId, term: u64, body: Body) -> Input {
    Input::Message(Message { from, to, term, body })
}
