//! Tests of the admission queue: floors, fairness and refusals.

use std::collections::BTreeMap;
use std::time::Duration;

use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::queue::Item;
use hickoryreel_policy::queue::Offer;
use hickoryreel_policy::queue::Queue;
use hickoryreel_policy::queue::Refusal;
use hickoryreel_policy::queue::Settings;
use hickoryreel_policy::share::Demand;

const NOW: Duration = Duration::from_secs(10);

fn queue(settings: Settings) -> Queue<u32> {
    Queue::new(settings, BTreeMap::new())
}

fn item(rank: Rank, workspace: &str, payload: u32) -> Item<u32> {
    Item { rank, workspace: workspace.into(), cost: 1.0, offered_at: NOW, payload }
}

fn fill(queue: &mut Queue<u32>, rank: Rank, workspace: &str, count: u32) {
    for payload in 0..count {
        let offer = queue.offer(item(rank, workspace, payload), NOW);
        assert!(matches!(offer, Offer::Queued { displaced: None }));
    }
}

fn serve(queue: &mut Queue<u32>, count: usize) -> Vec<Item<u32>> {
    (0..count).filter_map(|_| queue.next(&mut |_, _| true)).map(|next| next.item).collect()
}

/// Guards against a flood of urgent requests that starves the other ranks below their floors.
#[test]
fn floors_hold_in_an_urgent_flood() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Urgent, "a", 1_000);
    fill(&mut queue, Rank::Normal, "a", 1_000);
    fill(&mut queue, Rank::Bulk, "a", 1_000);

    let served = serve(&mut queue, 500);

    let share = |rank| served.iter().filter(|item| item.rank == rank).count() as f64 / 500.0;
    assert!(share(Rank::Normal) >= 0.19, "normal {}", share(Rank::Normal));
    assert!(share(Rank::Bulk) >= 0.045, "bulk {}", share(Rank::Bulk));
    assert!(share(Rank::Urgent) >= 0.74, "urgent {}", share(Rank::Urgent));
}

/// Guards against urgent requests that wait behind ranks without floor credit.
#[test]
fn urgent_requests_are_served_first() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Bulk, "a", 100);
    fill(&mut queue, Rank::Urgent, "a", 1);

    let served = serve(&mut queue, 1);

    assert_eq!(served[0].rank, Rank::Urgent);
}

/// Guards against a workspace that gains service by sending more requests.
#[test]
fn workspaces_share_a_rank_evenly() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Normal, "large", 1_000);
    fill(&mut queue, Rank::Normal, "small", 100);

    let served = serve(&mut queue, 200);

    let small = served.iter().filter(|item| item.workspace == Workspace::from("small")).count();
    assert!((95..=100).contains(&small), "small was served {small} of 200");
}

/// Guards against a workspace that receives a full share at each of several entries.
#[test]
fn the_digest_divides_a_weight_over_entries() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Normal, "everywhere", 1_000);
    fill(&mut queue, Rank::Normal, "here", 1_000);
    let key = |workspace: &str| (Rank::Normal, Workspace::from(workspace));
    let own = Demand::from([(key("everywhere"), 10.0), (key("here"), 10.0)]);
    let total = Demand::from([(key("everywhere"), 80.0), (key("here"), 10.0)]);

    queue.on_digest(&own, &total);
    let served = serve(&mut queue, 900);

    let everywhere =
        served.iter().filter(|item| item.workspace == Workspace::from("everywhere")).count();
    assert!((90..=110).contains(&everywhere), "served {everywhere} of 900, owed 100");
}

/// Guards against requests that are queued although they can't be dispatched in time.
#[test]
fn a_request_is_refused_when_its_wait_is_too_long() {
    let mut queue = queue(Settings::default());
    queue.set_slots(1.0);
    fill(&mut queue, Rank::Normal, "a", 2);

    let offer = queue.offer(item(Rank::Normal, "a", 9), NOW);

    let Offer::Refused { reason: Refusal::Wait { predicted, target }, item } = offer else {
        panic!("expected a refusal, found {offer:?}");
    };
    assert_eq!(
        (predicted, target, item.payload),
        (Duration::from_secs(2), Duration::from_millis(1_500), 9)
    );
}

/// Guards against a large workspace whose backlog refuses the requests of a small one.
#[test]
fn a_small_workspace_does_not_wait_for_the_backlog_of_a_large_one() {
    let mut queue = queue(Settings::default());
    queue.set_slots(1_000.0);
    fill(&mut queue, Rank::Normal, "large", 1_000);
    queue.set_slots(1.0);

    let offer = queue.offer(item(Rank::Normal, "small", 0), NOW);

    assert!(matches!(offer, Offer::Queued { .. }));
}

/// Guards against a full queue that refuses workspaces with a small backlog.
#[test]
fn a_full_queue_displaces_the_newest_request_of_the_largest_backlog() {
    let mut queue = queue(Settings { capacity: [3; 3], ..Settings::default() });
    fill(&mut queue, Rank::Bulk, "large", 3);

    let small = queue.offer(item(Rank::Bulk, "small", 7), NOW);
    let large = queue.offer(item(Rank::Bulk, "large", 8), NOW);

    let Offer::Queued { displaced: Some(displaced) } = small else {
        panic!("expected a displaced request, found {small:?}");
    };
    assert_eq!(displaced.payload, 2);
    assert!(matches!(large, Offer::Refused { reason: Refusal::Full, .. }));
}

/// Guards against requests that are dispatched after the rank's target wait.
#[test]
fn requests_expire_at_their_target() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Urgent, "a", 2);
    fill(&mut queue, Rank::Bulk, "a", 1);

    let early = queue.expire(NOW + Duration::from_millis(130));
    let late = queue.expire(NOW + Duration::from_millis(131));

    assert!(early.is_empty());
    assert_eq!(late.len(), 2);
    assert_eq!((queue.len(Rank::Urgent), queue.len(Rank::Bulk)), (0, 1));
}

/// Guards against head-of-line blocking by a rank without a free slot.
#[test]
fn a_rank_without_a_slot_does_not_block_another() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Urgent, "a", 1);
    fill(&mut queue, Rank::Bulk, "a", 1);

    let next = queue.next(&mut |item, _| item.rank == Rank::Bulk);

    assert_eq!(next.map(|next| next.item.rank), Some(Rank::Bulk));
}

/// Guards against weights and costs that stall the round robin or starve a workspace.
#[test]
fn extreme_weights_and_costs_are_served() {
    let weights = [("zero", 0.0), ("tiny", 1e-300), ("huge", 1e12), ("wrong", f64::NAN)];
    let by_name = weights.iter().map(|(name, weight)| (Workspace::from(*name), *weight));
    let mut queue: Queue<u32> = Queue::new(Settings::default(), by_name.collect());
    for (name, _) in weights {
        for cost in [0.0, 1e300, f64::NAN] {
            let offer = queue.offer(Item { cost, ..item(Rank::Bulk, name, 0) }, NOW);
            assert!(matches!(offer, Offer::Queued { .. }));
        }
    }

    assert_eq!(serve(&mut queue, 12).len(), 12);
}

/// Guards against a requeued request that is lost because its workspace is new to the queue.
#[test]
fn a_requeued_request_is_served_first() {
    let mut queue = queue(Settings::default());
    fill(&mut queue, Rank::Normal, "a", 2);

    queue.requeue(item(Rank::Normal, "b", 7));

    assert_eq!(serve(&mut queue, 1)[0].payload, 7);
    assert_eq!(serve(&mut queue, 3).len(), 2);
}
