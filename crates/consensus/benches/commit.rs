//! Commit throughput of the protocol without I/O: in-memory replicas, instant message delivery and
//! instant syncs.

use std::collections::VecDeque;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::Throughput;
use criterion::criterion_group;
use criterion::criterion_main;

use hickoryreel_consensus::Member;
use hickoryreel_consensus::Message;
use hickoryreel_consensus::ReplicaId;
use hickoryreel_consensus::Settings;
use hickoryreel_consensus::core::Input;
use hickoryreel_consensus::core::Replica;
use hickoryreel_consensus::core::Role;
use hickoryreel_consensus::storage::Restored;

const PAYLOAD_BYTES: usize = 200;
/// Number of committed entries after which the replicas compact their logs.
const COMPACT_EVERY: u64 = 10_000;

/// An in-memory cluster. The id of each replica is its position in `replicas`.
struct Cluster {
    replicas: Vec<Replica>,
    messages: VecDeque<Message>,
    now: Duration,
    /// Commit index at the last compaction.
    compacted: u64,
}

impl Cluster {
    /// Creates a cluster whose first replica is the leader.
    fn new(voters: usize) -> Self {
        let ids = (0..voters as u128).map(ReplicaId);
        let member = |id| Member { id, address: "".into(), voter: true };
        let members: hickoryreel_consensus::Members = ids.clone().map(member).collect();
        let replica = |id| {
            let restored = Restored { id, term: 0, vote: None, snapshot: None, entries: vec![] };
            Replica::new(Settings::default(), restored, 1)
        };
        let replicas = ids.map(replica).collect();
        let messages = VecDeque::new();
        let mut cluster = Self { replicas, messages, now: Duration::ZERO, compacted: 0 };
        for at in 0..voters {
            cluster.feed(at, [Input::Bootstrap { members: members.clone() }]);
        }
        cluster.now = Duration::from_secs(2);
        cluster.feed(0, [Input::Tick]);
        cluster.deliver();
        assert_eq!(cluster.replicas[0].role(), Role::Leader);
        cluster
    }

    fn feed(&mut self, at: usize, inputs: impl IntoIterator<Item = Input>) {
        let mut output = self.replicas[at].step_all(inputs, self.now);
        loop {
            self.messages.extend(output.messages);
            self.messages.extend(output.after_sync);
            if output.records.is_empty() {
                return;
            }
            let persisted = Input::Persisted { up_to: output.sequence };
            output = self.replicas[at].step(persisted, self.now);
        }
    }

    fn deliver(&mut self) {
        while let Some(message) = self.messages.pop_front() {
            self.feed(message.to.0 as usize, [Input::Message(message)]);
        }
    }

    /// Commits a batch of `count` proposals.
    fn commit(&mut self, count: u64) {
        let target = self.replicas[0].last_index() + count;
        let propose = |token| Input::Propose { token, payload: vec![token as u8; PAYLOAD_BYTES] };
        self.feed(0, (0..count).map(propose));
        self.deliver();
        assert_eq!(self.replicas[0].commit_index(), target);
        if target > self.compacted + COMPACT_EVERY {
            self.compacted = target;
            for at in 0..self.replicas.len() {
                let index = self.replicas[at].commit_index();
                self.feed(at, [Input::Snapshot { index, data: Vec::new() }]);
            }
        }
    }
}

fn commit(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("commit");
    for voters in [3, 5] {
        for batch in [1, 64, 1_000] {
            let mut cluster = Cluster::new(voters);
            group.throughput(Throughput::Elements(batch));
            let id = BenchmarkId::new(format!("{voters}_voters"), batch);
            group.bench_function(id, |bencher| bencher.iter(|| cluster.commit(batch)));
        }
    }
    group.finish();
}

criterion_group!(benches, commit);
criterion_main!(benches);
