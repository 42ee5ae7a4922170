//! Prompt parts that crash endpoints.
//!
//! Some content makes every endpoint crash that begins to answer a prompt with it. Retries carry it
//! from endpoint to endpoint. After a crash, each entry reports its requests that waited there for the
//! first part of an answer. The [`Ledger`] adds up the reports and looks for a part that explains
//! several crashes and has had no answer since the first of them. Requests with it are refused until
//! the block expires.
//!
//! One crash says little: its losses name every part of the requests that waited there. Parts of
//! sound requests are cleared when their retries are answered elsewhere, and crashes that a blocked
//! part explains do not count against the others.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::load::EndpointKey;

/// Crashes that are remembered; a crash is one bit of a [`Mask`].
const MAX_CRASHES: usize = 64;

/// Parts that are remembered of one crash.
const MAX_PARTS_PER_CRASH: usize = 1_024;

/// Parts of which the time of the latest answer is remembered.
const MAX_ANSWERED: usize = 8_192;

/// Time for which a crash counts as evidence.
const CRASH_MAX_AGE: Duration = Duration::from_secs(600);

/// Time after a crash in which the reports of the other entries, and of answers to retries, arrive.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Crashes of several endpoints within this time count as one: they may have a common cause, such as
/// a power failure.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(200);

/// Crashes after which a part without any answer is blocked, if it alone explains them.
const MIN_CRASHES: u32 = 3;

/// Crashes after which it is blocked even if another part explains them too.
const MIN_AMBIGUOUS_CRASHES: u32 = 4;

/// Consecutive crashes after which a part that had answers before them is blocked.
const MIN_CRASHES_AFTER_ANSWER: u32 = 6;

/// Crashes from which entries report the answers to a part.
const SUSPECT_CRASHES: u32 = 2;

/// Suspects that entries watch at a time.
const MAX_SUSPECTS: usize = 256;

/// Time for which a part is blocked.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);

/// Time after the end of a block in which one crash is enough to block the part again.
const RELAPSE_TIME: Duration = Duration::from_secs(3_600);

/// A request that waited for the first part of its answer when its endpoint crashed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loss {
    /// The endpoint in its incarnation, which can crash only once.
    pub endpoint: EndpointKey,
    /// Time since the loss.
    pub age_ms: u32,
    /// Ids of the prompt parts that other requests may share, in order.
    pub parts: SmallVec<[u64; 4]>,
}

/// Latest answer to a request with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answered {
    pub part: u64,
    /// Time since that answer began.
    pub age_ms: u32,
}

/// A blocked part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Block {
    pub part: u64,
    /// Time until the block expires.
    pub left_ms: u32,
}

/// What an entry knows about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    pub losses: Vec<Loss>,
    /// Answers to suspects and to the parts of the losses.
    pub answered: Vec<Answered>,
    /// Blocks in force, so that a replica that has just started learns of them.
    pub blocks: Vec<Block>,
}

/// What the entries should know about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Parts whose answers entries should report.
    pub suspects: Vec<u64>,
    pub blocks: Vec<Block>,
}

/// A part that was blocked just now, for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    pub part: u64,
    /// Crashes that it explains.
    pub crashes: u32,
    /// Whether another part explains them too.
    pub ambiguous: bool,
}

/// Converts a time to whole milliseconds of a message.
pub fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

struct Crash {
    endpoint: EndpointKey,
    at: Duration,
    /// Parts of the lost requests, with their position in the prompt.
    parts: HashMap<u64, usize>,
}

/// Set of remembered crashes.
type Mask = u64;

/// Evidence against a part.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    mask: Mask,
    /// Crashes without those that may have a common cause with the one before.
    crashes: u32,
    counted_at: Duration,
    /// Greatest position in a prompt.
    depth: usize,
}

impl Evidence {
    fn add(&mut self, index: usize, crash: &Crash, depth: usize) {
        self.mask |= 1 << index;
        self.depth = self.depth.max(depth);
        if self.crashes == 0 || crash.at >= self.counted_at + COMMON_CAUSE_WINDOW {
            self.crashes += 1;
            self.counted_at = crash.at;
        }
    }

    fn explains_all_of(&self, other: &Self) -> bool {
        self.mask & other.mask == other.mask
    }
}

/// Crashes, answers and blocks of one deployment, or of one entry while no replica answers it.
#[derive(Default)]
pub struct Ledger {
    /// In the order of their times.
    crashes: VecDeque<Crash>,
    answered: HashMap<u64, Duration>,
    /// Ends of the blocks, also of those that have expired.
    blocks: HashMap<u64, Duration>,
}

impl Ledger {
    /// Adds the report of an entry.
    pub fn add_report(&mut self, report: &Report, now: Duration) {
        for loss in &report.losses {
            self.add_loss(loss, now);
        }
        for answered in &report.answered {
            let at = now.saturating_sub(Duration::from_millis(answered.age_ms.into()));
            let latest = self.answered.entry(answered.part).or_default();
            *latest = at.max(*latest);
        }
        for block in &report.blocks {
            let left = Duration::from_millis(block.left_ms.into()).min(BLOCK_TIME);
            // The end of a known block stays, so that reports can't postpone it by their delay.
            self.blocks.entry(block.part).or_insert(now + left);
        }
        self.expire(now);
    }

    fn add_loss(&mut self, loss: &Loss, now: Duration) {
        let at = now.saturating_sub(Duration::from_millis(loss.age_ms.into()));
        let same = |crash: &&mut Crash| crash.endpoint == loss.endpoint;
        let crash = match self.crashes.iter_mut().find(same) {
            Some(crash) => crash,
            None => {
                if self.crashes.len() == MAX_CRASHES {
                    self.crashes.pop_front();
                }
                let index = self.crashes.partition_point(|crash| crash.at <= at);
                let crash = Crash { endpoint: loss.endpoint, at, parts: HashMap::new() };
                self.crashes.insert(index, crash);
                &mut self.crashes[index]
            }
        };
        for (depth, part) in loss.parts.iter().enumerate() {
            if crash.parts.len() < MAX_PARTS_PER_CRASH {
                let known = crash.parts.entry(*part).or_default();
                *known = depth.max(*known);
            }
        }
    }

    /// Forgets the crashes and answers, but not the blocks.
    pub fn forget_crashes(&mut self) {
        self.crashes.clear();
        self.answered.clear();
    }

    /// Drops what can no longer be evidence: parts that had an answer since a crash, and the other
    /// parts of a crash that a blocked one explains.
    fn drop_cleared(&mut self) {
        for crash in &mut self.crashes {
            let is_explanation =
                |part: &u64| self.blocks.get(part).is_some_and(|end| crash.at < *end);
            let explained = crash.parts.keys().any(is_explanation);
            crash.parts.retain(|part, _| {
                let cleared = self.answered.get(part).is_some_and(|at| crash.at < *at);
                is_explanation(part) || (!explained && !cleared)
            });
        }
    }

    fn expire(&mut self, now: Duration) {
        self.crashes.retain(|crash| now < crash.at + CRASH_MAX_AGE);
        self.blocks.retain(|_, until| now < *until + RELAPSE_TIME);
        if self.crashes.is_empty() {
            self.answered.clear();
        } else if self.answered.len() > MAX_ANSWERED {
            let parts: HashSet<u64> =
                self.crashes.iter().flat_map(|crash| crash.parts.keys().copied()).collect();
            self.answered.retain(|part, _| parts.contains(part));
        }
    }

    /// Returns the end of the block of a part.
    pub fn blocked_until(&self, part: u64, now: Duration) -> Option<Duration> {
        self.blocks.get(&part).copied().filter(|until| now < *until)
    }

    /// Collects the evidence of the crashes up to a time that no blocked part explains.
    fn evidence(&self, until: Duration) -> HashMap<u64, Evidence> {
        let mut evidence: HashMap<u64, Evidence> = HashMap::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let is_explained =
                |part: &u64| self.blocks.get(part).is_some_and(|end| crash.at < *end);
            if crash.at > until || crash.parts.keys().any(is_explained) {
                continue;
            }
            for (part, depth) in &crash.parts {
                if self.answered.get(part).is_none_or(|at| *at <= crash.at) {
                    evidence.entry(*part).or_default().add(index, crash, *depth);
                }
            }
        }
        evidence
    }

    /// Blocks the parts that explain the crashes so far, and returns them.
    pub fn judge(&mut self, now: Duration) -> SmallVec<[Finding; 1]> {
        let mut findings = SmallVec::new();
        while let Some(finding) = self.find_cause(now) {
            self.blocks.insert(finding.part, now + BLOCK_TIME);
            findings.push(finding);
        }
        self.drop_cleared();
        findings
    }

    fn find_cause(&self, now: Duration) -> Option<Finding> {
        if self.crashes.is_empty() {
            return None;
        }
        let evidence = self.evidence(now.saturating_sub(SETTLE_TIME));
        let unanswered = |part: &u64| !self.answered.contains_key(part);
        let finding = |part: &u64, found: &Evidence| {
            let relapsed = self.blocks.contains_key(part);
            if !relapsed && found.crashes < MIN_CRASHES {
                return None;
            }
            let rival = |(other, theirs): (&u64, &Evidence)| {
                other != part && theirs.explains_all_of(found) && unanswered(other)
            };
            let ambiguous = evidence.iter().any(rival);
            let needed = match (relapsed, unanswered(part), ambiguous) {
                (true, ..) => 1,
                (false, true, false) => MIN_CRASHES,
                (false, true, true) => MIN_AMBIGUOUS_CRASHES,
                (false, false, false) => MIN_CRASHES_AFTER_ANSWER,
                (false, false, true) => return None,
            };
            (found.crashes >= needed).then_some(Finding {
                part: *part,
                crashes: found.crashes,
                ambiguous,
            })
        };
        let found =
            evidence.iter().filter_map(|(part, found)| Some((finding(part, found)?, found)));
        // Of parts that explain the same crashes, the deepest one is shared by the fewest requests.
        let best = found
            .max_by_key(|(finding, found)| (unanswered(&finding.part), found.crashes, found.depth));
        best.map(|(finding, _)| finding)
    }

    /// Returns what the entries should know.
    pub fn verdict(&self, now: Duration) -> Verdict {
        let is_suspect = |(part, found): (u64, Evidence)| {
            (found.crashes >= SUSPECT_CRASHES || self.blocks.contains_key(&part)).then_some(part)
        };
        let suspects =
            self.evidence(now).into_iter().filter_map(is_suspect).take(MAX_SUSPECTS).collect();
        let blocks = self.blocks.iter().filter(|(_, until)| now < **until);
        let blocks = blocks
            .map(|(part, until)| Block { part: *part, left_ms: millis(*until - now) })
            .collect();
        Verdict { suspects, blocks }
    }
}

/// Interval at which a [`Judge`] looks at the evidence anew.
const JUDGE_PERIOD: Duration = Duration::from_millis(100);

/// A ledger whose verdict answers the reports of many entries.
#[derive(Default)]
pub struct Judge {
    ledger: Ledger,
    verdict: Verdict,
    judged_at: Option<Duration>,
}

impl Judge {
    /// Adds the report of an entry. Returns what the entry should know, and the parts that were
    /// blocked just now.
    pub fn answer(&mut self, report: &Report, now: Duration) -> (Verdict, SmallVec<[Finding; 1]>) {
        self.ledger.add_report(report, now);
        if self.judged_at.is_some_and(|at| now < at + JUDGE_PERIOD) {
            return (self.verdict.clone(), SmallVec::new());
        }
        self.judged_at = Some(now);
        let findings = self.ledger.judge(now);
        self.verdict = self.ledger.verdict(now);
        (self.verdict.clone(), findings)
    }
}
