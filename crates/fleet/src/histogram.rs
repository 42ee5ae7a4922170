//! Histogram of durations on a logarithmic scale, small enough for every poll of an entry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Number of buckets.
const BUCKETS: usize = 52;

/// Upper bound of the first bucket.
const FIRST_BOUND_MS: f64 = 4.0;

/// Buckets over which the bound doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Numbers of durations by bucket. Only buckets that are not empty are serialized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u8, u32)>", into = "Vec<(u8, u32)>")]
pub struct Histogram([u32; BUCKETS]);

impl Default for Histogram {
    fn default() -> Self {
        Self([0; BUCKETS])
    }
}

/// Lower bound of a bucket.
fn lower_bound_ms(bucket: usize) -> f64 {
    match bucket {
        0 => 0.0,
        _ => FIRST_BOUND_MS * ((bucket - 1) as f64 / BUCKETS_PER_DOUBLING).exp2(),
    }
}

impl Histogram {
    /// Counts a duration. The last bucket has no upper bound.
    pub fn record(&mut self, duration: Duration) {
        let time_ms = duration.as_secs_f64() * 1_000.0;
        let bucket = (1..BUCKETS).rfind(|bucket| lower_bound_ms(*bucket) <= time_ms).unwrap_or(0);
        self.0[bucket] = self.0[bucket].saturating_add(1);
    }

    /// Adds the counts of another histogram.
    pub fn merge(&mut self, other: &Self) {
        for (count, added) in self.0.iter_mut().zip(other.0) {
            *count = count.saturating_add(added);
        }
    }

    /// Number of durations.
    pub fn count(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    /// Number of durations that are certainly not below a limit: those in buckets that begin at it
    /// or above.
    pub fn count_from(&self, limit_ms: f64) -> u64 {
        let buckets = self.0.iter().enumerate();
        let above = buckets.filter(|(bucket, _)| lower_bound_ms(*bucket) >= limit_ms);
        above.map(|(_, count)| u64::from(*count)).sum()
    }

    /// Estimated median: the middle of the bucket that has it. `None` if there are no durations.
    pub fn median_ms(&self) -> Option<f64> {
        let half = self.count().div_ceil(2);
        let mut sum = 0;
        let bucket = self.0.iter().position(|count| {
            sum += u64::from(*count);
            half > 0 && sum >= half
        })?;
        Some((lower_bound_ms(bucket) + lower_bound_ms(bucket + 1)) / 2.0)
    }
}

impl From<Histogram> for Vec<(u8, u32)> {
    fn from(histogram: Histogram) -> Self {
        (0_u8..).zip(histogram.0).filter(|(_, count)| *count > 0).collect()
    }
}

impl From<Vec<(u8, u32)>> for Histogram {
    /// Counts of buckets that this build does not have go to the last one.
    fn from(counts: Vec<(u8, u32)>) -> Self {
        let mut histogram = Self::default();
        for (bucket, count) in counts {
            let sum = &mut histogram.0[usize::from(bucket).min(BUCKETS - 1)];
            *sum = sum.saturating_add(count);
        }
        histogram
    }
}
