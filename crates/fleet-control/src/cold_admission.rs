//! Limit on the requests to endpoints that warm up, over all entries.
//!
//! Answers the load after a whole availability zone has come back at once: hundreds of entries, each
//! with a few requests a second, would together overload its endpoints before they are warm. Only
//! the leader admits requests, right after a quorum has confirmed it, and an entry must use an
//! admission within [`ADMISSION_VALIDITY`]. A new leader admits nothing until what its predecessor
//! admitted has arrived, so the sum over both stays within the limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use hickoryreel_fleet::configuration::ColdStart;
use hickoryreel_fleet::link::ColdDecision;
use hickoryreel_fleet::link::ColdRequest;
use hickoryreel_fleet::load::ADMISSION_VALIDITY;
use hickoryreel_fleet::load::EndpointKey;

/// Time between the writes of two requests and their arrivals at an endpoint may differ by this
/// much: several round trips between regions, or the queue of a link that is full.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Time to which the limit of an endpoint applies.
const LIMIT_TIME: Duration = Duration::from_secs(1);

/// Requests that are admitted within this time may arrive within [`LIMIT_TIME`].
pub const WINDOW: Duration =
    LIMIT_TIME.saturating_add(ADMISSION_VALIDITY).saturating_add(MAX_DELAY);

/// Limit on the requests per second to an endpoint that warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Factor on the rate that an endpoint tolerates.
    pub factor: f64,
    /// Requests beyond it.
    pub slack: f64,
}

impl Default for Limit {
    fn default() -> Self {
        Self { factor: 1.0, slack: 0.0 }
    }
}

impl Limit {
    /// Number of requests that are admitted to an endpoint within [`WINDOW`]: what it tolerates on
    /// average but at least one, and never more than may arrive within a second.
    fn admissions(&self, cold_start: ColdStart) -> usize {
        let tolerated = cold_start.requests_per_s * WINDOW.as_secs_f64();
        let maximum = self.factor * cold_start.requests_per_s + self.slack;
        // Where nothing is stated to be tolerated, the slack alone bounds the requests.
        let admitted = if tolerated > 0.0 { tolerated.max(1.0).min(maximum) } else { maximum };
        admitted.max(0.0) as usize
    }
}

/// Admissions of this replica.
#[derive(Debug, Default)]
pub struct ColdAdmission {
    /// Term in which this replica leads, and when it learned of it.
    leads: Option<(u64, Duration)>,
    /// Times of the admissions within [`WINDOW`].
    admitted: HashMap<EndpointKey, VecDeque<Duration>>,
}

impl ColdAdmission {
    /// Records at time `now` the term in which this replica leads.
    pub fn record_leadership(&mut self, term: Option<u64>, now: Duration) {
        if self.leads.map(|(term, _)| term) != term {
            self.leads = term.map(|term| (term, now));
            self.admitted.clear();
        }
    }

    /// Decides at time `now` on a request, if this replica leads.
    pub fn decide(
        &mut self,
        request: &ColdRequest,
        cold_start: ColdStart,
        limit: &Limit,
        now: Duration,
    ) -> Option<ColdDecision> {
        let (_, since) = self.leads?;
        let begins = since + WINDOW;
        if now < begins {
            return Some(ColdDecision::Wait(begins - now));
        }
        self.expire(now);
        let admissions = limit.admissions(cold_start);
        let mut earliest: Option<Duration> = None;
        for (index, endpoint) in request.endpoints.iter().enumerate() {
            let admitted = self.admitted.entry(*endpoint).or_default();
            if admitted.len() < admissions {
                admitted.push_back(now);
                return Some(ColdDecision::Admitted(u32::try_from(index).ok()?));
            }
            if let Some(oldest) = admitted.front() {
                let free = *oldest + WINDOW;
                earliest = Some(earliest.map_or(free, |earliest| earliest.min(free)));
            }
        }
        let wait = earliest.map_or(WINDOW, |earliest| earliest.saturating_sub(now));
        Some(ColdDecision::Wait(wait))
    }

    fn expire(&mut self, now: Duration) {
        self.admitted.retain(|_, admitted| {
            while admitted.front().is_some_and(|at| now >= *at + WINDOW) {
                admitted.pop_front();
            }
            !admitted.is_empty()
        });
    }
}
