//! Weighs the kept beginning of a prompt against the wait for it.
//!
//! An endpoint keeps the parts of the prompts that it has read until newer ones take their memory. The
//! parts that requests share have the same preferred endpoints at every entry, by rendezvous hashing:
//! one of the entry's region and one of the whole fleet. How likely they are to keep a part follows
//! from how often it is used and from how fast their memory turns over: at a full endpoint, nothing is
//! kept for long, and the choice follows the load.
//!
//! This answers many prompts with long shared parts, of which each entry sees only a few, so that the
//! entries estimate the number of different parts from the repetitions among their own requests.

use std::collections::VecDeque;
use std::time::Duration;

/// Time for which uses are remembered: several times as long as endpoints keep a part under load.
const MEMORY: Duration = Duration::from_secs(60);

/// Maximum number of uses that are remembered.
const MAX_USES: usize = 512;

/// Assumed number of different parts before any are known, and the number of pairs of uses that
/// this assumption is worth.
const ASSUMED_PARTS: f64 = 500.0;
const ASSUMED_PAIRS: f64 = 2_000.0;

/// Share of the memory that holds kept parts; running requests take the rest.
const KEPT_MEMORY: f64 = 0.8;

/// Assumed time for which a part is kept while nothing is known of the load.
const ASSUMED_RETENTION_S: f64 = 20.0;

/// Minimum time over which uses are counted, so that the first ones after a start give no high rate.
const MIN_SPAN_S: f64 = 1.0;

/// The entries and endpoints of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fleet {
    pub entries: u32,
    pub endpoints: usize,
    /// Tokens that an endpoint can hold.
    pub memory_tokens: u64,
}

/// A use of a shared part with one model.
#[derive(Clone, Copy, Debug)]
struct Use {
    at: Duration,
    key: u64,
    /// Length of the whole prompt.
    tokens: u64,
}

/// Recent uses of shared parts by the requests of one service that this entry sent.
#[derive(Debug, Default)]
pub struct Uses {
    uses: VecDeque<Use>,
    /// Number of pairs of uses of the same part.
    pairs: u64,
}

/// What is known of a part at its preferred endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Uses per second of the part by all entries.
    pub uses_per_s: f64,
    /// Time for which an endpoint keeps a part, in seconds.
    pub retention_s: f64,
}

impl Outlook {
    /// Probability that an endpoint that gets a share of the uses still keeps the part.
    pub fn probability(&self, share: f64) -> f64 {
        1.0 - (-self.uses_per_s * share * self.retention_s).exp()
    }
}

impl Uses {
    fn count(&self, key: u64) -> u64 {
        self.uses.iter().filter(|used| used.key == key).count() as u64
    }

    fn expire(&mut self, now: Duration) {
        while let Some(oldest) = self.uses.front().copied() {
            if now < oldest.at + MEMORY && self.uses.len() <= MAX_USES {
                break;
            }
            self.uses.pop_front();
            self.pairs -= self.count(oldest.key);
        }
    }

    /// Records that a request with a shared part was sent.
    pub fn record(&mut self, key: u64, tokens: u64, now: Duration) {
        self.pairs += self.count(key);
        self.uses.push_back(Use { at: now, key, tokens });
        self.expire(now);
    }

    /// Returns at time `now` what is known of a part.
    pub fn outlook(&self, key: Option<u64>, fleet: &Fleet, now: Duration) -> Outlook {
        let sent = self.uses.len() as f64;
        let oldest = self.uses.front().map_or(now, |oldest| oldest.at);
        let span_s = now.saturating_sub(oldest).as_secs_f64().max(MIN_SPAN_S);
        // Factor from the uses of this entry to those of all entries per second.
        let rate = f64::from(fleet.entries.max(1)) / span_s;
        // Two uses are of the same part with probability one over the number of parts.
        let pairs = sent * (sent - 1.0).max(0.0) / 2.0;
        let parts = (pairs + ASSUMED_PAIRS) / (self.pairs as f64 + ASSUMED_PAIRS / ASSUMED_PARTS);
        let average = sent * rate / parts;
        let own = key.map_or(0, |key| self.count(key)) as f64;
        // One use may be chance; several are a part that is used more often than others.
        let uses_per_s = if own >= 2.0 { average.max(own * rate) } else { average };
        let tokens = self.uses.iter().fold(0_u64, |sum, used| sum.saturating_add(used.tokens));
        let filled_per_s = tokens as f64 * rate / fleet.endpoints.max(1) as f64;
        let retention_s = if filled_per_s > 0.0 {
            KEPT_MEMORY * fleet.memory_tokens as f64 / filled_per_s
        } else {
            ASSUMED_RETENTION_S
        };
        Outlook { uses_per_s, retention_s: retention_s.min(MEMORY.as_secs_f64()) }
    }
}
