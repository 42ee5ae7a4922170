//! Retry budgets of many entries that share the budget of a service, in virtual time.

use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_fleet::load::ServiceSends;
use hickoryreel_fleet_control::send_totals::SendTotals;
use hickoryreel_fleet_entry::budget::Counts;
use hickoryreel_fleet_entry::budget::Limits;
use hickoryreel_fleet_entry::budget::RetryBudget;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use yare::parameterized;

const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);

/// Time between two reports of an entry, and until it has the totals.
const REPORT_STEPS: usize = 5;
const DELAY_STEPS: usize = 2;

/// Ratio and slack of the larger deployments.
const RATIO: f64 = 0.9;
const SLACK: f64 = 630.0;

/// Share of the requests for a larger model that go to the middle model first.
const TWO_STEP_SHARE: f64 = 0.05;

/// Requests per second over all entries, and the probability that a request is sent to a larger
/// model, which is allowed as long as the budget has some to spare for failures.
struct Load {
    entries: usize,
    rate: f64,
    retry_share: f64,
    /// Time from which each request wants two retries.
    failure: Option<Duration>,
}

/// What callers get: retries that were wanted and allowed, and the largest share of the budget that
/// was used in a window.
struct Outcome {
    wanted: u32,
    allowed: u32,
    max_used: f64,
}

fn play(load: &Load, length: Duration) -> Outcome {
    let limits = Limits {
        ratio: RATIO,
        slack: SLACK,
        window: WINDOW,
        entries: u32::try_from(load.entries).expect("few entries"),
    };
    let mut random = StdRng::seed_from_u64(7);
    let mut budgets: Vec<RetryBudget> = (0..load.entries).map(|_| RetryBudget::default()).collect();
    let mut totals = SendTotals::new(WINDOW);
    let mut answers: VecDeque<(usize, usize, Counts)> = VecDeque::new();
    let mut window: VecDeque<(u32, u32)> = VecDeque::new();
    let mut outcome = Outcome { wanted: 0, allowed: 0, max_used: 0.0 };
    let steps = (length.as_millis() / STEP.as_millis()) as usize;
    let mean_per_step = load.rate / load.entries as f64 * STEP.as_secs_f64();
    // Clients stay with an entry, so that some entries have several times the requests of others.
    let weights: Vec<f64> = (0..load.entries).map(|_| random.random_range(0.1..1.9)).collect();
    for step in 0..steps {
        let now = Duration::from_secs(100) + STEP * step as u32;
        let fails = load.failure.is_some_and(|at| now >= Duration::from_secs(100) + at);
        let (mut first, mut retries) = (0, 0);
        for (number, budget) in budgets.iter_mut().enumerate() {
            if random.random::<f64>() < mean_per_step * weights[number] {
                budget.record_first_send(now, &limits);
                first += 1;
                let is_larger_model = random.random::<f64>() < load.retry_share;
                let steps = if random.random::<f64>() < TWO_STEP_SHARE { 2 } else { 1 };
                let wanted = if fails { 2 } else { steps * u32::from(is_larger_model) };
                let mut take =
                    || (fails || budget.has_spare(now, &limits)) && budget.take(now, &limits);
                let allowed = (0..wanted).filter(|_| take()).count() as u32;
                retries += allowed;
                if !fails {
                    outcome.wanted += wanted;
                    outcome.allowed += allowed;
                }
            }
            if step % REPORT_STEPS == number % REPORT_STEPS {
                let Counts { first, retries } = budget.take_report();
                let sent = ServiceSends { service: "service".into(), first, retries };
                totals.add(&[sent], now);
                let sum = totals.totals(now).pop().expect("there were sends");
                let counts = Counts { first: sum.first, retries: sum.retries };
                answers.push_back((step + DELAY_STEPS, number, counts));
            }
        }
        while answers.front().is_some_and(|(at, ..)| *at <= step) {
            let (_, number, counts) = answers.pop_front().expect("there is one");
            budgets[number].apply_totals(counts, now);
        }
        window.push_back((first, retries));
        if window.len() > (WINDOW.as_millis() / STEP.as_millis()) as usize {
            window.pop_front();
        }
        let (first, retries) =
            window.iter().fold((0, 0), |sum, add| (sum.0 + add.0, sum.1 + add.1));
        let used = f64::from(retries) / (RATIO * f64::from(first) + SLACK);
        outcome.max_used = outcome.max_used.max(used);
    }
    outcome
}

/// Guards against retries that are refused because of chance differences between entries, while the
/// budget of all entries is sufficient.
#[parameterized(
    few_entries = { 8 },
    one_for_each_endpoint = { 160 },
    more_than_endpoints = { 295 },
    many_entries = { 830 },
)]
fn retries_are_allowed_while_the_budget_of_all_entries_is_sufficient(entries: usize) {
    let load = Load { entries, rate: 965.0, retry_share: 0.57, failure: None };

    let outcome = play(&load, Duration::from_secs(40));

    let share = f64::from(outcome.allowed) / f64::from(outcome.wanted);
    assert!(share >= 0.99, "{share} of {} retries", outcome.wanted);
    assert!(outcome.max_used <= 1.0);
}

/// Guards against entries that together exceed the budget when all requests begin to fail at once,
/// because their totals are older than the failure.
#[parameterized(
    few_entries = { 8, 200.0 },
    more_than_endpoints = { 295, 965.0 },
    burst = { 295, 2_500.0 },
    many_entries = { 830, 9_000.0 },
)]
fn budget_is_kept_when_all_requests_fail(entries: usize, rate: f64) {
    let failure = Some(Duration::from_secs(20));
    let load = Load { entries, rate, retry_share: 0.5, failure };

    let outcome = play(&load, Duration::from_secs(40));

    assert!(outcome.max_used <= 1.0, "{} of the budget", outcome.max_used);
}
