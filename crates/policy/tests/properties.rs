//! Property tests of the queue, the allocation and endpoint selection.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use hickoryreel_base::name;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::eject::Outcome;
use hickoryreel_policy::pick;
use hickoryreel_policy::queue;
use hickoryreel_policy::queue::Item;
use hickoryreel_policy::queue::Offer;
use hickoryreel_policy::queue::Queue;
use hickoryreel_policy::share;
use hickoryreel_policy::share::Demand;
use hickoryreel_policy::view;
use hickoryreel_policy::view::Endpoint;
use hickoryreel_policy::view::Rates;
use hickoryreel_policy::view::Report;
use hickoryreel_policy::view::View;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// An operation on the queue: an offer of (rank, workspace, cost), a dispatch for which a slot is
/// free or not, or an expiry after some milliseconds.
#[derive(Clone, Debug)]
enum Operation {
    Offer(usize, usize, f64),
    Next(bool),
    Wait(u64),
}

fn operations() -> impl Strategy<Value = Vec<Operation>> {
    let offer = (0..3_usize, 0..4_usize, 0.1..5.0_f64)
        .prop_map(|(rank, workspace, cost)| Operation::Offer(rank, workspace, cost));
    let operation = prop_oneof![
        3 => offer,
        2 => any::<bool>().prop_map(Operation::Next),
        1 => (1..500_u64).prop_map(Operation::Wait),
    ];
    prop::collection::vec(operation, 1..200)
}

proptest! {
    #![proptest_config(config())]

    /// Guards against requests that the queue loses or returns twice.
    #[test]
    fn each_request_leaves_the_queue_once(operations in operations()) {
        let settings = queue::Settings { capacity: [8; 3], ..queue::Settings::default() };
        let mut queue = Queue::new(settings, BTreeMap::new());
        queue.set_slots(4.0);
        let (mut now, mut offered, mut left) = (Duration::ZERO, 0, Vec::new());
        for operation in operations {
            match operation {
                Operation::Offer(rank, workspace, cost) => {
                    let workspace = Workspace::from(format!("w{workspace}"));
                    let rank = Rank::ALL[rank];
                    let item = Item { rank, workspace, cost, offered_at: now, payload: offered };
                    offered += 1;
                    match queue.offer(item, now) {
                        Offer::Queued { displaced } => {
                            left.extend(displaced.map(|item| item.payload))
                        }
                        Offer::Refused { item, .. } => left.push(item.payload),
                    }
                }
                Operation::Next(fits) => {
                    left.extend(queue.next(&mut |_, _| fits).map(|next| next.item.payload));
                }
                Operation::Wait(millis) => {
                    now += Duration::from_millis(millis);
                    left.extend(queue.expire(now).into_iter().map(|item| item.payload));
                }
            }
        }
        while let Some(next) = queue.next(&mut |_, _| true) {
            left.push(next.item.payload);
        }
        let distinct: BTreeSet<_> = left.iter().copied().collect();
        prop_assert!(queue.is_empty());
        prop_assert_eq!(left.len(), offered);
        prop_assert_eq!(distinct.len(), offered);
    }

    /// Guards against an allocation that grants more than the capacity or the demand, or less than
    /// a floor for which there is demand.
    #[test]
    fn an_allocation_respects_capacity_demand_and_floors(
        capacity in 1.0..1_000.0_f64,
        demands in prop::collection::vec((0..3_usize, 0..6_usize, 0.0..2_000.0_f64), 1..18),
    ) {
        let floors = [0.5, 0.2, 0.05];
        let key = |rank: usize, workspace| (Rank::ALL[rank], Workspace::from(format!("w{workspace}")));
        let demand: Demand = demands
            .into_iter()
            .map(|(rank, workspace, slots)| (key(rank, workspace), slots))
            .collect();

        let grants = share::allocate(capacity, &floors, &|_| 1.0, &demand);

        prop_assert!(grants.values().sum::<f64>() <= capacity * (1.0 + 1e-9));
        for (key, grant) in &grants {
            prop_assert!(*grant <= demand[key] * (1.0 + 1e-9) && *grant >= 0.0);
        }
        for rank in Rank::ALL {
            let sum = |slots_by_key: &Demand| {
                slots_by_key
                    .iter()
                    .filter(|(key, _)| key.0 == rank)
                    .map(|(_, slots)| slots)
                    .sum::<f64>()
            };
            let due_floor = sum(&demand).min(floors[rank.index()] * capacity);
            prop_assert!(sum(&grants) >= due_floor * (1.0 - 1e-9));
        }
    }

    /// Guards against the selection of an endpoint that does not serve the version, is leaving, was
    /// tried before, or is ejected while most others are in service.
    #[test]
    fn a_picked_endpoint_is_usable(
        endpoints in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>(), 0..64_u32), 1..24),
        seed in any::<u64>(),
    ) {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let (version, now) = (Version::from("large/1"), Duration::from_secs(5));
        let id = |index: usize| name::Endpoint::from(format!("e{index}"));
        let mut view = View::new(&"entry".into(), "a".into(), view::Settings::default());
        for (index, (serves, leaving, failed, running)) in endpoints.iter().enumerate() {
            let label = if *serves { "large/1" } else { "large/2" };
            let mut endpoint = Endpoint::new(id(index), "a".into(), "a".into(), Rates::default());
            endpoint.leaving = *leaving;
            view.announce(endpoint.with_version(label.into()));
            let report = Report { running: *running, max_running: 64, ..Report::default() };
            view.on_report(&id(index), report, now, now, &mut random);
            for _ in 0..if *failed { 3 } else { 0 } {
                view.on_progress(&id(index), Outcome::Failed, now);
            }
        }
        let tried = [id(0)];
        let query = pick::Query {
            version: &version,
            rank: Rank::Urgent,
            floor: false,
            prompt_tokens: 100,
            prefixes: &[],
            bytes: 0,
            tried: &tried,
        };
        let settings = pick::Settings::default();
        if let Some(picked) = pick::pick(&view, &settings, &query, now, &mut random) {
            let endpoint = view.get(&picked.endpoint).expect("the endpoint is in the view");
            prop_assert!(endpoint.versions.contains(&version));
            prop_assert!(!endpoint.leaving);
            prop_assert!(picked.endpoint != id(0));
            let serving = endpoints.iter().filter(|(serves, ..)| *serves).count();
            let failed = endpoints.iter().filter(|(serves, _, failed, _)| *serves && *failed).count();
            prop_assert!(endpoint.ejection.is_serving() || failed * 2 > serving);
        }
    }
}
