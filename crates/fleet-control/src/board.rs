//! The sums of the work that entries post.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::load::EndpointKey;
use hickoryreel_fleet::load::EndpointLoad;
use hickoryreel_fleet::load::RANKS;
use hickoryreel_fleet::load::Report;

/// Time after which the work of an entry that posts no more is not counted: several posts.
const POST_AGE: Duration = Duration::from_millis(1_500);

/// Time in which the weight of an ended send halves: long enough for several sends of all entries
/// to an endpoint, short enough that a recovered endpoint is tried again soon.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight below which an endpoint without work is forgotten.
const LEAST_WEIGHT: f64 = 0.05;

struct Posted {
    at: Duration,
    works: Vec<EndpointLoad>,
}

#[derive(Clone, Copy, Default)]
struct Sum {
    open: i64,
    prefill_ms: [i64; RANKS],
    good: f64,
    bad: f64,
    at: Duration,
}

impl Sum {
    fn decay(&mut self, now: Duration) {
        let halves = now.saturating_sub(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halves);
        self.good *= factor;
        self.bad *= factor;
        self.at = now;
    }

    fn is_empty(&self) -> bool {
        self.open <= 0
            && self.prefill_ms.iter().all(|one| *one <= 0)
            && self.good + self.bad < LEAST_WEIGHT
    }
}

/// What all entries posted.
#[derive(Default)]
pub struct Board {
    posted: HashMap<Name, Posted>,
    sums: HashMap<EndpointKey, Sum>,
}

impl Board {
    /// Takes in a post and returns the sums over all entries.
    pub fn post(&mut self, post: Report, now: Duration) -> Vec<EndpointLoad> {
        for work in &post.loads {
            let sum = self.sums.entry(work.endpoint).or_default();
            sum.decay(now);
            sum.good += f64::from(work.succeeded);
            sum.bad += f64::from(work.failed);
        }
        self.count(&post.loads, 1);
        if let Some(before) = self.posted.insert(post.entry, Posted { at: now, works: post.loads })
        {
            self.count(&before.works, -1);
        }
        self.expire(now);
        let sums = self.sums.iter().map(|(endpoint, sum)| EndpointLoad {
            endpoint: *endpoint,
            outstanding: u32::try_from(sum.open).unwrap_or(0),
            prefill_ms: sum.prefill_ms.map(|one| u32::try_from(one).unwrap_or(0)),
            succeeded: sum.good.round() as u32,
            failed: sum.bad.round() as u32,
        });
        sums.collect()
    }

    fn count(&mut self, works: &[EndpointLoad], sign: i64) {
        for work in works {
            let sum = self.sums.entry(work.endpoint).or_default();
            sum.open += sign * i64::from(work.outstanding);
            for (sum, own) in sum.prefill_ms.iter_mut().zip(work.prefill_ms) {
                *sum += sign * i64::from(own);
            }
        }
    }

    fn expire(&mut self, now: Duration) {
        let old: Vec<Name> = self
            .posted
            .iter()
            .filter(|(_, posted)| now >= posted.at + POST_AGE)
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in old {
            if let Some(posted) = self.posted.remove(&entry) {
                self.count(&posted.works, -1);
            }
        }
        self.sums.retain(|_, sum| {
            sum.decay(now);
            !sum.is_empty()
        });
    }
}
