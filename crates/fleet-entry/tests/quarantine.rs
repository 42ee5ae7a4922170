//! Containment of prompt parts that crash endpoints, in virtual time: entries, a replica and endpoints
//! that crash.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_fleet::crash::Ledger;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet_entry::quarantine::Prefix;
use hickoryreel_fleet_entry::quarantine::Quarantine;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const STEP: Duration = Duration::from_millis(5);
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const DOWN_TIME: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(40);

/// Time after the fifth crash from which hardly any bad prompt may reach an endpoint.
const CONTAINED_AFTER: Duration = Duration::from_secs(4);
const MAX_SENDS_AFTER: usize = 3;

const FIRST_DEADLY: u64 = 1_000_000;

/// Load and faults of a simulated fleet.
#[derive(Clone)]
struct Scenario {
    seed: u64,
    entries: usize,
    endpoints: usize,
    requests_per_s: f64,
    /// Fractions of the requests that carry each bad part, from a second on.
    deadly: Vec<(f64, Duration)>,
    /// Time after which all endpoints but one lose power together.
    power_failure: Option<Duration>,
    /// Time from which the replica does not answer.
    replica_gone: Option<Duration>,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            seed: 1,
            entries: 8,
            endpoints: 12,
            requests_per_s: 90.0,
            deadly: vec![(0.05, Duration::from_secs(4))],
            power_failure: None,
            replica_gone: None,
        }
    }
}

#[derive(Clone)]
struct Request {
    entry: usize,
    parts: Prefix,
    sends: u32,
    begins_at: Duration,
    ends_at: Duration,
    answered: bool,
}

impl Request {
    fn deadly_part(&self) -> Option<u64> {
        self.parts.iter().copied().find(|part| *part >= FIRST_DEADLY)
    }
}

#[derive(Clone, Default)]
struct Endpoint {
    up_at: Duration,
    requests: Vec<Request>,
}

/// What the endpoints and the clients saw.
#[derive(Debug, Default)]
struct Outcome {
    /// Times and causes.
    crashes: Vec<(Duration, Option<u64>)>,
    /// Times and bad parts.
    deadly_sends: Vec<(Duration, u64)>,
    sound_refused: usize,
    blocked: HashSet<u64>,
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    now: Duration,
    entries: Vec<Quarantine>,
    replica: Ledger,
    endpoints: Vec<Endpoint>,
    /// Requests that wait for their next send.
    waiting: Vec<Request>,
    outcome: Outcome,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        Self {
            random: StdRng::seed_from_u64(scenario.seed),
            now: Duration::from_secs(1),
            entries: (0..scenario.entries).map(|_| Quarantine::default()).collect(),
            replica: Ledger::default(),
            endpoints: vec![Endpoint::default(); scenario.endpoints],
            waiting: Vec::new(),
            outcome: Outcome::default(),
            scenario,
        }
    }

    fn run(mut self) -> Outcome {
        let mut next_arrival = self.now;
        let mut power_failure = self.scenario.power_failure;
        while self.now < LENGTH {
            self.now += STEP;
            while next_arrival <= self.now {
                let gap = 2.0 * self.random.random::<f64>() / self.scenario.requests_per_s;
                next_arrival += Duration::from_secs_f64(gap);
                let request = self.arrival();
                self.send(request);
            }
            for request in std::mem::take(&mut self.waiting) {
                self.send(request);
            }
            if power_failure.is_some_and(|at| self.now >= at) {
                power_failure = None;
                (1..self.endpoints.len()).for_each(|index| self.crash(index, None));
            }
            self.advance_endpoints();
            self.exchange_reports();
        }
        self.outcome
    }

    fn arrival(&mut self) -> Request {
        let mut parts: Prefix = Prefix::new();
        parts.push(self.random.random_range(0..3));
        parts.push(100 + self.random.random_range(0..110));
        let mut point: f64 = self.random.random();
        for (index, (share, from)) in self.scenario.deadly.iter().enumerate() {
            if self.now >= *from && point < *share {
                let position = index % 2;
                parts[position] = FIRST_DEADLY + index as u64;
                break;
            }
            point -= *share;
        }
        let entry = self.random.random_range(0..self.scenario.entries);
        Request {
            entry,
            parts,
            sends: 0,
            begins_at: Duration::ZERO,
            ends_at: Duration::ZERO,
            answered: false,
        }
    }

    fn send(&mut self, mut request: Request) {
        if self.entries[request.entry].blocked(&request.parts, self.now).is_some() {
            self.outcome.sound_refused += usize::from(request.deadly_part().is_none());
            return;
        }
        let up: Vec<usize> = (0..self.endpoints.len())
            .filter(|index| self.endpoints[*index].up_at <= self.now)
            .collect();
        if up.is_empty() || request.sends == 3 {
            return;
        }
        let endpoint = up[self.random.random_range(0..up.len())];
        request.sends += 1;
        request.begins_at = self.now + Duration::from_millis(self.random.random_range(30..500));
        request.ends_at =
            request.begins_at + Duration::from_millis(self.random.random_range(200..2_000));
        if let Some(part) = request.deadly_part() {
            self.outcome.deadly_sends.push((self.now, part));
        }
        self.endpoints[endpoint].requests.push(request);
    }

    fn crash(&mut self, index: usize, cause: Option<u64>) {
        let endpoint = &mut self.endpoints[index];
        endpoint.up_at = self.now + DOWN_TIME;
        let key = EndpointKey::of(&format!("e{index} at {:?}", self.now));
        for request in std::mem::take(&mut endpoint.requests) {
            if !request.answered {
                let quarantine = &mut self.entries[request.entry];
                if quarantine.record_loss(key, request.parts.clone(), self.now) {
                    quarantine.record_check(key, true, self.now);
                }
                self.waiting.push(request);
            }
        }
        self.outcome.crashes.push((self.now, cause));
    }

    fn advance_endpoints(&mut self) {
        for index in 0..self.endpoints.len() {
            let now = self.now;
            let begins = |request: &Request| !request.answered && request.begins_at <= now;
            let mut beginning =
                self.endpoints[index].requests.iter().filter(|request| begins(request));
            if let Some(cause) = beginning.find_map(Request::deadly_part) {
                self.crash(index, Some(cause));
                continue;
            }
            for request in &mut self.endpoints[index].requests {
                if begins(request) {
                    request.answered = true;
                    self.entries[request.entry].record_answer(&request.parts, now);
                }
            }
            self.endpoints[index].requests.retain(|request| now < request.ends_at);
        }
    }

    fn exchange_reports(&mut self) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let gone = self.scenario.replica_gone.is_some_and(|at| self.now >= at);
        for (index, quarantine) in self.entries.iter_mut().enumerate() {
            let phase = REPORT_PERIOD * index as u32 / self.scenario.entries as u32;
            let due = (self.now + phase).as_millis() % REPORT_PERIOD.as_millis();
            if due >= STEP.as_millis() {
                continue;
            }
            if gone {
                for finding in quarantine.judge_alone(self.now) {
                    self.outcome.blocked.insert(finding.part);
                }
                continue;
            }
            let last_loss = quarantine.last_number();
            self.replica.add_report(&quarantine.report(address, self.now), self.now);
            for finding in self.replica.judge(self.now) {
                self.outcome.blocked.insert(finding.part);
            }
            quarantine.apply(address, last_loss, self.replica.verdict(self.now), self.now);
        }
    }
}

/// Prompts with a bad part that reached endpoints although it should have been contained; the most
/// over all parts.
fn sends_after_containment(outcome: &Outcome) -> usize {
    let sends_after = |part: u64| {
        let mut crashes = outcome.crashes.iter().filter(|(_, cause)| *cause == Some(part));
        let Some((fifth, _)) = crashes.nth(4) else { return 0 };
        let sends = outcome.deadly_sends.iter().filter(|(_, sent)| *sent == part);
        sends.filter(|(at, _)| *at > *fifth + CONTAINED_AFTER).count()
    };
    (FIRST_DEADLY..FIRST_DEADLY + 2).map(sends_after).max().unwrap_or(0)
}

const SEEDS: std::ops::Range<u64> = 0..6;

/// Guards against requests that keep crashing endpoints, and against refusing sound ones for it.
#[parameterized(
    rare = { 0.003, 8, 12, 90.0 },
    usual = { 0.05, 8, 12, 90.0 },
    common = { 0.3, 8, 12, 90.0 },
    most = { 0.9, 8, 12, 90.0 },
    large_fleet = { 0.02, 80, 90, 500.0 },
    little_load = { 0.2, 3, 4, 4.0 },
)]
fn deadly_part_is_contained(share: f64, entries: usize, endpoints: usize, requests_per_s: f64) {
    for seed in SEEDS {
        let deadly = vec![(share, Duration::from_secs(4))];
        let scenario =
            Scenario { seed, entries, endpoints, requests_per_s, deadly, ..Scenario::default() };

        let outcome = Simulation::new(scenario).run();

        assert!(sends_after_containment(&outcome) <= MAX_SENDS_AFTER, "seed {seed}: {outcome:?}");
        assert!(
            outcome.blocked.iter().all(|part| *part >= FIRST_DEADLY),
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.sound_refused, 0, "seed {seed}");
    }
}

/// Guards against a second bad part that stays unknown while the first one is contained.
#[parameterized(
    together = { 0.05, 0.05, 4.0 },
    one_rare = { 0.1, 0.01, 4.0 },
    one_later = { 0.05, 0.1, 15.0 },
)]
fn two_deadly_parts_are_contained(first: f64, second: f64, from_s: f64) {
    for seed in SEEDS {
        let deadly =
            vec![(first, Duration::from_secs(4)), (second, Duration::from_secs_f64(from_s))];

        let outcome = Simulation::new(Scenario { seed, deadly, ..Scenario::default() }).run();

        assert!(
            outcome.blocked.iter().all(|part| *part >= FIRST_DEADLY),
            "seed {seed}: {outcome:?}"
        );
        assert_eq!(outcome.sound_refused, 0, "seed {seed}");
        assert!(sends_after_containment(&outcome) <= MAX_SENDS_AFTER, "seed {seed}: {outcome:?}");
    }
}

/// Guards against refusing sound prompts after endpoints lost power at the same moment.
#[test]
fn power_failure_blocks_no_part() {
    for seed in SEEDS {
        let power_failure = Some(Duration::from_secs(10));
        let scenario = Scenario { seed, deadly: Vec::new(), power_failure, ..Scenario::default() };

        let outcome = Simulation::new(scenario).run();

        assert!(outcome.blocked.is_empty(), "seed {seed}: {outcome:?}");
    }
}

/// Guards against an entry without control replicas that sends a bad prompt again and again.
#[test]
fn entry_without_a_replica_contains_a_part_alone() {
    for seed in SEEDS {
        let replica_gone = Some(Duration::ZERO);
        let scenario = Scenario { seed, entries: 1, replica_gone, ..Scenario::default() };

        let outcome = Simulation::new(scenario).run();

        assert!(sends_after_containment(&outcome) <= MAX_SENDS_AFTER, "seed {seed}: {outcome:?}");
    }
}
