//! Decision to send a request or to refuse it at once.
//!
//! This answers an overload that lasts for longer than the deadlines of the requests. Without a
//! refusal, every request of the least urgent rank waits until its deadline, and what is served has
//! waited for nearly all of its time. A request is refused if no endpoint that may get it is
//! expected to begin its answer before its deadline. Less urgent work ahead of it does not count,
//! because endpoints serve by rank.
//!
//! [`decide`] has no state, no clock and no random numbers of its own. All waits come from
//! [`crate::pick::offers`]. Each entry keeps a [`Calibration`] for each service and rank, and the
//! [`Returns`] of the clients that it has refused.

use std::collections::HashMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use derive_more::Display;
use hickoryreel_fleet::load::RANKS;

/// Fraction of the remaining time within which the answer must be expected. The rest is left for
/// requests that other entries send meanwhile, as in [`crate::cascade`].
const TIME_FRACTION: f64 = 0.95;

/// Part of the excess wait over which the returns of all ranks are spread: all of it, because the work
/// ahead is completed, and capacity becomes available, over this time.
const SPREAD_FRACTION: f64 = 1.0;

/// Minimum time over which they are spread, in milliseconds: for each rank the 300 ms between two
/// updates of the totals, before which nothing new is known.
const MIN_SPREAD_MS: f64 = 900.0;

/// Wait in milliseconds up to which nothing is refused: an endpoint completes as much before the
/// totals, which are up to 300 ms late, show that it needs more work.
pub const MIN_WAIT_MS: f64 = 300.0;

/// Requests of which one is sent although it would be refused, so that the estimate is compared with
/// real answers; the figure is that of the design page.
pub const PROBE_INTERVAL: f64 = 64.0;

/// Refused clients that an entry remembers: a hundred a second for the longest delay.
const MAX_RETURNS: usize = 3_000;

/// Time before its end at which a delay counts as kept. Delays are given in whole milliseconds, and
/// the timers of clients are not more precise than some ticks of 10 ms.
const RETURN_TOLERANCE: Duration = Duration::from_millis(30);

/// Time constant of the calibration in milliseconds. It is longer than the longest deadline of the
/// virtual-time tests (8 s), so that waits that long are not forgotten before they are observed.
const CALIBRATION_MEMORY_MS: f64 = 10_000.0;

/// Weight of the uncalibrated estimate, as a wait in milliseconds that was observed as expected. More
/// than the shortest wait that counts (300 ms), so that such a one alone does not outweigh it.
const PRIOR_MS: f64 = 500.0;

/// Range of the calibration factor. Cached prompts and fast endpoints (0.7 of the usual time) shorten
/// waits; more urgent work that takes five sixths of an endpoint makes them six times as long.
const FACTORS: RangeInclusive<f64> = 0.5..=6.0;

/// Maximum delay of a refused request in milliseconds: that of pauses that endpoints ask for, after
/// which they may have been replaced.
pub const MAX_RETRY_AFTER_MS: f64 = 30_000.0;

/// A request that is to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Rank of the request; 0 is the most urgent.
    pub rank: u8,
    /// Time until the target latency of the route, in milliseconds.
    pub target_left_ms: f64,
    /// Time until the deadline, in milliseconds.
    pub left_ms: f64,
    /// Random number from 0 to 1 that selects the requests that are sent as tests.
    pub probe_point: f64,
    /// What is left of the delay for which an earlier refusal asked the client to wait.
    pub left_of_delay: Duration,
    /// Observed waits in relation to the expected ones, from a [`Calibration`].
    pub factor: f64,
    /// Random number from 0 to 1 that spreads the return of refused requests.
    pub point: f64,
}

/// An endpoint that may get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    pub is_usable: bool,
    /// Requests that it can take beside those that it has.
    pub free_slots: f64,
    /// Requests that wait there according to the endpoint.
    pub waiting: f64,
    /// Expected time in milliseconds for the work of the same and more urgent ranks that waits
    /// there. `None` without recent totals over all entries.
    pub wait_ms: Option<f64>,
    /// Expected prefill time of the request there, in milliseconds.
    pub prefill_ms: f64,
}

/// Why a request is sent.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    #[display("an endpoint has a free slot")]
    Idle,
    #[display("the load is not known")]
    Unknown,
    #[display("the answer is expected within the target")]
    InTarget,
    #[display("the answer is expected before the deadline")]
    InDeadline,
    #[display("the queue is too short for a refusal")]
    ShortQueue,
    #[display("the request tests the estimate")]
    Probe,
}

/// A refusal with its inputs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overload {
    /// Number of endpoints that were considered.
    pub endpoints: usize,
    /// Wait at the endpoint whose answer is expected first, in milliseconds.
    pub wait_ms: f64,
    /// Prefill time of the request there, in milliseconds.
    pub prefill_ms: f64,
    /// Time within which the answer would have to be expected, in milliseconds.
    pub limit_ms: f64,
    /// Delay after which the client may come back.
    pub retry_after: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Send(Reason),
    Refuse(Overload),
}

impl Offer {
    /// Whether the endpoint can begin the request at once.
    pub fn is_idle(&self) -> bool {
        self.is_usable && self.free_slots >= 1.0 && self.waiting <= 0.0
    }
}

impl Demand {
    /// Delay of the request if it is refused: the part of the wait that it can't afford, in which the
    /// work ahead of it is completed, and a random fraction of it. The fraction is smaller for more
    /// urgent ranks, so that these return first.
    fn retry_after(&self, wait_ms: f64, excess_ms: f64) -> Duration {
        let rank = usize::from(self.rank).min(RANKS - 1) as f64;
        let fraction = (rank + self.point.clamp(0.0, 1.0)) / RANKS as f64;
        // A request with a long prefill can't come back to less than an empty queue.
        let excess_ms = excess_ms.min(wait_ms);
        let delay_ms = excess_ms + fraction * (SPREAD_FRACTION * excess_ms).max(MIN_SPREAD_MS);
        // A duration can't be made of a number that is not finite.
        let delay_ms = if delay_ms.is_finite() { delay_ms } else { MAX_RETRY_AFTER_MS };
        Duration::from_secs_f64(delay_ms.clamp(0.0, MAX_RETRY_AFTER_MS) / 1_000.0)
    }
}

/// Decides whether a request is sent to one of the endpoints or refused.
pub fn decide(demand: &Demand, offers: &[Offer]) -> Decision {
    if offers.iter().any(Offer::is_idle) {
        return Decision::Send(Reason::Idle);
    }
    let mut best: Option<(f64, f64)> = None;
    for offer in offers.iter().filter(|offer| offer.is_usable) {
        let Some(wait_ms) = offer.wait_ms else { return Decision::Send(Reason::Unknown) };
        if best.is_none_or(|(wait, prefill)| {
            demand.factor * wait_ms + offer.prefill_ms < demand.factor * wait + prefill
        }) {
            best = Some((wait_ms, offer.prefill_ms));
        }
    }
    let Some((queued_ms, prefill_ms)) = best else { return Decision::Send(Reason::Unknown) };
    let wait_ms = demand.factor * queued_ms;
    let (expected_ms, limit_ms) = (wait_ms + prefill_ms, TIME_FRACTION * demand.left_ms);
    let refuse = |retry_after: Duration| {
        let endpoints = offers.iter().filter(|offer| offer.is_usable).count();
        Decision::Refuse(Overload { endpoints, wait_ms, prefill_ms, limit_ms, retry_after })
    };
    if queued_ms <= MIN_WAIT_MS {
        let in_time = expected_ms <= demand.target_left_ms;
        Decision::Send(if in_time { Reason::InTarget } else { Reason::ShortQueue })
    } else if !demand.left_of_delay.is_zero() {
        refuse(demand.left_of_delay)
    } else if expected_ms <= limit_ms {
        let in_target = expected_ms <= demand.target_left_ms;
        Decision::Send(if in_target { Reason::InTarget } else { Reason::InDeadline })
    } else if demand.probe_point < 1.0 / PROBE_INTERVAL {
        Decision::Send(Reason::Probe)
    } else {
        refuse(demand.retry_after(wait_ms, expected_ms - limit_ms))
    }
}

/// Refused clients that were asked to wait, at one entry.
#[derive(Debug, Default)]
pub struct Returns {
    /// Time of return by the hash of the client and the content of the request.
    times: HashMap<u64, Duration>,
}

impl Returns {
    /// Records that a client was asked to come back at a time.
    pub fn record(&mut self, identity: u64, at: Duration, now: Duration) {
        if self.times.len() >= MAX_RETURNS {
            self.times.retain(|_, at| *at > now);
        }
        if self.times.len() < MAX_RETURNS {
            self.times.insert(identity, at);
        }
    }

    /// Time that a client is still to wait.
    pub fn left(&self, identity: u64, now: Duration) -> Duration {
        let left = self.times.get(&identity).map_or(Duration::ZERO, |at| at.saturating_sub(now));
        if left <= RETURN_TOLERANCE { Duration::ZERO } else { left }
    }
}

/// Observed waits of one rank at a service in relation to the expected ones, at one entry. The expected
/// wait does not contain more urgent work that arrives later, or errors of the estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calibration {
    expected_ms: f64,
    observed_ms: f64,
    /// Time of the latest observation.
    at: Duration,
}

impl Calibration {
    /// Weight that is left of the observations at time `now`.
    fn decay(&self, now: Duration) -> f64 {
        let age_ms = now.saturating_sub(self.at).as_secs_f64() * 1_000.0;
        (-age_ms / CALIBRATION_MEMORY_MS).exp()
    }

    /// Records the wait of a request that ended at its deadline without an answer. It would have been
    /// longer, so it says nothing if it is within the expected one.
    pub fn observe_expired(&mut self, expected_ms: f64, waited_ms: f64, now: Duration) {
        if waited_ms > self.factor(now) * expected_ms {
            self.observe(expected_ms, waited_ms, now);
        }
    }

    /// Records the wait of a request whose answer began. Short waits say nothing of a queue.
    pub fn observe(&mut self, expected_ms: f64, observed_ms: f64, now: Duration) {
        if expected_ms < MIN_WAIT_MS || !observed_ms.is_finite() || !expected_ms.is_finite() {
            return;
        }
        let decay = self.decay(now);
        self.expected_ms = decay * self.expected_ms + expected_ms;
        self.observed_ms = decay * self.observed_ms + observed_ms.max(0.0);
        self.at = now;
    }

    /// Factor on the expected wait of a request at time `now`.
    pub fn factor(&self, now: Duration) -> f64 {
        let decay = self.decay(now);
        let observed_ms = decay * self.observed_ms + PRIOR_MS;
        let expected_ms = decay * self.expected_ms + PRIOR_MS;
        (observed_ms / expected_ms).clamp(*FACTORS.start(), *FACTORS.end())
    }
}
