//! Fairness over entries in the schedule.

use std::sync::Arc;

use hickoryreel_base::rank::Rank;
use hickoryreel_entry::metrics::Metrics;
use hickoryreel_entry::schedule::Job;
use hickoryreel_entry::schedule::Schedule;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;
use hickoryreel_wire::rpc::Digest;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Requests of each of the two workspaces.
const REQUESTS: usize = 60;
/// Slots of the engine. At most that many requests are granted before the digest.
const SLOTS: u32 = 8;

fn engine() -> Announcement {
    Announcement {
        endpoint: "e0".into(),
        incarnation: 1,
        sequence: 1,
        address: ([127, 0, 0, 1], 1).into(),
        region: "r1".into(),
        zone: "z1".into(),
        role: Role::Engine { versions: vec!["small/1".into()], checks_fence: false },
        state: State::Serving,
        load: Load { slots: SLOTS, ..Load::default() },
    }
}

fn job(workspace: &str) -> Job {
    Job {
        rank: Rank::Bulk,
        workspace: workspace.into(),
        version: "small/1".into(),
        prompt_tokens: 10,
        max_tokens: 20,
        prefixes: Vec::new(),
        bytes: 0,
        tried: Vec::new(),
    }
}

/// Queues requests of `everywhere` and `here` behind full slots, feeds the digests and returns how
/// many of the next 44 requests are of `everywhere`.
async fn served(digests: &[Option<Digest>]) -> usize {
    let metrics = Arc::new(Metrics::default());
    let schedule = Arc::new(Schedule::new(&"entry0".into(), "r1".into(), 1.0, 1, metrics));
    schedule.announce(engine());
    let (open, gate) = watch::channel(false);
    let order = Arc::new(Mutex::new(Vec::new()));
    let tasks: Vec<_> = (0..2 * REQUESTS)
        .map(|number| {
            let (schedule, order, mut gate) =
                (Arc::clone(&schedule), Arc::clone(&order), gate.clone());
            tokio::spawn(async move {
                let workspace = ["everywhere", "here"][number % 2];
                let grant = schedule.acquire(job(workspace)).await.expect("a slot");
                order.lock().push(workspace);
                gate.wait_for(|open| *open).await.expect("the gate");
                drop(grant);
            })
        })
        .collect();
    // All tasks run on this thread: each has asked for its slot when control comes back.
    for _ in 0..2 * REQUESTS {
        tokio::task::yield_now().await;
    }
    let before = order.lock().len();
    assert!((1..=SLOTS as usize).contains(&before), "{before} of the slots are taken");
    let usage = schedule.usage();
    assert_eq!(usage["small"][&Rank::Bulk].len(), 2, "both publish their demand");

    for digest in digests {
        schedule.on_digest(digest.as_ref());
    }
    open.send(true).expect("tasks wait");
    for task in tasks {
        task.await.expect("a task");
    }
    let order = order.lock();
    order[before..before + 44].iter().filter(|workspace| **workspace == "everywhere").count()
}

/// Guards against a workspace that receives a full share at each entry, and against a digest that
/// stays in force when the leader has none.
#[tokio::test]
async fn digest_divides_a_weight_over_entries() {
    let workspaces = [("everywhere".into(), (10, 100)), ("here".into(), (10, 10))].into();
    let digest: Digest = [("small".into(), [(Rank::Bulk, workspaces)].into())].into();

    let divided = served(&[Some(digest.clone())]).await;
    let without = served(&[None]).await;
    let forgotten = served(&[Some(digest), None]).await;

    assert!((2..=8).contains(&divided), "served {divided} of 44, owed 4");
    assert!((18..=26).contains(&without), "served {without} of 44, owed 22");
    assert!((18..=26).contains(&forgotten), "served {forgotten} of 44, owed 22");
}
