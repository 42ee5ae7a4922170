//! Fairness between workspaces over all entries, as the digest adjusts it in the scheduler.

use std::sync::Arc;

use hickoryreel_base::rank::Rank;
use hickoryreel_entry::metrics::Metrics;
use hickoryreel_entry::scheduler::Scheduler;
use hickoryreel_entry::scheduler::SlotRequest;
use hickoryreel_wire::endpoint::Announcement;
use hickoryreel_wire::endpoint::Load;
use hickoryreel_wire::endpoint::Role;
use hickoryreel_wire::endpoint::State;
use hickoryreel_wire::rpc::Digest;
use parking_lot::Mutex;
use tokio::sync::watch;

/// Requests of each of the two workspaces.
const REQUESTS: usize = 60;
/// Slots of the engine, which bound the requests granted before the digest.
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

fn slot_request(workspace: &str) -> SlotRequest {
    SlotRequest {
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

/// Queues requests of the workspaces `everywhere` and `here` while all slots are taken, applies the
/// digests and returns how many of the next 44 granted requests belong to `everywhere`.
async fn grants_of_shared_workspace(digests: &[Option<Digest>]) -> usize {
    let metrics = Arc::new(Metrics::default());
    let scheduler = Arc::new(Scheduler::new(&"entry0".into(), "r1".into(), 1.0, 1, metrics));
    scheduler.announce(engine());
    let (release, released) = watch::channel(false);
    let order = Arc::new(Mutex::new(Vec::new()));
    let tasks: Vec<_> = (0..2 * REQUESTS)
        .map(|number| {
            let (scheduler, order, mut released) =
                (Arc::clone(&scheduler), Arc::clone(&order), released.clone());
            tokio::spawn(async move {
                let workspace = ["everywhere", "here"][number % 2];
                let slot = scheduler.acquire(slot_request(workspace)).await.expect("a slot");
                order.lock().push(workspace);
                released.wait_for(|is_released| *is_released).await.expect("the release");
                drop(slot);
            })
        })
        .collect();
    // All tasks run on this thread, so each has requested its slot after these yields.
    for _ in 0..2 * REQUESTS {
        tokio::task::yield_now().await;
    }
    let granted_before = order.lock().len();
    assert!(
        (1..=SLOTS as usize).contains(&granted_before),
        "{granted_before} of the slots are taken"
    );
    let usage = scheduler.usage();
    assert_eq!(usage["small"][&Rank::Bulk].len(), 2, "both publish their demand");

    for digest in digests {
        scheduler.on_digest(digest.as_ref());
    }
    release.send(true).expect("tasks wait");
    for task in tasks {
        task.await.expect("a task");
    }
    let order = order.lock();
    order[granted_before..granted_before + 44]
        .iter()
        .filter(|workspace| **workspace == "everywhere")
        .count()
}

/// Guards against a workspace that receives its full share at each entry, and against a digest that
/// stays in effect after the leader stops sending one.
#[tokio::test]
async fn digest_divides_a_workspace_weight_among_entries() {
    let workspaces = [("everywhere".into(), (10, 100)), ("here".into(), (10, 10))].into();
    let digest: Digest = [("small".into(), [(Rank::Bulk, workspaces)].into())].into();

    let divided = grants_of_shared_workspace(&[Some(digest.clone())]).await;
    let without = grants_of_shared_workspace(&[None]).await;
    let cleared = grants_of_shared_workspace(&[Some(digest), None]).await;

    assert!((2..=8).contains(&divided), "served {divided} of 44, owed 4");
    assert!((18..=26).contains(&without), "served {without} of 44, owed 22");
    assert!((18..=26).contains(&cleared), "served {cleared} of 44, owed 22");
}
