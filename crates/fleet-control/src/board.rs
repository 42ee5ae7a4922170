//! The sums of the work that entries post.

use std::collections::HashMap;
use std::time::Duration;

use hickoryreel_fleet::Name;
use hickoryreel_fleet::work::Key;
use hickoryreel_fleet::work::Post;
use hickoryreel_fleet::work::RANKS;
use hickoryreel_fleet::work::Work;

/// Time after which the work of an entry that posts no more is not counted: several posts.
const POST_AGE: Duration = Duration::from_millis(1_500);

/// Time in which the weight of an ended send halves: long enough for several sends of all entries
/// to an endpoint, short enough that a recovered endpoint is tried again soon.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Weight below which an endpoint without work is forgotten.
const LEAST_WEIGHT: f64 = 0.05;

struct Posted {
    at: Duration,
    works: Vec<Work>,
}

#[derive(Clone, Copy, Default)]
struct Sum {
    open: i64,
    unread_ms: [i64; RANKS],
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
            && self.unread_ms.iter().all(|one| *one <= 0)
            && self.good + self.bad < LEAST_WEIGHT
    }
}

/// What all entries posted.
#[derive(Default)]
pub struct Board {
    posted: HashMap<Name, Posted>,
    sums: HashMap<Key, Sum>,
}

impl Board {
    /// Takes in a post and returns the sums over all entries.
    pub fn post(&mut self, post: Post, now: Duration) -> Vec<Work> {
        for work in &post.works {
            let sum = self.sums.entry(work.endpoint).or_default();
            sum.decay(now);
            sum.good += f64::from(work.good);
            sum.bad += f64::from(work.bad);
        }
        self.count(&post.works, 1);
        if let Some(before) = self.posted.insert(post.entry, Posted { at: now, works: post.works })
        {
            self.count(&before.works, -1);
        }
        self.expire(now);
        let sums = self.sums.iter().map(|(endpoint, sum)| Work {
            endpoint: *endpoint,
            open: u32::try_from(sum.open).unwrap_or(0),
            unread_ms: sum.unread_ms.map(|one| u32::try_from(one).unwrap_or(0)),
            good: sum.good.round() as u32,
            bad: sum.bad.round() as u32,
        });
        sums.collect()
    }

    fn count(&mut self, works: &[Work], sign: i64) {
        for work in works {
            let sum = self.sums.entry(work.endpoint).or_default();
            sum.open += sign * i64::from(work.open);
            for (sum, own) in sum.unread_ms.iter_mut().zip(work.unread_ms) {
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
