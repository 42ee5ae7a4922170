//! Admission of requests under overload, in virtual time.

#[allow(dead_code, reason = "some fixtures are for other tests")]
mod common;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::time::Duration;

use common::announcement;
use common::configuration;
use hickoryreel_fleet::endpoint::EndpointUpdate;
use hickoryreel_fleet::endpoint::Status;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::roll_out::RollOuts;
use hickoryreel_fleet_entry::admission;
use hickoryreel_fleet_entry::admission::Calibration;
use hickoryreel_fleet_entry::admission::Decision;
use hickoryreel_fleet_entry::admission::Demand;
use hickoryreel_fleet_entry::admission::MAX_RETRY_AFTER_MS;
use hickoryreel_fleet_entry::admission::MIN_WAIT_MS;
use hickoryreel_fleet_entry::admission::Offer;
use hickoryreel_fleet_entry::admission::PROBE_INTERVAL;
use hickoryreel_fleet_entry::admission::Reason;
use hickoryreel_fleet_entry::admission::Returns;
use hickoryreel_fleet_entry::dialect::RequestMetadata;
use hickoryreel_fleet_entry::directory::Directory;
use hickoryreel_fleet_entry::endpoint::ColdLimit;
use hickoryreel_fleet_entry::kept::Outlook;
use hickoryreel_fleet_entry::pick;
use hickoryreel_fleet_entry::pick::PickContext;
use hickoryreel_fleet_entry::placement::Zones;
use hickoryreel_fleet_entry::settings::Settings;
use hickoryreel_fleet_entry::spread;
use hickoryreel_fleet_entry::spread::Spread;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

/// Time between two updates of the known loads, in milliseconds.
const UPDATE_MS: u64 = 250;

/// Prefill time of a request, in milliseconds.
const WORK_MS: f64 = 100.0;

const ENDPOINTS: usize = 8;
const SLOTS: usize = 2;
const ENTRIES: usize = 10;

/// Time from arrival to deadline by rank, in milliseconds.
const DEADLINES_MS: [f64; 3] = [2_000.0, 4_000.0, 8_000.0];

/// Time from arrival to target by rank, in milliseconds.
const TARGETS_MS: [f64; 3] = [500.0, 1_000.0, 4_000.0];

/// Offered load by rank as a part of the capacity: twice the capacity in sum.
const OFFERED: [f64; 3] = [0.3, 0.4, 1.3];

/// Time in which requests arrive, in milliseconds.
const BURST_MS: u64 = 20_000;

/// Time until which all requests should have been served.
const END_MS: u64 = 120_000;

/// A client of the simulation with one request, which it repeats until it is answered.
#[derive(Clone, Debug, Default)]
struct Client {
    rank: usize,
    identity: u64,
    is_impatient: bool,
    arrived_ms: u64,
    refusals: u32,
    /// Tries that ended at the deadline without an answer.
    expired: u32,
    /// Time at which the answer began.
    answered_ms: Option<u64>,
}

/// A request that waits at an endpoint.
#[derive(Clone, Copy, Debug)]
struct Queued {
    client: usize,
    rank: usize,
    sent_ms: u64,
    entry: usize,
    /// Wait that the entry expected.
    expected_ms: f64,
}

/// An endpoint that runs one prefill after another, the most urgent first.
#[derive(Clone, Debug, Default)]
struct Endpoint {
    queue: Vec<Queued>,
    /// The request in prefill, and the time left for it.
    running: Option<(Queued, f64)>,
    /// Work waiting at the latest update by rank, and number of requests.
    known: ([f64; 3], usize),
    idle_ms: u64,
}

impl Endpoint {
    fn load(&self) -> ([f64; 3], usize) {
        let mut work = [0.0; 3];
        for queued in &self.queue {
            work[queued.rank] += WORK_MS;
        }
        if let Some((queued, left)) = self.running {
            work[queued.rank] += left;
        }
        (work, self.queue.len() + usize::from(self.running.is_some()))
    }

    fn known_wait(&self, rank: usize) -> f64 {
        self.known.0[..=rank].iter().sum()
    }
}

/// What a simulation varies.
#[derive(Clone, Copy, Debug)]
struct Setup {
    /// Factor on the waits that the entries expect.
    estimate: f64,
    is_admission_on: bool,
    impatient_share: f64,
    /// Whether clients return to the same entry.
    is_sticky: bool,
    seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            estimate: 1.0,
            is_admission_on: true,
            impatient_share: 0.0,
            is_sticky: true,
            seed: 5,
        }
    }
}

/// Result of a simulation.
struct Outcome {
    clients: Vec<Client>,
    /// Part of the time during the burst, without its first second, in which endpoints had no work.
    idle: f64,
    /// Number of returns after a `Retry-After` in each 100 ms.
    returns: Vec<u32>,
}

impl Outcome {
    fn of_rank(&self, rank: usize) -> impl Iterator<Item = &Client> {
        self.clients.iter().filter(move |client| client.rank == rank)
    }

    /// Share of the requests of a rank that were answered within the target of their first try.
    fn in_target(&self, rank: usize) -> f64 {
        self.share(rank, |client| {
            let took = client.answered_ms.map(|at| at - client.arrived_ms);
            took.is_some_and(|took| took as f64 <= TARGETS_MS[rank])
        })
    }

    fn refused(&self, rank: usize) -> u32 {
        self.of_rank(rank).map(|client| client.refusals).sum()
    }

    fn expired(&self, rank: usize) -> u32 {
        self.of_rank(rank).map(|client| client.expired).sum()
    }

    /// Mean time to the answer of the requests of the least urgent rank, in milliseconds.
    fn mean_ms(&self, is_impatient: bool) -> f64 {
        let clients = self.of_rank(2).filter(|client| client.is_impatient == is_impatient);
        let times: Vec<u64> =
            clients.filter_map(|client| Some(client.answered_ms? - client.arrived_ms)).collect();
        times.iter().sum::<u64>() as f64 / times.len() as f64
    }

    fn share(&self, rank: usize, holds: impl Fn(&Client) -> bool) -> f64 {
        let holding = self.of_rank(rank).filter(|client| holds(client)).count();
        holding as f64 / self.of_rank(rank).count().max(1) as f64
    }
}

/// Runs a burst. All entries know the same loads, which are updated every [`UPDATE_MS`].
fn simulate(setup: Setup) -> Outcome {
    let mut random = StdRng::seed_from_u64(setup.seed);
    let mut endpoints = vec![Endpoint::default(); ENDPOINTS];
    let mut calibrations = vec![[Calibration::default(); 3]; ENTRIES];
    let mut returns_known: Vec<Returns> = (0..ENTRIES).map(|_| Returns::default()).collect();
    let mut clients: Vec<Client> = Vec::new();
    let mut returning: Vec<(u64, usize)> = Vec::new();
    let mut returns = vec![0; (END_MS / 100) as usize];

    for now in 0..END_MS {
        if now % UPDATE_MS == 0 {
            endpoints.iter_mut().for_each(|endpoint| endpoint.known = endpoint.load());
        }
        let mut tries = Vec::new();
        returning.retain(|(at, client)| {
            if *at <= now {
                tries.push(*client);
            }
            *at > now
        });
        for (rank, offered) in OFFERED.iter().enumerate() {
            if now < BURST_MS && random.random::<f64>() < offered * ENDPOINTS as f64 / WORK_MS {
                tries.push(clients.len());
                clients.push(Client {
                    rank,
                    identity: random.random(),
                    is_impatient: random.random::<f64>() < setup.impatient_share,
                    arrived_ms: now,
                    ..Client::default()
                });
            }
        }
        for index in tries {
            let client = &mut clients[index];
            let rank = client.rank;
            let offers = endpoints.iter().map(|endpoint| Offer {
                is_usable: true,
                free_slots: SLOTS as f64 - endpoint.known.1 as f64,
                waiting: endpoint.known.1.saturating_sub(SLOTS) as f64,
                wait_ms: Some(setup.estimate * endpoint.known_wait(rank)),
                prefill_ms: setup.estimate * WORK_MS,
            });
            let offers: Vec<Offer> = offers.collect();
            let deadline_ms = DEADLINES_MS[rank];
            let entry = if setup.is_sticky {
                client.identity as usize % ENTRIES
            } else {
                random.random_range(0..ENTRIES)
            };
            let demand = Demand {
                rank: rank as u8,
                target_left_ms: TARGETS_MS[rank],
                left_ms: deadline_ms,
                left_of_delay: returns_known[entry]
                    .left(client.identity, Duration::from_millis(now)),
                probe_point: random.random(),
                factor: calibrations[entry][rank].factor(Duration::from_millis(now)),
                point: random.random(),
            };
            let decision = admission::decide(&demand, &offers);
            if let Decision::Refuse(overload) = decision
                && setup.is_admission_on
            {
                client.refusals += 1;
                let now_at = Duration::from_millis(now);
                returns_known[entry].record(client.identity, now_at + overload.retry_after, now_at);
                let delay = if client.is_impatient {
                    20
                } else {
                    let delay = (overload.retry_after.as_secs_f64() * 1_000.0).ceil() as u64;
                    if let Some(count) = returns.get_mut(((now + delay) / 100) as usize) {
                        *count += 1;
                    }
                    delay
                };
                returning.push((now + delay.max(1), index));
                continue;
            }
            let loads: Vec<spread::Load> = endpoints
                .iter()
                .map(|endpoint| spread::Load { time: endpoint.known_wait(rank), capacity: 1.0 })
                .collect();
            let volume = 200.0 * ENDPOINTS as f64;
            let spread = Spread::new(&loads, volume);
            let chosen = spread.expect("there are endpoints").draw(random.random());
            let expected_ms = setup.estimate * endpoints[chosen].known_wait(rank);
            endpoints[chosen].queue.push(Queued {
                client: index,
                rank,
                sent_ms: now,
                entry,
                expected_ms,
            });
        }
        for endpoint in &mut endpoints {
            // Endpoints drop what has waited until its deadline.
            endpoint.queue.retain(|queued| {
                let expired = (now - queued.sent_ms) as f64 >= DEADLINES_MS[queued.rank];
                if expired {
                    calibrations[queued.entry][queued.rank].observe_expired(
                        queued.expected_ms,
                        DEADLINES_MS[queued.rank],
                        Duration::from_millis(now),
                    );
                    clients[queued.client].expired += 1;
                    returning.push((now + 1, queued.client));
                }
                !expired
            });
            if endpoint.running.is_none() && !endpoint.queue.is_empty() {
                let first = (0..endpoint.queue.len()).min_by_key(|at| endpoint.queue[*at].rank);
                let queued = endpoint.queue.remove(first.expect("it is not empty"));
                endpoint.running = Some((queued, WORK_MS));
            }
            let Some((queued, left)) = &mut endpoint.running else {
                endpoint.idle_ms += u64::from((1_000..BURST_MS).contains(&now));
                continue;
            };
            *left -= 1.0;
            if *left <= 0.0 {
                let client = &mut clients[queued.client];
                client.answered_ms = Some(now);
                calibrations[queued.entry][queued.rank].observe(
                    queued.expected_ms,
                    (now - queued.sent_ms) as f64 - WORK_MS,
                    Duration::from_millis(now),
                );
                endpoint.running = None;
            }
        }
    }
    let idle: u64 = endpoints.iter().map(|endpoint| endpoint.idle_ms).sum();
    let idle = idle as f64 / (ENDPOINTS as u64 * (BURST_MS - 1_000)) as f64;
    Outcome { clients, idle, returns }
}

/// A request of the least urgent rank with eight seconds left.
fn demand() -> Demand {
    Demand {
        rank: 2,
        target_left_ms: 4_000.0,
        left_ms: 8_000.0,
        factor: 1.0,
        point: 0.5,
        probe_point: 0.5,
        left_of_delay: Duration::ZERO,
    }
}

/// A busy endpoint with work of the same and more urgent ranks.
fn busy(wait_ms: f64) -> Offer {
    Offer {
        is_usable: true,
        free_slots: 0.0,
        waiting: 3.0,
        wait_ms: Some(wait_ms),
        prefill_ms: 100.0,
    }
}

fn retry_after_ms(decision: Decision) -> Option<f64> {
    match decision {
        Decision::Send(_) => None,
        Decision::Refuse(overload) => Some(overload.retry_after.as_secs_f64() * 1_000.0),
    }
}

/// Guards against urgent work that is late or refused in a burst of other work, against bulk work that
/// waits until its deadline in vain, against endpoints that idle while work is refused, and against
/// requests that are never served.
#[parameterized(first = { 5 }, second = { 6 }, third = { 7 })]
fn burst_at_twice_the_capacity(seed: u64) {
    let with = simulate(Setup { seed, ..Setup::default() });
    let without = simulate(Setup { seed, is_admission_on: false, ..Setup::default() });

    for rank in [0, 1] {
        assert!(with.in_target(rank) >= 0.98, "{rank}: {}", with.in_target(rank));
        assert_eq!((with.refused(rank), with.expired(rank)), (0, 0), "{rank}");
    }
    assert!(with.refused(2) > 500, "{}", with.refused(2));
    assert!(with.expired(2) < without.expired(2) / 2, "{} {}", with.expired(2), without.expired(2));
    assert!(with.idle < 0.005, "{}", with.idle);
    assert_eq!(with.share(2, |client| client.answered_ms.is_some()), 1.0);
}

/// Guards against an overestimate that refuses work while endpoints idle, and against an estimate that
/// is not corrected by what is observed.
#[parameterized(half = { 0.5 }, double = { 2.0 }, fourfold = { 4.0 })]
fn wrong_estimate_costs_no_capacity(estimate: f64) {
    let wrong = simulate(Setup { estimate, ..Setup::default() });
    let without = simulate(Setup { is_admission_on: false, ..Setup::default() });

    assert!(wrong.idle < 0.005, "{}", wrong.idle);
    assert!(wrong.in_target(0) >= 0.98 && wrong.in_target(1) >= 0.98);
    assert!(wrong.expired(2) < 3 * without.expired(2) / 4, "{}", wrong.expired(2));
    assert_eq!(wrong.share(2, |client| client.answered_ms.is_some()), 1.0);
}

/// Guards against refused requests that come back as one block.
#[test]
fn returns_are_spread() {
    let outcome = simulate(Setup::default());

    let all: u32 = outcome.returns.iter().sum();
    let most = outcome.returns.iter().copied().max().unwrap_or(0);
    assert!(all > 500 && f64::from(most) < 0.04 * f64::from(all), "{most} of {all}");
}

/// Guards against requests refused at the same moment that come back as one block.
#[test]
fn requests_refused_together_return_over_the_time_of_the_excess() {
    let mut counts = [0; 100];
    for number in 0..1_000 {
        let demand = Demand { point: f64::from(number) / 1_000.0, ..demand() };
        let delay = retry_after_ms(admission::decide(&demand, &[busy(11_000.0)]));
        counts[(delay.expect("it is refused") / 100.0) as usize] += 1;
    }

    assert!(counts.iter().all(|count| *count <= 100), "{counts:?}");
}

/// Guards against clients that gain by not waiting, if they try again at the same entry.
#[parameterized(first = { 5 }, second = { 6 }, third = { 7 })]
fn impatient_clients_are_hardly_served_sooner(seed: u64) {
    let outcome = simulate(Setup { impatient_share: 0.2, seed, ..Setup::default() });

    let (patient, impatient) = (outcome.mean_ms(false), outcome.mean_ms(true));
    assert!(impatient > 0.8 * patient, "{impatient} {patient}");
}

/// Guards against an early return that is admitted or gets another delay than the first refusal, and
/// against a client that is refused for being some milliseconds early.
#[test]
fn early_return_gets_the_rest_of_the_delay() {
    let mut returns = Returns::default();
    let at = Duration::from_secs;
    returns.record(7, at(14), at(10));
    let decide = |left_of_delay: Duration, offer: Offer| {
        admission::decide(&Demand { left_of_delay, ..demand() }, &[offer])
    };

    let early = decide(returns.left(7, at(12)), busy(5_000.0));
    let other = decide(returns.left(8, at(12)), busy(5_000.0));
    let in_time = decide(returns.left(7, Duration::from_millis(13_990)), busy(5_000.0));
    let idle = Offer { free_slots: 1.0, waiting: 0.0, ..busy(5_000.0) };
    let early_to_idle = decide(returns.left(7, at(12)), idle);

    assert_eq!(retry_after_ms(early), Some(2_000.0));
    assert_eq!(other, Decision::Send(Reason::InDeadline));
    assert_eq!(in_time, Decision::Send(Reason::InDeadline));
    assert_eq!(early_to_idle, Decision::Send(Reason::Idle));
}

/// Guards against refused clients that take memory without a bound.
#[test]
fn remembered_clients_are_bounded() {
    let mut returns = Returns::default();
    let at = Duration::from_secs;

    (0..10_000).for_each(|identity| returns.record(identity, at(20), at(10)));
    let known = (0..10_000).filter(|identity| !returns.left(*identity, at(15)).is_zero()).count();
    returns.record(20_000, at(40), at(30));

    assert_eq!(known, 3_000);
    assert_eq!(returns.left(20_000, at(35)), at(5));
}

/// Guards against a calibration that does not follow what is observed, goes on without a bound, or
/// counts a request that its deadline cut short.
#[test]
fn calibration_follows_the_observed_waits() {
    let mut calibration = Calibration::default();
    let at = Duration::from_secs;

    assert_eq!(calibration.factor(at(1)), 1.0);
    (0..50).for_each(|_| calibration.observe(1_000.0, 2_000.0, at(1)));
    let doubled = calibration.factor(at(1));
    (0..50).for_each(|_| calibration.observe_expired(5_000.0, 3_000.0, at(1)));
    let cut_short = calibration.factor(at(1));
    (0..500).for_each(|_| calibration.observe(1_000.0, 90_000.0, at(1)));

    assert!((1.9..=2.0).contains(&doubled), "{doubled}");
    assert_eq!(cut_short, doubled);
    assert_eq!(calibration.factor(at(1)), 6.0);
    assert!(calibration.factor(at(200)) < 1.01);
}

/// The offers of two busy endpoints with these totals.
fn offers(outstanding: u32, has_totals: bool) -> Vec<Offer> {
    let mut directory = Directory::default();
    for number in 0..2 {
        let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000 + number);
        let announcement = announcement(usize::from(number), address);
        let update = EndpointUpdate { announcement, status: Status::Present };
        directory.apply(update, SocketAddr::from(([10, 0, 0, 1], 7_000)));
    }
    for endpoint in directory.all().filter(|_| has_totals) {
        let key = endpoint.key();
        endpoint.apply_totals(Some(&EndpointLoad {
            endpoint: key,
            outstanding,
            prefill_ms: [100, 1_000, 5_000],
            succeeded: 0,
            failed: 0,
            pace: 0,
            latest_pace: 0,
            prompt_tokens: 0,
        }));
    }
    let (settings, roll_outs) = (Settings::default(), RollOuts::default());
    let (route, service) = (configuration(1).routes.remove(0), "service".into());
    let metadata = RequestMetadata { prompt_tokens: 1_000, ..RequestMetadata::default() };
    let context = PickContext {
        route: &route,
        metadata: &metadata,
        service: &service,
        roll_outs: &roll_outs,
        version_in_force: None,
        tried: &[],
        entries: 1,
        token_ms: Some(0.1),
        is_in_region: &|_| true,
        zones: Zones::new(&settings, &route, None, &[]),
        cold_limit: ColdLimit::None,
        kept: Outlook { uses_per_s: 0.0, retention_s: 0.0 },
        memory_tokens: None,
    };
    pick::offers(&context, directory.for_service("service"), 1).into_vec()
}

/// Guards against less urgent work that counts as work ahead, and against waits without totals.
#[test]
fn offers_have_the_wait_of_the_rank() {
    let full = offers(20, true);
    let free = offers(3, true);
    let unknown = offers(20, false);

    assert_eq!(full.iter().map(|offer| offer.wait_ms).collect::<Vec<_>>(), [Some(1_100.0); 2]);
    assert!(full.iter().all(|offer| offer.prefill_ms == 100.0 && offer.free_slots == -12.0));
    assert!(free.len() == 1 && free[0].is_idle());
    assert!(unknown.iter().all(|offer| offer.wait_ms.is_none()));
}

/// Any offer, also with figures that make no sense.
fn any_offer() -> impl Strategy<Value = Offer> {
    let numbers = (-5.0..20.0_f64, 0.0..5.0_f64);
    (any::<bool>(), numbers, prop::option::of(0.0..60_000.0_f64), 0.0..5_000.0_f64).prop_map(
        |(is_usable, (free_slots, waiting), wait_ms, prefill_ms)| Offer {
            is_usable,
            free_slots: free_slots.floor(),
            waiting: waiting.floor(),
            wait_ms,
            prefill_ms,
        },
    )
}

fn any_demand() -> impl Strategy<Value = Demand> {
    let times = (0.0..30_000.0_f64, 0.0..60_000.0_f64, 0_u64..3_000);
    (0_u8..5, times, 0.5..6.0_f64, 0.0..1.0_f64, 0.0..1.0_f64).prop_map(
        |(rank, (target_left_ms, left_ms, delay_ms), factor, point, probe_point)| Demand {
            rank,
            target_left_ms,
            left_ms,
            factor,
            point,
            probe_point,
            left_of_delay: Duration::from_millis(delay_ms.saturating_sub(1_500)),
        },
    )
}

proptest! {
    /// Guards against refusals while an endpoint is free or its load is not known, against those of
    /// requests that can be answered in time, and against delays that are zero or without a bound.
    #[test]
    fn refusals_have_a_cause(
        demand in any_demand(),
        offers in prop::collection::vec(any_offer(), 0..8),
    ) {
        let decision = admission::decide(&demand, &offers);

        if let Decision::Refuse(overload) = decision {
            let usable: Vec<&Offer> = offers.iter().filter(|offer| offer.is_usable).collect();
            prop_assert!(!usable.is_empty() && overload.endpoints == usable.len());
            for offer in &usable {
                let wait_ms = offer.wait_ms.expect("refused without a known load");
                let expected_ms = demand.factor * wait_ms + offer.prefill_ms;
                prop_assert!(!(offer.free_slots >= 1.0 && offer.waiting == 0.0));
                prop_assert!(expected_ms > 0.95 * demand.left_ms || !demand.left_of_delay.is_zero());
            }
            let delay_ms = overload.retry_after.as_secs_f64() * 1_000.0;
            prop_assert!(delay_ms > 0.0 && delay_ms <= MAX_RETRY_AFTER_MS);
            prop_assert!(overload.wait_ms > demand.factor * MIN_WAIT_MS);
        }
    }

    /// Guards against endpoints that get no request and change the decision.
    #[test]
    fn unusable_endpoints_do_not_count(
        demand in any_demand(),
        offers in prop::collection::vec(any_offer(), 0..8),
    ) {
        let usable: Vec<Offer> = offers.iter().copied().filter(|offer| offer.is_usable).collect();

        prop_assert_eq!(admission::decide(&demand, &offers), admission::decide(&demand, &usable));
    }

    /// Guards against more work ahead that leads to a request being sent, or to an earlier return,
    /// and against a less urgent rank that returns first.
    #[test]
    fn delay_grows_with_the_work_ahead_and_the_rank(
        wait_ms in 400.0..60_000.0_f64,
        more_ms in 0.0..10_000.0_f64,
        left_ms in 100.0..30_000.0_f64,
        points in (0.0..1.0_f64, 0.0..1.0_f64),
    ) {
        let demand = Demand { left_ms, point: points.0, ..demand() };
        let delay = |demand: &Demand, wait_ms: f64| {
            retry_after_ms(admission::decide(demand, &[busy(wait_ms)]))
        };

        let urgent = Demand { rank: 0, point: points.1, ..demand };
        prop_assert!(delay(&demand, wait_ms) <= delay(&demand, wait_ms + more_ms));
        prop_assert!(delay(&urgent, wait_ms) <= delay(&demand, wait_ms));
    }

    /// Guards against a panic or an unbounded delay for figures that are not numbers.
    #[test]
    fn any_figures_are_accepted(
        figures in prop::array::uniform5(any::<f64>()),
        is_usable: bool,
    ) {
        let [left_ms, factor, point, wait_ms, prefill_ms] = figures;
        let demand = Demand { left_ms, factor, point, ..demand() };
        let offer = Offer { is_usable, prefill_ms, ..busy(wait_ms) };

        let delay = retry_after_ms(admission::decide(&demand, &[offer]));

        prop_assert!(delay.is_none_or(|delay| (0.0..=MAX_RETRY_AFTER_MS).contains(&delay)));
    }

    /// Guards against a test of the estimate that admits many requests.
    #[test]
    fn one_request_in_64_is_sent_as_a_test(probe_point in 0.0..1.0_f64) {
        let decision = admission::decide(&Demand { probe_point, ..demand() }, &[busy(20_000.0)]);

        let is_probe = decision == Decision::Send(Reason::Probe);
        prop_assert_eq!(is_probe, probe_point < 1.0 / PROBE_INTERVAL);
        prop_assert!(is_probe || retry_after_ms(decision).is_some());
    }
}
