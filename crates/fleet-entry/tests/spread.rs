//! Spreading of requests over endpoints whose known loads are out of date, in virtual time.

use hickoryreel_fleet_entry::spread::Load;
use hickoryreel_fleet_entry::spread::Spread;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// Time between two updates of the known loads, in milliseconds.
const UPDATE_MS: u32 = 250;

/// Time that an endpoint needs for a request, in milliseconds.
const WORK_MS: f64 = 100.0;

/// Waits in milliseconds of the requests of some seconds, sorted, if `choose` picks an endpoint by
/// the known loads. All entries know the same loads.
fn waits(
    endpoints: usize,
    utilization: f64,
    choose: impl Fn(&[f64], &mut StdRng) -> usize,
) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(3);
    let mut backlog = vec![0.0_f64; endpoints];
    let mut known = backlog.clone();
    let mut waits = Vec::new();
    let per_ms = endpoints as f64 * utilization / WORK_MS;
    for now_ms in 0..6_000_u32 {
        if now_ms % UPDATE_MS == 0 {
            known.clone_from(&backlog);
        }
        backlog.iter_mut().for_each(|left| *left = (*left - 1.0).max(0.0));
        let whole = per_ms as u32;
        let arrivals = whole + u32::from(random.random::<f64>() < per_ms.fract());
        for _ in 0..arrivals {
            let chosen = choose(&known, &mut random);
            waits.push(backlog[chosen]);
            backlog[chosen] += WORK_MS;
        }
    }
    waits.sort_by(f64::total_cmp);
    waits
}

/// Index of the endpoint that a point selects, and the level up to which endpoints are filled.
fn choose(endpoints: &[Load], volume: f64, point: f64) -> Option<(usize, f64)> {
    let spread = Spread::new(endpoints, volume)?;
    Some((spread.draw(point), spread.level))
}

/// Endpoints of equal capacity with these loads.
fn equal(loads: &[f64]) -> Vec<Load> {
    loads.iter().map(|time| Load { time: *time, capacity: 1.0 }).collect()
}

fn percentile(sorted: &[f64], part: f64) -> f64 {
    sorted[((sorted.len() - 1) as f64 * part) as usize]
}

/// Guards against entries that all send to the few endpoints that were idle at the latest update,
/// while the others stay idle.
#[parameterized(
    small_and_busy = { 14, 0.8 },
    large = { 160, 0.6 },
    large_and_busy = { 160, 0.9 },
    very_large = { 400, 0.8 },
)]
fn requests_wait_less_than_at_the_least_loaded_endpoint(endpoints: usize, utilization: f64) {
    let volume = utilization * f64::from(UPDATE_MS) * endpoints as f64;
    let by_level = waits(endpoints, utilization, |known, random| {
        choose(&equal(known), volume, random.random()).expect("there are endpoints").0
    });
    let least_of_a_quarter = waits(endpoints, utilization, |known, random| {
        let sampled = (0..endpoints).filter(|_| random.random::<f64>() < 0.25);
        let least = sampled.min_by(|left, right| known[*left].total_cmp(&known[*right]));
        least.unwrap_or_else(|| random.random_range(0..endpoints))
    });
    let at_random = waits(endpoints, utilization, |_, random| random.random_range(0..endpoints));

    for part in [0.5, 0.95, 0.99] {
        let [level, least, any] =
            [&by_level, &least_of_a_quarter, &at_random].map(|waits| percentile(waits, part));
        assert!(level <= least && level <= any, "{part}: {level}, not {least} or {any}");
    }
}

/// Guards against a level that is not filled by the volume.
#[test]
fn endpoints_above_the_level_are_not_chosen() {
    let loads = [0.0, 50.0, 300.0];

    // The level is 125: 125 below it at the first endpoint and 75 at the second.
    let chosen = [0.0, 0.62, 0.63, 0.99, 1.0]
        .map(|point| choose(&equal(&loads), 200.0, point).expect("there are endpoints"));

    assert_eq!(chosen, [0, 0, 1, 1, 0].map(|index| (index, 125.0)));
}

/// Guards against fast endpoints that get no more work than slow ones.
#[test]
fn endpoints_get_work_in_proportion_to_their_capacity() {
    let endpoints =
        [(0.0, 2.0), (0.0, 1.0), (30.0, 1.0)].map(|(time, capacity)| Load { time, capacity });

    // The level is 40: 80 of the volume fit below it at the first endpoint.
    let counts = (0..130).fold([0; 3], |mut counts, point| {
        let point = f64::from(point) / 130.0;
        let (index, level) = choose(&endpoints, 130.0, point).expect("there are endpoints");
        assert_eq!(level, 40.0);
        counts[index] += 1;
        counts
    });

    assert_eq!(counts, [80, 40, 10]);
}

proptest! {
    /// Guards against a choice that is out of range, and against one of the most loaded endpoint if
    /// no load is expected.
    #[test]
    fn choice_is_valid(
        loads in prop::collection::vec(-500.0..5_000.0_f64, 0..40),
        volume in 0.0..10_000.0_f64,
        point in 0.0..1.0_f64,
    ) {
        let endpoints = equal(&loads);
        let chosen = choose(&endpoints, volume, point);
        let least = choose(&endpoints, 0.0, point).map(|(index, _)| loads[index]);

        prop_assert_eq!(chosen.is_some(), !loads.is_empty());
        prop_assert!(chosen.is_none_or(|(index, _)| index < loads.len()));
        prop_assert_eq!(least, loads.iter().copied().reduce(f64::min));
    }
}
