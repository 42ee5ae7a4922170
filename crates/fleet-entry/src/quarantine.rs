//! Prompt parts that crash endpoints, as seen by one entry.
//!
//! A request whose connection breaks before the first part of its answer may have crashed its
//! endpoint. The endpoint counts as crashed if it accepts no connection afterwards. The losses at
//! crashed endpoints go to a control replica with the load reports, and the parts that it blocks come
//! back with the totals. An entry that no replica answers judges its own losses.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::collections::hash_map::Entry;
use std::net::SocketAddr;
use std::time::Duration;

use hickoryreel_fleet::crash;
use hickoryreel_fleet::crash::Answered;
use hickoryreel_fleet::crash::Block;
use hickoryreel_fleet::crash::Finding;
use hickoryreel_fleet::crash::Ledger;
use hickoryreel_fleet::crash::millis;
use hickoryreel_fleet::load::EndpointKey;
use smallvec::SmallVec;

/// Losses that are kept to report them to another replica.
const MAX_LOSSES: usize = 512;

/// Time for which a loss is kept.
const LOSS_MAX_AGE: Duration = Duration::from_secs(60);

/// Parts in each generation of [`Recent`].
const GENERATION_SIZE: usize = 4_096;

/// Age of the latest verdict from which this entry judges its own losses: several report periods.
const VERDICT_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Time from a crash to the verdict on it: it settles, and two reports carry the evidence and the
/// verdict.
pub const VERDICT_TIME: Duration = Duration::from_millis(1_000);

/// Parts of a prompt that are considered, half of them the first and half the deepest ones.
pub const MAX_PARTS: usize = 32;

/// Ids of the prompt parts of a request that others may share, in order.
pub type Prefix = SmallVec<[u64; 4]>;

/// Times of the latest answers by prompt part. The parts that were answered least recently are
/// dropped a generation at a time.
#[derive(Default)]
struct Recent {
    current: HashMap<u64, Duration>,
    previous: HashMap<u64, Duration>,
}

impl Recent {
    fn record(&mut self, part: u64, now: Duration) {
        self.current.insert(part, now);
        if self.current.len() >= GENERATION_SIZE {
            self.previous = std::mem::take(&mut self.current);
        }
    }

    fn get(&self, part: u64) -> Option<Duration> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}

struct Loss {
    number: u64,
    endpoint: EndpointKey,
    at: Duration,
    parts: Prefix,
}

impl Loss {
    fn message(&self, now: Duration) -> crash::Loss {
        let age_ms = millis(now.saturating_sub(self.at));
        crash::Loss { endpoint: self.endpoint, age_ms, parts: self.parts.clone() }
    }
}

/// Losses, answers and blocked parts at one entry.
#[derive(Default)]
pub struct Quarantine {
    answered: Recent,
    /// Losses at endpoints that are being checked.
    unchecked: HashMap<EndpointKey, Vec<(Duration, Prefix)>>,
    /// Losses at crashed endpoints.
    losses: VecDeque<Loss>,
    last_number: u64,
    /// The replica that got the latest report, and the number of the last loss that it acknowledged.
    acknowledged: Option<(SocketAddr, u64)>,
    suspects: Vec<u64>,
    /// Ends of the blocks that a replica decided.
    blocks: HashMap<u64, Duration>,
    judged_at: Option<Duration>,
    /// Judges the losses of this entry while no replica answers.
    own: Ledger,
}

impl Quarantine {
    /// Records that an answer to a request with these parts began.
    pub fn record_answer(&mut self, parts: &[u64], now: Duration) {
        for part in parts {
            self.answered.record(*part, now);
        }
    }

    /// Records a request that was lost without any part of an answer. Returns whether the endpoint is
    /// to be checked; a check that is under way covers this loss.
    pub fn record_loss(&mut self, endpoint: EndpointKey, parts: Prefix, now: Duration) -> bool {
        match self.unchecked.entry(endpoint) {
            Entry::Occupied(mut checked) => {
                checked.get_mut().push((now, parts));
                false
            }
            Entry::Vacant(checked) => {
                checked.insert(vec![(now, parts)]);
                true
            }
        }
    }

    /// Records whether an endpoint has crashed. Returns the number of requests that were lost there.
    pub fn record_check(&mut self, endpoint: EndpointKey, crashed: bool, now: Duration) -> usize {
        let lost = self.unchecked.remove(&endpoint).unwrap_or_default();
        if !crashed {
            return 0;
        }
        let count = lost.len();
        for (at, parts) in lost {
            self.last_number += 1;
            self.losses.push_back(Loss { number: self.last_number, endpoint, at, parts });
        }
        self.losses.retain(|loss| now < loss.at + LOSS_MAX_AGE);
        while self.losses.len() > MAX_LOSSES {
            self.losses.pop_front();
        }
        let report = self.report_since(self.last_number - count as u64, now);
        self.own.add_report(&report, now);
        count
    }

    /// Whether requests were lost at an endpoint that has crashed, or that is being checked.
    pub fn may_have_crashed(&self, endpoint: EndpointKey) -> bool {
        self.unchecked.contains_key(&endpoint)
            || self.losses.iter().any(|loss| loss.endpoint == endpoint)
    }

    /// Whether one of these parts may crash endpoints.
    pub fn is_suspect(&self, parts: &[u64]) -> bool {
        parts.iter().any(|part| self.suspects.contains(part))
    }

    /// Returns the first of these parts that is blocked, and the end of its block.
    pub fn blocked(&self, parts: &[u64], now: Duration) -> Option<(u64, Duration)> {
        let until = |part: u64| {
            let agreed = self.blocks.get(&part).copied().filter(|until| now < *until);
            agreed.or_else(|| self.own.blocked_until(part, now))
        };
        parts.iter().find_map(|part| Some((*part, until(*part)?)))
    }

    /// Returns what the replica does not know yet.
    pub fn report(&self, replica: SocketAddr, now: Duration) -> crash::Report {
        let known = self.acknowledged.filter(|(address, _)| *address == replica);
        let blocks = self.blocks.iter().filter(|(_, until)| now < **until);
        let blocks =
            blocks.map(|(part, until)| Block { part: *part, left_ms: millis(*until - now) });
        let blocks = blocks.collect();
        crash::Report { blocks, ..self.report_since(known.map_or(0, |(_, number)| number), now) }
    }

    fn report_since(&self, number: u64, now: Duration) -> crash::Report {
        let losses: Vec<_> = self
            .losses
            .iter()
            .filter(|loss| loss.number > number)
            .map(|loss| loss.message(now))
            .collect();
        let lost = losses.iter().flat_map(|loss| loss.parts.iter().copied());
        let mut watched: Vec<u64> = lost.chain(self.suspects.iter().copied()).collect();
        watched.sort_unstable();
        watched.dedup();
        let answered = watched.into_iter().filter_map(|part| {
            let age = now.saturating_sub(self.answered.get(part)?);
            Some(Answered { part, age_ms: millis(age) })
        });
        crash::Report { answered: answered.collect(), losses, blocks: Vec::new() }
    }

    /// Number of the newest loss, which the next report includes.
    pub fn last_number(&self) -> u64 {
        self.last_number
    }

    /// Applies the answer to a report that included the losses up to a number. Returns the parts that
    /// were not blocked before.
    pub fn apply(
        &mut self,
        replica: SocketAddr,
        number: u64,
        verdict: crash::Verdict,
        now: Duration,
    ) -> Vec<u64> {
        if !self.has_verdict(now) {
            // The replica judges the losses of all entries from now on.
            self.own.forget_crashes();
        }
        self.acknowledged = Some((replica, number));
        self.judged_at = Some(now);
        self.suspects = verdict.suspects;
        self.blocks.retain(|_, until| now < *until);
        let mut added = Vec::new();
        for block in verdict.blocks {
            let until = now + Duration::from_millis(block.left_ms.into()).min(crash::BLOCK_TIME);
            if self.blocks.insert(block.part, until).is_none() {
                added.push(block.part);
            }
        }
        added
    }

    /// Whether a replica has answered recently.
    fn has_verdict(&self, now: Duration) -> bool {
        self.judged_at.is_some_and(|at| now < at + VERDICT_MAX_AGE)
    }

    /// Judges this entry's own losses if no replica has answered for some time.
    pub fn judge_alone(&mut self, now: Duration) -> SmallVec<[Finding; 1]> {
        if self.has_verdict(now) {
            return SmallVec::new();
        }
        let report = self.report_since(self.last_number, now);
        self.own.add_report(&report, now);
        self.suspects = self.own.verdict(now).suspects;
        self.own.judge(now)
    }

    /// Number of parts that are blocked.
    pub fn blocked_count(&self, now: Duration) -> usize {
        self.blocks.values().filter(|until| now < **until).count()
    }
}
