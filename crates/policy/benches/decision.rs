//! Cost of one routing decision: admit a request, dequeue it and select an endpoint.

use std::collections::BTreeMap;
use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use hickoryreel_base::name;
use hickoryreel_base::name::Version;
use hickoryreel_base::name::Workspace;
use hickoryreel_base::rank::Rank;
use hickoryreel_policy::eject::Outcome;
use hickoryreel_policy::pick;
use hickoryreel_policy::queue;
use hickoryreel_policy::queue::Item;
use hickoryreel_policy::queue::Queue;
use hickoryreel_policy::view;
use hickoryreel_policy::view::Endpoint;
use hickoryreel_policy::view::Rates;
use hickoryreel_policy::view::Report;
use hickoryreel_policy::view::View;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;

const NOW: Duration = Duration::from_secs(1);

fn view(endpoints: usize, random: &mut Xoshiro256PlusPlus) -> View {
    let version = Version::from("large/1");
    let region = |index: usize| name::Region::from(["khomas", "oshana", "erongo"][index % 3]);
    let mut view = View::new(&"e0".into(), region(0), view::Settings::default());
    view.default_share = 0.125;
    view.extend((0..endpoints).map(|index| {
        let id = name::Endpoint::from(format!("engine-{index}"));
        Endpoint::new(id, region(index), "a".into(), Rates::default()).with_version(version.clone())
    }));
    for index in 0..endpoints {
        let id = name::Endpoint::from(format!("engine-{index}"));
        let running = u32::try_from(index % 24).unwrap_or(0);
        let report = Report { running, max_running: 64, ..Report::default() };
        view.on_report(&id, report, NOW, NOW, random);
        if index % 7 == 0 {
            view.on_cache_event(&id, 1, true);
        }
    }
    view
}

fn decide(c: &mut Criterion) {
    for endpoints in [18, 500, 7_500] {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(1);
        let mut view = view(endpoints, &mut random);
        let settings = pick::Settings::default();
        let version = Version::from("large/1");
        let workspaces: Vec<Workspace> =
            (0..10).map(|index| Workspace::from(format!("w{index}"))).collect();
        let mut queue = Queue::new(queue::Settings::default(), BTreeMap::new());
        queue.set_slots(50.0);
        let mut turn = 0;
        c.bench_function(&format!("admit and choose, {endpoints} endpoints"), |b| {
            b.iter(|| {
                turn += 1;
                let rank = Rank::ALL[turn % 3];
                let workspace = workspaces[turn % 10].clone();
                let item = Item { rank, workspace, cost: 3.0, offered_at: NOW, payload: () };
                black_box(queue.offer(item, NOW));
                let view_now = &view;
                let next = queue.next(&mut |item, floor| {
                    pick::any_free(view_now, &version, item.rank, floor, NOW)
                });
                let Some(next) = next else { return };
                let query = pick::Query {
                    version: &version,
                    rank: next.item.rank,
                    floor: next.floor,
                    prompt_tokens: 650,
                    prefixes: &[(1, 500)],
                    bytes: 3_000,
                    tried: &[],
                };
                if let Some(picked) = pick::pick(&view, &settings, &query, NOW, &mut random) {
                    view.on_sent(&picked.endpoint, NOW);
                    view.on_done(&picked.endpoint, Outcome::Neutral, NOW);
                }
            });
        });
    }
}

criterion_group!(benches, decide);
criterion_main!(benches);
